package explore

import (
	"fmt"
	"time"

	"umberladder/balance"
	"umberladder/driver"
	"umberladder/position"
	"umberladder/token"
)

// The properties, most of them checked by what reaches nodes and clients. These texts are part of trace files and of the
// output of "umberladder explore".
const (
	PropertyOneAnswer         = "one final answer, before the deadline"
	PropertyNoSendAfterAnswer = "nothing is sent after the final answer"
	PropertyOneAttempt        = "one attempt out at a time"
	PropertyAtMostOnce        = "no unsafe write runs twice, no keyed one goes out outside its window"
	PropertyResend            = "what may have run goes out again only if its class allows it"
	PropertyDrain             = "nothing new beyond the grace of a drain"
	PropertyReadPosition      = "no read is served below its need"
	PropertyPending           = "no connection is used with a reply pending"
	PropertyDeposed           = "nothing goes to a node that was heard to be deposed"
	PropertyLeak              = "after all is quiet the engine is as at its start"
	PropertyHeldWriteAnswered = "a held write is answered once there is a primary"
	PropertyTransitions       = "no illegal move"
	PropertyCounts            = "counts are those of what there is"
)

// Properties returns all properties.
func Properties() []string {
	return []string{PropertyOneAnswer, PropertyNoSendAfterAnswer, PropertyOneAttempt, PropertyAtMostOnce, PropertyResend, PropertyDrain, PropertyReadPosition, PropertyPending, PropertyDeposed, PropertyLeak, PropertyHeldWriteAnswered, PropertyTransitions, PropertyCounts}
}

func (w *World) violate(property, format string, args ...any) {
	w.broken = append(w.broken, property+": "+fmt.Sprintf(format, args...))
}

// checkTransitions checks that the engine made no illegal transition of a connection or an attempt, and that its counts
// are right.
func (w *World) checkTransitions() {
	if all := w.engine.IllegalTransitions(); len(all) > 0 {
		w.violate(PropertyTransitions, "%s", all[0])
	}
	if err := w.engine.CheckCounts(); err != nil {
		w.violate(PropertyCounts, "%v", err)
	}
}

// checkSend checks the properties of a query that the engine sends.
func (w *World) checkSend(conn *simConn, c *driver.Command, q *request) {
	class := &classes()[q.class]
	switch {
	case conn.pending != nil:
		w.violate(PropertyPending, "request %d is sent on connection %d, on which a reply is pending", c.Request, c.Conn)
	case conn.dialing:
		w.violate(PropertyPending, "request %d is sent on connection %d, which is not established", c.Request, c.Conn)
	}
	if q.answers > 0 || q.disconnected {
		w.violate(PropertyNoSendAfterAnswer, "request %d is sent to %s after its end", c.Request, c.Node)
	}
	if q.inFlight > 0 && !w.allCanceled(c.Request) {
		w.violate(PropertyOneAttempt, "request %d is sent to %s while another attempt is in flight", c.Request, c.Node)
	}
	if q.runs > 0 && class.Effect == balance.Unsafe {
		w.violate(PropertyResend, "request %d is sent to %s again although it ran", c.Request, c.Node)
	}
	if len(q.maybeRan) > 0 && class.Effect == balance.Keyed && w.now-q.maybeRan[0] > class.Window {
		w.violate(PropertyAtMostOnce, "request %d is sent again after %v", c.Request, w.now-q.maybeRan[0])
	}
	if since, draining := w.drained[c.Node]; draining && w.now-since > engineConfig().Router.DrainGrace {
		w.violate(PropertyDrain, "request %d is sent to %s %v after the driver was notified of its drain", c.Request, c.Node, w.now-since)
	}
	for _, n := range w.engine.SliceViews()[0].Nodes {
		if n.Node == c.Node && !n.Status.Routable() {
			w.violate(PropertyDeposed, "request %d is sent to %s, which is %v", c.Request, c.Node, n.Status)
		}
	}
}

// allCanceled reports whether every query of a request that is in flight counts as ended: one that has not run has a cancel
// in flight, and one that has run is not a write.
func (w *World) allCanceled(id driver.RequestID) bool {
	for _, conn := range w.conns {
		if x := conn.pending; x != nil && x.request == id && !x.cancelPending && !x.ran {
			return false
		}
		if x := conn.pending; x != nil && x.request == id && x.ran && x.write {
			return false
		}
	}
	return true
}

