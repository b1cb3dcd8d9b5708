// Package standin simulates groups of PostgreSQL nodes, a primary and its replicas, in this process: clients send them
// the statements listed in sql.go over the wire protocol on loopback, and the caller configures them and injects faults.
// They answer from a small key-value table with a replicated log, and record every statement, connection and commit, so
// that a driver can be judged by its traffic alone. Tests and the packages of lab call it.
package standin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"umberladder/position"
)

// lsnStep is the length of one log record in bytes.
const lsnStep = 64

// firstXID is the id of a group's first transaction.
const firstXID = 700

// record is the log record of one commit.
type record struct {
	lsn         uint64
	key         string
	value       string
	committedAt time.Time
	xid         uint64
	nextXID     uint64 // above every transaction id in the log up to and including this record
}

// branch is the log of one timeline, including the records inherited from older timelines.
type branch struct {
	timeline uint32
	records  []record
	byKey    map[string][]int // indexes in records, ascending
	byXID    map[uint64]int   // index in records of a transaction's commit
}

func (b *branch) add(r record) {
	r.nextXID = max(r.xid+1, b.nextXID(len(b.records)))
	b.byKey[r.key] = append(b.byKey[r.key], len(b.records))
	b.byXID[r.xid] = len(b.records)
	b.records = append(b.records, r)
}

// committed reports whether a transaction's commit is among the first n records.
func (b *branch) committed(xid uint64, n int) bool {
	i, ok := b.byXID[xid]
	return ok && i < n && b.records[i].xid == xid
}

// nextXID returns the lowest transaction id above all those of the first n records.
func (b *branch) nextXID(n int) uint64 {
	if n == 0 {
		return firstXID
	}
	return b.records[n-1].nextXID
}

func newBranch(timeline uint32) *branch {
	return &branch{timeline: timeline, byKey: map[string][]int{}, byXID: map[uint64]int{}}
}

// fork returns a branch of the next timeline that inherits the first n records.
func (b *branch) fork(n int) *branch {
	next := newBranch(b.timeline + 1)
	for _, r := range b.records[:n] {
		next.add(r)
	}
	return next
}

// position returns the log position of a member that has replayed the first n records.
func (b *branch) position(n int) position.Position {
	p := position.Position{Timeline: b.timeline, LSN: lsnStep}
	if n > 0 {
		p.LSN = b.records[n-1].lsn
	}
	return p
}

// snapshot is the data that a statement sees: the first n records of a branch, except those logged but not yet visible.
type snapshot struct {
	group        *Group
	branch       *branch
	n            int
	hidden       map[uint64]bool // by LSN
	replica      bool
	xidWatermark uint64 // see Node.xidWatermark
}

func (s *snapshot) position() position.Position {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.branch.position(s.n)
}

// value returns the newest visible value of a key and the LSN of its record.
func (s *snapshot) value(key string) (value string, lsn uint64, ok bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	indexes := s.branch.byKey[key]
	for i := sort.SearchInts(indexes, s.n) - 1; i >= 0; i-- {
		if r := s.branch.records[indexes[i]]; !s.hidden[r.lsn] {
			return r.value, r.lsn, true
		}
	}
	return "", 0, false
}

// takeSnapshot returns a snapshot of the data that the node shows now, or of older data while stale reads are injected.
func (n *Node) takeSnapshot() snapshot {
	age := n.staleness()
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return snapshot{group: n.group, branch: n.branch, n: n.branch.recordsOlderThan(max(n.applied, n.visible), age), hidden: maps.Clone(n.hidden), replica: !n.actsAsPrimary,
		xidWatermark: n.xidWatermark()}
}

// Commit is one write that a node logged as primary.
type Commit struct {
	Key, Value string
	At         time.Time
	Position   position.Position
	Node       string
}

// Group is one slice: the nodes that replicate one log. All methods may be called from any goroutine.
type Group struct {
	Name  string
	trace *Trace

	mu          sync.Mutex
	changed     *sync.Cond // signalled when the log, a member's state or a member's log position changes
	nodes       []*Node
	primary     *Node
	branch      *branch               // of the current primary
	commits     []Commit              // all logged writes, on any timeline
	forkPoints  []position.Position   // position at which each timeline begins, by timeline from 1
	promoted    []time.Time           // times of the promotions
	keyedWrites map[string]keyedWrite // by idempotency key, to discard repeats
	nextXID     uint64                // id of the next transaction
	dedupWindow time.Duration         // time for which repeats of a keyed write are discarded
}

