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

// strike lets a trouble come and go. It returns when it is over, or the day is.
func (l *live) strike(t world.Trouble, rng *rand.Rand) {
	l.mu.Lock()
	l.struck++
	l.mu.Unlock()
	switch t.Kind {
	case world.TroubleCrash:
		l.crash(l.nodeAt(t.Place, rng), t.For)
	case world.TroubleSlow, world.TroubleStall, world.TroubleLag, world.TroubleFull, world.TroubleGreet, world.TroubleReap:
		nodes := l.nodesAt(t.Place, rng)
		for _, n := range nodes {
			l.troubled(n, t, true)
		}
		l.wait(t.For)
		for _, n := range nodes {
			l.troubled(n, t, false)
		}
	case world.TroubleBad, world.TroubleHot:
		share := &l.bad
		if t.Kind == world.TroubleHot {
			share = &l.hot
		}
		share.Add(int64(1000 * t.Size))
		l.wait(t.For)
		share.Add(-int64(1000 * t.Size))
	case world.TroubleDeaf:
		l.mu.Lock()
		l.deaf = time.Now().Add(t.For)
		l.mu.Unlock()
	case world.TroublePath, world.TroubleCut, world.TroubleLost:
		l.path(t, rng)
	case world.TroubleRestart:
		l.restartDriver(t, rng)
	case world.TroubleDrain:
		l.drain(l.nodeAt(t.Place, rng), t.For)
	case world.TroubleUnlist:
		n := l.nodeAt(t.Place, rng)
		l.list(n, balance.LifeGone)
		l.wait(t.For)
		l.list(n, balance.LifeReady)
	case world.TroubleLoad:
		l.times(t.Size)
		l.wait(t.For)
		l.times(1 / t.Size)
	}
}

// troubled makes a node work worse, or as usual again.
func (l *live) troubled(n *standin.Node, t world.Trouble, on bool) {
	size := t.Size
	switch t.Kind {
	case world.TroubleStall:
		if on {
			n.Stall(t.For)
		}
	case world.TroubleSlow, world.TroubleLag:
		if !on {
			size = 1
		}
		if t.Kind == world.TroubleSlow {
			n.Slow(size)
		} else {
			n.Lag(size)
		}
	case world.TroubleFull, world.TroubleGreet, world.TroubleReap:
		if !on {
			size = 0
		}
		switch d := time.Duration(size * float64(time.Millisecond)); t.Kind {
		case world.TroubleFull:
			n.Cap(int(size))
		case world.TroubleGreet:
			n.Greet(d)
		default:
			n.Reap(d)
		}
	}
}

// nodesAt are all nodes of a place, or the one that is drawn.
func (l *live) nodesAt(p world.Place, rng *rand.Rand) []*standin.Node {
	switch {
	case !p.All:
		return []*standin.Node{l.nodeAt(p, rng)}
	case p.Slice >= 0 && p.Slice < len(l.nodes):
		return l.nodes[p.Slice]
	}
	return slices.Concat(l.nodes...)
}

func (l *live) times(by float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load *= by
}

// nodeAt is the node that a trouble strikes.
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

// crash lets a node die and come back. A primary is replaced after the time of an election.
func (l *live) crash(n *standin.Node, down time.Duration) {
	g := n.Group()
	l.locks[g].Lock()
	defer l.locks[g].Unlock()
	if !n.Running() {
		return
	}
	was := g.Primary() == n
	n.Die()
	began := time.Now()
	if was {
		l.wait(l.cfg.Elect)
		if next := g.MostAdvanced(); next != nil {
			g.Promote(next)
		}
	}
	l.wait(down - time.Since(began))
	l.rise(n)
}

// rise starts a node again, cold.
func (l *live) rise(n *standin.Node) {
	if l.ctx.Err() == nil && n.Restart() == nil {
		l.rogue.cold(n)
	}
}

// list has every driver hear of a change of a node's life, as late as lists are.
func (l *live) list(n *standin.Node, life balance.Life) {
	l.mu.Lock()
	deaf := time.Until(l.deaf)
	l.mu.Unlock()
	l.wait(max(l.cfg.Notice, deaf))
	l.fleet.List(func(e *settings.Node) {
		if e.Name == n.Name {
			e.Life = life
		}
	})
}

