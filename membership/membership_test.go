package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"umberladder/inventory"
)

func node(name, slice string, state inventory.State) inventory.Node {
	return inventory.Node{Name: name, Host: name, Port: 5432, Slice: slice, State: state, Labels: map[string]string{}}
}

func set(nodes ...inventory.Node) *inventory.Set { return &inventory.Set{Nodes: nodes} }

func sixNodes() []inventory.Node {
	var nodes []inventory.Node
	for i := range 6 {
		nodes = append(nodes, node(fmt.Sprintf("db%d", i), "news", inventory.Ready))
	}
	return nodes
}

func names(c Change) (all []string) {
	for _, m := range c.Members {
		if m.State == inventory.Ready {
			all = append(all, m.Name)
		}
	}
	return all
}

func has(c Change, name string) bool { return slices.Contains(names(c), name) }

const sec = time.Second

func TestFirstListAppliesAtOnce(t *testing.T) {
	m := New(Defaults(), 1)
	if c := m.List(0, set(sixNodes()...)); len(names(c)) != 6 || !c.Changed || len(c.Held) != 0 {
		t.Errorf("%+v", c)
	}
}

// TestTruncatedList: a truncated file still parses as a shorter list; the members that it lacks stay until confirmed.
func TestTruncatedList(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, set(sixNodes()...))
	c := m.List(1*sec, set(sixNodes()[:2]...))
	if len(names(c)) != 6 || len(c.Held) != 4 || c.Changed {
		t.Fatalf("%v, held %v", names(c), c.Held)
	}
	if c = m.Confirm(2 * sec); len(names(c)) != 2 || len(c.Held) != 0 || !c.Changed {
		t.Errorf("after the confirmation %v are ready, held %v", names(c), c.Held)
	}
}

// TestTruncatedListIsRepaired: a complete list after a truncated one changes nothing, as nothing was removed in
// between.
func TestTruncatedListIsRepaired(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, set(sixNodes()...))
	m.List(1*sec, set(sixNodes()[:2]...))
	if c := m.List(2*sec, set(sixNodes()...)); len(names(c)) != 6 || c.Changed || len(c.Held) != 0 {
		t.Errorf("%+v", c)
	}
}

func TestUnchangedListIsConfirmed(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, set(sixNodes()...))
	m.List(1*sec, set(sixNodes()[:2]...))
	at, ok := m.NextTick()
	if !ok || at != 1*sec+Defaults().ConfirmAfter {
		t.Fatalf("next tick at %v, %v", at, ok)
	}
	if c := m.Tick(at); len(names(c)) != 2 {
		t.Errorf("%v", names(c))
	}
}

func TestOneMissingIsRemoved(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, set(sixNodes()...))
	if c := m.List(1*sec, set(sixNodes()[1:]...)); has(c, "db0") || len(names(c)) != 5 {
		t.Errorf("%v", names(c))
	}
}

// TestLastReadyMember: a list that lacks the last ready member of a slice does not remove it.
func TestLastReadyMember(t *testing.T) {
	m := New(Defaults(), 1)
	nodes := []inventory.Node{node("a", "news", inventory.Ready), node("b", "news", inventory.Draining), node("c", "news", inventory.Draining),
		node("d", "news", inventory.Draining)}
	m.List(0, set(nodes...))
	if c := m.List(1*sec, set(nodes[1:]...)); !has(c, "a") || len(c.Held) != 1 {
		t.Errorf("%v, held %v", names(c), c.Held)
	}
}

// TestDrainsApplyAtOnce: drains apply at once even on a list whose removals are held back.
func TestDrainsApplyAtOnce(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, set(sixNodes()...))
	c := m.List(1*sec, set(node("db0", "news", inventory.Draining), node("db1", "news", inventory.Removed)))
	if has(c, "db0") || has(c, "db1") || !has(c, "db5") {
		t.Errorf("%v", names(c))
	}
}

// TestDrainCalledOff: calling off a drain creates a new instance, as the old one stays drained.
func TestDrainCalledOff(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, set(sixNodes()...))
	drained := sixNodes()
	drained[0].State = inventory.Draining
	m.List(1*sec, set(drained...))
	c := m.List(1200*time.Millisecond, set(sixNodes()...))
	if !has(c, "db0") || c.Members[0].Instance != 1 {
		t.Errorf("%+v", c.Members[0])
	}
}

