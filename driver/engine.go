package driver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/balance"
	"umberladder/internal/rounds"
	"umberladder/internal/schedule"
	"umberladder/position"
	"umberladder/token"
	"umberladder/topology"
)

// Config is what an engine is told at its start. Times are durations; zero values are errors where a time is
// needed.
type Config struct {
	Router         balance.Config
	Halls          []string      // the place of a hall's name is the module's zone
	DriverSessions bool          // sessions are followed by this driver's own answers, beside tokens
	SessionBytes   int           // memory for them
	Sessions       *SessionState // what an earlier life of this driver knew of them, nil for nothing
	SessionsWhole  bool          // that holds all that the earlier life answered, or there was none
	MaxOpen        int           // requests held at once
	PoolSize       int           // connections to one node
	IdleClose      time.Duration
	Linger         time.Duration // how long a connection may go on with what nobody awaits
	PollTimeout    time.Duration
	ClockAge       time.Duration   // a poll of a replica asks the primary too if it was not heard for so long
	Tokenless      []Tokenless     // by class, what becomes of a session read without its token
	StartWithin    time.Duration   // a write that its node has not begun by then must not begin; 0 for no bound
	Topology       *topology.State // what an earlier life of this driver saw, nil for nothing
	AnswerMargin   time.Duration   // the module's deadline lies so long before the client's
	CancelWork     bool            // safe work that nobody awaits is ended at the node
}

func (c *Config) check() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{{"MaxOpen", c.MaxOpen > 0}, {"PoolSize", c.PoolSize > 0}, {"IdleClose", c.IdleClose > 0},
		{"PollTimeout", c.PollTimeout > 0}, {"DialTimeout", c.Router.DialTimeout > 0},
		{"AnswerMargin", c.AnswerMargin >= 0}} {
		if !f.ok {
			return fmt.Errorf("driver: %s is not set", f.name)
		}
	}
	return nil
}

// Tokenless is what becomes of a session read whose token is not there.
type Tokenless uint8

// The ways to treat it.
const (
	TokenlessAccept  Tokenless = iota // as of a session that wrote nothing
	TokenlessPrimary                  // it asks for the present
	TokenlessRefuse
)

// Engine is one driver's state. It is not safe for concurrent use.
type Engine struct {
	cfg      Config
	twins    []int // by class, the module's class for a request of it that carries a token
	now      time.Duration
	cmds     []Command
	rounds   rounds.Rounds // with the module
	timers   schedule.Timers
	rng      *rand.Rand
	life     life
	requests map[RequestID]*request
	over     []RequestID // to be forgotten once the module knows
	held     int         // requests without their final answer
	nodes    map[balance.ServerID]*node
	byKey    map[nodeKey]*node
	conns    map[ConnID]*conn
	slices   map[string]*slice
	byToken  map[token.SliceID][]*slice // by what stands for them in tokens; more than one where that is shared
	sessions *sessions
	lastConn ConnID
	until    time.Duration // when what is held must be answered; 0 while not stopping
	stopped  bool
}

// slice is one group of a primary and its replicas.
type slice struct {
	name     string
	group    int
	clock    position.Clock
	topo     *topology.Slice
	primary  *node // that holds office
	told     *node // whom the module was last told to be primary
	doubt    doubt
	lossTold uint32 // the timeline whose beginning was looked at for what it left out
	nodes    []*node
	waiting  int           // requests without final answer and attempt
	proven   time.Duration // as of when a replica was last proven to have everything
	// forgotten is when an operator last had everything forgotten that was known of the slice.
	forgotten time.Duration
}

// request is one request, kept until it has its final answer and no attempt is out.
type request struct {
	id       RequestID
	ask      Ask
	class    *balance.Class
	slice    *slice
	need     position.Position // what a session read must see; zero for nothing
	told     position.Position // what its token alone asks for; need may be the present in its place
	attempts []*attempt
	out      int
	done     bool // it has its final answer, or its client left
}

