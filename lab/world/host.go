package world

import (
	"fmt"
	"slices"
	"time"

	"umberladder/admission"
	"umberladder/balance"
	"umberladder/driver"
)

// host runs the engine of one driver and simulates the driver's I/O layer.
type host struct {
	w           *World
	number      int
	engine      *driver.Engine
	inbox       []driver.Event
	spare       []driver.Event // the previous step's events, whose memory the next step reuses
	cmds        []driver.Command
	stepPending bool          // a step is scheduled for the queued events
	nextTimer   time.Duration // when the engine's timer is due next, 0 for never
	conns       map[driver.ConnID]*link
	gate        *admission.Gate // nil without admission control
	zone        string
	starts      uint64 // starts of the process
	stopped     bool
	freeAt      time.Duration // when the event loop has processed the events of its last step
	firstQueued time.Duration // when the first event in the inbox was queued

	newLives     []balance.Life          // of all nodes, for the node list in the inbox; nil for none
	leavingSince map[*node]time.Duration // when this driver was notified that a node drains or was removed
}

// link is one connection between a driver and a node.
type link struct {
	host         *host
	id           driver.ConnID
	node         *node
	closed       bool
	awaiting     bool          // a reply is pending
	lastToNode   time.Duration // arrival time of the last message to the node
	lastToDriver time.Duration // arrival time of the last message to the driver
	lastUsed     time.Duration // when a message was last sent on it
	blackholed   bool          // messages sent on it are lost without an error
}

// startEngine creates the driver's engine and admission gate, as at each start of its process.
func (h *host) startEngine() (err error) {
	w, cfg := h.w, h.w.cfg.Engine
	cfg.Router.Zone = max(0, slices.Index(cfg.Zones, h.zone))
	seed := uint64(h.number) + h.starts*1_000_000
	if h.engine, err = driver.New(cfg, w.cfg.Seed*1_000_003+seed); err != nil {
		return err
	}
	if w.cfg.Gate != nil {
		h.gate, err = admission.New(*w.cfg.Gate, w.cfg.Seed*999_983+seed)
	}
	h.starts++
	h.leavingSince, h.newLives = map[*node]time.Duration{}, nil
	return err
}

func (w *World) newHost(number int) (*host, error) {
	h := &host{w: w, number: number, zone: w.zone(number), conns: map[driver.ConnID]*link{}}
	if err := h.startEngine(); err != nil {
		return nil, err
	}
	begin := w.stream(fmt.Sprintf("start %d", number)).Float64()
	w.schedule(start+time.Duration(begin*float64(time.Second)), func() { h.sendList(balance.ListCached) })
	return h, nil
}

// zone returns the zone of the member or driver with this number.
func (w *World) zone(number int) string {
	return w.cfg.Engine.Zones[number%len(w.cfg.Engine.Zones)]
}

func (w *World) nodeList() []driver.Node {
	var nodes []driver.Node
	for _, s := range w.slices {
		for _, n := range s.nodes {
			if n.life == balance.LifeRemoved {
				continue
			}
			nodes = append(nodes, driver.Node{Name: n.name, Address: n.name, Slice: s.name, Zone: n.zone, Life: n.life, Started: n.startedAt})
		}
	}
	return nodes
}

// sendList delivers the current node list to the driver.
func (h *host) sendList(kind balance.ListKind) {
	h.deliverList(kind, h.w.nodeList(), h.w.nodeLives())
}

// deliverList delivers a node list. lives has the life of each node when the list was made, in the order of allNodes.
func (h *host) deliverList(kind balance.ListKind, nodes []driver.Node, lives []balance.Life) {
	h.enqueue(driver.Event{Kind: driver.EventNodeList, List: kind, Nodes: nodes})
	h.newLives = lives
}

// enqueue adds an event to the inbox. One step processes all events queued by the time the event loop is free.
func (h *host) enqueue(ev driver.Event) {
	if h.stopped {
		return
	}
	h.inbox = append(h.inbox, ev)
	if !h.stepPending {
		h.stepPending, h.firstQueued = true, h.w.now
		h.w.schedule(max(h.w.now, h.freeAt), h.step)
	}
}

func (h *host) step() {
	if h.stepPending = false; h.stopped {
		return
	}
	if h.newLives != nil {
		h.recordLeaving(h.newLives)
		h.newLives = nil
	}
	h.w.result.Steps++
	h.w.result.Events += len(h.inbox)
	if h.gate != nil && len(h.inbox) > 0 {
		h.gate.ObserveLoopDelay(h.w.now, h.w.now-h.firstQueued)
	}
	h.freeAt = h.w.now + time.Duration(len(h.inbox))*h.w.cfg.EventCost
	events := h.inbox
	h.inbox, h.spare = h.spare[:0], events
	h.cmds = h.engine.Step(h.w.now, events, h.cmds[:0])
	for i := range h.cmds {
		h.execute(&h.cmds[i])
	}
	if at, ok := h.engine.NextTimer(); ok && (h.nextTimer == 0 || at < h.nextTimer || h.nextTimer <= h.w.now) {
		h.nextTimer = max(at, h.w.now+1)
		due := h.nextTimer
		h.w.schedule(due, func() {
			if h.nextTimer == due && !h.stepPending {
				h.nextTimer = 0
				h.step()
			}
		})
	}
}

