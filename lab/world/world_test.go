package world

import (
	"testing"
	"time"

	"umberladder/balance"
	"umberladder/driver"
)

const ms = time.Millisecond

// Site is a newsroom of so many drivers and slices.
func site(drivers, slices int, rate float64, length time.Duration) Config {
	return Config{Seed: 7, Drivers: drivers, Slices: slices, Members: 6, Rate: rate, Length: length, Cores: 4, Work: 50 * ms, Spread: 0.7,
		Way: 500 * time.Microsecond, Ship: 6 * ms, Apply: 3 * ms, Shares: []float64{0.46, 0.40, 0.14}, Elect: 2 * time.Second, Down: 5 * time.Second,
		Engine: driver.Config{Halls: []string{"a"}, MaxOpen: 20000, PoolSize: 64, IdleClose: 30 * time.Second, Linger: 10 * time.Second,
			PollTimeout: 250 * ms, ClockAge: 50 * ms, AnswerMargin: 20 * ms, SessionBytes: 1 << 20,
			Router: balance.Config{Routers: drivers, Round: ms, Positions: true, DrainGrace: 500 * ms, AnswerSlack: 20 * ms, ColdFrom: 0.2,
				RampTime: 10 * time.Second, TipMultiple: 3, Fall: time.Second, Cancel: true, Probing: true, TryLimit: 10, RetryAfter: true,
				MaxRetryAfter: time.Second, DialTimeout: 250 * ms, Classes: []balance.Class{
					{Name: "article-read", Need: balance.NeedBounded, Bound: 200 * ms, Target: 400 * ms, Deadline: time.Second, Worth: 2},
					{Name: "own-read", Need: balance.NeedSession, Target: 250 * ms, Deadline: time.Second, Worth: 1},
					{Name: "write", Effect: balance.Unsafe, Need: balance.NeedWrite, Target: 500 * ms, Deadline: 5 * time.Second, Worth: 6, LateWorth: 0.5}}}}}
}

// TestSameSeedSameRun: to the byte, and another seed gives another run.
func TestSameSeedSameRun(t *testing.T) {
	cfg := site(3, 3, 300, 8*time.Second)
	cfg.Crashes = 2
	a, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Run(cfg)
	if a.Digest != b.Digest || a.Served != b.Served || a.Polls != b.Polls || a.Steps != b.Steps {
		t.Errorf("%+v\n%+v", a, b)
	}
	cfg.Seed++
	if c, _ := Run(cfg); c.Digest == a.Digest {
		t.Error("another seed gave the same run")
	}
}

// TestRules: over a day with primaries that die, none is broken, and there was something to break.
func TestRules(t *testing.T) {
	for seed := range uint64(4) {
		cfg := site(4, 4, 400, 15*time.Second)
		cfg.Seed, cfg.Crashes = seed, 4
		r, err := Run(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Broken) > 0 {
			t.Errorf("seed %d: %v", seed, r.Broken)
		}
		if r.Served < r.Requests/2 || r.Promotions == 0 || r.Requests != r.Served+r.Refused+r.Failed {
			t.Errorf("seed %d: %+v", seed, r)
		}
	}
}

// BenchmarkSize plays ten simulated seconds at growing sizes.
//
//	go test ./lab/world -run '^$' -bench Size -benchtime 1x
func BenchmarkSize(b *testing.B) {
	for _, size := range []struct {
		name            string
		drivers, slices int
		rate            float64
	}{{"drivers=5,nodes=60,rate=600", 5, 10, 600}, {"drivers=50,nodes=600,rate=6000", 50, 100, 6000}, {"drivers=200,nodes=1800,rate=20000", 200, 300, 20000}} {
		b.Run(size.name, func(b *testing.B) {
			for range b.N {
				begin := time.Now()
				r, err := Run(site(size.drivers, size.slices, size.rate, 10*time.Second))
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(time.Since(begin).Microseconds())/float64(r.Requests), "us/request")
				b.ReportMetric(float64(r.InTarget)/float64(r.Requests), "in-target")
				b.ReportMetric(float64(r.Polls)/float64(r.Requests), "polls/request")
				b.ReportMetric(float64(len(r.Broken)), "broken")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