type keyedWrite struct {
	at  time.Time
	lsn uint64
}

// NewGroup returns a slice without nodes that records into trace. A write that repeats an idempotency key within window
// of the first is discarded.
func NewGroup(name string, window time.Duration, trace *Trace) *Group {
	g := &Group{Name: name, trace: trace, branch: newBranch(1),
		keyedWrites: map[string]keyedWrite{}, dedupWindow: window, nextXID: firstXID}
	g.changed = sync.NewCond(&g.mu)
	g.forkPoints = []position.Position{g.branch.position(0)}
	return g
}

// Nodes returns the members in the order in which they were added.
func (g *Group) Nodes() []*Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Node(nil), g.nodes...)
}

// Primary returns the current primary, or nil before a node was added.
func (g *Group) Primary() *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Commits returns every write that was logged, on any timeline, in the order of logging.
func (g *Group) Commits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.commits...)
}

// Log returns the commits on the current timeline in log order, and the commits that are not part of it: a crash or a
// promotion lost them, or a node logged them on a branch of its own. Commits are matched by value, so values must be
// unique.
func (g *Group) Log() (kept, lost []Commit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	in := map[string]bool{}
	byValue := map[string]Commit{}
	for _, c := range g.commits {
		byValue[c.Value] = c
	}
	for _, r := range g.branch.records {
		in[r.value] = true
		kept = append(kept, byValue[r.value])
	}
	for _, c := range g.commits {
		if !in[c.Value] {
			lost = append(lost, c)
		}
	}
	return kept, lost
}

// TimelineAt returns the timeline of the slice's primary at the given time, by the promotions so far.
func (g *Group) TimelineAt(when time.Time) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	tl := uint32(1)
	for _, at := range g.promoted {
		if !at.After(when) {
			tl++
		}
	}
	return tl
}

// Survives reports whether a log position is part of a timeline's history.
func (g *Group) Survives(p position.Position, timeline uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for t := p.Timeline; t < timeline && int(t) < len(g.forkPoints); t++ {
		if p.LSN > g.forkPoints[t].LSN {
			return false
		}
	}
	return p.Timeline <= timeline
}

// history returns a timeline's history file: the LSN at which each older timeline ended.
func (n *Node) history(timeline uint32) string {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	var b strings.Builder
	for t := uint32(1); t < timeline && int(t) < len(n.group.forkPoints); t++ {
		_, lsn, _ := strings.Cut(n.group.forkPoints[t].String(), ":")
		fmt.Fprintf(&b, "%d\t%s\tno recovery target specified\n", t, lsn)
	}
	return b.String()
}

// Promote makes a member the primary of a new timeline. The other members follow it and discard log beyond its position,
// except a former primary that is still running: it continues to act as primary until Restart or Rejoin.
func (g *Group) Promote(n *Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.primary
	n.applied = max(n.applied, n.visible) // replay of a record that has begun is completed
	g.branch = n.branch.fork(n.applied)
	g.forkPoints = append(g.forkPoints, g.branch.position(n.applied))
	g.primary = n
	g.promoted = append(g.promoted, time.Now())
	for _, m := range g.nodes {
		if m == old && m != n && m.running {
			continue
		}
		m.actsAsPrimary = false
		m.follow(g.branch)
	}
	n.actsAsPrimary = true
	n.applied = len(g.branch.records)
	n.visible = n.applied
	g.changed.Broadcast()
}

// Promotions returns the times at which members were promoted; the first primary was not.
func (g *Group) Promotions() []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]time.Time(nil), g.promoted...)
}

// MostAdvanced returns the running replica on the current timeline that has replayed the most log, or nil if there is none.
func (g *Group) MostAdvanced() *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *Node
	for _, m := range g.nodes {
		if m != g.primary && m.running && !m.hung && m.branch == g.branch && (best == nil || m.applied > best.applied) {
			best = m
		}
	}
	return best
}

