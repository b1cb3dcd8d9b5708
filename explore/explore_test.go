package explore

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"umberladder/driver"
)

// TestEveryOrder explores the default configuration to depth 5: no property is violated, nearly all kinds of transitions
// occur, and the states found don't depend on the number of goroutines.
func TestEveryOrder(t *testing.T) {
	cfg := Default()
	cfg.Depth = 5
	r, err := Run(context.Background(), cfg, Options{Procs: 2, EndingInterval: 10}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Errorf("%s: %s", v.Message, strings.Join(v.Events, "; "))
	}
	if r.Depth != 5 || r.States < 5000 || r.Transitions < r.States || r.Endings < 500 {
		t.Errorf("%+v", r)
	}
	for _, want := range []string{"answer served", "answer failed", "command sends", "command dials", "command answers"} {
		if !strings.Contains(strings.Join(r.Seen, ","), want) {
			t.Errorf("%q never occurred", want)
		}
	}
	if r.LifecycleTransitions < len(driver.LegalTransitions())-2 {
		t.Errorf("%d of %d kinds of transitions occurred", r.LifecycleTransitions, len(driver.LegalTransitions()))
	}
	cfg.Depth = 4
	one, err := Run(context.Background(), cfg, Options{Procs: 1, EndingInterval: 50}, nil)
	two, _ := Run(context.Background(), cfg, Options{Procs: 3, EndingInterval: 50}, nil)
	if err != nil || one.States != two.States || one.Transitions != two.Transitions || one.States == 0 {
		t.Errorf("%d states with one goroutine, %d with three: %v", one.States, two.States, err)
	}
}

// TestSingleRead explores a single read on two nodes to depth 6, without faults other than a disconnect.
func TestSingleRead(t *testing.T) {
	r, err := Run(context.Background(), Config{Clients: 1, Nodes: 2, Depth: 6, Disconnects: 1, Script: []string{"own"}}, Options{Procs: 2}, nil)
	if err != nil || len(r.Violations) > 0 || r.States < 20 {
		t.Errorf("%+v %v", r, err)
	}
}

// TestWalks takes random walks through a larger configuration.
func TestWalks(t *testing.T) {
	cfg := Config{Clients: 4, Nodes: 4, Depth: 60, Resets: 3, Drains: 1, Crashes: 1, StalePrimaries: 2, Disconnects: 1, Script: []string{"write own write own", "post own post", "article fresh own write", "fresh write post own"}}
	v, steps, err := Walk(context.Background(), cfg, 5, 600, 2, nil)
	if err != nil || steps != 600*60 {
		t.Fatal(steps, err)
	}
	if v != nil {
		t.Errorf("%s: %s", v.Message, strings.Join(v.Events, "; "))
	}
}

// TestRecordedTraces replays violations that the explorer found in earlier versions of the engine. All properties must
// hold.
func TestRecordedTraces(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.story")
	if len(files) < 2 {
		t.Fatalf("%d trace files", len(files))
	}
	for _, path := range files {
		cfg, events, err := ReadTrace(path)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		broken, err := Replay(&out, cfg, events)
		if err != nil || len(broken) > 0 {
			t.Errorf("%s: %v %v\n%s", path, broken, err, out.String())
		}
	}
}

// TestTraceRoundTrip reads back a formatted trace, and checks that errors in a trace file name the line.
func TestTraceRoundTrip(t *testing.T) {
	cfg := Default()
	path := filepath.Join(t.TempDir(), "s.story")
	events := []string{"client 0 asks for write", "time passes"}
	if err := os.WriteFile(path, []byte(FormatTrace(cfg, Violation{"w", events})), 0o600); err != nil {
		t.Fatal(err)
	}
	got, back, err := ReadTrace(path)
	got.Depth = cfg.Depth
	if err != nil || strings.Join(back, "|") != strings.Join(events, "|") || got.Nodes != cfg.Nodes || strings.Join(got.Script, "|") != strings.Join(cfg.Script, "|") {
		t.Errorf("%+v %v %v", got, back, err)
	}
	if _, err := Replay(&strings.Builder{}, cfg, []string{"pigs fly"}); err == nil || !strings.Contains(err.Error(), "pigs fly") {
		t.Error(err)
	}
	os.WriteFile(path, []byte("clients 2\nnodes x\nevnt \"a\"\n"), 0o600)
	if _, _, err := ReadTrace(path); err == nil || !strings.Contains(err.Error(), ":2:") || !strings.Contains(err.Error(), "event") {
		t.Error(err)
	}
}
