package driver

import (
	"fmt"
	"slices"
	"time"

	"umberladder/balance"
	"umberladder/internal/pool"
	"umberladder/position"
	"umberladder/token"
	"umberladder/topology"
)

// node is one db node at one address. Another address under the same name is another node to the module.
type node struct {
	pool.Pool[*conn]

	id        balance.ServerID
	listed    Node
	slice     *slice
	queue     []*attempt
	prober    *conn         // the connection that polls go over
	polled    bool          // the module awaits the end of a poll
	polls     uint64        // how many were asked for
	pause     time.Duration // before it was asked again within the present one
	pollBegan time.Duration
	pollWaits bool // for a connection for requests to come free
	full      fullness
	pollQuiet bool          // the primary's log was not heard lately when it began
	facts     Facts         // that it told last
	leaves    time.Duration // since when it is told to drain or to be gone; 0 if it is ready
	doubtful  bool          // it said with an answer what is asked for again before it counts; nothing goes to it meanwhile
	system    uint64        // the cluster that it is of, by what it told last
	upstream  string        // what it followed by its last poll
	followed  string        // what it was last told to follow
	clock     nodeClock

	heard, failing time.Duration // when it was, and since when it can't be asked; 0 for never
	why            string        // it can't be asked
}

// connState is the life of a connection.
type connState uint8

const (
	dialing connState = iota
	idle
	busy      // its exchange is awaited
	lingering // its exchange is out and nobody awaits it
	dead
)

type conn struct {
	id       ConnID
	node     *node
	state    connState
	probes   bool     // it is the node's prober
	attempt  *attempt // whose exchange is out
	sentAt   time.Duration
	usedAt   time.Duration
	reaped   bool // the timer of its idle time is set
	canceled bool // a cancel was asked for: it can't be told what that will hit
}

// attemptState is the life of an attempt.
type attemptState uint8

const (
	waiting attemptState = iota // for a connection; nothing of it was written
	sent
	over // its outcome was told
)

type attempt struct {
	request *request
	number  int
	node    *node
	state   attemptState
	conn    *conn
	began   time.Duration // when the module sent it
	until   time.Duration // when it ends at the latest
	sentAt  time.Duration // when it went out, 0 before
	ran     bool          // it ended without proof that nothing ran
	opened  bool          // its streamed answer began and belongs to the client
}

func (a *attempt) mayHaveRun() bool { return a.state == sent || a.ran }

// holds tells whether its exchange is still out and awaited on its connection.
func (a *attempt) holds() bool { return a.conn.state == busy && a.conn.attempt == a }

// nodeKey is what makes a node the same to the module.
type nodeKey struct {
	name, address, slice string
	instance             int
}

// nodeOf finds or makes the node of a list entry.
func (e *Engine) nodeOf(n Node) *node {
	key := nodeKey{n.Name, n.Address, n.Slice, n.Instance}
	known := e.byKey[key]
	if known == nil {
		known = &node{id: balance.ServerID(len(e.nodes) + 1), slice: e.sliceOf(n.Slice)}
		known.slice.nodes = append(known.slice.nodes, known)
		e.byKey[key] = known
		e.nodes[known.id] = known
	}
	return known
}

func (e *Engine) sliceOf(name string) *slice {
	s := e.slices[name]
	if s == nil {
		s = &slice{name: name, group: len(e.slices), topo: topology.NewSlice(name)}
		e.restored(s)
		e.slices[name] = s
		id := token.IDOf(name)
		e.byToken[id] = append(e.byToken[id], s)
	}
	return s
}

// named puts names into a text of the module, which knows nodes by number alone.
func (e *Engine) named(text string) string {
	if id, ok := balance.LoggedPrimary(text); ok && e.nodes[id] != nil {
		n := e.nodes[id]
		return fmt.Sprintf("primary of slice %s is now %s", n.slice.name, n.listed.Name)
	}
	return text
}

// try starts an attempt: on an idle connection, on a new one, or in line for the next that comes free.
func (e *Engine) try(q *request, act *balance.Action) {
	n := e.nodes[act.Server]
	if q == nil || n == nil {
		return
	}
	a := &attempt{request: q, number: len(q.attempts), node: n, began: e.now}
	q.attempts = append(q.attempts, a)
	if q.out == 0 && !q.done {
		q.slice.waiting--
	}
	q.out++
	if q.done || a.number >= max(1, e.cfg.Router.TryLimit) {
		e.ended(a, balance.Event{Outcome: balance.OutcomeMoot})
		return
	}
	if e.bar(a) {
		return
	}
	end := q.ask.Deadline - e.cfg.AnswerMargin
	if act.After > 0 {
		end = min(end, e.now+act.After)
	}
	a.until = end
	e.timers.Set(end, func(time.Duration) { e.timeout(a) })
	if c, ok := n.Take(); ok {
		e.send(c, a)
		return
	}
	if c := e.takeProber(n); c != nil {
		e.send(c, a)
		return
	}
	n.queue = append(n.queue, a)
	if e.refill(n); n.scarce() && n.open() == 0 && n.Dials == 0 {
		e.ended(a, balance.Event{Outcome: balance.OutcomeFull})
		return
	}
	e.timers.Set(min(end, e.now+e.cfg.Router.DialTimeout), func(time.Duration) {
		if a.state == waiting {
			e.ended(a, balance.Event{Outcome: balance.OutcomeConnectFailed})
		}
	})
}

