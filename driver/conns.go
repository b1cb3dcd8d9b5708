package driver

import (
	"fmt"
	"slices"
	"time"

	"umberladder/balance"
	"umberladder/internal/pool"
	"umberladder/internal/schedule"
	"umberladder/position"
	"umberladder/token"
	"umberladder/topology"
)

// node is one database node at one address. The same name at another address is another node to the router.
type node struct {
	pool.Pool[*conn]

	id             balance.ServerID
	entry          Node
	slice          *slice
	queue          []*attempt
	prober         *conn         // connection reserved for polls; nil if there is none
	pollPending    bool          // the router waits for the result of a poll
	polls          uint64        // number of polls that the router requested
	repollPause    time.Duration // delay before the last repeat within the current poll; 0 before the first
	pollStarted    time.Duration
	pollQueued     bool // the poll waits for a busy connection to become idle
	backoff        dialBackoff
	clockStale     bool          // at the start of the poll the primary's log position was older than Config.ClockAge
	facts          Facts         // last reported
	leavingSince   time.Duration // since when it is draining or not listed; 0 if it is ready
	unconfirmed    bool          // its last answer contradicted the topology; it gets no requests until it is polled
	system         uint64        // cluster identifier last reported, 0 if none
	polledUpstream string        // address it streamed from at its last poll
	knownUpstream  string        // address it streams from by its last poll, or by a later answer that names one
	clock          nodeClock

	// lastAnswer is the time of its last answer, failingSince that of the first failure to reach it since then; 0 for
	// none.
	lastAnswer, failingSince time.Duration
	failure                  string // last error while it could not be reached
}

// connState is the state of a connection. The transitions are in life.go.
type connState uint8

const (
	dialing connState = iota
	idle
	busy      // its exchange is in flight and awaited
	lingering // its exchange is in flight and nobody awaits the reply
	dead
)

type conn struct {
	id            ConnID
	node          *node
	state         connState
	isProber      bool     // it is its node's prober
	attempt       *attempt // whose exchange is in flight
	sentAt        time.Duration
	usedAt        time.Duration // when it last became idle
	reapScheduled bool          // a timer is set that closes it if it has been idle for Config.IdleClose
	canceled      bool          // a cancel was sent; it could cancel any later statement on the connection
}

// attemptState is the state of an attempt. The transitions are in life.go.
type attemptState uint8

const (
	waiting attemptState = iota // for a connection; nothing was written
	sent
	over // its outcome was reported to the router
)

type attempt struct {
	request   *request
	number    int
	node      *node
	state     attemptState
	conn      *conn
	startedAt time.Duration // when the router started it
	deadline  time.Duration // it ends by then at the latest
	writeBy   time.Duration // it must be sent by then, 0 for no limit; see balance.Action.WriteWithin
	sentAt    time.Duration // 0 while waiting
	maybeRan  bool          // it ended without evidence that nothing ran
	streaming bool          // rows of its answer were passed to the client

	timeLimits schedule.Group
}

func (a *attempt) mayHaveRun() bool { return a.state == sent || a.maybeRan }

// ownsConn reports whether the attempt's exchange is in flight and awaited.
func (a *attempt) ownsConn() bool { return a.conn.state == busy && a.conn.attempt == a }

// nodeKey identifies a node to the router.
type nodeKey struct {
	name, address, slice string
	instance             int
}

// findOrAddNode returns the node of a list entry and adds it if it is new.
func (e *Engine) findOrAddNode(n Node) *node {
	key := nodeKey{n.Name, n.Address, n.Slice, n.Instance}
	known := e.byKey[key]
	if known == nil {
		known = &node{id: balance.ServerID(len(e.nodes) + 1), slice: e.findOrAddSlice(n.Slice)}
		known.slice.nodes = append(known.slice.nodes, known)
		e.byKey[key] = known
		e.nodes[known.id] = known
	}
	return known
}

func (e *Engine) findOrAddSlice(name string) *slice {
	s := e.slices[name]
	if s == nil {
		s = &slice{name: name, group: len(e.slices), topo: topology.NewSlice(name)}
		e.restoreSlice(s)
		e.slices[name] = s
		id := token.IDOf(name)
		e.byToken[id] = append(e.byToken[id], s)
	}
	return s
}

