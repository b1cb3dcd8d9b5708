// Package balance decides which server gets a request, when servers are polled, and which requests are
// retried, held or shed, for groups of one primary and its replicas. Its input is batches of events: server
// lists, requests, outcomes of attempts and polls, and timers. Its output is actions that the caller carries
// out in order; the callers are the front ends' drivers, which own the sockets and the clock.
//
// The ordinary path follows "Ratis - A Redis Proxy"; the steps named in comments are those of that paper, and
// docs/design.md lists each deviation. This file holds every decision and constant, api.go the types of
// events and actions, index.go the index of timers, and view.go what operators and tests can read.
package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Loads and limits are in requests; shares, factors and weights have no unit. Of a load that is stated for all
// routers, each router may cause its part (see routerShare).
const (
	failureLimit       = 2    // consecutive failed polls that make a server unavailable (step 1)
	pollJitter         = 0.4  // random part of a poll's wait, in poll intervals (step 1)
	pollCap            = 5    // longest wait between polls, in poll intervals (step 1)
	pollersPerInterval = 4    // routers that may poll a server within one interval; with more routers each polls less often
	expeditedPolls     = 2    // polls expedited for a read whose freshness no reported position proves
	totalStartLimit    = 16.0 // pending requests of all routers at a server of unknown capacity
	paceDecrease       = 0.8  // factor of the pace after a refusal for lack of capacity, a time-out or a late answer
	paceIncrease       = 0.1  // relative growth of the pace for each answer in less than nearTargetShare of its target
	lossWeight         = 0.15 // weight of a new answer in the mean loss rate
	totalMinPace       = 7.0  // least sum of the paces of all routers
	limitDecrease      = 0.9  // factor of a server's limit after an answer near or beyond its target
	limitIncrease      = 0.05 // greatest relative growth of a limit for one answer
	overloadDecrease   = 0.6  // factor of a server's limit after a refusal for lack of capacity or a time-out
	nearTargetShare    = 0.5  // share of the target latency beyond which an answer counts as near it
	fallbackShare      = 0.6  // share of the primary's limit open to reads that replicas could serve
	writeShare         = 2.0  // multiple of the primary's limit open to writes
	silenceFactor      = 8.0  // a server is silent after this many mean latencies without an answer
	latencyWeight      = 0.05 // weight of a new answer in the mean latency
	retryShare         = 0.05 // retry budget earned by each first attempt, in attempts
	retryBurst         = 20.0 // upper bound of the retry budget, in attempts

	holdShare = 0.5 // share of its time for which a request that was never sent is held

	observationTTL   = 5 * time.Second  // for how long observations of connections and time-outs count
	sessionRetention = 60 * time.Second // for how long a session's last commit is kept
	maxSessions      = 32768            // sessions whose last commit is kept
)

// Router makes the decisions of one driver. It is not safe for concurrent use.
type Router struct {
	cfg       Config
	rng       *rand.Rand
	now       time.Duration
	actions   []Action // result of the current Step
	servers   map[ServerID]*server
	groups    map[int]*group
	order     []*group                 // groups in the order in which they were first mentioned
	open      map[RequestID]*request   // unanswered requests, and answered ones with pending attempts
	polls     timeIndex[*server]       // members without a poll in flight, by the time of their next poll
	sweeps    timeIndex[*group]        // groups with waiting requests, by the time of their next sweep
	arrivals  uint64                   // requests so far
	due       []*server                // buffer of sendDuePolls
	held, all []*request               // buffers of sweep
	sweeping  []*group                 // buffer of sweep
	sessions  map[uint64]time.Duration // newest commit of each session, as a clock time
	writes    map[uint64]int           // pending attempts of each session's writes
	// The newest commit among the sessions that were evicted, as a clock time.
	sessionFloor time.Duration
	retryBudget  float64 // further attempts that may still be sent
	// pollInterval is the time between polls while requests wait for a primary or polls fail; idleInterval, the time
	// between other polls, is longer with more than pollersPerInterval routers.
	pollInterval, idleInterval time.Duration
	// Connections idle for idleCutoff or longer count as dropped (0: none do); idleCutoffAt is the time of that
	// observation.
	idleCutoff, idleCutoffAt time.Duration
	connLimitedUntil         time.Duration // until then servers are assumed to accept few connections
	// sweepNeeded: something changed that may let held requests be sent. connsChecked: see AssumeCheckedConns.
	sweepNeeded, connsChecked bool

	// sweepInterval is the least time between sweeps that no change calls for, lastSweep the time of the last sweep,
	// lastPrune that of the last eviction of sessions, subscribeAt when to subscribe to the list, and timerAt when the
	// pending timer fires, 0 for none.
	sweepInterval, lastSweep, lastPrune, subscribeAt, timerAt time.Duration
	// turn is the sequence number of sends, by which servers take turns; token is that of the newest timer.
	turn, token uint64
}

type group struct {
	place     int        // in the order of first mention
	members   []*server  // by ID
	queue     []*request // open requests in order of arrival
	sweepSlot timeSlot[*group]
	dirty     bool    // something changed since the group's last sweep
	primary   *server // named by the newest poll or answer; nil if unknown
	// claimedAt is the clock time as of which the primary was named; confirmedAt is when the newest poll that
	// confirmed the primary was sent.
	claimedAt, confirmedAt time.Duration
	clock                  positionClock
	latency                float64 // mean latency of answers, in ns
	pools                  [3]pool // of the primary's own requests, of reads, and of reads that fall back to the primary
}

// pool throttles a group's requests of one kind where each server's limit is at its minimum of one request:
// then only a part of the first attempts is sent.
type pool struct {
	pace      float64 // share of first attempts that are admitted, at most 1
	allowance float64 // first attempts that may be sent now
	reducedAt time.Duration
	lossRate  float64 // mean share of requests without an answer
}

// pendingAttempt is an attempt sent to a server whose outcome is not known yet.
type pendingAttempt struct {
	id      RequestID
	attempt int
	sent    time.Duration
	idle    time.Duration // how long its connection had been idle at the send; 0 for a new one
}

