package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/balance"
	"umberladder/settings"
	"umberladder/standin"
)

// Replay plays a day of the users' bench through real drivers: its classes, slices and troubles, with fewer
// machines and in ten seconds. The five rules are judged as on the bad day; figures are not the bench's.
func Replay(path string, seed uint64) (*Report, error) {
	file, err := readDay(path)
	if err != nil {
		return nil, err
	}
	before := runtime.NumGoroutine()
	p, err := newPlay(file, seed)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	stalls := StallMeter(ctx)
	p.ctx = ctx
	var clients sync.WaitGroup
	const sessions = 60
	for i := range sessions {
		s := newSession(p.fleet, p.book, i, 0.01)
		s.bad, s.hot = &p.bad, &p.hot
		clients.Go(func() { p.live(ctx, s, sessions) })
	}
	var skipped []string
	for i := range file.Troubles {
		if !p.trouble(&file.Troubles[i]) {
			skipped = append(skipped, file.Troubles[i].Kind)
		}
	}
	time.Sleep(time.Duration(replaySeconds * float64(time.Second)))
	end()
	clients.Wait()
	p.troubles.Wait()
	closing := p.fleet.Close()
	slack := 30*time.Millisecond + 4*time.Duration(stalls.Load())
	r := &Report{Name: fmt.Sprintf("%s day of %s, %d of %d nodes, %d of %d drivers", file.Kind, file.Site, len(p.scaled.servers),
		len(file.Servers), len(p.fleet.Drivers), len(file.Balancers)), Seed: seed, Slack: slack,
		Rules: Judge(p.fleet, p.book.Calls(), slack)}
	r.fill(p.day, before, closing)
	r.Missing = nil // what a day holds is up to whoever drew it
	if r.Counts[Served] == 0 {
		r.Missing = append(r.Missing, "no request served")
	}
	if len(p.faults) == 0 && len(skipped) < len(file.Troubles) {
		r.Missing = append(r.Missing, "no trouble of the day struck")
	}
	for _, s := range skipped {
		r.Faults = append(r.Faults, s+" (not played)")
	}
	return r, nil
}

// play is a replay under way.
type play struct {
	*day
	file   *dayFile
	scaled *shrink
	rate   float64      // requests a second of all clients
	surge  atomic.Int64 // what the rate is multiplied by now, in thousandths
	bad    atomic.Int64 // share of requests that fail at any node, in thousandths
	hot    atomic.Int64 // share of requests that the first driver gets beyond its part, in thousandths
	muted  atomic.Bool  // the list is out of reach
}

func newPlay(file *dayFile, seed uint64) (*play, error) {
	p := &play{file: file, scaled: file.scale(), rate: replayRate * file.Traffic.Load * 0.9}
	p.surge.Store(1000)
	s := p.scaled
	halls := file.Zones
	if len(halls) == 0 {
		halls = []string{"hall"}
	}
	extra := fmt.Sprintf("attempts limit %d\n", max(1, min(255, file.Allow.MaxAttempts)))
	f, err := NewFleet(Spec{Site: file.site(), Halls: halls, Node: file.node(s), Drivers: min(replayDrivers, len(file.Balancers)),
		Extra: extra, Seed: seed, Layout: p.layout()})
	if err != nil {
		return nil, err
	}
	for _, g := range f.Groups {
		for _, n := range g.Nodes() {
			var number int
			fmt.Sscanf(n.Name, "db%d", &number)
			s.nodes[number] = n
		}
	}
	p.day = newDay(context.Background(), f, rand.New(rand.NewPCG(seed, 7)))
	return p, nil
}

// layout names the nodes of each slice, the primary first, with their halls.
func (p *play) layout() (slices [][]Place) {
	for _, cell := range p.scaled.cells {
		var places []Place
		for i, srv := range p.file.Servers {
			if srv.Cell != cell || !srv.Up {
				continue
			}
			place := Place{Name: fmt.Sprintf("db%d", i), Hall: p.file.Zones[srv.Zone]}
			if cell < len(p.file.Fam.Primary) && p.file.Fam.Primary[cell] == i {
				places = append([]Place{place}, places...)
			} else {
				places = append(places, place)
			}
		}
		slices = append(slices, places)
	}
	return slices
}

// live is a session whose pauses follow the day's rate.
func (p *play) live(ctx context.Context, s *session, sessions int) {
	begin := time.Now()
	for ctx.Err() == nil {
		s.once(ctx)
		at := time.Since(begin).Seconds() / replaySeconds
		rate := p.rate * p.shape(at) * float64(p.surge.Load()) / 1000
		pause := time.Duration(s.rng.ExpFloat64() * float64(sessions) / max(rate, 1) * float64(time.Second))
		select {
		case <-time.After(min(pause, time.Second)):
		case <-ctx.Done():
		}
	}
}

