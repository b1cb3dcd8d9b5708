package driver

import (
	"testing"

	"umberladder/position"
	"umberladder/token"
)

// readAt has a read of a session answered from a place, having seen up to another, and returns its token's place.
func (r *rig) readAt(class int, tok token.Token, before, after Facts) (position.Position, Answer) {
	r.t.Helper()
	id := r.ask(class, tok)
	r.run(50 * ms)
	r.result(r.sent(id), Result{Began: true, Done: true, Facts: before, After: after})
	a := r.answer(id)
	p, _ := a.Token.At("news")
	return p, a
}

// TestBackInTime: a session read at a replica, and what it saw came while the read ran. Its next read must not be
// served from where the first one began.
func TestBackInTime(t *testing.T) {
	r := newRig(t, testConfig(), map[string]Facts{"p": primary(at(1, 192)), "r1": replica(at(1, 128)), "r2": replica(at(1, 128))})
	before, after := replica(at(1, 128)), replica(at(1, 192))
	seen, a := r.readAt(classOwn, token.Token{}, before, after)
	if seen.LSN != 192 {
		t.Fatalf("its token says %v though it saw 192", seen)
	}
	if held, _ := a.Holds.At("news"); held.LSN != 128 {
		t.Errorf("it holds %v for certain, though the place before it was 128", held)
	}
	id := r.ask(classOwn, a.Token)
	r.run(50 * ms)
	if c := r.sent(id); c.Node != "p" {
		t.Errorf("the next one went to %s, which stands at 128", c.Node)
	}
	r.quiet()
}

// TestRecordUnderWay: a replica shows a commit before its place moves past it. The token then stands beyond the
// record that was being replayed; whoever has replayed it serves, whoever has not does not.
func TestRecordUnderWay(t *testing.T) {
	under := replica(at(1, 128))
	under.Received = 192
	r := newRig(t, testConfig(), map[string]Facts{"p": primary(at(1, 192)), "r1": under, "r2": under})
	seen, a := r.readAt(classOwn, token.Token{}, under, under)
	if seen.LSN != 129 {
		t.Fatalf("its token says %v", seen)
	}
	id := r.ask(classOwn, a.Token)
	r.run(50 * ms)
	c := r.sent(id)
	r.result(c, Result{Began: true, Done: true, Facts: under, After: under})
	if len(r.answers[id]) > 0 {
		t.Errorf("served by %s, which stands where the record begins", c.Node)
	}
	r.quiet()
}

// TestShownBeforeThePrimary: with synchronous standbys a replica may show a commit that its primary does not show
// yet. The primary serves whoever saw it once every transaction up to there is over, and not before.
func TestShownBeforeThePrimary(t *testing.T) {
	saw := replica(at(1, 1000))
	saw.Shown = position.TransactionsBelow(701)
	waits := primary(position.Position{Timeline: 1, LSN: 1000, Transactions: position.TransactionsBelow(700)})
	r := newRig(t, testConfig(), map[string]Facts{"p": waits, "r1": saw, "r2": saw})
	_, a := r.readAt(classOwn, token.Token{}, saw, saw)
	id := r.ask(classDesk, a.Token) // only the primary takes it
	r.run(50 * ms)
	r.result(r.sent(id), Result{Began: true, Done: true, Facts: waits, After: waits})
	if len(r.answers[id]) > 0 {
		t.Fatalf("served by a primary that shows less: %+v", r.answers[id])
	}
	over := primary(position.Position{Timeline: 1, LSN: 1000, Transactions: position.TransactionsBelow(701)})
	r.nodes["p"].facts = over
	r.run(20 * ms)
	if !r.isSent(id) {
		id = r.ask(classDesk, a.Token)
		r.run(50 * ms)
	}
	r.result(r.sent(id), Result{Began: true, Done: true, Facts: over, After: over})
	if got := r.answer(id); got.Status != Served {
		t.Errorf("%+v", got)
	}
	r.quiet()
}