// refill opens connections for those that wait at a node, one each, up to the pool's size.
func (e *Engine) refill(n *node) {
	for n.Dials < len(n.queue) && n.Len() < e.cfg.PoolSize && e.mayDial(n) {
		n.Dial()
		e.dial(n, false)
	}
}

func (e *Engine) dial(n *node, probes bool) *conn {
	e.lastConn++
	c := &conn{id: e.lastConn, node: n, probes: probes}
	e.conns[c.id] = c
	e.cmds = append(e.cmds, Command{Kind: CommandDial, Conn: c.id, Node: n.listed.Name, Address: n.listed.Address})
	e.timers.Set(e.now+e.cfg.Router.DialTimeout, func(time.Duration) {
		if c.state == dialing {
			e.lost(c, true)
			e.undialed(c, &DialError{Err: fmt.Errorf("no connection within %v", e.cfg.Router.DialTimeout)})
		}
	})
	return c
}

func (e *Engine) dialed(c *conn, failure *DialError) {
	if c == nil || c.state != dialing {
		return
	}
	if failure != nil {
		e.lost(c, false)
		e.undialed(c, failure)
		return
	}
	c.node.hasRoom()
	if c.probes {
		e.become(c, idle)
		e.askProber(c)
		return
	}
	c.node.Up()
	e.release(c)
	e.refill(c.node)
}

// undialed tells who waited longest at the node that its connection failed.
func (e *Engine) undialed(c *conn, failure *DialError) {
	n := c.node
	e.unreached(n, failure.Err.Error())
	if !failure.Full {
		e.doubted(n)
	}
	e.cmds = append(e.cmds, Command{Kind: CommandLog, Node: n.listed.Name, Text: "connection failed: " + failure.Err.Error()})
	outcome := balance.OutcomeConnectFailed
	if failure.Full {
		outcome = balance.OutcomeFull
		if e.isFull(n); !c.probes && n.open() > 0 {
			return // what waits, waits for those
		}
	}
	if c.probes {
		e.pollEnded(n, balance.Event{Outcome: outcome})
		return
	}
	if len(n.queue) > 0 {
		e.ended(n.queue[0], balance.Event{Outcome: outcome})
	}
	e.refill(n)
}

// release makes a connection free: for whoever waits at its node, or idle.
func (e *Engine) release(c *conn) {
	n := c.node
	e.become(c, idle)
	c.attempt = nil
	if n.pollWaits {
		n.Lose(false)
		e.probeOver(c)
		return
	}
	if a := e.next(n); a != nil {
		e.send(c, a)
		return
	}
	c.usedAt = e.now
	n.Put(c)
	switch keep := e.idleFor(n); {
	case keep < e.cfg.IdleClose:
		e.reapAt(c, e.now+keep)
	case !c.reaped:
		c.reaped = true
		e.reapAt(c, e.now+keep)
	}
}

// reapAt closes a connection that by then was not used for the idle time, or looks again later.
func (e *Engine) reapAt(c *conn, at time.Duration) {
	e.timers.Set(at, func(time.Duration) {
		keep := e.idleFor(c.node)
		switch due := c.usedAt + keep; {
		case c.state == dead:
		case c.state == idle && e.now >= due && !(c.probes && keep < e.cfg.IdleClose):
			e.lost(c, true)
		case keep == e.cfg.IdleClose:
			e.reapAt(c, max(due, e.now+e.cfg.IdleClose/4))
		case !c.reaped:
			c.reaped = true
			e.reapAt(c, e.now+e.cfg.IdleClose)
		}
	})
}

func (e *Engine) send(c *conn, a *attempt) {
	a.node.queue = slices.DeleteFunc(a.node.queue, func(w *attempt) bool { return w == a })
	e.become(c, busy)
	e.goes(a, sent)
	a.sentAt = e.now
	c.attempt, c.sentAt, a.conn = a, e.now, c
	cmd := Command{Kind: CommandSend, Conn: c.id, Request: a.request.id, Node: a.node.listed.Name, Write: a.request.class.Need == balance.NeedWrite}
	if cmd.Write {
		cmd.Guard = e.guard(a)
	}
	e.cmds = append(e.cmds, cmd)
}