type server struct {
	id        ServerID
	timer     timeSlot[*server]
	group     *group
	zone      int
	life      Life
	lifeSince time.Duration // when the list last changed life
	// Start of the server's process: the latest that was listed, when that was, and as assumed after an outage.
	started      time.Duration
	start        processStart
	assumedStart time.Duration
	// The highest reported position, as a clock time, and when it was reported.
	position, positionAt time.Duration
	deniedAt             time.Duration // as of when the server last reported that it is not the primary
	drained              bool          // the server was listed as draining before it was removed
	// polled: the server answered a poll since its last failure. polling: a poll is in flight.
	polled, polling bool
	// Since the last answered poll a connection broke (connReset), or none could be opened (dialFailed).
	connReset, dialFailed bool
	polledAt, nextPoll    time.Duration // when the last poll was sent, and when the next is due
	pending               []pendingAttempt
	// reducedAt is when the limit was last reduced, answeredAt when the server last answered a request, and
	// unansweredAt when a request last timed out there, 0 if the server has answered since.
	reducedAt, answeredAt, unansweredAt time.Duration
	// When the server last answered a poll, and the send time of the newest attempt that it answered.
	pollAnsweredAt, newestAnswered time.Duration
	// Consecutive failed polls, and connections that are believed to be open.
	failedPolls, conns int
	// limit is the number of pending requests allowed; coldCredit is the number of requests that may be sent while
	// the server is cold.
	limit, coldCredit float64
	turn              uint64 // Router.turn of its last request; the lowest is next
}

type request struct {
	id                RequestID
	arrival           uint64 // sequence number
	class             *Class
	group             *group
	key               uint64
	arrived, deadline time.Duration
	minPosition       time.Duration // position that a session read must observe, as a clock time
	// Attempts sent, attempts pending, and polls expedited for the request.
	sends, pending, expedited int
	mayHaveRun                bool          // an attempt that has ended may have run
	windowStart               time.Duration // send of the first attempt that may have run
	zone                      int           // of that attempt's server
	primaryAfter              time.Duration // only a poll sent later may name the primary
	lastServer                *server
	// When polls were last expedited for the request, and when its last attempt was sent.
	expeditedAt, lastSent time.Duration
	// fallback: the request counts in the pool of reads at the primary. coldCounted: it earned credit for a cold
	// primary.
	fallback, coldCounted bool

	// withdrawn: the last attempt was withdrawn. missed: an attempt ended with OutcomeMiss. refusedFull: the last
	// attempt that ended without running was refused for lack of capacity. streamed: the answer is being streamed to
	// the client. done: the request is answered or aborted.
	withdrawn, missed, refusedFull, streamed, done bool
}

// New returns a router without any server. It fails if cfg has no classes, or a class whose target is not
// positive or exceeds its deadline. Routers with the same cfg and seed act alike on the same events.
func New(cfg Config, seed uint64) (*Router, error) {
	if len(cfg.Classes) == 0 {
		return nil, fmt.Errorf("balance: no classes")
	}
	least := cfg.Classes[0].Target
	for _, c := range cfg.Classes {
		if c.Target <= 0 || c.Deadline < c.Target {
			return nil, fmt.Errorf("balance: class %q: target %v, deadline %v", c.Name, c.Target, c.Deadline)
		}
		least = min(least, c.Target)
		if c.Need == NeedBounded && c.Bound > 0 {
			least = min(least, c.Bound)
		}
	}
	cfg.MinBatchInterval, cfg.AttemptLimit = max(cfg.MinBatchInterval, time.Millisecond), max(cfg.AttemptLimit, 1)
	interval := max(least, 10*cfg.MinBatchInterval)
	idle := interval * time.Duration(max(cfg.Routers, pollersPerInterval)) / pollersPerInterval
	r := &Router{cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed)), servers: map[ServerID]*server{},
		groups: map[int]*group{}, open: map[RequestID]*request{}, sessions: map[uint64]time.Duration{},
		pollInterval: interval, idleInterval: idle, sweepInterval: max(cfg.MinBatchInterval, least/25), subscribeAt: math.MaxInt64,
		turn: math.MaxUint32, retryBudget: retryBurst * float64(interval) / float64(idle), writes: map[uint64]int{}}
	if cfg.SubscribeToList {
		r.subscribeAt = math.MinInt64
	}
	return r, nil
}

// Step handles a batch of events that all happened at now and returns actions with the resulting ones appended
// in the order in which they are to be carried out. It never blocks. If now is before that of the last call, the
// last call's now applies.
func (r *Router) Step(now time.Duration, events []Event, actions []Action) []Action {
	r.now, r.actions = max(now, r.now), actions
	for i := range events {
		r.handle(&events[i])
	}
	if r.sweepNeeded || r.now-r.lastSweep >= r.sweepInterval {
		r.sweep()
	}
	r.setTimer(r.sendDuePolls())
	actions, r.actions = r.actions, nil
	return actions
}

func (r *Router) handle(e *Event) {
	switch e.Kind {
	case EventList:
		r.onList(e)
	case EventRequest:
		r.onRequest(e)
	case EventStreaming:
		if q := r.open[e.Request]; q != nil {
			q.streamed = true
			r.markDirty(q.group)
		}
	case EventOutcome:
		r.onOutcome(e)
	case EventAborted:
		r.close(r.open[e.Request])
	case EventPoll:
		r.onPoll(e)
	case EventTimer:
		if e.Token == r.token {
			r.timerAt = 0
		}
	}
}

// onList applies a server list. A failed list request is repeated after a random delay, so that many routers do not
// repeat it at once.
func (r *Router) onList(e *Event) {
	if e.List == ListFailed && r.cfg.SubscribeToList {
		r.log("server list unavailable; subscribing again")
		r.subscribeAt = r.now + r.jitter(r.cfg.SubscribeWithin/5)
	}
	if e.List == ListFailed {
		return
	}
	seen := map[ServerID]bool{}
	for i := range e.Entries {
		seen[e.Entries[i].Server] = true
		r.applyEntry(&e.Entries[i], e.ListSince)
	}
	for _, g := range r.order {
		for _, s := range slices.Clone(g.members) {
			if e.List != ListDelta && !seen[s.id] {
				r.removeServer(s)
			}
		}
		r.markDirty(g)
	}
	r.sweepNeeded = true
}

// markDirty makes the next sweep consider the group's requests, after a change that may let one be sent or ended.
func (r *Router) markDirty(g *group) {
	if g.dirty = true; len(g.queue) > 0 {
		r.sweeps.set(&g.sweepSlot, math.MinInt64)
	}
}

// pollAt sets the time of a server's next poll.
func (r *Router) pollAt(s *server, at time.Duration) {
	if s.nextPoll = at; !s.polling && s.life != LifeRemoved {
		r.polls.set(&s.timer, at)
	}
}