// checkRun checks a write that a node has just run.
func (w *World) checkRun(id driver.RequestID, q *request) {
	if q.runs > 1 {
		w.violate(PropertyAtMostOnce, "request %d ran %d times", id, q.runs)
	}
}

// executeAnswer checks a final answer and delivers it to the client.
func (w *World) executeAnswer(c *driver.Command) {
	q := w.reqs[c.Request]
	if q == nil {
		return
	}
	q.answers++
	w.seen["answer "+c.Answer.Status.String()] = true
	switch {
	case q.answers > 1:
		w.violate(PropertyOneAnswer, "request %d is answered a second time", c.Request)
	case q.disconnected:
		w.violate(PropertyOneAnswer, "request %d is answered although its client disconnected", c.Request)
	case w.now > q.deadline:
		w.violate(PropertyOneAnswer, "request %d is answered %v after its deadline", c.Request, w.now-q.deadline)
	case c.Answer.Status == driver.Refused && q.runs > 0 && classes()[q.class].Effect == balance.Unsafe:
		w.violate(PropertyOneAnswer, "request %d ran and is answered as refused", c.Request)
	}
	cl := w.clients[q.client]
	cl.current = 0
	if c.Answer.Status == driver.Served {
		w.checkServed(c, q)
		cl.token = cl.token.Join(c.Answer.Token)
	} else if c.Answer.Cause == driver.CauseTokenLost || c.Answer.Cause == driver.CauseTokenAhead {
		cl.token = token.Token{}
	}
}

// checkServed checks that a served write ran, and that a session read reflects the session's last served write and its
// token. Writes that a promotion discarded are exempt.
func (w *World) checkServed(c *driver.Command, q *request) {
	if classes()[q.class].Need == balance.NeedWrite && q.runs == 0 {
		w.violate(PropertyOneAnswer, "request %d is answered as served and never ran", c.Request)
	}
	cl := w.clients[q.client]
	for _, k := range w.log { // the write's position comes from the model's log, not from the engine
		if k.request == c.Request {
			cl.lastWrite = k
		}
	}
	if at := c.Answer.Facts.Position; classes()[q.class].Need == balance.NeedSession && at.Timeline == cl.lastWrite.timeline && at.LSN < cl.lastWrite.lsn {
		w.violate(PropertyReadPosition, "request %d is served from %v, the session's last write is at %d", c.Request, at, cl.lastWrite.lsn)
	}
	if classes()[q.class].Need != balance.NeedSession || q.need.IsZero() || q.need.LSN == position.UnknownLSN {
		return
	}
	at := c.Answer.Facts.Position
	if at.Timeline == q.need.Timeline && at.LSN < q.need.LSN || at.Timeline < q.need.Timeline {
		w.violate(PropertyReadPosition, "request %d is served from %v, the token requires %v", c.Request, at, q.need)
	}
}

// settleTime is the time within which a World without further faults must finish all its requests.
const settleTime = 5 * time.Second

// settle runs a state to its end: pending events occur, no further fault does, and settleTime passes. Then it checks that
// every request of a connected client is answered and that the engine holds no request, pending query or extra connection.
func (w *World) settle() {
	for end := w.now + settleTime; w.now < end; {
		moved := false
		for _, ev := range w.enabled() {
			if w.isProgress(ev.name) {
				ev.apply()
				moved = true
				break
			}
		}
		if !moved {
			w.advance()
		}
	}
	for id, q := range w.reqs {
		if q.answers == 0 && !q.disconnected {
			w.violate(PropertyHeldWriteAnswered, "request %d of class %s is never answered", id, classes()[q.class].Name)
		}
	}
	if n := w.engine.Held(); n != 0 {
		w.violate(PropertyLeak, "%d requests are held after the run has settled", n)
	}
	for id, conn := range w.conns {
		if conn.pending != nil {
			w.violate(PropertyLeak, "connection %d has a query pending after the run has settled", id)
		}
	}
	if n := w.engine.Conns(); n > len(w.nodes)*(engineConfig().PoolSize+1) || n != len(w.conns) {
		w.violate(PropertyLeak, "the engine counts %d connections, the network has %d", n, len(w.conns))
	}
}

// isProgress reports whether an event occurs without a fault, a client's action or the passing of time.
func (w *World) isProgress(name string) bool {
	for _, word := range []string{" comes up", " runs request", "the answer to", " replays the log", "the cancel for"} {
		if contains(name, word) {
			return true
		}
	}
	return false
}
