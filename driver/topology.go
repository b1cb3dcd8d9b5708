package driver

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"umberladder/balance"
	"umberladder/position"
	"umberladder/topology"
)

// What nodes say of themselves goes into a ledger (package topology) for each slice, and what follows from it reaches the
// module as roles in the events that it knows. A node that does not stand as primary or replica of the slice gets
// nothing from the moment at which the ledger says so, and what is out at it is settled by class.

// hears takes what a node told into the ledger and the clock of its slice, and acts on what changed by it.
func (e *Engine) hears(n *node, f Facts, sentAt time.Duration, channel topology.Channel) {
	s := n.slice
	if f.System != 0 {
		n.system = f.System
	}
	if channel == topology.Poll {
		lost := n.upstream != "" && f.Replica && f.Upstream == ""
		n.upstream = f.Upstream
		if lost && s.topo.Verdict().Primary == e.followed(s, n.followed) {
			e.suspect(s)
		}
	}
	if channel == topology.Answer && f.System == 0 && e.isNews(n, f) {
		// What a node says anew without telling its cluster is asked for again before it counts.
		n.doubtful = true
		e.suspect(s)
		e.ask(n)
		return
	}
	if channel == topology.Poll {
		n.doubtful = false
	}
	c := topology.Claim{Node: n.listed.Name, Role: topology.Primary, Timeline: f.Position.Timeline, LSN: f.Position.LSN, System: n.system, Sent: sentAt, Heard: e.now, Channel: channel}
	if f.Replica {
		c.Role = topology.Replica
		if f.Upstream != "" || channel == topology.Poll {
			n.followed = f.Upstream
		}
		c.Upstream = e.followed(s, n.followed)
	}
	was := s.topo.Verdict()
	if s.topo.Hear(c) {
		e.changed(s, was)
	}
}

// isNews tells whether a node says of itself what would change the ledger, where its cluster was known.
func (e *Engine) isNews(n *node, f Facts) bool {
	if n.system == 0 {
		return false
	}
	st := n.slice.topo.Standing(n.listed.Name)
	if f.Position.Timeline > n.slice.topo.Verdict().Term {
		return true
	}
	return !f.Replica && (st == topology.Follower || st == topology.Unheard)
}

// ask asks a node at once, if a connection for that is free.
func (e *Engine) ask(n *node) {
	if !n.polled {
		e.quiet(n)
	}
}

// followed is the name of the node of a slice that has an address, "" if none has.
func (e *Engine) followed(s *slice, address string) string {
	if address == "" {
		return ""
	}
	for _, n := range s.nodes {
		if n.listed.Address == address {
			return n.listed.Name
		}
	}
	return ""
}

// changed acts on a new verdict.
func (e *Engine) changed(s *slice, was topology.Verdict) {
	now := s.topo.Verdict()
	if now.System != was.System && was.System != 0 {
		s.clock = position.Clock{} // what another cluster told proves nothing
	}
	s.clock.Seen(now.Term)
	s.primary = e.nodeNamed(s, now.Primary)
	e.journal(s)
	if now.Term > was.Term && was.Term > 0 {
		s.lossTold = 0
	}
	for _, n := range s.nodes {
		if st := s.topo.Standing(n.listed.Name); !st.Takes() && st != topology.Rival {
			e.depose(n)
		}
	}
	if now.Primary == "" && was.Primary != "" {
		e.suspect(s)
	}
}

func (e *Engine) nodeNamed(s *slice, name string) *node {
	if name == "" {
		return nil
	}
	for _, n := range s.nodes {
		if n.listed.Name == name && n.listed.Life != balance.LifeGone {
			return n
		}
	}
	return nil
}

