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

// Replay plays a day of the users' benchmark through real drivers: its classes, slices and troubles, with fewer
// machines and in ten seconds. It judges the five rules as BadDay does. Its figures do not compare with the
// benchmark's.
func Replay(path string, seed uint64) (*Report, error) {
	file, err := readDay(path)
	if err != nil {
		return nil, err
	}
	before := runtime.NumGoroutine()
	p, err := newReplayRun(file, seed)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	maxStall := MeasureStalls(ctx)
	p.ctx = ctx
	var clients sync.WaitGroup
	const sessions = 60
	for i := range sessions {
		s := newSession(p.fleet, p.callLog, i, 0.01)
		s.badShare, s.hotShare = &p.badShare, &p.hotShare
		clients.Go(func() { p.runSession(ctx, s, sessions) })
	}
	var skipped []string
	for i := range file.Troubles {
		if !p.playTrouble(&file.Troubles[i]) {
			skipped = append(skipped, file.Troubles[i].Kind)
		}
	}
	time.Sleep(time.Duration(replaySeconds * float64(time.Second)))
	cancel()
	clients.Wait()
	p.troubles.Wait()
	closing := p.fleet.Close()
	slack := 30*time.Millisecond + 4*time.Duration(maxStall.Load())
	r := &Report{Name: fmt.Sprintf("%s day of %s, %d of %d nodes, %d of %d drivers", file.Kind, file.Site, len(p.scaled.servers),
		len(file.Servers), len(p.fleet.Drivers), len(file.Balancers)), Seed: seed, Slack: slack,
		Rules: Judge(p.fleet, p.callLog.Calls(), slack)}
	r.addChecks(p.day, before, closing)
	r.Missing = nil // the day file decides which occasions there are
	if r.Counts[Served] == 0 {
		r.Missing = append(r.Missing, "no request served")
	}
	if len(p.faults) == 0 && len(skipped) < len(file.Troubles) {
		r.Missing = append(r.Missing, "no trouble of the day was played")
	}
	for _, s := range skipped {
		r.Faults = append(r.Faults, s+" (not played)")
	}
	return r, nil
}

// replayRun is a running replay.
type replayRun struct {
	*day
	file          *dayFile
	scaled        *scaledDay
	rate          float64      // requests per second of all clients
	loadFactor    atomic.Int64 // multiplier of the rate, in thousandths
	badShare      atomic.Int64 // share of requests that fail on every node, in thousandths
	hotShare      atomic.Int64 // share of requests that go to the first driver in addition to its part, in thousandths
	discoveryDown atomic.Bool  // set and never read
}

