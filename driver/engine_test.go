package driver

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"weak"

	"umberladder/balance"
	"umberladder/position"
	"umberladder/token"
)

func TestOrdinaryPath(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	w := r.request(classWrite, token.Token{})
	c := r.sent(w)
	if c.Node != "p" || !c.Write {
		t.Fatalf("the write went to %s, write %v", c.Node, c.Write)
	}
	r.nodes["p"].facts = primary(at(1, 1100))
	r.reply(c)
	a := r.answer(w)
	if got, _ := a.Token.Position("news"); a.Status != Served || got != at(1, 1100) {
		t.Fatalf("answer %+v with token for %v", a, got)
	}
	read := r.request(classArticle, token.Token{})
	if c := r.sent(read); c.Node == "p" {
		t.Error("an article-read went to the primary though replicas are as recent")
	} else {
		r.reply(c)
	}
	if r.answer(read).Status != Served {
		t.Error("the read was not served")
	}
	r.checkIdle()
}

// TestTokenNewerThanEveryReplica: a read with such a token goes to the primary, or to a replica once that is
// proven to have the position.
func TestTokenNewerThanEveryReplica(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	tok := token.Token{}.With("news", at(1, 1500))
	r.nodes["p"].facts = primary(at(1, 1500))
	id := r.request(classOwn, tok)
	r.run(30 * ms)
	c := r.sent(id)
	if c.Node != "p" {
		t.Fatalf("it went to %s, which is at 1000", c.Node)
	}
	r.reply(c)
	if got, _ := r.answer(id).Token.Position("news"); got != at(1, 1500) {
		t.Errorf("token for %v", got)
	}
	r.checkIdle()
}

// TestTokenAheadOfEveryNode: a read whose token no node has reached must not be served stale.
func TestTokenAheadOfEveryNode(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	id := r.request(classOwn, token.Token{}.With("news", at(1, 99999)))
	for range 40 {
		for _, c := range append([]Command(nil), r.sends...) {
			r.reply(r.sent(c.Request))
		}
		r.run(30 * ms)
	}
	if a := r.answer(id); a.Status == Served {
		t.Fatalf("served: %+v", a)
	}
	r.checkIdle()
}

// TestCommitWithoutPosition: the connection broke after the commit was answered and before its position. The write
// is served, and its token requires the latest position until a known one replaces it.
func TestCommitWithoutPosition(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	w := r.request(classWrite, token.Token{})
	r.result(r.sent(w), Result{End: EndBroken, Started: true, Done: true})
	a := r.answer(w)
	got, _ := a.Token.Position("news")
	if a.Status != Served || got.LSN != position.UnknownLSN {
		t.Fatalf("answer %+v, token for %v", a, got)
	}
	id := r.request(classOwn, a.Token)
	r.run(30 * ms)
	c := r.sent(id)
	if c.Node != "p" {
		t.Fatalf("the read that must see it went to %s", c.Node)
	}
	r.nodes["p"].facts = primary(at(1, 1200))
	r.reply(c)
	if got, _ := r.answer(id).Token.Position("news"); got != at(1, 1200) {
		t.Errorf("the token still requires %v", got)
	}
	r.checkIdle()
}

// TestWriteDisconnectedAfterSend: the write may have run, so it fails and is not resent.
func TestWriteDisconnectedAfterSend(t *testing.T) {
	for _, res := range []Result{broken(false, ""), broken(true, ""), broken(true, "57P01")} {
		r := newHarness(t, testConfig(), fleetFacts())
		w := r.request(classWrite, token.Token{})
		r.result(r.sent(w), res)
		r.run(3 * time.Second)
		if a := r.answer(w); a.Status != Failed || a.Attempts != 1 {
			t.Errorf("%+v: answer %+v", res, a)
		}
		r.checkIdle()
	}
}

