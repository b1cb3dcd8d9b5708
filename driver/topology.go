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

// What nodes report about themselves goes into one topology.Slice per slice. Its verdict reaches the router as roles
// in the usual events. A node that is accepted neither as primary nor as replica of the slice gets no requests from
// then on; the attempts in flight there end according to their class.

// updateTopology adds a node's report to its slice's topology and acts on a changed verdict.
func (e *Engine) updateTopology(n *node, f Facts, sentAt time.Duration, channel topology.Channel) {
	s := n.slice
	if f.System != 0 {
		n.system = f.System
	}
	if channel == topology.Poll {
		lostUpstream := n.polledUpstream != "" && f.Replica && f.Upstream == ""
		n.polledUpstream = f.Upstream
		if lostUpstream && s.topo.Verdict().Primary == e.nameByAddress(s, n.knownUpstream) {
			e.suspect(s)
		}
	}
	if channel == topology.Answer && f.System == 0 && e.contradictsTopology(n, f) {
		// An answer that contradicts the topology and names no cluster counts only after a poll has confirmed it.
		n.unconfirmed = true
		e.suspect(s)
		e.pollNow(n)
		return
	}
	if channel == topology.Poll {
		n.unconfirmed = false
	}
	c := topology.Claim{Node: n.entry.Name, Role: topology.Primary, Timeline: f.Position.Timeline, LSN: f.Position.LSN, System: n.system, Sent: sentAt, Received: e.now, Channel: channel}
	if f.Replica {
		c.Role = topology.Replica
		if f.Upstream != "" || channel == topology.Poll {
			n.knownUpstream = f.Upstream
		}
		c.Upstream = e.nameByAddress(s, n.knownUpstream)
	}
	was := s.topo.Verdict()
	if s.topo.Observe(c) {
		e.verdictChanged(s, was)
	}
}

// contradictsTopology reports whether an answer without a cluster identifier, from a node whose cluster is known,
// would change the verdict. The node may have been replaced by one of another cluster, whose newer term would depose
// the slice's primary.
func (e *Engine) contradictsTopology(n *node, f Facts) bool {
	if n.system == 0 {
		return false
	}
	status := n.slice.topo.Status(n.entry.Name)
	if f.Position.Timeline > n.slice.topo.Verdict().Term {
		return true
	}
	return !f.Replica && (status == topology.Follower || status == topology.Unreported)
}

// pollNow polls a node at once if a connection for that is idle and no poll is pending.
func (e *Engine) pollNow(n *node) {
	if !n.pollPending {
		e.pollOnIdle(n)
	}
}

// nameByAddress returns the name of the slice's node at an address, "" if there is none.
func (e *Engine) nameByAddress(s *slice, address string) string {
	if address == "" {
		return ""
	}
	for _, n := range s.nodes {
		if n.entry.Address == address {
			return n.entry.Name
		}
	}
	return ""
}

