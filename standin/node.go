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

// Config describes the behavior of a node while no fault is injected.
type Config struct {
	Cores       int           // statements that run concurrently; at least 1
	Read        time.Duration // core time of a read
	Write       time.Duration // core time of a write
	ShipDelay   time.Duration // delay until a replica has received a log record
	ReplayTime  time.Duration // replay time of one record
	MaxConns    int           // further connections are refused with SQLSTATE 53300; 0 for no limit
	ColdFrom    float64       // share of full speed after a cold start, above 0 up to 1
	RampTime    time.Duration // time from a cold start to full speed, which rises linearly
	Password    string        // checked by SCRAM-SHA-256; none if empty
	CommitDelay time.Duration // delay from a commit's log record until the commit is visible
	// RemoteApply is the number of replicas that must have replayed a commit before it is visible on the primary and
	// answered, as with synchronous_commit = remote_apply.
	RemoteApply int
	// FlushDelay is the delay until a commit's record is flushed to disk and can be shipped to the replicas, while the commit
	// is visible and answered immediately, as with synchronous_commit off. A crash loses records not yet flushed.
	FlushDelay       time.Duration
	RepeatableRead   bool          // transactions are repeatable read by default: one snapshot each, not one per statement
	MaxRead          time.Duration // reads take from Read to this, log-uniformly distributed; 0 for Read
	LogSigma         float64       // standard deviation of the logarithm of core times, lognormal with means Read and Write; 0: constant
	ParetoShape      float64       // shape, above 1, of a Pareto distribution of core times instead of the lognormal one; 0 for none
	ConnectTime      time.Duration // time to open a connection; connections are opened one at a time
	StandbyHost      string        // host address of the node in its primary's pg_stat_replication; 127.0.0.1 if empty
	ReportParameters bool          // the node also reports its facts by ParameterStatus, as with an extension
}

// Node is one simulated PostgreSQL node. An injected fault lasts until another call ends it.
type Node struct {
	Name  string
	Zone  string
	group *Group
	cfg   Config
	addr  string
	cores chan struct{}

	// Under the group's lock.
	branch         *branch
	applied        int
	visible        int             // records that statements see: one more than applied while a record is being replayed
	hidden         map[uint64]bool // by LSN: logged here but not yet visible
	active         map[uint64]bool // transactions in progress on this node
	replayPaused   bool
	holdCommits    bool   // logged commits stay invisible and unanswered
	actsAsPrimary  bool   // whether or not it is its group's primary
	systemID       uint64 // system identifier of its cluster; 0 for defaultSystemID
	running        bool
	hung           bool
	replaySlowdown float64

	mu              sync.Mutex
	process         *process
	changed         *sync.Cond
	refusalCode     string // SQLSTATE sent for each connection and statement; "" for none
	stalledUntil    time.Time
	slowdown        float64       // factor on core times; below 1 counts as 1
	coldSince       time.Time     // time of the last cold start; zero if started warm
	disconnectAfter int           // bytes sent on a connection before it is closed; 0 for no limit
	connectDelay    time.Duration // extra time to open a connection
	connectQueueEnd time.Time     // when all accepted connections will have been opened, one after the other
	clockOffset     time.Duration // of the node's clock
	readAge         time.Duration // reads show data as of this long ago; 0 for current data
	cap             int           // connection limit in place of Config.MaxConns; 0 for none
	idleLimit       time.Duration // idle time after which a connection is silently lost; 0 for never
	link            Link
	lastConnID      uint64
	conns           map[uint64]*session
}

// Link simulates the network between a driver, given by its user name, and a node: it returns the one-way delay of a
// message, and the probability, from 0 to 1, that the message is lost. The node receives nothing more on a connection
// that lost a message.
type Link func(driver string) (delay time.Duration, lost float64)

// process is a node's process from one start to its end.
type process struct {
	ctx        context.Context
	cancel     context.CancelFunc
	listener   net.Listener
	goroutines sync.WaitGroup
}

// AddNode adds a member with the whole log and starts it warm, listening on a free loopback port. The group's first
// member is the primary. An error means that the node could not listen.
func (g *Group) AddNode(name, zone string, cfg Config) (*Node, error) {
	n := newNode(g, name, zone, cfg)
	g.mu.Lock()
	n.branch = g.branch
	n.applied = len(g.branch.records)
	n.visible = n.applied
	if g.primary == nil {
		g.primary, n.actsAsPrimary = n, true
	}
	g.nodes = append(g.nodes, n)
	g.mu.Unlock()
	return n, n.start()
}

