// Package explore is a model checker: it takes a Config of clients, nodes and possible faults, and runs the real engine of
// package driver through every order of events up to a depth, or through random walks. It returns the number of states and
// the violations found of the properties in properties.go, each with the events that lead to it. Package main of
// cmd/umberladder calls it for "umberladder explore".
package explore

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"umberladder/balance"
	"umberladder/driver"
	"umberladder/pgwire"
	"umberladder/position"
	"umberladder/token"
)

const ms = time.Millisecond

// Config describes the modeled cluster, its clients and the faults that may occur.
type Config struct {
	Clients        int      // client i makes the requests of Script[i%len(Script)] in sequence
	Nodes          int      // nodes of the only slice; the first one is primary
	Depth          int      // maximum number of events in a path
	Resets         int      // maximum number of connections that break
	Drains         int      // maximum number of nodes that the node list marks as draining
	Crashes        int      // maximum number of primaries that crash; a replica is promoted each time
	StalePrimaries int      // maximum number of primaries that are deposed without noticing
	Disconnects    int      // maximum number of clients that disconnect with a request pending
	Script         []string // class names of the requests of a client, separated by spaces
}

// Default returns a Config of two clients and three nodes with at most one fault of each kind.
func Default() Config {
	return Config{Clients: 2, Nodes: 3, Depth: 9, Resets: 1, Drains: 1, Crashes: 1, StalePrimaries: 1, Disconnects: 1, Script: []string{"write own", "post"}}
}

// classes returns the request classes of the newsroom example and a keyed write.
func classes() []balance.Class {
	return []balance.Class{
		{Name: "article", Need: balance.NeedBounded, Bound: 200 * ms, Target: 400 * ms, Deadline: time.Second, Value: 2},
		{Name: "own", Need: balance.NeedSession, Target: 250 * ms, Deadline: time.Second, Value: 1},
		{Name: "write", Effect: balance.Unsafe, Need: balance.NeedWrite, Target: 500 * ms, Deadline: 2 * time.Second, Value: 6, LateValue: 0.5},
		{Name: "post", Effect: balance.Keyed, Need: balance.NeedWrite, Window: time.Second, Target: 500 * ms, Deadline: 2 * time.Second, Value: 6},
		{Name: "fresh", Need: balance.NeedFresh, Target: 400 * ms, Deadline: time.Second, Value: 1},
	}
}

func engineConfig() driver.Config {
	return driver.Config{Zones: []string{"a"}, MaxOpen: 100, PoolSize: 2, IdleClose: 2 * time.Second, Linger: time.Second, PollTimeout: 250 * ms, ClockAge: 50 * ms, AnswerMargin: 20 * ms,
		StartWithin: time.Second, CancelWork: true, SessionBytes: 1 << 16,
		Router: balance.Config{Classes: classes(), Routers: 1, MinBatchInterval: ms, Positions: true, DrainGrace: 500 * ms, AnswerSlack: 20 * ms, ColdFrom: 0.2, RampTime: 10 * time.Second,
			ColdOverloadMultiple: 3, ColdOverloadWindow: time.Second, Cancel: true, Probing: true, AttemptLimit: 10, RetryAfter: true, MaxRetryAfter: time.Second, DialTimeout: 250 * ms}}
}

// startTime is the engine's time at the start. It exceeds minTimestamp, by which the hash distinguishes times from
// durations.
const startTime = 1000 * time.Hour

// World is the engine under test and a model of its environment: nodes, connections and clients.
type World struct {
	cfg     Config
	engine  *driver.Engine
	now     time.Duration
	nodes   []*node
	conns   map[driver.ConnID]*simConn
	clients []*client
	reqs    map[driver.RequestID]*request
	lastReq driver.RequestID
	faults  faultCounts
	drained map[string]time.Duration // time at which the driver was notified of each node's drain
	log     []commit                 // writes that nodes have run, in order
	broken  []string
	trace   []string // text of the commands of the last event
	tracing bool     // whether trace is filled
	seen    map[string]bool
}

