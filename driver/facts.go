package driver

import (
	"fmt"
	"time"

	"umberladder/balance"
	"umberladder/position"
	"umberladder/topology"
)

// poll asks a node for its role and position, over a connection of its own where there is room for one.
func (e *Engine) poll(n *node) {
	if n == nil {
		return
	}
	n.polled = true
	e.companion(n)
	n.polls++
	n.pause, n.pollBegan = 0, e.now
	newest, heard := n.slice.clock.Newest()
	n.pollQuiet = !heard || e.now-newest > e.cfg.ClockAge
	poll, began := n.polls, e.now
	// Giving up on a poll gives up its connection: an answer to come would be taken for the next one's.
	e.timers.Set(e.now+e.cfg.PollTimeout, func(time.Duration) {
		if !n.polled || n.polls != poll {
			return
		}
		if n.prober != nil {
			e.lost(n.prober, true)
		}
		if n.pollWaits {
			e.pollEnded(n, balance.Event{Outcome: balance.OutcomeFull, Age: e.now - began}) // it was never asked
			return
		}
		e.unreached(n, fmt.Sprintf("no answer to a poll within %v", e.now-began))
		e.pollEnded(n, balance.Event{Outcome: balance.OutcomeTimeout, Age: e.now - began})
	})
	if !e.quiet(n) && n.prober == nil && !n.waitsToPoll() {
		n.prober = e.dial(n, true)
	} // else it is at work for the clock: what that brings answers the poll too
}

// companion asks the primary of the slice too when its log was not heard lately: without a newer place to
// compare with, what a replica has applied proves nothing new.
func (e *Engine) companion(n *node) {
	p := n.slice.primary
	if p == nil || p == n || p.polled || p.listed.Life != balance.LifeReady {
		return
	}
	if at, ok := n.slice.clock.Newest(); !ok || e.now-at > e.cfg.ClockAge {
		e.quiet(p)
	}
}

func (e *Engine) askProber(c *conn) {
	e.become(c, busy)
	c.sentAt = e.now
	e.cmds = append(e.cmds, Command{Kind: CommandAsk, Conn: c.id, Node: c.node.listed.Name})
	n := c.node
	if n.polled {
		return
	}
	at := e.now
	e.timers.Set(e.now+e.cfg.PollTimeout, func(time.Duration) {
		if c.state == busy && c.sentAt == at && !n.polled {
			e.lost(c, true)
		}
	})
}

// asked takes the answer of a prober.
func (e *Engine) asked(c *conn, r *Result) {
	n := c.node
	if r.End == EndAnswered {
		e.become(c, idle)
		c.usedAt = e.now
	} else {
		e.lost(c, false)
	}
	defer e.unprobe(n)
	if !n.polled {
		e.volunteers(n, r, c.sentAt)
		return
	}
	if r.End == EndAnswered && e.asksAgain(n, r.Facts) {
		return
	}
	ev := balance.Event{Outcome: Judge(r).Outcome, Age: e.now - c.sentAt}
	switch {
	case ev.Outcome != balance.OutcomeOK:
	case r.Facts.Known:
		ev.Outcome, ev.Report = e.report(n, r.Facts, c.sentAt)
	case !c.asksOfForgotten():
		ev.Outcome = balance.OutcomeError
	} // else the node is up, and nothing is known of it
	e.pollEnded(n, ev)
}

// volunteers tells the module of a primary that it did not ask for and does not know.
func (e *Engine) volunteers(n *node, r *Result, sentAt time.Duration) {
	if r.End != EndAnswered || !r.Facts.Known || r.Facts.Replica || n.slice.primary != n || n.slice.told == n {
		return
	}
	ev := balance.Event{Kind: balance.EventPoll, Server: n.id, Age: e.now - sentAt}
	ev.Outcome, ev.Report = e.report(n, r.Facts, sentAt)
	e.told(n, &ev)
	e.tell(ev)
}

// told notes whom the module was told to be primary.
func (e *Engine) told(n *node, ev *balance.Event) {
	switch {
	case ev.Report.HasRole && ev.Report.Primary || ev.Role == balance.RolePrimary:
		n.slice.told = n
	case n.slice.told == n && (ev.Report.HasRole || ev.Role == balance.RoleReplica || ev.Kind == balance.EventPoll):
		n.slice.told = nil
	}
}

func (e *Engine) pollEnded(n *node, ev balance.Event) {
	if !n.polled {
		return
	}
	n.polled, n.pollWaits = false, false
	ev.Kind, ev.Server = balance.EventPoll, n.id
	e.told(n, &ev)
	e.tell(ev)
}

// learn takes note of what a node told of itself.
func (e *Engine) learn(n *node, f Facts, sentAt time.Duration, poll bool) {
	s := n.slice
	e.reached(n)
	if f.Standbys == nil {
		f.Standbys = n.facts.Standbys // only polls tell them
	}
	if f.Clock > 0 && sentAt >= n.clock.asked {
		n.clock = nodeClock{f.Clock, sentAt}
	}
	n.facts = f
	channel := topology.Answer
	if poll {
		channel = topology.Poll
	}
	e.hears(n, f, sentAt, channel)
	if n.deposed(f) {
		return
	}
	for _, at := range f.Forks {
		s.clock.Forked(at)
	}
	if f.Replica {
		s.clock.Seen(f.Position.Timeline)
		return
	}
	if s.clock.Primary(f.Position, sentAt, e.now) && s.primary == n {
		e.lossAt(s, f.Position)
	}
}