// verdictChanged acts on a new verdict about a slice: it deposes nodes and starts poll rounds if the primary is lost.
func (e *Engine) verdictChanged(s *slice, was topology.Verdict) {
	now := s.topo.Verdict()
	if now.System != was.System && was.System != 0 {
		s.clock = position.Clock{} // positions of another cluster prove nothing
	}
	s.clock.ObserveTimeline(now.Term)
	s.primary = e.nodeNamed(s, now.Primary)
	e.logLastChange(s)
	if now.Term > was.Term && was.Term > 0 {
		s.lossTimeline = 0
	}
	for _, n := range s.nodes {
		if status := s.topo.Status(n.entry.Name); !status.Routable() && status != topology.Rival {
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
		if n.entry.Name == name && n.entry.Life != balance.LifeRemoved {
			return n
		}
	}
	return nil
}

// logLastChange logs the newest entry of a slice's history for operators, with its number.
func (e *Engine) logLastChange(s *slice) {
	h := s.topo.History()
	if len(h) == 0 {
		return
	}
	r := h[len(h)-1]
	e.cmds = append(e.cmds, Command{Kind: CommandLog, Text: fmt.Sprintf("topology of slice %s, #%d: %s (by a %s of %s, %v)", s.name, r.Number, r.Text, r.Claim.Channel,
		r.Claim.Node, position.Position{Timeline: r.Claim.Timeline, LSN: r.Claim.LSN})})
}

// depose ends what is in flight at a node that may no longer get requests, as its answers would belong to an
// abandoned timeline. Unsafe requests fail, keyed ones are resent within their window, reads move to another node.
func (e *Engine) depose(n *node) {
	var inFlight []*conn
	for _, c := range e.conns {
		if c.node == n && c.state == busy && c.attempt != nil && !c.isProber && !c.attempt.streaming {
			inFlight = append(inFlight, c)
		}
	}
	slices.SortFunc(inFlight, func(a, b *conn) int { return int(a.id) - int(b.id) })
	for _, c := range inFlight {
		e.revoke(c)
	}
	e.rejectBlockedQueue(n)
	e.closeIdle(n)
	e.refill(n)
}

// revoke ends the exchange on a connection to a deposed node. It guards against running a request twice at once: a
// read is resent only after a cancel was sent, a keyed write only once the node has replied. Without
// Config.CancelWork a read ends with its reply.
func (e *Engine) revoke(c *conn) {
	a, reset := c.attempt, balance.Event{Outcome: balance.OutcomeReset, Role: balance.RoleReplica}
	switch {
	case a.request.class.Effect == balance.Unsafe:
		e.removeConn(c, true)
		e.endAttempt(a, reset)
	case a.request.class.Effect == balance.Keyed:
		e.cancel(c)
	case e.cfg.CancelWork:
		e.abandon(a)
		e.endAttempt(a, reset)
	}
}

// blocked reports whether, by the latest reports of the slice's nodes, the node may get no attempts. It keeps
// requests away from stale primaries and from nodes of another cluster.
func (n *node) blocked() bool { return n.unconfirmed || !n.slice.topo.Status(n.entry.Name).Routable() }

// deposed reports whether facts come from a stale primary, one that still reports itself as primary, or from a
// node of another cluster.
func (n *node) deposed(f Facts) bool {
	if !f.Replica && f.Position.Timeline < n.slice.clock.Timeline() {
		return true
	}
	return n.blocked()
}

// recordLoss records commits that a promotion lost: those between the fork and the old primary's last reported
// position.
func (e *Engine) recordLoss(s *slice, p position.Position) {
	if s.lossTimeline == p.Timeline || p.Timeline == 0 {
		return
	}
	s.lossTimeline = p.Timeline
	fork, known := s.clock.Fork(p.Timeline - 1)
	if !known {
		fork = p.LSN // upper bound, for operators only: tokens may lie one byte past what their sessions saw
	}
	if lost, ok := s.topo.LossBeyond(p.Timeline-1, fork); ok {
		s.topo.RecordLoss(lost, e.now)
		e.logLastChange(s)
	}
}

// rejectIfBlocked ends an attempt before anything was written if its node is blocked, and reports whether it did.
func (e *Engine) rejectIfBlocked(a *attempt) bool {
	if !a.node.blocked() {
		return false
	}
	e.endAttempt(a, balance.Event{Outcome: balance.OutcomeMiss, Role: balance.RoleReplica})
	return true
}

// rejectBlockedQueue ends the attempts that wait for a connection to a node that may no longer get them. Without
// it they would be sent to a node that was deposed, or whose drain grace ended, while the connection was being
// opened.
func (e *Engine) rejectBlockedQueue(n *node) {
	ev := balance.Event{Outcome: balance.OutcomeMiss, Role: balance.RoleReplica}
	switch {
	case n.blocked():
	case n.leavingSince > 0 && e.now-n.leavingSince >= e.cfg.Router.DrainGrace-2*e.cfg.Router.MinBatchInterval:
		ev = balance.Event{Outcome: balance.OutcomeFull}
	default:
		return
	}
	for _, a := range slices.Clone(n.queue) {
		e.endAttempt(a, ev)
	}
}

// nextQueued returns the oldest queued attempt of a node that may still be sent, nil if there is none.
func (e *Engine) nextQueued(n *node) *attempt {
	e.rejectBlockedQueue(n)
	for len(n.queue) > 0 {
		a := n.queue[0]
		if a.writeBy == 0 || e.now < a.writeBy {
			return a
		}
		e.endAttempt(a, balance.Event{Outcome: balance.OutcomeUnsent})
	}
	return nil
}

// writeGuard returns what a node must check before the write of an attempt runs. It fences off a stale primary,
// and a write that would start after its attempt's deadline or its writeBy.
func (e *Engine) writeGuard(a *attempt) Guard {
	g := Guard{Timeline: a.node.slice.clock.Timeline(), System: a.node.slice.topo.Verdict().System}
	if n := a.node; n.clock.at > 0 && e.cfg.StartWithin > 0 {
		within := min(e.cfg.StartWithin, a.deadline-e.now)
		if a.writeBy > 0 {
			within = min(within, a.writeBy-e.now)
		}
		g.Until = n.clock.at + (e.now - n.clock.sentAt + within).Microseconds()
	}
	return g
}

// nodeClock is a reading of a node's own clock: at, in microseconds since 1970, in the reply to an exchange sent
// at sentAt on the engine's clock.
type nodeClock struct {
	at     int64
	sentAt time.Duration
}

// Topology returns the state of all slices' topologies, to be saved for the next run of the driver.
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

// SliceView is what is known of one slice's topology, for operators.
type SliceView struct {
	Name    string
	Verdict topology.Verdict
	Nodes   []topology.Entry
	History []topology.Record
}

// SliceViews returns the topology of all slices, sorted by name.
func (e *Engine) SliceViews() (all []SliceView) {
	for _, name := range e.sliceNames() {
		s := e.slices[name]
		all = append(all, SliceView{name, s.topo.Verdict(), s.topo.Entries(), s.topo.History()})
	}
	return all
}

// Fence excludes a node from being primary until it is called with on false. It returns an error if no listed node
// has the name.
func (e *Engine) Fence(name string, on bool) error {
	for _, s := range e.slices {
		if e.nodeNamed(s, name) == nil {
			continue
		}
		was := s.topo.Verdict()
		s.topo.Fence(name, on, e.now)
		e.verdictChanged(s, was)
		e.suspect(s)
		return nil
	}
	return fmt.Errorf("no node is named %s; there are %s", name, e.sampleNames())
}

func (e *Engine) sampleNames() string {
	var names []string
	for _, n := range e.nodesInOrder() {
		if n.entry.Life != balance.LifeRemoved && len(names) < 10 {
			names = append(names, n.entry.Name)
		}
	}
	return strings.Join(names, ", ")
}

// Forget discards what is known of a slice, for use after a manual restore from a backup: the primary, positions,
// terms and fences. It returns an error if no slice has the name.
func (e *Engine) Forget(name string) error {
	s := e.slices[name]
	if s == nil {
		return fmt.Errorf("no slice is named %s; there are %s", name, strings.Join(e.sliceNames(), ", "))
	}
	s.clock = position.Clock{}
	s.primary = nil
	s.forgotten = e.now
	for _, n := range s.nodes {
		n.facts, n.system, n.polledUpstream, n.knownUpstream = Facts{}, 0, "", ""
	}
	s.topo.Forget(e.now)
	e.logLastChange(s)
	e.suspect(s)
	return nil
}

// restoreSlice loads what an earlier run recorded of a slice: terms and fences, so that a restarted driver does not
// write at a stale primary. They only block nodes and make none primary.
func (e *Engine) restoreSlice(s *slice) {
	if e.cfg.Topology == nil {
		return
	}
	for _, st := range e.cfg.Topology.Slices {
		if st.Name == s.name {
			s.topo.Restore(st)
			s.clock.ObserveTimeline(s.topo.Verdict().Term)
		}
	}
}
