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

// Trouble is a fault or an operator's action at a time of the run.
type Trouble struct {
	Kind  TroubleKind
	At    time.Duration // since the start of the run
	For   time.Duration
	Size  float64 // depends on the kind
	Place Place
}

// Place selects what a trouble affects. Unset fields are drawn from a random stream of the trouble's own.
type Place struct {
	Slice   int // -1: drawn
	Member  int // -1: drawn; the slice's primary at that time if Primary is set
	Primary bool
	Driver  int    // -1: drawn
	All     bool   // all nodes, of the slice if one is set
	Zone    string // for network troubles: traffic to and from this zone; "" is drawn
}

// Anywhere is a Place of which everything is drawn.
var Anywhere = Place{Slice: -1, Member: -1, Driver: -1}

// TroubleKind is a kind of trouble.
type TroubleKind uint8

// The kinds of trouble. The comments describe Size where a kind has one.
const (
	TroubleCrash       TroubleKind = iota // a node crashes and restarts cold after For; a primary is replaced after ElectionTime
	TroubleSlow                           // execution at a node takes Size times as long
	TroubleStall                          // a node processes nothing and keeps its connections
	TroubleDelay                          // messages to and from a zone are delayed by Size times the delay between zones
	TroublePartition                      // messages to and from a zone are held until the trouble ends
	TroubleLoss                           // a share Size of the messages to and from a zone are lost, with their connection
	TroubleRestart                        // a driver is killed and restarts after For with only the cached node list
	TroubleDrain                          // a node drains, is removed after For, and is added again, cold, after For again
	TroubleUnlist                         // a node is missing from the node list
	TroubleLoad                           // the arrival rate is Size times the usual one
	TroubleLag                            // a replica needs Size times as long to replay a record
	TroubleConnLimit                      // a node accepts at most Size connections
	TroubleSlowConnect                    // a node needs Size milliseconds more to accept a connection
	TroubleListsHeld                      // changes of the node list reach drivers only when the trouble ends
	TroubleIdleDrop                       // a node's connections idle for Size milliseconds are dropped without an error
	TroubleErrors                         // a share Size of safe requests fail at any node with an error of their own
	TroubleHotDriver                      // a share Size of requests is redirected to the first driver
	numTroubleKinds    int         = iota
)

var troubleNames = [numTroubleKinds]string{"crash", "slow", "stall", "path", "cut", "lost", "restart", "drain", "unlist", "load", "lag", "full", "greet", "deaf", "reap", "bad", "hot"}

// String returns the name used in experiment files.
func (k TroubleKind) String() string { return troubleNames[k] }

// ParseTroubleKind returns the kind with a name, and whether there is one.
func ParseTroubleKind(word string) (TroubleKind, bool) {
	i := slices.Index(troubleNames[:], word)
	return TroubleKind(max(i, 0)), i >= 0
}

// TroubleNames returns the names of all kinds.
func TroubleNames() []string { return troubleNames[:] }

// HasSize reports whether a kind has a Size.
func (k TroubleKind) HasSize() bool {
	switch k {
	case TroubleSlow, TroubleDelay, TroubleLoss, TroubleLoad, TroubleLag, TroubleConnLimit, TroubleSlowConnect, TroubleIdleDrop, TroubleErrors, TroubleHotDriver:
		return true
	}
	return false
}

// path is the state of the network between a zone and the other zones.
type path struct {
	extraDelay time.Duration
	heldUntil  time.Duration // messages are held until then
	lossShare  float64
}

// scheduleTroubles schedules the configured troubles.
func (w *World) scheduleTroubles() {
	for i := range w.cfg.Troubles {
		t := w.cfg.Troubles[i]
		rng := w.stream(fmt.Sprintf("trouble %d", i))
		w.schedule(start+t.At, func() { w.startTrouble(t, rng) })
	}
}

