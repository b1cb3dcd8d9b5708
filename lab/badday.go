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

// SmallNode is a stand-in whose capacity a handful of clients can press against.
var SmallNode = standin.Config{Cores: 1, Read: 8 * time.Millisecond, Write: 6 * time.Millisecond,
	Ship: 5 * time.Millisecond, Apply: time.Millisecond, MaxConns: 200, ColdFrom: 0.1, Ramp: 3 * time.Second}

// day is a run of a fleet under clients while faults strike.
type day struct {
	name     string
	before   int // goroutines before it began
	end      context.CancelFunc
	stalls   *atomic.Int64
	clients  sync.WaitGroup
	fleet    *Fleet
	book     *Book
	rng      *rand.Rand
	ctx      context.Context
	mu       sync.Mutex
	faults   map[string]int
	troubles sync.WaitGroup
	locks    map[*standin.Group]*sync.Mutex // one change of primary at a time
}

func newDay(ctx context.Context, f *Fleet, rng *rand.Rand) *day {
	d := &day{fleet: f, book: &Book{}, rng: rng, ctx: ctx, faults: map[string]int{}, locks: map[*standin.Group]*sync.Mutex{}}
	for _, g := range f.Groups {
		d.locks[g] = &sync.Mutex{}
	}
	return d
}

// startDay starts a fleet and a day of it. The salt tells the randomness of one kind of day from another's.
func startDay(name string, spec Spec, salt uint64) (*day, error) {
	before := runtime.NumGoroutine()
	f, err := NewFleet(spec)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	d := newDay(ctx, f, rand.New(rand.NewPCG(spec.Seed, salt)))
	d.name, d.before, d.end, d.stalls = name, before, end, StallMeter(ctx)
	return d, nil
}

// finish ends the day: its clients, its troubles and its fleet, and judges it.
func (d *day) finish() *Report {
	d.end()
	d.clients.Wait()
	d.troubles.Wait()
	closing := d.fleet.Close()
	slack := 30*time.Millisecond + 4*time.Duration(d.stalls.Load())
	r := &Report{Name: d.name, Seed: d.fleet.Spec.Seed, Slack: slack, Rules: Judge(d.fleet, d.book.Calls(), slack)}
	r.fill(d, d.before, closing)
	return r
}

func (d *day) struck(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults[name]++
}

// at starts a trouble after a delay, unless the day is over by then.
func (d *day) at(delay time.Duration, name string, trouble func(ctx context.Context)) {
	d.troubles.Go(func() {
		select {
		case <-time.After(delay):
			trouble(d.ctx)
			d.struck(name)
		case <-d.ctx.Done():
		}
	})
}

// wait sleeps, though not beyond the end of the day.
func (d *day) wait(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// StallMeter measures, until ctx ends, how late this machine runs a goroutine that is ready.
func StallMeter(ctx context.Context) *atomic.Int64 {
	var worst atomic.Int64
	go func() {
		const nap = 2 * time.Millisecond
		for ctx.Err() == nil {
			before := time.Now()
			time.Sleep(nap)
			if late := time.Since(before) - nap; int64(late) > worst.Load() {
				worst.Store(int64(late))
			}
		}
	}()
	return &worst
}

// BadDay plays overlapping troubles against several drivers for about ten seconds and judges the five rules:
// primaries die with writes out, replicas are promoted, lag, hang and stand still, nodes drain and start
// cold, refuse and cut connections, a driver is killed and one stopped, clients leave in mid-attempt.
func BadDay(seed uint64) (*Report, error) {
	d, err := startDay("bad day", Spec{Slices: 2, Members: 4, Drivers: 3, Node: SmallNode, Seed: seed}, 0x6261646461790a)
	if err != nil {
		return nil, err
	}
	for i := range 40 {
		s := newSession(d.fleet, d.book, i, 0.03)
		d.clients.Go(func() { s.live(d.ctx, 40*time.Millisecond) })
	}
	d.script()
	time.Sleep(9 * time.Second)
	return d.finish(), nil
}

// fill adds what a run must show.
func (r *Report) fill(d *day, goroutines int, closing error) {
	r.Counts = map[Verdict]int{}
	for _, c := range d.book.Calls() {
		r.Counts[c.Verdict]++
	}
	for _, name := range slices.Sorted(maps.Keys(d.faults)) {
		r.Faults = append(r.Faults, fmt.Sprintf("%s %d", name, d.faults[name]))
	}
	if closing != nil {
		r.Leaks = append(r.Leaks, "closing: "+closing.Error())
	}
	for end := time.Now().Add(2 * time.Second); runtime.NumGoroutine() > goroutines && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if n := runtime.NumGoroutine(); n > goroutines {
		r.Leaks = append(r.Leaks, fmt.Sprintf("%d goroutines more than before", n-goroutines))
	}
	if n := d.fleet.Trace.Open(); n > 0 {
		r.Leaks = append(r.Leaks, fmt.Sprintf("%d connections open at the stand-ins", n))
	}
	if r.Counts[Served] < 100 {
		r.Missing = append(r.Missing, fmt.Sprintf("only %d requests served", r.Counts[Served]))
	}
	if len(d.faults) == 0 {
		r.Missing = append(r.Missing, "no fault struck")
	}
	for _, rule := range r.Rules {
		if rule.Chances == 0 {
			r.Missing = append(r.Missing, "no chance to break: "+rule.Name)
		}
	}
}

func (d *day) span(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Float64()*float64(to-from))
}