// TestAnsweredRequestIsReleased: once a request is answered, no timer, queue or connection holds it any longer. Its
// deadline may be far.
func TestAnsweredRequestIsReleased(t *testing.T) {
	for name, unusable := range map[string]bool{"served": false, "failed": true} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, longDeadlines(), fleetFacts())
			var ids []RequestID
			var held []weak.Pointer[request]
			for range 6 {
				id := r.request(classWrite, token.Token{})
				ids, held = append(ids, id), append(held, weak.Make(r.e.requests[id]))
			}
			for _, id := range ids {
				for r.run(20 * ms); len(r.answers[id]) == 0; r.run(20 * ms) {
					if c := r.sent(id); unusable {
						r.result(c, broken(true, "XX000"))
					} else {
						r.reply(c)
					}
				}
			}
			runtime.GC()
			for i, p := range held {
				if p.Value() != nil {
					t.Errorf("request %d is still held after its answer", ids[i])
				}
			}
			runtime.KeepAlive(r)
		})
	}
}

// TestWriteThatNeverRanIsResent: with evidence that nothing ran, even an unsafe write is resent.
func TestWriteThatNeverRanIsResent(t *testing.T) {
	for _, res := range []Result{broken(false, "57P01"), {End: EndNotSent}} {
		r := newHarness(t, testConfig(), fleetFacts())
		w := r.request(classWrite, token.Token{})
		r.result(r.sent(w), res)
		r.run(300 * ms)
		r.reply(r.sent(w))
		if a := r.answer(w); a.Status != Served || a.Attempts != 2 {
			t.Errorf("%+v: answer %+v", res, a)
		}
		r.checkIdle()
	}
}

// TestReplyAfterTimeout: the client has its answer; the late reply only makes the connection idle.
func TestReplyAfterTimeout(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	w := r.request(classWrite, token.Token{})
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
	r.checkIdle()
}

// TestLingerEnds: a connection whose reply never comes is closed.
func TestLingerEnds(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	w := r.request(classWrite, token.Token{})
	c := r.sent(w)
	r.run(8 * time.Second)
	if !r.closed[c.Conn] {
		t.Error("no command to close it")
	}
	if n := r.e.byKey[nodeKey{"p", "p:1", "news", 0}].Busy; n != 0 {
		t.Errorf("%d connections still busy", n)
	}
	r.checkIdle()
}

// TestClientLeavesDuringAttempt: no answer is sent, nothing more is sent to nodes, and the connection is reused
// only after its reply.
func TestClientLeavesDuringAttempt(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	w := r.request(classWrite, token.Token{})
	c := r.sent(w)
	r.step(Event{Kind: EventClientLeft, Request: w})
	if r.e.Held() != 0 {
		t.Error("the request is still held")
	}
	r.reply(c)
	if len(r.answers[w]) != 0 {
		t.Errorf("answers %+v", r.answers[w])
	}
	r.checkIdle()
}

// TestClientLeavesInTheStepOfItsRequest: the router starts an attempt before it learns that the client
// disconnected, and must be notified of the attempt's outcome.
func TestClientLeavesInTheStepOfItsRequest(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.lastReq++
	r.step(Event{Kind: EventRequest, Request: r.lastReq, Params: RequestParams{Class: classWrite, Slice: "news", Session: "s",
		Deadline: r.now + time.Second}}, Event{Kind: EventClientLeft, Request: r.lastReq})
	for _, v := range r.e.rounds.Router.Views(nil) {
		if v.Pending != 0 {
			t.Errorf("the router counts requests at node %d: %d", v.Server, v.Pending)
		}
	}
	r.checkIdle()
}

// TestClientLeavesWhileDialing: the connection opens later and must not carry the request.
func TestClientLeavesWhileDialing(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.nodes["p"].unreachable = true
	w := r.request(classWrite, token.Token{})
	var dial Command
	for id, name := range r.connAt {
		if name == "p" && r.e.conns[id] != nil && r.e.conns[id].state == dialing {
			dial.Conn = id
		}
	}
	r.step(Event{Kind: EventClientLeft, Request: w})
	r.step(Event{Kind: EventDialed, Conn: dial.Conn})
	if r.isSent(w) {
		t.Error("it was sent after its client left")
	}
	r.checkIdle()
}