func newReplayRun(file *dayFile, seed uint64) (*replayRun, error) {
	p := &replayRun{file: file, scaled: file.scale(), rate: replayRate * file.Traffic.Load * 0.9}
	p.loadFactor.Store(1000)
	s := p.scaled
	zones := file.Zones
	if len(zones) == 0 {
		zones = []string{"hall"}
	}
	extra := fmt.Sprintf("attempts limit %d\n", max(1, min(255, file.Allow.MaxAttempts)))
	f, err := NewFleet(Spec{Site: file.site(), Zones: zones, Node: file.node(s), Drivers: min(replayDrivers, len(file.Balancers)),
		ExtraSettings: extra, Seed: seed, Layout: p.layout()})
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

// layout returns the names and zones of each slice's nodes, the primary first.
func (p *replayRun) layout() (slices [][]Place) {
	for _, cell := range p.scaled.cells {
		var places []Place
		for i, srv := range p.file.Servers {
			if srv.Cell != cell || !srv.Up {
				continue
			}
			place := Place{Name: fmt.Sprintf("db%d", i), Zone: p.file.Zones[srv.Zone]}
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

// runSession makes the calls of one session, with pauses that follow the day's rate.
func (p *replayRun) runSession(ctx context.Context, s *session, sessions int) {
	begin := time.Now()
	for ctx.Err() == nil {
		s.callRandom(ctx)
		at := time.Since(begin).Seconds() / replaySeconds
		rate := p.rate * p.loadShape(at) * float64(p.loadFactor.Load()) / 1000
		pause := time.Duration(s.rng.ExpFloat64() * float64(sessions) / max(rate, 1) * float64(time.Second))
		select {
		case <-time.After(min(pause, time.Second)):
		case <-ctx.Done():
		}
	}
}

// loadShape returns the day's load factor at a fraction, from 0 to 1, of its length.
func (p *replayRun) loadShape(at float64) float64 {
	v := 1.0
	for _, point := range p.file.Traffic.Shape {
		if point[0] <= at {
			v = point[1]
		}
	}
	return v
}

// affectedNodes returns the replayed nodes that a trouble affects.
func (p *replayRun) affectedNodes(t *dayTrouble) (nodes []*standin.Node) {
	for _, i := range t.On {
		if n := p.scaled.nodes[i]; n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (p *replayRun) allNodes() (nodes []*standin.Node) {
	for _, i := range p.scaled.servers {
		if n := p.scaled.nodes[i]; n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// playTrouble schedules one trouble. It returns false for an unknown kind.
func (p *replayRun) playTrouble(t *dayTrouble) bool {
	duration := max(300*time.Millisecond, p.scaled.span(t.Len))
	seconds := func(v float64) time.Duration { return p.scaled.span(v * 1e6) }
	each := func(on, off func(n *standin.Node)) func(context.Context) {
		nodes := p.affectedNodes(t)
		return func(context.Context) {
			for _, n := range nodes {
				on(n)
			}
			p.sleep(duration)
			for _, n := range nodes {
				off(n)
			}
		}
	}
	during := func(on, off func()) func(context.Context) {
		return func(context.Context) { on(); p.sleep(duration); off() }
	}
	var action func(context.Context)
	switch t.Kind {
	case "crash", "hang":
		for _, n := range p.affectedNodes(t) {
			p.schedule(p.scaled.span(t.At), t.Kind, func(context.Context) { p.outage(n, t.Kind == "hang", duration) })
		}
		return true
	case "ageing":
		for _, n := range p.affectedNodes(t) {
			p.schedule(p.scaled.span(t.At), t.Kind, func(context.Context) {
				const steps = 10
				for i := range steps {
					n.Slow(1 + (t.Size-1)*float64(i+1)/steps)
					p.sleep(duration / steps)
				}
				p.outage(n, false, max(300*time.Millisecond, seconds(t.Extra)))
			})
		}
		return true
	case "pauses":
		action = p.repeat(duration, max(200*time.Millisecond, seconds(t.Extra)), func() {
			for _, n := range p.affectedNodes(t) {
				n.Stall(time.Duration(t.Size * float64(time.Millisecond)))
			}
		})
	case "neighbour":
		slow := 1 / max(0.05, 1-t.Size)
		action = p.repeat(duration, max(200*time.Millisecond, 2*seconds(t.Extra)), func() {
			for _, n := range p.affectedNodes(t) {
				n.Slow(slow)
			}
			p.sleep(max(100*time.Millisecond, seconds(t.Extra)))
			for _, n := range p.affectedNodes(t) {
				n.Slow(1)
			}
		})
	case "replica_lag":
		action = each(func(n *standin.Node) { n.SlowReplay(20 * t.Size) }, func(n *standin.Node) { n.SlowReplay(1) })
	case "idle_reap":
		action = each(func(n *standin.Node) { n.LoseIdle(max(100*time.Millisecond, seconds(t.Size))) }, func(n *standin.Node) { n.LoseIdle(0) })
	case "handshake_slow":
		action = each(func(n *standin.Node) { n.DelayConnect(100 * time.Millisecond) }, func(n *standin.Node) { n.DelayConnect(0) })
	case "conn_squeeze":
		action = each(func(n *standin.Node) { n.LimitConns(4) }, func(n *standin.Node) { n.LimitConns(0) })
	case "shared_slow":
		action = during(func() { p.slowAll(t.Size) }, func() { p.slowAll(1) })
	case "slow_link":
		action = during(func() { p.slowLink(t) }, func() { p.restoreLink() })
	case "burst":
		action = during(func() { p.loadFactor.Store(int64(1000 * t.Size)) }, func() { p.loadFactor.Store(1000) })
	case "bad_requests":
		action = during(func() { p.badShare.Store(int64(1000 * t.Size)) }, func() { p.badShare.Store(0) })
	case "hot_caller":
		action = during(func() { p.hotShare.Store(int64(1000 * t.Size)) }, func() { p.hotShare.Store(0) })
	case "discovery_down":
		action = during(func() { p.discoveryDown.Store(true) }, func() { p.discoveryDown.Store(false) })
	case "wrong_list":
		action = func(context.Context) { p.listWrongly(t, duration) }
	case "balancer_crash":
		action = func(context.Context) { p.killDrivers(t.On, duration) }
	case "balancer_roll", "preempt":
		p.steps(t)
		return true
	default:
		return false
	}
	p.schedule(p.scaled.span(t.At), t.Kind, action)
	return true
}

// repeat returns a trouble that calls do at intervals for the given time.
func (p *replayRun) repeat(duration, interval time.Duration, do func()) func(context.Context) {
	return func(ctx context.Context) {
		for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
			do()
			p.sleep(interval)
		}
	}
}

// outage kills or hangs a node for a while. A primary is replaced. If it hung, it is killed before it can continue,
// because its slice has another primary by then.
func (p *replayRun) outage(n *standin.Node, hang bool, duration time.Duration) {
	g := n.Group()
	p.promotionLocks[g].Lock()
	defer p.promotionLocks[g].Unlock()
	if hang {
		n.Hang(true)
	} else {
		n.Crash()
	}
	detection := min(duration, max(300*time.Millisecond, p.scaled.span(p.file.Fam.Detect+p.file.Fam.Elect)))
	replaced := false
	if p.sleep(detection); g.Primary() == n {
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			p.countFault("promotion")
			replaced = true
		}
	}
	if p.sleep(duration - detection); hang && !replaced {
		n.Hang(false)
		return
	}
	n.Crash()
	p.restart(n)
}

func (p *replayRun) slowAll(factor float64) {
	for _, n := range p.allNodes() {
		n.Slow(factor)
	}
}

// slowLink makes the network between one zone and the others slow and lossy.
func (p *replayRun) slowLink(t *dayTrouble) {
	minTarget := p.fleet.Spec.Site.Classes[0].Target
	for _, c := range p.fleet.Spec.Site.Classes {
		minTarget = min(minTarget, c.Target)
	}
	delay := time.Duration(t.Size * float64(minTarget))
	slowZone := p.file.Zones[min(max(t.Which, 0), len(p.file.Zones)-1)]
	for _, n := range p.allNodes() {
		nodeZone := n.Zone
		n.SetLink(func(driver string) (time.Duration, float64) {
			if d := p.fleet.driverNamed(driver); d != nil && d.Zone != nodeZone && (d.Zone == slowZone || nodeZone == slowZone) {
				return delay, t.Extra
			}
			return 0, 0
		})
	}
}

func (p *replayRun) restoreLink() {
	for _, n := range p.allNodes() {
		n.SetLink(nil)
	}
}

// listWrongly lists running nodes as removed and later restores the list.
func (p *replayRun) listWrongly(t *dayTrouble, duration time.Duration) {
	wrong := map[string]bool{}
	for _, n := range p.affectedNodes(t) {
		wrong[n.Name] = true
	}
	setLife := func(life balance.Life) {
		p.fleet.UpdateNodes(func(n *settings.Node) {
			if wrong[n.Name] {
				n.Life = life
			}
		})
	}
	setLife(balance.LifeRemoved)
	p.sleep(duration)
	setLife(balance.LifeReady)
}

func (p *replayRun) killDrivers(on []int, duration time.Duration) {
	var killed []*Driver
	for _, i := range on {
		killed = append(killed, p.fleet.Drivers[i%len(p.fleet.Drivers)])
	}
	for _, d := range killed {
		d.Kill()
	}
	p.sleep(duration)
	for _, d := range killed {
		if d.runningServer() == nil {
			p.fleet.Start(d)
		}
	}
}

// steps schedules a trouble that consists of steps: drivers restarted in turn, or nodes replaced after a notice.
func (p *replayRun) steps(t *dayTrouble) {
	for _, step := range t.Steps {
		p.schedule(p.scaled.span(step.At), t.Kind, func(context.Context) {
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

// replaceNode drains and kills a node and adds a cold one whose log lacks the newest records.
func (p *replayRun) replaceNode(n *standin.Node, name string, notice time.Duration) {
	g := n.Group()
	p.promotionLocks[g].Lock()
	defer p.promotionLocks[g].Unlock()
	setLife := func(life balance.Life) {
		p.fleet.UpdateNodes(func(l *settings.Node) {
			if l.Name == n.Name {
				l.Life = life
			}
		})
	}
	setLife(balance.LifeDraining)
	p.sleep(notice / 2)
	if g.Primary() == n {
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
			p.countFault("promotion")
		}
	}
	p.sleep(notice / 2)
	n.Crash()
	setLife(balance.LifeRemoved)
	fresh, err := g.AddColdNode(name, n.Zone, p.fleet.Spec.Node, 20)
	if err != nil {
		return
	}
	p.fleet.AddNode(settings.Node{Name: fresh.Name, Address: fresh.Addr(), Slice: g.Name, Zone: fresh.Zone, Started: time.Now()})
}
