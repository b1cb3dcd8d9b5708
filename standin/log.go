// Package standin plays db nodes: a primary and replicas in this process that speak the PostgreSQL protocol
// on loopback, keep a small table with a replicated log, and fail when told to. They record every statement
// that reaches them, so that what a driver did can be judged by its traffic alone. They are no database; what
// they understand is listed at run in sql.go.
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

// lsnStep is how many bytes of log one record takes.
const lsnStep = 64

// firstXID is the id of the first transaction.
const firstXID = 700

// record is one commit.
type record struct {
	lsn   uint64
	key   string
	value string
	at    time.Time
	xid   uint64
	below uint64 // no transaction at or above it is in the log up to here
}

// branch is the log of one timeline, the records inherited from older ones included.
type branch struct {
	timeline uint32
	records  []record
	byKey    map[string][]int // places in records, rising
	byXID    map[uint64]int   // where in records a transaction's commit was put
}

func (b *branch) add(r record) {
	r.below = max(r.xid+1, b.below(len(b.records)))
	b.byKey[r.key] = append(b.byKey[r.key], len(b.records))
	b.byXID[r.xid] = len(b.records)
	b.records = append(b.records, r)
}

// committed tells whether a transaction's commit is one of the first n records.
func (b *branch) committed(xid uint64, n int) bool {
	i, ok := b.byXID[xid]
	return ok && i < n && b.records[i].xid == xid
}

// below is above every transaction of the first n records.
func (b *branch) below(n int) uint64 {
	if n == 0 {
		return firstXID
	}
	return b.records[n-1].below
}

func newBranch(timeline uint32) *branch {
	return &branch{timeline: timeline, byKey: map[string][]int{}, byXID: map[uint64]int{}}
}

// fork begins the next timeline after the first n records.
func (b *branch) fork(n int) *branch {
	next := newBranch(b.timeline + 1)
	for _, r := range b.records[:n] {
		next.add(r)
	}
	return next
}

// at is where a member stands that has applied the first n records.
func (b *branch) at(n int) position.Position {
	p := position.Position{Timeline: b.timeline, LSN: lsnStep}
	if n > 0 {
		p.LSN = b.records[n-1].lsn
	}
	return p
}

// snapshot is what a statement sees: the first n records of a branch without those that are logged and not visible.
type snapshot struct {
	group   *Group
	branch  *branch
	n       int
	hidden  map[uint64]bool // by LSN
	replica bool
	over    uint64 // every transaction below it is over and shown
}

func (s *snapshot) at() position.Position {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.branch.at(s.n)
}

// value is what a key holds, with the place of its record.
func (s *snapshot) value(key string) (value string, lsn uint64, ok bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	places := s.branch.byKey[key]
	for i := sort.SearchInts(places, s.n) - 1; i >= 0; i-- {
		if r := s.branch.records[places[i]]; !s.hidden[r.lsn] {
			return r.value, r.lsn, true
		}
	}
	return "", 0, false
}

// look takes a snapshot of what the node shows now.
func (n *Node) look() snapshot {
	age := n.age()
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return snapshot{group: n.group, branch: n.branch, n: n.branch.before(max(n.applied, n.shown), age), hidden: maps.Clone(n.hidden), replica: !n.believes,
		over: n.over()}
}

// Commit is one write that a primary took, as its group remembers it.
type Commit struct {
	Key, Value string
	At         time.Time
	Position   position.Position
	Node       string
}

// Group is one slice: nodes that share a log.
type Group struct {
	Name  string
	trace *Trace

	mu       sync.Mutex
	moved    *sync.Cond // the log or a member's place in it changed
	nodes    []*Node
	primary  *Node
	branch   *branch // of the present primary
	commits  []Commit
	forks    []position.Position // where each timeline began
	promoted []time.Time
	keyed    map[string]keyedRun // repeats that are discarded
	xid      uint64              // the next transaction's
	window   time.Duration
}

type keyedRun struct {
	at  time.Time
	lsn uint64
}

// NewGroup makes a slice without nodes. Repeats of an idempotency key are discarded for window.
func NewGroup(name string, window time.Duration, trace *Trace) *Group {
	g := &Group{Name: name, trace: trace, branch: newBranch(1),
		keyed: map[string]keyedRun{}, window: window, xid: firstXID}
	g.moved = sync.NewCond(&g.mu)
	g.forks = []position.Position{g.branch.at(0)}
	return g
}

// Nodes lists the members in the order in which they were added.
func (g *Group) Nodes() []*Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Node(nil), g.nodes...)
}