// follow moves a member to another branch; it keeps the records that both branches share.
func (n *Node) follow(b *branch) {
	if n.branch != b {
		shared := 0
		for shared < n.applied && shared < len(b.records) && n.branch.records[shared] == b.records[shared] {
			shared++
		}
		n.branch, n.applied = b, shared
	}
	n.visible, n.hidden, n.active = n.applied, nil, nil
}

// beginTransaction assigns an id to a writing transaction.
func (n *Node) beginTransaction() uint64 {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	xid := n.group.nextXID
	n.group.nextXID++
	if n.active == nil {
		n.active = map[uint64]bool{}
	}
	n.active[xid] = true
	return xid
}

// endTransaction makes the commit at a log position visible, or ends a transaction that logged none.
func (n *Node) endTransaction(xid uint64, at position.Position) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	delete(n.active, xid)
	if n.branch.timeline == at.Timeline {
		delete(n.hidden, at.LSN)
	}
}

// write logs a commit on n's branch and returns its position. The commit is not visible before endTransaction. A repeat of
// an idempotency key within the window logs nothing and returns false.
func (g *Group) write(n *Node, xid uint64, key, value, idempotency string) (position.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if prior, ok := g.keyedWrites[idempotency]; idempotency != "" && ok && now.Sub(prior.at) < g.dedupWindow {
		return position.Position{Timeline: n.branch.timeline, LSN: prior.lsn}, false
	}
	r := record{lsn: lsnStep * uint64(len(n.branch.records)+2), key: key, value: value, committedAt: now, xid: xid}
	n.branch.add(r)
	n.applied = len(n.branch.records)
	n.visible = n.applied
	if n.hidden == nil {
		n.hidden = map[uint64]bool{}
	}
	n.hidden[r.lsn] = true
	at := n.branch.position(n.applied)
	g.commits = append(g.commits, Commit{key, value, now, at, n.Name})
	if idempotency != "" {
		g.keyedWrites[idempotency] = keyedWrite{now, r.lsn}
	}
	g.changed.Broadcast()
	return at, true
}

// waitVisible waits until a logged commit may become visible: for the configured delay, for HoldCommits to end and for
// the synchronous standbys. It returns false if the process has ended.
func (n *Node) waitVisible(p *process, at position.Position) bool {
	sleep(p.ctx, n.cfg.CommitDelay)
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	for p.ctx.Err() == nil && n.branch.timeline == at.Timeline && (n.holdCommits || g.appliedBy(at) < n.cfg.RemoteApply) {
		g.changed.Wait()
	}
	return p.ctx.Err() == nil
}

// HoldCommits, while on, keeps logged commits invisible and unanswered on the node, and so prolongs the interval between a
// commit's log record and the end of its transaction. Replicas still replay the record.
func (n *Node) HoldCommits(on bool) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.holdCommits = on
	n.group.changed.Broadcast()
}

// OpenTransaction begins a writing transaction on the node that stays in progress until end is called. It changes no
// data.
func (n *Node) OpenTransaction() (end func()) {
	xid := n.beginTransaction()
	return func() { n.endTransaction(xid, position.Position{}) }
}

// appliedBy counts the running replicas that have replayed the log up to a position.
func (g *Group) appliedBy(at position.Position) (count int) {
	for _, m := range g.nodes {
		if !m.actsAsPrimary && m.running && m.branch.position(m.applied).Covers(at) {
			count++
		}
	}
	return count
}

// replayLog is the goroutine in which a replica replays the log, one record at a time. It ends with the node's process.
func (n *Node) replayLog(p *process) {
	g := n.group
	stop := func() bool { return p.ctx.Err() != nil }
	defer p.goroutines.Done()
	for {
		g.mu.Lock()
		for !stop() && (n.actsAsPrimary || n.hung || n.replayPaused || n.applied >= len(n.branch.records)) {
			g.changed.Wait()
		}
		if stop() {
			g.mu.Unlock()
			return
		}
		b, next := n.branch, n.branch.records[n.applied]
		due := next.committedAt.Add(n.cfg.ShipDelay + n.cfg.FlushDelay)
		cost := time.Duration(float64(n.cfg.ReplayTime) * max(1, n.replaySlowdown))
		g.mu.Unlock()
		sleep(p.ctx, time.Until(due))
		sleep(p.ctx, cost/2) // also when behind: catching up costs as much per record
		n.advanceReplay(b, next, false)
		sleep(p.ctx, cost-cost/2)
		n.advanceReplay(b, next, true)
	}
}

