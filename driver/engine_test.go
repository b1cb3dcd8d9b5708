package driver

import (
	"fmt"
	"testing"
	"time"

	"umberladder/balance"
	"umberladder/position"
	"umberladder/token"
)

func TestOrdinaryPath(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	w := r.ask(classWrite, token.Token{})
	c := r.sent(w)
	if c.Node != "p" || !c.Write {
		t.Fatalf("the write went to %s, write %v", c.Node, c.Write)
	}
	r.nodes["p"].facts = primary(at(1, 1100))
	r.reply(c)
	a := r.answer(w)
	if got, _ := a.Token.At("news"); a.Status != Served || got != at(1, 1100) {
		t.Fatalf("answer %+v with token for %v", a, got)
	}
	read := r.ask(classArticle, token.Token{})
	if c := r.sent(read); c.Node == "p" {
		t.Error("an article-read went to the primary though replicas are as new")
	} else {
		r.reply(c)
	}
	if r.answer(read).Status != Served {
		t.Error("the read was not served")
	}
	r.quiet()
}

// TestTokenNewerThanEveryReplica: it goes to the primary, or to a replica once that is proven to have it.
func TestTokenNewerThanEveryReplica(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	tok := token.Token{}.With("news", at(1, 1500))
	r.nodes["p"].facts = primary(at(1, 1500))
	id := r.ask(classOwn, tok)
	r.run(30 * ms)
	c := r.sent(id)
	if c.Node != "p" {
		t.Fatalf("it went to %s, which stands at 1000", c.Node)
	}
	r.reply(c)
	if got, _ := r.answer(id).Token.At("news"); got != at(1, 1500) {
		t.Errorf("token for %v", got)
	}
	r.quiet()
}

// TestTokenFromTheFuture: a token that nobody has is never served stale.
func TestTokenFromTheFuture(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	id := r.ask(classOwn, token.Token{}.With("news", at(1, 99999)))
	for range 40 {
		for _, c := range append([]Command(nil), r.sends...) {
			r.reply(r.sent(c.Request))
		}
		r.run(30 * ms)
	}
	if a := r.answer(id); a.Status == Served {
		t.Fatalf("served: %+v", a)
	}
	r.quiet()
}

// TestCommitWithoutPosition: the commit's answer came, its position's did not. It is served, and its token
// asks for the present until more is known.
func TestCommitWithoutPosition(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	w := r.ask(classWrite, token.Token{})
	r.result(r.sent(w), Result{End: EndBroken, Began: true, Done: true})
	a := r.answer(w)
	got, _ := a.Token.At("news")
	if a.Status != Served || got.LSN != position.Unknown {
		t.Fatalf("answer %+v, token for %v", a, got)
	}
	id := r.ask(classOwn, a.Token)
	r.run(30 * ms)
	c := r.sent(id)
	if c.Node != "p" {
		t.Fatalf("the read that must see it went to %s", c.Node)
	}
	r.nodes["p"].facts = primary(at(1, 1200))
	r.reply(c)
	if got, _ := r.answer(id).Token.At("news"); got != at(1, 1200) {
		t.Errorf("the token still asks for %v", got)
	}
	r.quiet()
}

// TestWriteCutAfterItsLastByte: it may have run, so it fails and never goes out again.
func TestWriteCutAfterItsLastByte(t *testing.T) {
	for _, res := range []Result{broken(false, ""), broken(true, ""), broken(true, "57P01")} {
		r := newRig(t, testConfig(), fleetFacts())
		w := r.ask(classWrite, token.Token{})
		r.result(r.sent(w), res)
		r.run(3 * time.Second)
		if a := r.answer(w); a.Status != Failed || a.Attempts != 1 {
			t.Errorf("%+v: answer %+v", res, a)
		}
		r.quiet()
	}
}

// TestWriteThatNeverRanGoesAgain: a proof that nothing ran lets the same write go out again.
func TestWriteThatNeverRanGoesAgain(t *testing.T) {
	for _, res := range []Result{broken(false, "57P01"), {End: EndNotSent}} {
		r := newRig(t, testConfig(), fleetFacts())
		w := r.ask(classWrite, token.Token{})
		r.result(r.sent(w), res)
		r.run(300 * ms)
		r.reply(r.sent(w))
		if a := r.answer(w); a.Status != Served || a.Attempts != 2 {
			t.Errorf("%+v: answer %+v", res, a)
		}
		r.quiet()
	}
}