// TestIdleConnectionCloses: an exchange assigned to a connection that had just closed counts as not sent.
func TestIdleConnectionCloses(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	first := r.request(classWrite, token.Token{})
	r.reply(r.sent(first))
	second := r.request(classWrite, token.Token{})
	c := r.sent(second)
	r.step(Event{Kind: EventClosed, Conn: c.Conn})
	r.run(300 * ms)
	r.reply(r.sent(second))
	if a := r.answer(second); a.Status != Served {
		t.Errorf("answer %+v", a)
	}
	r.checkIdle()
}

// TestSupersededPrimary: a node that reports itself as primary of an abandoned timeline gets no requests.
func TestSupersededPrimary(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.nodes["r1"].facts = primary(at(2, 1010))
	r.nodes["r2"].facts = replica(at(2, 1010))
	r.run(2 * time.Second)
	for range 20 {
		w := r.request(classWrite, token.Token{})
		c := r.sent(w)
		if c.Node != "r1" {
			t.Fatalf("a write went to %s", c.Node)
		}
		r.reply(c)
		r.run(50 * ms)
	}
	r.checkIdle()
}

// TestSupersededAnswerIsNotServed: a read is in flight at the old primary when the new one is detected; its answer
// must not be served.
func TestSupersededAnswerIsNotServed(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	id := r.request(classDesk, token.Token{})
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
	r.checkIdle()
}

// TestStaleAnswerIsNotServed: a replica that was proven recent answers with older data, as after it was replaced
// by an older copy.
func TestStaleAnswerIsNotServed(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	id := r.request(classArticle, token.Token{})
	c := r.sent(id)
	r.result(c, Result{Started: true, Done: true, Facts: replica(at(1, 10))})
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
	r.checkIdle()
}

// TestStop: no new requests are accepted, open ones are answered by the deadline, and the engine reports that it
// has stopped.
func TestStop(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	quick, slow := r.request(classWrite, token.Token{}), r.request(classWrite, token.Token{})
	r.step(Event{Kind: EventStop, Until: r.now + 500*ms})
	late := r.request(classArticle, token.Token{})
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
		t.Errorf("write still in flight: %+v", a)
	}
	if !r.stopped {
		t.Error("not stopped though all is answered")
	}
	r.checkIdle()
}

func TestMaxOpen(t *testing.T) {
	cfg := testConfig()
	cfg.MaxOpen = 3
	r := newHarness(t, cfg, fleetFacts())
	for range 3 {
		r.request(classWrite, token.Token{})
	}
	if a := r.answer(r.request(classWrite, token.Token{})); a.Status != Refused || a.Cause != CauseMaxOpen {
		t.Errorf("the fourth: %+v", a)
	}
	r.checkIdle()
}

func TestUnknownSlice(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.step(Event{Kind: EventRequest, Request: 77, Params: RequestParams{Slice: "olds", Deadline: r.now + time.Second}})
	if a := r.answer(77); a.Status != Refused || a.Cause != CauseSlice {
		t.Errorf("answer %+v", a)
	}
}

// TestStreamBreaks: after rows went to the client, a failure ends the answer; there is no further attempt.
func TestStreamBreaks(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	id := r.request(classStats, token.Token{})
	c := r.sent(id)
	r.step(Event{Kind: EventStreamStarted, Conn: c.Conn, Result: Result{Facts: r.nodes[c.Node].facts}})
	r.run(3 * time.Second) // neither the time limit nor the deadline ends a stream
	if len(r.answers[id]) != 0 {
		t.Fatalf("answered during its stream: %+v", r.answers[id])
	}
	r.result(c, broken(true, ""))
	if a := r.answer(id); a.Status != Failed || a.Cause != CauseStreamBroken || r.isSent(id) {
		t.Errorf("answer %+v, sent again %v", a, r.isSent(id))
	}
	r.checkIdle()
}

