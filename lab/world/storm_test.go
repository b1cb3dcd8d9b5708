package world

import (
	"testing"
	"time"
)

// TestManyDriversWithLittleTrafficStartNoStorm plays a calm day of 200 drivers with four requests a second each, before nodes that
// take 6 ms to open a connection, and clients that come back: the fleet must earn nearly what 20 drivers earn with the same
// load. Guards against drivers that take each request to another node, whose handshakes then make all others late.
func TestManyDriversWithLittleTrafficStartNoStorm(t *testing.T) {
	t.Parallel()
	const gate = 0.1 // of the worth that was asked for, as on the operators' calm day
	for _, seed := range []uint64{1, 2} {
		earned := func(drivers int) float64 {
			cfg := Newsroom(drivers, 2, 6, 816, 7*time.Second)
			cfg.Seed, cfg.Tries, cfg.Pause, cfg.Greet = seed, 4, 100*ms, 6*ms
			cfg.Engine.Router.ParallelAttempts, cfg.Engine.Router.AttemptLimit = true, 4
			cfg.Engine.Router.MaxRetryAfter = 300 * ms
			r, err := Run(cfg)
			if err != nil {
				t.Fatal(err)
			}
			from, to := 2500*time.Millisecond, 6*time.Second
			return mean(r.Worth, from, to) / mean(r.Asked, from, to)
		}
		few, many := earned(20), earned(200)
		t.Logf("seed %d: 20 drivers earn %.2f, 200 drivers %.2f of what is asked for", seed, few, many)
		if many < few-gate {
			t.Errorf("seed %d: 200 drivers earn %.2f of what is asked for, 20 drivers %.2f", seed, many, few)
		}
	}
}
