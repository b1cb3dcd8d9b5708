package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"
)

// Demo shows one driver, four stand-in nodes and twenty clients through the death of a primary, and tells
// what happens on w. It ends by itself after about six seconds.
func Demo(w io.Writer) (*Report, error) {
	before := runtime.NumGoroutine()
	f, err := NewFleet(Spec{Slices: 1, Members: 4, Drivers: 1, Node: SmallNode, Seed: 1})
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	stalls := StallMeter(ctx)
	g := f.Groups[0]
	d := newDay(ctx, f, rand.New(rand.NewPCG(1, 1)))
	begin := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(w, "%5.1f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	}
	say("driver on %s; stand-in nodes (simulated, in this process):", f.Drivers[0].running().Addr())
	for _, n := range g.Nodes() {
		say("  %s on %s in %s", n.Name, n.Addr(), n.Hall)
	}
	var clients sync.WaitGroup
	for i := range 20 {
		s := newSession(f, d.book, i, 0.02)
		clients.Go(func() { s.live(ctx, 30*time.Millisecond) })
	}
	tell := func(from int) int {
		calls := d.book.Calls()
		byNode, verdicts := map[string]int{}, map[Verdict]int{}
		for _, c := range calls[from:] {
			verdicts[c.Verdict]++
			if c.Served != nil {
				byNode[c.Served.Node]++
			}
		}
		say("  %d served, %d refused, %d failed; by node %v", verdicts[Served], verdicts[Refused], verdicts[Failed], byNode)
		return len(calls)
	}
	time.Sleep(1500 * time.Millisecond)
	seen := tell(0)
	old := g.Primary()
	old.Die()
	d.struck("primary died")
	say("%s, the primary, dies with writes out; the driver is told nothing", old.Name)
	time.Sleep(700 * time.Millisecond)
	next := g.MostAdvanced()
	g.Promote(next)
	d.struck("promotion")
	say("%s is promoted; the driver finds out by its polls", next.Name)
	seen = tell(seen)
	time.Sleep(1500 * time.Millisecond)
	seen = tell(seen)
	d.restart(old)
	say("%s is back, cold, as a replica, and the list says so", old.Name)
	d.drain(g, 300*time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	tell(seen)
	end()
	clients.Wait()
	d.troubles.Wait()
	closing := f.Close()
	slack := 30*time.Millisecond + 4*time.Duration(stalls.Load())
	r := &Report{Name: "demo", Seed: 1, Slack: slack, Rules: Judge(f, d.book.Calls(), slack)}
	r.fill(d, before, closing)
	r.Write(w)
	return r, nil
}