// stands is the module's position of a node: the present for a primary, what is proven for a replica.
func (e *Engine) stands(n *node, f Facts, sentAt time.Duration) (time.Duration, bool) {
	s := n.slice
	switch {
	case !f.Known || n.deposed(f):
		return 0, false
	case !f.Replica:
		return sentAt - e.cfg.Router.Origin, true
	}
	by, ok := s.clock.AppliedBy(f.Position)
	if !ok || by <= e.cfg.Router.Origin {
		// It was heard, and nothing of it is proven. Without a place the module would go on waiting for its
		// first word, and hold reads that the primary could serve.
		return 1, true
	}
	s.proven = max(s.proven, by)
	return by - e.cfg.Router.Origin, true
}

// report is what a poll's answer tells the module. A superseded primary counts as one that failed: it must
// get nothing, and there is no place in time at which it stands.
func (e *Engine) report(n *node, f Facts, sentAt time.Duration) (balance.Outcome, balance.Report) {
	if n.slice.topo.Standing(n.listed.Name) == topology.Rival {
		return balance.OutcomeOK, balance.Report{} // it is up, and may hold office again without a start
	}
	if n.deposed(f) {
		return balance.OutcomeError, balance.Report{}
	}
	at, ok := e.stands(n, f, sentAt)
	return balance.OutcomeOK, balance.Report{Valid: true, HasRole: true, Primary: !f.Replica, HasPosition: ok, Position: at}
}

// facts puts into an outcome what the answer told.
func (e *Engine) facts(ev *balance.Event, q *request, n *node, f Facts, sentAt time.Duration) {
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
	if at, ok := e.stands(n, f, sentAt); ok {
		ev.Position = at
		if ev.Outcome == balance.OutcomeOK && q.class.Need == balance.NeedWrite {
			ev.Position += time.Millisecond // commits are told rounded up; the module takes that off again
		}
	}
}

// fits tells whether a read's answer is as new as its class and token ask. The facts are those asked for
// before the read on the same connection, so that what it saw is at least that new.
func (e *Engine) fits(q *request, n *node, f Facts, sentAt time.Duration) bool {
	if !f.Known || n.deposed(f) || !q.slice.reaches(f, q.need) || !q.slice.reaches(f, q.told) {
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

// covers tells whether a node that stands where f says has, and shows, what need asks for. A place of an older
// timeline that survived lies before the promotion, and so in every member of the newer one that has come as far.
func covers(f Facts, need position.Position) bool {
	stand := f.stand()
	switch {
	case need.IsZero():
		return true
	case need.IsPresent():
		return !f.Replica && stand.Transactions.Covers(need.Transactions)
	case need.LSN == position.Unknown:
		return !f.Replica && f.Position.Timeline >= need.Timeline && stand.Transactions.Covers(need.Transactions)
	}
	return stand.Covers(need)
}

// stand is the place with the transactions that are shown there. A replica shows all that its log has up to its place.
// A primary does not: between a commit's record and the end of its transaction, microseconds on most servers and as
// long as synchronous standbys take on others, replicas may show a commit that the primary does not. So a primary
// shows no more than the transactions that it told to be over, and none that a replica may have shown if it told nothing.
func (f *Facts) stand() position.Position {
	at := f.Position
	if f.Replica {
		at.Transactions = position.AllTransactions
	}
	return at
}

// Holds is a place that an answer read after these facts holds for certain, whoever asks and whenever they saw it.
// At a primary a commit's record is in the log before the commit shows. Whoever was told of a commit was told a
// place asked for after it showed; if that lies before this one, it showed before this one was asked for. If the
// two are equal it may not have, so a primary's answer holds what lies before its place, and a replica's all up to it.
// That its reader asked for that very place changes nothing: another's token of the same place may stand for more.
func (f *Facts) Holds() position.Position {
	at := f.stand()
	if !f.Replica && at.LSN > 0 {
		at.LSN--
	}
	return at
}

// Shows is a place that covers all that an answer read before these facts can have shown. A replica shows a commit
// a moment before its own place moves beyond the record, longer if the record has files to drop: where there was
// log left to replay, the record under way counts as shown. On a primary the log runs ahead of what shows.
func (f *Facts) Shows() position.Position {
	at := f.Position
	if !f.Replica {
		at.Transactions = position.Transactions{}
		return at
	}
	at.Transactions = f.Shown
	if f.Received > at.LSN {
		at.LSN++ // the least place of whoever has replayed the record that begins here
	}
	return at
}

// reaches is covers for a node of a slice: a replica that is proven to have come into a newer timeline has all
// that the older one kept, wherever it stood.
func (s *slice) reaches(f Facts, need position.Position) bool {
	if need.LSN == position.Unknown && !need.IsPresent() && f.Replica && f.Position.Timeline > need.Timeline {
		_, proven := s.clock.AppliedBy(f.Position)
		return proven
	}
	return covers(f, need)
}