// TestStreamReaderLeaves: the connection is closed, as its rows have no reader.
func TestStreamReaderLeaves(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	id := r.request(classStats, token.Token{})
	c := r.sent(id)
	r.step(Event{Kind: EventStreamStarted, Conn: c.Conn, Result: Result{Facts: r.nodes[c.Node].facts}})
	r.step(Event{Kind: EventClientLeft, Request: id})
	if r.e.conns[c.Conn] != nil {
		t.Error("the connection is still there")
	}
	r.checkIdle()
}

// TestPoolIsBounded: no more connections than PoolSize, and queued attempts are sent as connections become idle.
func TestPoolIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.PoolSize = 2
	r := newHarness(t, cfg, fleetFacts())
	var ids []RequestID
	for range 6 {
		ids = append(ids, r.request(classWrite, token.Token{}))
	}
	if n := len(r.sends); n != 2 {
		t.Fatalf("%d in flight with a pool of 2", n)
	}
	for len(r.sends) > 0 {
		r.run(5 * ms)
		r.reply(r.sent(r.sends[0].Request))
		if len(r.sends) > 2 {
			t.Fatalf("%d in flight", len(r.sends))
		}
	}
	for _, id := range ids {
		if a := r.answer(id); a.Status != Served {
			t.Errorf("request %d: %+v", id, a)
		}
	}
	r.checkIdle()
}

// TestDriverSessions: without tokens, a session's reads see what the session wrote through this driver.
func TestDriverSessions(t *testing.T) {
	cfg := testConfig()
	cfg.DriverSessions, cfg.SessionBytes, cfg.SessionsComplete = true, 1<<20, true
	r := newHarness(t, cfg, fleetFacts())
	w := r.request(classWrite, token.Token{})
	r.nodes["p"].facts = primary(at(1, 1100))
	r.reply(r.sent(w))
	id := r.request(classOwn, token.Token{})
	r.run(30 * ms)
	if c := r.sent(id); c.Node != "p" {
		t.Errorf("it went to %s, which is at 1000", c.Node)
	}
	r.checkIdle()
}

func newTestSessions(maxBytes int) *sessions {
	s := newSessions(maxBytes)
	s.reportedAfter = func(string, time.Duration) (position.Position, bool) { return position.Position{}, false }
	s.passedByAll = func(string, position.Position) bool { return false }
	return s
}

// TestSessionTableIsBounded: 100,000 sessions in a table for 10,000. An evicted session must not require less than
// it wrote.
func TestSessionTableIsBounded(t *testing.T) {
	const sessions, capacity = 100000, 10000
	s := newTestSessions(capacity * (sessionCost + len("news") + len("s00000")))
	for i := range sessions {
		s.observe("news", fmt.Sprintf("s%05d", i), at(1, uint64(i+1)), time.Duration(i))
	}
	if n := s.tracked.Len(); n > capacity || s.bytes > s.maxBytes {
		t.Errorf("%d sessions in %d bytes", n, s.bytes)
	}
	for i := range sessions {
		if got := s.required("news", fmt.Sprintf("s%05d", i)); !got.Covers(at(1, uint64(i+1))) {
			t.Fatalf("session %d requires %v", i, got)
		}
	}
	if got := s.required("olds", "s1"); !got.IsZero() {
		t.Errorf("another slice requires %v", got)
	}
}

// TestSessionsThatAllNodesPassed: evicting such a session raises no floor.
func TestSessionsThatAllNodesPassed(t *testing.T) {
	s := newTestSessions(1)
	s.passedByAll = func(string, position.Position) bool { return true }
	s.observe("news", "a", at(1, 5), 1)
	if got := s.required("news", "b"); !got.IsZero() {
		t.Errorf("requires %v", got)
	}
}

