package standin

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"time"

	"umberladder/position"
)

// Config is how a node behaves when nothing is wrong.
type Config struct {
	Cores    int           // statements that run at once
	Read     time.Duration // work of a read
	Write    time.Duration // work of a write
	Ship     time.Duration // until a replica has a record of the log
	Apply    time.Duration // to replay one record
	MaxConns int           // more connections are refused with 53300
	ColdFrom float64       // share of its speed that it starts with
	Ramp     time.Duration // until it is warm
	Password string        // asked for by SCRAM-SHA-256; none if empty
	Settle   time.Duration // from a commit's record in the log until the commit shows
	// RemoteApply is how many replicas must have replayed a commit before it shows and is answered, as with
	// synchronous_commit = remote_apply.
	RemoteApply int
	// Async is how long a commit's record takes to reach the disk, and so the replicas, though the commit shows and is
	// answered at once, as with synchronous_commit off. A crash loses what has not.
	Async      time.Duration
	Repeatable bool          // transactions are repeatable read by default: a snapshot for each, not each statement
	ReadMost   time.Duration // reads take between Read and this, evenly by the logarithm; 0 for Read
	Spread     float64       // of the logarithm of work, which is lognormal with Read and Write for its means; 0 for none
	Tail       float64       // index of a Pareto tail, above 1, in place of Spread; 0 for none
	Greet      time.Duration // what opening a connection takes, one at a time
	From       string        // the address that its primary sees it at; 127.0.0.1 if empty
	Params     bool          // facts are told by parameters too, as with an extension
}

// Node is one db node.
type Node struct {
	Name  string
	Hall  string
	group *Group
	cfg   Config
	addr  string
	slots chan struct{}

	// Under the group's lock.
	branch    *branch
	applied   int
	shown     int             // records that statements see: one more than applied while that one is being replayed
	hidden    map[uint64]bool // by LSN: logged here and not visible yet
	active    map[uint64]bool // transactions that are not over here
	paused    bool            // its replay is
	holding   bool            // logged commits do not show until it ends
	believes  bool            // it takes itself for the primary
	cluster   uint64          // that it is of, 0 for the group's
	running   bool
	hung      bool
	slowApply float64

	mu       sync.Mutex
	run      *run
	changed  *sync.Cond
	refusing string // SQLSTATE for whoever connects or asks; "" for none
	stalled  time.Time
	slow     float64       // work takes so many times as long
	cold     time.Time     // since when it has been warming; zero for warm
	cut      int           // bytes of answers until a connection is cut; 0 for never
	greeting time.Duration // what opening a connection takes
	greeted  time.Time     // when the last of those that came will have been, with Config.Greet
	jumped   time.Duration // of its clock
	old      time.Duration // reads show data as of so long ago: a fault on purpose
	cap      int           // connections taken, in place of the configuration's; 0 for that
	reap     time.Duration // a connection unused for longer is dropped unseen; 0 for never
	link     Link
	nextConn uint64
	conns    map[uint64]*session
}

// Link tells what the way between a driver and a node does to what is sent on it: the delay each way, and the
// share that is lost. A connection on which something was lost is silent from then on.
type Link func(driver string) (delay time.Duration, lost float64)

// run is one life of a node's process.
type run struct {
	ctx      context.Context
	end      context.CancelFunc
	listener net.Listener
	done     sync.WaitGroup
}

// AddNode adds a member and starts it, warm. The first is the primary.
func (g *Group) AddNode(name, hall string, cfg Config) (*Node, error) {
	n := newNode(g, name, hall, cfg)
	g.mu.Lock()
	n.branch = g.branch
	n.applied = len(g.branch.records)
	n.shown = n.applied
	if g.primary == nil {
		g.primary, n.believes = n, true
	}
	g.nodes = append(g.nodes, n)
	g.mu.Unlock()
	return n, n.start()
}