// applyEntry adds or updates a listed server. A server with a newer start than known is cold again; one that
// was removed after a drain returns only with a newer start. One that is first listed as draining has no drain grace.
// since is when the lists before were known to be complete, 0 if unknown.
func (r *Router) applyEntry(e *Entry, since time.Duration) {
	s := r.servers[e.Server]
	if s != nil && s.drained && e.Started > s.started {
		s = nil
	}
	isNew := s == nil
	switch {
	case e.Life == LifeRemoved || s != nil && s.drained:
		r.removeServer(s)
		return
	case s == nil:
		s = &server{id: e.Server, group: r.groupOf(e.Group), coldCredit: r.rng.Float64(), limit: r.startLimit(),
			polled: !r.cfg.Probing, turn: r.rng.Uint64N(r.turn)} // random turn, so that routers begin at different servers
		s.timer.item = s
		r.pollAt(s, r.now+time.Duration(r.rng.Float64()*float64(r.idleInterval-r.pollInterval)))
		r.servers[s.id] = s
		s.group.members = append(s.group.members, s)
		slices.SortFunc(s.group.members, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	case e.Started > max(s.started, s.assumedStart):
		s.coldCredit = r.rng.Float64()
		r.pollAt(s, r.now)
		if s.group.primary == s {
			s.group.primary = nil // a restarted process begins as a replica
		}
	case since > 0 && e.Started > 0 && e.Started < s.start.listed: // a restart after its clock was set back
		s.coldCredit = r.rng.Float64()
	}
	// An outdated list may be delivered again: a drain stays in force until the process restarts.
	if e.Life != s.life && (s.life != LifeDraining || e.Started > s.started) {
		s.life, s.lifeSince = e.Life, r.now
		if isNew { // its grace may have begun with an earlier removal, and no attempt is pending there
			s.lifeSince -= r.cfg.DrainGrace
		}
	}
	s.zone, s.started = e.Zone, max(s.started, e.Started)
	s.start.update(e.Started, since, r.now)
}

// routerShare is this router's part of a load that all routers together may put on a server.
func (r *Router) routerShare(total float64) float64 { return total / float64(max(r.cfg.Routers, 1)) }

// startLimit is the limit of a server of unknown capacity (slow start). It is at most 2, or a few routers would
// send a cold server all of totalStartLimit at once.
func (r *Router) startLimit() float64 { return max(1, min(2, r.routerShare(totalStartLimit))) }

// removeServer evicts a server that the list has removed. With SoftRemoval a server that was not draining stays:
// an incomplete list must not take servers out of use.
func (r *Router) removeServer(s *server) {
	if s == nil || s.life == LifeRemoved || r.cfg.SoftRemoval && s.life != LifeDraining {
		return
	}
	r.polls.remove(&s.timer)
	if s.life, s.drained = LifeRemoved, s.life == LifeDraining; !s.drained {
		delete(r.servers, s.id)
	}
	s.group.members = slices.DeleteFunc(s.group.members, func(m *server) bool { return m == s })
	if s.group.primary == s {
		s.group.primary = nil
	}
}

func (r *Router) groupOf(n int) *group {
	g := r.groups[n]
	if g == nil {
		g = &group{latency: float64(r.pollInterval) / 4, pools: [3]pool{{pace: 1}, {pace: 1}, {allowance: r.rng.Float64()}},
			place: len(r.order)}
		g.sweepSlot.item = g
		r.groups[n] = g
		r.order = append(r.order, g)
	}
	return g
}

// sendDuePolls subscribes to the list and sends the polls that are due (step 1); it returns when the next
// poll or subscription is due.
func (r *Router) sendDuePolls() time.Duration {
	if r.now >= r.subscribeAt {
		r.actions = append(r.actions, Action{Kind: ActionSubscribe})
		r.subscribeAt = math.MaxInt64
	}
	if !r.cfg.Probing {
		return r.subscribeAt
	}
	list := r.polls.popDue(r.now, r.due[:0])
	r.due = list
	slices.SortFunc(list, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.group.place, b.group.place), cmp.Compare(a.id, b.id))
	})
	for _, s := range list {
		r.sendPoll(s)
	}
	if next, ok := r.polls.next(); ok {
		return min(next, r.subscribeAt)
	}
	return r.subscribeAt
}

func (r *Router) sendPoll(s *server) {
	s.polling, s.polledAt = true, r.now
	r.polls.remove(&s.timer)
	r.markDirty(s.group)
	r.actions = append(r.actions, Action{Kind: ActionPoll, Server: s.id})
}

// onPoll handles the result of a poll and schedules the next one, with backoff after failures (step 1).
// Consecutive failures make the server unavailable until it answers a poll.
func (r *Router) onPoll(e *Event) {
	s := r.servers[e.Server]
	if s == nil || s.drained {
		return
	}
	if s.polling = false; e.Outcome == OutcomeOK {
		// After an apparent restart the server starts slowly without waiting for the list, which is delayed. A broken
		// connection alone is no evidence of a restart, nor are many within a short time.
		if outage := s.failedPolls >= failureLimit || s.connReset && s.failedPolls > 0; outage &&
			r.now-max(s.pollAnsweredAt, s.answeredAt) > pollCap*r.pollInterval {
			s.assumedStart, s.limit, s.coldCredit = r.now, r.startLimit(), r.rng.Float64()
		}
		if s.dialFailed && s.failedPolls == 0 {
			r.connLimitedUntil = r.now + observationTTL
		}
		s.failedPolls, s.polled, s.connReset, s.dialFailed, s.pollAnsweredAt = 0, true, false, false, r.now
		r.applyReport(s, &e.Report, r.now-e.Age)
		if s.group.primary == s && e.Report.Primary {
			s.group.confirmedAt = max(s.group.confirmedAt, r.now-e.Age)
		}
		r.sweepNeeded = true
	} else if s.failedPolls++; s.failedPolls >= failureLimit {
		s.polled = false
	}
	wait := r.idleInterval
	if s.failedPolls > 0 {
		wait = min(time.Duration(1+s.failedPolls)*r.pollInterval, pollCap*r.idleInterval)
	}
	r.pollAt(s, r.now+wait+time.Duration(pollJitter*r.rng.Float64()*float64(min(wait, r.idleInterval))))
	r.markDirty(s.group)
}

// applyReport learns role and position from a server's report of itself, which it was asked for at sentAt. A deposed
// primary's own denial ends its role, unless the report is older than its claim.
func (r *Router) applyReport(s *server, rep *Report, sentAt time.Duration) {
	at := r.cfg.Origin + rep.Position
	switch {
	case !rep.Valid || !rep.HasPosition:
		return
	case rep.HasRole && rep.Primary:
		r.claimPrimary(s, at, sentAt)
	case rep.HasRole && s.group.primary == s && at >= s.group.claimedAt:
		s.group.primary = nil // at claimedAt too: a deposed primary may stay at the position of its claim
	}
	s.advancePosition(at, r.now)
}

func (s *server) advancePosition(at, now time.Duration) {
	if at > s.position {
		s.position, s.positionAt = at, now
	}
}