func newNode(g *Group, name, zone string, cfg Config) *Node {
	n := &Node{Name: name, Zone: zone, group: g, cfg: cfg, cores: make(chan struct{}, max(1, cfg.Cores)),
		conns: map[uint64]*session{}, addr: "127.0.0.1:0"}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Addr returns the node's listen address, host:port; it is the same after a restart.
func (n *Node) Addr() string { return n.addr }

// Group returns the slice that the node belongs to.
func (n *Node) Group() *Group { return n.group }

// Running reports whether the node's process is running.
func (n *Node) Running() bool {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return n.running
}

// Capacity returns the reads per second that a warm node can run.
func (c *Config) Capacity() float64 { return float64(c.Cores) / c.Read.Seconds() }

func (n *Node) start() error {
	l, err := net.Listen("tcp", n.addr)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", n.Name, err)
	}
	n.addr = l.Addr().String()
	p := &process{listener: l}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	n.group.mu.Lock()
	n.running, n.hung = true, false
	n.group.mu.Unlock()
	p.goroutines.Add(2)
	go n.replayLog(p)
	go n.accept(p)
	return nil
}

func (n *Node) accept(p *process) {
	defer p.goroutines.Done()
	for {
		nc, err := p.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.lastConnID++
		s := &session{node: n, nc: nc, process: p, id: n.lastConnID, cancelKey: uint32(n.lastConnID*2654435761) | 1}
		n.conns[s.id] = s
		n.mu.Unlock()
		if p.ctx.Err() != nil {
			nc.Close() // accepted while the process was ending
		}
		n.group.trace.recordConns(n.Name, 1)
		p.goroutines.Add(1)
		go func() {
			defer p.goroutines.Done()
			s.serve()
			n.mu.Lock()
			delete(n.conns, s.id)
			n.mu.Unlock()
			n.group.trace.recordConns(n.Name, -1)
		}()
	}
}

// Crash crashes the node's process: its connections are closed and its log position stays, but a primary loses the
// records that it had not flushed to disk. It returns when all goroutines of the process have ended.
func (n *Node) Crash() {
	n.group.mu.Lock()
	n.running = false
	n.discardUnflushed()
	n.group.mu.Unlock()
	n.mu.Lock()
	p := n.process
	n.process = nil
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.cancel()
	p.listener.Close()
	n.mu.Lock()
	for _, s := range n.conns {
		s.nc.Close()
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.group.mu.Lock()
	n.group.changed.Broadcast()
	n.group.mu.Unlock()
	p.goroutines.Wait()
}

// Restart starts the node after a crash: cold, and as a replica if its slice has another primary now. It ends injected
// faults except those of replay, reads, held commits, links and the clock. An error means that the node could not listen
// on its address.
func (n *Node) Restart() error {
	g := n.group
	g.mu.Lock()
	n.actsAsPrimary = g.primary == n
	if !n.actsAsPrimary {
		n.follow(g.branch)
	}
	n.hidden, n.active, n.visible = nil, nil, n.applied // after recovery, every commit in the log is visible
	g.mu.Unlock()
	n.mu.Lock()
	n.coldSince, n.refusalCode, n.stalledUntil, n.slowdown, n.disconnectAfter, n.idleLimit, n.connectDelay, n.cap = time.Now(), "", time.Time{}, 0, 0, 0, 0, 0
	at := n.coldSince
	n.mu.Unlock()
	if err := n.start(); err != nil {
		return err
	}
	g.trace.recordStart(Start{Node: n.Name, At: at, Cold: true})
	return nil
}

// Hang makes the node, while on, accept connections and statements without answering them, and stop replay.
func (n *Node) Hang(on bool) {
	n.group.mu.Lock()
	n.hung = on
	n.group.changed.Broadcast()
	n.group.mu.Unlock()
	n.mu.Lock()
	n.changed.Broadcast()
	n.mu.Unlock()
}

// Stall makes the node answer nothing for d.
func (n *Node) Stall(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalledUntil = time.Now().Add(d)
}

// Slow multiplies the core time of statements; 1 ends the fault.
func (n *Node) Slow(times float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowdown = times
}

// SlowReplay multiplies the replay time of each record; 1 ends the fault.
func (n *Node) SlowReplay(times float64) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.replaySlowdown = times
}

// Refuse makes the node refuse connections and statements with a SQLSTATE; "" ends the fault. A code that begins with
// 57P0, except 57P03, also ends the session.
func (n *Node) Refuse(sqlstate string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusalCode = sqlstate
}

// DisconnectAfter makes the node close each connection after it has sent that many bytes on it, even within a message; 0
// ends the fault.
func (n *Node) DisconnectAfter(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnectAfter = bytes
}

// DelayConnect adds d to the time that opening a connection takes; 0 ends the fault.
func (n *Node) DelayConnect(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connectDelay = d
}

// connectWait reserves the time to open a new connection after those that are being opened, and returns the wait until
// it is open.
func (n *Node) connectWait() time.Duration {
	if n.cfg.ConnectTime == 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.connectQueueEnd.Before(now) {
		n.connectQueueEnd = now
	}
	n.connectQueueEnd = n.connectQueueEnd.Add(n.cfg.ConnectTime)
	return n.connectQueueEnd.Sub(now)
}

