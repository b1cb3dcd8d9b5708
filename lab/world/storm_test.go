package world

import (
	"testing"
	"time"
)

// TestManyDriversWithLittleTrafficStartNoStorm simulates a calm day of 200 drivers with four requests per second each,
// nodes that take 6 ms to accept a connection, and clients that retry. The fleet must earn nearly the value that 20
// drivers earn under the same load. It guards against drivers that send each request to another node, where the
// handshakes delay all other requests.
func TestManyDriversWithLittleTrafficStartNoStorm(t *testing.T) {
	t.Parallel()
	const tolerance = 0.1 // share of the offered value, as on the operators' calm day
	for _, seed := range []uint64{1, 2} {
		valueShare := func(drivers int) float64 {
			cfg := NewsroomConfig(drivers, 2, 6, 816, 7*time.Second)
			cfg.Seed, cfg.MaxTries, cfg.RetryPause, cfg.ConnectTime = seed, 4, 100*ms, 6*ms
			cfg.Engine.Router.ParallelAttempts, cfg.Engine.Router.AttemptLimit = true, 4
			cfg.Engine.Router.MaxRetryAfter = 300 * ms
			r, err := Run(cfg)
			if err != nil {
				t.Fatal(err)
			}
			from, to := 2500*time.Millisecond, 6*time.Second
			return valueRate(r.Value, from, to) / valueRate(r.OfferedValue, from, to)
		}
		few, many := valueShare(20), valueShare(200)
		t.Logf("seed %d: 20 drivers earn %.2f, 200 drivers %.2f of the offered value", seed, few, many)
		if many < few-tolerance {
			t.Errorf("seed %d: 200 drivers earn %.2f of the offered value, 20 drivers %.2f", seed, many, few)
		}
	}
}