// applyAnswer learns position and role from an answer. A write's answer carries its commit position, rounded up
// to a millisecond, which is undone here so that no replica counts as fresher than it is.
func (r *Router) applyAnswer(s *server, e *Event, write bool) {
	clock, sentAt := &s.group.clock, r.now-e.Age
	at := clock.present(r.now) - r.cfg.MinBatchInterval
	if (e.Position > 0 || e.Report.HasPosition) && s.group.primary != nil && s.nextPoll > r.now {
		// The answer replaces a poll, which saves load where there are many routers. Without a primary no poll is put off.
		r.pollAt(s, max(s.nextPoll, min(r.now+r.idleInterval, s.polledAt+pollCap*r.idleInterval)))
	}
	if e.Position > 0 {
		at = r.cfg.Origin + e.Position
		if write && e.Outcome == OutcomeOK {
			at -= time.Millisecond
		}
		s.advancePosition(at, r.now)
	}
	switch e.Role {
	case RolePrimary:
		r.claimPrimary(s, at, sentAt)
	case RoleReplica:
		// It was not the primary at some time since the send; positions in answers, truncated to milliseconds, may
		// seem older.
		if at = max(at, clock.present(sentAt)); e.Outcome == OutcomeMiss && write {
			at = clock.present(r.now)
		}
		s.deniedAt = max(s.deniedAt, at)
		if s.group.primary == s && at+time.Millisecond > s.group.claimedAt {
			s.group.primary = nil
			r.expeditePolls(s.group, 0)
		}
	}
	r.applyReport(s, &e.Report, sentAt)
}

// claimPrimary makes s the primary as of a position unless a newer claim or denial is known: a delayed report must not
// bring back a deposed primary. A primary's position is its current time, so positions order all claims. s made the
// report at sentAt or later.
func (r *Router) claimPrimary(s *server, at, sentAt time.Duration) {
	g := s.group
	if at <= s.deniedAt || at <= g.claimedAt {
		return
	}
	g.claimedAt = at
	g.clock.observe(at, sentAt, r.now)
	if g.primary != s {
		r.log(primaryLogPrefix + strconv.FormatUint(uint64(s.id), 16))
		g.primary, r.sweepNeeded = s, true
	}
}

// expeditePolls brings the polls of a group's members forward, so that a new primary is found before their timers
// fire.
func (r *Router) expeditePolls(g *group, within time.Duration) {
	for _, s := range g.members {
		if r.now+within < s.nextPoll {
			r.pollAt(s, r.now+within)
		}
	}
}

// onRequest rejects a request without time left, and dispatches or holds any other. It sets the position that a
// session read must observe, which guards against reads that miss the session's own writes.
func (r *Router) onRequest(e *Event) {
	if r.open[e.Request] != nil {
		return
	} else if e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		r.actions = append(r.actions, Action{Kind: ActionReject, Request: e.Request})
		return
	}
	q := &request{id: e.Request, class: &r.cfg.Classes[e.Class], group: r.groupOf(e.Group), key: e.Key,
		arrived: r.now, deadline: e.Deadline, primaryAfter: -1}
	if q.class.Need == NeedSession && r.cfg.DriverSessions {
		if q.minPosition = max(r.sessionFloor, r.sessions[e.Key]); r.writes[e.Key] > 0 {
			q.minPosition = q.group.clock.present(r.now) // a pending write may have run already, and its answer may be lost
		}
	} else if q.class.Need == NeedSession && e.SinceWrite != 0 {
		q.minPosition = r.now - e.SinceWrite
	}
	r.open[q.id] = q
	if r.now >= r.giveUpAt(q) {
		r.finish(q) // no time is left, and an answer from the next sweep would be too late
		return
	}
	r.arrivals++
	q.arrival, q.group.queue = r.arrivals, append(q.group.queue, q)
	r.markDirty(q.group)
	g := q.pool()
	g.allowance = min(g.allowance+g.pace, 2)
	for _, s := range q.group.members {
		if s.polledAt == 0 {
			r.pollAt(s, r.now) // first polls are spread over time unless a request waits for one
		}
	}
	r.dispatch(q)
}

// dispatch sends q to a server and reports whether one could take it now (admission control): the class's rule
// for further attempts, the pool's pace and the retry budget each can hold q back.
func (r *Router) dispatch(q *request) bool {
	if !r.maySend(q) || q.sends == 0 && !q.pool().admits() || q.refusedFull && r.retryBudget < 1 {
		return false // the peers of an overloaded server are likely overloaded too: hold it
	}
	s := r.pick(q)
	if s == nil {
		return false
	}
	if q.refusedFull {
		r.retryBudget, q.refusedFull = r.retryBudget-1, false
	}
	if q.sends == 0 {
		q.pool().allowance--
		r.retryBudget = min(r.retryBudget+retryShare, retryBurst)
	}
	if q.pending == 0 && !q.mayHaveRun {
		q.windowStart, q.zone = r.now, s.zone
	}
	if q.class.Need == NeedWrite {
		r.writes[q.key]++
	}
	s.pending = append(s.pending, pendingAttempt{q.id, q.sends, r.now, r.dropStaleConns(s)})
	r.actions = append(r.actions, Action{Kind: ActionSend, Request: q.id, Server: s.id, WriteWithin: r.writeWithin(q)})
	q.sends, q.pending, q.lastServer, q.lastSent, q.withdrawn = q.sends+1, q.pending+1, s, r.now, false
	r.turn, s.turn = r.turn+1, r.turn+1
	if q.class.Need > NeedFresh && s == q.group.primary {
		q.group.pools[2].allowance--
	}
	r.accountSend(s, q)
	return true
}

// dropStaleConns returns how long the connection that s is to use next has been idle, 0 for a new one. It closes
// idle connections of an age at which a request was lost before: networks may drop them without notice.
func (r *Router) dropStaleConns(s *server) time.Duration {
	idle := r.now - s.answeredAt
	if s.answeredAt == 0 || len(s.pending) > 0 {
		return 0
	} else if r.idleCutoff == 0 || idle < r.idleCutoff || r.now-r.idleCutoffAt > observationTTL {
		return idle // too short to be dropped, or the observation is too old to count
	}
	r.actions = append(r.actions, Action{Kind: ActionDisconnect, Server: s.id})
	s.conns = 0
	return 0
}

// connLost reports whether q's unanswered attempt was the first on a connection idle for long, and then removes
// the attempt from the pending ones. Guards against connections that were dropped without notice; at a hung server
// it costs one more attempt, on a new connection.
func (r *Router) connLost(s *server, q *request) bool {
	i := slices.IndexFunc(s.pending, func(f pendingAttempt) bool { return f.id == q.id && f.attempt == q.sends-1 })
	if i < 0 || s.pending[i].idle < r.pollInterval || r.now < r.connLimitedUntil || r.connsChecked {
		return false
	}
	if r.idleCutoff == 0 || s.pending[i].idle < r.idleCutoff || r.now-r.idleCutoffAt > observationTTL {
		r.idleCutoff = s.pending[i].idle
	}
	r.idleCutoffAt = r.now
	s.pending = slices.Delete(s.pending, i, i+1)
	return true
}

