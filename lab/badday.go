package lab

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/balance"
	"umberladder/settings"
	"umberladder/standin"
)

// SmallNode is a stand-in with so little capacity that a few dozen clients can load it fully.
var SmallNode = standin.Config{Cores: 1, Read: 8 * time.Millisecond, Write: 6 * time.Millisecond,
	ShipDelay: 5 * time.Millisecond, ReplayTime: time.Millisecond, MaxConns: 200, ColdFrom: 0.1, RampTime: 3 * time.Second}

// day is a run of a fleet under load and faults.
type day struct {
	name             string
	goroutinesBefore int // for the leak check
	cancel           context.CancelFunc
	maxStall         *atomic.Int64
	clients          sync.WaitGroup
	fleet            *Fleet
	callLog          *CallLog
	rng              *rand.Rand
	ctx              context.Context
	mu               sync.Mutex
	faults           map[string]int
	troubles         sync.WaitGroup
	promotionLocks   map[*standin.Group]*sync.Mutex // serialize changes of the primary
}

func newDay(ctx context.Context, f *Fleet, rng *rand.Rand) *day {
	d := &day{fleet: f, callLog: &CallLog{}, rng: rng, ctx: ctx, faults: map[string]int{}, promotionLocks: map[*standin.Group]*sync.Mutex{}}
	for _, g := range f.Groups {
		d.promotionLocks[g] = &sync.Mutex{}
	}
	return d
}

// startDay starts a fleet and a day. The salt separates the random numbers of different kinds of day.
func startDay(name string, spec Spec, salt uint64) (*day, error) {
	before := runtime.NumGoroutine()
	f, err := NewFleet(spec)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := newDay(ctx, f, rand.New(rand.NewPCG(spec.Seed, salt)))
	d.name, d.goroutinesBefore, d.cancel, d.maxStall = name, before, cancel, MeasureStalls(ctx)
	return d, nil
}

// finish ends the clients, the troubles and the fleet, and judges the day.
func (d *day) finish() *Report {
	d.cancel()
	d.clients.Wait()
	d.troubles.Wait()
	closing := d.fleet.Close()
	slack := 30*time.Millisecond + 4*time.Duration(d.maxStall.Load())
	r := &Report{Name: d.name, Seed: d.fleet.Spec.Seed, Slack: slack, Rules: Judge(d.fleet, d.callLog.Calls(), slack)}
	r.addChecks(d, d.goroutinesBefore, closing)
	return r
}

func (d *day) countFault(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults[name]++
}

// schedule starts a trouble after a delay, unless the day has ended by then.
func (d *day) schedule(delay time.Duration, name string, trouble func(ctx context.Context)) {
	d.troubles.Go(func() {
		select {
		case <-time.After(delay):
			trouble(d.ctx)
			d.countFault(name)
		case <-d.ctx.Done():
		}
	})
}

// sleep returns after t or at the end of the day.
func (d *day) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// MeasureStalls measures, until ctx ends, how late this machine runs a ready goroutine. The result holds the longest
// delay so far, in nanoseconds.
func MeasureStalls(ctx context.Context) *atomic.Int64 {
	var longest atomic.Int64
	go func() {
		const interval = 2 * time.Millisecond
		for ctx.Err() == nil {
			before := time.Now()
			time.Sleep(interval)
			if late := time.Since(before) - interval; int64(late) > longest.Load() {
				longest.Store(int64(late))
			}
		}
	}()
	return &longest
}

// BadDay plays overlapping troubles against several drivers for about ten seconds and judges the five rules.
// Primaries crash with writes in flight, replicas are promoted, lag, hang and stall, nodes drain, start cold,
// refuse connections and break them, a driver is killed and another stopped, and clients cancel requests.
func BadDay(seed uint64) (*Report, error) {
	d, err := startDay("bad day", Spec{Slices: 2, Members: 4, Drivers: 3, Node: SmallNode, Seed: seed}, 0x6261646461790a)
	if err != nil {
		return nil, err
	}
	for i := range 40 {
		s := newSession(d.fleet, d.callLog, i, 0.03)
		d.clients.Go(func() { s.run(d.ctx, 40*time.Millisecond) })
	}
	d.script()
	time.Sleep(9 * time.Second)
	return d.finish(), nil
}

