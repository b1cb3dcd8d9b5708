package world

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"umberladder/balance"
	"umberladder/driver"
	"umberladder/lab/record"
)

// Trouble is something that goes wrong, or is done, at a time of a run.
type Trouble struct {
	Kind  TroubleKind
	At    time.Duration // since the beginning
	For   time.Duration
	Size  float64 // of what: see the kinds
	Place Place
}

// Place is where a trouble strikes. What is left open is drawn, by a stream of the trouble's own.
type Place struct {
	Slice   int // -1: drawn
	Member  int // -1: drawn; the slice's primary at that time if Primary is set
	Primary bool
	Driver  int    // -1: drawn
	All     bool   // every node, of the slice if one is named
	Hall    string // of paths: to and from it; "" is drawn
}

// Anywhere is a place that is drawn.
var Anywhere = Place{Slice: -1, Member: -1, Driver: -1}

// TroubleKind is what goes wrong.
type TroubleKind uint8

// The kinds. Where a kind has a Size, the comment says of what.
const (
	TroubleCrash   TroubleKind = iota // a node dies and is back after For, cold; a primary is replaced after Elect
	TroubleSlow                       // a node's work takes Size times as long
	TroubleStall                      // a node does nothing, and keeps its connections
	TroublePath                       // messages to and from a hall take Size times Cross longer
	TroubleCut                        // messages to and from a hall wait until it ends
	TroubleLost                       // of messages to and from a hall, Size (a share) cost their connection
	TroubleRestart                    // a driver dies and is back after For, knowing nothing but the list
	TroubleDrain                      // a node drains, is gone after For, and is back as new after For again
	TroubleUnlist                     // drivers' lists lack a node
	TroubleLoad                       // the rate is Size times the usual one
	TroubleLag                        // a replica needs Size times as long to replay a record
	TroubleFull                       // a node takes no more than Size connections
	TroubleGreet                      // opening a connection takes a node Size milliseconds, one at a time
	TroubleDeaf                       // drivers hear of no change of the list until it ends
	TroubleReap                       // connections to a node that were unused for Size milliseconds are dropped unseen
	TroubleBad                        // of safe requests, Size (a share) fail at any node, by their own fault
	TroubleHot                        // of requests, Size (a share) come to the first driver in place of their own
	troubleKinds   int         = iota
)

var troubleNames = [troubleKinds]string{"crash", "slow", "stall", "path", "cut", "lost", "restart", "drain", "unlist", "load", "lag", "full", "greet", "deaf", "reap", "bad", "hot"}

// String is a kind's word in experiment files.
func (k TroubleKind) String() string { return troubleNames[k] }

// TroubleNamed is the kind of a word.
func TroubleNamed(word string) (TroubleKind, bool) {
	i := slices.Index(troubleNames[:], word)
	return TroubleKind(max(i, 0)), i >= 0
}

// TroubleNames are the words of all kinds.
func TroubleNames() []string { return troubleNames[:] }

// Sized tells whether a kind has a Size.
func (k TroubleKind) Sized() bool {
	switch k {
	case TroubleSlow, TroublePath, TroubleLost, TroubleLoad, TroubleLag, TroubleFull, TroubleGreet, TroubleReap, TroubleBad, TroubleHot:
		return true
	}
	return false
}

// path is what goes on between a hall and the others.
type path struct {
	extra time.Duration
	until time.Duration // messages wait for it
	lost  float64
}

// troubles arms all of them.
func (w *World) troubles() {
	for i := range w.cfg.Troubles {
		t := w.cfg.Troubles[i]
		rng := w.stream(fmt.Sprintf("trouble %d", i))
		w.at(start+t.At, func() { w.strike(t, rng) })
	}
}