// TestFlapping: a flapping node is held back longer each time, while its drains still apply at once.
func TestFlapping(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, set(sixNodes()...))
	now, last := time.Duration(0), time.Duration(0)
	for round := range 8 {
		now += sec
		drained := sixNodes()
		drained[0].State = inventory.Draining
		if c := m.List(now, set(drained...)); has(c, "db0") {
			t.Fatalf("round %d: the drain was not applied", round)
		}
		now += sec
		c := m.List(now, set(sixNodes()...))
		if round < 3 && !has(c, "db0") {
			t.Errorf("round %d: db0 was held back", round)
		}
		if round > 3 {
			wait := time.Duration(0)
			for _, h := range c.Held {
				if h.Node == "db0" {
					wait = h.Until - now
				}
			}
			if wait <= last {
				t.Errorf("round %d: held back %v, before that %v", round, wait, last)
			}
			last = wait
		}
	}
}

// TestMoved: a new address under the same name is a new instance, and the old one leaves at once.
func TestMoved(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, set(sixNodes()...))
	moved := sixNodes()
	moved[2].Host = "10.0.0.9"
	c := m.List(1*sec, set(moved...))
	for _, k := range c.Members {
		if k.Name == "db2" && (k.Host != "10.0.0.9" || k.Instance != 1) {
			t.Errorf("%+v", k)
		}
	}
}

// TestNewMembersAreSpread: however many members are added at once, at most a third of the drivers connect to a new
// member within one step, so that it does not get connections from all drivers together.
func TestNewMembersAreSpread(t *testing.T) {
	const drivers, added = 50, 300
	cfg := Defaults()
	cfg.Drivers = drivers
	list := sixNodes()
	for i := range added {
		list = append(list, node(fmt.Sprintf("new%03d", i), fmt.Sprintf("s%d", i/6), inventory.Ready))
	}
	joined := map[string]map[int64]int{}
	for d := range drivers {
		m := New(cfg, uint64(d))
		m.List(0, set(sixNodes()...))
		known := map[string]bool{}
		observe := func(now time.Duration, c Change) {
			for _, k := range c.Members {
				if !known[k.Name] {
					known[k.Name] = true
					if joined[k.Name] == nil {
						joined[k.Name] = map[int64]int{}
					}
					joined[k.Name][int64(now/cfg.Step)]++
				}
			}
		}
		observe(sec, m.List(sec, set(list...)))
		for {
			at, ok := m.NextTick()
			if !ok {
				break
			}
			observe(at, m.Tick(at))
		}
		if len(known) != added+6 {
			t.Fatalf("driver %d knows %d members", d, len(known))
		}
	}
	worst := 0
	for name, steps := range joined {
		if name[:3] == "new" {
			for _, n := range steps {
				worst = max(worst, n)
			}
		}
	}
	if worst > drivers/3 {
		t.Errorf("%d of %d drivers added one node within %v", worst, drivers, cfg.Step)
	}
	t.Logf("at most %d of %d drivers added one node within %v", worst, drivers, cfg.Step)
}

// TestAnyHistory draws lists and times: drains apply at once, and a list that stays unchanged is in force in the end.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Defaults()
		cfg.Drivers = rapid.IntRange(0, 40).Draw(t, "drivers")
		m := New(cfg, rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		var list *inventory.Set
		for range rapid.IntRange(1, 12).Draw(t, "lists") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "gap")) * time.Millisecond
			var nodes []inventory.Node
			for i := range 8 {
				switch rapid.IntRange(0, 5).Draw(t, "state") {
				case 0:
				case 1:
					nodes = append(nodes, node(fmt.Sprintf("n%d", i), fmt.Sprintf("s%d", i/4), inventory.Draining))
				case 2:
					nodes = append(nodes, node(fmt.Sprintf("n%d", i), fmt.Sprintf("s%d", i/4), inventory.Removed))
				default:
					nodes = append(nodes, node(fmt.Sprintf("n%d", i), fmt.Sprintf("s%d", i/4), inventory.Ready))
				}
			}
			list = set(nodes...)
			c := m.List(now, list)
			for _, n := range nodes {
				if n.State != inventory.Ready && has(c, n.Name) {
					t.Fatalf("%s is %s in the list and ready in force", n.Name, n.State)
				}
			}
		}
		for range 1000 {
			at, ok := m.NextTick()
			if !ok {
				break
			}
			now = max(now, at)
			m.Tick(now)
		}
		c := m.Tick(now + cfg.ConfirmAfter)
		var want []string
		for _, n := range list.Nodes {
			if n.State == inventory.Ready {
				want = append(want, n.Name)
			}
		}
		if got := names(c); len(c.Held) != 0 || !slices.Equal(got, want) {
			t.Fatalf("finally %v are ready with %v held, the list has %v", got, c.Held, want)
		}
	})
}