// New makes an engine that knows no node yet. An unusable Config is an error.
func New(cfg Config, seed uint64) (*Engine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Router.RouterTokens = false // sessions reach the module as the age of what they must see
	told, twins := withTwins(cfg.Router)
	router, err := balance.New(told, seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{cfg: cfg, twins: twins, requests: map[RequestID]*request{}, nodes: map[balance.ServerID]*node{},
		byKey: map[nodeKey]*node{}, conns: map[ConnID]*conn{}, slices: map[string]*slice{}, byToken: map[token.SliceID][]*slice{}, rng: rand.New(rand.NewPCG(seed, 0x746f706f))}
	e.rounds = rounds.Rounds{Router: router, Timers: &e.timers, Act: e.act, Most: mostRounds, Pause: cfg.Router.Round}
	e.sessions = newSessions(cfg.SessionBytes)
	e.sessions.lift = func(name string, since time.Duration) (position.Position, bool) {
		s := e.slices[name]
		if s == nil {
			return position.Position{}, false
		}
		return s.clock.After(since)
	}
	e.sessions.passed = func(name string, at position.Position) bool {
		return e.slices[name] != nil && e.allPassed(e.slices[name], at)
	}
	return e, nil
}

// withTwins adds to the module's classes, for each one whose reads need not see a session's writes, a twin whose
// reads do: that is how the module hears of a token that comes with such a read.
func withTwins(cfg balance.Config) (balance.Config, []int) {
	classes := cfg.Classes
	cfg.Classes = slices.Clone(classes)
	twins := make([]int, len(classes))
	for i, c := range classes {
		twins[i] = i
		if c.Need == balance.NeedBounded || c.Need == balance.NeedAny {
			c.Need = balance.NeedSession
			twins[i] = len(cfg.Classes)
			cfg.Classes = append(cfg.Classes, c)
		}
	}
	return cfg, twins
}

// Held is how many requests have no final answer yet.
func (e *Engine) Held() int { return e.held }

// Conns is how many connections there are, being opened included.
func (e *Engine) Conns() int { return len(e.conns) }

// Wake is when Step wants to be called even if nothing happens, false for never.
func (e *Engine) Wake() (time.Duration, bool) { return e.timers.Next() }

// Step takes what happened since the last call, all at one clock time, and appends the commands in order. The
// clock must not go back; an earlier time counts as the latest seen. The zero time should lie in the past by
// more than any time in the configuration.
func (e *Engine) Step(now time.Duration, events []Event, cmds []Command) []Command {
	return e.step(now, events, cmds, false)
}

// StepLate is Step for a shell that stood still for a while: what happened meanwhile is taken before timers make
// something of the time, so that an answer that came counts as an answer.
func (e *Engine) StepLate(now time.Duration, events []Event, cmds []Command) []Command {
	return e.step(now, events, cmds, true)
}

func (e *Engine) step(now time.Duration, events []Event, cmds []Command, late bool) []Command {
	if e.now == 0 {
		e.sessions.restore(e.cfg.Sessions, e.cfg.SessionsWhole, now)
		e.cfg.Sessions = nil
	}
	e.now, e.cmds = max(now, e.now), cmds
	if !late {
		e.timers.Run(e.now)
	}
	for i := range events {
		e.take(&events[i])
	}
	if late {
		e.timers.Run(e.now)
	}
	e.rounds.Settle(e.now)
	e.forgetOver()
	if e.until > 0 && !e.stopped && e.held == 0 {
		e.stopped = true
		e.cmds = append(e.cmds, Command{Kind: CommandStopped})
	}
	cmds, e.cmds = e.cmds, nil
	return cmds
}

func (e *Engine) take(ev *Event) {
	switch ev.Kind {
	case EventRequest:
		e.request(ev)
	case EventLeft:
		e.left(ev.Request)
	case EventDialed:
		e.dialed(e.conns[ev.Conn], ev.Dial)
	case EventResult:
		e.result(e.conns[ev.Conn], &ev.Result)
	case EventOpened:
		e.opened(e.conns[ev.Conn], &ev.Result)
	case EventClosed:
		e.closed(e.conns[ev.Conn])
	case EventList:
		e.list(ev)
	case EventStop:
		e.stop(ev.Until)
	}
}

// mostRounds bounds how often the module is asked again about what its own actions led to at once.
const mostRounds = 64

func (e *Engine) act(a *balance.Action) {
	switch a.Kind {
	case balance.ActionTry:
		e.try(e.requests[a.Request], a)
	case balance.ActionWithdraw:
		if q := e.requests[a.Request]; q != nil && a.Attempt < len(q.attempts) {
			e.withdraw(q.attempts[a.Attempt])
		}
	case balance.ActionReject:
		e.answer(e.requests[a.Request], Answer{Status: Refused, Cause: CauseNoNode, RetryAfter: a.After})
	case balance.ActionFail:
		e.answer(e.requests[a.Request], Answer{Status: Failed, Cause: CauseUncertain})
	case balance.ActionPoll:
		e.poll(e.nodes[a.Server])
	case balance.ActionSubscribe:
		e.cmds = append(e.cmds, Command{Kind: CommandSubscribe})
	case balance.ActionDisconnect:
		e.disconnect(e.nodes[a.Server])
	case balance.ActionLog:
		e.cmds = append(e.cmds, Command{Kind: CommandLog, Text: e.named(a.Text)})
	}
}

func (e *Engine) tell(ev balance.Event) { e.rounds.Tell(ev) }

func (e *Engine) request(ev *Event) {
	if e.requests[ev.Request] != nil {
		return
	}
	if cause := e.refuses(&ev.Ask); cause != CauseNone {
		e.cmds = append(e.cmds, Command{Kind: CommandAnswer, Request: ev.Request, Answer: Answer{Status: Refused, Cause: cause}})
		return
	}
	q := &request{id: ev.Request, ask: ev.Ask, class: &e.cfg.Router.Classes[ev.Ask.Class], slice: e.slices[ev.Ask.Slice]}
	if cause := e.needs(q); cause != CauseNone {
		e.cmds = append(e.cmds, Command{Kind: CommandAnswer, Request: ev.Request, Answer: Answer{Status: Refused, Cause: cause}})
		return
	}
	e.requests[q.id] = q
	e.held++
	q.slice.waiting++
	class, since := q.ask.Class, e.since(q)
	if since > 0 && e.twins[class] != class {
		if q.class.Need == balance.NeedBounded {
			since = min(since, q.class.Bound)
		}
		class = e.twins[class]
	}
	e.tell(balance.Event{Kind: balance.EventRequest, Request: q.id, Class: class, Group: q.slice.group,
		Key: xxhash.Sum64String(q.ask.Session), Deadline: q.ask.Deadline - e.cfg.AnswerMargin, SinceWrite: since})
}

// needs settles what a read must see, and why a request can't be taken if its token stands in the way.
func (e *Engine) needs(q *request) Cause {
	if e.foreign(q.ask.Token) {
		return CauseForeign
	}
	need, told := q.ask.Token.At(q.ask.Slice)
	if e.cfg.DriverSessions && q.ask.Session != "" {
		at := e.sessions.needs(q.ask.Slice, q.ask.Session)
		need, told = need.Join(at), told || !at.IsZero()
	}
	asked := need
	if q.class.Need == balance.NeedSession && (!told || q.ask.Lost) {
		switch policy := e.tokenless(q.ask.Class); {
		case policy == TokenlessRefuse:
			return CauseTokenless
		case policy == TokenlessPrimary || q.ask.Lost:
			need = position.Present
		}
	}
	if q.class.Need != balance.NeedWrite && q.slice.clock.Lost(asked) {
		return CauseTokenLost
	}
	q.need, q.told = need, asked
	return CauseNone
}

func (e *Engine) tokenless(class int) Tokenless {
	if class < len(e.cfg.Tokenless) {
		return e.cfg.Tokenless[class]
	}
	return TokenlessAccept
}

// foreign tells whether a token names slices, and none of this driver's.
func (e *Engine) foreign(t token.Token) bool {
	ids := t.Slices()
	return len(ids) > 0 && !slices.ContainsFunc(ids, func(id token.SliceID) bool { return len(e.byToken[id]) > 0 })
}

// hopeless tells why a read can never be served, by what the slice's primary told after the request came: its
// token is ahead of the whole history, or stands for what a promotion left out.
func (q *request) hopeless(n *node, f Facts) Cause {
	switch {
	case q.done || !f.Known || f.Replica || q.told.LSN == position.Unknown || n.deposed(f):
		return CauseNone
	case q.slice.clock.Lost(q.told):
		return CauseTokenLost
	case f.Position.Timeline == q.told.Timeline && f.Position.LSN < q.told.LSN:
		return CauseTokenAhead
	}
	return CauseNone
}

// longPassed is how long ago a place must have been committed to be dropped from tokens.
const longPassed = time.Minute

// trimmed is a token without the places of other slices that every member there has long passed.
func (e *Engine) trimmed(t token.Token, except *slice) token.Token {
	if len(t.Slices()) < 2 {
		return t
	}
	for _, id := range t.Slices() {
		if all := e.byToken[id]; len(all) == 1 && all[0] != except && e.longPassed(all[0], t.Place(id)) {
			t = t.With(all[0].name, position.Position{})
		}
	}
	return t
}

func (e *Engine) longPassed(s *slice, at position.Position) bool {
	if at.LSN == position.Unknown || at.Timeline != s.clock.Timeline() {
		return false
	}
	by, ok := s.clock.CommittedBy(at)
	return ok && e.now-by > longPassed && e.allPassed(s, at)
}

// allPassed tells whether every member of a slice that isn't gone was heard at or beyond a place.
func (e *Engine) allPassed(s *slice, at position.Position) bool {
	for _, n := range s.nodes {
		if n.listed.Life != balance.LifeGone && (!n.facts.Known || !covers(n.facts, at)) {
			return false
		}
	}
	return true
}

// refuses tells why a request is not taken at all, CauseNone if it is.
func (e *Engine) refuses(a *Ask) Cause {
	switch {
	case e.until > 0:
		return CauseStopping
	case a.Class < 0 || a.Class >= len(e.cfg.Router.Classes):
		return CauseClass
	case e.slices[a.Slice] == nil:
		return CauseSlice
	case e.held >= e.cfg.MaxOpen:
		return CauseMaxOpen
	}
	return CauseNone
}

// since is how long ago a member must have been proven to have what a session read must see, by the module's
// measure; 0 if it must see nothing.
func (e *Engine) since(q *request) time.Duration {
	if q.need.IsZero() {
		return 0
	}
	by, ok := q.slice.clock.ReachedBy(q.need)
	if !ok {
		return 1 // the present
	}
	return max(1, e.now-by)
}

// left ends a request whose client is gone. What is out stays out, its connection busy, until it ends.
func (e *Engine) left(id RequestID) {
	q := e.requests[id]
	if q == nil || q.done {
		return
	}
	e.tell(balance.Event{Kind: balance.EventAborted, Request: id})
	e.finish(q)
}

// answer gives the final answer, if none was given.
func (e *Engine) answer(q *request, a Answer) {
	if q == nil || q.done {
		return
	}
	a.Attempts = len(q.attempts)
	e.cmds = append(e.cmds, Command{Kind: CommandAnswer, Request: q.id, Answer: a})
	e.finish(q)
}

// finish marks a request as over: what has not been sent for it never will be.
func (e *Engine) finish(q *request) {
	if q.out == 0 {
		q.slice.waiting--
	}
	q.done = true
	e.held--
	for _, a := range q.attempts {
		switch {
		case a.state == waiting:
			e.ended(a, balance.Event{Outcome: balance.OutcomeMoot})
		case a.state != sent || !a.holds():
		case a.opened:
			e.lost(a.conn, true) // its rows would wait for a reader that is gone
			e.ended(a, balance.Event{Outcome: balance.OutcomeCancelled})
		case e.cfg.CancelWork && q.class.Effect == balance.Safe:
			e.cancel(a.conn)
		}
	}
	e.forget(q)
}

// forget drops a request that is over, once the module knows that it is: until then it may still send it, and must hear
// what became of that.
func (e *Engine) forget(q *request) {
	if q.done && q.out == 0 {
		e.over = append(e.over, q.id)
	}
}

func (e *Engine) forgetOver() {
	for _, id := range e.over {
		if q := e.requests[id]; q != nil && q.done && q.out == 0 {
			delete(e.requests, id)
		}
	}
	e.over = e.over[:0]
}

func (e *Engine) stop(until time.Duration) {
	if e.until > 0 {
		return
	}
	e.until = max(until, 1)
	e.timers.Set(until, func(time.Duration) { e.giveUp() })
}

// giveUp answers what is still held when the time to stop is up.
func (e *Engine) giveUp() {
	ids := make([]RequestID, 0, len(e.requests))
	for id := range e.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := e.requests[id]
		if q.done {
			continue
		}
		a := Answer{Status: Refused, Cause: CauseStopping}
		if q.class.Effect != balance.Safe && slices.ContainsFunc(q.attempts, (*attempt).mayHaveRun) {
			a = Answer{Status: Failed, Cause: CauseStopping}
		}
		e.tell(balance.Event{Kind: balance.EventAborted, Request: id})
		e.answer(q, a)
	}
}