// faultCounts counts the faults that have occurred, each bounded by the Config.
type faultCounts struct{ resets, drains, crashes, stalePrimaries, disconnects int }

type node struct {
	name     string
	primary  bool
	timeline uint32
	applied  int // log records applied on its timeline
	down     bool
}

type commit struct {
	request  driver.RequestID
	timeline uint32
	lsn      uint64
}

type simConn struct {
	id      driver.ConnID
	node    *node
	dialing bool
	pending *exchange
}

// exchange is one query sent to a node and its pending reply.
type exchange struct {
	request       driver.RequestID
	write         bool
	guard         driver.Guard
	ran           bool // the node has run it; the reply is in flight
	cancelPending bool // a cancel is in flight
	sent          time.Duration
	result        driver.Result
}

type client struct {
	script    []string
	next      int
	current   driver.RequestID // pending request, 0 for none
	token     token.Token      // not part of the state hash, which skips fields of this name
	lastWrite commit           // last write that was served
}

type request struct {
	client       int
	class        int
	deadline     time.Duration
	sends        int             // attempts sent to nodes
	inFlight     int             // exchanges that may still run or whose reply is pending
	runs         int             // times that nodes ran its write; a keyed write counts once
	maybeRan     []time.Duration // send times of the attempts that may have run
	answers      int
	disconnected bool
	need         position.Position
}

// New returns a World in which the driver has polled its nodes and connected to them, with no request pending. It returns
// an error if the engine rejects its configuration.
func New(cfg Config) (*World, error) {
	e, err := driver.New(engineConfig(), 1)
	if err != nil {
		return nil, err
	}
	w := &World{cfg: cfg, engine: e, now: startTime, conns: map[driver.ConnID]*simConn{}, reqs: map[driver.RequestID]*request{}, drained: map[string]time.Duration{}, seen: map[string]bool{}}
	for i := range cfg.Nodes {
		w.nodes = append(w.nodes, &node{name: string(rune('a' + i)), primary: i == 0, timeline: 1})
	}
	for i := range cfg.Clients {
		w.clients = append(w.clients, &client{script: strings.Fields(cfg.Script[i%len(cfg.Script)])})
	}
	w.step(w.nodeList())
	for range 400 { // until the engine has polled each node and opened its connections
		if !w.completeDials() && w.now > startTime+300*ms {
			break
		}
		w.advance()
	}
	w.broken = nil
	return w, nil
}

func (w *World) nodeList() driver.Event {
	ev := driver.Event{Kind: driver.EventNodeList, List: balance.ListFull}
	for _, n := range w.nodes {
		life := balance.LifeReady
		if _, ok := w.drained[n.name]; ok {
			life = balance.LifeDraining
		}
		ev.Nodes = append(ev.Nodes, driver.Node{Name: n.name, Address: n.name + ":1", Slice: "s", Zone: "a", Life: life})
	}
	return ev
}

// completeDials completes all pending dials and reports whether there were any.
func (w *World) completeDials() (any bool) {
	for _, id := range slices.Sorted(maps.Keys(w.conns)) {
		if c := w.conns[id]; c != nil && c.dialing {
			w.completeDial(c)
			any = true
		}
	}
	return any
}

// step passes an event to the engine and executes the resulting commands. Facts queries are answered at once by nodes that
// are up.
func (w *World) step(ev driver.Event) {
	events := []driver.Event{ev}
	for round := 0; len(events) > 0 && round < 50; round++ {
		cmds := w.engine.Step(w.now, events, nil)
		events = nil
		for i := range cmds {
			events = append(events, w.execute(&cmds[i])...)
		}
	}
	w.checkTransitions()
}

// advance moves time to the engine's next timer, or by a second if none is set.
func (w *World) advance() {
	at, ok := w.engine.NextTimer()
	if !ok {
		at = w.now + time.Second
	}
	w.now = max(w.now, at)
	cmds := w.engine.Step(w.now, nil, nil)
	var events []driver.Event
	for i := range cmds {
		events = append(events, w.execute(&cmds[i])...)
	}
	for _, ev := range events {
		w.step(ev)
	}
}

