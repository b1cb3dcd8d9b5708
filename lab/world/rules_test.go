package world

import (
	"strings"
	"testing"
	"time"

	"umberladder/lab/record"
)

// troubledConfig is a short day with chances to break each rule.
func troubledConfig(seed uint64) Config {
	cfg := siteConfig(4, 3, 400, 14*time.Second)
	cfg.Seed, cfg.CheckSessions, cfg.ListDelay = seed, true, 200*ms
	cfg.Engine.Zones = []string{"a", "b"}
	cfg.Troubles = []Trouble{
		{Kind: TroubleDrain, At: 3 * time.Second, For: 3 * time.Second, Place: Place{Slice: 0, Member: 2, Driver: -1}},
		{Kind: TroubleCrash, At: 4 * time.Second, For: 2 * time.Second, Place: Place{Slice: 1, Member: -1, Primary: true, Driver: -1}},
		{Kind: TroubleRestart, At: 5 * time.Second, For: time.Second, Place: Anywhere},
		{Kind: TroubleSlow, At: 7 * time.Second, For: time.Second, Size: 3, Place: Anywhere}}
	return cfg
}

// TestPlants checks that the judge of each rule detects its planted fault on every seed, and that without one no rule
// is broken although each has chances.
func TestPlants(t *testing.T) {
	for p := range Plant(numPlants) {
		for seed := range uint64(3) {
			cfg := troubledConfig(100 + seed)
			cfg.Plant = p
			r, err := Run(cfg)
			if err != nil {
				t.Fatal(err)
			}
			found := 0
			for _, b := range r.Broken {
				if p != NoPlant && strings.HasPrefix(b, p.Rule()) {
					found++
				}
			}
			switch {
			case p == NoPlant && len(r.Broken) > 0:
				t.Errorf("seed %d, nothing planted: %v", cfg.Seed, r.Broken)
			case p != NoPlant && found == 0:
				t.Errorf("seed %d, %v planted: %q not found among %v", cfg.Seed, p, p.Rule(), r.Broken)
			}
			for _, rule := range Rules() {
				if p == NoPlant && r.Chances[rule] == 0 {
					t.Errorf("seed %d: %s had no chance to break", cfg.Seed, rule)
				}
			}
		}
	}
}

// TestRecordingChangesNothing checks that recording does not change a run and that the rows add up to the result.
func TestRecordingChangesNothing(t *testing.T) {
	cfg := troubledConfig(5)
	plain, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	requests, attempts, served, starts, value := 0, 0, 0, 0, 0.0
	cfg.Record = func(r *record.Row) {
		switch {
		case r.Kind == record.KindAttempt:
			attempts++
			return
		case r.Kind == record.KindNodeStart:
			starts++
			return
		case r.Outcome == "served":
			served++
			if r.Node == "" || r.Role == "" || r.LSN == 0 {
				t.Errorf("served row lacks node, role or log position: %+v", r)
			}
		}
		requests++
		value += r.Value
	}
	r, _ := Run(cfg)
	if r.Digest != plain.Digest {
		t.Error("recording changed the digest of the run")
	}
	if starts != 2 || requests != r.Requests || served != r.Served || attempts < served || value < 0.999*sum(r.Value) || value > 1.001*sum(r.Value) {
		t.Errorf("%d requests, %d served, %d attempts, value %.0f in rows; %d, %d, %.0f in the result", requests, served, attempts, value, r.Requests, r.Served, sum(r.Value))
	}
}

func sum(vs []float64) (n float64) {
	for _, v := range vs {
		n += v
	}
	return n
}

// TestReplayArrivals checks that recorded arrivals can be replayed.
func TestReplayArrivals(t *testing.T) {
	cfg := troubledConfig(6)
	var arrivals []record.Arrival
	cfg.Record = func(r *record.Row) {
		if r.Kind == record.KindRequest {
			arrivals = append(arrivals, record.Arrival{At: time.Duration(r.Sent), Class: r.Class, Slice: r.Slice, Session: r.Session})
		}
	}
	first, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Record, cfg.Arrivals = nil, arrivals
	again, _ := Run(cfg)
	if again.Requests < first.Requests*99/100 || again.Requests > first.Requests || again.Served < first.Served*9/10 {
		t.Errorf("%d requests, %d served; again %d and %d", first.Requests, first.Served, again.Requests, again.Served)
	}
}

// TestClosedLoopReducesLoad checks that closed-loop sessions send fewer requests when answers are slow.
func TestClosedLoopReducesLoad(t *testing.T) {
	cfg := siteConfig(2, 1, 0, 20*time.Second)
	cfg.ThinkTime, cfg.Sessions = 200*ms, 20
	calm, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Work = 400 * ms
	slow, _ := Run(cfg)
	if slow.Requests*4 > calm.Requests*3 || slow.Requests < 100 {
		t.Errorf("%d requests with work of 50ms, %d with 400ms", calm.Requests, slow.Requests)
	}
}

// TestConnectionLimit checks that nodes refuse connections beyond their limit and serve requests over the others.
func TestConnectionLimit(t *testing.T) {
	cfg := siteConfig(10, 1, 200, 10*time.Second)
	cfg.MaxConnections, cfg.ConnectTime, cfg.TailIndex, cfg.Jitter = 24, 2*ms, 2.5, 0.5
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if r.RefusedConnections == 0 || r.Served < r.Requests/2 || len(r.Broken) > 0 {
		t.Errorf("%d connections refused, %d of %d served, %v", r.RefusedConnections, r.Served, r.Requests, r.Broken)
	}
}