func (w *World) startTrouble(t Trouble, rng *rand.Rand) {
	end := w.now + t.For
	switch t.Kind {
	case TroubleCrash:
		w.crash(w.nodeAt(t.Place, rng), t.For)
	case TroubleSlow, TroubleStall, TroubleLag, TroubleConnLimit, TroubleSlowConnect, TroubleIdleDrop:
		for _, n := range w.nodesAt(t.Place, rng) {
			n.startTrouble(t, end)
		}
	case TroubleListsHeld:
		w.listsHeldUntil = max(w.listsHeldUntil, end)
	case TroubleDelay, TroublePartition, TroubleLoss:
		w.startPathTrouble(t, w.pathAt(t.Place, rng), end)
	case TroubleRestart:
		d := t.Place.Driver
		if d < 0 {
			d = rng.IntN(len(w.drivers))
		}
		w.drivers[d].kill()
		w.schedule(end, w.drivers[d].restart)
	case TroubleDrain:
		n := w.nodeAt(t.Place, rng)
		w.setLife(n, balance.LifeDraining)
		w.schedule(end, func() {
			w.setLife(n, balance.LifeRemoved)
			n.stop()
		})
		w.schedule(end+t.For, func() {
			n.restart()
			w.setLife(n, balance.LifeReady)
		})
	case TroubleUnlist:
		n := w.nodeAt(t.Place, rng)
		w.setLife(n, balance.LifeRemoved)
		w.schedule(end, func() { w.setLife(n, balance.LifeReady) })
	case TroubleErrors:
		w.failShare += t.Size
		w.schedule(end, func() { w.failShare -= t.Size })
	case TroubleHotDriver:
		w.hotShare += t.Size
		w.schedule(end, func() { w.hotShare -= t.Size })
	case TroubleLoad:
		w.loadFactor *= t.Size
		w.schedule(end, func() { w.loadFactor /= t.Size })
	}
	w.result.Troubles++
}

func (w *World) startPathTrouble(t Trouble, p *path, end time.Duration) {
	switch t.Kind {
	case TroubleDelay:
		extra := time.Duration(t.Size * float64(w.crossZoneDelay()))
		p.extraDelay += extra
		w.schedule(end, func() { p.extraDelay -= extra })
	case TroublePartition:
		p.heldUntil = max(p.heldUntil, end)
	case TroubleLoss:
		p.lossShare += t.Size
		w.schedule(end, func() { p.lossShare -= t.Size })
	}
}

// startTrouble applies a trouble to a node until a time.
func (n *node) startTrouble(t Trouble, end time.Duration) {
	w := n.slice.w
	switch t.Kind {
	case TroubleSlow:
		n.slowdown *= t.Size
		w.schedule(end, func() { n.slowdown /= t.Size })
	case TroubleStall:
		n.stalledUntil = max(n.stalledUntil, end)
	case TroubleLag:
		n.replaySlowdown *= t.Size
		w.schedule(end, func() { n.replaySlowdown /= t.Size })
	case TroubleConnLimit:
		previous := n.cap
		n.cap = int(t.Size)
		w.schedule(end, func() { n.cap = previous })
	case TroubleIdleDrop:
		previous := n.idleLimit
		n.idleLimit = time.Duration(t.Size * float64(time.Millisecond))
		w.schedule(end, func() { n.idleLimit = previous })
	case TroubleSlowConnect:
		extra := time.Duration(t.Size * float64(time.Millisecond))
		n.connectTime += extra
		w.schedule(end, func() { n.connectTime -= extra })
	}
}

// nodesAt returns the nodes that a place selects.
func (w *World) nodesAt(p Place, rng *rand.Rand) []*node {
	switch {
	case !p.All:
		return []*node{w.nodeAt(p, rng)}
	case p.Slice >= 0 && p.Slice < len(w.slices):
		return w.slices[p.Slice].nodes
	}
	return w.allNodes
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
	if p.Zone == "" {
		p.Zone = w.cfg.Engine.Zones[rng.IntN(len(w.cfg.Engine.Zones))]
	}
	return w.paths[p.Zone]
}

// crossZoneDelay returns the one-way network delay between zones.
func (w *World) crossZoneDelay() time.Duration { return max(w.cfg.CrossZoneDelay, w.cfg.LinkDelay) }

// delay returns the delay of a message sent now between a driver and a node; ok is false if it is lost and closes its
// connection.
func (w *World) delay(h *host, n *node) (delay time.Duration, ok bool) {
	factor := 1.0
	if w.cfg.Jitter > 0 {
		factor += w.cfg.Jitter * w.jitterRand.Float64()
	}
	if h.zone == n.zone {
		return time.Duration(float64(w.cfg.LinkDelay) * factor), true
	}
	delay, ok = time.Duration(float64(w.crossZoneDelay())*factor), true
	for _, zone := range []string{h.zone, n.zone} {
		p := w.paths[zone]
		if delay += p.extraDelay; p.heldUntil > w.now {
			delay += p.heldUntil - w.now
		}
		if p.lossShare > 0 && w.lossRand.Float64() < p.lossShare {
			ok = false
		}
	}
	return delay, ok
}

