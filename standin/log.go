// Package standin plays db nodes: a primary and replicas in this process that speak the PostgreSQL protocol
// on loopback, keep a small table with a replicated log, and fail when told to. They record every statement
// that reaches them, so that what a driver did can be judged by its traffic alone. They are no database; what
// they understand is listed at run in sql.go.
package standin

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"umberladder/position"
)

// lsnStep is how many bytes of log one record takes.
const lsnStep = 64

// record is one commit.
type record struct {
	lsn   uint64
	key   string
	value string
	at    time.Time
}

// branch is the log of one timeline, the records inherited from older ones included.
type branch struct {
	timeline uint32
	records  []record
	byKey    map[string][]int // places in records, rising
}

func (b *branch) add(r record) {
	b.byKey[r.key] = append(b.byKey[r.key], len(b.records))
	b.records = append(b.records, r)
}

// fork begins the next timeline after the first n records.
func (b *branch) fork(n int) *branch {
	next := &branch{timeline: b.timeline + 1, byKey: map[string][]int{}}
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

// value is what a key held after the first n records, with the place of its record.
func (b *branch) value(key string, n int) (value string, lsn uint64, ok bool) {
	places := b.byKey[key]
	i := sort.SearchInts(places, n)
	if i == 0 {
		return "", 0, false
	}
	r := b.records[places[i-1]]
	return r.value, r.lsn, true
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

	mu      sync.Mutex
	moved   *sync.Cond // the log or a member's place in it changed
	nodes   []*Node
	primary *Node
	branch  *branch // of the present primary
	commits []Commit
	forks   []position.Position // where each timeline began
	keyed   map[string]keyedRun // repeats that are discarded
	window  time.Duration
}

type keyedRun struct {
	at  time.Time
	lsn uint64
}

// NewGroup makes a slice without nodes. Repeats of an idempotency key are discarded for window.
func NewGroup(name string, window time.Duration, trace *Trace) *Group {
	g := &Group{Name: name, trace: trace, branch: &branch{timeline: 1, byKey: map[string][]int{}},
		keyed: map[string]keyedRun{}, window: window}
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
	g.branch = n.branch.fork(n.applied)
	g.forks = append(g.forks, g.branch.at(n.applied))
	g.primary = n
	for _, m := range g.nodes {
		if m == old && m != n && m.running {
			continue
		}
		m.believes = false
		m.follow(g.branch)
	}
	n.believes = true
	n.applied = len(g.branch.records)
	g.moved.Broadcast()
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
}

// write appends a commit at the primary of n's own branch and returns its place. A repeat of an idempotency
// key within the window changes nothing.
func (g *Group) write(n *Node, key, value, idempotency string) (position.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if run, ok := g.keyed[idempotency]; idempotency != "" && ok && now.Sub(run.at) < g.window {
		return position.Position{Timeline: n.branch.timeline, LSN: run.lsn}, false
	}
	r := record{lsn: lsnStep * uint64(len(n.branch.records)+2), key: key, value: value, at: now}
	n.branch.add(r)
	n.applied = len(n.branch.records)
	at := n.branch.at(n.applied)
	g.commits = append(g.commits, Commit{key, value, now, at, n.Name})
	if idempotency != "" {
		g.keyed[idempotency] = keyedRun{now, r.lsn}
	}
	g.moved.Broadcast()
	return at, true
}

// apply is the single thread by which a replica replays the log. It ends with the node's run.
func (n *Node) apply(run *run) {
	g := n.group
	stop := func() bool { return run.ctx.Err() != nil }
	defer run.done.Done()
	for {
		g.mu.Lock()
		for !stop() && (n.believes || n.hung || n.applied >= len(n.branch.records)) {
			g.moved.Wait()
		}
		if stop() {
			g.mu.Unlock()
			return
		}
		b, next := n.branch, n.branch.records[n.applied]
		due := next.at.Add(n.cfg.Ship)
		cost := time.Duration(float64(n.cfg.Apply) * max(1, n.slowApply))
		g.mu.Unlock()
		pause(run.ctx, time.Until(due))
		pause(run.ctx, cost) // one that is behind needs as long for each record
		g.mu.Lock()
		if n.branch == b && !n.believes && n.applied < len(b.records) && b.records[n.applied] == next {
			n.applied++
		}
		g.mu.Unlock()
	}
}