// TestReplyAfterTimeout: the client had its answer; the late reply changes nothing but frees the connection.
func TestReplyAfterTimeout(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	w := r.ask(classWrite, token.Token{})
	c := r.sent(w)
	r.run(2100 * ms)
	if a := r.answer(w); a.Status != Failed {
		t.Fatalf("answer %+v", a)
	}
	if n := len(r.e.byKey[nodeKey{"p", "p:1", "news", 0}].Idle); n != 0 {
		t.Errorf("%d connections idle with a reply pending", n)
	}
	r.reply(c)
	if n := len(r.e.byKey[nodeKey{"p", "p:1", "news", 0}].Idle); n != 1 {
		t.Errorf("%d connections idle after the reply", n)
	}
	r.answer(w)
	r.quiet()
}

// TestLingerEnds: a connection whose reply never comes is closed.
func TestLingerEnds(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	w := r.ask(classWrite, token.Token{})
	c := r.sent(w)
	r.run(8 * time.Second)
	if !r.closed[c.Conn] {
		t.Error("the shell was not told to close it")
	}
	if n := r.e.byKey[nodeKey{"p", "p:1", "news", 0}].Busy; n != 0 {
		t.Errorf("%d connections still busy", n)
	}
	r.quiet()
}

// TestClientLeavesInMidAttempt: no answer goes out, nothing is sent after, the connection is used again only
// once its reply came.
func TestClientLeavesInMidAttempt(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	w := r.ask(classWrite, token.Token{})
	c := r.sent(w)
	r.step(Event{Kind: EventLeft, Request: w})
	if r.e.Held() != 0 {
		t.Error("it is still held")
	}
	r.reply(c)
	if len(r.answers[w]) != 0 {
		t.Errorf("answers %+v", r.answers[w])
	}
	r.quiet()
}

// TestClientLeavesAsItComes: request and leaving are one step. The module sends it before it hears of the leaving, and
// must hear what became of that.
func TestClientLeavesAsItComes(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	r.lastReq++
	r.step(Event{Kind: EventRequest, Request: r.lastReq, Ask: Ask{Class: classWrite, Slice: "news", Session: "s",
		Deadline: r.now + time.Second}}, Event{Kind: EventLeft, Request: r.lastReq})
	for _, v := range r.e.rounds.Router.Views(nil) {
		if v.Out != 0 {
			t.Errorf("the module believes that node %d has %d requests", v.Server, v.Out)
		}
	}
	r.quiet()
}

// TestClientLeavesWhileDialing: the connection comes up later and must not carry the request.
func TestClientLeavesWhileDialing(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	r.nodes["p"].deaf = true
	w := r.ask(classWrite, token.Token{})
	var dial Command
	for id, name := range r.connAt {
		if name == "p" && r.e.conns[id] != nil && r.e.conns[id].state == dialing {
			dial.Conn = id
		}
	}
	r.step(Event{Kind: EventLeft, Request: w})
	r.step(Event{Kind: EventDialed, Conn: dial.Conn})
	if r.isSent(w) {
		t.Error("it was sent after its client left")
	}
	r.quiet()
}

// TestIdleConnectionDies: an exchange given to a connection that had just closed was not sent.
func TestIdleConnectionDies(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	first := r.ask(classWrite, token.Token{})
	r.reply(r.sent(first))
	second := r.ask(classWrite, token.Token{})
	c := r.sent(second)
	r.step(Event{Kind: EventClosed, Conn: c.Conn})
	r.run(300 * ms)
	r.reply(r.sent(second))
	if a := r.answer(second); a.Status != Served {
		t.Errorf("answer %+v", a)
	}
	r.quiet()
}

// TestSupersededPrimary: one that answers as primary on a timeline that was left gets nothing more.
func TestSupersededPrimary(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	r.nodes["r1"].facts = primary(at(2, 1010))
	r.nodes["r2"].facts = replica(at(2, 1010))
	r.run(2 * time.Second)
	for range 20 {
		w := r.ask(classWrite, token.Token{})
		c := r.sent(w)
		if c.Node != "r1" {
			t.Fatalf("a write went to %s", c.Node)
		}
		r.reply(c)
		r.run(50 * ms)
	}
	r.quiet()
}