// maySend reports whether another attempt is allowed. Guards against executing twice what must run once: beyond
// the first attempt that may have run, only safe requests and keyed ones within their window may be sent again.
func (r *Router) maySend(q *request) bool {
	if q.done || q.streamed || q.sends >= r.cfg.AttemptLimit || r.now >= q.deadline ||
		q.pending > 0 && !r.cfg.ParallelAttempts {
		return false
	}
	return q.pending == 0 && !q.mayHaveRun || q.class.Effect == Safe ||
		q.class.Effect == Keyed && r.windowLeft(q) > 0
}

// windowLeft is how much longer repeats of a keyed request are discarded, with a margin for the batching of events.
func (r *Router) windowLeft(q *request) time.Duration {
	return q.windowStart + q.class.Window - 2*r.cfg.MinBatchInterval - r.now
}

// writeWithin is how long q's next attempt may wait to be written, 0 for no limit. Guards against a keyed request that
// runs twice because its attempt waited for a connection until the window was over.
func (r *Router) writeWithin(q *request) time.Duration {
	onlyAttempt := q.pending == 0 && !q.mayHaveRun && !r.cfg.ParallelAttempts
	if q.class.Effect != Keyed || onlyAttempt {
		return 0
	}
	return max(0, r.windowLeft(q))
}

// leavesScope reports whether a further attempt at s would run outside the zone whose servers discard repeats,
// and so might run twice. A request never leaves its group.
func (q *request) leavesScope(s *server) bool {
	return q.class.Scope == ScopeZone && s.zone != q.zone && (q.mayHaveRun || q.pending > 0)
}

// mayReject reports whether the client may be answered that retrying is harmless: nothing ran, or a repeat is
// safe. Otherwise the client's own retry could run a write twice.
func (q *request) mayReject() bool {
	return q.class.Effect == Safe || q.pending == 0 && !q.mayHaveRun || q.class.Effect == Keyed && q.class.Scope == ScopeAll
}

// pick chooses the server for a request (steps 3 and 4), nil if none may take it now. Writes go to the primary,
// reads to a replica that is fresh enough, or else to the primary.
func (r *Router) pick(q *request) *server {
	p := q.group.primary
	if q.class.Need <= NeedFresh {
		if p == nil && !r.cfg.Probing && q.class.Need == NeedWrite {
			// Without polls only a miss finds the primary, and a miss runs nothing.
			p = r.bestReplica(q, func(*server, *request) bool { return true })
		}
		if p == nil || q.leavesScope(p) || q.group.confirmedAt < q.primaryAfter && r.cfg.Probing || !r.accepts(p, q) {
			return nil
		}
		return p
	}
	s := r.bestReplica(q, r.freshEnough)
	if s == nil && r.cfg.LagPolicy != LagServe && !q.missed {
		s = r.bestReplica(q, r.mayCatchUp)
	}
	if s != nil || p == nil || p == q.lastServer || r.expediteForRead(q) || !r.accepts(p, q) || !r.mayFallBack(q) {
		return s
	}
	return p
}

// mayFallBack reports whether a read may go to the primary. Guards writes against a surge of reads when replicas
// lag. The admitted share starts at one member's part of the reads, or at all of them with few routers, and
// then follows the answers.
func (r *Router) mayFallBack(q *request) bool {
	f := &q.group.pools[2]
	if f.pace == 0 {
		f.pace = min(1, max(1/float64(len(q.group.members)), 2*r.routerShare(pollersPerInterval)))
	}
	if !q.fallback {
		q.fallback, f.allowance = true, min(f.allowance+f.pace, 1)
		r.markDirty(q.group)
	}
	return f.admits()
}

// admits reports whether another first attempt may be sent (load shedding).
func (p *pool) admits() bool { return p.pace >= 1 || p.allowance >= 1 }

// expediteForRead sends expedited polls for a read that no reported position satisfies, and reports whether one of
// them or a member's first poll is in flight. Guards against needless fallback to the primary: with many routers,
// polls and answers are too rare to prove freshness. If reports are older than the bound, the read reaches the
// primary one poll later.
func (r *Router) expediteForRead(q *request) bool {
	firstPollPending := func(s *server) bool { return s.positionAt == 0 && s.failedPolls == 0 }
	if !r.cfg.Probing || slices.ContainsFunc(q.group.members, firstPollPending) {
		return r.cfg.Probing
	} else if r.cfg.LagPolicy != LagServe || q.class.Need == NeedAny {
		return false
	}
	for ; q.expedited < expeditedPolls; q.expedited++ {
		s := r.bestReplica(q, func(s *server, q *request) bool {
			return !s.polling && r.now-max(s.polledAt, s.positionAt) > r.pollInterval && !r.freshEnough(s, q)
		})
		if s == nil {
			break
		}
		r.sendPoll(s)
		q.expeditedAt = r.now
	}
	return q.expedited > 0 && r.now-q.expeditedAt < 10*r.cfg.MinBatchInterval && slices.ContainsFunc(q.group.members,
		func(s *server) bool { return s.polling && s.polledAt == q.expeditedAt })
}

// compareServers orders servers by preference: fewest pending requests, then an idle connection, as a new one
// costs the server work, then round robin. Servers with a recent time-out come last (outlier detection). While
// servers refuse connections, those with an idle one come first, so that a router with few requests opens no more.
func (r *Router) compareServers(a, b *server) int {
	if r.now < r.connLimitedUntil {
		return cmp.Or(cmp.Compare(b.idleConns(), a.idleConns()), cmp.Compare(b.answeredAt, a.answeredAt))
	}
	return cmp.Or(cmp.Compare(r.penaltyLeft(a), r.penaltyLeft(b)), cmp.Compare(len(a.pending), len(b.pending)),
		cmp.Compare(r.connReady(b), r.connReady(a)), cmp.Compare(a.turn, b.turn))
}

// connReady is 1 if s has an idle connection, else 0. It is always 1 for cold servers, which coldCredit limits, and
// with up to pollersPerInterval routers.
func (r *Router) connReady(s *server) int {
	if r.cfg.Routers <= pollersPerInterval || r.warmth(s) < 1 {
		return 1
	}
	return s.idleConns()
}

// penaltyLeft is how long a server still ranks last because a request timed out there (outlier detection);
// an answer ends it.
func (r *Router) penaltyLeft(s *server) time.Duration {
	return max(0, s.unansweredAt+observationTTL-r.now)
}

// idleConns is 1 if the server has an idle connection, else 0.
func (s *server) idleConns() int { return max(0, min(1, s.conns-len(s.pending))) }