// journal has the newest change of a slice told to the operators, with its number in the slice's history.
func (e *Engine) journal(s *slice) {
	h := s.topo.History()
	if len(h) == 0 {
		return
	}
	r := h[len(h)-1]
	e.cmds = append(e.cmds, Command{Kind: CommandLog, Text: fmt.Sprintf("topology of slice %s, #%d: %s (by a %s of %s, %v)", s.name, r.Number, r.What, r.Claim.Channel,
		r.Claim.Node, position.Position{Timeline: r.Claim.Timeline, LSN: r.Claim.LSN})})
}

// depose ends what is out at a node that may get nothing: its answer would be of a history that was left. By their class
// unsafe requests fail, keyed ones go out again within their window, reads elsewhere.
func (e *Engine) depose(n *node) {
	var out []*conn
	for _, c := range e.conns {
		if c.node == n && c.state == busy && c.attempt != nil && !c.probes && !c.attempt.opened {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *conn) int { return int(a.id) - int(b.id) })
	for _, c := range out {
		e.recall(c)
	}
	e.barQueue(n)
	e.disconnect(n)
	e.refill(n)
}

// recall ends what is out on a connection to a deposed node. Nothing is out twice: what may go out again does so once the
// node was told to end it, and a keyed write once the node answered.
func (e *Engine) recall(c *conn) {
	a, reset := c.attempt, balance.Event{Outcome: balance.OutcomeReset, Role: balance.RoleReplica}
	switch {
	case a.request.class.Effect == balance.Unsafe:
		e.lost(c, true)
		e.ended(a, reset)
	case a.request.class.Effect == balance.Keyed:
		e.cancel(c)
	case e.cfg.CancelWork:
		e.abandon(a)
		e.ended(a, reset)
	}
}

// barred tells whether a node may get no attempt, by what it and others told last.
func (n *node) barred() bool { return n.doubtful || !n.slice.topo.Standing(n.listed.Name).Takes() }

// deposed tells whether what a node told is of one that takes itself for the primary and is not, or of another cluster.
func (n *node) deposed(f Facts) bool {
	if !f.Replica && f.Position.Timeline < n.slice.clock.Timeline() {
		return true
	}
	return n.barred()
}

// lossAt notes what a promotion left out, by where the new primary was heard first and how far the old one was.
func (e *Engine) lossAt(s *slice, p position.Position) {
	if s.lossTold == p.Timeline || p.Timeline == 0 {
		return
	}
	s.lossTold = p.Timeline
	fork, known := s.clock.Fork(p.Timeline - 1)
	if !known {
		fork = p.LSN // at the most; sessions are not told by it, as their tokens may lie a byte beyond what they saw
	}
	if l, ok := s.topo.Beyond(p.Timeline-1, fork); ok {
		s.topo.Lose(l, e.now)
		e.journal(s)
	}
}

// bar keeps an attempt from a node that may get nothing, and tells whether it did. Nothing of it was written.
func (e *Engine) bar(a *attempt) bool {
	if !a.node.barred() {
		return false
	}
	e.ended(a, balance.Event{Outcome: balance.OutcomeMiss, Role: balance.RoleReplica})
	return true
}

// barQueue keeps what waits for a connection to a node from it if it may get nothing any more: it was deposed, or the grace
// of its drain ended, while a connection was being opened.
func (e *Engine) barQueue(n *node) {
	ev := balance.Event{Outcome: balance.OutcomeMiss, Role: balance.RoleReplica}
	switch {
	case n.barred():
	case n.leaves > 0 && e.now-n.leaves >= e.cfg.Router.DrainGrace-2*e.cfg.Router.Round:
		ev = balance.Event{Outcome: balance.OutcomeFull}
	default:
		return
	}
	for _, a := range slices.Clone(n.queue) {
		e.ended(a, ev)
	}
}

// next is who waited longest for a connection to a node and may still go out, nil if nobody does.
func (e *Engine) next(n *node) *attempt {
	e.barQueue(n)
	for len(n.queue) > 0 {
		a := n.queue[0]
		if !e.tooLate(a) {
			return a
		}
		e.ended(a, balance.Event{Outcome: balance.OutcomeMoot}) // its window closed while it waited
	}
	return nil
}