// LimitConns limits the node's connections; 0 restores the configured limit.
func (n *Node) LimitConns(conns int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cap = conns
}

// LoseIdle silently loses connections idle for longer than the given time: a message on a lost connection is never
// answered. 0 ends the fault for connections that are not lost yet.
func (n *Node) LoseIdle(idle time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idleLimit = idle
}

// ServeStale makes the node answer reads from data as old as age while it reports its current log position: a planted fault
// that a judge of the trace must find. 0 ends the fault.
func (n *Node) ServeStale(age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readAge = age
}

func (n *Node) staleness() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readAge
}

// recordsOlderThan returns how many of the first records are at least as old as age.
func (b *branch) recordsOlderThan(visible int, age time.Duration) int {
	if age == 0 {
		return visible
	}
	when := time.Now().Add(-age)
	return min(visible, sort.Search(len(b.records), func(i int) bool { return b.records[i].committedAt.After(when) }))
}

// SetLink sets the simulated link between the node and its drivers; nil removes it.
func (n *Node) SetLink(l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = l
}

// AddColdNode adds a member and starts it cold, as a replica whose copy of the log lacks the newest behind records. An
// error means that the node could not listen.
func (g *Group) AddColdNode(name, zone string, cfg Config, behind int) (*Node, error) {
	n := newNode(g, name, zone, cfg)
	g.mu.Lock()
	n.branch = g.branch
	n.applied = max(0, len(g.branch.records)-behind)
	n.visible = n.applied
	g.nodes = append(g.nodes, n)
	g.mu.Unlock()
	n.coldSince = time.Now()
	g.trace.recordStart(Start{Node: name, At: n.coldSince, Cold: true})
	return n, n.start()
}

// Close ends the processes of the group's nodes and returns when all of them have ended.
func (g *Group) Close() {
	for _, n := range g.Nodes() {
		n.Crash()
	}
}

// waitResponsive blocks while the node hangs or is stalled. It returns false if the process has ended.
func (n *Node) waitResponsive(p *process) bool {
	for p.ctx.Err() == nil {
		n.mu.Lock()
		for n.isHung() && p.ctx.Err() == nil {
			n.changed.Wait()
		}
		left := time.Until(n.stalledUntil)
		n.mu.Unlock()
		if left <= 0 {
			return p.ctx.Err() == nil
		}
		sleep(p.ctx, left)
	}
	return false
}

func (n *Node) isHung() bool {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return n.hung
}

// useCore occupies a core for a statement's core time at the node's current speed. It returns false if the process has
// ended.
func (n *Node) useCore(p *process, cost time.Duration) bool {
	if !n.acquireCore(p) {
		return false
	}
	defer n.releaseCore()
	return n.spendOnCore(p, cost)
}

// acquireCore waits for a free core. It returns false if the process has ended.
func (n *Node) acquireCore(p *process) bool {
	select {
	case n.cores <- struct{}{}:
		return true
	case <-p.ctx.Done():
		return false
	}
}

func (n *Node) releaseCore() { <-n.cores }

// spendOnCore waits for a statement's core time at the node's current speed, on a core that the caller has acquired. It
// returns false if the process has ended.
func (n *Node) spendOnCore(p *process, cost time.Duration) bool {
	sleep(p.ctx, time.Duration(float64(cost)*n.costFactor()))
	return n.waitResponsive(p)
}

// readCost draws the core time of one read.
func (c *Config) readCost() time.Duration {
	if c.MaxRead <= c.Read {
		return c.drawCost(c.Read)
	}
	return time.Duration(float64(c.Read) * math.Pow(float64(c.MaxRead)/float64(c.Read), rand.Float64()))
}

// drawCost draws the core time of one statement with the given mean.
func (c *Config) drawCost(mean time.Duration) time.Duration {
	switch {
	case c.ParetoShape > 1:
		return time.Duration(float64(mean) * min((c.ParetoShape-1)/c.ParetoShape*math.Pow(1-rand.Float64(), -1/c.ParetoShape), 1000))
	case c.LogSigma > 0:
		return time.Duration(float64(mean) * math.Exp(rand.NormFloat64()*c.LogSigma-c.LogSigma*c.LogSigma/2))
	}
	return mean
}

// costFactor returns the current factor on core times, from Slow and from warm-up.
func (n *Node) costFactor() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := max(1, n.slowdown)
	if age := time.Since(n.coldSince); !n.coldSince.IsZero() && age < n.cfg.RampTime {
		f /= n.cfg.ColdFrom + (1-n.cfg.ColdFrom)*age.Seconds()/n.cfg.RampTime.Seconds()
	}
	return f
}

func sleep(ctx context.Context, d time.Duration) {
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

// Position returns the position up to which the node has replayed the log.
func (n *Node) Position() position.Position {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return n.branch.position(n.applied)
}