// script draws the day's troubles. All randomness is drawn here, before anything strikes.
func (d *day) script() {
	for _, g := range d.fleet.Groups {
		d.primaryDies(g, d.span(1000*time.Millisecond, 2500*time.Millisecond))
		d.replicaTroubles(g)
	}
	d.drain(d.fleet.Groups[0], d.span(3*time.Second, 4*time.Second))
	d.primaryHangs(d.fleet.Groups[1], d.span(5*time.Second, 6*time.Second))
	killed := d.fleet.Drivers[d.rng.IntN(len(d.fleet.Drivers))]
	down := d.span(200*time.Millisecond, 800*time.Millisecond)
	d.at(d.span(2*time.Second, 6*time.Second), "driver killed", func(context.Context) {
		killed.Kill()
		d.wait(down)
		d.fleet.Start(killed)
	})
	stopped := d.fleet.Drivers[d.rng.IntN(len(d.fleet.Drivers))]
	d.at(d.span(6500*time.Millisecond, 8*time.Second), "driver stopped", func(context.Context) {
		stopped.Stop()
		d.fleet.Start(stopped)
	})
}

// primaryDies kills a slice's primary; another is promoted, and the dead one comes back cold as a replica.
func (d *day) primaryDies(g *standin.Group, after time.Duration) {
	detect, down := d.span(300*time.Millisecond, 1200*time.Millisecond), d.span(500*time.Millisecond, 1500*time.Millisecond)
	d.at(after, "primary died", func(context.Context) {
		d.locks[g].Lock()
		defer d.locks[g].Unlock()
		old := g.Primary()
		old.Die()
		d.wait(detect)
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			d.struck("promotion")
		}
		d.wait(down)
		d.restart(old)
	})
}

// restart starts a dead node, and the list tells of it, late.
func (d *day) restart(n *standin.Node) {
	if n.Restart() != nil {
		return
	}
	d.struck("cold start")
	started := time.Now()
	d.wait(100 * time.Millisecond)
	d.fleet.List(func(l *settings.Node) {
		if l.Name == n.Name {
			l.Life, l.Started = balance.LifeReady, started
		}
	})
}

// primaryHangs makes a primary take everything and answer nothing; another is promoted, and the hung one is
// ended before it can go on, as a fencing agent would.
func (d *day) primaryHangs(g *standin.Group, after time.Duration) {
	detect, down := d.span(800*time.Millisecond, 1500*time.Millisecond), d.span(300*time.Millisecond, time.Second)
	d.at(after, "primary hung", func(context.Context) {
		d.locks[g].Lock()
		defer d.locks[g].Unlock()
		old := g.Primary()
		old.Hang(true)
		d.wait(detect)
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			d.struck("promotion")
		}
		d.wait(down)
		old.Die()
		d.restart(old)
	})
}

// replicaTroubles makes replicas of a slice lag, hang, stand still, refuse and cut connections.
func (d *day) replicaTroubles(g *standin.Group) {
	pick := func() func() *standin.Node {
		n := d.rng.IntN(3)
		return func() *standin.Node { // a replica by then
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
		{"replica lagged", func(n *standin.Node) { n.Lag(60) }, func(n *standin.Node) { n.Lag(1) }},
		{"node hung", func(n *standin.Node) { n.Hang(true) }, func(n *standin.Node) { n.Hang(false) }},
		{"node stalled", func(n *standin.Node) { n.Stall(300 * time.Millisecond) }, func(*standin.Node) {}},
		{"node slow", func(n *standin.Node) { n.Slow(6) }, func(n *standin.Node) { n.Slow(1) }},
		{"node refused", func(n *standin.Node) { n.Refuse("57P03") }, func(n *standin.Node) { n.Refuse("") }},
		{"node ended sessions", func(n *standin.Node) { n.Refuse("57P01") }, func(n *standin.Node) { n.Refuse("") }},
		{"connections cut", func(n *standin.Node) { n.CutAfter(1500) }, func(n *standin.Node) { n.CutAfter(0) }},
	} {
		which, lasts := pick(), d.span(500*time.Millisecond, 2*time.Second)
		d.at(d.span(500*time.Millisecond, 7*time.Second), t.name, func(context.Context) {
			n := which()
			t.on(n)
			d.wait(lasts)
			t.off(n)
		})
	}
	n, lasts := g, d.span(200*time.Millisecond, 800*time.Millisecond)
	d.at(d.span(500*time.Millisecond, 7*time.Second), "primary ended sessions", func(context.Context) {
		p := n.Primary()
		p.Refuse("57P01")
		d.wait(lasts)
		p.Refuse("")
	})
}

// drain lists a replica as draining, then as gone, ends it, and lets it come back cold.
func (d *day) drain(g *standin.Group, after time.Duration) {
	d.at(after, "drain", func(context.Context) {
		d.locks[g].Lock()
		defer d.locks[g].Unlock()
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
			d.fleet.List(func(node *settings.Node) {
				if node.Name == n.Name {
					node.Life = l
				}
			})
		}
		life(balance.LifeDraining)
		d.wait(d.fleet.Spec.Site.Grace + 300*time.Millisecond)
		if d.fleet.file != nil {
			d.wait(noticeFile) // drivers have to read it first
		}
		life(balance.LifeGone)
		d.wait(300 * time.Millisecond)
		n.Die()
		d.wait(400 * time.Millisecond)
		d.restart(n)
	})
}
