package driver

import (
	"fmt"
	"time"

	"umberladder/balance"
	"umberladder/position"
	"umberladder/topology"
)

// poll starts a poll of a node for its role and log position. It uses the node's prober and opens one if there is
// none; at the node's connection limit it uses an idle connection or waits for a busy one.
func (e *Engine) poll(n *node) {
	if n == nil {
		return
	}
	n.pollPending = true
	e.pollPrimaryIfStale(n)
	n.polls++
	n.repollPause, n.pollStarted = 0, e.now
	newest, known := n.slice.clock.LastObserved()
	n.clockStale = !known || e.now-newest > e.cfg.ClockAge
	poll, started := n.polls, e.now
	// A poll that times out closes its connection: a late reply would be taken for that of the next poll.
	e.timers.Set(e.now+e.cfg.PollTimeout, func(time.Duration) {
		if !n.pollPending || n.polls != poll {
			return
		}
		if n.prober != nil {
			e.removeConn(n.prober, true)
		}
		if n.pollQueued {
			e.pollEnded(n, balance.Event{Outcome: balance.OutcomeFull, Age: e.now - started}) // it was never sent
			return
		}
		e.unreached(n, fmt.Sprintf("no answer to a poll within %v", e.now-started))
		e.pollEnded(n, balance.Event{Outcome: balance.OutcomeTimeout, Age: e.now - started})
	})
	if !e.pollOnIdle(n) && n.prober == nil && !n.queuePoll() {
		n.prober = e.dial(n, true)
	} // else the prober is busy with an unrequested poll, whose result counts for this one too
}

// pollPrimaryIfStale polls the slice's primary too if its last log position is older than Config.ClockAge. A
// replica's position is compared with the primary's, so without a newer one the poll of a replica proves nothing new.
func (e *Engine) pollPrimaryIfStale(n *node) {
	p := n.slice.primary
	if p == nil || p == n || p.pollPending || p.entry.Life != balance.LifeReady {
		return
	}
	if at, ok := n.slice.clock.LastObserved(); !ok || e.now-at > e.cfg.ClockAge {
		e.pollOnIdle(p)
	}
}

func (e *Engine) sendPoll(c *conn) {
	e.setConnState(c, busy)
	c.sentAt = e.now
	e.cmds = append(e.cmds, Command{Kind: CommandReadFacts, Conn: c.id, Node: c.node.entry.Name})
	n := c.node
	if n.pollPending {
		return
	}
	at := e.now
	e.timers.Set(e.now+e.cfg.PollTimeout, func(time.Duration) {
		if c.state == busy && c.sentAt == at && !n.pollPending {
			e.removeConn(c, true)
		}
	})
}

// pollAnswered handles the result of an exchange on a prober.
func (e *Engine) pollAnswered(c *conn, r *Result) {
	n := c.node
	if r.End == EndAnswered {
		e.setConnState(c, idle)
		c.usedAt = e.now
	} else {
		e.removeConn(c, false)
	}
	defer e.lendProber(n)
	if !n.pollPending {
		e.reportNewPrimary(n, r, c.sentAt)
		return
	}
	if r.End == EndAnswered && e.repoll(n, r.Facts) {
		return
	}
	ev := balance.Event{Outcome: Classify(r).Outcome, Age: e.now - c.sentAt}
	switch {
	case ev.Outcome != balance.OutcomeOK:
	case r.Facts.Known:
		ev.Outcome, ev.Report = e.pollReport(n, r.Facts, c.sentAt)
	case !c.predatesForget():
		ev.Outcome = balance.OutcomeError
	} // else the node is reachable and nothing else is known of it
	e.pollEnded(n, ev)
}

// reportNewPrimary reports to the router a primary that it does not know, found by a poll that the router did not
// request.
func (e *Engine) reportNewPrimary(n *node, r *Result, sentAt time.Duration) {
	if r.End != EndAnswered || !r.Facts.Known || r.Facts.Replica || n.slice.primary != n || n.slice.reportedPrimary == n {
		return
	}
	ev := balance.Event{Kind: balance.EventPoll, Server: n.id, Age: e.now - sentAt}
	ev.Outcome, ev.Report = e.pollReport(n, r.Facts, sentAt)
	e.trackReportedPrimary(n, &ev)
	e.notifyRouter(ev)
}

