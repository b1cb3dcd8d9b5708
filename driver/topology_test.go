package driver

import (
	"strings"
	"testing"
	"time"

	"umberladder/balance"
	"umberladder/pgwire"
	"umberladder/token"
	"umberladder/topology"
)

func withCluster(f Facts, system uint64, upstream string) Facts {
	f.System, f.Upstream = system, upstream
	return f
}

// longDeadlines returns a configuration with long deadlines and windows.
func longDeadlines() Config {
	cfg := testConfig()
	for i := range cfg.Router.Classes {
		cfg.Router.Classes[i].Deadline, cfg.Router.Classes[i].Window = 8*time.Second, cfg.Router.Classes[i].Window*8
	}
	return cfg
}

// logged reports whether a log line contains a text.
func (r *harness) logged(text string) bool {
	for _, line := range r.logLines {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// TestDeposedPrimaryGetsNoRequests: once any node reports a newer timeline, the old primary gets no requests, and
// the attempts in flight there end by class: a read moves, a keyed write is resent, an unsafe one fails.
func TestDeposedPrimaryGetsNoRequests(t *testing.T) {
	r := newHarness(t, longDeadlines(), fleetFacts())
	fresh, unsafe, keyed := r.request(classDesk, token.Token{}), r.request(classWrite, token.Token{}), r.request(classPost, token.Token{})
	r.run(50 * ms)
	first := map[RequestID]Command{}
	for _, id := range []RequestID{unsafe, keyed, fresh} {
		if first[id] = r.sent(id); first[id].Node != "p" {
			t.Fatalf("request %d went to %s", id, first[id].Node)
		}
	}
	r.nodes["p"].silent = true // it stalls, and still considers itself primary
	r.nodes["r1"].facts = primary(at(2, 1000))
	r.nodes["r2"].facts = replica(at(2, 1000))
	for i := range 100 {
		r.run(20 * ms)
		if i == 60 && r.isSent(keyed) {
			t.Error("the keyed write was resent while in flight")
		} else if i == 60 { // it resumes and handles the cancel
			r.result(first[keyed], Result{Started: true, Err: &pgwire.Error{Severity: "ERROR", Code: "57014", Message: "m"}, Facts: primary(at(1, 1000))})
		}
		for len(r.sends) > 0 {
			c := r.sent(r.sends[0].Request)
			if c.Node != "r1" {
				t.Errorf("request %d went to %s", c.Request, c.Node)
			}
			r.reply(c)
		}
	}
	if a := r.answer(unsafe); a.Status != Failed || a.Cause != CauseUncertain {
		t.Errorf("the unsafe write: %+v", a)
	}
	for _, id := range []RequestID{keyed, fresh} {
		if a := r.answer(id); a.Status != Served || a.Node != "r1" {
			t.Errorf("request %d: %+v", id, a)
		}
	}
	r.nodes["p"].silent = false // it resumes as primary of timeline 1
	sends := len(r.sends)
	for range 20 {
		for _, class := range []int{classWrite, classDesk, classOwn, classArticle} {
			id := r.request(class, token.Token{})
			r.run(20 * ms)
			for r.isSent(id) {
				c := r.sent(id)
				if c.Node == "p" {
					t.Errorf("a deposed primary got a request of class %d", class)
				}
				r.reply(c)
			}
		}
	}
	if len(r.sends) > sends || !r.logged("r1 is primary") {
		t.Errorf("%d in flight; %q", len(r.sends), r.logLines)
	}
	r.checkIdle()
}

// TestGuard: a write carries the newest known timeline and, by the node's own clock, the time after which it must
// not start.
func TestGuard(t *testing.T) {
	cfg := testConfig()
	cfg.StartWithin = 700 * ms
	facts := fleetFacts()
	p := primary(at(3, 1000))
	p.Clock = 5_000_000
	facts["p"], facts["r1"], facts["r2"] = p, replica(at(3, 1000)), replica(at(3, 1000))
	r := newHarness(t, cfg, facts)
	r.request(classWrite, token.Token{})
	c := r.sends[0]
	if c.Guard.Timeline != 3 || c.Guard.Until < 5_000_000+700_000 || c.Guard.Until > 5_000_000+800_000 {
		t.Errorf("%+v", c.Guard)
	}
	// The node refuses: nothing ran, so even an unsafe write is resent, to the slice's new primary.
	r.nodes["r1"].facts = primary(at(4, 1000))
	r.nodes["p"].facts = replica(at(4, 1000))
	id := r.lastReq
	r.result(r.sent(id), Result{GuardFailed: true, InFactsQuery: true, Err: &pgwire.Error{Severity: "ERROR", Code: "55000", Message: "m"}, Facts: replica(at(4, 1000))})
	r.run(400 * ms)
	if !r.isSent(id) {
		t.Fatalf("it was not resent: %+v", r.answers[id])
	}
	if c := r.sent(id); c.Node != "r1" || c.Guard.Timeline != 4 || c.Guard.Until != 0 {
		t.Errorf("%s with %+v", c.Node, c.Guard) // r1 never reported its clock
	} else {
		r.reply(c)
	}
	r.checkIdle()
}

// TestSplitBrain: two nodes claim one timeline. No write is sent while neither is accepted as primary; writes
// resume once an operator fences one, most nodes follow the other, or one becomes a replica.
func TestSplitBrain(t *testing.T) {
	for _, how := range []string{"fence", "followers", "one becomes a replica"} {
		facts := map[string]Facts{"p": withCluster(primary(at(2, 1000)), 7, ""), "r1": withCluster(replica(at(2, 1000)), 7, ""), "r2": withCluster(replica(at(2, 1000)), 7, "")}
		r := newHarness(t, longDeadlines(), facts)
		r.nodes["r1"].facts = withCluster(primary(at(2, 1000)), 7, "")
		r.run(3 * time.Second)
		id := r.request(classWrite, token.Token{})
		r.run(500 * ms)
		if r.isSent(id) || !r.logged("more than one node claims this term") {
			t.Errorf("%s: a write was sent with two claimants; %q", how, r.logLines)
		}
		switch how {
		case "fence":
			if err := r.e.Fence("r1", true); err != nil {
				t.Fatal(err)
			}
		case "followers":
			r.nodes["r2"].facts = withCluster(replica(at(2, 1000)), 7, "p:1")
		default:
			r.nodes["r1"].facts = withCluster(replica(at(2, 1000)), 7, "")
		}
		r.run(4 * time.Second)
		if !r.isSent(id) {
			t.Errorf("%s: writes did not resume: %+v; %+v", how, r.answers[id], r.e.SliceViews())
			continue
		}
		if c := r.sent(id); c.Node != "p" {
			t.Errorf("%s: written at %s", how, c.Node)
		} else {
			r.reply(c)
		}
		r.checkIdle()
	}
	r := newHarness(t, testConfig(), fleetFacts())
	if err := r.e.Fence("nobody", true); err == nil || !strings.Contains(err.Error(), "r1") {
		t.Error(err)
	}
	if err := r.e.Forget("nothing"); err == nil || !strings.Contains(err.Error(), "news") {
		t.Error(err)
	}
}

// TestAnotherCluster: a node of another cluster gets neither reads nor writes, whatever timeline it reports, and
// its positions do not enter the slice's clock.
func TestAnotherCluster(t *testing.T) {
	r := newHarness(t, testConfig(), map[string]Facts{"p": withCluster(primary(at(2, 1000)), 7, ""), "r1": withCluster(replica(at(2, 1000)), 7, "p:1"), "r2": withCluster(replica(at(2, 1000)), 7, "p:1")})
	r.nodes["r1"].facts = withCluster(primary(at(9, 5000)), 8, "")
	r.run(3 * time.Second)
	for range 30 {
		for _, class := range []int{classWrite, classOwn, classArticle, classStats} {
			id := r.request(class, token.Token{})
			r.run(10 * ms)
			c := r.sent(id)
			if c.Node == "r1" {
				t.Errorf("class %d went to a node of another cluster", class)
			}
			r.reply(c)
		}
	}
	if s := r.e.slices["news"]; s.clock.Timeline() != 2 || s.topo.Status("r1") != topology.Foreign {
		t.Errorf("timeline %d, r1 %v", s.clock.Timeline(), s.topo.Status("r1"))
	}
	r.checkIdle()
}

// TestRestartedDriverRejectsStalePrimary: a driver restarted with the topology of its earlier run writes nothing
// at the primary of an abandoned timeline, though the node list names it and no other node answers.
func TestRestartedDriverRejectsStalePrimary(t *testing.T) {
	first := newHarness(t, testConfig(), map[string]Facts{"p": withCluster(replica(at(2, 1000)), 7, "r1:1"), "r1": withCluster(primary(at(2, 1000)), 7, ""), "r2": withCluster(replica(at(2, 1000)), 7, "r1:1")})
	cfg := longDeadlines()
	cfg.Topology = first.e.Topology()
	r := newHarness(t, cfg, map[string]Facts{"p": withCluster(primary(at(1, 1000)), 7, "")})
	r.run(2 * time.Second)
	id := r.request(classWrite, token.Token{})
	if r.run(time.Second); r.isSent(id) {
		t.Error("it was written at a superseded primary")
	}
	if err := r.e.Forget("news"); err != nil { // after a restore by hand
		t.Fatal(err)
	}
	for n := 0; n < 20 && !r.isSent(id); n++ { // the node counts as just started: one of the next writes is sent
		id = r.request(classWrite, token.Token{})
		r.run(300 * ms)
	}
	if !r.isSent(id) {
		t.Errorf("it is not written after Forget: %+v; %+v", r.answers[id], r.e.SliceViews())
	}
	r.checkIdle()
}

// TestLostCommitsAreLogged: the range of commits lost in a promotion is logged, once.
func TestLostCommitsAreLogged(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.nodes["p"].facts = primary(at(1, 5000))
	r.run(3 * time.Second)
	r.nodes["p"].facts = replica(at(2, 3000))
	r.nodes["r1"].facts = primary(at(2, 3000))
	r.nodes["r2"].facts = replica(at(2, 3000))
	r.run(3 * time.Second)
	n := 0
	for _, line := range r.logLines {
		if strings.Contains(line, "commits of timeline 1 beyond 0/BB8, up to 0/1388, were reported by p") {
			n++
		}
	}
	if n != 1 {
		t.Errorf("logged %d times: %q", n, r.logLines)
	}
	r.checkIdle()
}

// TestIdleDriverDetectsPromotion: a driver without requests detects a new primary soon after a connection to the
// old one breaks, and its extra polls end.
func TestIdleDriverDetectsPromotion(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.run(30 * time.Second) // polls are rare by then
	p := r.e.byKey[nodeKey{"p", "p:1", "news", 0}]
	r.nodes["p"].unreachable = true
	r.closed[p.prober.id] = true
	r.step(Event{Kind: EventClosed, Conn: p.prober.id})
	r.run(400 * ms)
	r.nodes["r1"].facts, r.nodes["r2"].facts = primary(at(2, 1000)), replica(at(2, 1000))
	was := len(r.commands)
	if r.run(300 * ms); !r.logged("r1 is primary") {
		t.Errorf("not known after 300ms; %q", r.logLines)
	}
	polls := 0
	for _, line := range r.commands[was:] {
		if strings.Contains(line, "kind 2 ") {
			polls++
		}
	}
	if polls > 30 {
		t.Errorf("%d polls in 300ms", polls)
	}
	if s := r.e.slices["news"]; s.suspicion.since != 0 {
		r.run(2 * time.Second)
		if s.suspicion.since != 0 {
			t.Error("poll rounds continue though a primary is confirmed")
		}
	}
	id := r.request(classWrite, token.Token{})
	if c := r.sent(id); c.Node != "r1" {
		t.Errorf("the first write went to %s", c.Node)
	}
	r.checkIdle()
}

// dialingConn returns the connection being opened to a node that does not answer yet.
func (r *harness) dialingConn(node string) ConnID {
	r.t.Helper()
	for id, c := range r.e.conns {
		if c.state == dialing && c.node.entry.Name == node {
			return id
		}
	}
	r.t.Fatalf("no dial to %s is pending", node)
	return 0
}

// TestDeposedWhileDialing: attempts that wait for a connection to a primary are not sent there if it is deposed
// meanwhile.
func TestDeposedWhileDialing(t *testing.T) {
	r := newHarness(t, longDeadlines(), fleetFacts())
	r.nodes["p"].unreachable = true
	id := r.request(classWrite, token.Token{})
	conn := r.dialingConn("p")
	r.nodes["r1"].facts, r.nodes["r2"].facts = primary(at(2, 1000)), replica(at(2, 1000))
	r.e.suspect(r.e.slices["news"])
	r.run(60 * ms)
	r.step(Event{Kind: EventDialed, Conn: conn})
	for r.isSent(id) {
		c := r.sent(id)
		if c.Node == "p" {
			t.Error("it went to the deposed primary")
		}
		r.reply(c)
	}
	r.nodes["p"].unreachable = false
	r.checkIdle()
}

// TestDrainedWhileDialing: attempts that wait for a connection to a node are not sent there if its drain grace
// ends meanwhile.
func TestDrainedWhileDialing(t *testing.T) {
	r := newHarness(t, longDeadlines(), fleetFacts())
	var list []Node
	for _, name := range []string{"p", "r1", "r2"} {
		life := balance.LifeReady
		if name == "p" {
			life = balance.LifeDraining
		}
		list = append(list, Node{Name: name, Address: name + ":1", Slice: "news", Zone: "a", Life: life})
	}
	r.step(Event{Kind: EventNodeList, List: balance.ListFull, Nodes: list})
	r.run(450 * ms)
	r.nodes["p"].unreachable = true
	id := r.request(classWrite, token.Token{})
	conn := r.dialingConn("p")
	r.run(55 * ms)
	r.step(Event{Kind: EventDialed, Conn: conn})
	if r.isSent(id) {
		t.Error("it went to a node whose grace had ended")
	}
	r.nodes["p"].unreachable = false
	r.checkIdle()
}

// TestRepeatedPromotions: every two seconds for a minute another node becomes primary, and each time writes go to
// it and nowhere else.
func TestRepeatedPromotions(t *testing.T) {
	r := newHarness(t, longDeadlines(), fleetFacts())
	names := []string{"p", "r1", "r2"}
	for i := range 30 {
		now, timeline := names[(i+1)%3], uint32(i+2)
		for _, name := range names {
			r.nodes[name].facts = replica(at(timeline, uint64(1000+10*i)))
		}
		r.nodes[now].facts = primary(at(timeline, uint64(1000+10*i)))
		r.run(2 * time.Second)
		id := r.request(classWrite, token.Token{})
		r.run(50 * ms)
		if !r.isSent(id) {
			t.Fatalf("promotion %d: the write was not sent: %+v, %+v", i, r.answers[id], r.e.SliceViews()[0].Verdict)
		}
		c := r.sent(id)
		if c.Node != now || c.Guard.Timeline != timeline {
			t.Errorf("promotion %d: written at %s on timeline %d, %s is primary on %d", i, c.Node, c.Guard.Timeline, now, timeline)
		}
		r.reply(c)
	}
	if s := r.e.slices["news"]; s.clock.Timeline() != 31 || s.topo.Verdict().Term != 31 {
		t.Errorf("timeline %d, term %d", s.clock.Timeline(), s.topo.Verdict().Term)
	}
	r.checkIdle()
}

// TestSliceRestarts: all nodes of a slice are down for a while; the primary is then still accepted, and writes
// resume.
func TestSliceRestarts(t *testing.T) {
	r := newHarness(t, longDeadlines(), fleetFacts())
	for _, n := range r.nodes {
		n.unreachable = true
	}
	for id, c := range r.e.conns {
		if c.state == idle {
			r.closed[id] = true
			r.step(Event{Kind: EventClosed, Conn: id})
		}
	}
	r.run(2 * time.Second)
	for _, n := range r.nodes {
		n.unreachable = false
	}
	r.run(2 * time.Second)
	out := 0
	for range 20 { // the nodes count as just started: only some writes are sent
		r.request(classWrite, token.Token{})
		r.run(200 * ms)
		for len(r.sends) > 0 {
			c := r.sent(r.sends[0].Request)
			if c.Node != "p" {
				t.Errorf("request %d went to %s", c.Request, c.Node)
			}
			r.reply(c)
			out++
		}
	}
	if out < 10 {
		t.Errorf("%d of 20 writes were sent", out)
	}
	if v := r.e.slices["news"].topo.Verdict(); v.Primary != "p" || v.Term != 1 {
		t.Errorf("%+v", v)
	}
	r.checkIdle()
}

// TestPromotionDetectedLate: the replicas' replies are lost for five seconds. The old primary reports that it no
// longer is one, so nothing is written there, and the new one is accepted as soon as it answers.
func TestPromotionDetectedLate(t *testing.T) {
	r := newHarness(t, longDeadlines(), fleetFacts())
	r.nodes["r1"].silent, r.nodes["r2"].silent = true, true
	r.nodes["p"].facts = replica(at(2, 1000))
	r.nodes["r1"].facts, r.nodes["r2"].facts = primary(at(2, 1000)), replica(at(2, 1000))
	r.run(1500 * ms)
	id := r.request(classWrite, token.Token{})
	if r.isSent(id) { // the driver can't know yet: the node's guard refuses the write
		c := r.sent(id)
		r.result(c, Result{GuardFailed: true, InFactsQuery: true, Err: &pgwire.Error{Severity: "ERROR", Code: "55000", Message: "m"}, Facts: r.nodes["p"].facts})
	}
	if r.run(3500 * ms); r.isSent(id) || len(r.answers[id]) > 0 {
		t.Errorf("the write is in flight or answered without a known primary: %+v, %v", r.answers[id], r.sends)
	}
	r.nodes["r1"].silent, r.nodes["r2"].silent = false, false
	for n := 0; n < 20 && !r.logged("r1 is primary"); n++ {
		r.run(100 * ms)
	}
	if !r.logged("r1 is primary") {
		t.Errorf("the primary is not known two seconds after its replies arrive: %q", r.logLines)
	}
	r.checkIdle()
}

// TestAnswerToQueryFromBeforeForget: an answer does not count if its query was sent before an operator's Forget. It
// describes the history from before the restore of a backup, whose newer term would fence off the restored primary.
func TestAnswerToQueryFromBeforeForget(t *testing.T) {
	for _, gap := range []time.Duration{0, 20 * ms} {
		r := newHarness(t, testConfig(), fleetFacts())
		r.run(500 * ms)
		before := r.request(classDesk, token.Token{})
		r.run(gap)
		stale := r.sent(before)
		for _, n := range r.nodes {
			n.silent = true
		}
		if err := r.e.Forget("news"); err != nil {
			t.Fatal(err)
		}
		newer := withCluster(primary(at(9, 5000)), 7, "")
		r.result(stale, Result{Started: true, Done: true, Facts: newer, After: newer})
		if v := r.e.SliceViews()[0]; v.Verdict.Term != 0 || len(v.Nodes) != 0 {
			t.Errorf("an answer to a query from before Forget: %+v", v)
		}
		for name, n := range r.nodes {
			n.silent = false
			n.facts = withCluster(replica(at(2, 100)), 7, "")
			if name == "p" {
				n.facts = withCluster(primary(at(2, 100)), 7, "")
			}
		}
		r.run(2000 * ms)
		if v := r.e.SliceViews()[0]; v.Verdict.Term != 2 || v.Verdict.Primary != "p" {
			t.Errorf("answers to queries since Forget: %+v", v.Verdict)
		}
	}
}

// TestKeyedWriteQueuedPastItsWindow: a keyed write's further attempt that waits for a connection until the window of the
// first is over is not sent, and one that is sent in time must not start at its node after the window.
func TestKeyedWriteQueuedPastItsWindow(t *testing.T) {
	const window = time.Second // of classPost
	for name, late := range map[string]bool{"in time": false, "too late": true} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.StartWithin = 700 * ms
			facts := fleetFacts()
			p := facts["p"]
			p.Clock = 5_000_000
			facts["p"] = p
			r := newHarness(t, cfg, facts)
			id := r.request(classPost, token.Token{})
			sentAt := r.now
			r.run(window - 100*ms)
			r.nodes["p"].unreachable = true
			failed := broken(true, "XX000")
			failed.Facts = p
			r.result(r.sent(id), failed)
			r.run(20 * ms)
			conn := r.dialingConn("p")
			if late {
				r.run(sentAt + window - r.now)
			}
			r.step(Event{Kind: EventDialed, Conn: conn})
			if sent := r.isSent(id); sent == late {
				t.Fatalf("sent again %v after the first attempt: %v", r.now-sentAt, sent)
			}
			if late {
				if a := r.answer(id); a.Status != Failed {
					t.Errorf("answer %+v, want a failure", a)
				}
				return
			}
			c := r.sent(id)
			clock := r.e.nodeNamed(r.e.slices["news"], "p").clock
			if latest := clock.at + (sentAt + window - clock.sentAt).Microseconds(); c.Guard.Until == 0 || c.Guard.Until > latest {
				t.Errorf("the node may start it until %d, want at most %d", c.Guard.Until, latest)
			}
			r.nodes["p"].unreachable = false
			r.reply(c)
			r.checkIdle()
		})
	}
}