func addresses(m map[string]string) map[string][]string {
	out := map[string][]string{}
	for name, at := range m {
		out[name] = []string{at}
	}
	return out
}

// TestTwoNamesAtOneAddress: a new node at the address of a member in force is held back until the addresses differ. Two
// members in force at one address both stay and are reported, and a drain of either drains both; when it is called off,
// the other becomes a new instance.
func TestTwoNamesAtOneAddress(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, listOf("db1", "db2", "db3"))
	m.SetAddresses(1, addresses(map[string]string{"db1": "a:1", "db2": "b:1", "db3": "c:1", "db4": "a:1"}))
	c := m.List(time.Second, listOf("db1", "db2", "db3", "db4"))
	if len(c.Members) != 3 || len(c.Held) != 1 || c.Held[0].Node != "db4" || !strings.Contains(c.Held[0].Why, "db1") {
		t.Fatalf("%+v", c)
	}
	if _, ok := m.NextTick(); ok {
		t.Error("a tick is requested although only a list or a resolver can change anything")
	}
	if c = m.SetAddresses(2*time.Second, addresses(map[string]string{"db1": "a:1", "db4": "d:1"})); len(c.Members) != 4 {
		c = m.Tick(time.Minute)
	}
	if len(c.Members) != 4 || len(c.Held) != 0 {
		t.Fatalf("with different addresses: %+v", c)
	}
	c = m.SetAddresses(3*time.Minute, addresses(map[string]string{"db1": "a:1", "db4": "a:1"}))
	if len(c.Members) != 4 || len(c.Shared) != 2 {
		t.Fatalf("a resolved address removed a node, or the shared address is not reported: %+v", c)
	}
	state := func(c Change, name string) (inventory.State, int) {
		for _, k := range c.Members {
			if k.Name == name {
				return k.State, k.Instance
			}
		}
		return "", -1
	}
	_, instance := state(c, "db4")
	drained := listOf("db1", "db2", "db3", "db4")
	drained.Nodes[0].State = inventory.Draining
	c = m.List(4*time.Minute, drained)
	if got, _ := state(c, "db4"); got != inventory.Draining {
		t.Errorf("db1 drains, but db4 at the same address is %s", got)
	}
	c = m.List(5*time.Minute, listOf("db1", "db2", "db3", "db4"))
	if c = m.Tick(6 * time.Minute); len(c.Members) != 3 || len(c.Held) != 1 || c.Held[0].Node != "db1" {
		t.Fatalf("db1 returned at the address of db4, but is not held back: %+v", c)
	}
	if got, now := state(c, "db4"); got != inventory.Ready || now == instance {
		t.Errorf("after the drain was called off db4 is %s, instance %d, before it %d", got, now, instance)
	}
}

// TestAllAtOneAddress: a resolver that returns one address for every name removes no member.
func TestAllAtOneAddress(t *testing.T) {
	m := New(Defaults(), 1)
	m.List(0, listOf("db1", "db2", "db3"))
	if c := m.SetAddresses(1, addresses(map[string]string{"db1": "a:1", "db2": "a:1", "db3": "a:1"})); len(c.Members) != 3 || c.Changed || len(c.Shared) != 3 {
		t.Errorf("%+v", c)
	}
}

func listOf(names ...string) *inventory.Set {
	s := &inventory.Set{}
	for i, n := range names {
		s.Nodes = append(s.Nodes, inventory.Node{Name: n, Host: n, Port: 5432 + i, Slice: "news", State: inventory.Ready})
	}
	return s
}