// tooLate tells whether a keyed write waited for a connection until the window of an attempt that may have run was over.
func (e *Engine) tooLate(a *attempt) bool {
	q := a.request
	return q.class.Effect == balance.Keyed && slices.ContainsFunc(q.attempts, func(b *attempt) bool {
		return b != a && b.sentAt > 0 && b.mayHaveRun() && e.now-b.sentAt >= q.class.Window-2*e.cfg.Router.Round
	})
}

// guard is what a node must check before a write of an attempt runs.
func (e *Engine) guard(a *attempt) Guard {
	g := Guard{Timeline: a.node.slice.clock.Timeline(), System: a.node.slice.topo.Verdict().System}
	if n := a.node; n.clock.at > 0 && e.cfg.StartWithin > 0 {
		within := min(e.cfg.StartWithin, a.until-e.now)
		g.Until = n.clock.at + (e.now - n.clock.asked + within).Microseconds()
	}
	return g
}

// nodeClock is a node's own clock: what it showed, in microseconds since 1970, in the answer to a question asked at a
// time of the driver's.
type nodeClock struct {
	at    int64
	asked time.Duration
}

// Topology is what of the ledgers outlives the driver.
func (e *Engine) Topology() *topology.State {
	st := &topology.State{}
	for _, name := range e.sliceNames() {
		st.Slices = append(st.Slices, e.slices[name].topo.State())
	}
	return st
}

func (e *Engine) sliceNames() []string {
	names := make([]string, 0, len(e.slices))
	for name := range e.slices {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// SliceView is a slice's ledger, for operators.
type SliceView struct {
	Name    string
	Verdict topology.Verdict
	Nodes   []topology.Entry
	History []topology.Record
}

// Ledgers are those of all slices, by name.
func (e *Engine) Ledgers() (all []SliceView) {
	for _, name := range e.sliceNames() {
		s := e.slices[name]
		all = append(all, SliceView{name, s.topo.Verdict(), s.topo.Entries(), s.topo.History()})
	}
	return all
}

// Fence has a node never be primary, or lifts that.
func (e *Engine) Fence(name string, on bool) error {
	for _, s := range e.slices {
		if e.nodeNamed(s, name) == nil {
			continue
		}
		was := s.topo.Verdict()
		s.topo.Fence(name, on, e.now)
		e.changed(s, was)
		e.suspect(s)
		return nil
	}
	return fmt.Errorf("no node is named %s; there are %s", name, e.someNames())
}

func (e *Engine) someNames() string {
	var names []string
	for _, n := range e.listed() {
		if n.listed.Life != balance.LifeGone && len(names) < 10 {
			names = append(names, n.listed.Name)
		}
	}
	return strings.Join(names, ", ")
}

// Forget drops what is known of a slice, after it was restored by hand.
func (e *Engine) Forget(name string) error {
	s := e.slices[name]
	if s == nil {
		return fmt.Errorf("no slice is named %s; there are %s", name, strings.Join(e.sliceNames(), ", "))
	}
	s.clock = position.Clock{}
	s.primary = nil
	s.forgotten = e.now
	for _, n := range s.nodes {
		n.facts, n.system, n.upstream, n.followed = Facts{}, 0, "", ""
	}
	s.topo.Forget(e.now)
	e.journal(s)
	e.suspect(s)
	return nil
}

// restored joins what an earlier life knew of a slice: terms that were seen, and who was fenced. It refuses, and proves
// nothing.
func (e *Engine) restored(s *slice) {
	if e.cfg.Topology == nil {
		return
	}
	for _, st := range e.cfg.Topology.Slices {
		if st.Name == s.name {
			s.topo.Restore(st)
			s.clock.Seen(s.topo.Verdict().Term)
		}
	}
}