// deliver runs do when a message sent now arrives at the other end, after the messages sent before it in the same
// direction. last is the arrival time of the last of them and is updated.
func (l *link) deliver(last *time.Duration, do func()) {
	w := l.host.w
	if idle := w.now - l.lastUsed; l.node.idleLimit > 0 && l.lastUsed > 0 && idle > l.node.idleLimit {
		l.blackholed = true // a middlebox dropped the connection without a reset
	}
	if l.lastUsed = w.now; l.blackholed {
		return
	}
	delay, ok := w.delay(l.host, l.node)
	if !ok {
		l.disconnect()
		return
	}
	*last = max(*last, w.now+delay)
	w.schedule(*last, do)
}

// crash stops a node and restarts it after a time, a primary not before the promotion.
func (w *World) crash(n *node, down time.Duration) {
	if n.down {
		return
	}
	n.stop()
	if s := n.slice; s.primary == n {
		w.schedule(w.now+w.cfg.ElectionTime, s.promote)
		down = max(down, w.cfg.ElectionTime)
	}
	w.schedule(w.now+down, n.restart)
}

// restart starts a stopped node, cold. A replica has caught up with the log.
func (n *node) restart() {
	s := n.slice
	n.down, n.timeline, n.startedAt, n.coldArrivals, n.coldBroken = false, s.timeline, s.w.now, nil, false
	if s.w.cfg.Record != nil {
		s.w.cfg.Record(&record.Row{Kind: record.KindNodeStart, Node: n.name, Zone: n.zone, Slice: s.name, Sent: int64(s.w.now - start), Ended: record.NoEnd})
	}
	if s.primary != n {
		n.applied, n.replayFreeAt = []commit{{lsn: s.lsn, at: s.w.now}}, s.w.now
	}
}

// workFactor returns the current factor on execution times. A cold node's speed rises linearly over the ramp time.
func (n *node) workFactor() float64 {
	r := &n.slice.w.cfg.Engine.Router
	since := n.slice.w.now - n.startedAt
	if n.startedAt == 0 || r.RampTime == 0 || since >= r.RampTime || r.ColdFrom == 0 {
		return n.slowdown
	}
	return n.slowdown / (r.ColdFrom + (1-r.ColdFrom)*float64(since)/float64(r.RampTime))
}

// setLife changes a node's life in the node list and notifies all drivers.
func (w *World) setLife(n *node, life balance.Life) {
	n.life = life
	for _, h := range w.drivers {
		h.notify()
	}
}

// notify delivers the current node list to the driver after ListDelay. If lists are held then, it delivers the list as
// it is when that ends.
func (h *host) notify() {
	w := h.w
	nodes, lives := w.nodeList(), w.nodeLives()
	w.schedule(w.now+w.cfg.ListDelay, func() {
		switch {
		case w.now < w.listsHeldUntil:
			w.schedule(w.listsHeldUntil, h.deliverCurrentList)
		case !h.stopped:
			h.deliverList(balance.ListFull, nodes, lives)
		}
	})
}

// deliverCurrentList delivers the current node list unless the driver is stopped.
func (h *host) deliverCurrentList() {
	if !h.stopped {
		h.sendList(balance.ListFull)
	}
}

// kill ends a driver as SIGKILL does: its pending requests are never answered.
func (h *host) kill() {
	if h.stopped {
		return
	}
	w := h.w
	h.stopped, h.inbox, h.stepPending, h.nextTimer = true, nil, false, 0
	for _, id := range slices.Sorted(maps.Keys(h.conns)) {
		l := h.conns[id]
		l.closed = true
		delete(l.node.links, l)
	}
	h.conns = map[driver.ConnID]*link{}
	for _, id := range slices.Sorted(maps.Keys(w.pending)) {
		if q := w.pending[id]; q.host == h {
			delete(w.pending, id)
			w.result.Orphaned++
			w.recordOp(&driver.Answer{Status: driver.Failed}, q)
			w.recordRows(q, &driver.Answer{Status: driver.Failed}, "its driver ended", 0)
			q.session.finished()
		}
	}
}

// restart starts a killed driver with the cached node list.
func (h *host) restart() {
	if !h.stopped {
		return
	}
	if err := h.startEngine(); err != nil {
		h.w.addBroken("driver %d did not start again: %v", h.number, err)
		return
	}
	h.stopped, h.freeAt = false, 0
	h.sendList(balance.ListCached)
}

// runningDriver returns h or, while it is stopped, the next running driver; nil if there is none.
func (w *World) runningDriver(h *host) *host {
	for i := range w.drivers {
		if next := w.drivers[(h.number+i)%len(w.drivers)]; !next.stopped {
			return next
		}
	}
	return nil
}