func newNode(g *Group, name, hall string, cfg Config) *Node {
	n := &Node{Name: name, Hall: hall, group: g, cfg: cfg, slots: make(chan struct{}, max(1, cfg.Cores)),
		conns: map[uint64]*session{}, addr: "127.0.0.1:0"}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Addr is where the node listens; it stays the same over restarts.
func (n *Node) Addr() string { return n.addr }

// Group is the slice that the node belongs to.
func (n *Node) Group() *Group { return n.group }

// Running tells whether the node's process runs.
func (n *Node) Running() bool {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return n.running
}

// Capacity is how many reads a second a warm node can do.
func (c *Config) Capacity() float64 { return float64(c.Cores) / c.Read.Seconds() }

func (n *Node) start() error {
	l, err := net.Listen("tcp", n.addr)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", n.Name, err)
	}
	n.addr = l.Addr().String()
	r := &run{listener: l}
	r.ctx, r.end = context.WithCancel(context.Background())
	n.mu.Lock()
	n.run = r
	n.mu.Unlock()
	n.group.mu.Lock()
	n.running, n.hung = true, false
	n.group.mu.Unlock()
	r.done.Add(2)
	go n.apply(r)
	go n.accept(r)
	return nil
}

func (n *Node) accept(r *run) {
	defer r.done.Done()
	for {
		nc, err := r.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.nextConn++
		s := &session{node: n, nc: nc, run: r, id: n.nextConn, secret: uint32(n.nextConn*2654435761) | 1}
		n.conns[s.id] = s
		n.mu.Unlock()
		if r.ctx.Err() != nil {
			nc.Close() // it came while the process ended
		}
		n.group.trace.connected(n.Name, 1)
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			s.serve()
			n.mu.Lock()
			delete(n.conns, s.id)
			n.mu.Unlock()
			n.group.trace.connected(n.Name, -1)
		}()
	}
}

// Die ends the node's process at once: connections break, its place in the log stays. It returns when all of
// it is over.
func (n *Node) Die() {
	n.group.mu.Lock()
	n.running = false
	n.unwritten()
	n.group.mu.Unlock()
	n.mu.Lock()
	r := n.run
	n.run = nil
	n.mu.Unlock()
	if r == nil {
		return
	}
	r.end()
	r.listener.Close()
	n.mu.Lock()
	for _, s := range n.conns {
		s.nc.Close()
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.group.mu.Lock()
	n.group.moved.Broadcast()
	n.group.mu.Unlock()
	r.done.Wait()
}

// Restart starts the node again after Die, cold, as a replica if its slice has another primary by now.
func (n *Node) Restart() error {
	g := n.group
	g.mu.Lock()
	n.believes = g.primary == n
	if !n.believes {
		n.follow(g.branch)
	}
	n.hidden, n.active, n.shown = nil, nil, n.applied // recovery ends or shows what was in the log
	g.mu.Unlock()
	n.mu.Lock()
	n.cold, n.refusing, n.stalled, n.slow, n.cut, n.reap, n.greeting, n.cap = time.Now(), "", time.Time{}, 0, 0, 0, 0, 0
	at := n.cold
	n.mu.Unlock()
	if err := n.start(); err != nil {
		return err
	}
	g.trace.started(Start{Node: n.Name, At: at, Cold: true})
	return nil
}

// Hang makes the node accept everything and answer nothing, until told otherwise.
func (n *Node) Hang(on bool) {
	n.group.mu.Lock()
	n.hung = on
	n.group.moved.Broadcast()
	n.group.mu.Unlock()
	n.mu.Lock()
	n.changed.Broadcast()
	n.mu.Unlock()
}

// Stall makes the node stand still for a while.
func (n *Node) Stall(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled = time.Now().Add(d)
}

// Slow makes work take so many times as long; 1 ends that.
func (n *Node) Slow(times float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow = times
}

// Lag makes replaying the log take so many times as long; 1 ends that.
func (n *Node) Lag(times float64) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.slowApply = times
}

// Refuse makes the node turn connections and statements away with a SQLSTATE; "" ends that.
func (n *Node) Refuse(sqlstate string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing = sqlstate
}

// CutAfter makes each connection break off in the middle of its answers after so many more bytes; 0 ends that.
func (n *Node) CutAfter(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = bytes
}

// Greet makes opening a connection take so long; 0 ends that.
func (n *Node) Greet(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.greeting = d
}

// greets is how long a connection that came now waits for the node's part in opening it, and those before it.
func (n *Node) greets() time.Duration {
	if n.cfg.Greet == 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.greeted.Before(now) {
		n.greeted = now
	}
	n.greeted = n.greeted.Add(n.cfg.Greet)
	return n.greeted.Sub(now)
}

