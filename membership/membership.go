// Package membership decides which changes of an inventory a driver applies and which it holds back. Inventory lists,
// resolved addresses, an operator's confirmations and the time go in; the members in force and the changes held back
// come out. The server's inventory follower calls it; the package does no I/O and reads no clock.
//
//   - The state that a list gives a node applies at once, above all a drain.
//   - A node that is missing from a list may be an error, as a truncated file still parses as a shorter list. If too
//     large a share of a slice, or its last ready member, is missing, the missing nodes stay in force until an
//     operator confirms the list or it has been unchanged for a configured time.
//   - New members join after a random delay, drawn by each driver on its own, so that a node does not get connections
//     from all drivers at once. The delays grow with the number of new members and of drivers.
//   - Two names that resolve to one address are one node: a new name is held back, and a drain of either name drains
//     both.
//   - A node that flaps between ready and draining is held back longer each time.
package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"umberladder/inventory"
)

// Config sets how cautiously changes are applied.
type Config struct {
	MaxMissing     float64       // largest share of a slice's members, 0 to 1, that is removed without confirmation
	ConfirmAfter   time.Duration // age at which an unchanged list is taken as confirmed; 0 for never
	Drivers        int           // number of drivers that follow the same list; 0 if unknown
	DriversPerStep int           // number of drivers that may connect to a new node within Step, on average
	Step           time.Duration
	NodesPerStep   int           // number of new nodes that one driver adds within Step, on average
	FlapWindow     time.Duration // window over which returns of a node to ready are counted
	FlapLimit      int           // number of returns within FlapWindow up to which a node is not held back
	FlapHold       time.Duration // hold of the next return; doubles with each further one, up to 64 times FlapHold
}

// Defaults returns a Config that suits most sites.
func Defaults() Config {
	return Config{MaxMissing: 0.34, ConfirmAfter: 2 * time.Minute, DriversPerStep: 4, Step: 500 * time.Millisecond, NodesPerStep: 16,
		FlapWindow: time.Minute, FlapLimit: 3, FlapHold: 5 * time.Second}
}

// Member is a node in force. Instance increases when the same name has to be treated as a new node: a node that was
// drained once stays drained, so that calling the drain off creates a new instance.
type Member struct {
	inventory.Node
	Instance int
}

// Held is a change by a list that is not in force yet.
type Held struct {
	Node   string
	Slice  string
	Why    string
	Until  time.Duration // when the change comes into force; 0 if that takes a confirmation, a list or a resolver
	Lacked bool          // the node is missing from the list and stays in force; false if it is listed and not in force yet
}

// Change is the state after a call.
type Change struct {
	Members []Member // all members in force, sorted by slice and name; nodes listed with state "gone" are included
	Changed bool     // Members differs from the previous call
	Held    []Held
	Shared  []Shared // nodes in force whose names resolve to one address, sorted by name
}

// Shared names a node in force and another at the same address.
type Shared struct{ Node, With string }

// member is the state kept for a node name.
type member struct {
	node           inventory.Node
	instance       int
	active         bool
	due            time.Duration // time at which the node comes into force
	removalHeld    bool          // missing from the list, and its removal waits for a confirmation
	removed        bool          // removed; kept for its instance and its flap history
	duplicate      *member       // another node at the same address, or nil
	inheritedDrain bool          // counts as draining because its duplicate drains
	returns        []time.Duration
	holdCount      int
}

// Tracker is the membership of one driver. Times are on the caller's clock. Before the first List its other methods
// return a zero Change. It is not safe for concurrent use.
type Tracker struct {
	cfg       Config
	rng       *rand.Rand
	members   map[string]*member
	set       *inventory.Set // newest list
	setAt     time.Duration  // when List received it
	confirmed bool
	started   bool
	last      []Member
	resolved  map[string][]string // resolved addresses, by node
}

// New returns the membership of a driver that knows no node yet. The seed determines the delays of new members; drivers
// that share a seed would all connect to a new node at once.
func New(cfg Config, seed uint64) *Tracker {
	return &Tracker{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x6d656d62)), members: map[string]*member{}}
}

// List applies a list that has passed validation.
func (m *Tracker) List(now time.Duration, set *inventory.Set) Change {
	m.set, m.setAt, m.confirmed = set, now, false
	return m.apply(now)
}

// Confirm confirms the newest list: the nodes that are missing from it are removed.
func (m *Tracker) Confirm(now time.Duration) Change {
	m.confirmed = true
	return m.apply(now)
}

// Tick applies the changes whose time has come.
func (m *Tracker) Tick(now time.Duration) Change { return m.apply(now) }

// NextTick returns the time at which Tick has to be called next. It returns false if only a list, a confirmation
// or a resolver can change anything.
func (m *Tracker) NextTick() (at time.Duration, ok bool) {
	candidate := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, k := range m.members {
		if !k.active && !k.removed && (k.duplicate == nil || !k.duplicate.active && k.node.Name < k.duplicate.node.Name) {
			candidate(k.due)
		}
		if k.removalHeld && !m.confirmed && m.cfg.ConfirmAfter > 0 {
			candidate(m.setAt + m.cfg.ConfirmAfter)
		}
	}
	return at, ok
}