func (w *World) strike(t Trouble, rng *rand.Rand) {
	end := w.now + t.For
	switch t.Kind {
	case TroubleCrash:
		w.crash(w.nodeAt(t.Place, rng), t.For)
	case TroubleSlow, TroubleStall, TroubleLag, TroubleFull, TroubleGreet, TroubleReap:
		for _, n := range w.nodesAt(t.Place, rng) {
			n.troubled(t, end)
		}
	case TroubleDeaf:
		w.deaf = max(w.deaf, end)
	case TroublePath, TroubleCut, TroubleLost:
		w.path(t, w.pathAt(t.Place, rng), end)
	case TroubleRestart:
		d := t.Place.Driver
		if d < 0 {
			d = rng.IntN(len(w.drivers))
		}
		w.drivers[d].die()
		w.at(end, w.drivers[d].rise)
	case TroubleDrain:
		n := w.nodeAt(t.Place, rng)
		w.list(n, balance.LifeDraining)
		w.at(end, func() {
			w.list(n, balance.LifeRemoved)
			n.die()
		})
		w.at(end+t.For, func() {
			n.rise()
			w.list(n, balance.LifeReady)
		})
	case TroubleUnlist:
		n := w.nodeAt(t.Place, rng)
		w.list(n, balance.LifeRemoved)
		w.at(end, func() { w.list(n, balance.LifeReady) })
	case TroubleBad:
		w.bad += t.Size
		w.at(end, func() { w.bad -= t.Size })
	case TroubleHot:
		w.hot += t.Size
		w.at(end, func() { w.hot -= t.Size })
	case TroubleLoad:
		w.load *= t.Size
		w.at(end, func() { w.load /= t.Size })
	}
	w.result.Struck++
}

func (w *World) path(t Trouble, p *path, end time.Duration) {
	switch t.Kind {
	case TroublePath:
		extra := time.Duration(t.Size * float64(w.cross()))
		p.extra += extra
		w.at(end, func() { p.extra -= extra })
	case TroubleCut:
		p.until = max(p.until, end)
	case TroubleLost:
		p.lost += t.Size
		w.at(end, func() { p.lost -= t.Size })
	}
}

// troubled makes a node work worse until a time.
func (n *node) troubled(t Trouble, end time.Duration) {
	w := n.slice.w
	switch t.Kind {
	case TroubleSlow:
		n.slower *= t.Size
		w.at(end, func() { n.slower /= t.Size })
	case TroubleStall:
		n.stalled = max(n.stalled, end)
	case TroubleLag:
		n.lags *= t.Size
		w.at(end, func() { n.lags /= t.Size })
	case TroubleFull:
		was := n.cap
		n.cap = int(t.Size)
		w.at(end, func() { n.cap = was })
	case TroubleReap:
		was := n.reap
		n.reap = time.Duration(t.Size * float64(time.Millisecond))
		w.at(end, func() { n.reap = was })
	case TroubleGreet:
		extra := time.Duration(t.Size * float64(time.Millisecond))
		n.greet += extra
		w.at(end, func() { n.greet -= extra })
	}
}

// nodesAt are all nodes of a place, or the one that is drawn.
func (w *World) nodesAt(p Place, rng *rand.Rand) []*node {
	switch {
	case !p.All:
		return []*node{w.nodeAt(p, rng)}
	case p.Slice >= 0 && p.Slice < len(w.slices):
		return w.slices[p.Slice].nodes
	}
	return w.order
}

func (w *World) nodeAt(p Place, rng *rand.Rand) *node {
	s, m := p.Slice, p.Member
	if s < 0 || s >= len(w.slices) {
		s = rng.IntN(len(w.slices))
	}
	if p.Primary {
		return w.slices[s].primary
	}
	if m < 0 || m >= len(w.slices[s].nodes) {
		m = rng.IntN(len(w.slices[s].nodes))
	}
	return w.slices[s].nodes[m]
}

func (w *World) pathAt(p Place, rng *rand.Rand) *path {
	if p.Hall == "" {
		p.Hall = w.cfg.Engine.Zones[rng.IntN(len(w.cfg.Engine.Zones))]
	}
	return w.paths[p.Hall]
}

// cross is a message's way between halls.
func (w *World) cross() time.Duration { return max(w.cfg.Cross, w.cfg.Way) }

// way is how long a message takes between a driver and a node from now on; ok is false if it costs its connection.
func (w *World) way(h *host, n *node) (takes time.Duration, ok bool) {
	shake := 1.0
	if w.cfg.Jitter > 0 {
		shake += w.cfg.Jitter * w.jitter.Float64()
	}
	if h.hall == n.hall {
		return time.Duration(float64(w.cfg.Way) * shake), true
	}
	takes, ok = time.Duration(float64(w.cross())*shake), true
	for _, hall := range []string{h.hall, n.hall} {
		p := w.paths[hall]
		if takes += p.extra; p.until > w.now {
			takes += p.until - w.now
		}
		if p.lost > 0 && w.losses.Float64() < p.lost {
			ok = false
		}
	}
	return takes, ok
}