// addChecks adds the counts of calls and faults, the leaks and the missing evidence.
func (r *Report) addChecks(d *day, goroutines int, closing error) {
	r.Counts = map[Verdict]int{}
	for _, c := range d.callLog.Calls() {
		r.Counts[c.Verdict]++
	}
	for _, name := range slices.Sorted(maps.Keys(d.faults)) {
		r.Faults = append(r.Faults, fmt.Sprintf("%s %d", name, d.faults[name]))
	}
	if closing != nil {
		r.Leaks = append(r.Leaks, "closing: "+closing.Error())
	}
	for deadline := time.Now().Add(2 * time.Second); runtime.NumGoroutine() > goroutines && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	if n := runtime.NumGoroutine(); n > goroutines {
		r.Leaks = append(r.Leaks, fmt.Sprintf("%d goroutines more than before", n-goroutines))
	}
	if n := d.fleet.Trace.OpenConns(); n > 0 {
		r.Leaks = append(r.Leaks, fmt.Sprintf("%d connections open at the stand-ins", n))
	}
	if r.Counts[Served] < 100 {
		r.Missing = append(r.Missing, fmt.Sprintf("only %d requests served", r.Counts[Served]))
	}
	if len(d.faults) == 0 {
		r.Missing = append(r.Missing, "no fault was injected")
	}
	for _, rule := range r.Rules {
		if rule.Chances == 0 {
			r.Missing = append(r.Missing, "no chance to break: "+rule.Name)
		}
	}
}

func (d *day) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Float64()*float64(to-from))
}

// script schedules the day's troubles. It draws all random numbers before the first one starts.
func (d *day) script() {
	for _, g := range d.fleet.Groups {
		d.primaryCrash(g, d.randomDuration(1000*time.Millisecond, 2500*time.Millisecond))
		d.replicaTroubles(g)
	}
	d.drainReplica(d.fleet.Groups[0], d.randomDuration(3*time.Second, 4*time.Second))
	d.primaryHang(d.fleet.Groups[1], d.randomDuration(5*time.Second, 6*time.Second))
	killed := d.fleet.Drivers[d.rng.IntN(len(d.fleet.Drivers))]
	down := d.randomDuration(200*time.Millisecond, 800*time.Millisecond)
	d.schedule(d.randomDuration(2*time.Second, 6*time.Second), "driver killed", func(context.Context) {
		killed.Kill()
		d.sleep(down)
		d.fleet.Start(killed)
	})
	stopped := d.fleet.Drivers[d.rng.IntN(len(d.fleet.Drivers))]
	d.schedule(d.randomDuration(6500*time.Millisecond, 8*time.Second), "driver stopped", func(context.Context) {
		stopped.Stop()
		d.fleet.Start(stopped)
	})
}

// primaryCrash kills a slice's primary, promotes a replica and restarts the old primary as a cold replica.
func (d *day) primaryCrash(g *standin.Group, after time.Duration) {
	detect, down := d.randomDuration(300*time.Millisecond, 1200*time.Millisecond), d.randomDuration(500*time.Millisecond, 1500*time.Millisecond)
	d.schedule(after, "primary died", func(context.Context) {
		d.promotionLocks[g].Lock()
		defer d.promotionLocks[g].Unlock()
		old := g.Primary()
		old.Crash()
		d.sleep(detect)
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			d.countFault("promotion")
		}
		d.sleep(down)
		d.restart(old)
	})
}

// restart starts a node that was killed, and updates the list 100 ms later.
func (d *day) restart(n *standin.Node) {
	if n.Restart() != nil {
		return
	}
	d.countFault("cold start")
	started := time.Now()
	d.sleep(100 * time.Millisecond)
	d.fleet.UpdateNodes(func(l *settings.Node) {
		if l.Name == n.Name {
			l.Life, l.Started = balance.LifeReady, started
		}
	})
}

