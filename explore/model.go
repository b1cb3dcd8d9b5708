// Package explore drives the real engine, with the real module in it, through every order of events that can happen to a
// few clients before a few nodes: deliveries, losses, resets, cancels, time-outs that race replies, drains, promotions.
// States that were seen are not gone through again; each state's future is also played to its quiet end. What must hold is
// stated in properties.go, and a violation is a numbered story that can be played again.
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

// Setting is what is explored.
type Setting struct {
	Clients int // each makes the requests of Script[i%len(Script)], one after the other
	Nodes   int // of one slice, the first is primary
	Depth   int // events of a path
	Resets  int // connections that the network may cut
	Drains  int // nodes that the list may call away
	Crashes int // primaries that may die, another being promoted
	Zombies int // primaries that may be deposed without noticing
	Leaves  int // clients that may leave
	Script  []string
}

// Default is two clients and three nodes with a fault of each kind.
func Default() Setting {
	return Setting{Clients: 2, Nodes: 3, Depth: 9, Resets: 1, Drains: 1, Crashes: 1, Zombies: 1, Leaves: 1, Script: []string{"write own", "post"}}
}

// classes are those of the newsroom, with a keyed write.
func classes() []balance.Class {
	return []balance.Class{
		{Name: "article", Need: balance.NeedBounded, Bound: 200 * ms, Target: 400 * ms, Deadline: time.Second, Worth: 2},
		{Name: "own", Need: balance.NeedSession, Target: 250 * ms, Deadline: time.Second, Worth: 1},
		{Name: "write", Effect: balance.Unsafe, Need: balance.NeedWrite, Target: 500 * ms, Deadline: 2 * time.Second, Worth: 6, LateWorth: 0.5},
		{Name: "post", Effect: balance.Keyed, Need: balance.NeedWrite, Window: time.Second, Target: 500 * ms, Deadline: 2 * time.Second, Worth: 6},
		{Name: "fresh", Need: balance.NeedFresh, Target: 400 * ms, Deadline: time.Second, Worth: 1},
	}
}

func engineConfig() driver.Config {
	return driver.Config{Halls: []string{"a"}, MaxOpen: 100, PoolSize: 2, IdleClose: 2 * time.Second, Linger: time.Second, PollTimeout: 250 * ms, ClockAge: 50 * ms, AnswerMargin: 20 * ms,
		StartWithin: time.Second, CancelWork: true, SessionBytes: 1 << 16,
		Router: balance.Config{Classes: classes(), Routers: 1, Round: ms, Positions: true, DrainGrace: 500 * ms, AnswerSlack: 20 * ms, ColdFrom: 0.2, RampTime: 10 * time.Second,
			TipMultiple: 3, Fall: time.Second, Cancel: true, Probing: true, TryLimit: 10, RetryAfter: true, MaxRetryAfter: time.Second, DialTimeout: 250 * ms}}
}

// begin is the engine's time at the start.
const begin = 1000 * time.Hour

// World is the engine with what is around it.
type World struct {
	set     Setting
	engine  *driver.Engine
	now     time.Duration
	nodes   []*node
	conns   map[driver.ConnID]*wire
	clients []*client
	reqs    map[driver.RequestID]*request
	lastReq driver.RequestID
	used    budget
	drained map[string]time.Duration // since when the driver was told
	log     []commit
	broken  []string
	story   []string // of the last step
	tell    bool     // keep stories
	seen    map[string]bool
}

// budget is what of the setting's faults was used.
type budget struct{ resets, drains, crashes, zombies, leaves int }

type node struct {
	name     string
	primary  bool
	timeline uint32
	applied  int // records of the log of its timeline
	down     bool
}

type commit struct {
	request  driver.RequestID
	timeline uint32
	lsn      uint64
}

// wire is a connection.
type wire struct {
	id      driver.ConnID
	node    *node
	dialing bool
	out     *exchange
}

// exchange is what is out on one.
type exchange struct {
	request driver.RequestID
	write   bool
	guard   driver.Guard
	ran     bool // it has run, its answer is on the way
	cancel  bool // a cancel is on its way
	sent    time.Duration
	result  driver.Result
}

type client struct {
	script []string
	next   int
	open   driver.RequestID // 0 for none
	token  token.Token
	saved  commit // its last served write
}