// TestStreamThatEndsAfterAPromotion: its token covers what its last row may show, by the timeline of its end.
func TestStreamThatEndsAfterAPromotion(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	id := r.ask(classStats, token.Token{})
	r.run(50 * ms)
	c := r.sent(id)
	r.step(Event{Kind: EventOpened, Conn: c.Conn, Result: Result{Facts: replica(at(1, 1000))}})
	r.result(c, Result{Began: true, Done: true, Facts: replica(at(1, 1000)), After: primary(at(2, 1200))})
	a := r.answer(id)
	if p, _ := a.Token.At("news"); p != at(2, 1200) {
		t.Errorf("token %v", p)
	}
	r.quiet()
}

// TestReadAtAPrimaryBeingDeposed: it saw commits that the promotion left out; the token says so once that is known.
func TestReadAtAPrimaryBeingDeposed(t *testing.T) {
	r := newRig(t, testConfig(), map[string]Facts{"p": primary(at(1, 1000)), "r1": replica(at(1, 900)), "r2": replica(at(1, 900))})
	_, a := r.readAt(classDesk, token.Token{}, primary(at(1, 1000)), primary(at(1, 1100)))
	promoted := primary(at(2, 960))
	promoted.Forks = []position.Position{at(1, 950)}
	r.nodes["r1"].facts, r.nodes["r2"].facts, r.nodes["p"].facts = promoted, replica(at(2, 960)), replica(at(2, 960))
	r.run(2000 * ms)
	id := r.ask(classOwn, a.Token)
	r.run(50 * ms)
	if got := r.answer(id); got.Status != Refused || got.Cause != CauseTokenLost {
		t.Errorf("%+v", got)
	}
	r.quiet()
}

// TestReplicaThatStartedAgain: an answer from before its restart proves nothing of it after.
func TestReplicaThatStartedAgain(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	_, a := r.readAt(classOwn, token.Token{}, replica(at(1, 1000)), replica(at(1, 1000)))
	back := replica(at(1, 700)) // from an older copy
	r.nodes["r1"].facts, r.nodes["r2"].facts = back, back
	for range 20 {
		id := r.ask(classOwn, a.Token)
		r.run(20 * ms)
		for r.isSent(id) && len(r.answers[id]) == 0 {
			c := r.sent(id)
			if r.reply(c); len(r.answers[id]) > 0 && r.answers[id][0].Status == Served && c.Node != "p" {
				t.Fatalf("%s served from 700", c.Node)
			}
			r.run(20 * ms)
		}
	}
	r.quiet()
}

// TestNodeThatTellsNoPlaceAfter: what the read saw is unknown then, and the token asks for the present.
func TestNodeThatTellsNoPlaceAfter(t *testing.T) {
	r := newRig(t, testConfig(), fleetFacts())
	if p, _ := r.readAt(classOwn, token.Token{}, replica(at(1, 1000)), Facts{}); p.LSN != position.Unknown {
		t.Errorf("token %v", p)
	}
	r.quiet()
}

// TestSessionsRememberReads: where the driver follows sessions itself, what they read counts as seen.
func TestSessionsRememberReads(t *testing.T) {
	cfg := testConfig()
	cfg.DriverSessions, cfg.SessionBytes, cfg.SessionsWhole = true, 1<<20, true
	r := newRig(t, cfg, fleetFacts())
	r.nodes["p"].facts = primary(at(1, 1100))
	r.readAt(classOwn, token.Token{}, replica(at(1, 1000)), replica(at(1, 1100)))
	id := r.ask(classOwn, token.Token{})
	r.run(30 * ms)
	if c := r.sent(id); c.Node != "p" {
		t.Errorf("it went to %s, which stands at 1000", c.Node)
	}
	r.quiet()
}

// TestUnknownPlaceKeepsTransactions: a token whose place is not known asks for the present, and for the transactions
// that its session saw at a replica.
func TestUnknownPlaceKeepsTransactions(t *testing.T) {
	for _, at := range []position.Position{{Timeline: 1, LSN: position.Unknown}, position.Present} {
		at.Transactions = position.TransactionsBelow(701)
		waits := primary(position.Position{Timeline: 1, LSN: 1000, Transactions: position.TransactionsBelow(700)})
		r := newRig(t, testConfig(), map[string]Facts{"p": waits, "r1": replica(position.Position{Timeline: 1, LSN: 1000})})
		id := r.ask(classDesk, token.Token{}.With("news", at))
		r.run(50 * ms)
		r.result(r.sent(id), Result{Began: true, Done: true, Facts: waits, After: waits})
		if len(r.answers[id]) > 0 && r.answers[id][0].Status == Served {
			t.Errorf("%v: served by a primary that shows less", at)
		}
		r.quiet()
	}
}