// withNodeNames returns a log text of the router with node names in place of the router's node numbers.
func (e *Engine) withNodeNames(text string) string {
	if id, ok := balance.LoggedPrimary(text); ok && e.nodes[id] != nil {
		n := e.nodes[id]
		return fmt.Sprintf("primary of slice %s is now %s", n.slice.name, n.entry.Name)
	}
	return text
}

// startAttempt starts an attempt: on an idle connection, else queued for the next one that is opened or becomes
// idle. It ends as full at once if the node is at its connection limit and this driver has no connection there, so
// that the router tries another node.
func (e *Engine) startAttempt(q *request, action *balance.Action) {
	n := e.nodes[action.Server]
	if q == nil || n == nil {
		return
	}
	a := &attempt{request: q, number: len(q.attempts), node: n, startedAt: e.now}
	q.attempts = append(q.attempts, a)
	if q.inFlight == 0 && !q.done {
		q.slice.waiting--
	}
	q.inFlight++
	if q.done || a.number >= max(1, e.cfg.Router.AttemptLimit) {
		e.endAttempt(a, balance.Event{Outcome: balance.OutcomeUnsent})
		return
	}
	if e.rejectIfBlocked(a) {
		return
	}
	deadline := q.params.Deadline - e.cfg.AnswerMargin
	if action.After > 0 {
		deadline = min(deadline, e.now+action.After)
	}
	a.deadline = deadline
	if action.WriteWithin > 0 {
		a.writeBy = e.now + action.WriteWithin
	}
	a.timeLimits.Set(&e.timers, deadline, func(time.Duration) { e.timeout(a) })
	if c, ok := n.Take(); ok {
		e.send(c, a)
		return
	}
	if c := e.takeProber(n); c != nil {
		e.send(c, a)
		return
	}
	n.queue = append(n.queue, a)
	if e.refill(n); n.atConnLimit() && n.open() == 0 && n.Dialing == 0 {
		e.endAttempt(a, balance.Event{Outcome: balance.OutcomeFull})
		return
	}
	a.timeLimits.Set(&e.timers, min(deadline, e.now+e.cfg.Router.DialTimeout), func(time.Duration) {
		if a.state == waiting {
			e.endAttempt(a, balance.Event{Outcome: balance.OutcomeConnectFailed})
		}
	})
	if a.writeBy > 0 {
		a.timeLimits.Set(&e.timers, a.writeBy, func(time.Duration) {
			if a.state == waiting {
				e.endAttempt(a, balance.Event{Outcome: balance.OutcomeUnsent})
			}
		})
	}
}

// refill opens one connection per queued attempt, within Config.PoolSize and the node's dial backoff.
func (e *Engine) refill(n *node) {
	for n.Dialing < len(n.queue) && n.Len() < e.cfg.PoolSize && e.mayDial(n) {
		n.StartDial()
		e.dial(n, false)
	}
}

func (e *Engine) dial(n *node, isProber bool) *conn {
	e.lastConn++
	c := &conn{id: e.lastConn, node: n, isProber: isProber}
	e.conns[c.id] = c
	e.cmds = append(e.cmds, Command{Kind: CommandDial, Conn: c.id, Node: n.entry.Name, Address: n.entry.Address})
	e.timers.Set(e.now+e.cfg.Router.DialTimeout, func(time.Duration) {
		if c.state == dialing {
			e.removeConn(c, true)
			e.dialFailed(c, &DialError{Err: fmt.Errorf("no connection within %v", e.cfg.Router.DialTimeout)})
		}
	})
	return c
}

func (e *Engine) handleDialed(c *conn, failure *DialError) {
	if c == nil || c.state != dialing {
		return
	}
	if failure != nil {
		e.removeConn(c, false)
		e.dialFailed(c, failure)
		return
	}
	c.node.endDialBackoff()
	if c.isProber {
		e.setConnState(c, idle)
		e.sendPoll(c)
		return
	}
	c.node.Opened()
	e.release(c)
	e.refill(c.node)
}

