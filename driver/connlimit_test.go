package driver

import (
	"testing"
	"time"

	"umberladder/token"
)

// TestPollsAndRequestsShareOneConnection: at a node that accepts only one connection, polls and writes take turns
// on it, and nothing is refused.
func TestPollsAndRequestsShareOneConnection(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.nodes["p"].maxConns = 1
	var ids []RequestID
	for range 5 {
		ids = append(ids, r.request(classWrite, token.Token{}))
	}
	for range 200 {
		r.run(5 * ms)
		if len(r.sends) > 1 {
			t.Fatalf("%d in flight on one connection", len(r.sends))
		}
		if len(r.sends) > 0 {
			r.reply(r.sent(r.sends[0].Request))
		}
	}
	for _, id := range ids {
		if a := r.answer(id); a.Status != Served {
			t.Errorf("request %d: %+v", id, a)
		}
	}
	if n := r.openConns("p"); n != 1 {
		t.Errorf("%d connections are open", n)
	}
	p := r.e.byKey[nodeKey{"p", "p:1", "news", 0}]
	polls := p.polls
	if r.run(20 * time.Second); p.polls == polls || !p.atConnLimit() || p.failingSince != 0 {
		t.Errorf("%d polls since, at connection limit %v, failing since %v", p.polls-polls, p.atConnLimit(), p.failingSince)
	}
	r.checkIdle()
}

// TestConnectionsAreClosedAtConnectionLimit: a driver's surplus connections to a full node are closed soon, so
// that other drivers get them.
func TestConnectionsAreClosedAtConnectionLimit(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.nodes["p"].maxConns = 5
	for range 8 {
		r.request(classWrite, token.Token{})
	}
	if r.openConns("p") != 5 || len(r.sends) < 4 {
		t.Fatalf("%d open, %d in flight", r.openConns("p"), len(r.sends))
	}
	for len(r.sends) > 0 {
		r.reply(r.sent(r.sends[0].Request))
	}
	if r.run(2 * contendedIdleClose); r.openConns("p") != 1 {
		t.Errorf("%d connections still open %v after the last answer", r.openConns("p"), 2*contendedIdleClose)
	}
	r.checkIdle()
}

// TestDialsResumeAfterConnectionLimit: once the node accepts a connection again, requests no longer share one.
func TestDialsResumeAfterConnectionLimit(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	r.nodes["p"].maxConns = 1
	first, second := r.request(classWrite, token.Token{}), r.request(classWrite, token.Token{})
	if r.run(50 * ms); len(r.sends) != 1 {
		t.Fatalf("%d in flight on one connection", len(r.sends))
	}
	r.nodes["p"].maxConns = 0
	if r.run(minDialBackoff); len(r.sends) != 2 {
		t.Errorf("%d in flight %v after the limit was lifted", len(r.sends), minDialBackoff)
	}
	for _, id := range []RequestID{first, second} {
		r.reply(r.sent(id))
		if a := r.answer(id); a.Status != Served {
			t.Errorf("request %d: %+v", id, a)
		}
	}
	r.checkIdle()
}

// TestNoConnectionAtConnectionLimit: a driver that gets no connection to a full node at all ends attempts at once,
// and dials with backoff.
func TestNoConnectionAtConnectionLimit(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	p := r.e.byKey[nodeKey{"p", "p:1", "news", 0}]
	r.nodes["p"].maxConns = 1
	r.connAt[1<<40] = "p" // another driver's
	r.step(Event{Kind: EventClosed, Conn: p.prober.id})
	r.closed[1] = true
	for id, node := range r.connAt {
		if node == "p" && id != 1<<40 {
			r.closed[id] = true
		}
	}
	dials := len(r.connAt)
	id := r.request(classWrite, token.Token{})
	r.run(1500 * ms)
	if n := len(r.connAt) - dials; n != 0 {
		t.Errorf("%d connections were accepted by a full node", n)
	}
	if p.backoff.pause <= minDialBackoff {
		t.Errorf("dial backoff %v", p.backoff.pause)
	}
	r.nodes["p"].maxConns = 2
	r.run(maxDialBackoff)
	if len(r.answers[id]) == 0 && !r.isSent(id) {
		t.Error("the write is neither in flight nor answered though the node accepts connections")
	}
	r.checkIdle()
}