// TestSupersededAnswerIsNotHandedOut: a read that was out at the old primary when the new one was heard.
func TestSupersededAnswerIsNotHandedOut(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	id := r.ask(classDesk, token.Token{})
	c := r.sent(id)
	r.nodes["r1"].facts = primary(at(2, 1010))
	r.run(400 * ms)
	if len(r.answers[id]) == 0 {
		r.reply(c)
		r.run(time.Second)
		if r.isSent(id) {
			if c := r.sent(id); c.Node != "r1" {
				t.Errorf("sent again to %s", c.Node)
			}
		} else if r.answer(id).Status == Served {
			t.Error("served from the old primary")
		}
	}
	r.quiet()
}

// TestStaleAnswerIsNotHandedOut: a replica was proven new and answers with older data, as after it was
// replaced by a copy.
func TestStaleAnswerIsNotHandedOut(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	id := r.ask(classArticle, token.Token{})
	c := r.sent(id)
	r.result(c, Result{Began: true, Done: true, Facts: replica(at(1, 10))})
	if len(r.answers[id]) > 0 && r.answers[id][0].Status == Served {
		t.Fatal("it was served")
	}
	r.run(20 * ms)
	if again := r.sent(id); again.Node == c.Node {
		t.Error("it went to the same replica again")
	} else {
		r.reply(again)
	}
	if r.answer(id).Status != Served {
		t.Error("the second answer was not served")
	}
	r.quiet()
}

// TestStop: nothing new, what is held is answered, and the engine says when it is done.
func TestStop(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	quick, slow := r.ask(classWrite, token.Token{}), r.ask(classWrite, token.Token{})
	r.step(Event{Kind: EventStop, Until: r.now + 500*ms})
	late := r.ask(classArticle, token.Token{})
	if a := r.answer(late); a.Status != Refused || a.Cause != CauseStopping {
		t.Errorf("new request: %+v", a)
	}
	r.reply(r.sent(quick))
	if r.stopped {
		t.Error("stopped with a request held")
	}
	r.run(600 * ms)
	if a := r.answer(quick); a.Status != Served {
		t.Errorf("held request: %+v", a)
	}
	if a := r.answer(slow); a.Status != Failed {
		t.Errorf("write still out: %+v", a)
	}
	if !r.stopped {
		t.Error("not stopped though all is answered")
	}
	r.quiet()
}

func TestMaxOpen(t *testing.T) {
	cfg := testConfig()
	cfg.MaxOpen = 3
	r := newRig(t, cfg, fleetFacts())
	for range 3 {
		r.ask(classWrite, token.Token{})
	}
	if a := r.answer(r.ask(classWrite, token.Token{})); a.Status != Refused || a.Cause != CauseMaxOpen {
		t.Errorf("the fourth: %+v", a)
	}
	r.quiet()
}

func TestUnknownSlice(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	r.step(Event{Kind: EventRequest, Request: 77, Ask: Ask{Slice: "olds", Deadline: r.now + time.Second}})
	if a := r.answer(77); a.Status != Refused || a.Cause != CauseSlice {
		t.Errorf("answer %+v", a)
	}
}

// TestStreamBreaks: once rows went to the client the answer is its own; a break ends it, never a second try.
func TestStreamBreaks(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	id := r.ask(classStats, token.Token{})
	c := r.sent(id)
	r.step(Event{Kind: EventOpened, Conn: c.Conn, Result: Result{Facts: r.nodes[c.Node].facts}})
	r.run(3 * time.Second) // neither time-out nor deadline run on
	if len(r.answers[id]) != 0 {
		t.Fatalf("answered in the midst of its stream: %+v", r.answers[id])
	}
	r.result(c, broken(true, ""))
	if a := r.answer(id); a.Status != Failed || a.Cause != CauseCut || r.isSent(id) {
		t.Errorf("answer %+v, sent again %v", a, r.isSent(id))
	}
	r.quiet()
}

// TestStreamReaderLeaves: the connection is closed, as its rows have nowhere to go.
func TestStreamReaderLeaves(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	id := r.ask(classStats, token.Token{})
	c := r.sent(id)
	r.step(Event{Kind: EventOpened, Conn: c.Conn, Result: Result{Facts: r.nodes[c.Node].facts}})
	r.step(Event{Kind: EventLeft, Request: id})
	if r.e.conns[c.Conn] != nil {
		t.Error("the connection is still there")
	}
	r.quiet()
}

