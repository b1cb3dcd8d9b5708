package lab

import (
	"strings"
	"testing"
	"time"

	"umberladder/lab/record"
	"umberladder/lab/world"
)

// shortWorld runs for a few seconds with a drain, a primary crash and a slow replica.
func shortWorld(seed uint64) world.Config {
	cfg := world.NewsroomConfig(2, 1, 4, 90, 7*time.Second)
	cfg.Seed, cfg.Cores, cfg.Work, cfg.ElectionTime, cfg.ListDelay, cfg.MaxTries = seed, 1, 10*time.Millisecond, 500*time.Millisecond, 200*time.Millisecond, 2
	cfg.Engine.Zones = []string{"a", "b"}
	cfg.CrossZoneDelay = 2 * time.Millisecond
	cfg.Gate = cfg.Admission()
	place := world.Place{Slice: 0, Member: 2, Driver: -1}
	cfg.Troubles = []world.Trouble{
		{Kind: world.TroubleDrain, At: 1500 * time.Millisecond, For: 2 * time.Second, Place: place},
		{Kind: world.TroubleCrash, At: 3 * time.Second, For: time.Second, Place: world.Place{Slice: 0, Primary: true, Member: -1, Driver: -1}},
		{Kind: world.TroubleSlow, At: 5 * time.Second, For: time.Second, Size: 3, Place: world.Anywhere}}
	return cfg
}

// TestLive plays a world on sockets, without and with each planted fault. The judges must find each planted fault
// and nothing without one, and the recorded rows must add up to the figures.
func TestLive(t *testing.T) {
	for _, name := range world.PlantNames() {
		t.Run(name, func(t *testing.T) {
			if raceDetector && name != "none" {
				t.Skip("six parallel runs are too slow under the race detector")
			}
			t.Parallel()
			cfg := shortWorld(31)
			cfg.Plant, _ = world.ParsePlant(name)
			requests, served, attempts, broke := 0, 0, 0, 0
			cfg.Record = func(r *record.Row) {
				switch {
				case r.Kind == record.KindAttempt:
					attempts++
					return
				case r.Kind == record.KindNodeStart:
					return
				case r.Outcome == "served":
					served++
				}
				requests++
				if r.Broken != "" {
					broke++
				}
			}
			r, err := Live(cfg)
			if err != nil {
				t.Fatal(err)
			}
			found := strings.Count("\n"+strings.Join(r.Broken, "\n"), "\n"+cfg.Plant.Rule()+":")
			// Parallel runs share the process's goroutine count, so that breaks by it don't count here.
			others := 0
			for _, b := range r.Broken {
				if !strings.HasPrefix(b, "leak: ") || !strings.Contains(b, "goroutines") {
					others++
				}
			}
			switch {
			case cfg.Plant == world.NoPlant && others > 0:
				t.Errorf("breaks without a planted fault: %v", r.Broken)
			case cfg.Plant != world.NoPlant && found == 0:
				t.Errorf("%q was not found among %v", cfg.Plant.Rule(), r.Broken)
			}
			if requests != r.Requests || served != r.Served || attempts == 0 || served == 0 || r.Promotions != 1 || r.Troubles != 3 {
				t.Errorf("%d requests, %d served, %d attempts in rows; %+v", requests, served, attempts, r)
			}
			if cfg.Plant == world.NoPlant && len(r.PromotionDelays) != cfg.Drivers || broke > 0 && cfg.Plant == world.NoPlant {
				t.Errorf("%d drivers noticed the promotion, %d rows broke a rule", len(r.PromotionDelays), broke)
			}
		})
	}
}