type request struct {
	client   int
	class    int
	deadline time.Duration
	sends    int
	out      int // exchanges of it that may run
	runs     int
	may      []time.Duration // when those went out of which it is not known that nothing ran
	answers  int
	left     bool
	need     position.Position
}

// New is a world in which the driver knows its nodes and nothing is out.
func New(set Setting) (*World, error) {
	e, err := driver.New(engineConfig(), 1)
	if err != nil {
		return nil, err
	}
	w := &World{set: set, engine: e, now: begin, conns: map[driver.ConnID]*wire{}, reqs: map[driver.RequestID]*request{}, drained: map[string]time.Duration{}, seen: map[string]bool{}}
	for i := range set.Nodes {
		w.nodes = append(w.nodes, &node{name: string(rune('a' + i)), primary: i == 0, timeline: 1})
	}
	for i := range set.Clients {
		w.clients = append(w.clients, &client{script: strings.Fields(set.Script[i%len(set.Script)])})
	}
	w.step(w.list())
	for range 400 { // it asks its nodes, and has a connection to each
		if !w.settleDials() && w.now > begin+300*ms {
			break
		}
		w.tick()
	}
	w.broken = nil
	return w, nil
}

func (w *World) list() driver.Event {
	ev := driver.Event{Kind: driver.EventList, List: balance.ListFull}
	for _, n := range w.nodes {
		life := balance.LifeReady
		if _, ok := w.drained[n.name]; ok {
			life = balance.LifeDraining
		}
		ev.Nodes = append(ev.Nodes, driver.Node{Name: n.name, Address: n.name + ":1", Slice: "s", Hall: "a", Life: life})
	}
	return ev
}

// settleDials lets what is being dialled come up, and tells whether anything was.
func (w *World) settleDials() (any bool) {
	for _, id := range slices.Sorted(maps.Keys(w.conns)) {
		if c := w.conns[id]; c != nil && c.dialing {
			w.dialled(c)
			any = true
		}
	}
	return any
}

// step gives the engine an event, and does what it says. Questions for facts are answered at once where a node is up.
func (w *World) step(ev driver.Event) {
	events := []driver.Event{ev}
	for round := 0; len(events) > 0 && round < 50; round++ {
		cmds := w.engine.Step(w.now, events, nil)
		events = nil
		for i := range cmds {
			events = append(events, w.do(&cmds[i])...)
		}
	}
	w.judgeMoves()
}

// tick lets time pass to the engine's next timer.
func (w *World) tick() {
	at, ok := w.engine.Wake()
	if !ok {
		at = w.now + time.Second
	}
	w.now = max(w.now, at)
	cmds := w.engine.Step(w.now, nil, nil)
	var events []driver.Event
	for i := range cmds {
		events = append(events, w.do(&cmds[i])...)
	}
	for _, ev := range events {
		w.step(ev)
	}
}

func (w *World) do(c *driver.Command) []driver.Event {
	w.note(c)
	switch c.Kind {
	case driver.CommandDial:
		w.conns[c.Conn] = &wire{id: c.Conn, node: w.named(c.Node), dialing: true}
	case driver.CommandAsk:
		return w.asked(c)
	case driver.CommandSend:
		w.sent(c)
	case driver.CommandCancel:
		if x := w.exchangeOn(c.Conn); x != nil {
			x.cancel = true
		}
	case driver.CommandClose:
		if x := w.exchangeOn(c.Conn); x != nil && !x.ran && x.request != 0 {
			w.over(x) // its node notices before it runs: one that does not is a reset
		}
		delete(w.conns, c.Conn)
	case driver.CommandAnswer:
		w.answered(c)
	}
	return nil
}