// TestPoolIsBounded: no more connections than the pool's size, and those that wait go out as they come free.
func TestPoolIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.PoolSize = 2
	r := newRig(t, cfg, fleetFacts())
	var ids []RequestID
	for range 6 {
		ids = append(ids, r.ask(classWrite, token.Token{}))
	}
	if n := len(r.sends); n != 2 {
		t.Fatalf("%d are out over a pool of 2", n)
	}
	for len(r.sends) > 0 {
		r.run(5 * ms)
		r.reply(r.sent(r.sends[0].Request))
		if len(r.sends) > 2 {
			t.Fatalf("%d are out", len(r.sends))
		}
	}
	for _, id := range ids {
		if a := r.answer(id); a.Status != Served {
			t.Errorf("request %d: %+v", id, a)
		}
	}
	r.quiet()
}

// TestDriverSessions: without tokens, a session's read sees what the session wrote through this driver.
func TestDriverSessions(t *testing.T) {
	cfg := testConfig()
	cfg.DriverSessions, cfg.SessionBytes, cfg.SessionsWhole = true, 1<<20, true
	r := newRig(t, cfg, fleetFacts())
	w := r.ask(classWrite, token.Token{})
	r.nodes["p"].facts = primary(at(1, 1100))
	r.reply(r.sent(w))
	id := r.ask(classOwn, token.Token{})
	r.run(30 * ms)
	if c := r.sent(id); c.Node != "p" {
		t.Errorf("it went to %s, which stands at 1000", c.Node)
	}
	r.quiet()
}

func freeSessions(most int) *sessions {
	s := newSessions(most)
	s.lift = func(string, time.Duration) (position.Position, bool) { return position.Position{}, false }
	s.passed = func(string, position.Position) bool { return false }
	return s
}

// TestSessionTableIsBounded: a hundred thousand sessions through a table for ten thousand. None of the
// forgotten ones may need less than it wrote.
func TestSessionTableIsBounded(t *testing.T) {
	const sessions, room = 100000, 10000
	s := freeSessions(room * (sessionCost + len("news") + len("s00000")))
	for i := range sessions {
		s.saw("news", fmt.Sprintf("s%05d", i), at(1, uint64(i+1)), time.Duration(i))
	}
	if n := s.known.Len(); n > room || s.bytes > s.most {
		t.Errorf("%d sessions in %d bytes", n, s.bytes)
	}
	for i := range sessions {
		if got := s.needs("news", fmt.Sprintf("s%05d", i)); !got.Covers(at(1, uint64(i+1))) {
			t.Fatalf("session %d needs %v", i, got)
		}
	}
	if got := s.needs("olds", "s1"); !got.IsZero() {
		t.Errorf("another slice needs %v", got)
	}
}

// TestSessionsThatAllPassed leave no floor behind.
func TestSessionsThatAllPassed(t *testing.T) {
	s := freeSessions(1)
	s.passed = func(string, position.Position) bool { return true }
	s.saw("news", "a", at(1, 5), 1)
	if got := s.needs("news", "b"); !got.IsZero() {
		t.Errorf("needs %v", got)
	}
}

// TestSnapshotOfSessions: a whole one is as good as the life before; an old one leaves everybody guarded until
// the primary was heard, and what it knows holds beside that.
func TestSnapshotOfSessions(t *testing.T) {
	cfg := testConfig()
	cfg.DriverSessions, cfg.SessionBytes, cfg.SessionsWhole = true, 1<<20, true
	r := newRig(t, cfg, fleetFacts())
	w := r.ask(classWrite, token.Token{})
	r.nodes["p"].facts = primary(at(1, 1100))
	r.reply(r.sent(w))
	cfg.Sessions = r.e.Sessions()
	next := newRig(t, cfg, map[string]Facts{"p": primary(at(1, 1200)), "r1": replica(at(1, 1050)), "r2": replica(at(1, 1050))})
	id := next.ask(classOwn, token.Token{})
	next.run(100 * ms)
	if c := next.sent(id); c.Node != "p" {
		t.Errorf("after a whole snapshot the session's read went to %s", c.Node)
	}
	cfg.Sessions, cfg.SessionsWhole = nil, false
	guarded := newRig(t, cfg, map[string]Facts{"p": primary(at(1, 1200)), "r1": replica(at(1, 1050)), "r2": replica(at(1, 1050))})
	id = guarded.ask(classOwn, token.Token{})
	guarded.run(100 * ms)
	if c := guarded.sent(id); c.Node != "p" {
		t.Errorf("without a snapshot a session's read went to %s, which lacks what it may have written", c.Node)
	}
	guarded.nodes["r1"].facts, guarded.nodes["r2"].facts = replica(at(1, 1200)), replica(at(1, 1200))
	guarded.run(time.Second)
	id = guarded.ask(classOwn, token.Token{})
	guarded.run(100 * ms)
	if c := guarded.sent(id); c.Node == "p" {
		t.Error("it still goes to the primary though replicas have passed the floor")
	}
}

