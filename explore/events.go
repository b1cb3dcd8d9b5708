package explore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"umberladder/driver"
	"umberladder/pgwire"
)

// event is a transition that is possible in the current state.
type event struct {
	name  string
	apply func()
}

// enabled returns the events that are possible now, in an order that depends on the state alone.
func (w *World) enabled() (all []event) {
	add := func(apply func(), format string, args ...any) {
		all = append(all, event{fmt.Sprintf(format, args...), apply})
	}
	for i, c := range w.clients {
		if c.current == 0 && c.next < len(c.script) {
			add(func() { w.makeRequest(i) }, "client %d asks for %s", i, c.script[c.next])
		}
		if c.current != 0 && w.faults.disconnects < w.cfg.Disconnects {
			add(func() { w.disconnect(i) }, "client %d leaves", i)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.conns)) {
		conn := w.conns[id]
		switch x := conn.pending; {
		case conn.dialing:
			add(func() { w.completeDial(conn) }, "connection %d to %s comes up", id, conn.node.name)
			continue
		case x != nil && !x.ran && !conn.node.down:
			add(func() { w.runExchange(conn) }, "%s runs request %d", conn.node.name, x.request)
			if x.cancelPending {
				add(func() { w.deliverCancel(conn) }, "the cancel for request %d comes to %s", x.request, conn.node.name)
			}
		case x != nil && x.ran:
			add(func() { w.deliverReply(conn) }, "the answer to request %d comes from %s", x.request, conn.node.name)
		}
		if w.faults.resets < w.cfg.Resets && conn.pending != nil {
			add(func() { w.faults.resets++; w.resetConn(conn) }, "connection %d to %s breaks", id, conn.node.name)
		}
	}
	w.nodeEvents(add)
	add(w.advance, "time passes")
	if len(w.reqs) > 0 {
		add(w.advanceSecond, "a second passes")
	}
	return all
}

// advanceSecond moves time by at least a second, timer by timer. A read's deadline ends within it, a write's does not.
func (w *World) advanceSecond() {
	for end := w.now + time.Second; w.now < end; {
		w.advance()
	}
}

func (w *World) nodeEvents(add func(func(), string, ...any)) {
	p := w.newestPrimary()
	for _, n := range w.nodes {
		if !n.primary && !n.down && n.timeline == p.timeline && n.applied < p.applied {
			add(func() { n.applied = p.applied }, "%s replays the log", n.name)
		}
		if _, draining := w.drained[n.name]; !draining && w.faults.drains < w.cfg.Drains && !n.down {
			add(func() { w.drain(n) }, "the list says that %s drains", n.name)
		}
	}
	if p.primary && !p.down && w.faults.crashes < w.cfg.Crashes {
		add(func() { w.crash(p) }, "%s dies, another is promoted", p.name)
	}
	if p.primary && !p.down && w.faults.stalePrimaries < w.cfg.StalePrimaries {
		add(func() { w.faults.stalePrimaries++; w.promote(p) }, "another than %s is promoted, which does not notice", p.name)
	}
}

// deliverCancel delivers a cancel to a node before the node has run the query.
func (w *World) deliverCancel(conn *simConn) {
	conn.pending.ran = true
	conn.pending.result = driver.Result{Started: true, Facts: w.facts(conn.node), Err: &pgwire.Error{Severity: "ERROR", Code: "57014", Message: "canceled"}}
	w.deliverReply(conn)
}

func (w *World) disconnect(i int) {
	w.faults.disconnects++
	c := w.clients[i]
	w.reqs[c.current].disconnected = true
	id := c.current
	c.current = 0
	w.step(driver.Event{Kind: driver.EventClientLeft, Request: id})
}

func (w *World) drain(n *node) {
	w.faults.drains++
	w.drained[n.name] = w.now
	w.step(w.nodeList())
}

// crash stops a primary: its established connections break and a replica is promoted.
func (w *World) crash(n *node) {
	w.faults.crashes++
	n.down = true
	for _, id := range slices.Sorted(maps.Keys(w.conns)) {
		if conn := w.conns[id]; conn != nil && conn.node == n && !conn.dialing {
			w.resetConn(conn)
		}
	}
	w.promote(n)
}
