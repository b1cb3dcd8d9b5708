package world

import (
	"fmt"
	"slices"
	"time"

	"umberladder/admission"
	"umberladder/balance"
	"umberladder/driver"
)

// host is one driver: an engine, and what a shell would do.
type host struct {
	w      *World
	number int
	engine *driver.Engine
	inbox  []driver.Event
	spare  []driver.Event // the last step's, for the next
	cmds   []driver.Command
	soon   bool          // a step at this very time is on its way
	wake   time.Duration // when the engine is woken next, 0 for never
	conns  map[driver.ConnID]*link
	gate   *admission.Gate // nil for none
	hall   string
	lives  uint64
	dead   bool
	free   time.Duration // when its loop is through with what it took up
	first  time.Duration // when the first event of the inbox came

	news    []balance.Life          // the list that the next step takes up
	leaving map[*node]time.Duration // since when it has been told that a node drains or is gone
}

// link is one connection.
type link struct {
	host   *host
	id     driver.ConnID
	node   *node
	closed bool
	asked  bool          // an exchange is out
	there  time.Duration // when the last message to the node comes, and the last one back
	back   time.Duration
	used   time.Duration // when something was sent on it last
	silent bool          // nothing that is sent on it comes
}

// begin makes the driver's engine and front door anew.
func (h *host) begin() (err error) {
	w, cfg := h.w, h.w.cfg.Engine
	cfg.Router.Zone = max(0, slices.Index(cfg.Zones, h.hall))
	seed := uint64(h.number) + h.lives*1_000_000
	if h.engine, err = driver.New(cfg, w.cfg.Seed*1_000_003+seed); err != nil {
		return err
	}
	if w.cfg.Gate != nil {
		h.gate, err = admission.New(*w.cfg.Gate, w.cfg.Seed*999_983+seed)
	}
	h.lives++
	h.leaving, h.news = map[*node]time.Duration{}, nil
	return err
}

func (w *World) newHost(number int) (*host, error) {
	h := &host{w: w, number: number, hall: w.hall(number), conns: map[driver.ConnID]*link{}}
	if err := h.begin(); err != nil {
		return nil, err
	}
	begin := w.stream(fmt.Sprintf("start %d", number)).Float64()
	w.at(start+time.Duration(begin*float64(time.Second)), func() { h.list(balance.ListCached) })
	return h, nil
}

// hall is where the member or driver of a number stands.
func (w *World) hall(number int) string {
	return w.cfg.Engine.Zones[number%len(w.cfg.Engine.Zones)]
}

func (w *World) nodeList() []driver.Node {
	var nodes []driver.Node
	for _, s := range w.slices {
		for _, n := range s.nodes {
			if n.life == balance.LifeRemoved {
				continue
			}
			nodes = append(nodes, driver.Node{Name: n.name, Address: n.name, Slice: s.name, Zone: n.hall, Life: n.life, Started: n.rose})
		}
	}
	return nodes
}

// list hands the driver the list as it is now.
func (h *host) list(kind balance.ListKind) {
	h.listed(kind, h.w.nodeList(), h.w.lives())
}

// listed hands it a list as it was.
func (h *host) listed(kind balance.ListKind, nodes []driver.Node, lives []balance.Life) {
	h.take(driver.Event{Kind: driver.EventNodeList, List: kind, Nodes: nodes})
	h.news = lives
}

// take gives the engine an event in a step at this time, with whatever else comes at it.
func (h *host) take(ev driver.Event) {
	if h.dead {
		return
	}
	h.inbox = append(h.inbox, ev)
	if !h.soon {
		h.soon, h.first = true, h.w.now
		h.w.at(max(h.w.now, h.free), h.step)
	}
}

func (h *host) step() {
	if h.soon = false; h.dead {
		return
	}
	if h.news != nil {
		h.heard(h.news)
		h.news = nil
	}
	h.w.result.Steps++
	h.w.result.Events += len(h.inbox)
	if h.gate != nil && len(h.inbox) > 0 {
		h.gate.ObserveLoopDelay(h.w.now, h.w.now-h.first)
	}
	h.free = h.w.now + time.Duration(len(h.inbox))*h.w.cfg.EventCost
	events := h.inbox
	h.inbox, h.spare = h.spare[:0], events
	h.cmds = h.engine.Step(h.w.now, events, h.cmds[:0])
	for i := range h.cmds {
		h.do(&h.cmds[i])
	}
	if at, ok := h.engine.NextTimer(); ok && (h.wake == 0 || at < h.wake || h.wake <= h.w.now) {
		h.wake = max(at, h.w.now+1)
		due := h.wake
		h.w.at(due, func() {
			if h.wake == due && !h.soon {
				h.wake = 0
				h.step()
			}
		})
	}
}