// advanceReplay makes a record visible on a replica and, once its replay is finished, moves the replica's log position
// past it.
func (n *Node) advanceReplay(b *branch, r record, finished bool) {
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.branch != b || n.actsAsPrimary || n.applied >= len(b.records) || b.records[n.applied] != r {
		return
	}
	n.visible = n.applied + 1
	if finished {
		n.applied = n.visible
		g.changed.Broadcast()
	}
}

// discardUnflushed removes the records that a crashing primary had not flushed to disk.
func (n *Node) discardUnflushed() {
	if !n.actsAsPrimary || n.cfg.FlushDelay == 0 || n != n.group.primary {
		return
	}
	b := n.branch
	for k := len(b.records); k > 0 && time.Since(b.records[k-1].committedAt) < n.cfg.FlushDelay; k-- {
		key := b.records[k-1].key
		b.records, b.byKey[key] = b.records[:k-1], b.byKey[key][:len(b.byKey[key])-1]
	}
	n.applied = len(b.records)
	n.visible = n.applied
}

// receivedLSN returns the end of the log that a replica has received, replayed or not.
func (n *Node) receivedLSN() uint64 {
	at := n.applied
	for at < len(n.branch.records) && time.Since(n.branch.records[at].committedAt) >= n.cfg.ShipDelay+n.cfg.FlushDelay {
		at++
	}
	return n.branch.position(at).LSN
}

// currentSnapshot returns the node's pg_current_snapshot: the lowest transaction in progress, the first one not begun, and
// on a primary the transactions in progress between them. A server in recovery does not list those.
func (n *Node) currentSnapshot() string {
	if !n.actsAsPrimary {
		next := n.xidWatermark()
		return fmt.Sprintf("%d:%d:", n.oldestRunning(max(n.applied, n.visible), next), next)
	}
	var running []string
	for _, xid := range slices.Sorted(maps.Keys(n.active)) {
		running = append(running, strconv.FormatUint(xid, 10))
	}
	return fmt.Sprintf("%d:%d:%s", n.xidWatermark(), n.group.nextXID, strings.Join(running, ","))
}

// oldestRunning returns the lowest transaction id below next that is in progress as seen by a replica that has replayed
// the given number of records: its commit is later in the log or not logged yet. It returns next if there is none.
func (n *Node) oldestRunning(replayed int, next uint64) uint64 {
	lowest := next
	for _, r := range n.branch.records[replayed:] {
		lowest = min(lowest, r.xid)
	}
	for xid := range n.group.primary.active {
		if !n.branch.committed(xid, replayed) {
			lowest = min(lowest, xid)
		}
	}
	return lowest
}

// xidWatermark returns, on a primary, the lowest transaction id in progress: all below it have ended and are visible. On
// a replica it returns the lowest id above every transaction that is visible there.
func (n *Node) xidWatermark() uint64 {
	if !n.actsAsPrimary {
		return n.branch.nextXID(max(n.applied, n.visible))
	}
	lowest := n.group.nextXID
	for xid := range n.active {
		lowest = min(lowest, xid)
	}
	return lowest
}

// Pause stops a replica's replay between two records, as pg_wal_replay_pause does, or resumes it.
func (n *Node) Pause(on bool) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.replayPaused = on
	n.group.changed.Broadcast()
}

// standbys returns the running nodes that follow this one, as in pg_stat_replication: an address and a name each,
// separated by commas.
func (n *Node) standbys() string {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	var all []string
	for _, m := range n.group.nodes {
		if n.actsAsPrimary && m != n && m.running && m.branch == n.branch {
			all = append(all, cmp.Or(m.cfg.StandbyHost, "127.0.0.1")+" walreceiver")
		}
	}
	return strings.Join(all, ",")
}