// TestSnapshotOfSessions: after a restart with complete state, sessions see their writes. Without it, every session
// requires the latest position until the primary has reported one.
func TestSnapshotOfSessions(t *testing.T) {
	cfg := testConfig()
	cfg.DriverSessions, cfg.SessionBytes, cfg.SessionsComplete = true, 1<<20, true
	r := newHarness(t, cfg, fleetFacts())
	w := r.request(classWrite, token.Token{})
	r.nodes["p"].facts = primary(at(1, 1100))
	r.reply(r.sent(w))
	cfg.Sessions = r.e.Sessions()
	next := newHarness(t, cfg, map[string]Facts{"p": primary(at(1, 1200)), "r1": replica(at(1, 1050)), "r2": replica(at(1, 1050))})
	id := next.request(classOwn, token.Token{})
	next.run(100 * ms)
	if c := next.sent(id); c.Node != "p" {
		t.Errorf("after a complete snapshot the session's read went to %s", c.Node)
	}
	cfg.Sessions, cfg.SessionsComplete = nil, false
	restarted := newHarness(t, cfg, map[string]Facts{"p": primary(at(1, 1200)), "r1": replica(at(1, 1050)), "r2": replica(at(1, 1050))})
	id = restarted.request(classOwn, token.Token{})
	restarted.run(100 * ms)
	if c := restarted.sent(id); c.Node != "p" {
		t.Errorf("without a snapshot a session's read went to %s, which lacks what it may have written", c.Node)
	}
	restarted.nodes["r1"].facts, restarted.nodes["r2"].facts = replica(at(1, 1200)), replica(at(1, 1200))
	restarted.run(time.Second)
	id = restarted.request(classOwn, token.Token{})
	restarted.run(100 * ms)
	if c := restarted.sent(id); c.Node == "p" {
		t.Error("a read still goes to the primary though replicas have passed the floor")
	}
}

// TestIncompleteSnapshotOfSessions: a session that is known only from an incomplete snapshot may have written since then.
// Its read must see the latest position, until it has read or written in this run.
func TestIncompleteSnapshotOfSessions(t *testing.T) {
	cfg := testConfig()
	cfg.DriverSessions, cfg.SessionBytes, cfg.SessionsComplete = true, 1<<20, false
	cfg.Router.LagPolicy, cfg.Router.Probing = balance.LagReject, false // replicas are tried without proof that they are new enough
	cfg.Sessions = &SessionState{Sessions: []SessionPosition{{Slice: "news", Session: "s", At: at(1, 1000)}}}
	r := newHarness(t, cfg, map[string]Facts{"p": primary(at(1, 1200)), "r1": replica(at(1, 1100)), "r2": replica(at(1, 1100))})
	id := r.request(classOwn, token.Token{})
	for r.run(100 * ms); r.isSent(id); r.run(100 * ms) {
		r.reply(r.sent(id))
	}
	if a := r.answer(id); a.Status == Served && a.Node != "p" {
		t.Errorf("served by %s, which has what the snapshot tells, but may lack later writes of the session", a.Node)
	}
	r.e.sessions.observe("news", "s", at(1, 1200), r.now)
	if need := r.e.sessions.required("news", "s"); !need.Covers(at(1, 1200)) || need.LSN == position.UnknownLSN {
		t.Errorf("after a write at 1:1200 the session requires %v", need)
	}
}

// TestWithoutToken: a read without a token is treated by its class's policy, and one whose token was lost in
// transit at least as strictly as by requiring the latest position.
func TestWithoutToken(t *testing.T) {
	for policy, want := range map[MissingTokenPolicy]string{MissingTokenAccept: "replica", MissingTokenPrimary: "p", MissingTokenRefuse: "refused"} {
		for _, lost := range []bool{false, true} {
			cfg := testConfig()
			cfg.MissingToken = []MissingTokenPolicy{classOwn: policy}
			r := newHarness(t, cfg, fleetFacts())
			r.step(Event{Kind: EventRequest, Request: 500, Params: RequestParams{Class: classOwn, Slice: "news", TokenLost: lost, Deadline: r.now + time.Second}})
			r.run(30 * ms)
			got := "refused"
			if r.isSent(500) {
				if got = r.sent(500).Node; got != "p" {
					got = "replica"
				}
			} else if a := r.answer(500); a.Cause != CauseTokenMissing {
				t.Errorf("policy %d: %+v", policy, a)
			}
			expect := want
			if lost && policy == MissingTokenAccept {
				expect = "p"
			}
			if got != expect {
				t.Errorf("policy %d, lost %v: %s, want %s", policy, lost, got, expect)
			}
		}
	}
}