func (h *host) execute(c *driver.Command) {
	w := h.w
	switch c.Kind {
	case driver.CommandDial:
		l := &link{host: h, id: c.Conn, node: w.nodes[c.Node]}
		h.conns[c.Conn] = l
		delay, ok := w.delay(h, l.node)
		w.schedule(w.now+3*delay+l.node.connectDelay(), func() { l.finishDial(ok) })
	case driver.CommandSend:
		h.send(c)
	case driver.CommandReadFacts:
		w.result.Polls++
		if l := h.conns[c.Conn]; l != nil {
			l.awaiting = true
			l.deliver(&l.lastToNode, func() { l.node.poll(l) })
		}
	case driver.CommandClose:
		if l := h.conns[c.Conn]; l != nil {
			l.closed = true
			delete(h.conns, c.Conn)
		}
	case driver.CommandLog:
		h.recordPromotion(c.Text)
	case driver.CommandAnswer:
		w.onAnswer(&c.Answer, c.Request)
	}
}

// recordPromotion records the time since a promotion if text is the driver's log message about the new primary.
func (h *host) recordPromotion(text string) {
	for _, s := range h.w.slices {
		if s.promotedAt > 0 && text == "primary of slice "+s.name+" is now "+s.primary.name {
			h.w.result.PromotionDelays = append(h.w.result.PromotionDelays, h.w.now-s.promotedAt)
		}
	}
}

func (h *host) send(c *driver.Command) {
	w, l, q := h.w, h.conns[c.Conn], h.w.pending[c.Request]
	if w.timedOut[c.Request] {
		return // the I/O layer sends nothing for a call that has ended
	}
	if q == nil {
		w.addBroken(RuleAnswer+": request %d was sent after its final answer", c.Request)
		return
	}
	q.sends++
	w.countChance(RuleEffect)
	unsafe := w.cfg.Engine.Router.Classes[q.class].Effect == balance.Unsafe
	if q.ran && unsafe {
		w.breakRule(q, RuleEffect, "request %d was sent again after it ran", c.Request)
	}
	if l == nil {
		return
	}
	write, guard, to := c.Write, c.Guard, h.plantedTarget(l.node, q, c.Write) // the next step reuses the command's memory
	l.awaiting = true
	h.checkDrain(to, q)
	l.deliver(&l.lastToNode, func() { to.serve(l, q, write, guard) })
	if w.cfg.Plant == PlantDuplicateWrite && unsafe && w.plantRand.IntN(10) == 0 {
		l.deliver(&l.lastToNode, func() { to.serve(l, q, write, guard) })
	}
}

func (l *link) finishDial(ok bool) {
	w := l.host.w
	if l.closed {
		return
	}
	full := l.node.cap > 0 && len(l.node.links) >= l.node.cap
	if full {
		w.result.RefusedConnections++
	}
	if l.node.down || !ok || full {
		l.closed = true
		delete(l.host.conns, l.id)
		l.host.enqueue(driver.Event{Kind: driver.EventDialed, Conn: l.id, Dial: &driver.DialError{Err: errDown{l.node.name}, Full: full}})
		return
	}
	l.node.links[l] = true
	l.host.enqueue(driver.Event{Kind: driver.EventDialed, Conn: l.id})
}

type errDown struct{ name string }

func (e errDown) Error() string { return e.name + " is down" }

// reply delivers a result to the driver.
func (l *link) reply(r driver.Result) {
	l.deliver(&l.lastToDriver, func() {
		if !l.closed {
			l.awaiting = false
			l.host.enqueue(driver.Event{Kind: driver.EventResult, Conn: l.id, Result: r})
		}
	})
}

// disconnect closes a connection. The driver observes the close after the replies that were sent before; a later reply
// is lost. A node that is still up executes writes that arrive after the close, but no reads.
func (l *link) disconnect() {
	w := l.host.w
	delay, _ := w.delay(l.host, l.node)
	l.lastToDriver = max(l.lastToDriver, w.now+delay)
	w.schedule(l.lastToDriver, func() {
		if l.closed {
			return
		}
		l.closed = true
		delete(l.host.conns, l.id)
		if l.awaiting {
			l.host.enqueue(driver.Event{Kind: driver.EventResult, Conn: l.id, Result: driver.Result{End: driver.EndBroken}})
		} else {
			l.host.enqueue(driver.Event{Kind: driver.EventClosed, Conn: l.id})
		}
	})
}