// bestReplica returns the preferred replica that satisfies fit and accepts the request, nil if there is none. The
// server of the last attempt is left out.
func (r *Router) bestReplica(q *request, fit func(*server, *request) bool) *server {
	var best *server
	for _, s := range q.group.members {
		if s != q.group.primary && s != q.lastServer && fit(s, q) && r.accepts(s, q) &&
			(best == nil || r.compareServers(s, best) < 0) {
			best = s
		}
	}
	return best
}

// mayCatchUp reports whether a replica that replays the log in real time can reach what a read needs within
// CatchUpWait. Guards against lags of seconds, which would turn each read into a miss; it wrongly excludes a
// replica that catches up faster.
func (r *Router) mayCatchUp(s *server, q *request) bool {
	need := q.minPosition
	if q.class.Need == NeedBounded {
		need = q.group.clock.present(r.now) - q.class.Bound
	}
	return s.position == 0 && !r.cfg.Probing ||
		s.position > 0 && need <= s.position+(r.now-s.positionAt)+r.cfg.CatchUpWait
}

// freshEnough reports whether a reported position satisfies the read; what the server may have applied since
// then does not count. Guards against stale reads.
func (r *Router) freshEnough(s *server, q *request) bool {
	if q.class.Need == NeedBounded {
		clock := &q.group.clock
		return s.position >= clock.present(r.now)-q.class.Bound && s.position > 0 && clock.plausible(s.position, s.positionAt)
	}
	return q.class.Need != NeedSession || s.position >= q.minPosition
}

// accepts reports whether a server may get the request: it is available, has capacity, answers, is warm enough,
// and is not draining.
func (r *Router) accepts(s *server, q *request) bool {
	if !s.polled || !r.hasCapacity(s, q) || r.silent(s) || !r.warmEnough(s, q) {
		return false
	}
	// A draining primary still takes writes until its role is handed over, at most for the drain grace.
	return s.life == LifeReady || s.life == LifeDraining && s == s.group.primary && q.class.Need <= NeedFresh &&
		r.now-s.lifeSince < r.cfg.DrainGrace-2*r.cfg.MinBatchInterval
}

// hasCapacity reports whether a server may have one more pending request (concurrency limit). While servers
// accept few connections, a request waits for one in use rather than open another.
func (r *Router) hasCapacity(s *server, q *request) bool {
	share := 1.0
	if q.class.Need == NeedWrite {
		share = writeShare
	} else if q.class.Need > NeedFresh && s == s.group.primary {
		share = fallbackShare
	}
	pending := 0.0
	for _, f := range s.pending {
		if !r.stuck(s, f.sent) {
			pending++
		}
	}
	return pending < max(1, s.limit*share) &&
		(r.now >= r.connLimitedUntil || s.conns == 0 || len(s.pending) < s.conns)
}

// silent reports whether a server leaves its pending requests unanswered (outlier detection): a hang, a pause or a
// partitioned network. Requests sent before the newest answered one are left out: the server has
// answered since, so they alone are slow.
func (r *Router) silent(s *server) bool {
	i := slices.IndexFunc(s.pending, func(f pendingAttempt) bool { return f.sent >= s.newestAnswered })
	return i >= 0 && r.now-max(s.answeredAt, s.pending[i].sent) > r.silenceTimeout(s)
}

// stuck reports whether a request sent at that time has waited for long although a later one was answered: most
// likely its connection alone is dead. Such a request uses no capacity and is no evidence against the server; a
// request that merely takes long is misjudged.
func (r *Router) stuck(s *server, sent time.Duration) bool {
	return sent < s.newestAnswered && r.now-sent > r.silenceTimeout(s)
}

// silenceTimeout is how long a server may leave requests unanswered before it counts as silent. It spans many
// mean latencies, so that a single long request does not look like a hang.
func (r *Router) silenceTimeout(s *server) time.Duration {
	return max(time.Duration(silenceFactor*s.group.latency), 10*r.cfg.MinBatchInterval)
}

// warmEnough reports whether a server is warm or has credit (slow start): the load of all routers together must not
// overload a cold server.
func (r *Router) warmEnough(s *server, q *request) bool {
	share := r.warmth(s)
	if share < 1 && s == s.group.primary && q.class.Need <= NeedFresh && !q.coldCounted &&
		r.now-q.arrived < r.cfg.ColdOverloadWindow {
		// Only the primary can serve these. Older requests earn no credit, or a backlog would arrive at once.
		q.coldCounted = true
		s.coldCredit += share * max(1, r.cfg.ColdOverloadMultiple/2)
	}
	return share >= 1 || s.coldCredit >= 1
}

// accountSend charges a send to a cold server's credit. A read sent to a warm replica earns each cold peer its
// warmth as a fraction of a warm peer's share. Initial credit is random and below one, so that the sends of many
// routers with few requests each add up, in the mean, to that fraction of a warm server's load. If warm peers
// are overloaded, cold ones earn too much.
func (r *Router) accountSend(s *server, q *request) {
	if r.warmth(s) < 1 {
		s.coldCredit--
		return
	}
	warm := 0.0
	for _, m := range s.group.members {
		if m.polled && m != s.group.primary && r.warmth(m) >= 1 {
			warm++
		}
	}
	for _, m := range s.group.members {
		if w := r.warmth(m); w < 1 && m != s.group.primary && q.class.Need > NeedFresh {
			m.coldCredit = min(m.coldCredit+w/max(warm, 1), 2)
		}
	}
}

// warmth is the least share of its capacity, up to 1, that a server has at this time after its start.
func (r *Router) warmth(s *server) float64 {
	start := s.start.at
	if r.now-s.assumedStart < observationTTL { // if it did restart, the list shows that by then
		start = max(start, s.assumedStart)
	}
	age := r.now - start
	if start == 0 || age >= r.cfg.RampTime {
		return 1
	}
	return r.cfg.ColdFrom + (1-r.cfg.ColdFrom)*float64(max(age, 0))/float64(r.cfg.RampTime)
}

// onOutcome handles the outcome of an attempt and retries or ends its request. A write that may have run counts for its
// session even without an answer, or a later read could miss it.
func (r *Router) onOutcome(e *Event) {
	q := r.open[e.Request]
	if s := r.servers[e.Server]; s != nil {
		r.attemptEnded(s, q, e)
	}
	if r.sweepNeeded = true; q == nil {
		return
	}
	r.markDirty(q.group)
	if q.pending--; q.class.Need == NeedWrite {
		if r.writes[q.key]--; r.writes[q.key] == 0 {
			delete(r.writes, q.key)
		}
		if commit := q.group.clock.present(r.now); r.cfg.DriverSessions && !e.Outcome.NeverRan() { // it may have run without an answer
			if e.Outcome == OutcomeOK && e.Position > 0 {
				commit = r.cfg.Origin + e.Position
			}
			r.recordCommit(q.key, commit)
		}
	}
	if e.Settled || q.done {
		r.close(q)
		return
	}
	if q.mayHaveRun = q.mayHaveRun || !e.Outcome.NeverRan(); e.Outcome.NeverRan() {
		q.missed = q.missed || e.Outcome == OutcomeMiss
		q.refusedFull = e.Outcome == OutcomeFull
		if q.class.Need == NeedWrite {
			q.primaryAfter = r.now
			r.expeditePolls(q.group, 0)
		}
	}
	if q.pending == 0 {
		r.retry(q)
	}
}