func (e *Engine) list(ev *Event) {
	if ev.List == balance.ListFailed {
		e.tell(balance.Event{Kind: balance.EventList, List: balance.ListFailed})
		return
	}
	entries := make([]balance.Entry, 0, len(ev.Nodes))
	seen := map[balance.ServerID]bool{}
	for _, n := range ev.Nodes {
		known := e.nodeOf(n)
		seen[known.id] = true
		if known.listed = n; n.Life == balance.LifeReady {
			known.leaves = 0
		} else if known.leaves == 0 {
			known.leaves = e.now
		}
		entries = append(entries, balance.Entry{Server: known.id, Group: known.slice.group,
			Zone: max(0, slices.Index(e.cfg.Halls, n.Hall)), Life: n.Life, Started: n.Started})
	}
	for _, n := range e.nodes {
		if ev.List != balance.ListDelta && !seen[n.id] {
			n.listed.Life = balance.LifeGone
			if n.leaves == 0 && !e.cfg.Router.SoftRemoval {
				n.leaves = e.now
			}
		}
	}
	e.leave()
	e.tell(balance.Event{Kind: balance.EventList, List: ev.List, Entries: entries})
}

// leave closes the unused connections to nodes that are gone, where lacking in a list means that.
func (e *Engine) leave() {
	if e.cfg.Router.SoftRemoval {
		return
	}
	for _, n := range e.listed() {
		if n.listed.Life != balance.LifeGone {
			continue
		}
		e.disconnect(n)
		if c := n.prober; c != nil && c.state == idle {
			e.lost(c, true)
		}
	}
}

// listed is every node there has been, in order of first mention.
func (e *Engine) listed() []*node {
	nodes := make([]*node, len(e.nodes))
	for id, n := range e.nodes {
		nodes[id-1] = n
	}
	return nodes
}