// TestPrimaryThatTellsNoTransactions: nothing is known of what it shows, so it does not serve who saw a replica's.
func TestPrimaryThatTellsNoTransactions(t *testing.T) {
	saw := replica(at(1, 1000))
	saw.Shown = position.TransactionsBelow(701)
	silent := primary(at(1, 1000))
	r := newRig(t, testConfig(), map[string]Facts{"p": silent, "r1": saw, "r2": saw})
	_, a := r.readAt(classOwn, token.Token{}, saw, saw)
	id := r.ask(classDesk, a.Token)
	r.run(50 * ms)
	r.result(r.sent(id), Result{Began: true, Done: true, Facts: silent, After: silent})
	if len(r.answers[id]) > 0 && r.answers[id][0].Status == Served {
		t.Errorf("served: %+v", r.answers[id][0])
	}
	r.quiet()
}

// TestPrimaryHoldsWhatItShows: a cache must not hand a primary's answer to who saw a commit that it did not show.
func TestPrimaryHoldsWhatItShows(t *testing.T) {
	told := primary(position.Position{Timeline: 1, LSN: 1000, Transactions: position.TransactionsBelow(700)})
	r := newRig(t, testConfig(), map[string]Facts{"p": told, "r1": replica(at(1, 1000)), "r2": replica(at(1, 1000))})
	_, a := r.readAt(classDesk, token.Token{}, told, told)
	holds, _ := a.Holds.At("news")
	for below, want := range map[uint64]bool{700: true, 701: false} {
		need := position.Position{Timeline: 1, LSN: 900, Transactions: position.TransactionsBelow(below)}
		if holds.Covers(need) != want {
			t.Errorf("%v covers %v: %v", holds, need, !want)
		}
	}
	r.quiet()
}

// TestHoldsStaysBelowAPrimarysPlace: what an answer of a primary holds for certain ends before its place, also where its reader
// asked for that very place.
//
// The place that a reader asked for was joined to what the answer holds, as it had been checked. At the primary's own place that
// says too much: a commit logged before it may not show yet, and whoever reads there a moment later, when it shows, gets a token of the same place. A cache then
// handed that reader the page from before. Seen in "lab chain" with 25 ms from a commit's record to its end: "r19 had seen
// c2186 at 1:0/6B80 ... and read 26496 ...; reader asked 1:0/6EC0, saw it with 1:0/6EC0; page holds 1:0/6EC0".
func TestHoldsStaysBelowAPrimarysPlace(t *testing.T) {
	told := primary(position.Position{Timeline: 1, LSN: 1000, Transactions: position.TransactionsBelow(700)})
	r := newRig(t, testConfig(), map[string]Facts{"p": told, "r1": replica(at(1, 900)), "r2": replica(at(1, 900))})
	_, a := r.readAt(classDesk, token.Token{}.With("news", at(1, 1000)), told, told)
	if holds, _ := a.Holds.At("news"); holds.LSN != 999 {
		t.Errorf("it holds %v, read at a primary at 1000", holds)
	}
	r.quiet()
}

// TestWriteKeepsTransactionsOfAnUnknownPlace: a write's own place takes the stead of one that was not known, and says nothing of
// what its session saw at a replica.
func TestWriteKeepsTransactionsOfAnUnknownPlace(t *testing.T) {
	seen := position.Position{Timeline: 1, LSN: position.Unknown, Transactions: position.TransactionsBelow(701)}
	told := primary(position.Position{Timeline: 1, LSN: 1000, Transactions: position.TransactionsBelow(700)})
	r := newRig(t, testConfig(), map[string]Facts{"p": told, "r1": replica(at(1, 900)), "r2": replica(at(1, 900))})
	id := r.ask(classWrite, token.Token{}.With("news", seen))
	r.run(50 * ms)
	r.result(r.sent(id), Result{Began: true, Done: true, Facts: told})
	answer := r.answer(id)
	if p, _ := answer.Token.At("news"); p.LSN != 1000 || p.Transactions != seen.Transactions {
		t.Errorf("its token is %v with %v", p, p.Transactions)
	}
	r.quiet()
}