// dialFailed handles a failed dial and ends the oldest queued attempt with it, so that the router can retry at
// another node. If the node is full and the driver has connections there, attempts keep waiting for those.
func (e *Engine) dialFailed(c *conn, failure *DialError) {
	n := c.node
	e.unreached(n, failure.Err.Error())
	if !failure.Full {
		e.suspectPrimaryAt(n)
	}
	e.cmds = append(e.cmds, Command{Kind: CommandLog, Node: n.entry.Name, Text: "connection failed: " + failure.Err.Error()})
	outcome := balance.OutcomeConnectFailed
	if failure.Full {
		outcome = balance.OutcomeFull
		if e.startDialBackoff(n); !c.isProber && n.open() > 0 {
			return // queued attempts wait for the open connections
		}
	}
	if c.isProber {
		e.pollEnded(n, balance.Event{Outcome: outcome})
		return
	}
	if len(n.queue) > 0 {
		e.endAttempt(n.queue[0], balance.Event{Outcome: outcome})
	}
	e.refill(n)
}

// release returns a connection to use: for a queued poll, else for the oldest queued attempt, else as idle.
func (e *Engine) release(c *conn) {
	n := c.node
	e.setConnState(c, idle)
	c.attempt = nil
	if n.pollQueued {
		n.RemoveBusy(false)
		e.becomeProber(c)
		return
	}
	if a := e.nextQueued(n); a != nil {
		e.send(c, a)
		return
	}
	c.usedAt = e.now
	n.Put(c)
	switch keep := e.idleTimeout(n); {
	case keep < e.cfg.IdleClose:
		e.scheduleReap(c, e.now+keep)
	case !c.reapScheduled:
		c.reapScheduled = true
		e.scheduleReap(c, e.now+keep)
	}
}

// scheduleReap sets a timer that closes the connection if it has then been idle for the idle timeout, and that
// checks again later if not.
func (e *Engine) scheduleReap(c *conn, at time.Duration) {
	e.timers.Set(at, func(time.Duration) {
		keep := e.idleTimeout(c.node)
		switch due := c.usedAt + keep; {
		case c.state == dead:
		case c.state == idle && e.now >= due && !(c.isProber && keep < e.cfg.IdleClose):
			e.removeConn(c, true)
		case keep == e.cfg.IdleClose:
			e.scheduleReap(c, max(due, e.now+e.cfg.IdleClose/4))
		case !c.reapScheduled:
			c.reapScheduled = true
			e.scheduleReap(c, e.now+e.cfg.IdleClose)
		}
	})
}

func (e *Engine) send(c *conn, a *attempt) {
	a.node.queue = slices.DeleteFunc(a.node.queue, func(w *attempt) bool { return w == a })
	e.setConnState(c, busy)
	e.setAttemptState(a, sent)
	a.sentAt = e.now
	c.attempt, c.sentAt, a.conn = a, e.now, c
	cmd := Command{Kind: CommandSend, Conn: c.id, Request: a.request.id, Node: a.node.entry.Name, Write: a.request.class.Need == balance.NeedWrite}
	if cmd.Write {
		cmd.Guard = e.writeGuard(a)
	}
	e.cmds = append(e.cmds, cmd)
}

// removeConn removes a connection from the accounting and closes it if close is set; it is not set if the other
// side has closed it.
func (e *Engine) removeConn(c *conn, close bool) {
	if c.state == dead {
		return
	}
	n := c.node
	switch {
	case c.isProber:
		if n.prober == c {
			n.prober = nil
		}
	case c.state == idle:
		n.RemoveIdle(c)
	default:
		n.RemoveBusy(c.state == dialing)
	}
	e.setConnState(c, dead)
	c.attempt = nil
	delete(e.conns, c.id)
	if close {
		e.cmds = append(e.cmds, Command{Kind: CommandClose, Conn: c.id})
	}
}

// closeIdle closes a node's idle connections.
func (e *Engine) closeIdle(n *node) {
	if n == nil {
		return
	}
	for _, c := range slices.Clone(n.Idle) {
		e.removeConn(c, true)
	}
}

// timeout ends an attempt at its time limit. Its connection can't be reused until the reply has come.
func (e *Engine) timeout(a *attempt) {
	switch a.state {
	case waiting:
		e.endAttempt(a, balance.Event{Outcome: balance.OutcomeConnectFailed})
	case sent:
		if !a.streaming {
			e.abandon(a)
			e.endAttempt(a, balance.Event{Outcome: balance.OutcomeTimeout})
		}
	}
}