// TestWithoutToken follows the class's policy, and a token lost on the way counts as more than none.
func TestWithoutToken(t *testing.T) {
	for policy, want := range map[Tokenless]string{TokenlessAccept: "replica", TokenlessPrimary: "p", TokenlessRefuse: "refused"} {
		for _, lost := range []bool{false, true} {
			cfg := testConfig()
			cfg.Tokenless = []Tokenless{classOwn: policy}
			r := newRig(t, cfg, fleetFacts())
			r.step(Event{Kind: EventRequest, Request: 500, Ask: Ask{Class: classOwn, Slice: "news", Lost: lost, Deadline: r.now + time.Second}})
			r.run(30 * ms)
			got := "refused"
			if r.isSent(500) {
				if got = r.sent(500).Node; got != "p" {
					got = "replica"
				}
			} else if a := r.answer(500); a.Cause != CauseTokenless {
				t.Errorf("policy %d: %+v", policy, a)
			}
			expect := want
			if lost && policy == TokenlessAccept {
				expect = "p"
			}
			if got != expect {
				t.Errorf("policy %d, lost %v: %s, want %s", policy, lost, got, expect)
			}
		}
	}
}

// TestTokensThatCanNotBeServed are answered as such: of a write lost in a promotion, ahead of the primary, foreign.
func TestTokensThatCanNotBeServed(t *testing.T) {
	facts := fleetFacts()
	p := primary(at(2, 1000))
	p.Forks = []position.Position{at(1, 900)}
	facts["p"], facts["r1"], facts["r2"] = p, replica(at(2, 1000)), replica(at(2, 1000))
	r := newRig(t, testConfig(), facts)
	if a := r.answer(r.ask(classOwn, token.Token{}.With("news", at(1, 950)))); a.Status != Refused || a.Cause != CauseTokenLost {
		t.Errorf("lost: %+v", a)
	}
	kept := r.ask(classOwn, token.Token{}.With("news", at(1, 900)))
	r.run(30 * ms)
	r.reply(r.sent(kept))
	if a := r.answer(kept); a.Status != Served {
		t.Errorf("kept by the promotion: %+v", a)
	}
	ahead := r.ask(classOwn, token.Token{}.With("news", at(2, 5000)))
	r.run(30 * ms)
	c := r.sent(ahead)
	if c.Node != "p" {
		t.Fatalf("sent to %s", c.Node)
	}
	r.reply(c)
	if a := r.answer(ahead); a.Status != Refused || a.Cause != CauseTokenAhead {
		t.Errorf("ahead: %+v", a)
	}
	r.step(Event{Kind: EventRequest, Request: 700, Ask: Ask{Class: classOwn, Slice: "news", Lost: true,
		Token: token.Token{}.With("news", at(2, 5000)), Deadline: r.now + time.Second}})
	r.run(30 * ms)
	r.reply(r.sent(700))
	if a := r.answer(700); a.Status != Refused || a.Cause != CauseTokenAhead {
		t.Errorf("ahead, and another lost: %+v", a)
	}
	if a := r.answer(r.ask(classOwn, token.Token{}.With("olds", at(1, 5)))); a.Cause != CauseForeign {
		t.Errorf("foreign: %+v", a)
	}
	r.quiet()
}

// TestPlacesLongPassedAreDropped from tokens that go back to clients.
func TestPlacesLongPassedAreDropped(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	list := []Node{{Name: "p", Address: "p:1", Slice: "news", Hall: "a"}, {Name: "r1", Address: "r1:1", Slice: "news", Hall: "a"},
		{Name: "r2", Address: "r2:1", Slice: "news", Hall: "a"}, {Name: "q", Address: "q:1", Slice: "olds", Hall: "a"}}
	r.nodes["q"] = &fakeNode{facts: primary(at(1, 1000))}
	r.step(Event{Kind: EventList, List: balance.ListFull, Nodes: list})
	r.run(time.Second)
	both := token.Token{}.With("news", at(1, 990)).With("olds", at(1, 990))
	for _, wait := range []time.Duration{0, 2 * longPassed} {
		r.run(wait)
		id := r.ask(classOwn, both)
		r.run(30 * ms)
		r.reply(r.sent(id))
		if _, named := r.answer(id).Token.At("olds"); named != (wait == 0) {
			t.Errorf("after %v the place of the other slice is named: %v", wait, named)
		}
	}
}

