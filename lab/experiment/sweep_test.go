package experiment

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
)

const gridFile = `experiment grid
repeats 2
drivers 2
slices 1
members 3
for 4s
vary rate 50 100
vary tries 1 2 3
`

func readGrid(t *testing.T, text string) *Experiment {
	t.Helper()
	path := filepath.Join(t.TempDir(), "g")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x, err := ReadGrid(path)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// TestSweepGoesOn checks that an interrupted sweep whose last entry is half written runs only what is missing, and gives
// the same results as an uninterrupted one.
func TestSweepGoesOn(t *testing.T) {
	x := readGrid(t, gridFile)
	if len(x.Arms) != 6 || x.Arms[5].Name != "rate 100, tries 3" || x.Arms[5].World.Rate != 100 || x.Arms[5].World.MaxTries != 3 {
		t.Fatalf("%d arms", len(x.Arms))
	}
	uninterrupted, resumed, err := x.Sweep(context.Background(), t.TempDir(), Options{Seed: 5, Procs: 4})
	if err != nil || resumed != 0 {
		t.Fatal(resumed, err)
	}
	dir := t.TempDir()
	ctx, stop := context.WithCancel(context.Background())
	var runs atomic.Int64
	o := Options{Seed: 5, Procs: 1, Progress: func(string, int) {
		if runs.Add(1) == 5 {
			stop()
		}
	}}
	if _, _, err := x.Sweep(ctx, dir, o); err == nil {
		t.Fatal("a canceled sweep returned no error")
	}
	path := filepath.Join(dir, "sweep.cbor")
	text, _ := os.ReadFile(path)
	if err := os.WriteFile(path, text[:len(text)-7], 0o600); err != nil {
		t.Fatal(err)
	}
	runs.Store(0)
	all, resumed, err := x.Sweep(context.Background(), dir, Options{Seed: 5, Procs: 4, Progress: func(string, int) { runs.Add(1) }})
	if err != nil || resumed != 4 || runs.Load() != 8 {
		t.Fatalf("%d resumed, %d run: %v", resumed, runs.Load(), err)
	}
	for i := range uninterrupted {
		for n := range uninterrupted[i].Runs {
			if a, b := uninterrupted[i].Runs[n].Digest, all[i].Runs[n].Digest; a != b {
				t.Errorf("%s, repeat %d: %x and %x", uninterrupted[i].Arm, n, a, b)
			}
		}
	}
	if again, resumed, err := x.Sweep(context.Background(), dir, Options{Seed: 5}); err != nil || resumed != 12 || again[3].Runs[1].Digest != uninterrupted[3].Runs[1].Digest {
		t.Errorf("%d resumed, %v", resumed, err)
	}
	if best := SortByGoodput(all); !slices.IsSortedFunc(best, func(a, b Outcome) int {
		return -int(1e6 * (mean(a.values(columns[0])) - mean(b.values(columns[0]))))
	}) {
		t.Error("the outcomes are not in descending order of goodput")
	}
}

// TestSweepOfSomethingElse checks that a sweep neither resumes from nor overwrites a file of another seed or experiment, or
// a file of another kind.
func TestSweepOfSomethingElse(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := readGrid(t, gridFile).Sweep(context.Background(), dir, Options{Seed: 5, Procs: 2}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := readGrid(t, gridFile).Sweep(context.Background(), dir, Options{Seed: 6}); err == nil || !strings.Contains(err.Error(), "another") {
		t.Error(err)
	}
	if _, _, err := readGrid(t, strings.Replace(gridFile, "100", "150", 1)).Sweep(context.Background(), dir, Options{Seed: 5}); err == nil {
		t.Error("a sweep of another grid was resumed")
	}
	os.WriteFile(filepath.Join(dir, "sweep.cbor"), []byte("not one"), 0o600)
	if _, _, err := readGrid(t, gridFile).Sweep(context.Background(), dir, Options{Seed: 5}); err == nil || !strings.Contains(err.Error(), "sweep.cbor") {
		t.Error(err)
	}
}