// lost takes a connection out of the books, and closes it where that is up to this side.
func (e *Engine) lost(c *conn, close bool) {
	if c.state == dead {
		return
	}
	n := c.node
	switch {
	case c.probes:
		if n.prober == c {
			n.prober = nil
		}
	case c.state == idle:
		n.Drop(c)
	default:
		n.Lose(c.state == dialing)
	}
	e.become(c, dead)
	delete(e.conns, c.id)
	if close {
		e.cmds = append(e.cmds, Command{Kind: CommandClose, Conn: c.id})
	}
}

// disconnect closes a node's idle connections.
func (e *Engine) disconnect(n *node) {
	if n == nil {
		return
	}
	for _, c := range slices.Clone(n.Idle) {
		e.lost(c, true)
	}
}

// timeout ends an attempt that was not answered in time. Its connection can't be used before its answer came.
func (e *Engine) timeout(a *attempt) {
	switch a.state {
	case waiting:
		e.ended(a, balance.Event{Outcome: balance.OutcomeConnectFailed})
	case sent:
		if !a.opened {
			e.abandon(a)
			e.ended(a, balance.Event{Outcome: balance.OutcomeTimeout})
		}
	}
}

func (e *Engine) withdraw(a *attempt) {
	if a.state == over || a.opened {
		return
	}
	if a.state == sent {
		e.abandon(a)
	}
	e.ended(a, balance.Event{Outcome: balance.OutcomeCancelled})
}

// abandon lets the connection of an attempt linger until its answer came, or its time is up.
func (e *Engine) abandon(a *attempt) {
	c := a.conn
	if c.state != busy {
		return
	}
	e.become(c, lingering)
	if e.cfg.CancelWork && a.request.class.Effect == balance.Safe {
		e.cancel(c)
	}
	e.timers.Set(e.now+e.cfg.Linger, func(time.Duration) {
		if c.state == lingering {
			e.lost(c, true)
			e.refill(c.node)
		}
	})
}

func (e *Engine) cancel(c *conn) {
	if !c.canceled {
		c.canceled = true
		e.cmds = append(e.cmds, Command{Kind: CommandCancel, Conn: c.id})
	}
}

// ended tells the module how an attempt ended, exactly once.
func (e *Engine) ended(a *attempt, ev balance.Event) {
	if a.state == over {
		return
	}
	if a.state == waiting {
		a.node.queue = slices.DeleteFunc(a.node.queue, func(w *attempt) bool { return w == a })
	}
	q := a.request
	a.ran = a.ran || !ev.Outcome.NeverRan()
	e.goes(a, over)
	if q.out--; q.out == 0 && !q.done {
		q.slice.waiting++
	}
	ev.Kind, ev.Request, ev.Attempt, ev.Server = balance.EventOutcome, q.id, a.number, a.node.id
	ev.Age, ev.Settled = e.now-a.began, q.done
	e.told(a.node, &ev)
	e.tell(ev)
	e.forget(q)
}

// closed takes note of a connection that went away while nothing was out on it.
func (e *Engine) closed(c *conn) {
	if c == nil {
		return
	}
	if c.attempt != nil || c.probes && c.state == busy {
		e.result(c, &Result{End: EndNotSent})
		return
	}
	e.lost(c, false)
	e.doubted(c.node)
}

// asksOfForgotten tells whether the exchange went out before an operator had its slice forgotten, or in that moment.
func (c *conn) asksOfForgotten() bool {
	forgotten := c.node.slice.forgotten
	return forgotten > 0 && c.sentAt <= forgotten
}

// dropForgotten takes out of a result what its node told of a history that an operator had forgotten since: after the
// restore of a backup it must not count again, its newer term above all.
func (c *conn) dropForgotten(r *Result) {
	if c.asksOfForgotten() {
		r.Facts, r.After = Facts{}, Facts{}
	}
}

// result takes the end of an exchange: a request's or a poll's.
func (e *Engine) result(c *conn, r *Result) {
	if c == nil || c.state != busy && c.state != lingering {
		return
	}
	c.dropForgotten(r)
	if r.Facts.Known {
		e.learn(c.node, r.Facts, c.sentAt, c.probes)
	}
	if r.End != EndAnswered || r.Guarded || r.Err != nil && r.Err.Code == stateReadOnly {
		e.doubted(c.node)
	}
	if c.probes {
		e.asked(c, r)
		return
	}
	a := c.attempt
	if r.End != EndAnswered || c.canceled {
		e.lost(c, r.End == EndAnswered)
		e.refill(c.node)
	} else {
		e.release(c)
	}
	if a.state == sent {
		e.settle(a, r, c.sentAt)
	}
}

