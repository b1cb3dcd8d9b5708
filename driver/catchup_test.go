package driver

import (
	"testing"
	"time"

	"umberladder/token"
)

// laggingReplicas returns a slice without recent traffic whose replicas are one record behind, and a read with a
// staleness bound that waits for one of them.
func laggingReplicas(t *testing.T) (r *harness, read RequestID) {
	cfg := testConfig()
	cfg.Router.Routers = 50 // many drivers: polls are far apart
	r = newHarness(t, cfg, fleetFacts())
	for lsn := uint64(1000); ; lsn += 10 {
		for name, n := range r.nodes {
			n.facts.Position.LSN = lsn
			if name != "p" {
				n.facts.Position.LSN = lsn - 5
			}
		}
		if read = r.request(classArticle, token.Token{}); !r.isSent(read) {
			return r, read
		}
		r.reply(r.sent(read))
		r.run(700 * ms)
		if lsn > 1500 {
			t.Fatal("every read finds a replica that is proven recent enough")
		}
	}
}

// TestLaggingReplicaIsPolledAgain: the replicas catch up 10 ms after they were polled together with the primary.
// The waiting read must go to one of them at once, not at the router's next poll.
func TestLaggingReplicaIsPolledAgain(t *testing.T) {
	r, read := laggingReplicas(t)
	r.run(10 * ms)
	if r.isSent(read) {
		t.Fatal("the read was sent while no replica was proven recent")
	}
	for _, n := range r.nodes {
		n.facts.Position.LSN = r.nodes["p"].facts.Position.LSN
	}
	r.run(20 * ms)
	if c := r.sent(read); c.Node == "p" {
		t.Error("the read went to the primary")
	} else {
		r.reply(c)
	}
	r.checkIdle()
}

// TestRepeatedPollsAreBounded: a replica that does not catch up is polled again only a few times before the router
// gets its result, and not at all while no request waits.
func TestRepeatedPollsAreBounded(t *testing.T) {
	r, _ := laggingReplicas(t)
	log := len(r.commands)
	r.run(r.e.cfg.ClockAge + 5*ms)
	for _, n := range r.e.nodes {
		if n.pollPending {
			t.Errorf("the router still waits for its poll of %s", n.entry.Name)
		}
	}
	if n := len(r.commands) - log; n < 4 || n > 60 {
		t.Errorf("%d commands in 55 ms", n)
	}
	r.run(3 * time.Second) // the read has ended
	log = len(r.commands)
	r.run(10 * time.Second)
	calm := len(r.commands) - log
	for _, n := range r.nodes {
		n.facts.Position.LSN = r.nodes["p"].facts.Position.LSN
	}
	log = len(r.commands)
	r.run(10 * time.Second)
	if even := len(r.commands) - log; calm > even*5/4+5 {
		t.Errorf("%d commands in ten seconds with lagging replicas, %d with replicas that caught up", calm, even)
	}
	r.checkIdle()
}