// TestUnservableTokens: tokens of a write lost in a promotion, ahead of the primary, or foreign are refused with
// their own causes.
func TestUnservableTokens(t *testing.T) {
	facts := fleetFacts()
	p := primary(at(2, 1000))
	p.Forks = []position.Position{at(1, 900)}
	facts["p"], facts["r1"], facts["r2"] = p, replica(at(2, 1000)), replica(at(2, 1000))
	r := newHarness(t, testConfig(), facts)
	if a := r.answer(r.request(classOwn, token.Token{}.With("news", at(1, 950)))); a.Status != Refused || a.Cause != CauseTokenLost {
		t.Errorf("lost: %+v", a)
	}
	kept := r.request(classOwn, token.Token{}.With("news", at(1, 900)))
	r.run(30 * ms)
	r.reply(r.sent(kept))
	if a := r.answer(kept); a.Status != Served {
		t.Errorf("kept by the promotion: %+v", a)
	}
	ahead := r.request(classOwn, token.Token{}.With("news", at(2, 5000)))
	r.run(30 * ms)
	c := r.sent(ahead)
	if c.Node != "p" {
		t.Fatalf("sent to %s", c.Node)
	}
	r.reply(c)
	if a := r.answer(ahead); a.Status != Refused || a.Cause != CauseTokenAhead {
		t.Errorf("ahead: %+v", a)
	}
	r.step(Event{Kind: EventRequest, Request: 700, Params: RequestParams{Class: classOwn, Slice: "news", TokenLost: true,
		Token: token.Token{}.With("news", at(2, 5000)), Deadline: r.now + time.Second}})
	r.run(30 * ms)
	r.reply(r.sent(700))
	if a := r.answer(700); a.Status != Refused || a.Cause != CauseTokenAhead {
		t.Errorf("ahead, and another lost: %+v", a)
	}
	if a := r.answer(r.request(classOwn, token.Token{}.With("olds", at(1, 5)))); a.Cause != CauseForeignToken {
		t.Errorf("foreign: %+v", a)
	}
	r.checkIdle()
}

// TestOldPositionsAreDroppedFromTokens: positions of other slices that all nodes passed long ago are not returned
// to clients.
func TestOldPositionsAreDroppedFromTokens(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	list := []Node{{Name: "p", Address: "p:1", Slice: "news", Zone: "a"}, {Name: "r1", Address: "r1:1", Slice: "news", Zone: "a"},
		{Name: "r2", Address: "r2:1", Slice: "news", Zone: "a"}, {Name: "q", Address: "q:1", Slice: "olds", Zone: "a"}}
	r.nodes["q"] = &fakeNode{facts: primary(at(1, 1000))}
	r.step(Event{Kind: EventNodeList, List: balance.ListFull, Nodes: list})
	r.run(time.Second)
	both := token.Token{}.With("news", at(1, 990)).With("olds", at(1, 990))
	for _, wait := range []time.Duration{0, 2 * minPruneAge} {
		r.run(wait)
		id := r.request(classOwn, both)
		r.run(30 * ms)
		r.reply(r.sent(id))
		if _, named := r.answer(id).Token.Position("olds"); named != (wait == 0) {
			t.Errorf("after %v the other slice's position is in the token: %v", wait, named)
		}
	}
}

// TestRefusedConnections: a node that refuses a connection as full must not count as failed.
func TestRefusedConnections(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.nodes["p"].unreachable = true
	w := r.request(classWrite, token.Token{})
	for id, c := range r.e.conns {
		if c.state == dialing {
			r.step(Event{Kind: EventDialed, Conn: id, Dial: &DialError{Full: true, Err: errFull{}}})
			break
		}
	}
	r.nodes["p"].unreachable = false
	r.run(500 * ms)
	if !r.isSent(w) && len(r.answers[w]) == 0 {
		t.Error("the write is neither in flight nor answered")
	}
	r.checkIdle()
}