// settle ends an attempt by what its node answered, and its request if that answer stands.
func (e *Engine) settle(a *attempt, r *Result, sentAt time.Duration) {
	q, v := a.request, Judge(r)
	if q.class.Need == balance.NeedWrite && a.node.barred() && (r.Done || v.Outcome == balance.OutcomeCancelled) {
		v = Verdict{Outcome: balance.OutcomeReset} // it was recalled, or is committed on a history that was left
	}
	ev := balance.Event{Outcome: v.Outcome}
	e.facts(&ev, q, a.node, r.Facts, sentAt)
	if v.Answers && r.Err == nil && q.class.Need != balance.NeedWrite && !e.fits(q, a.node, r.Facts, sentAt) {
		ev.Outcome, v.Answers = balance.OutcomeMiss, false
		if cause := q.hopeless(a.node, r.Facts); cause != CauseNone {
			e.tell(balance.Event{Kind: balance.EventAborted, Request: q.id})
			e.answer(q, Answer{Status: Refused, Cause: cause})
		}
	}
	switch {
	case q.done:
	case v.Answers:
		e.serve(q, a, r)
	case a.opened:
		e.answer(q, Answer{Status: Failed, Cause: CauseCut})
	}
	e.ended(a, ev)
}

// serve hands the client its answer.
func (e *Engine) serve(q *request, a *attempt, r *Result) {
	at := q.seen(r)
	if r.Done && e.cfg.DriverSessions && q.ask.Session != "" {
		e.sessions.saw(q.ask.Slice, q.ask.Session, at, e.now)
	}
	e.answer(q, e.answerOf(q, a, r, at))
}

// seen is a place that covers what an answer shows or did. What its node did not tell is unknown: that asks for the
// present until a promotion or a read at the primary tells more.
func (q *request) seen(r *Result) position.Position {
	switch write := q.class.Need == balance.NeedWrite; {
	case write && r.Facts.Known:
		return r.Facts.Shows()
	case !write && r.After.Known:
		return r.After.Shows()
	case r.Err != nil:
		return position.Position{} // the statement's own error: nothing was done, and no row was seen
	}
	return position.Position{Timeline: max(1, q.slice.clock.Timeline()), LSN: position.Unknown}
}

func (e *Engine) answerOf(q *request, a *attempt, r *Result, at position.Position) Answer {
	var holds token.Token
	if r.Facts.Known && q.class.Need != balance.NeedWrite {
		holds = holds.With(q.ask.Slice, r.Facts.Holds())
	}
	switch {
	case q.need.LSN != position.Unknown:
		at = at.Join(q.need)
	case q.class.Need == balance.NeedWrite: // its place covers what was unknown, not what a replica showed
		at.Transactions = at.Transactions.Union(q.need.Transactions)
	} // else the answer covers what was unknown and shown, and its own place says more
	tok := e.trimmed(q.ask.Token, q.slice)
	if q.ask.Lost {
		tok = tok.WithPresent() // what was lost may be of any slice; of this one it is settled by this answer
	}
	return Answer{Status: Served, Token: tok.With(q.ask.Slice, at), Holds: holds, Node: a.node.listed.Name,
		Hall: a.node.listed.Hall, Facts: r.Facts, Payload: r.Payload, Attempts: len(q.attempts)}
}

// opened settles whether a streamed answer may begin. If not, its connection is closed: the rest of the rows
// would be of no use, and the attempt ends as a miss.
func (e *Engine) opened(c *conn, r *Result) {
	if c == nil || c.state != busy {
		return
	}
	a := c.attempt
	q := a.request
	if c.dropForgotten(r); r.Facts.Known {
		e.learn(c.node, r.Facts, c.sentAt, false)
	}
	if q.done || !e.fits(q, a.node, r.Facts, c.sentAt) {
		ev := balance.Event{Outcome: balance.OutcomeMiss}
		e.facts(&ev, q, a.node, r.Facts, c.sentAt)
		e.lost(c, true)
		e.ended(a, ev)
		return
	}
	a.opened = true
	e.tell(balance.Event{Kind: balance.EventOpened, Request: q.id, Attempt: a.number, Server: a.node.id, Age: e.now - a.began})
	e.cmds = append(e.cmds, Command{Kind: CommandOpen, Conn: c.id, Request: q.id, Answer: e.answerOf(q, a, r, r.Facts.Position)}) // its token comes at the end
}
