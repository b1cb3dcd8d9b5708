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

func of(f Facts, system uint64, upstream string) Facts {
	f.System, f.Upstream = system, upstream
	return f
}

// patient is a configuration whose clients wait for long.
func patient() Config {
	cfg := testConfig()
	for i := range cfg.Router.Classes {
		cfg.Router.Classes[i].Deadline, cfg.Router.Classes[i].Window = 8*time.Second, cfg.Router.Classes[i].Window*8
	}
	return cfg
}

// logged tells whether a line for the operators holds a text.
func (r *rig) logged(text string) bool {
	for _, line := range r.lines {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// TestNothingToADeposedPrimary: from the step in which anybody tells of a newer timeline on, the old primary gets nothing,
// and what is out at it is settled by class: a read moves, a keyed write goes out again, an unsafe one fails.
func TestNothingToADeposedPrimary(t *testing.T) {
	r := newRig(t, patient(), fleetFacts())
	fresh, unsafe, keyed := r.ask(classDesk, token.Token{}), r.ask(classWrite, token.Token{}), r.ask(classPost, token.Token{})
	r.run(50 * ms)
	first := map[RequestID]Command{}
	for _, id := range []RequestID{unsafe, keyed, fresh} {
		if first[id] = r.sent(id); first[id].Node != "p" {
			t.Fatalf("request %d went to %s", id, first[id].Node)
		}
	}
	r.nodes["p"].silent = true // it stands still, and goes on taking itself for the primary
	r.nodes["r1"].facts = primary(at(2, 1000))
	r.nodes["r2"].facts = replica(at(2, 1000))
	for i := range 100 {
		r.run(20 * ms)
		if i == 60 && r.isSent(keyed) {
			t.Error("the keyed write went out again while it was out")
		} else if i == 60 { // it was told to end it, and wakes
			r.result(first[keyed], Result{Began: true, Err: &pgwire.Error{Severity: "ERROR", Code: "57014", Message: "m"}, Facts: primary(at(1, 1000))})
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
	r.nodes["p"].silent = false // it wakes, as primary of timeline 1
	sends := len(r.sends)
	for range 20 {
		for _, class := range []int{classWrite, classDesk, classOwn, classArticle} {
			id := r.ask(class, token.Token{})
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
		t.Errorf("%d are out; %q", len(r.sends), r.lines)
	}
	r.quiet()
}

// TestGuard: a write tells its node the newest timeline that is known, and until when it may begin by the node's own clock.
func TestGuard(t *testing.T) {
	cfg := testConfig()
	cfg.StartWithin = 700 * ms
	facts := fleetFacts()
	p := primary(at(3, 1000))
	p.Clock = 5_000_000
	facts["p"], facts["r1"], facts["r2"] = p, replica(at(3, 1000)), replica(at(3, 1000))
	r := newRig(t, cfg, facts)
	r.ask(classWrite, token.Token{})
	c := r.sends[0]
	if c.Guard.Timeline != 3 || c.Guard.Until < 5_000_000+700_000 || c.Guard.Until > 5_000_000+800_000 {
		t.Errorf("%+v", c.Guard)
	}
	// The node refuses: nothing ran, so an unsafe write goes out again, to whom the slice has for its primary by then.
	r.nodes["r1"].facts = primary(at(4, 1000))
	r.nodes["p"].facts = replica(at(4, 1000))
	id := r.lastReq
	r.result(r.sent(id), Result{Guarded: true, Asking: true, Err: &pgwire.Error{Severity: "ERROR", Code: "55000", Message: "m"}, Facts: replica(at(4, 1000))})
	r.run(400 * ms)
	if !r.isSent(id) {
		t.Fatalf("it did not go out again: %+v", r.answers[id])
	}
	if c := r.sent(id); c.Node != "r1" || c.Guard.Timeline != 4 || c.Guard.Until != 0 {
		t.Errorf("%s with %+v", c.Node, c.Guard) // r1 never told its clock
	} else {
		r.reply(c)
	}
	r.quiet()
}

// TestSplitBrain: two nodes claim one timeline. Nothing is written while the slice follows neither, and it goes on as
// soon as an operator fences one, or most follow the other.
func TestSplitBrain(t *testing.T) {
	for _, how := range []string{"fence", "followers", "one gives in"} {
		facts := map[string]Facts{"p": of(primary(at(2, 1000)), 7, ""), "r1": of(replica(at(2, 1000)), 7, ""), "r2": of(replica(at(2, 1000)), 7, "")}
		r := newRig(t, patient(), facts)
		r.nodes["r1"].facts = of(primary(at(2, 1000)), 7, "")
		r.run(3 * time.Second)
		id := r.ask(classWrite, token.Token{})
		r.run(500 * ms)
		if r.isSent(id) || !r.logged("more than one node claims this term") {
			t.Errorf("%s: a write went out with two claimants; %q", how, r.lines)
		}
		switch how {
		case "fence":
			if err := r.e.Fence("r1", true); err != nil {
				t.Fatal(err)
			}
		case "followers":
			r.nodes["r2"].facts = of(replica(at(2, 1000)), 7, "p:1")
		default:
			r.nodes["r1"].facts = of(replica(at(2, 1000)), 7, "")
		}
		r.run(4 * time.Second)
		if !r.isSent(id) {
			t.Errorf("%s: it did not end: %+v; %+v", how, r.answers[id], r.e.Ledgers())
			continue
		}
		if c := r.sent(id); c.Node != "p" {
			t.Errorf("%s: written at %s", how, c.Node)
		} else {
			r.reply(c)
		}
		r.quiet()
	}
	r := newRig(t, testConfig(), fleetFacts())
	if err := r.e.Fence("nobody", true); err == nil || !strings.Contains(err.Error(), "r1") {
		t.Error(err)
	}
	if err := r.e.Forget("nothing"); err == nil || !strings.Contains(err.Error(), "news") {
		t.Error(err)
	}
}

// TestAnotherCluster: a node of another cluster gets neither reads nor writes, whatever timeline it tells, and what it
// tells moves no clock.
func TestAnotherCluster(t *testing.T) {
	r := newRig(t, testConfig(), map[string]Facts{"p": of(primary(at(2, 1000)), 7, ""), "r1": of(replica(at(2, 1000)), 7, "p:1"), "r2": of(replica(at(2, 1000)), 7, "p:1")})
	r.nodes["r1"].facts = of(primary(at(9, 5000)), 8, "")
	r.run(3 * time.Second)
	for range 30 {
		for _, class := range []int{classWrite, classOwn, classArticle, classStats} {
			id := r.ask(class, token.Token{})
			r.run(10 * ms)
			c := r.sent(id)
			if c.Node == "r1" {
				t.Errorf("class %d went to a node of another cluster", class)
			}
			r.reply(c)
		}
	}
	if s := r.e.slices["news"]; s.clock.Timeline() != 2 || s.topo.Standing("r1") != topology.Foreign {
		t.Errorf("timeline %d, r1 %v", s.clock.Timeline(), s.topo.Standing("r1"))
	}
	r.quiet()
}

// TestRestartRefuses: a driver that restarts on what an earlier life saw writes nothing at the primary of a timeline that
// was left, though the list names it and nobody else answers.
func TestRestartRefuses(t *testing.T) {
	first := newRig(t, testConfig(), map[string]Facts{"p": of(replica(at(2, 1000)), 7, "r1:1"), "r1": of(primary(at(2, 1000)), 7, ""), "r2": of(replica(at(2, 1000)), 7, "r1:1")})
	cfg := patient()
	cfg.Topology = first.e.Topology()
	r := newRig(t, cfg, map[string]Facts{"p": of(primary(at(1, 1000)), 7, "")})
	r.run(2 * time.Second)
	id := r.ask(classWrite, token.Token{})
	if r.run(time.Second); r.isSent(id) {
		t.Error("it was written at a superseded primary")
	}
	if err := r.e.Forget("news"); err != nil { // an operator restored it by hand
		t.Fatal(err)
	}
	for n := 0; n < 20 && !r.isSent(id); n++ { // it counts as just started: one of the next goes out
		id = r.ask(classWrite, token.Token{})
		r.run(300 * ms)
	}
	if !r.isSent(id) {
		t.Errorf("it is not written after all was forgotten: %+v; %+v", r.answers[id], r.e.Ledgers())
	}
	r.quiet()
}

// TestLossIsTold: what a promotion left out is told with its range, once.
func TestLossIsTold(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	r.nodes["p"].facts = primary(at(1, 5000))
	r.run(3 * time.Second)
	r.nodes["p"].facts = replica(at(2, 3000))
	r.nodes["r1"].facts = primary(at(2, 3000))
	r.nodes["r2"].facts = replica(at(2, 3000))
	r.run(3 * time.Second)
	n := 0
	for _, line := range r.lines {
		if strings.Contains(line, "commits of timeline 1 beyond 0/BB8, up to 0/1388, were heard at p") {
			n++
		}
	}
	if n != 1 {
		t.Errorf("told %d times: %q", n, r.lines)
	}
	r.quiet()
}

// TestIdleDriverLearns: a driver without any request knows a new primary soon after it exists, by the connection that
// broke, and its questions end.
func TestIdleDriverLearns(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	r.run(30 * time.Second) // polls are rare by now
	p := r.e.byKey[nodeKey{"p", "p:1", "news", 0}]
	r.nodes["p"].deaf = true
	r.closed[p.prober.id] = true
	r.step(Event{Kind: EventClosed, Conn: p.prober.id})
	r.run(400 * ms)
	r.nodes["r1"].facts, r.nodes["r2"].facts = primary(at(2, 1000)), replica(at(2, 1000))
	was := len(r.log)
	if r.run(300 * ms); !r.logged("r1 is primary") {
		t.Errorf("not known after 300ms; %q", r.lines)
	}
	asks := 0
	for _, line := range r.log[was:] {
		if strings.Contains(line, "kind 2 ") {
			asks++
		}
	}
	if asks > 30 {
		t.Errorf("%d questions in 300ms", asks)
	}
	if s := r.e.slices["news"]; s.doubt.since != 0 {
		r.run(2 * time.Second)
		if s.doubt.since != 0 {
			t.Error("rounds go on though somebody holds office")
		}
	}
	id := r.ask(classWrite, token.Token{})
	if c := r.sent(id); c.Node != "r1" {
		t.Errorf("the first write went to %s", c.Node)
	}
	r.quiet()
}

// dialling is the connection that is being opened to a node that does not answer yet.
func (r *rig) dialling(node string) ConnID {
	r.t.Helper()
	for id, c := range r.e.conns {
		if c.state == dialing && c.node.listed.Name == node {
			return id
		}
	}
	r.t.Fatalf("nothing is dialled to %s", node)
	return 0
}

// TestDeposedWhileDialling: what waits for a connection to a primary that is deposed meanwhile does not go out there.
func TestDeposedWhileDialling(t *testing.T) {
	r := newRig(t, patient(), fleetFacts())
	r.nodes["p"].deaf = true
	id := r.ask(classWrite, token.Token{})
	conn := r.dialling("p")
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
	r.nodes["p"].deaf = false
	r.quiet()
}

// TestDrainedWhileDialling: what waits for a connection to a node whose grace ends meanwhile does not go out there.
func TestDrainedWhileDialling(t *testing.T) {
	r := newRig(t, patient(), fleetFacts())
	var list []Node
	for _, name := range []string{"p", "r1", "r2"} {
		life := balance.LifeReady
		if name == "p" {
			life = balance.LifeDraining
		}
		list = append(list, Node{Name: name, Address: name + ":1", Slice: "news", Hall: "a", Life: life})
	}
	r.step(Event{Kind: EventList, List: balance.ListFull, Nodes: list})
	r.run(450 * ms)
	r.nodes["p"].deaf = true
	id := r.ask(classWrite, token.Token{})
	conn := r.dialling("p")
	r.run(55 * ms)
	r.step(Event{Kind: EventDialed, Conn: conn})
	if r.isSent(id) {
		t.Error("it went to a node whose grace had ended")
	}
	r.nodes["p"].deaf = false
	r.quiet()
}

// TestPromotionsInARow: every two seconds for a minute another holds office, and each time writes go there and nowhere else.
func TestPromotionsInARow(t *testing.T) {
	r := newRig(t, patient(), fleetFacts())
	names := []string{"p", "r1", "r2"}
	for i := range 30 {
		now, timeline := names[(i+1)%3], uint32(i+2)
		for _, name := range names {
			r.nodes[name].facts = replica(at(timeline, uint64(1000+10*i)))
		}
		r.nodes[now].facts = primary(at(timeline, uint64(1000+10*i)))
		r.run(2 * time.Second)
		id := r.ask(classWrite, token.Token{})
		r.run(50 * ms)
		if !r.isSent(id) {
			t.Fatalf("promotion %d: the write is not out: %+v, %+v", i, r.answers[id], r.e.Ledgers()[0].Verdict)
		}
		c := r.sent(id)
		if c.Node != now || c.Guard.Timeline != timeline {
			t.Errorf("promotion %d: written at %s on timeline %d, %s holds office on %d", i, c.Node, c.Guard.Timeline, now, timeline)
		}
		r.reply(c)
	}
	if s := r.e.slices["news"]; s.clock.Timeline() != 31 || s.topo.Verdict().Term != 31 {
		t.Errorf("timeline %d, term %d", s.clock.Timeline(), s.topo.Verdict().Term)
	}
	r.quiet()
}

// TestSliceRestarts: all nodes of a slice go away and come back; nothing is remembered against the primary, and writes go on.
func TestSliceRestarts(t *testing.T) {
	r := newRig(t, patient(), fleetFacts())
	for _, n := range r.nodes {
		n.deaf = true
	}
	for id, c := range r.e.conns {
		if c.state == idle {
			r.closed[id] = true
			r.step(Event{Kind: EventClosed, Conn: id})
		}
	}
	r.run(2 * time.Second)
	for _, n := range r.nodes {
		n.deaf = false
	}
	r.run(2 * time.Second)
	out := 0
	for range 20 { // they count as just started: it takes a few until one goes out
		r.ask(classWrite, token.Token{})
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
		t.Errorf("%d of 20 writes went out", out)
	}
	if v := r.e.slices["news"].topo.Verdict(); v.Primary != "p" || v.Term != 1 {
		t.Errorf("%+v", v)
	}
	r.quiet()
}

// TestToldLate: a driver whose polls of the replicas are lost for five seconds writes at nobody's expense: the old primary
// says itself that it is one no more, and the new one is taken as soon as it is heard.
func TestToldLate(t *testing.T) {
	r := newRig(t, patient(), fleetFacts())
	r.nodes["r1"].silent, r.nodes["r2"].silent = true, true
	r.nodes["p"].facts = replica(at(2, 1000))
	r.nodes["r1"].facts, r.nodes["r2"].facts = primary(at(2, 1000)), replica(at(2, 1000))
	r.run(1500 * ms)
	id := r.ask(classWrite, token.Token{})
	if r.isSent(id) { // it could not know yet: the guard refuses it there
		c := r.sent(id)
		r.result(c, Result{Guarded: true, Asking: true, Err: &pgwire.Error{Severity: "ERROR", Code: "55000", Message: "m"}, Facts: r.nodes["p"].facts})
	}
	if r.run(3500 * ms); r.isSent(id) || len(r.answers[id]) > 0 {
		t.Errorf("the write is out or answered with no primary heard: %+v, %v", r.answers[id], r.sends)
	}
	r.nodes["r1"].silent, r.nodes["r2"].silent = false, false
	for n := 0; n < 20 && !r.logged("r1 is primary"); n++ {
		r.run(100 * ms)
	}
	if !r.logged("r1 is primary") {
		t.Errorf("it is not known two seconds after it can be heard: %q", r.lines)
	}
	r.quiet()
}

// TestForgottenBeforeTheAnswer: what was asked before an operator had a slice forgotten does not count when it is answered
// after: it tells of the history that the operator had restored from a backup, whose newer term would go on being held
// against the restored primary.
func TestForgottenBeforeTheAnswer(t *testing.T) {
	for _, gap := range []time.Duration{0, 20 * ms} {
		r := newRig(t, testConfig(), fleetFacts())
		r.run(500 * ms)
		before := r.ask(classDesk, token.Token{})
		r.run(gap)
		asked := r.sent(before)
		for _, n := range r.nodes {
			n.silent = true
		}
		if err := r.e.Forget("news"); err != nil {
			t.Fatal(err)
		}
		newer := of(primary(at(9, 5000)), 7, "")
		r.result(asked, Result{Began: true, Done: true, Facts: newer, After: newer})
		if v := r.e.Ledgers()[0]; v.Verdict.Term != 0 || len(v.Nodes) != 0 {
			t.Errorf("an answer to what was asked before: %+v", v)
		}
		for name, n := range r.nodes {
			n.silent = false
			n.facts = of(replica(at(2, 100)), 7, "")
			if name == "p" {
				n.facts = of(primary(at(2, 100)), 7, "")
			}
		}
		r.run(2000 * ms)
		if v := r.e.Ledgers()[0]; v.Verdict.Term != 2 || v.Verdict.Primary != "p" {
			t.Errorf("answers to what was asked since: %+v", v.Verdict)
		}
	}
}
