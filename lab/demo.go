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

// Demo runs one driver, four stand-in nodes and twenty clients through the crash of a primary, and prints progress
// and the report to w. It takes about six seconds.
func Demo(w io.Writer) (*Report, error) {
	before := runtime.NumGoroutine()
	f, err := NewFleet(Spec{Slices: 1, Members: 4, Drivers: 1, Node: SmallNode, Seed: 1})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	maxStall := MeasureStalls(ctx)
	g := f.Groups[0]
	d := newDay(ctx, f, rand.New(rand.NewPCG(1, 1)))
	begin := time.Now()
	printf := func(format string, args ...any) {
		fmt.Fprintf(w, "%5.1f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	}
	printf("driver on %s; stand-in nodes (simulated, in this process):", f.Drivers[0].runningServer().Addr())
	for _, n := range g.Nodes() {
		printf("  %s on %s in %s", n.Name, n.Addr(), n.Zone)
	}
	var clients sync.WaitGroup
	for i := range 20 {
		s := newSession(f, d.callLog, i, 0.02)
		clients.Go(func() { s.run(ctx, 30*time.Millisecond) })
	}
	summarize := func(from int) int {
		calls := d.callLog.Calls()
		byNode, verdicts := map[string]int{}, map[Verdict]int{}
		for _, c := range calls[from:] {
			verdicts[c.Verdict]++
			if c.Served != nil {
				byNode[c.Served.Node]++
			}
		}
		printf("  %d served, %d refused, %d failed; by node %v", verdicts[Served], verdicts[Refused], verdicts[Failed], byNode)
		return len(calls)
	}
	time.Sleep(1500 * time.Millisecond)
	seen := summarize(0)
	old := g.Primary()
	old.Crash()
	d.countFault("primary died")
	printf("%s, the primary, crashes with writes in flight; the driver is not notified", old.Name)
	time.Sleep(700 * time.Millisecond)
	next := g.MostAdvanced()
	g.Promote(next)
	d.countFault("promotion")
	printf("%s is promoted; the driver learns it from its polls", next.Name)
	seen = summarize(seen)
	time.Sleep(1500 * time.Millisecond)
	seen = summarize(seen)
	d.restart(old)
	printf("%s has restarted cold as a replica and is listed as ready", old.Name)
	d.drainReplica(g, 300*time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	summarize(seen)
	cancel()
	clients.Wait()
	d.troubles.Wait()
	closing := f.Close()
	slack := 30*time.Millisecond + 4*time.Duration(maxStall.Load())
	r := &Report{Name: "demo", Seed: 1, Slack: slack, Rules: Judge(f, d.callLog.Calls(), slack)}
	r.addChecks(d, before, closing)
	r.Write(w)
	return r, nil
}