type errFull struct{}

func (errFull) Error() string { return "too many connections" }

func TestConfigIsChecked(t *testing.T) {
	if _, err := New(Config{}, 1); err == nil {
		t.Error("an empty configuration was accepted")
	}
	cfg := testConfig()
	cfg.Router.Classes = nil
	if _, err := New(cfg, 1); err == nil {
		t.Error("a configuration without classes was accepted")
	}
}

// TestTokenWithABoundedRead: the token applies besides the staleness bound, and no attempt is wasted on a replica
// that is behind it.
func TestTokenWithABoundedRead(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.nodes["p"].facts = primary(at(1, 1500))
	for _, class := range []int{classArticle, classStats} {
		id := r.request(class, token.Token{}.With("news", at(1, 1500)))
		r.run(30 * ms)
		c := r.sent(id)
		if c.Node != "p" {
			t.Errorf("class %d went to %s, which is at 1000", class, c.Node)
		}
		r.reply(c)
		if a := r.answer(id); a.Status != Served || a.Attempts != 1 {
			t.Errorf("class %d: %+v", class, a)
		}
	}
	r.checkIdle()
}

// TestUnknownPositionAfterAPromotion: a replica on the new timeline that still replays log shared with the old one
// may lack a commit whose position is unknown.
func TestUnknownPositionAfterAPromotion(t *testing.T) {
	facts := map[string]Facts{"p": primary(at(2, 1000)), "r1": replica(at(2, 600)), "r2": replica(at(2, 600))}
	r := newHarness(t, testConfig(), facts)
	tok := token.Token{}.With("news", at(1, position.UnknownLSN))
	id := r.request(classOwn, tok)
	r.run(50 * ms)
	if c := r.sent(id); c.Node != "p" {
		t.Errorf("it went to %s", c.Node)
	}
	r.nodes["r1"].facts, r.nodes["r2"].facts = replica(at(2, 1000)), replica(at(2, 1000))
	r.run(time.Second)
	id = r.request(classOwn, tok)
	r.run(50 * ms)
	c := r.sent(id)
	r.reply(c)
	a := r.answer(id)
	if got, _ := a.Token.Position("news"); a.Status != Served || got != at(2, 1000) {
		t.Errorf("at %s: %+v; its token is beyond the answer's position", c.Node, a)
	}
	r.checkIdle()
}

// TestStalledIOLayer: polls were answered while the I/O layer was stalled for longer than Config.PollTimeout. With
// StepLate the answers count; with Step the time-outs do, and all nodes seem unreachable.
func TestStalledIOLayer(t *testing.T) {
	for _, late := range []bool{false, true} {
		r := newHarness(t, testConfig(), fleetFacts())
		r.run(time.Second)
		for _, n := range r.nodes {
			n.silent = true
		}
		polled := map[string]ConnID{}
		for len(polled) < 3 {
			at, _ := r.e.NextTimer()
			r.now = at
			for _, c := range r.e.Step(r.now, nil, nil) {
				if c.Kind == CommandReadFacts {
					polled[r.connAt[c.Conn]] = c.Conn
				}
			}
		}
		r.now += 200 * time.Second
		var answers []Event
		for name, conn := range polled {
			answers = append(answers, Event{Kind: EventResult, Conn: conn, Result: Result{Facts: r.nodes[name].facts}})
		}
		step := r.e.Step
		if late {
			step = r.e.StepLate
		}
		step(r.now, answers, nil)
		failing := 0
		for _, n := range r.e.Nodes() {
			if n.FailingSince > 0 {
				failing++
			}
		}
		if late && failing > 0 || !late && failing == 0 {
			t.Errorf("late %v: %d nodes seem unreachable", late, failing)
		}
	}
}
