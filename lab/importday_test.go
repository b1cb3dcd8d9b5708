package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"umberladder/lab/experiment"
)

// TestImport checks that every known kind of trouble is converted to one that an experiment can parse, and an
// unknown kind to a comment.
func TestImport(t *testing.T) {
	kinds := []string{"crash", "hang", "ageing", "pauses", "neighbour", "replica_lag", "idle_reap", "handshake_slow", "conn_squeeze", "shared_slow", "slow_link",
		"burst", "bad_requests", "hot_caller", "discovery_down", "wrong_list", "balancer_crash", "balancer_roll", "preempt", "nobody knows"}
	var troubles []map[string]any
	for i, kind := range kinds {
		troubles = append(troubles, map[string]any{"kind": kind, "at": 1e6 * float64(i+1), "len": 3e6, "size": 0.4, "extra": 0.5, "on": []int{1}, "which": 1,
			"steps": []any{map[string]any{"at": 5e6, "stop": []int{1}}}})
	}
	day := map[string]any{"site": "test", "kind": "trouble", "length": 30e6, "zones": []string{"north", "south"}, "traffic": map[string]any{"load": 0.5, "shape": [][2]float64{{0, 1}}},
		"net": map[string]any{"same": 200, "cross": 2000, "jitter": 0.3}, "discovery": map[string]any{"notice": 1e6},
		"classes": []map[string]any{
			{"name": "browse", "share": 0.6, "work": 5e4, "aim": 4e5, "deadline": 1.5e6, "worth": 1, "effect": "safe"},
			{"name": "post", "share": 0.2, "work": 5e4, "aim": 5e5, "deadline": 2e6, "worth": 6, "late_worth": 0.5, "effect": "keyed", "window": 2e6}},
		"servers":   []map[string]any{{"zone": 0, "cell": 4, "up": true}, {"zone": 1, "cell": 4, "up": true}, {"zone": 0, "cell": 7, "up": true}},
		"balancers": []map[string]any{{"zone": 0}, {"zone": 1}}, "troubles": troubles,
		"fam": map[string]any{"read": []int{1, 4}, "bound": []float64{3e5, 0}, "primary": []int{0}, "ship": 5e3, "detect": 1e6, "elect": 1e6}}
	text, _ := json.Marshal(day)
	path := filepath.Join(t.TempDir(), "day.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Import(path)
	if err != nil {
		t.Fatal(err)
	}
	x, err := experiment.Parse("day", got)
	if err != nil {
		t.Fatalf("%v in\n%s", err, got)
	}
	w := x.Arms[0].World
	if w.Drivers != 2 || w.Slices != 2 || w.Members != 2 || len(w.Engine.Zones) != 2 || len(w.Engine.Router.Classes) != 2 || w.Shares[0] < 0.74 || w.Shares[0] > 0.76 {
		t.Errorf("%+v", w)
	}
	seen := map[string]int{}
	for _, tr := range w.Troubles {
		seen[tr.Kind.String()]++
	}
	want := "map[bad:1 crash:2 deaf:1 drain:1 full:1 greet:1 hot:1 lag:1 load:1 lost:1 path:1 reap:1 restart:2 slow:6 stall:7 unlist:1]"
	if fmt.Sprint(seen) != want {
		t.Errorf("%v, want %v", seen, want)
	}
	if strings.Count(got, "has no equivalent here") != 1 || !strings.Contains(got, "# nobody knows at 20s") {
		t.Error(got)
	}
}