func (e *Engine) withdraw(a *attempt) {
	if a.state == over || a.streaming {
		return
	}
	if a.state == sent {
		e.abandon(a)
	}
	e.endAttempt(a, balance.Event{Outcome: balance.OutcomeCancelled})
}

// abandon keeps an attempt's connection open, but not in use, until the reply arrives or Config.Linger has passed.
// If it were reused, the late reply would be taken for that of the next exchange.
func (e *Engine) abandon(a *attempt) {
	c := a.conn
	if c.state != busy {
		return
	}
	e.setConnState(c, lingering)
	if e.cfg.CancelWork && a.request.class.Effect == balance.Safe {
		e.cancel(c)
	}
	e.timers.Set(e.now+e.cfg.Linger, func(time.Duration) {
		if c.state == lingering {
			e.removeConn(c, true)
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

// endAttempt reports the outcome of an attempt to the router, exactly once.
func (e *Engine) endAttempt(a *attempt, ev balance.Event) {
	if a.state == over {
		return
	}
	if a.state == waiting {
		a.node.queue = slices.DeleteFunc(a.node.queue, func(w *attempt) bool { return w == a })
	}
	q := a.request
	a.maybeRan = a.maybeRan || !ev.Outcome.NeverRan()
	e.setAttemptState(a, over)
	a.timeLimits.Stop(&e.timers) // a timer holds the request
	if q.inFlight--; q.inFlight == 0 && !q.done {
		q.slice.waiting++
	}
	ev.Kind, ev.Request, ev.Attempt, ev.Server = balance.EventOutcome, q.id, a.number, a.node.id
	ev.Age, ev.Settled = e.now-a.startedAt, q.done
	e.trackReportedPrimary(a.node, &ev)
	e.notifyRouter(ev)
	e.queueRemoval(q)
}

// handleClosed handles a connection that closed with no exchange in flight.
func (e *Engine) handleClosed(c *conn) {
	if c == nil {
		return
	}
	if c.attempt != nil || c.isProber && c.state == busy {
		e.handleResult(c, &Result{End: EndNotSent})
		return
	}
	e.removeConn(c, false)
	e.suspectPrimaryAt(c.node)
}

// predatesForget reports whether the exchange was sent no later than an operator's last Forget of its slice.
func (c *conn) predatesForget() bool {
	forgotten := c.node.slice.forgotten
	return forgotten > 0 && c.sentAt <= forgotten
}

// dropStaleFacts removes the facts from a result whose exchange was sent before an operator's Forget. After a
// restore from a backup they describe the old history, whose newer term would fence off the restored primary.
func (c *conn) dropStaleFacts(r *Result) {
	if c.predatesForget() {
		r.Facts, r.After = Facts{}, Facts{}
	}
}

// handleResult handles the end of an exchange, of a request or a poll.
func (e *Engine) handleResult(c *conn, r *Result) {
	if c == nil || c.state != busy && c.state != lingering {
		return
	}
	c.dropStaleFacts(r)
	if r.Facts.Known {
		e.recordFacts(c.node, r.Facts, c.sentAt, c.isProber)
	}
	if r.End != EndAnswered || r.GuardFailed || r.Err != nil && r.Err.Code == codeReadOnlyTransaction {
		e.suspectPrimaryAt(c.node)
	}
	if c.isProber {
		e.pollAnswered(c, r)
		return
	}
	a := c.attempt
	if r.End != EndAnswered || c.canceled {
		e.removeConn(c, r.End == EndAnswered)
		e.refill(c.node)
	} else {
		e.release(c)
	}
	if a.state == sent {
		e.settleAttempt(a, r, c.sentAt)
	}
}

// settleAttempt ends an attempt by its result, and its request if the result is the answer. It guards against
// stale reads: rows from a node that proves to be behind the request's need count as a miss.
func (e *Engine) settleAttempt(a *attempt, r *Result, sentAt time.Duration) {
	q, v := a.request, Classify(r)
	if q.class.Need == balance.NeedWrite && a.node.blocked() && (r.Done || v.Outcome == balance.OutcomeCancelled) {
		// It was canceled at a deposed primary, or committed on an abandoned timeline.
		v = Classification{Outcome: balance.OutcomeReset}
	}
	ev := balance.Event{Outcome: v.Outcome}
	e.addFacts(&ev, q, a.node, r.Facts, sentAt)
	if v.Answers && r.Err == nil && q.class.Need != balance.NeedWrite && !e.satisfies(q, a.node, r.Facts, sentAt) {
		ev.Outcome, v.Answers = balance.OutcomeMiss, false
		if cause := q.unservable(a.node, r.Facts); cause != CauseNone {
			e.notifyRouter(balance.Event{Kind: balance.EventAborted, Request: q.id})
			e.answer(q, Answer{Status: Refused, Cause: cause})
		}
	}
	switch {
	case q.done:
	case v.Answers:
		e.serve(q, a, r)
	case a.streaming:
		e.answer(q, Answer{Status: Failed, Cause: CauseStreamBroken})
	}
	e.endAttempt(a, ev)
}

// serve sends the client the answer and records the session's new position.
func (e *Engine) serve(q *request, a *attempt, r *Result) {
	at := q.observedPosition(r)
	if r.Done && e.cfg.DriverSessions && q.params.Session != "" {
		e.sessions.observe(q.params.Slice, q.params.Session, at, e.now)
	}
	e.answer(q, e.buildAnswer(q, a, r, at))
}

// observedPosition returns a position that covers what an answer shows or did. If its node did not report one, LSN
// is position.UnknownLSN: later reads then require the latest position, until a promotion or a read at the primary
// yields a known one.
func (q *request) observedPosition(r *Result) position.Position {
	switch write := q.class.Need == balance.NeedWrite; {
	case write && r.Facts.Known:
		return r.Facts.UpperBound()
	case !write && r.After.Known:
		return r.After.UpperBound()
	case r.Err != nil:
		return position.Position{} // the statement failed: it changed nothing and returned no rows
	}
	return position.Position{Timeline: max(1, q.slice.clock.Timeline()), LSN: position.UnknownLSN}
}

func (e *Engine) buildAnswer(q *request, a *attempt, r *Result, at position.Position) Answer {
	var lowerBound token.Token
	if r.Facts.Known && q.class.Need != balance.NeedWrite {
		lowerBound = lowerBound.With(q.params.Slice, r.Facts.LowerBound())
	}
	switch {
	case q.need.LSN != position.UnknownLSN:
		at = at.Join(q.need)
	case q.class.Need == balance.NeedWrite: // the write's position replaces an unknown one, but not transactions seen at a replica
		at.Transactions = at.Transactions.Union(q.need.Transactions)
	} // else the read satisfied the unknown position, and its own position replaces it
	tok := e.prunedToken(q.params.Token, q.slice)
	if q.params.TokenLost {
		tok = tok.WithPresent() // the lost token may be for any slice; for this slice the answer settles it
	}
	return Answer{Status: Served, Token: tok.With(q.params.Slice, at), LowerBound: lowerBound, Node: a.node.entry.Name,
		Zone: a.node.entry.Zone, Facts: r.Facts, Payload: r.Payload, Attempts: len(q.attempts)}
}

// handleStreamStart decides whether a streamed answer may begin. It guards against stale rows: if the node is
// behind the request's need, the attempt ends as a miss and its connection is closed, as the remaining rows are
// useless.
func (e *Engine) handleStreamStart(c *conn, r *Result) {
	if c == nil || c.state != busy {
		return
	}
	a := c.attempt
	q := a.request
	if c.dropStaleFacts(r); r.Facts.Known {
		e.recordFacts(c.node, r.Facts, c.sentAt, false)
	}
	if q.done || !e.satisfies(q, a.node, r.Facts, c.sentAt) {
		ev := balance.Event{Outcome: balance.OutcomeMiss}
		e.addFacts(&ev, q, a.node, r.Facts, c.sentAt)
		e.removeConn(c, true)
		e.endAttempt(a, ev)
		return
	}
	a.streaming = true
	e.notifyRouter(balance.Event{Kind: balance.EventStreaming, Request: q.id, Attempt: a.number, Server: a.node.id, Age: e.now - a.startedAt})
	// The token that covers the rows is sent at the end of the stream.
	e.cmds = append(e.cmds, Command{Kind: CommandStartStream, Conn: c.id, Request: q.id, Answer: e.buildAnswer(q, a, r, r.Facts.Position)})
}
