package inventory

import (
	"bytes"
	"strings"
	"time"
)

// Lint names what is legal but odd, in the order of files and lines. now is for times that lie ahead.
func Lint(files []File, s *Set, now time.Time) Problems {
	c := &collector{}
	for _, f := range files {
		if len(f.Text) > 0 && f.Text[len(f.Text)-1] != '\n' {
			c.problem(Origin{f.Path, 1 + bytes.Count(f.Text, []byte("\n")), 0}, "the last line has no end; if the file was cut, nobody would notice")
		}
	}
	type tally struct {
		first    Node
		ready    int
		draining int
		halls    map[string]bool
	}
	slicesSeen, lower := map[string]*tally{}, map[string]Node{}
	for _, n := range s.Nodes {
		t := slicesSeen[n.Slice]
		if t == nil {
			t = &tally{first: n, halls: map[string]bool{}}
			slicesSeen[n.Slice] = t
		}
		t.halls[n.Hall] = true
		switch n.State {
		case Ready:
			t.ready++
		case Draining:
			t.draining++
		}
		if o, ok := lower[strings.ToLower(n.Name)]; ok {
			c.problem(n.Origin, "node %q differs from %q in %s by case alone", n.Name, o.Name, o.Origin)
		}
		lower[strings.ToLower(n.Name)] = n
		if n.Hall == "" {
			c.problem(n.Origin, "node %q stands in no hall", n.Name)
		}
		if n.Started.After(now) {
			c.problem(n.Origin, "node %q starts in %v; it counts as cold until then", n.Name, n.Started.Sub(now).Round(time.Second))
		}
		if strings.EqualFold(n.Host, "localhost") || strings.HasPrefix(n.Host, "127.") {
			c.problem(n.Origin, "node %q is at %s, which is another machine for each driver", n.Name, n.Host)
		}
	}
	for name, t := range slicesSeen {
		switch {
		case t.ready == 0:
			c.problem(t.first.Origin, "slice %q has no ready node", name)
		case t.ready == 1:
			c.problem(t.first.Origin, "slice %q has one ready node: nothing takes over from it", name)
		case len(t.halls) == 1 && t.first.Hall != "":
			c.problem(t.first.Origin, "slice %q stands in one hall", name)
		}
		if t.draining > t.ready {
			c.problem(t.first.Origin, "more nodes of slice %q drain than are ready", name)
		}
	}
	return c.problems.sorted()
}
