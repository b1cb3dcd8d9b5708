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

// Config configures an Engine. New returns an error if PoolSize, MaxOpen, IdleClose, PollTimeout or
// Router.DialTimeout is not positive, or AnswerMargin is negative.
type Config struct {
	Router           balance.Config
	Zones            []string      // names of availability zones by the router's zone number; others count as number 0
	DriverSessions   bool          // track sessions in this driver too, besides the clients' tokens
	SessionBytes     int           // memory limit for tracked sessions, in bytes; 0 tracks none
	Sessions         *SessionState // tracked sessions of an earlier run, nil for none
	SessionsComplete bool          // Sessions covers every answer of the earlier run, or there was no earlier run
	MaxOpen          int           // most requests open at once
	PoolSize         int           // most connections to one node
	IdleClose        time.Duration // an unused connection for requests is closed after this time, at most a quarter later
	Linger           time.Duration // how long a connection stays open for a reply that nobody awaits
	PollTimeout      time.Duration // time limit of one poll
	// ClockAge is the age of the primary's position above which a poll of a replica polls the primary too.
	ClockAge     time.Duration
	MissingToken []MissingTokenPolicy // by class: policy for a session read without a token
	// StartWithin is the time within which a node must start a write that was sent to it; 0 for no limit. It applies
	// at nodes that report their clock.
	StartWithin  time.Duration
	Topology     *topology.State // topology of an earlier run, nil for none
	AnswerMargin time.Duration   // the router's deadline is earlier than the client's by this much
	CancelWork   bool            // cancel at the node safe work that nobody awaits
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

// MissingTokenPolicy is the policy for a session read without its token.
type MissingTokenPolicy uint8

// The policies for a read without its token.
const (
	MissingTokenAccept  MissingTokenPolicy = iota // treat the session as one without writes
	MissingTokenPrimary                           // require the latest position, as at the primary
	MissingTokenRefuse                            // refuse the request
)

// Engine is the state of one driver. It is not safe for concurrent use. It reads no clock, starts no goroutine and
// takes its randomness from the seed alone, so that the same events give the same commands.
//
// Its decisions are those of a balance.Router, called the router here. The engine translates: requests and results
// into the router's events, the router's actions into commands, and log positions into times.
type Engine struct {
	cfg          Config
	tokenClasses []int // by class: index of the router's class for its requests with a token
	now          time.Duration
	cmds         []Command
	rounds       rounds.Rounds // exchanges events and actions with the router
	timers       schedule.Timers
	rng          *rand.Rand
	life         transitions
	requests     map[RequestID]*request
	finished     []RequestID // finished requests, removed once the router has been notified
	held         int         // requests without a final answer
	nodes        map[balance.ServerID]*node
	byKey        map[nodeKey]*node
	conns        map[ConnID]*conn
	slices       map[string]*slice
	byToken      map[token.SliceID][]*slice // by token slice ID; several slices where an ID collides
	sessions     *sessions
	lastConn     ConnID
	stopBy       time.Duration // deadline of open requests during shutdown; 0 otherwise
	stopped      bool
}

// slice is one group: a primary and its replicas.
type slice struct {
	name            string
	group           int
	clock           position.Clock
	topo            *topology.Slice
	primary         *node // by the verdict of topo; nil if there is none
	reportedPrimary *node // primary last reported to the router
	suspicion       suspicion
	lossTimeline    uint32 // timeline whose start was last checked for lost commits
	nodes           []*node
	waiting         int           // requests without a final answer and without an attempt in flight
	provenAsOf      time.Duration // latest time as of which a replica was proven to have all commits
	forgotten       time.Duration // when an operator last called Forget for the slice; 0 for never
}

// request is one client request. It is kept until it has its final answer and no attempt is in flight.
type request struct {
	id        RequestID
	params    RequestParams
	class     *balance.Class
	slice     *slice
	need      position.Position // position that a read must see; zero for none
	tokenNeed position.Position // position that the token or session requires; need may be the latest position instead
	attempts  []*attempt
	inFlight  int
	done      bool // it has its final answer, or its client disconnected
}

// New returns an engine without nodes; seed determines all its random choices. It returns an error if cfg or
// cfg.Router is invalid.
func New(cfg Config, seed uint64) (*Engine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Router.DriverSessions = false // sessions' needs reach the router as ages instead
	routerConfig, tokenClasses := withTokenClasses(cfg.Router)
	router, err := balance.New(routerConfig, seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{cfg: cfg, tokenClasses: tokenClasses, requests: map[RequestID]*request{}, nodes: map[balance.ServerID]*node{},
		byKey: map[nodeKey]*node{}, conns: map[ConnID]*conn{}, slices: map[string]*slice{}, byToken: map[token.SliceID][]*slice{}, rng: rand.New(rand.NewPCG(seed, 0x746f706f))}
	e.rounds = rounds.Rounds{Router: router, Timers: &e.timers, Act: e.execute, MaxRounds: maxRounds, Pause: cfg.Router.MinBatchInterval}
	e.sessions = newSessions(cfg.SessionBytes)
	e.sessions.reportedAfter = func(name string, since time.Duration) (position.Position, bool) {
		s := e.slices[name]
		if s == nil {
			return position.Position{}, false
		}
		return s.clock.PositionAfter(since)
	}
	e.sessions.passedByAll = func(name string, at position.Position) bool {
		return e.slices[name] != nil && e.allReached(e.slices[name], at)
	}
	return e, nil
}

// withTokenClasses adds, for each class whose reads need not see their session's writes, a copy whose reads must.
// The router has no other way to learn that such a read carries a token, and would send it to replicas that are
// behind the token.
func withTokenClasses(cfg balance.Config) (balance.Config, []int) {
	classes := cfg.Classes
	cfg.Classes = slices.Clone(classes)
	tokenClasses := make([]int, len(classes))
	for i, c := range classes {
		tokenClasses[i] = i
		if c.Need == balance.NeedBounded || c.Need == balance.NeedAny {
			c.Need = balance.NeedSession
			tokenClasses[i] = len(cfg.Classes)
			cfg.Classes = append(cfg.Classes, c)
		}
	}
	return cfg, tokenClasses
}

// Held returns the number of requests without a final answer.
func (e *Engine) Held() int { return e.held }

// Conns returns the number of connections, including those being opened.
func (e *Engine) Conns() int { return len(e.conns) }

// NextTimer returns the time of the next timer, at which Step must be called even without events; false if no
// timer is set.
func (e *Engine) NextTimer() (time.Duration, bool) { return e.timers.Next() }

// Step handles the events since the last call, all at the time now, and appends the resulting commands to cmds in
// order. The clock is monotonic: a now before the latest one counts as the latest. Its zero must lie further in
// the past than any duration in the configuration.
func (e *Engine) Step(now time.Duration, events []Event, cmds []Command) []Command {
	return e.step(now, events, cmds, false)
}

// StepLate is Step for an I/O layer that was stalled: it handles the events before expired timers, so that an
// answer that arrived during the stall is not taken for a time-out.
func (e *Engine) StepLate(now time.Duration, events []Event, cmds []Command) []Command {
	return e.step(now, events, cmds, true)
}

func (e *Engine) step(now time.Duration, events []Event, cmds []Command, late bool) []Command {
	if e.now == 0 {
		e.sessions.restore(e.cfg.Sessions, e.cfg.SessionsComplete, now)
		e.cfg.Sessions = nil
	}
	e.now, e.cmds = max(now, e.now), cmds
	if !late {
		e.timers.Run(e.now)
	}
	for i := range events {
		e.handle(&events[i])
	}
	if late {
		e.timers.Run(e.now)
	}
	e.rounds.Run(e.now)
	e.removeFinished()
	if e.stopBy > 0 && !e.stopped && e.held == 0 {
		e.stopped = true
		e.cmds = append(e.cmds, Command{Kind: CommandStopped})
	}
	cmds, e.cmds = e.cmds, nil
	return cmds
}

func (e *Engine) handle(ev *Event) {
	switch ev.Kind {
	case EventRequest:
		e.handleRequest(ev)
	case EventClientLeft:
		e.handleClientLeft(ev.Request)
	case EventDialed:
		e.handleDialed(e.conns[ev.Conn], ev.Dial)
	case EventResult:
		e.handleResult(e.conns[ev.Conn], &ev.Result)
	case EventStreamStarted:
		e.handleStreamStart(e.conns[ev.Conn], &ev.Result)
	case EventClosed:
		e.handleClosed(e.conns[ev.Conn])
	case EventNodeList:
		e.handleList(ev)
	case EventStop:
		e.handleStop(ev.Until)
	}
}

// maxRounds bounds the exchanges with the router at one time, as its actions can cause events at once.
const maxRounds = 64

func (e *Engine) execute(a *balance.Action) {
	switch a.Kind {
	case balance.ActionSend:
		e.startAttempt(e.requests[a.Request], a)
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
		e.closeIdle(e.nodes[a.Server])
	case balance.ActionLog:
		e.cmds = append(e.cmds, Command{Kind: CommandLog, Text: e.withNodeNames(a.Text)})
	}
}

func (e *Engine) notifyRouter(ev balance.Event) { e.rounds.Notify(ev) }

func (e *Engine) handleRequest(ev *Event) {
	if e.requests[ev.Request] != nil {
		return
	}
	if cause := e.rejectCause(&ev.Params); cause != CauseNone {
		e.cmds = append(e.cmds, Command{Kind: CommandAnswer, Request: ev.Request, Answer: Answer{Status: Refused, Cause: cause}})
		return
	}
	q := &request{id: ev.Request, params: ev.Params, class: &e.cfg.Router.Classes[ev.Params.Class], slice: e.slices[ev.Params.Slice]}
	if cause := e.resolveNeed(q); cause != CauseNone {
		e.cmds = append(e.cmds, Command{Kind: CommandAnswer, Request: ev.Request, Answer: Answer{Status: Refused, Cause: cause}})
		return
	}
	e.requests[q.id] = q
	e.held++
	q.slice.waiting++
	class, sinceWrite := q.params.Class, e.sinceWrite(q)
	if sinceWrite > 0 && e.tokenClasses[class] != class {
		if q.class.Need == balance.NeedBounded {
			sinceWrite = min(sinceWrite, q.class.Bound)
		}
		class = e.tokenClasses[class]
	}
	e.notifyRouter(balance.Event{Kind: balance.EventRequest, Request: q.id, Class: class, Group: q.slice.group,
		Key: xxhash.Sum64String(q.params.Session), Deadline: q.params.Deadline - e.cfg.AnswerMargin, SinceWrite: sinceWrite})
}

// resolveNeed sets the position that a read must see. It guards against reads that do not see their session's
// writes, and returns a cause if the token rules out serving the request: a foreign token, a missing one, or one for
// a write that a promotion lost.
func (e *Engine) resolveNeed(q *request) Cause {
	if e.isForeign(q.params.Token) {
		return CauseForeignToken
	}
	need, named := q.params.Token.Position(q.params.Slice)
	if e.cfg.DriverSessions && q.params.Session != "" {
		at := e.sessions.required(q.params.Slice, q.params.Session)
		need, named = need.Join(at), named || !at.IsZero()
	}
	tokenNeed := need
	if q.class.Need == balance.NeedSession && (!named || q.params.TokenLost) {
		switch policy := e.missingTokenPolicy(q.params.Class); {
		case policy == MissingTokenRefuse:
			return CauseTokenMissing
		case policy == MissingTokenPrimary || q.params.TokenLost:
			need = position.Present
		}
	}
	if q.class.Need != balance.NeedWrite && q.slice.clock.Lost(tokenNeed) {
		return CauseTokenLost
	}
	q.need, q.tokenNeed = need, tokenNeed
	return CauseNone
}

func (e *Engine) missingTokenPolicy(class int) MissingTokenPolicy {
	if class < len(e.cfg.MissingToken) {
		return e.cfg.MissingToken[class]
	}
	return MissingTokenAccept
}

// isForeign reports whether a token names slices, but none that this driver knows.
func (e *Engine) isForeign(t token.Token) bool {
	ids := t.Slices()
	return len(ids) > 0 && !slices.ContainsFunc(ids, func(id token.SliceID) bool { return len(e.byToken[id]) > 0 })
}

// unservable returns why a read can never be served, by what its slice's primary reported since the request
// arrived: its token is ahead of the whole log, or represents a write that a promotion lost. Without this check such
// a read would be retried until its deadline.
func (q *request) unservable(n *node, f Facts) Cause {
	switch {
	case q.done || !f.Known || f.Replica || q.tokenNeed.LSN == position.UnknownLSN || n.deposed(f):
		return CauseNone
	case q.slice.clock.Lost(q.tokenNeed):
		return CauseTokenLost
	case f.Position.Timeline == q.tokenNeed.Timeline && f.Position.LSN < q.tokenNeed.LSN:
		return CauseTokenAhead
	}
	return CauseNone
}

// minPruneAge is how long ago a position must have been committed before it is dropped from tokens.
const minPruneAge = time.Minute

// prunedToken drops from a token the positions of other slices that all nodes there passed long ago. Otherwise
// tokens would grow with every slice a client has used.
func (e *Engine) prunedToken(t token.Token, except *slice) token.Token {
	if len(t.Slices()) < 2 {
		return t
	}
	for _, id := range t.Slices() {
		if all := e.byToken[id]; len(all) == 1 && all[0] != except && e.prunable(all[0], t.ListedPosition(id)) {
			t = t.With(all[0].name, position.Position{})
		}
	}
	return t
}

// prunable reports whether a position is old and all nodes have passed it. If it were dropped earlier, a replica that
// lags could serve a stale read.
func (e *Engine) prunable(s *slice, at position.Position) bool {
	if at.LSN == position.UnknownLSN || at.Timeline != s.clock.Timeline() {
		return false
	}
	by, ok := s.clock.CommittedBy(at)
	return ok && e.now-by > minPruneAge && e.allReached(s, at)
}

// allReached reports whether every listed node of a slice has reported a position at or beyond at.
func (e *Engine) allReached(s *slice, at position.Position) bool {
	for _, n := range s.nodes {
		if n.entry.Life != balance.LifeRemoved && (!n.facts.Known || !covers(n.facts, at)) {
			return false
		}
	}
	return true
}

// rejectCause returns why a request is not accepted, CauseNone if it is: shutdown, an unknown class or slice, or
// more than Config.MaxOpen open requests.
func (e *Engine) rejectCause(a *RequestParams) Cause {
	switch {
	case e.stopBy > 0:
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

// sinceWrite returns a read's need in the router's terms: a node proven to have all commits as of this long ago has
// what the read must see. It is 0 if the read need not see any write.
func (e *Engine) sinceWrite(q *request) time.Duration {
	if q.need.IsZero() {
		return 0
	}
	by, ok := q.slice.clock.ReachedBy(q.need)
	if !ok {
		return 1 // no observed position reaches it yet: require the latest
	}
	return max(1, e.now-by)
}

// handleClientLeft ends a request whose client disconnected. Its exchanges in flight go on, and their connections
// stay busy until the replies arrive.
func (e *Engine) handleClientLeft(id RequestID) {
	q := e.requests[id]
	if q == nil || q.done {
		return
	}
	e.notifyRouter(balance.Event{Kind: balance.EventAborted, Request: id})
	e.finish(q)
}

// answer sends the final answer unless one was sent.
func (e *Engine) answer(q *request, a Answer) {
	if q == nil || q.done {
		return
	}
	a.Attempts = len(q.attempts)
	e.cmds = append(e.cmds, Command{Kind: CommandAnswer, Request: q.id, Answer: a})
	e.finish(q)
}

// finish marks a request as done and ends its attempts that are not sent yet or are streaming. The others end with
// their replies.
func (e *Engine) finish(q *request) {
	if q.inFlight == 0 {
		q.slice.waiting--
	}
	q.done = true
	e.held--
	for _, a := range q.attempts {
		switch {
		case a.state == waiting:
			e.endAttempt(a, balance.Event{Outcome: balance.OutcomeUnsent})
		case a.state != sent || !a.ownsConn():
		case a.streaming:
			e.removeConn(a.conn, true) // its rows have no reader
			e.endAttempt(a, balance.Event{Outcome: balance.OutcomeCancelled})
		case e.cfg.CancelWork && q.class.Effect == balance.Safe:
			e.cancel(a.conn)
		}
	}
	e.queueRemoval(q)
}

// queueRemoval schedules the removal of a finished request for the end of the step. Until the router knows that
// the request is over it may still start an attempt, and must be notified of that attempt's outcome.
func (e *Engine) queueRemoval(q *request) {
	if q.done && q.inFlight == 0 {
		e.finished = append(e.finished, q.id)
	}
}

func (e *Engine) removeFinished() {
	for _, id := range e.finished {
		if q := e.requests[id]; q != nil && q.done && q.inFlight == 0 {
			delete(e.requests, id)
		}
	}
	e.finished = e.finished[:0]
}

func (e *Engine) handleStop(until time.Duration) {
	if e.stopBy > 0 {
		return
	}
	e.stopBy = max(until, 1)
	e.timers.Set(until, func(time.Duration) { e.answerRemaining() })
}

// answerRemaining answers all open requests at the shutdown deadline. One that may have run fails unless its class
// is safe; the others are refused.
func (e *Engine) answerRemaining() {
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
		e.notifyRouter(balance.Event{Kind: balance.EventAborted, Request: id})
		e.answer(q, a)
	}
}

func (e *Engine) handleList(ev *Event) {
	if ev.List == balance.ListFailed {
		e.notifyRouter(balance.Event{Kind: balance.EventList, List: balance.ListFailed})
		return
	}
	entries := make([]balance.Entry, 0, len(ev.Nodes))
	seen := map[balance.ServerID]bool{}
	for _, n := range ev.Nodes {
		known := e.findOrAddNode(n)
		seen[known.id] = true
		if known.entry = n; n.Life == balance.LifeReady {
			known.leavingSince = 0
		} else if known.leavingSince == 0 {
			known.leavingSince = e.now
		}
		entries = append(entries, balance.Entry{Server: known.id, Group: known.slice.group,
			Zone: max(0, slices.Index(e.cfg.Zones, n.Zone)), Life: n.Life, Started: n.Started})
	}
	for _, n := range e.nodes {
		if ev.List != balance.ListDelta && !seen[n.id] {
			n.entry.Life = balance.LifeRemoved
			if n.leavingSince == 0 && !e.cfg.Router.SoftRemoval {
				n.leavingSince = e.now
			}
		}
	}
	e.closeRemoved()
	e.notifyRouter(balance.Event{Kind: balance.EventList, List: ev.List, Entries: entries})
}

// closeRemoved closes the idle connections to nodes that are no longer listed, unless Router.SoftRemoval keeps
// such nodes. Otherwise their file descriptors would stay in use for Config.IdleClose.
func (e *Engine) closeRemoved() {
	if e.cfg.Router.SoftRemoval {
		return
	}
	for _, n := range e.nodesInOrder() {
		if n.entry.Life != balance.LifeRemoved {
			continue
		}
		e.closeIdle(n)
		if c := n.prober; c != nil && c.state == idle {
			e.removeConn(c, true)
		}
	}
}

// nodesInOrder returns all nodes ever listed, in order of first appearance.
func (e *Engine) nodesInOrder() []*node {
	nodes := make([]*node, len(e.nodes))
	for id, n := range e.nodes {
		nodes[id-1] = n
	}
	return nodes
}
