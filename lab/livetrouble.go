package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"umberladder/balance"
	"umberladder/lab/world"
	"umberladder/settings"
	"umberladder/standin"
)

// play plays a trouble. It returns when the trouble is over or the day ends.
func (l *live) play(t world.Trouble, rng *rand.Rand) {
	l.mu.Lock()
	l.troublesStruck++
	l.mu.Unlock()
	switch t.Kind {
	case world.TroubleCrash:
		l.crash(l.nodeAt(t.Place, rng), t.For)
	case world.TroubleSlow, world.TroubleStall, world.TroubleLag, world.TroubleConnLimit, world.TroubleSlowConnect, world.TroubleIdleDrop:
		nodes := l.nodesAt(t.Place, rng)
		for _, n := range nodes {
			l.setTrouble(n, t, true)
		}
		l.sleep(t.For)
		for _, n := range nodes {
			l.setTrouble(n, t, false)
		}
	case world.TroubleErrors, world.TroubleHotDriver:
		share := &l.badShare
		if t.Kind == world.TroubleHotDriver {
			share = &l.hotShare
		}
		share.Add(int64(1000 * t.Size))
		l.sleep(t.For)
		share.Add(-int64(1000 * t.Size))
	case world.TroubleListsHeld:
		l.mu.Lock()
		l.listDelayedUntil = time.Now().Add(t.For)
		l.mu.Unlock()
	case world.TroubleDelay, world.TroublePartition, world.TroubleLoss:
		l.zoneTrouble(t, rng)
	case world.TroubleRestart:
		l.restartDriver(t, rng)
	case world.TroubleDrain:
		l.drainNode(l.nodeAt(t.Place, rng), t.For)
	case world.TroubleUnlist:
		n := l.nodeAt(t.Place, rng)
		l.announce(n, balance.LifeRemoved)
		l.sleep(t.For)
		l.announce(n, balance.LifeReady)
	case world.TroubleLoad:
		l.multiplyLoad(t.Size)
		l.sleep(t.For)
		l.multiplyLoad(1 / t.Size)
	}
}

// setTrouble starts or ends a trouble at one node.
func (l *live) setTrouble(n *standin.Node, t world.Trouble, start bool) {
	size := t.Size
	switch t.Kind {
	case world.TroubleStall:
		if start {
			n.Stall(t.For)
		}
	case world.TroubleSlow, world.TroubleLag:
		if !start {
			size = 1
		}
		if t.Kind == world.TroubleSlow {
			n.Slow(size)
		} else {
			n.SlowReplay(size)
		}
	case world.TroubleConnLimit, world.TroubleSlowConnect, world.TroubleIdleDrop:
		if !start {
			size = 0
		}
		switch d := time.Duration(size * float64(time.Millisecond)); t.Kind {
		case world.TroubleConnLimit:
			n.LimitConns(int(size))
		case world.TroubleSlowConnect:
			n.DelayConnect(d)
		default:
			n.LoseIdle(d)
		}
	}
}

// nodesAt returns all nodes of a place, or one chosen at random.
func (l *live) nodesAt(p world.Place, rng *rand.Rand) []*standin.Node {
	switch {
	case !p.All:
		return []*standin.Node{l.nodeAt(p, rng)}
	case p.Slice >= 0 && p.Slice < len(l.nodes):
		return l.nodes[p.Slice]
	}
	return slices.Concat(l.nodes...)
}

func (l *live) multiplyLoad(by float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load *= by
}

// nodeAt returns the node that a trouble affects. What the place leaves open is chosen at random.
func (l *live) nodeAt(p world.Place, rng *rand.Rand) *standin.Node {
	s, m := p.Slice, p.Member
	if s < 0 || s >= len(l.nodes) {
		s = rng.IntN(len(l.nodes))
	}
	if p.Primary {
		return l.fleet.Groups[s].Primary()
	}
	if m < 0 || m >= len(l.nodes[s]) {
		m = rng.IntN(len(l.nodes[s]))
	}
	return l.nodes[s][m]
}

// crash kills a node and restarts it. A primary is replaced after the time of an election.
func (l *live) crash(n *standin.Node, outage time.Duration) {
	g := n.Group()
	l.promotionLocks[g].Lock()
	defer l.promotionLocks[g].Unlock()
	if !n.Running() {
		return
	}
	wasPrimary := g.Primary() == n
	n.Crash()
	began := time.Now()
	if wasPrimary {
		l.sleep(l.cfg.ElectionTime)
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
		}
	}
	l.sleep(outage - time.Since(began))
	l.restartCold(n)
}

// restartCold starts a node again, cold.
func (l *live) restartCold(n *standin.Node) {
	if l.ctx.Err() == nil && n.Restart() == nil {
		l.rogue.overloadCold(n)
	}
}