// attemptEnded updates a server's state by the outcome of an attempt there; q is nil if the request is no longer
// known. Time-outs of attempts with little time, and of stuck ones, count for nothing: they are no sign of load.
func (r *Router) attemptEnded(s *server, q *request, e *Event) {
	r.markDirty(s.group)
	s.pending = slices.DeleteFunc(s.pending, func(f pendingAttempt) bool { return f.id == e.Request && f.attempt == e.Attempt })
	switch e.Outcome {
	case OutcomeOK, OutcomeError, OutcomeFull, OutcomeMiss:
		s.answeredAt, s.unansweredAt, s.conns = r.now, 0, max(s.conns, len(s.pending)+1)
		s.newestAnswered = max(s.newestAnswered, r.now-e.Age)
		r.applyAnswer(s, e, q != nil && q.class.Need == NeedWrite)
		if q != nil && e.Outcome == OutcomeOK {
			r.adapt(s, q, e.Age)
		} else if q != nil && e.Outcome == OutcomeFull {
			r.reduceLimit(s, q, overloadDecrease, paceDecrease)
		}
	case OutcomeTimeout, OutcomeCancelled:
		if q == nil || float64(e.Age) <= nearTargetShare*float64(q.class.Target) || r.stuck(s, r.now-e.Age) {
			return // too short or on a dead connection: no evidence against the server
		}
		// Some answers are lost in the network or at a hung server; a loss of most of them means overload.
		g, pace := q.pool(), 1.0
		s.unansweredAt = r.now
		if g.lossRate += lossWeight * (1 - g.lossRate); g.lossRate > 0.5 {
			pace = paceDecrease
		}
		r.reduceLimit(s, q, overloadDecrease, pace)
	case OutcomeReset:
		s.connReset, s.polled = true, !r.cfg.Probing
		r.pollAt(s, r.now)
	case OutcomeConnectFailed:
		s.dialFailed, s.conns, r.idleCutoff = true, len(s.pending), 0
		s.polled = !r.cfg.Probing
		r.pollAt(s, r.now)
	}
}

// adapt updates mean latency, limit and pace by an answer. Answers near their target reduce the limit, as the
// server's queue is then long enough; others raise it. Guards against queues whose answers all come late.
func (r *Router) adapt(s *server, q *request, age time.Duration) {
	s.group.latency += latencyWeight * (float64(age) - s.group.latency)
	g := q.pool()
	g.lossRate -= lossWeight * g.lossRate
	if age > q.class.Target {
		r.reduceLimit(s, q, limitDecrease, paceDecrease)
		return
	} else if float64(age) > nearTargetShare*float64(q.class.Target) {
		r.reduceLimit(s, q, limitDecrease, 1)
		return
	}
	g.pace = min(1, g.pace*(1+paceIncrease))
	if float64(len(s.pending)+1) >= s.limit/2 {
		s.limit += min(1/s.limit, limitIncrease*s.limit)
	}
}

// reduceLimit lowers a server's limit, at most once per mean latency, as answers show the effect of a reduction only
// after that. A limit is at least one: from there on the pool's pace is lowered, so that many routers with few
// requests each send only a part of them (load shedding).
func (r *Router) reduceLimit(s *server, q *request, limit, pace float64) {
	if float64(r.now-s.reducedAt) > s.group.latency {
		s.limit, s.reducedAt = max(1, min(s.limit, float64(len(s.pending)+1))*limit), r.now
	}
	if g := q.pool(); s.limit == 1 && float64(r.now-g.reducedAt) > s.group.latency {
		g.pace, g.reducedAt = max(min(1, r.routerShare(totalMinPace)), g.pace*pace), r.now
	}
}

// pool is the pool that the request counts in, by its class and its last server.
func (q *request) pool() *pool {
	switch {
	case q.class.Need <= NeedFresh:
		return &q.group.pools[0]
	case q.lastServer != nil && q.lastServer == q.group.primary:
		return &q.group.pools[2]
	}
	return &q.group.pools[1]
}

// retry sends a request whose attempts have all ended again if that is allowed, else gives its final answer. An
// attempt after one that may have run is charged to the retry budget, which guards against retry storms.
func (r *Router) retry(q *request) {
	if !r.maySend(q) || q.mayHaveRun && r.retryBudget < 1 {
		r.finish(q)
		return
	}
	if q.mayHaveRun {
		r.retryBudget--
	}
	r.dispatch(q)
}

// finish gives the final answer: a reject if a retry by the client is harmless, with a random delay against a
// surge of retries, else a failure.
func (r *Router) finish(q *request) {
	a := Action{Kind: ActionFail, Request: q.id}
	if q.mayReject() {
		a.Kind = ActionReject
	}
	if r.cfg.RetryAfter && q.mayReject() {
		a.After = r.cfg.MaxRetryAfter/2 + r.jitter(r.cfg.MaxRetryAfter/2)/2
	}
	r.actions = append(r.actions, a)
	r.close(q)
}

// close ends a request. It stays known while attempts are pending: a late answer to a write still counts
// for its session.
func (r *Router) close(q *request) {
	if q == nil {
		return
	}
	r.markDirty(q.group)
	if q.done = true; q.pending == 0 {
		delete(r.open, q.id)
	}
}

// recordCommit records a commit of a session. If there are too many sessions, it forgets the half that wrote longest ago.
func (r *Router) recordCommit(key uint64, commit time.Duration) {
	r.sessions[key] = max(r.sessions[key], commit)
	if len(r.sessions) > maxSessions {
		commits := slices.Sorted(maps.Values(r.sessions))
		r.forgetCommits(commits[len(commits)/2] + 1)
	}
}

// forgetCommits forgets the sessions whose last commit is before a time. Reads of sessions that are not known then need
// data as new as the newest of these commits.
func (r *Router) forgetCommits(before time.Duration) {
	for key, commit := range r.sessions {
		if commit < before {
			r.sessionFloor = max(r.sessionFloor, commit)
			delete(r.sessions, key)
		}
	}
}

