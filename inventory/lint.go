package inventory

import (
	"bytes"
	"strings"
	"time"
)

// Lint returns warnings about valid but unusual contents of s and the files it was read from, sorted by file and line.
// Start times after now are among them.
func Lint(files []File, s *Set, now time.Time) Problems {
	c := &collector{}
	for _, f := range files {
		if len(f.Text) > 0 && f.Text[len(f.Text)-1] != '\n' {
			c.problem(Origin{f.Path, 1 + bytes.Count(f.Text, []byte("\n")), 0}, "the last line has no line ending; a truncated file would go unnoticed")
		}
	}
	type sliceStats struct {
		first    Node
		ready    int
		draining int
		zones    map[string]bool
	}
	bySlice, byLowerName := map[string]*sliceStats{}, map[string]Node{}
	for _, n := range s.Nodes {
		t := bySlice[n.Slice]
		if t == nil {
			t = &sliceStats{first: n, zones: map[string]bool{}}
			bySlice[n.Slice] = t
		}
		t.zones[n.Zone] = true
		switch n.State {
		case Ready:
			t.ready++
		case Draining:
			t.draining++
		}
		if o, ok := byLowerName[strings.ToLower(n.Name)]; ok {
			c.problem(n.Origin, "the name of node %q differs from %q at %s only in case", n.Name, o.Name, o.Origin)
		}
		byLowerName[strings.ToLower(n.Name)] = n
		if n.Zone == "" {
			c.problem(n.Origin, "node %q has no hall", n.Name)
		}
		if n.Started.After(now) {
			c.problem(n.Origin, "node %q has a start time %v in the future; it counts as cold until then", n.Name, n.Started.Sub(now).Round(time.Second))
		}
		if strings.EqualFold(n.Host, "localhost") || strings.HasPrefix(n.Host, "127.") {
			c.problem(n.Origin, "node %q has the loopback host %s, a different machine for each driver", n.Name, n.Host)
		}
	}
	for name, t := range bySlice {
		switch {
		case t.ready == 0:
			c.problem(t.first.Origin, "slice %q has no ready node", name)
		case t.ready == 1:
			c.problem(t.first.Origin, "slice %q has only one ready node; no node can take over from it", name)
		case len(t.zones) == 1 && t.first.Zone != "":
			c.problem(t.first.Origin, "slice %q has all its nodes in one hall", name)
		}
		if t.draining > t.ready {
			c.problem(t.first.Origin, "slice %q has more draining nodes than ready ones", name)
		}
	}
	return c.problems.sorted()
}