// drain lists a node as draining and then as gone, ends it, and has it come back as new.
func (l *live) drain(n *standin.Node, lasts time.Duration) {
	go func() { l.list(n, balance.LifeDraining) }()
	l.rogue.drained(n, l.cfg.Notice+l.fleet.Spec.Site.Grace, lasts)
	l.wait(lasts)
	go func() { l.list(n, balance.LifeGone) }()
	n.Die()
	l.wait(lasts)
	l.rise(n)
	l.list(n, balance.LifeReady)
}

func (l *live) restartDriver(t world.Trouble, rng *rand.Rand) {
	d := t.Place.Driver
	if d < 0 {
		d = rng.IntN(len(l.fleet.Drivers))
	}
	l.fleet.Drivers[d].Kill()
	l.wait(t.For)
	if l.ctx.Err() == nil {
		l.fleet.Start(l.fleet.Drivers[d])
	}
}

// path changes what goes on between a hall and the others.
func (l *live) path(t world.Trouble, rng *rand.Rand) {
	hall := t.Place.Hall
	if hall == "" {
		hall = l.cfg.Engine.Halls[rng.IntN(len(l.cfg.Engine.Halls))]
	}
	extra, lost := time.Duration(t.Size*float64(max(l.cfg.Cross, l.cfg.Way))), t.Size
	change := func(times float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch p := l.paths[hall]; t.Kind {
		case world.TroublePath:
			p.extra += time.Duration(times * float64(extra))
		case world.TroubleLost:
			p.lost += times * lost
		case world.TroubleCut:
			if times > 0 {
				p.until = time.Now().Add(t.For)
			}
		}
	}
	change(1)
	l.wait(t.For)
	change(-1)
}

// rogue sends to nodes, under the name of a driver, what no driver may: a fault put in on purpose, which the judges must
// find in what reached the nodes.
type rogue struct {
	live *live
}

// as connects to a node in the name of a driver.
func (r *rogue) as(ctx context.Context, d *Driver, n *standin.Node) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/x?sslmode=disable&default_query_exec_mode=exec", d.Name, n.Addr()))
}

// spare is how long a rogue's work may go on.
const spare = 2 * time.Second

// reads sends reads to a node, at once or with pauses.
func (r *rogue) reads(n *standin.Node, many int, pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), spare)
	defer cancel()
	var all sync.WaitGroup
	for i := range many {
		d := r.live.fleet.Drivers[i%len(r.live.fleet.Drivers)]
		all.Go(func() {
			if c, err := r.as(ctx, d, n); err == nil {
				defer c.Close(context.WithoutCancel(ctx))
				c.Exec(ctx, "select value, lsn from kv where key = $1 and $2 <> ''", "rogue", fmt.Sprintf("rogue-%s-%d", n.Name, i))
			}
		})
		time.Sleep(pause)
	}
	all.Wait()
}

// drained sends to a node that drains, from after its grace on.
func (r *rogue) drained(n *standin.Node, after, lasts time.Duration) {
	if r.live.cfg.Plant != world.PlantDrained || lasts <= after {
		return
	}
	r.live.troubles.Go(func() {
		r.live.wait(after + (lasts-after)/2)
		r.reads(n, 3, 0)
	})
}

// cold sends a node that has just started more than it can do.
func (r *rogue) cold(n *standin.Node) {
	if r.live.cfg.Plant != world.PlantCold {
		return
	}
	node, site := &r.live.fleet.Spec.Node, &r.live.fleet.Spec.Site
	many := 2 * site.Tip * node.Capacity() * site.Fall.Seconds() * node.ColdFrom
	r.live.troubles.Go(func() { r.reads(n, int(many), time.Millisecond) })
}

// twice sends a write that was served a second time.
func (r *rogue) twice(c *Call) {
	if r.live.cfg.Plant != world.PlantTwice || c.Class.Effect != balance.Unsafe || c.Verdict != Served || c.Tag[len(c.Tag)-1] != '7' {
		return
	}
	for _, g := range r.live.fleet.Groups {
		if g.Name != c.Slice {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), spare)
		defer cancel()
		if conn, err := r.as(ctx, r.live.fleet.named(c.Driver), g.Primary()); err == nil {
			defer conn.Close(context.WithoutCancel(ctx))
			conn.Exec(ctx, "insert into kv (key, value) values ($1, $2)", c.Key, c.Tag)
		}
	}
}