// Cap makes the node take no more than so many connections; 0 ends that.
func (n *Node) Cap(conns int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cap = conns
}

// Reap makes connections unused for longer than idle drop unseen: what comes on one is never answered. 0 ends
// that for connections that were not dropped yet.
func (n *Node) Reap(idle time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reap = idle
}

// Old makes the node answer reads from data as of so long ago, while it says that it stands where it does: a fault put
// in on purpose, for those who judge. 0 ends that.
func (n *Node) Old(age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.old = age
}

func (n *Node) age() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.old
}

// before is how many records, of the first ones, are as old as that or older.
func (b *branch) before(shown int, age time.Duration) int {
	if age == 0 {
		return shown
	}
	when := time.Now().Add(-age)
	return min(shown, sort.Search(len(b.records), func(i int) bool { return b.records[i].at.After(when) }))
}

// Through puts a link between the node and its drivers; nil takes it away.
func (n *Node) Through(l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = l
}

// AddColdNode adds a member that starts now, cold, from a copy of the log that lacks the newest records.
func (g *Group) AddColdNode(name, hall string, cfg Config, behind int) (*Node, error) {
	n := newNode(g, name, hall, cfg)
	g.mu.Lock()
	n.branch = g.branch
	n.applied = max(0, len(g.branch.records)-behind)
	n.shown = n.applied
	g.nodes = append(g.nodes, n)
	g.mu.Unlock()
	n.cold = time.Now()
	g.trace.started(Start{Node: name, At: n.cold, Cold: true})
	return n, n.start()
}

// Close ends the group's nodes.
func (g *Group) Close() {
	for _, n := range g.Nodes() {
		n.Die()
	}
}

// gate holds whoever wants to work while the node hangs or stands still; false once the process is over.
func (n *Node) gate(r *run) bool {
	for r.ctx.Err() == nil {
		n.mu.Lock()
		for n.isHung() && r.ctx.Err() == nil {
			n.changed.Wait()
		}
		left := time.Until(n.stalled)
		n.mu.Unlock()
		if left <= 0 {
			return r.ctx.Err() == nil
		}
		pause(r.ctx, left)
	}
	return false
}

func (n *Node) isHung() bool {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return n.hung
}

// work holds a core for the time that a statement takes at the node's present speed.
func (n *Node) work(r *run, cost time.Duration) bool {
	if !n.hold(r) {
		return false
	}
	defer n.free()
	return n.toil(r, cost)
}

// hold waits for a core.
func (n *Node) hold(r *run) bool {
	select {
	case n.slots <- struct{}{}:
		return true
	case <-r.ctx.Done():
		return false
	}
}

func (n *Node) free() { <-n.slots }

// toil spends the time of some work on a core that is held.
func (n *Node) toil(r *run, cost time.Duration) bool {
	pause(r.ctx, time.Duration(float64(cost)*n.slowness()))
	return n.gate(r)
}

// readCost is the work of one read.
func (c *Config) readCost() time.Duration {
	if c.ReadMost <= c.Read {
		return c.drawn(c.Read)
	}
	return time.Duration(float64(c.Read) * math.Pow(float64(c.ReadMost)/float64(c.Read), rand.Float64()))
}

// drawn is the work of one statement, given its mean.
func (c *Config) drawn(mean time.Duration) time.Duration {
	switch {
	case c.Tail > 1:
		return time.Duration(float64(mean) * min((c.Tail-1)/c.Tail*math.Pow(1-rand.Float64(), -1/c.Tail), 1000))
	case c.Spread > 0:
		return time.Duration(float64(mean) * math.Exp(rand.NormFloat64()*c.Spread-c.Spread*c.Spread/2))
	}
	return mean
}

// slowness is how many times as long as usual work takes now.
func (n *Node) slowness() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := max(1, n.slow)
	if age := time.Since(n.cold); !n.cold.IsZero() && age < n.cfg.Ramp {
		f /= n.cfg.ColdFrom + (1-n.cfg.ColdFrom)*age.Seconds()/n.cfg.Ramp.Seconds()
	}
	return f
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Stands is where the node stands in the log.
func (n *Node) Stands() position.Position {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return n.branch.at(n.applied)
}