func (h *host) do(c *driver.Command) {
	w := h.w
	switch c.Kind {
	case driver.CommandDial:
		l := &link{host: h, id: c.Conn, node: w.nodes[c.Node]}
		h.conns[c.Conn] = l
		way, ok := w.way(h, l.node)
		w.at(w.now+3*way+l.node.greets(), func() { l.dialed(ok) })
	case driver.CommandSend:
		h.send(c)
	case driver.CommandReadFacts:
		w.result.Polls++
		if l := h.conns[c.Conn]; l != nil {
			l.asked = true
			l.carry(&l.there, func() { l.node.ask(l) })
		}
	case driver.CommandClose:
		if l := h.conns[c.Conn]; l != nil {
			l.closed = true
			delete(h.conns, c.Conn)
		}
	case driver.CommandLog:
		h.noticed(c.Text)
	case driver.CommandAnswer:
		w.answered(&c.Answer, c.Request)
	}
}

// noticed takes note of the time since a promotion when the driver first says whom it takes for the new primary.
func (h *host) noticed(text string) {
	for _, s := range h.w.slices {
		if s.promoted > 0 && text == "primary of slice "+s.name+" is now "+s.primary.name {
			h.w.result.Noticed = append(h.w.result.Noticed, h.w.now-s.promoted)
		}
	}
}

func (h *host) send(c *driver.Command) {
	w, l, q := h.w, h.conns[c.Conn], h.w.open[c.Request]
	if w.gone[c.Request] {
		return // the shell sends nothing for a call that is gone
	}
	if q == nil {
		w.broken(RuleAnswer+": request %d was sent after its final answer", c.Request)
		return
	}
	q.sent++
	w.chance(RuleEffect)
	unsafe := w.cfg.Engine.Router.Classes[q.class].Effect == balance.Unsafe
	if q.ran && unsafe {
		w.breaks(q, RuleEffect, "request %d was sent again after it ran", c.Request)
	}
	if l == nil {
		return
	}
	write, guard, to := c.Write, c.Guard, h.misled(l.node, q, c.Write) // the command's place is used again by then
	l.asked = true
	h.sends(to, q)
	l.carry(&l.there, func() { to.serve(l, q, write, guard) })
	if w.cfg.Plant == PlantTwice && unsafe && w.plants.IntN(10) == 0 {
		l.carry(&l.there, func() { to.serve(l, q, write, guard) })
	}
}

func (l *link) dialed(ok bool) {
	w := l.host.w
	if l.closed {
		return
	}
	full := l.node.cap > 0 && len(l.node.links) >= l.node.cap
	if full {
		w.result.Full++
	}
	if l.node.down || !ok || full {
		l.closed = true
		delete(l.host.conns, l.id)
		l.host.take(driver.Event{Kind: driver.EventDialed, Conn: l.id, Dial: &driver.DialError{Err: errDown{l.node.name}, Full: full}})
		return
	}
	l.node.links[l] = true
	l.host.take(driver.Event{Kind: driver.EventDialed, Conn: l.id})
}

type errDown struct{ name string }

func (e errDown) Error() string { return e.name + " is down" }

// reply brings a result back to the driver.
func (l *link) reply(r driver.Result) {
	l.carry(&l.back, func() {
		if !l.closed {
			l.asked = false
			l.host.take(driver.Event{Kind: driver.EventResult, Conn: l.id, Result: r})
		}
	})
}

// cut ends a connection: what is out on it is lost, on its way there or back, and the driver hears so behind what it was
// answered before.
func (l *link) cut() {
	w := l.host.w
	takes, _ := w.way(l.host, l.node)
	l.back = max(l.back, w.now+takes)
	w.at(l.back, func() {
		if l.closed {
			return
		}
		l.closed = true
		delete(l.host.conns, l.id)
		if l.asked {
			l.host.take(driver.Event{Kind: driver.EventResult, Conn: l.id, Result: driver.Result{End: driver.EndBroken}})
		} else {
			l.host.take(driver.Event{Kind: driver.EventClosed, Conn: l.id})
		}
	})
}
