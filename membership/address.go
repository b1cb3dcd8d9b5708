package membership

import (
	"maps"
	"slices"
	"time"

	"umberladder/inventory"
)

// SetAddresses sets the addresses, with port, that each node's name resolved to. A node without an entry counts as
// unresolved and shares its address with no other node.
//
// Two names at one address are one database process. A new node that shares its address with a member in force is held
// back. Of two members in force neither is removed, as a resolver may return a wrong address for all names at once;
// they are reported in Change.Shared, and a drain of either drains both.
func (m *Tracker) SetAddresses(now time.Duration, addresses map[string][]string) Change {
	m.resolved = maps.Clone(addresses)
	return m.apply(now)
}

// findShared finds the nodes that share an address and updates their states.
func (m *Tracker) findShared() {
	at := map[string][]*member{}
	for _, k := range m.members {
		k.duplicate = nil
	}
	for _, name := range slices.Sorted(maps.Keys(m.resolved)) {
		k := m.members[name]
		if k == nil || k.removed {
			continue
		}
		for _, a := range m.resolved[name] {
			at[a] = append(at[a], k)
		}
	}
	for _, all := range at {
		if len(all) > 1 {
			linkDuplicates(all)
		}
	}
	for _, k := range m.members {
		k.inheritDrain()
	}
}

// linkDuplicates links the nodes at one address. Each links to the first one in force, or to the first one if none is in
// force; that one links to the next node.
func linkDuplicates(all []*member) {
	first := all[0]
	if i := slices.IndexFunc(all, func(k *member) bool { return k.active }); i >= 0 {
		first = all[i]
	}
	for _, k := range all {
		switch {
		case k != first && (k.duplicate == nil || first.node.Name < k.duplicate.node.Name):
			k.duplicate = first
		case k == first && k.duplicate == nil:
			k.duplicate = all[(slices.Index(all, k)+1)%len(all)]
		}
	}
}

// inheritDrain makes a ready node count as draining while its duplicate in force drains: both names reach the drained
// process. When that ends the node becomes a new instance, as a drain of an instance is final.
func (k *member) inheritDrain() {
	inherits := k.duplicate != nil && k.node.State == inventory.Ready && k.duplicate.node.State != inventory.Ready && k.duplicate.active
	if k.inheritedDrain && !inherits {
		k.instance++
	}
	k.inheritedDrain = inherits
}

// effective returns the member with the state that is in force.
func (k *member) effective() Member {
	n := k.node
	if k.inheritedDrain {
		n.State = inventory.Draining
	}
	return Member{n, k.instance}
}