// Primary is the present primary.
func (g *Group) Primary() *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Commits lists every write that was taken, on any timeline, in order.
func (g *Group) Commits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.commits...)
}

// Log lists the commits of the present history in its order, and which others a promotion left out.
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

// TimelineAt is the timeline of the slice's primary at a time.
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

// Survives tells whether a place of the log is part of a timeline's history.
func (g *Group) Survives(p position.Position, timeline uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for t := p.Timeline; t < timeline && int(t) < len(g.forks); t++ {
		if p.LSN > g.forks[t].LSN {
			return false
		}
	}
	return p.Timeline <= timeline
}

// history is a timeline's history file: where each older one was left.
func (n *Node) history(timeline uint32) string {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	var b strings.Builder
	for t := uint32(1); t < timeline && int(t) < len(n.group.forks); t++ {
		_, lsn, _ := strings.Cut(n.group.forks[t].String(), ":")
		fmt.Fprintf(&b, "%d\t%s\tno recovery target specified\n", t, lsn)
	}
	return b.String()
}

// Promote makes a member the primary of a new timeline. The others that run follow it, giving up what they
// have beyond its place. A former primary that still runs goes on believing in itself until it starts again.
func (g *Group) Promote(n *Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.primary
	n.applied = max(n.applied, n.shown) // a record whose replay began is replayed to its end
	g.branch = n.branch.fork(n.applied)
	g.forks = append(g.forks, g.branch.at(n.applied))
	g.primary = n
	g.promoted = append(g.promoted, time.Now())
	for _, m := range g.nodes {
		if m == old && m != n && m.running {
			continue
		}
		m.believes = false
		m.follow(g.branch)
	}
	n.believes = true
	n.applied = len(g.branch.records)
	n.shown = n.applied
	g.moved.Broadcast()
}

// Promotions are when members became primary, the first one apart.
func (g *Group) Promotions() []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]time.Time(nil), g.promoted...)
}

// MostAdvanced is the running replica that has applied the most, nil if there is none.
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

// follow puts a member onto a branch, keeping what both share.
func (n *Node) follow(b *branch) {
	if n.branch != b {
		shared := 0
		for shared < n.applied && shared < len(b.records) && n.branch.records[shared] == b.records[shared] {
			shared++
		}
		n.branch, n.applied = b, shared
	}
	n.shown, n.hidden, n.active = n.applied, nil, nil
}

// begin gives a writing transaction its id.
func (n *Node) begin() uint64 {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	xid := n.group.xid
	n.group.xid++
	if n.active == nil {
		n.active = map[uint64]bool{}
	}
	n.active[xid] = true
	return xid
}

// end makes a transaction visible, or forgets one that came to nothing.
func (n *Node) end(xid uint64, at position.Position) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	delete(n.active, xid)
	if n.branch.timeline == at.Timeline {
		delete(n.hidden, at.LSN)
	}
}

// write appends a commit at the primary of n's own branch and returns its place. The commit does not show before
// end. A repeat of an idempotency key within the window changes nothing.
func (g *Group) write(n *Node, xid uint64, key, value, idempotency string) (position.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if run, ok := g.keyed[idempotency]; idempotency != "" && ok && now.Sub(run.at) < g.window {
		return position.Position{Timeline: n.branch.timeline, LSN: run.lsn}, false
	}
	r := record{lsn: lsnStep * uint64(len(n.branch.records)+2), key: key, value: value, at: now, xid: xid}
	n.branch.add(r)
	n.applied = len(n.branch.records)
	n.shown = n.applied
	if n.hidden == nil {
		n.hidden = map[uint64]bool{}
	}
	n.hidden[r.lsn] = true
	at := n.branch.at(n.applied)
	g.commits = append(g.commits, Commit{key, value, now, at, n.Name})
	if idempotency != "" {
		g.keyed[idempotency] = keyedRun{now, r.lsn}
	}
	g.moved.Broadcast()
	return at, true
}

// settle waits until a logged commit may show: for as long as the node takes, and for its synchronous standbys.
// false once the process is over.
func (n *Node) settle(run *run, at position.Position) bool {
	pause(run.ctx, n.cfg.Settle)
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	for run.ctx.Err() == nil && n.branch.timeline == at.Timeline && (n.holding || g.appliedBy(at) < n.cfg.RemoteApply) {
		g.moved.Wait()
	}
	return run.ctx.Err() == nil
}

// HoldCommits keeps commits that are logged from showing on the node and from being answered, until told otherwise:
// the moment between a commit's record and the end of its transaction, made as long as a test wants it. Replicas
// replay the record all the while.
func (n *Node) HoldCommits(on bool) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.holding = on
	n.group.moved.Broadcast()
}