// TestRefusedConnections: full nodes are told as full, not as dead.
func TestRefusedConnections(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	r.nodes["p"].deaf = true
	w := r.ask(classWrite, token.Token{})
	for id, c := range r.e.conns {
		if c.state == dialing {
			r.step(Event{Kind: EventDialed, Conn: id, Dial: &DialError{Full: true, Err: errFull{}}})
			break
		}
	}
	r.nodes["p"].deaf = false
	r.run(500 * ms)
	if !r.isSent(w) && len(r.answers[w]) == 0 {
		t.Error("the write is neither out nor answered")
	}
	r.quiet()
}

type errFull struct{}

func (errFull) Error() string { return "too many connections" }

func TestConfigIsChecked(t *testing.T) {
	if _, err := New(Config{}, 1); err == nil {
		t.Error("an empty configuration was taken")
	}
	cfg := testConfig()
	cfg.Router.Classes = nil
	if _, err := New(cfg, 1); err == nil {
		t.Error("a configuration without classes was taken")
	}
}

// TestTokenWithABoundedRead: the token counts beside the bound, and no attempt is wasted on replicas behind it.
func TestTokenWithABoundedRead(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	r.nodes["p"].facts = primary(at(1, 1500))
	for _, class := range []int{classArticle, classStats} {
		id := r.ask(class, token.Token{}.With("news", at(1, 1500)))
		r.run(30 * ms)
		c := r.sent(id)
		if c.Node != "p" {
			t.Errorf("class %d went to %s, which stands at 1000", class, c.Node)
		}
		r.reply(c)
		if a := r.answer(id); a.Status != Served || a.Attempts != 1 {
			t.Errorf("class %d: %+v", class, a)
		}
	}
	r.quiet()
}

// TestUnknownPlaceAfterAPromotion: a replica that follows the new timeline and still replays what it shares with
// the old one may lack the commit whose place was not heard.
func TestUnknownPlaceAfterAPromotion(t *testing.T) {
	facts := map[string]Facts{"p": primary(at(2, 1000)), "r1": replica(at(2, 600)), "r2": replica(at(2, 600))}
	r := newRig(t, testConfig(), facts)
	tok := token.Token{}.With("news", at(1, position.Unknown))
	id := r.ask(classOwn, tok)
	r.run(50 * ms)
	if c := r.sent(id); c.Node != "p" {
		t.Errorf("it went to %s", c.Node)
	}
	r.nodes["r1"].facts, r.nodes["r2"].facts = replica(at(2, 1000)), replica(at(2, 1000))
	r.run(time.Second)
	id = r.ask(classOwn, tok)
	r.run(50 * ms)
	c := r.sent(id)
	r.reply(c)
	a := r.answer(id)
	if got, _ := a.Token.At("news"); a.Status != Served || got != at(2, 1000) {
		t.Errorf("at %s: %+v; its token says more than the answer holds", c.Node, a)
	}
	r.quiet()
}

// TestShellThatStoodStill: polls were answered while the shell stood still for longer than they may take. Taken late,
// the answers count; taken as ever, the time-outs do, and every node seems gone.
func TestShellThatStoodStill(t *testing.T) {
	for _, late := range []bool{false, true} {
		r := newRig(t, testConfig(), fleetFacts())
		r.run(time.Second)
		for _, n := range r.nodes {
			n.silent = true
		}
		asked := map[string]ConnID{}
		for len(asked) < 3 {
			at, _ := r.e.Wake()
			r.now = at
			for _, c := range r.e.Step(r.now, nil, nil) {
				if c.Kind == CommandAsk {
					asked[r.connAt[c.Conn]] = c.Conn
				}
			}
		}
		r.now += 200 * time.Second
		var answers []Event
		for name, conn := range asked {
			answers = append(answers, Event{Kind: EventResult, Conn: conn, Result: Result{Facts: r.nodes[name].facts}})
		}
		step := r.e.Step
		if late {
			step = r.e.StepLate
		}
		step(r.now, answers, nil)
		failing := 0
		for _, n := range r.e.Nodes() {
			if n.Failing > 0 {
				failing++
			}
		}
		if late && failing > 0 || !late && failing == 0 {
			t.Errorf("late %v: %d nodes seem gone", late, failing)
		}
	}
}