// trackReportedPrimary keeps track of which node the router takes for primary.
func (e *Engine) trackReportedPrimary(n *node, ev *balance.Event) {
	switch {
	case ev.Report.HasRole && ev.Report.Primary || ev.Role == balance.RolePrimary:
		n.slice.reportedPrimary = n
	case n.slice.reportedPrimary == n && (ev.Report.HasRole || ev.Role == balance.RoleReplica || ev.Kind == balance.EventPoll):
		n.slice.reportedPrimary = nil
	}
}

func (e *Engine) pollEnded(n *node, ev balance.Event) {
	if !n.pollPending {
		return
	}
	n.pollPending, n.pollQueued = false, false
	ev.Kind, ev.Server = balance.EventPoll, n.id
	e.trackReportedPrimary(n, &ev)
	e.notifyRouter(ev)
}

// recordFacts records what a node reported: its clock, its role and timeline, and the slice's log positions.
// Positions from a stale primary or another cluster are left out, as they would make replicas look more recent
// than they are.
func (e *Engine) recordFacts(n *node, f Facts, sentAt time.Duration, poll bool) {
	s := n.slice
	e.reached(n)
	if f.Standbys == nil {
		f.Standbys = n.facts.Standbys // only polls report them
	}
	if f.Clock > 0 && sentAt >= n.clock.sentAt {
		n.clock = nodeClock{f.Clock, sentAt}
	}
	n.facts = f
	channel := topology.Answer
	if poll {
		channel = topology.Poll
	}
	e.updateTopology(n, f, sentAt, channel)
	if n.deposed(f) {
		return
	}
	for _, at := range f.Forks {
		s.clock.ObserveFork(at)
	}
	if f.Replica {
		s.clock.ObserveTimeline(f.Position.Timeline)
		return
	}
	if s.clock.ObservePrimary(f.Position, sentAt, e.now) && s.primary == n {
		e.recordLoss(s, f.Position)
	}
}

// provenTime returns a node's position as the router counts it, a time as of which the node has all commits, since
// Router.Origin: for a primary, when its report was requested; for a replica, what the slice's clock proves. It
// returns false if the node has no such position.
func (e *Engine) provenTime(n *node, f Facts, sentAt time.Duration) (time.Duration, bool) {
	s := n.slice
	switch {
	case !f.Known || n.deposed(f):
		return 0, false
	case !f.Replica:
		return sentAt - e.cfg.Router.Origin, true
	}
	by, ok := s.clock.AppliedBy(f.Position)
	if !ok || by <= e.cfg.Router.Origin {
		// Nothing is proven about it. Without a position the router would go on waiting for its first report, and
		// hold reads that the primary could serve.
		return 1, true
	}
	s.provenAsOf = max(s.provenAsOf, by)
	return by - e.cfg.Router.Origin, true
}

// pollReport converts the reply to a poll for the router. A stale primary counts as a failed node, as it may get
// no requests and its position is not one of the slice's log.
func (e *Engine) pollReport(n *node, f Facts, sentAt time.Duration) (balance.Outcome, balance.Report) {
	if n.slice.topo.Status(n.entry.Name) == topology.Rival {
		return balance.OutcomeOK, balance.Report{} // reachable, and may be accepted as primary again without a restart
	}
	if n.deposed(f) {
		return balance.OutcomeError, balance.Report{}
	}
	at, ok := e.provenTime(n, f, sentAt)
	return balance.OutcomeOK, balance.Report{Valid: true, HasRole: true, Primary: !f.Replica, HasPosition: ok, Position: at}
}