func (m *Tracker) apply(now time.Duration) Change {
	if m.set == nil {
		return Change{}
	}
	if m.cfg.ConfirmAfter > 0 && now-m.setAt >= m.cfg.ConfirmAfter {
		m.confirmed = true
	}
	listed := map[string]bool{}
	var added []*member
	for i := range m.set.Nodes {
		n := &m.set.Nodes[i]
		listed[n.Name] = true
		if k := m.update(now, n); k != nil {
			added = append(added, k)
		}
	}
	m.schedule(now, added)
	m.handleMissing(listed)
	m.findShared()
	for _, k := range m.members {
		if !k.active && !k.removed && now >= k.due && (k.duplicate == nil || !k.duplicate.active && k.node.Name < k.duplicate.node.Name) {
			k.active = true
		}
	}
	m.started = true
	return m.result()
}

// update applies a listed node and returns its member if the node is new, has moved or has returned to ready, and so
// has to wait for its delay.
func (m *Tracker) update(now time.Duration, n *inventory.Node) *member {
	k := m.members[n.Name]
	if k == nil {
		k = &member{node: *n}
		m.members[n.Name] = k
		return k
	}
	old := k.node
	k.node, k.removalHeld = *n, false
	moved := old.Address() != n.Address() || old.Slice != n.Slice
	returned := k.removed || old.State != inventory.Ready && n.State == inventory.Ready
	if !moved && !returned {
		return nil
	}
	k.instance++
	k.removed, k.active = false, false
	if returned && !moved {
		k.returns = slices.DeleteFunc(append(k.returns, now), func(t time.Duration) bool { return now-t > m.cfg.FlapWindow })
	}
	return k
}

// schedule sets when new members come into force. The members of a driver's first list do so at once, since a driver
// that starts must serve.
func (m *Tracker) schedule(now time.Duration, added []*member) {
	if !m.started {
		for _, k := range added {
			k.due = now
		}
		return
	}
	steps := max(float64(m.cfg.Drivers)/float64(max(m.cfg.DriversPerStep, 1)), float64(len(added))/float64(max(m.cfg.NodesPerStep, 1)))
	window := time.Duration(0)
	if steps > 1 {
		window = time.Duration(steps * float64(m.cfg.Step))
	}
	for _, k := range added {
		k.due = now + time.Duration(m.rng.Float64()*float64(window))
		if len(k.returns) <= m.cfg.FlapLimit {
			k.holdCount = 0
			continue
		}
		k.due = max(k.due, now+m.cfg.FlapHold<<min(k.holdCount, 6))
		k.holdCount++
	}
}

// handleMissing removes the nodes that the list no longer has, or keeps them in force if too many of a slice, or its
// last ready member, are missing: a truncated list would otherwise take a slice out of service.
func (m *Tracker) handleMissing(listed map[string]bool) {
	present, ready, missing := map[string]int{}, map[string]int{}, map[string][]*member{}
	for name, k := range m.members {
		if k.removed {
			continue
		}
		s := k.node.Slice
		if !listed[name] {
			missing[s] = append(missing[s], k)
			continue
		}
		if k.node.State != inventory.Removed {
			present[s]++
		}
		if k.node.State == inventory.Ready {
			ready[s]++
		}
	}
	for s, lost := range missing {
		all := float64(present[s] + len(lost))
		lostReady := slices.ContainsFunc(lost, func(k *member) bool { return k.node.State == inventory.Ready })
		implausible := float64(len(lost))/all > m.cfg.MaxMissing || lostReady && ready[s] == 0
		for _, k := range lost {
			k.removalHeld = implausible && !m.confirmed
			if !k.removalHeld {
				k.removed, k.active = true, false
			}
		}
	}
}

func (m *Tracker) result() Change {
	var c Change
	for name, k := range m.members {
		switch {
		case k.removalHeld:
			h := Held{Node: name, Slice: k.node.Slice, Lacked: true, Why: "its slice would lose too many members or its last ready one"}
			if m.cfg.ConfirmAfter > 0 {
				h.Until = m.setAt + m.cfg.ConfirmAfter
			}
			c.Held = append(c.Held, h)
			if k.active {
				c.Members = append(c.Members, k.effective())
			}
		case k.removed:
		case k.active:
			c.Members = append(c.Members, k.effective())
			if k.duplicate != nil {
				c.Shared = append(c.Shared, Shared{name, k.duplicate.node.Name})
			}
		case k.duplicate != nil:
			c.Held = append(c.Held, Held{Node: name, Slice: k.node.Slice, Why: "its name resolves to the address of " + k.duplicate.node.Name})
		default:
			why := "new, waiting for its random delay"
			if k.holdCount > 0 {
				why = fmt.Sprintf("returned to ready %d times within %v", len(k.returns), m.cfg.FlapWindow)
			}
			c.Held = append(c.Held, Held{Node: name, Slice: k.node.Slice, Why: why, Until: k.due})
		}
	}
	slices.SortFunc(c.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Slice, b.Slice), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(c.Held, func(a, b Held) int { return cmp.Or(cmp.Compare(a.Slice, b.Slice), cmp.Compare(a.Node, b.Node)) })
	c.Changed = !slices.EqualFunc(c.Members, m.last, func(a, b Member) bool { return a.Instance == b.Instance && a.Node.Equal(&b.Node) })
	slices.SortFunc(c.Shared, func(a, b Shared) int { return cmp.Compare(a.Node, b.Node) })
	m.last = c.Members
	return c
}