// OpenTransaction begins a transaction on the node that has written something and goes on until end is called. It
// changes nothing that anybody reads.
func (n *Node) OpenTransaction() (end func()) {
	xid := n.begin()
	return func() { n.end(xid, position.Position{}) }
}

// appliedBy counts the replicas that have replayed a place.
func (g *Group) appliedBy(at position.Position) (count int) {
	for _, m := range g.nodes {
		if !m.believes && m.running && m.branch.at(m.applied).Covers(at) {
			count++
		}
	}
	return count
}

// apply is the single thread by which a replica replays the log. It ends with the node's run.
func (n *Node) apply(run *run) {
	g := n.group
	stop := func() bool { return run.ctx.Err() != nil }
	defer run.done.Done()
	for {
		g.mu.Lock()
		for !stop() && (n.believes || n.hung || n.paused || n.applied >= len(n.branch.records)) {
			g.moved.Wait()
		}
		if stop() {
			g.mu.Unlock()
			return
		}
		b, next := n.branch, n.branch.records[n.applied]
		due := next.at.Add(n.cfg.Ship + n.cfg.Async)
		cost := time.Duration(float64(n.cfg.Apply) * max(1, n.slowApply))
		g.mu.Unlock()
		pause(run.ctx, time.Until(due))
		pause(run.ctx, cost/2) // one that is behind needs as long for each record
		n.replayed(b, next, false)
		pause(run.ctx, cost-cost/2)
		n.replayed(b, next, true)
	}
}

// replayed moves a replica beyond a record: first it shows, then the node's place moves.
func (n *Node) replayed(b *branch, r record, whole bool) {
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.branch != b || n.believes || n.applied >= len(b.records) || b.records[n.applied] != r {
		return
	}
	n.shown = n.applied + 1
	if whole {
		n.applied = n.shown
		g.moved.Broadcast()
	}
}

// unwritten takes from the log of a primary that crashes what has not reached its disk.
func (n *Node) unwritten() {
	if !n.believes || n.cfg.Async == 0 || n != n.group.primary {
		return
	}
	b := n.branch
	for k := len(b.records); k > 0 && time.Since(b.records[k-1].at) < n.cfg.Async; k-- {
		key := b.records[k-1].key
		b.records, b.byKey[key] = b.records[:k-1], b.byKey[key][:len(b.byKey[key])-1]
	}
	n.applied = len(b.records)
	n.shown = n.applied
}

// received is the end of the log that a replica has, replayed or not.
func (n *Node) received() uint64 {
	at := n.applied
	for at < len(n.branch.records) && time.Since(n.branch.records[at].at) >= n.cfg.Ship+n.cfg.Async {
		at++
	}
	return n.branch.at(at).LSN
}

// snapshot is what pg_current_snapshot tells on the node: the lowest transaction that is not over, the first that has
// not begun, and on a primary those between that run. A server in recovery does not list them.
func (n *Node) snapshot() string {
	if !n.believes {
		next := n.over()
		return fmt.Sprintf("%d:%d:", n.oldest(max(n.applied, n.shown), next), next)
	}
	var running []string
	for _, xid := range slices.Sorted(maps.Keys(n.active)) {
		running = append(running, strconv.FormatUint(xid, 10))
	}
	return fmt.Sprintf("%d:%d:%s", n.over(), n.group.xid, strings.Join(running, ","))
}

// oldest is the lowest transaction below next that runs as far as a replica knows that has replayed the first records:
// its commit is further on in the log, or the primary has not come to it.
func (n *Node) oldest(replayed int, next uint64) uint64 {
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

// over is the transaction id below which all are over and shown on the node.
func (n *Node) over() uint64 {
	if !n.believes {
		return n.branch.below(max(n.applied, n.shown))
	}
	lowest := n.group.xid
	for xid := range n.active {
		lowest = min(lowest, xid)
	}
	return lowest
}

// Pause stops a replica's replay between two records, as pg_wal_replay_pause does, or lets it go on.
func (n *Node) Pause(on bool) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.paused = on
	n.group.moved.Broadcast()
}

// standbys tells who follows the node, as pg_stat_replication does: an address and a name each.
func (n *Node) standbys() string {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	var all []string
	for _, m := range n.group.nodes {
		if n.believes && m != n && m.running && m.branch == n.branch {
			all = append(all, cmp.Or(m.cfg.From, "127.0.0.1")+" walreceiver")
		}
	}
	return strings.Join(all, ",")
}