// announce changes a node's state in the list after the world's notification delay, or later while the list is
// delayed.
func (l *live) announce(n *standin.Node, life balance.Life) {
	l.mu.Lock()
	delayed := time.Until(l.listDelayedUntil)
	l.mu.Unlock()
	l.sleep(max(l.cfg.ListDelay, delayed))
	l.fleet.UpdateNodes(func(e *settings.Node) {
		if e.Name == n.Name {
			e.Life = life
		}
	})
}

// drainNode lists a node as draining and then as removed, kills it, restarts it cold and lists it as ready.
func (l *live) drainNode(n *standin.Node, duration time.Duration) {
	go func() { l.announce(n, balance.LifeDraining) }()
	l.rogue.readDrained(n, l.cfg.ListDelay+l.fleet.Spec.Site.Grace, duration)
	l.sleep(duration)
	go func() { l.announce(n, balance.LifeRemoved) }()
	n.Crash()
	l.sleep(duration)
	l.restartCold(n)
	l.announce(n, balance.LifeReady)
}

func (l *live) restartDriver(t world.Trouble, rng *rand.Rand) {
	d := t.Place.Driver
	if d < 0 {
		d = rng.IntN(len(l.fleet.Drivers))
	}
	l.fleet.Drivers[d].Kill()
	l.sleep(t.For)
	if l.ctx.Err() == nil {
		l.fleet.Start(l.fleet.Drivers[d])
	}
}

// zoneTrouble changes the network between a zone and the others.
func (l *live) zoneTrouble(t world.Trouble, rng *rand.Rand) {
	zone := t.Place.Zone
	if zone == "" {
		zone = l.cfg.Engine.Zones[rng.IntN(len(l.cfg.Engine.Zones))]
	}
	extra, lost := time.Duration(t.Size*float64(max(l.cfg.CrossZoneDelay, l.cfg.LinkDelay))), t.Size
	change := func(sign float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch p := l.zonePaths[zone]; t.Kind {
		case world.TroubleDelay:
			p.extra += time.Duration(sign * float64(extra))
		case world.TroubleLoss:
			p.lost += sign * lost
		case world.TroublePartition:
			if sign > 0 {
				p.cutUntil = time.Now().Add(t.For)
			}
		}
	}
	change(1)
	l.sleep(t.For)
	change(-1)
}

// rogue sends nodes requests that no driver may send, under the name of a driver. It plants faults that the judges
// must find in what reached the nodes.
type rogue struct {
	live *live
}

// connect opens a connection to a node under the name of a driver.
func (r *rogue) connect(ctx context.Context, d *Driver, n *standin.Node) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/x?sslmode=disable&default_query_exec_mode=exec", d.Name, n.Addr()))
}

// rogueTimeout bounds each operation of a rogue.
const rogueTimeout = 2 * time.Second

// sendReads sends reads to a node, with a pause between them.
func (r *rogue) sendReads(n *standin.Node, count int, pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), rogueTimeout)
	defer cancel()
	var all sync.WaitGroup
	for i := range count {
		d := r.live.fleet.Drivers[i%len(r.live.fleet.Drivers)]
		all.Go(func() {
			if c, err := r.connect(ctx, d, n); err == nil {
				defer c.Close(context.WithoutCancel(ctx))
				c.Exec(ctx, "select value, lsn from kv where key = $1 and $2 <> ''", "rogue", fmt.Sprintf("rogue-%s-%d", n.Name, i))
			}
		})
		time.Sleep(pause)
	}
	all.Wait()
}

// readDrained sends reads to a draining node after its grace.
func (r *rogue) readDrained(n *standin.Node, after, duration time.Duration) {
	if r.live.cfg.Plant != world.PlantDrained || duration <= after {
		return
	}
	r.live.troubles.Go(func() {
		r.live.sleep(after + (duration-after)/2)
		r.sendReads(n, 3, 0)
	})
}

// overloadCold sends a node that has just started more than it can serve.
func (r *rogue) overloadCold(n *standin.Node) {
	if r.live.cfg.Plant != world.PlantCold {
		return
	}
	node, site := &r.live.fleet.Spec.Node, &r.live.fleet.Spec.Site
	count := 2 * site.ColdOverloadMultiple * node.Capacity() * site.ColdOverloadWindow.Seconds() * node.ColdFrom
	r.live.troubles.Go(func() { r.sendReads(n, int(count), time.Millisecond) })
}

// repeatWrite sends a write that was served a second time.
func (r *rogue) repeatWrite(c *Call) {
	if r.live.cfg.Plant != world.PlantDuplicateWrite || c.Class.Effect != balance.Unsafe || c.Verdict != Served || c.Tag[len(c.Tag)-1] != '7' {
		return
	}
	for _, g := range r.live.fleet.Groups {
		if g.Name != c.Slice {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), rogueTimeout)
		defer cancel()
		if conn, err := r.connect(ctx, r.live.fleet.driverNamed(c.Driver), g.Primary()); err == nil {
			defer conn.Close(context.WithoutCancel(ctx))
			conn.Exec(ctx, "insert into kv (key, value) values ($1, $2)", c.Key, c.Tag)
		}
	}
}
