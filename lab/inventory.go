package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"umberladder/balance"
	"umberladder/settings"
	"umberladder/standin"
)

// Inventory plays a day on which drivers follow an inventory file that is edited, truncated, replaced, emptied,
// corrupted, removed and restored while clients work and nodes drain, crash and join. It judges the five rules.
func Inventory(seed uint64) (*Report, error) {
	dir, err := os.MkdirTemp("", "umberladder-lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	d, err := startDay("inventory", Spec{Slices: 2, Members: 4, Drivers: 3, Node: SmallNode, Seed: seed, Dir: dir}, 0x696e76)
	if err != nil {
		return nil, err
	}
	for i := range 36 {
		s := newSession(d.fleet, d.callLog, i, 0.02)
		d.clients.Go(func() { s.run(d.ctx, 40*time.Millisecond) })
	}
	d.inventoryScript()
	time.Sleep(11 * time.Second)
	r := d.finish()
	replaceCount := d.fleet.file.replaceCount
	if replaceCount < 50 {
		r.Missing = append(r.Missing, fmt.Sprintf("the file was replaced only %d times", replaceCount))
	}
	r.Faults = append(r.Faults, fmt.Sprintf("file replaced %d", replaceCount))
	return r, nil
}

// corruptions are the invalid states in which the file is left for a while.
var corruptions = []struct {
	name string
	do   func(rng *rand.Rand, text string) string
}{
	{"file cut", func(rng *rand.Rand, text string) string { return text[:len(text)/4+rng.IntN(len(text)/2)] }},
	{"file cut at a line", func(rng *rand.Rand, text string) string {
		lines := strings.SplitAfter(text, "\n")
		return strings.Join(lines[:3+rng.IntN(len(lines)/2)], "")
	}},
	{"file emptied", func(*rand.Rand, string) string { return "" }},
	{"merge conflict", func(rng *rand.Rand, text string) string {
		return strings.Replace(text, "\n", "\n<<<<<<< HEAD\n", 1)
	}},
	{"state mistyped", func(rng *rand.Rand, text string) string { return strings.Replace(text, "ready", "redy", 1) }},
	{"garbage", func(rng *rand.Rand, text string) string { return "\x00\xff{{{ " + text }},
}

func (d *day) inventoryScript() {
	for _, s := range corruptions {
		duration, rng := d.randomDuration(100*time.Millisecond, 700*time.Millisecond), rand.New(rand.NewPCG(d.rng.Uint64(), 1))
		d.schedule(d.randomDuration(500*time.Millisecond, 6*time.Second), s.name, func(context.Context) {
			d.fleet.file.corrupt(func(text string) string { return s.do(rng, text) }, func() { d.sleep(duration) })
		})
	}
	absence := d.randomDuration(100*time.Millisecond, 900*time.Millisecond)
	d.schedule(d.randomDuration(500*time.Millisecond, 6*time.Second), "file removed", func(context.Context) {
		d.fleet.file.remove(func() { d.sleep(absence) })
	})
	d.schedule(d.randomDuration(time.Second, 3*time.Second), "file swapped 1000 times", func(ctx context.Context) { d.fleet.file.replaceRepeatedly(ctx, 1000) })
	d.drainReplica(d.fleet.Groups[0], d.randomDuration(time.Second, 3*time.Second))
	d.drainReplica(d.fleet.Groups[1], d.randomDuration(7500*time.Millisecond, 8*time.Second)) // after the file troubles
	d.drainCanceled(d.fleet.Groups[1], d.randomDuration(time.Second, 6*time.Second))
	d.primaryUnlisted(d.fleet.Groups[1], d.randomDuration(2*time.Second, 5*time.Second))
	d.nodeJoins(d.fleet.Groups[0], d.randomDuration(2*time.Second, 5*time.Second))
	d.primaryCrash(d.fleet.Groups[0], d.randomDuration(4*time.Second, 6*time.Second))
	d.listUnreachable(d.fleet.Groups[1], d.randomDuration(500*time.Millisecond, 2*time.Second))
	killed := d.fleet.Drivers[d.rng.IntN(len(d.fleet.Drivers))]
	d.schedule(d.randomDuration(3*time.Second, 6*time.Second), "driver restarted with a broken file", func(context.Context) {
		d.fleet.file.corrupt(func(string) string { return "nodes: [" }, func() {
			killed.Kill()
			d.fleet.Start(killed)
			d.sleep(500 * time.Millisecond)
		})
	})
}

// setNode changes one node's entry.
func (d *day) setNode(name string, change func(n *settings.Node)) {
	d.fleet.UpdateNodes(func(n *settings.Node) {
		if n.Name == name {
			change(n)
		}
	})
}

func (d *day) runningReplica(g *standin.Group) *standin.Node {
	for _, n := range g.Nodes() {
		if n != g.Primary() && n.Running() {
			return n
		}
	}
	return nil
}

// drainCanceled lists a replica as draining and, within the grace, as ready again.
func (d *day) drainCanceled(g *standin.Group, after time.Duration) {
	delay := d.randomDuration(100*time.Millisecond, 400*time.Millisecond)
	d.schedule(after, "drain called off", func(context.Context) {
		d.promotionLocks[g].Lock()
		defer d.promotionLocks[g].Unlock()
		if n := d.runningReplica(g); n != nil {
			d.setNode(n.Name, func(n *settings.Node) { n.Life = balance.LifeDraining })
			d.sleep(delay)
			d.setNode(n.Name, func(n *settings.Node) { n.Life = balance.LifeReady })
		}
	})
}

// primaryUnlisted removes the primary from the file with writes in flight. A replica is promoted, and the old
// primary is killed and restarted as a replica.
func (d *day) primaryUnlisted(g *standin.Group, after time.Duration) {
	d.schedule(after, "primary unlisted", func(context.Context) {
		d.promotionLocks[g].Lock()
		defer d.promotionLocks[g].Unlock()
		old := g.Primary()
		d.setNode(old.Name, func(n *settings.Node) { n.Life = balance.LifeRemoved })
		d.sleep(fileNoticeDelay + 200*time.Millisecond)
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			d.countFault("promotion")
		}
		old.Crash()
		d.sleep(300 * time.Millisecond)
		d.restart(old)
	})
}

// nodeJoins adds a cold node whose log lacks the newest records.
func (d *day) nodeJoins(g *standin.Group, after time.Duration) {
	d.schedule(after, "node joined", func(context.Context) {
		n, err := g.AddColdNode("late-"+g.Name, "reykjavik-a", d.fleet.Spec.Node, 30)
		if err == nil {
			d.fleet.AddNode(settings.Node{Name: n.Name, Address: n.Addr(), Slice: g.Name, Zone: n.Zone, Started: time.Now()})
		}
	})
}

// listUnreachable lists a node at an address where nothing listens.
func (d *day) listUnreachable(g *standin.Group, after time.Duration) {
	d.schedule(after, "unreachable node listed", func(context.Context) {
		d.fleet.AddNode(settings.Node{Name: "nowhere-" + g.Name, Address: "127.0.0.1:9", Slice: g.Name, Zone: "reykjavik-a"})
	})
}