func (w *World) note(c *driver.Command) {
	names := [...]string{"dials", "sends", "asks", "cancels", "closes", "opens", "answers", "subscribes", "says", "has stopped"}
	w.seen["command "+names[c.Kind]] = true
	if !w.tell || c.Kind == driver.CommandAsk || c.Kind == driver.CommandSubscribe {
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
	w.story = append(w.story, text)
}

func (w *World) named(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *World) exchangeOn(id driver.ConnID) *exchange {
	if c := w.conns[id]; c != nil {
		return c.out
	}
	return nil
}

// asked answers a question for facts at once, unless its node is down.
func (w *World) asked(c *driver.Command) []driver.Event {
	l := w.conns[c.Conn]
	if l == nil || l.node.down {
		return nil
	}
	if l.out != nil {
		w.breaks(PropertyPending, "a question goes out on connection %d, on which an answer is pending", c.Conn)
	}
	return []driver.Event{{Kind: driver.EventResult, Conn: c.Conn, Result: driver.Result{Facts: w.facts(l.node)}}}
}

func (w *World) facts(n *node) driver.Facts {
	f := driver.Facts{Known: true, Replica: !n.primary, Position: position.Position{Timeline: n.timeline, LSN: uint64(64 + n.applied)}, System: 7, Clock: w.now.Microseconds()}
	if !f.Replica {
		f.Position.Transactions = position.AllTransactions // here a commit shows as it is logged
	}
	return f
}

// sent takes an exchange onto its connection.
func (w *World) sent(c *driver.Command) {
	l, q := w.conns[c.Conn], w.reqs[c.Request]
	if l == nil || q == nil {
		return
	}
	w.judgeSend(l, c, q)
	q.sends++
	q.out++
	q.may = append(q.may, w.now)
	l.out = &exchange{request: c.Request, write: c.Write, guard: c.Guard, sent: w.now}
}

// run has a node run what is out on a connection.
func (w *World) run(l *wire) {
	x := l.out
	n, q := l.node, w.reqs[x.request]
	x.ran = true
	r := driver.Result{Began: true, Done: true, Facts: w.facts(n)}
	switch {
	case x.write && (!n.primary || n.timeline < x.guard.Timeline || x.guard.Until > 0 && w.now.Microseconds() > x.guard.Until):
		r = driver.Result{Guarded: true, Asking: true, Facts: w.facts(n), Err: &pgwire.Error{Severity: "ERROR", Code: "55000", Message: "recovery"}}
		w.seen["guard refuses"] = true
	case x.write && (q.runs == 0 || classes()[q.class].Effect != balance.Keyed):
		n.applied++
		w.log = append(w.log, commit{x.request, n.timeline, uint64(64 + n.applied)})
		q.runs++
		w.judgeRun(x.request, q)
		r.Facts = w.facts(n)
	default:
		r.After = w.facts(n)
	}
	x.result = r
}

// over: an exchange of a request can run no more.
func (w *World) over(x *exchange) {
	if q := w.reqs[x.request]; q != nil {
		q.out--
	}
}

// reply brings the result of what ran to the driver.
func (w *World) reply(l *wire) {
	x := l.out
	l.out = nil
	w.over(x)
	if q := w.reqs[x.request]; x.result.Guarded && q != nil {
		if i := slices.Index(q.may, x.sent); i >= 0 {
			q.may = slices.Delete(q.may, i, i+1)
		}
	}
	w.step(driver.Event{Kind: driver.EventResult, Conn: l.id, Result: x.result})
}

// reset cuts a connection: what ran on it has run, what had not never will.
func (w *World) reset(l *wire) {
	delete(w.conns, l.id)
	ev := driver.Event{Kind: driver.EventClosed, Conn: l.id}
	if x := l.out; x != nil {
		w.over(x)
		ev = driver.Event{Kind: driver.EventResult, Conn: l.id, Result: driver.Result{End: driver.EndBroken, Began: x.ran}}
	}
	w.step(ev)
}

func (w *World) dialled(l *wire) {
	l.dialing = false
	ev := driver.Event{Kind: driver.EventDialed, Conn: l.id}
	if l.node.down {
		delete(w.conns, l.id)
		ev.Dial = &driver.DialError{Err: fmt.Errorf("%s is down", l.node.name)}
	}
	w.step(ev)
}

// asks has a client make its next request.
func (w *World) asks(i int) {
	c := w.clients[i]
	class := slices.IndexFunc(classes(), func(k balance.Class) bool { return k.Name == c.script[c.next] })
	c.next++
	w.lastReq++
	q := &request{client: i, class: class, deadline: w.now + classes()[class].Deadline}
	ask := driver.Ask{Class: class, Slice: "s", Session: fmt.Sprint("client", i), Deadline: q.deadline, Token: c.token}
	q.need, _ = c.token.At("s")
	w.reqs[w.lastReq], c.open = q, w.lastReq
	w.step(driver.Event{Kind: driver.EventRequest, Request: w.lastReq, Ask: ask})
}

// promote makes the most advanced replica primary of the next timeline.
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

// primaryNode is who is primary of the newest timeline.
func (w *World) primaryNode() *node {
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