// shape is the day's own swing of the load at a part of its length.
func (p *play) shape(at float64) float64 {
	v := 1.0
	for _, point := range p.file.Traffic.Shape {
		if point[0] <= at {
			v = point[1]
		}
	}
	return v
}

// struckNodes are the played nodes that a trouble strikes.
func (p *play) struckNodes(t *dayTrouble) (nodes []*standin.Node) {
	for _, i := range t.On {
		if n := p.scaled.nodes[i]; n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (p *play) allNodes() (nodes []*standin.Node) {
	for _, i := range p.scaled.servers {
		if n := p.scaled.nodes[i]; n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// trouble plays one trouble, false for a kind that it doesn't know.
func (p *play) trouble(t *dayTrouble) bool {
	lasts := max(300*time.Millisecond, p.scaled.span(t.Len))
	seconds := func(v float64) time.Duration { return p.scaled.span(v * 1e6) }
	each := func(on, off func(n *standin.Node)) func(context.Context) {
		nodes := p.struckNodes(t)
		return func(context.Context) {
			for _, n := range nodes {
				on(n)
			}
			p.wait(lasts)
			for _, n := range nodes {
				off(n)
			}
		}
	}
	during := func(on, off func()) func(context.Context) {
		return func(context.Context) { on(); p.wait(lasts); off() }
	}
	var play func(context.Context)
	switch t.Kind {
	case "crash", "hang":
		for _, n := range p.struckNodes(t) {
			p.at(p.scaled.span(t.At), t.Kind, func(context.Context) { p.outage(n, t.Kind == "hang", lasts) })
		}
		return true
	case "ageing":
		for _, n := range p.struckNodes(t) {
			p.at(p.scaled.span(t.At), t.Kind, func(context.Context) {
				const steps = 10
				for i := range steps {
					n.Slow(1 + (t.Size-1)*float64(i+1)/steps)
					p.wait(lasts / steps)
				}
				p.outage(n, false, max(300*time.Millisecond, seconds(t.Extra)))
			})
		}
		return true
	case "pauses":
		play = p.repeat(lasts, max(200*time.Millisecond, seconds(t.Extra)), func() {
			for _, n := range p.struckNodes(t) {
				n.Stall(time.Duration(t.Size * float64(time.Millisecond)))
			}
		})
	case "neighbour":
		slow := 1 / max(0.05, 1-t.Size)
		play = p.repeat(lasts, max(200*time.Millisecond, 2*seconds(t.Extra)), func() {
			for _, n := range p.struckNodes(t) {
				n.Slow(slow)
			}
			p.wait(max(100*time.Millisecond, seconds(t.Extra)))
			for _, n := range p.struckNodes(t) {
				n.Slow(1)
			}
		})
	case "replica_lag":
		play = each(func(n *standin.Node) { n.Lag(20 * t.Size) }, func(n *standin.Node) { n.Lag(1) })
	case "idle_reap":
		play = each(func(n *standin.Node) { n.Reap(max(100*time.Millisecond, seconds(t.Size))) }, func(n *standin.Node) { n.Reap(0) })
	case "handshake_slow":
		play = each(func(n *standin.Node) { n.Greet(100 * time.Millisecond) }, func(n *standin.Node) { n.Greet(0) })
	case "conn_squeeze":
		play = each(func(n *standin.Node) { n.Cap(4) }, func(n *standin.Node) { n.Cap(0) })
	case "shared_slow":
		play = during(func() { p.slowAll(t.Size) }, func() { p.slowAll(1) })
	case "slow_link":
		play = during(func() { p.link(t) }, func() { p.unlink() })
	case "burst":
		play = during(func() { p.surge.Store(int64(1000 * t.Size)) }, func() { p.surge.Store(1000) })
	case "bad_requests":
		play = during(func() { p.bad.Store(int64(1000 * t.Size)) }, func() { p.bad.Store(0) })
	case "hot_caller":
		play = during(func() { p.hot.Store(int64(1000 * t.Size)) }, func() { p.hot.Store(0) })
	case "discovery_down":
		play = during(func() { p.muted.Store(true) }, func() { p.muted.Store(false) })
	case "wrong_list":
		play = func(context.Context) { p.shrinkList(t, lasts) }
	case "balancer_crash":
		play = func(context.Context) { p.killDrivers(t.On, lasts) }
	case "balancer_roll", "preempt":
		p.steps(t)
		return true
	default:
		return false
	}
	p.at(p.scaled.span(t.At), t.Kind, play)
	return true
}

// repeat does something again and again while a trouble lasts.
func (p *play) repeat(lasts, every time.Duration, do func()) func(context.Context) {
	return func(ctx context.Context) {
		for end := time.Now().Add(lasts); time.Now().Before(end) && ctx.Err() == nil; {
			do()
			p.wait(every)
		}
	}
}

// outage is a node that dies or hangs for a while. A primary is replaced, and one that hung is ended before it
// can go on, as its slice has another by then.
func (p *play) outage(n *standin.Node, hang bool, lasts time.Duration) {
	g := n.Group()
	p.locks[g].Lock()
	defer p.locks[g].Unlock()
	if hang {
		n.Hang(true)
	} else {
		n.Die()
	}
	notice := min(lasts, max(300*time.Millisecond, p.scaled.span(p.file.Fam.Detect+p.file.Fam.Elect)))
	replaced := false
	if p.wait(notice); g.Primary() == n {
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			p.struck("promotion")
			replaced = true
		}
	}
	if p.wait(lasts - notice); hang && !replaced {
		n.Hang(false)
		return
	}
	n.Die()
	p.restart(n)
}

func (p *play) slowAll(times float64) {
	for _, n := range p.allNodes() {
		n.Slow(times)
	}
}

// link makes the way between one hall and the others slow and lossy.
func (p *play) link(t *dayTrouble) {
	least := p.fleet.Spec.Site.Classes[0].Target
	for _, c := range p.fleet.Spec.Site.Classes {
		least = min(least, c.Target)
	}
	delay := time.Duration(t.Size * float64(least))
	cut := p.file.Zones[min(max(t.Which, 0), len(p.file.Zones)-1)]
	for _, n := range p.allNodes() {
		hall := n.Hall
		n.Through(func(driver string) (time.Duration, float64) {
			if d := p.fleet.named(driver); d != nil && d.Hall != hall && (d.Hall == cut || hall == cut) {
				return delay, t.Extra
			}
			return 0, 0
		})
	}
}

func (p *play) unlink() {
	for _, n := range p.allNodes() {
		n.Through(nil)
	}
}

// shrinkList lists nodes as gone that are there, and later as they are.
func (p *play) shrinkList(t *dayTrouble, lasts time.Duration) {
	wrong := map[string]bool{}
	for _, n := range p.struckNodes(t) {
		wrong[n.Name] = true
	}
	set := func(life balance.Life) {
		p.fleet.List(func(n *settings.Node) {
			if wrong[n.Name] {
				n.Life = life
			}
		})
	}
	set(balance.LifeGone)
	p.wait(lasts)
	set(balance.LifeReady)
}

func (p *play) killDrivers(on []int, lasts time.Duration) {
	var some []*Driver
	for _, i := range on {
		some = append(some, p.fleet.Drivers[i%len(p.fleet.Drivers)])
	}
	for _, d := range some {
		d.Kill()
	}
	p.wait(lasts)
	for _, d := range some {
		if d.running() == nil {
			p.fleet.Start(d)
		}
	}
}

// steps plays a trouble that comes in steps: drivers restarted in turn, or nodes replaced after a notice.
func (p *play) steps(t *dayTrouble) {
	for _, step := range t.Steps {
		p.at(p.scaled.span(step.At), t.Kind, func(context.Context) {
			if t.Kind == "balancer_roll" {
				p.killDrivers(step.Stop, max(100*time.Millisecond, p.scaled.span(t.Extra*1e6)))
				return
			}
			for _, i := range step.Stop {
				if n := p.scaled.nodes[i]; n != nil {
					p.replaceNode(n, fmt.Sprintf("%s-new", n.Name), max(p.fleet.Spec.Site.Grace+200*time.Millisecond, p.scaled.span(t.Size*1e6)))
				}
			}
		})
	}
}

// replaceNode drains a node, ends it, and brings another in, cold and from a copy that lacks the newest.
func (p *play) replaceNode(n *standin.Node, name string, notice time.Duration) {
	g := n.Group()
	p.locks[g].Lock()
	defer p.locks[g].Unlock()
	set := func(life balance.Life) {
		p.fleet.List(func(l *settings.Node) {
			if l.Name == n.Name {
				l.Life = life
			}
		})
	}
	set(balance.LifeDraining)
	p.wait(notice / 2)
	if g.Primary() == n {
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			p.struck("promotion")
		}
	}
	p.wait(notice / 2)
	n.Die()
	set(balance.LifeGone)
	fresh, err := g.AddColdNode(name, n.Hall, p.fleet.Spec.Node, 20)
	if err != nil {
		return
	}
	p.fleet.Add(settings.Node{Name: fresh.Name, Address: fresh.Addr(), Slice: g.Name, Hall: fresh.Hall, Started: time.Now()})
}