func (w *World) execute(c *driver.Command) []driver.Event {
	w.noteCommand(c)
	switch c.Kind {
	case driver.CommandDial:
		w.conns[c.Conn] = &simConn{id: c.Conn, node: w.nodeNamed(c.Node), dialing: true}
	case driver.CommandReadFacts:
		return w.readFacts(c)
	case driver.CommandSend:
		w.startExchange(c)
	case driver.CommandCancel:
		if x := w.pendingOn(c.Conn); x != nil {
			x.cancelPending = true
		}
	case driver.CommandClose:
		if x := w.pendingOn(c.Conn); x != nil && !x.ran && x.request != 0 {
			w.endExchange(x) // the node sees the close before it runs the query; the other order is modeled as a reset
		}
		delete(w.conns, c.Conn)
	case driver.CommandAnswer:
		w.executeAnswer(c)
	}
	return nil
}

func (w *World) noteCommand(c *driver.Command) {
	names := [...]string{"dials", "sends", "asks", "cancels", "closes", "opens", "answers", "subscribes", "says", "has stopped"}
	w.seen["command "+names[c.Kind]] = true
	if !w.tracing || c.Kind == driver.CommandReadFacts || c.Kind == driver.CommandSubscribe {
		return
	}
	text := "driver " + names[c.Kind]
	switch c.Kind {
	case driver.CommandDial:
		text += fmt.Sprintf(" %s as connection %d", c.Node, c.Conn)
	case driver.CommandSend:
		text += fmt.Sprintf(" request %d to %s on connection %d", c.Request, c.Node, c.Conn)
	case driver.CommandAnswer:
		text += fmt.Sprintf(" request %d: %v %v", c.Request, c.Answer.Status, c.Answer.Cause)
	case driver.CommandLog:
		text += " " + c.Text
	default:
		text += fmt.Sprintf(" connection %d", c.Conn)
	}
	w.trace = append(w.trace, text)
}

func (w *World) nodeNamed(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *World) pendingOn(id driver.ConnID) *exchange {
	if c := w.conns[id]; c != nil {
		return c.pending
	}
	return nil
}

// readFacts answers a facts query at once, unless the node is down.
func (w *World) readFacts(c *driver.Command) []driver.Event {
	conn := w.conns[c.Conn]
	if conn == nil || conn.node.down {
		return nil
	}
	if conn.pending != nil {
		w.violate(PropertyPending, "a facts query is sent on connection %d, on which a reply is pending", c.Conn)
	}
	return []driver.Event{{Kind: driver.EventResult, Conn: c.Conn, Result: driver.Result{Facts: w.facts(conn.node)}}}
}

func (w *World) facts(n *node) driver.Facts {
	f := driver.Facts{Known: true, Replica: !n.primary, Position: position.Position{Timeline: n.timeline, LSN: uint64(64 + n.applied)}, System: 7, Clock: w.now.Microseconds()}
	if !f.Replica {
		f.Position.Transactions = position.AllTransactions // in this model a commit is visible as soon as it is logged
	}
	return f
}

// startExchange records a query of a request as in flight on its connection.
func (w *World) startExchange(c *driver.Command) {
	conn, q := w.conns[c.Conn], w.reqs[c.Request]
	if conn == nil || q == nil {
		return
	}
	w.checkSend(conn, c, q)
	q.sends++
	q.inFlight++
	q.maybeRan = append(q.maybeRan, w.now)
	conn.pending = &exchange{request: c.Request, write: c.Write, guard: c.Guard, sent: w.now}
}