// carry brings a message of a connection to its other end, in order with those before it.
func (l *link) carry(lasts *time.Duration, do func()) {
	w := l.host.w
	if idle := w.now - l.used; l.node.reap > 0 && l.used > 0 && idle > l.node.reap {
		l.silent = true // whatever stood between forgot it, and told nobody
	}
	if l.used = w.now; l.silent {
		return
	}
	takes, ok := w.way(l.host, l.node)
	if !ok {
		l.cut()
		return
	}
	*lasts = max(*lasts, w.now+takes)
	w.at(*lasts, do)
}

// crash lets a node die and come back.
func (w *World) crash(n *node, down time.Duration) {
	if n.down {
		return
	}
	n.die()
	if s := n.slice; s.primary == n {
		w.at(w.now+w.cfg.Elect, s.promote)
		down = max(down, w.cfg.Elect)
	}
	w.at(w.now+down, n.rise)
}

// rise brings a node back: a replica that has caught up, and cold.
func (n *node) rise() {
	s := n.slice
	n.down, n.timeline, n.rose, n.came, n.tipped = false, s.timeline, s.w.now, nil, false
	if s.w.cfg.Record != nil {
		s.w.cfg.Record(&record.Row{Kind: record.KindNodeStart, Node: n.name, Zone: n.hall, Slice: s.name, Sent: int64(s.w.now - start), Ended: record.NoEnd})
	}
	if s.primary != n {
		n.applied, n.free = []commit{{lsn: s.lsn, at: s.w.now}}, s.w.now
	}
}

// toil is how many times as long as usual work takes now: cold nodes are slow, and warm up evenly.
func (n *node) toil() float64 {
	r := &n.slice.w.cfg.Engine.Router
	since := n.slice.w.now - n.rose
	if n.rose == 0 || r.RampTime == 0 || since >= r.RampTime || r.ColdFrom == 0 {
		return n.slower
	}
	return n.slower / (r.ColdFrom + (1-r.ColdFrom)*float64(since)/float64(r.RampTime))
}

// list tells all drivers of a change of the list.
func (w *World) list(n *node, life balance.Life) {
	n.life = life
	for _, h := range w.drivers {
		h.told()
	}
}

// told hands the driver the list as it is now, some time later.
func (h *host) told() {
	w := h.w
	nodes, lives := w.nodeList(), w.lives()
	w.at(w.now+w.cfg.Notice, func() {
		switch {
		case w.now < w.deaf:
			w.at(w.deaf, h.hear)
		case !h.dead:
			h.listed(balance.ListFull, nodes, lives)
		}
	})
}

// hear takes up the list as it is now.
func (h *host) hear() {
	if !h.dead {
		h.list(balance.ListFull)
	}
}

// die ends a driver as a process that is killed: what it held is never answered.
func (h *host) die() {
	if h.dead {
		return
	}
	w := h.w
	h.dead, h.inbox, h.soon, h.wake = true, nil, false, 0
	for _, id := range slices.Sorted(maps.Keys(h.conns)) {
		l := h.conns[id]
		l.closed = true
		delete(l.node.links, l)
	}
	h.conns = map[driver.ConnID]*link{}
	for _, id := range slices.Sorted(maps.Keys(w.open)) {
		if q := w.open[id]; q.host == h {
			delete(w.open, id)
			w.result.Orphaned++
			w.record(&driver.Answer{Status: driver.Failed}, q)
			w.keep(q, &driver.Answer{Status: driver.Failed}, "its driver ended", 0)
			q.session.on()
		}
	}
}

// rise starts a driver anew.
func (h *host) rise() {
	if !h.dead {
		return
	}
	if err := h.begin(); err != nil {
		h.w.broken("driver %d did not start again: %v", h.number, err)
		return
	}
	h.dead, h.free = false, 0
	h.list(balance.ListCached)
}

// alive is the driver itself or, while it is dead, the next one that is not.
func (w *World) alive(h *host) *host {
	for i := range w.drivers {
		if next := w.drivers[(h.number+i)%len(w.drivers)]; !next.dead {
			return next
		}
	}
	return nil
}
