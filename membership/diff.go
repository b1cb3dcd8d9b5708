package membership

import (
	"cmp"
	"maps"
	"slices"

	"umberladder/inventory"
)

// Step is one action that a driver would take when one list replaces another.
type Step struct {
	Action string // add, remove, move, drain, gone, ready, restart, hall, labels, hold
	Node   string
	Slice  string
	Note   string
}

// Diff returns the actions that a driver with list a in force would take on list b, at once or after a delay, and the
// removals that it would hold back, sorted by slice and node. It only compares lists and affects no driver.
func Diff(cfg Config, a, b *inventory.Set) []Step {
	m := New(cfg, 1)
	m.List(0, a)
	held := map[string]Held{}
	for _, h := range m.List(1, b).Held {
		held[h.Node] = h
	}
	old := map[string]inventory.Node{}
	for _, n := range a.Nodes {
		old[n.Name] = n
	}
	var steps []Step
	add := func(n inventory.Node, what, note string) { steps = append(steps, Step{what, n.Name, n.Slice, note}) }
	for _, n := range b.Nodes {
		was, known := old[n.Name]
		delete(old, n.Name)
		if !known {
			add(n, "add", n.Address())
			continue
		}
		compare(was, n, add)
	}
	for name, n := range old {
		if held[name].Lacked {
			add(n, "hold", "missing from the list; stays until confirmed: "+held[name].Why)
		} else {
			add(n, "remove", "missing from the list")
		}
	}
	slices.SortStableFunc(steps, func(x, y Step) int { return cmp.Or(cmp.Compare(x.Slice, y.Slice), cmp.Compare(x.Node, y.Node)) })
	return steps
}

func compare(was, n inventory.Node, add func(inventory.Node, string, string)) {
	if was.Address() != n.Address() || was.Slice != n.Slice {
		add(n, "move", was.Slice+" "+was.Address()+" to "+n.Slice+" "+n.Address()+", as a new instance")
	}
	if was.State != n.State {
		add(n, map[inventory.State]string{inventory.Ready: "ready", inventory.Draining: "drain", inventory.Removed: "gone"}[n.State], "was "+string(was.State))
	}
	if !was.Started.Equal(n.Started) && !n.Started.IsZero() {
		add(n, "restart", "counts as cold")
	}
	if was.Zone != n.Zone {
		add(n, "hall", was.Zone+" to "+n.Zone)
	}
	if !maps.Equal(was.Labels, n.Labels) {
		add(n, "labels", "changed")
	}
}