// primaryHang makes a primary accept everything and answer nothing. A replica is promoted, and the old primary is
// killed before it can continue, as a fencing agent would.
func (d *day) primaryHang(g *standin.Group, after time.Duration) {
	detect, fenceDelay := d.randomDuration(800*time.Millisecond, 1500*time.Millisecond), d.randomDuration(300*time.Millisecond, time.Second)
	d.schedule(after, "primary hung", func(context.Context) {
		d.promotionLocks[g].Lock()
		defer d.promotionLocks[g].Unlock()
		old := g.Primary()
		old.Hang(true)
		d.sleep(detect)
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			d.countFault("promotion")
		}
		d.sleep(fenceDelay)
		old.Crash()
		d.restart(old)
	})
}

// replicaTroubles makes replicas of a slice lag, hang, stall, refuse connections and break them.
func (d *day) replicaTroubles(g *standin.Group) {
	pick := func() func() *standin.Node {
		n := d.rng.IntN(3)
		return func() *standin.Node { // a replica at the time of the call
			nodes := g.Nodes()
			p := g.Primary()
			for i := range nodes {
				if m := nodes[(n+i)%len(nodes)]; m != p && m.Running() {
					return m
				}
			}
			return nodes[n]
		}
	}
	type trouble struct {
		name    string
		on, off func(n *standin.Node)
	}
	for _, t := range []trouble{
		{"replica lagged", func(n *standin.Node) { n.SlowReplay(60) }, func(n *standin.Node) { n.SlowReplay(1) }},
		{"node hung", func(n *standin.Node) { n.Hang(true) }, func(n *standin.Node) { n.Hang(false) }},
		{"node stalled", func(n *standin.Node) { n.Stall(300 * time.Millisecond) }, func(*standin.Node) {}},
		{"node slow", func(n *standin.Node) { n.Slow(6) }, func(n *standin.Node) { n.Slow(1) }},
		{"node refused", func(n *standin.Node) { n.Refuse("57P03") }, func(n *standin.Node) { n.Refuse("") }},
		{"node ended sessions", func(n *standin.Node) { n.Refuse("57P01") }, func(n *standin.Node) { n.Refuse("") }},
		{"connections cut", func(n *standin.Node) { n.DisconnectAfter(1500) }, func(n *standin.Node) { n.DisconnectAfter(0) }},
	} {
		which, duration := pick(), d.randomDuration(500*time.Millisecond, 2*time.Second)
		d.schedule(d.randomDuration(500*time.Millisecond, 7*time.Second), t.name, func(context.Context) {
			n := which()
			t.on(n)
			d.sleep(duration)
			t.off(n)
		})
	}
	n, duration := g, d.randomDuration(200*time.Millisecond, 800*time.Millisecond)
	d.schedule(d.randomDuration(500*time.Millisecond, 7*time.Second), "primary ended sessions", func(context.Context) {
		p := n.Primary()
		p.Refuse("57P01")
		d.sleep(duration)
		p.Refuse("")
	})
}

// drainReplica lists a replica as draining and then as removed, kills it and restarts it cold.
func (d *day) drainReplica(g *standin.Group, after time.Duration) {
	d.schedule(after, "drain", func(context.Context) {
		d.promotionLocks[g].Lock()
		defer d.promotionLocks[g].Unlock()
		var n *standin.Node
		for _, m := range g.Nodes() {
			if m != g.Primary() && m.Running() {
				n = m
			}
		}
		if n == nil {
			return
		}
		life := func(l balance.Life) {
			d.fleet.UpdateNodes(func(node *settings.Node) {
				if node.Name == n.Name {
					node.Life = l
				}
			})
		}
		life(balance.LifeDraining)
		d.sleep(d.fleet.Spec.Site.Grace + 300*time.Millisecond)
		if d.fleet.file != nil {
			d.sleep(fileNoticeDelay) // until drivers have read the file
		}
		life(balance.LifeRemoved)
		d.sleep(300 * time.Millisecond)
		n.Crash()
		d.sleep(400 * time.Millisecond)
		d.restart(n)
	})
}