// sweep checks the waiting requests of the groups that may have changed: it ends those whose time is up,
// dispatches held ones by value, and hedges those whose server is silent.
func (r *Router) sweep() {
	r.lastSweep, r.sweepNeeded = r.now, false
	if r.now-r.lastPrune > sessionRetention {
		r.lastPrune = r.now
		r.forgetCommits(r.now - sessionRetention)
	}
	held, all := r.held[:0], r.all[:0]
	groups, before := r.sweeps.popDue(r.now, r.sweeping[:0]), len(r.actions)
	for _, g := range groups {
		g.queue, g.dirty = slices.DeleteFunc(g.queue, func(q *request) bool { return q.done }), false
		all = append(all, g.queue...)
	}
	if len(groups) > 1 {
		slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.arrival, b.arrival) })
	}
	for _, q := range all {
		switch {
		case q.streamed:
		case q.pending == 0 && r.now >= r.giveUpAt(q), r.now >= q.deadline+r.cfg.AnswerSlack/2:
			r.finish(q)
		case q.pending == 0:
			held = append(held, q)
		default:
			r.hedge(q)
		}
	}
	slices.Reverse(held) // newest first: if not all can be served, the oldest are the first to be late
	value := func(q *request) float64 {
		if r.now-q.arrived > q.class.Target {
			return q.class.Value * q.class.LateValue
		}
		return q.class.Value
	}
	slices.SortStableFunc(held, func(a, b *request) int { return cmp.Compare(value(b), value(a)) })
	for _, q := range held {
		if !r.dispatch(q) && q.class.Need <= NeedFresh && (q.group.primary == nil || !q.group.primary.polled) {
			r.expeditePolls(q.group, r.pollInterval) // no backoff of polls while requests wait for a primary
		}
	}
	clear(held) // ended requests must not stay reachable
	clear(all)
	r.held, r.all, r.sweeping = held, all, groups
	for _, g := range groups {
		if len(g.queue) > 0 && (g.dirty || len(r.actions) > before) {
			r.sweeps.set(&g.sweepSlot, math.MinInt64)
		} else if len(g.queue) > 0 {
			r.sweeps.set(&g.sweepSlot, r.nextChange(g))
		}
	}
}

// nextChange is the earliest time at which a sweep of a group may act without a further event: the least of the
// times at which the conditions in dispatch, finish and hedge can change by time alone.
func (r *Router) nextChange(g *group) time.Duration {
	until := time.Duration(math.MaxInt64)
	if r.cfg.LagPolicy != LagServe || !r.cfg.Probing {
		return math.MinInt64 // replicas may catch up at any time
	}
	if r.connLimitedUntil > r.now {
		until = r.connLimitedUntil
	}
	for _, s := range g.members {
		if r.warmth(s) < 1 {
			return math.MinInt64 // warmth and credit grow with time
		}
	}
	for _, q := range g.queue {
		until = min(until, r.nextChangeFor(q))
	}
	return until
}

// nextChangeFor is nextChange for one request.
func (r *Router) nextChangeFor(q *request) time.Duration {
	until := q.deadline + r.cfg.AnswerSlack/2
	s := q.lastServer
	switch {
	case q.done, q.refusedFull, q.streamed:
		return math.MinInt64 // requests of any group earn retry budget; a streamed request ends by an event
	case q.pending == 0:
		until = min(until, r.giveUpAt(q))
	case s != nil && !q.withdrawn:
		late := max(q.lastSent, s.answeredAt) + r.silenceTimeout(s) + 1
		if q.lastSent < s.newestAnswered {
			late = q.lastSent + r.silenceTimeout(s) + 1
		}
		if late > r.now || q.class.Effect == Safe || r.cfg.ParallelAttempts {
			until = min(until, late)
		}
	}
	if q.pending > 0 || q.class.Need <= NeedFresh || q.group.primary == nil {
		return until
	}
	if wait := q.expeditedAt + 10*r.cfg.MinBatchInterval; q.expedited > 0 && wait > r.now {
		until = min(until, wait)
	}
	for _, m := range q.group.members {
		if q.expedited < expeditedPolls && m.polled && !m.polling {
			until = min(until, max(m.polledAt, m.positionAt)+r.pollInterval+1)
		}
	}
	return until
}

// giveUpAt is when a request without a pending attempt is given up (load shedding): one mean latency before its answer
// would come too late to have any value, or after holdShare of its time if it was never sent.
func (r *Router) giveUpAt(q *request) time.Duration {
	end := q.deadline
	if q.class.LateValue == 0 {
		end = min(end, q.arrived+q.class.Target)
	}
	// Half the target at most: otherwise a period of high latency would shed all requests without an attempt.
	need := min(time.Duration(q.group.latency), q.class.Target/2)
	end = min(end-need, q.deadline-2*r.cfg.MinBatchInterval)
	if q.sends == 0 {
		end = min(end, q.arrived+time.Duration(holdShare*float64(q.deadline-q.arrived))-2*r.cfg.MinBatchInterval)
	}
	return end
}

// hedge sends a request again whose server is silent (hedged request), or withdraws it if parallel attempts are not
// allowed. Guards against hung servers. Requests that are not safe are sent again only if their connection was lost.
func (r *Router) hedge(q *request) {
	s := q.lastServer
	if s == nil || q.withdrawn || r.now-max(q.lastSent, s.answeredAt) <= r.silenceTimeout(s) && !r.stuck(s, q.lastSent) ||
		!slices.ContainsFunc(s.pending, func(f pendingAttempt) bool { return f.id == q.id }) {
		return
	}
	switch lost := r.connLost(s, q); {
	case q.class.Effect != Safe && !lost:
	case r.cfg.ParallelAttempts:
		if q.pending < 2 && r.retryBudget >= 1 && r.dispatch(q) {
			r.retryBudget--
		}
	case r.cfg.Cancel && q.class.Effect == Safe && r.retryBudget >= 1:
		// Without budget the pending attempt is kept, as it may still be answered.
		q.withdrawn = true
		r.actions = append(r.actions, Action{Kind: ActionWithdraw, Request: q.id, Attempt: q.sends - 1})
	}
}

// setTimer requests a timer for the earlier of next and the next sweep, unless an earlier timer is pending or
// next is an hour away or more.
func (r *Router) setTimer(next time.Duration) {
	if len(r.open) > 0 {
		next = min(next, r.now+r.sweepInterval)
	}
	next = max(next, r.now+r.cfg.MinBatchInterval)
	if next >= r.now+time.Hour || r.timerAt != 0 && r.timerAt <= next {
		return
	}
	r.token, r.timerAt = r.token+1, next
	r.actions = append(r.actions, Action{Kind: ActionTimer, Token: r.token, After: next - r.now})
}

// jitter returns a random time from half of d to one and a half of d.
func (r *Router) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + r.rng.Float64()) * float64(d))
}

func (r *Router) log(text string) { r.actions = append(r.actions, Action{Kind: ActionLog, Text: text}) }