// runExchange makes the node run the pending query of a connection.
func (w *World) runExchange(conn *simConn) {
	x := conn.pending
	n, q := conn.node, w.reqs[x.request]
	x.ran = true
	r := driver.Result{Started: true, Done: true, Facts: w.facts(n)}
	switch {
	case x.write && (!n.primary || n.timeline < x.guard.Timeline || x.guard.Until > 0 && w.now.Microseconds() > x.guard.Until):
		r = driver.Result{GuardFailed: true, InFactsQuery: true, Facts: w.facts(n), Err: &pgwire.Error{Severity: "ERROR", Code: "55000", Message: "recovery"}}
		w.seen["guard refuses"] = true
	case x.write && (q.runs == 0 || classes()[q.class].Effect != balance.Keyed):
		n.applied++
		w.log = append(w.log, commit{x.request, n.timeline, uint64(64 + n.applied)})
		q.runs++
		w.checkRun(x.request, q)
		r.Facts = w.facts(n)
	default:
		r.After = w.facts(n)
	}
	x.result = r
}

// endExchange records that an exchange has ended and can no longer run.
func (w *World) endExchange(x *exchange) {
	if q := w.reqs[x.request]; q != nil {
		q.inFlight--
	}
}

// deliverReply passes the result of the query that ran to the engine.
func (w *World) deliverReply(conn *simConn) {
	x := conn.pending
	conn.pending = nil
	w.endExchange(x)
	if q := w.reqs[x.request]; x.result.GuardFailed && q != nil {
		if i := slices.Index(q.maybeRan, x.sent); i >= 0 {
			q.maybeRan = slices.Delete(q.maybeRan, i, i+1)
		}
	}
	w.step(driver.Event{Kind: driver.EventResult, Conn: conn.id, Result: x.result})
}

// resetConn breaks a connection: a query that has run keeps its effect, one that has not never runs.
func (w *World) resetConn(conn *simConn) {
	delete(w.conns, conn.id)
	ev := driver.Event{Kind: driver.EventClosed, Conn: conn.id}
	if x := conn.pending; x != nil {
		w.endExchange(x)
		ev = driver.Event{Kind: driver.EventResult, Conn: conn.id, Result: driver.Result{End: driver.EndBroken, Started: x.ran}}
	}
	w.step(ev)
}

func (w *World) completeDial(conn *simConn) {
	conn.dialing = false
	ev := driver.Event{Kind: driver.EventDialed, Conn: conn.id}
	if conn.node.down {
		delete(w.conns, conn.id)
		ev.Dial = &driver.DialError{Err: fmt.Errorf("%s is down", conn.node.name)}
	}
	w.step(ev)
}

// makeRequest makes a client send its next request.
func (w *World) makeRequest(i int) {
	c := w.clients[i]
	class := slices.IndexFunc(classes(), func(k balance.Class) bool { return k.Name == c.script[c.next] })
	c.next++
	w.lastReq++
	q := &request{client: i, class: class, deadline: w.now + classes()[class].Deadline}
	params := driver.RequestParams{Class: class, Slice: "s", Session: fmt.Sprint("client", i), Deadline: q.deadline, Token: c.token}
	q.need, _ = c.token.Position("s")
	w.reqs[w.lastReq], c.current = q, w.lastReq
	w.step(driver.Event{Kind: driver.EventRequest, Request: w.lastReq, Params: params})
}

// promote makes the most advanced running replica primary of a new timeline. The other nodes of its timeline follow it,
// except old.
func (w *World) promote(old *node) {
	var next *node
	for _, n := range w.nodes {
		if n != old && !n.down && !n.primary && (next == nil || n.applied > next.applied) {
			next = n
		}
	}
	if next == nil {
		return
	}
	for _, n := range w.nodes {
		if n != old && n != next && n.timeline == next.timeline {
			n.timeline, n.applied = next.timeline+1, min(n.applied, next.applied)
		}
	}
	next.primary, next.timeline = true, next.timeline+1
}

// newestPrimary returns the running primary of the newest timeline. If no primary is running, it returns the node of the
// newest timeline.
func (w *World) newestPrimary() *node {
	return slices.MaxFunc(w.nodes, func(a, b *node) int {
		return cmp.Or(cmp.Compare(b2i(a.primary && !a.down), b2i(b.primary && !b.down)), cmp.Compare(a.timeline, b.timeline))
	})
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
