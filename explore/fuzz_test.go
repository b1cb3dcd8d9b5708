package explore

import "testing"

// FuzzScript plays one event per byte, which selects among the events that are possible then. No property may be violated.
func FuzzScript(f *testing.F) {
	f.Add([]byte{0, 3, 1, 2, 5, 9, 9, 1, 0, 0, 7})
	f.Add([]byte("a primary dies while its replica drains"))
	f.Add([]byte{0, 0, 1, 1, 2, 2, 200, 100, 50, 25, 12, 6, 3, 1, 0})
	cfg := Config{Clients: 3, Nodes: 3, Resets: 2, Drains: 1, Crashes: 1, StalePrimaries: 1, Disconnects: 1, Script: []string{"write own post", "post fresh", "article own write"}}
	f.Fuzz(func(t *testing.T, script []byte) {
		w, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		var events []string
		for _, b := range script[:min(len(script), 80)] {
			all := w.enabled()
			ev := all[int(b)%len(all)]
			events = append(events, ev.name)
			ev.apply()
		}
		if len(w.broken) == 0 {
			w.settle()
		}
		if len(w.broken) > 0 {
			t.Errorf("%s\n%s", w.broken[0], FormatTrace(cfg, Violation{w.broken[0], events}))
		}
	})
}