// addFacts adds to an outcome the role and position from the reply.
func (e *Engine) addFacts(ev *balance.Event, q *request, n *node, f Facts, sentAt time.Duration) {
	if !f.Known {
		return
	}
	ev.Role = balance.RolePrimary
	if f.Replica || n.deposed(f) {
		ev.Role = balance.RoleReplica
	}
	if !e.cfg.Router.Positions {
		return
	}
	if at, ok := e.provenTime(n, f, sentAt); ok {
		ev.Position = at
		if ev.Outcome == balance.OutcomeOK && q.class.Need == balance.NeedWrite {
			ev.Position += time.Millisecond // commit times are reported rounded up; the router subtracts this
		}
	}
}

// satisfies reports whether a read's answer is as recent as its class and token require. It guards against stale
// reads, from replica lag or a stale primary. The facts were read before the read on the same connection, so that
// the read saw at least their position.
func (e *Engine) satisfies(q *request, n *node, f Facts, sentAt time.Duration) bool {
	if !f.Known || n.deposed(f) || !q.slice.reaches(f, q.need) || !q.slice.reaches(f, q.tokenNeed) {
		return false
	}
	switch q.class.Need {
	case balance.NeedFresh:
		return !f.Replica
	case balance.NeedBounded:
		if !f.Replica {
			return true
		}
		by, ok := q.slice.clock.AppliedBy(f.Position)
		return ok && by >= sentAt-q.class.Bound
	}
	return true
}

// covers reports whether a node with these facts has, and shows, what need requires. A position of an older
// timeline that survived lies before the promotion, and so every node of the newer timeline that has reached its LSN
// has it.
func covers(f Facts, need position.Position) bool {
	visible := f.visiblePosition()
	switch {
	case need.IsZero():
		return true
	case need.IsPresent():
		return !f.Replica && visible.Transactions.Covers(need.Transactions)
	case need.LSN == position.UnknownLSN:
		return !f.Replica && f.Position.Timeline >= need.Timeline && visible.Transactions.Covers(need.Transactions)
	}
	return visible.Covers(need)
}

// visiblePosition returns the node's position with the transactions visible there. A replica shows everything in
// its log up to its position. A primary does not: between a commit's record and the end of its transaction,
// microseconds on most servers and as long as synchronous standbys take on others, replicas may show a commit that
// the primary does not. So a primary shows no more than the transactions that it reported as finished, and none
// that a replica may have shown if it reported nothing.
func (f *Facts) visiblePosition() position.Position {
	at := f.Position
	if f.Replica {
		at.Transactions = position.AllTransactions
	}
	return at
}

// LowerBound returns a position such that an answer read after these facts shows everything at or before it, for any
// reader at any time.
//
// At a primary a commit's record is in the log before the commit is visible. The token of a client that saw the
// commit has a position that was read after the commit became visible. If that position lies before this one, the
// commit was visible before this one was read; if they are equal, it may not have been. So a primary's answer shows
// everything before its position, and a replica's everything up to it. A reader that required this very position
// gets no higher bound: another token with the same position may require more.
func (f *Facts) LowerBound() position.Position {
	at := f.visiblePosition()
	if !f.Replica && at.LSN > 0 {
		at.LSN--
	}
	return at
}

// UpperBound returns a position that covers everything an answer read before these facts can have shown. A replica
// shows a commit shortly before its position moves past the record, and longer before if the record drops files:
// if there was log left to replay, the record in replay counts as shown. On a primary the log is ahead of what is
// visible.
func (f *Facts) UpperBound() position.Position {
	at := f.Position
	if !f.Replica {
		at.Transactions = position.Transactions{}
		return at
	}
	at.Transactions = f.MaybeVisible
	if f.Received > at.LSN {
		at.LSN++ // the lowest position of a node that has replayed the record starting here
	}
	return at
}

// reaches reports whether a node of this slice covers need, or is a replica proven to have entered a newer timeline:
// it then has everything that was kept of the older one, even if the position needed there is unknown.
func (s *slice) reaches(f Facts, need position.Position) bool {
	if need.LSN == position.UnknownLSN && !need.IsPresent() && f.Replica && f.Position.Timeline > need.Timeline {
		_, proven := s.clock.AppliedBy(f.Position)
		return proven
	}
	return covers(f, need)
}
