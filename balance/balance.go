// Package balance decides for a proxy before groups of one primary and its replicas: which server gets a
// request, when servers are polled, and when a request is tried again, held or shed. The ordinary path
// follows "Ratis - A Redis Proxy"; docs/design.md lists what was kept and each exception. This file holds
// every decision and tuned value; api.go holds the types that go in and out.
package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Tuned values. None comes from a deployment; times are derived from the start settings or observed.
const (
	failureLimit   = 2    // failed polls in a row until a server is down (step 1)
	pollJitter     = 0.4  // random part of a poll's wait, in intervals (step 1)
	pollCap        = 5    // longest wait between polls, in intervals (step 1)
	pollCrowd      = 4    // routers that may poll a server within one interval; more stretch their timers
	proofPolls     = 2    // polls hurried for a read that no told position suits
	startLimit     = 16.0 // outstanding requests, of all routers, at a server that is not known yet
	paceCut        = 0.8  // the pace's factor after a refusal for want of room, or no answer in time
	paceGrowth     = 0.1  // growth of the pace by an answer in time, as a share of it
	missWeight     = 0.15 // weight of a new answer in the share that is missing
	leastPace      = 7.0  // requests, of all routers, below which the pace does not fall
	limitCut       = 0.9  // the limit's factor after an answer near its target
	limitGrowth    = 0.05 // most growth of a limit by one answer, as a share of it
	fullCut        = 0.6  // the limit's factor after a refusal for want of room, or no answer in time
	nearTarget     = 0.5  // share of the target at which an answer counts as near it
	fallbackShare  = 0.6  // part of the primary's limit open to reads that replicas could serve
	writeShare     = 2.0  // part of the primary's limit open to writes
	patienceFactor = 8.0  // a server is silent after this many mean latencies without an answer
	latencyWeight  = 0.05 // weight of a new answer in the mean latency
	retryShare     = 0.05 // retry budget earned by each first attempt
	retryBurst     = 20.0 // most retry budget kept

	heldShare = 0.5 // part of its time for which a request that never went out is held

	regain = 5 * time.Second // how long what was learned of connections holds
	forget = 60 * time.Second
)

// Router makes the decisions of one driver. It is not safe for concurrent use.
type Router struct {
	cfg            Config
	rng            *rand.Rand
	now            time.Duration
	acts           []Action
	servers        map[ServerID]*server
	groups         map[int]*group
	order          []*group               // groups in order of first mention
	open           map[RequestID]*request // not answered, or with attempts out
	polls          due[*server]           // members that are not being polled, by their timers
	looks          due[*group]            // groups with requests that wait, by when a sweep may find something
	arrivals       uint64
	due            []*server // buffers of pollDue and sweep
	held, all      []*request
	sweeping       []*group
	sessions       map[uint64]time.Duration
	writes         map[uint64]int // attempts that are out of each session's writes
	floor          time.Duration  // the newest commit among forgotten sessions
	budget         float64        // for resends
	interval, idle time.Duration  // between polls: where work waits; where answers or nothing need them
	reap, reapedAt time.Duration  // connections idle for longer are taken for dropped; when that was learned
	scarce         time.Duration  // until when servers are taken to accept few connections
	kick, checked  bool           // something changed that may let held requests go; connections work when used

	sweepGap, swept, pruned, askAt, armed time.Duration
	turn, token                           uint64
}

type group struct {
	place        int        // in order of first mention
	members      []*server  // by ID
	queue        []*request // open ones, in order of arrival
	look         slot[*group]
	stirred      bool          // something changed since it was last swept
	primary      *server       // last named by the newest poll or answer
	claim, named time.Duration // its newest claim; when the newest poll that named it was sent
	latency      float64       // mean of answers, ns
	pools        [3]pool       // of the primary's own work, of reads, and of reads at the primary
}

// pool is what a group's requests of one kind share when no limit can fall further: the part of them sent.
type pool struct {
	pace    float64
	allow   float64 // first attempts that may go now
	cutAt   time.Duration
	missing float64 // mean share of answers that do not come
}

type flight struct {
	id      RequestID
	attempt int
	sent    time.Duration
	idle    time.Duration // how long its connection had been unused; 0 for a new one
}

type server struct {
	id                      ServerID
	timer                   slot[*server]
	group                   *group
	zone                    int
	life                    Life
	toldAt                  time.Duration
	started, assumed        time.Duration // as listed; what looked like one
	position, heardAt       time.Duration // the highest told, and when
	denied                  time.Duration // when it last said that it is no primary
	dropped                 bool          // its drain was told before it went
	polled, polling         bool          // answered a poll since it last failed; one is out
	reset, unreached        bool          // a connection broke, or none could be had; no poll since
	polledAt, nextPoll      time.Duration
	out                     []flight
	cutAt, answered, failed time.Duration // failed: when an attempt last went unanswered
	met, latest             time.Duration // when it last answered a poll; the newest send that it answered
	fails, conns            int           // conns: connections that it is taken to have open
	limit, credit           float64       // credit: sends it may have while cold
	turn                    uint64
}

type request struct {
	id                RequestID
	number            uint64 // in order of arrival
	class             *Class
	group             *group
	key               uint64
	arrived, deadline time.Duration
	need              time.Duration // position that a session read must see
	sends, out, asked int           // asked: polls hurried for it
	ran               bool          // an ended attempt may have run
	since             time.Duration // send of the first attempt that may have run
	zone              int           // of its server
	after             time.Duration // a poll sent later must name the primary
	last              *server
	askedAt, sent     time.Duration // when polls were hurried for it; when its last attempt went
	fallback, counted bool          // among the reads at the primary; in the credit of a cold primary

	pulled, missed, full, streamed, done bool
}

// New returns a router that knows nothing yet. An unusable Config is an error.
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
	cfg.Round, cfg.TryLimit = max(cfg.Round, time.Millisecond), max(cfg.TryLimit, 1)
	interval := max(least, 10*cfg.Round)
	idle := interval * time.Duration(max(cfg.Routers, pollCrowd)) / pollCrowd
	r := &Router{cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed)), servers: map[ServerID]*server{},
		groups: map[int]*group{}, open: map[RequestID]*request{}, sessions: map[uint64]time.Duration{},
		interval: interval, idle: idle, sweepGap: max(cfg.Round, least/25), askAt: math.MaxInt64,
		turn: math.MaxUint32, budget: retryBurst * float64(interval) / float64(idle), writes: map[uint64]int{}}
	if cfg.AskList {
		r.askAt = math.MinInt64
	}
	return r, nil
}

// Step takes a batch of events, all at one clock, which may not go back, and appends the actions in order.
func (r *Router) Step(now time.Duration, events []Event, actions []Action) []Action {
	r.now, r.acts = max(now, r.now), actions
	for i := range events {
		r.take(&events[i])
	}
	if r.kick || r.now-r.swept >= r.sweepGap {
		r.sweep()
	}
	r.arm(r.pollDue())
	actions, r.acts = r.acts, nil
	return actions
}

func (r *Router) take(e *Event) {
	switch e.Kind {
	case EventList:
		r.list(e)
	case EventRequest:
		r.request(e)
	case EventOpened:
		if q := r.open[e.Request]; q != nil {
			q.streamed = true
			r.stir(q.group)
		}
	case EventOutcome:
		r.outcome(e)
	case EventAborted:
		r.close(r.open[e.Request])
	case EventPoll:
		r.polledBy(e)
	case EventTimer:
		if e.Token == r.token {
			r.armed = 0
		}
	}
}

func (r *Router) list(e *Event) {
	if e.List == ListFailed && r.cfg.AskList {
		r.log("list out of reach, asking again")
		r.askAt = r.now + r.spread(r.cfg.AskWithin/5)
	}
	if e.List == ListFailed {
		return
	}
	seen := map[ServerID]bool{}
	for i := range e.Entries {
		seen[e.Entries[i].Server] = true
		r.entry(&e.Entries[i])
	}
	for _, g := range r.order {
		for _, s := range slices.Clone(g.members) {
			if e.List != ListDelta && !seen[s.id] {
				r.gone(s)
			}
		}
		r.stir(g)
	}
	r.kick = true
}

// stir notes that something changed for a group, so that the next sweep looks at its requests.
func (r *Router) stir(g *group) {
	if g.stirred = true; len(g.queue) > 0 {
		r.looks.set(&g.look, math.MinInt64)
	}
}

// pollAt sets the timer of a server's next poll.
func (r *Router) pollAt(s *server, at time.Duration) {
	if s.nextPoll = at; !s.polling && s.life != LifeGone {
		r.polls.set(&s.timer, at)
	}
}

func (r *Router) entry(e *Entry) {
	s := r.servers[e.Server]
	if s != nil && s.dropped && e.Started > s.started {
		s = nil
	}
	switch {
	case e.Life == LifeGone || s != nil && s.dropped:
		r.gone(s)
		return
	case s == nil:
		s = &server{id: e.Server, group: r.groupOf(e.Group), credit: r.rng.Float64(), limit: r.startLimit(),
			polled: !r.cfg.Probing, turn: r.rng.Uint64N(r.turn)} // drawn: routers must not all begin at one
		s.timer.of = s
		r.pollAt(s, r.now+time.Duration(r.rng.Float64()*float64(r.idle-r.interval)))
		r.servers[s.id] = s
		s.group.members = append(s.group.members, s)
		slices.SortFunc(s.group.members, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	case e.Started > max(s.started, s.assumed):
		s.credit = r.rng.Float64()
		r.pollAt(s, r.now)
		if s.group.primary == s {
			s.group.primary = nil // a process that started again begins as a replica
		}
	}
	// An old list may come again: a drain once told binds until the process has started anew.
	if e.Life != s.life && (s.life != LifeDraining || e.Started > s.started) {
		s.life, s.toldAt = e.Life, r.now
	}
	s.zone, s.started = e.Zone, max(s.started, e.Started)
}

// ours is this router's part of what all routers may have out at a server.
func (r *Router) ours(total float64) float64 { return total / float64(max(r.cfg.Routers, 1)) }

// startLimit is at most 2: with few routers, an unknown server is not worth more.
func (r *Router) startLimit() float64 { return max(1, min(2, r.ours(startLimit))) }

// gone drops a server. Where only draining binds, a list that merely lacks it proves nothing.
func (r *Router) gone(s *server) {
	if s == nil || s.life == LifeGone || r.cfg.SoftRemoval && s.life != LifeDraining {
		return
	}
	r.polls.remove(&s.timer)
	if s.life, s.dropped = LifeGone, s.life == LifeDraining; !s.dropped {
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
		g = &group{latency: float64(r.interval) / 4, pools: [3]pool{{pace: 1}, {pace: 1}, {allow: r.rng.Float64()}},
			place: len(r.order)}
		g.look.of = g
		r.groups[n] = g
		r.order = append(r.order, g)
	}
	return g
}

// pollDue sends the polls whose own timers have come (step 1), and tells when the next one will.
func (r *Router) pollDue() time.Duration {
	if r.now >= r.askAt {
		r.acts = append(r.acts, Action{Kind: ActionSubscribe})
		r.askAt = math.MaxInt64
	}
	if !r.cfg.Probing {
		return r.askAt
	}
	list := r.polls.take(r.now, r.due[:0])
	r.due = list
	slices.SortFunc(list, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.group.place, b.group.place), cmp.Compare(a.id, b.id))
	})
	for _, s := range list {
		r.poll(s)
	}
	if next, ok := r.polls.next(); ok {
		return min(next, r.askAt)
	}
	return r.askAt
}

func (r *Router) poll(s *server) {
	s.polling, s.polledAt = true, r.now
	r.polls.remove(&s.timer)
	r.stir(s.group)
	r.acts = append(r.acts, Action{Kind: ActionPoll, Server: s.id})
}

func (r *Router) polledBy(e *Event) {
	s := r.servers[e.Server]
	if s == nil || s.dropped {
		return
	}
	if s.polling = false; e.Outcome == OutcomeOK {
		// After what looked like a death it starts slowly: the list is late. A broken connection is no death, nor
		// are many in a short time.
		if died := s.fails >= failureLimit || s.reset && s.fails > 0; died &&
			r.now-max(s.met, s.answered) > pollCap*r.interval {
			s.assumed, s.limit, s.credit = r.now, r.startLimit(), r.rng.Float64()
		}
		if s.unreached && s.fails == 0 {
			r.scarce = r.now + regain
		}
		s.fails, s.polled, s.reset, s.unreached, s.met = 0, true, false, false, r.now
		r.report(s, &e.Report)
		if s.group.primary == s && e.Report.Primary {
			s.group.named = max(s.group.named, r.now-e.Age)
		}
		r.kick = true
	} else if s.fails++; s.fails >= failureLimit {
		s.polled = false
	}
	wait := r.idle
	if s.fails > 0 {
		wait = min(time.Duration(1+s.fails)*r.interval, pollCap*r.idle)
	}
	r.pollAt(s, r.now+wait+time.Duration(pollJitter*r.rng.Float64()*float64(min(wait, r.idle))))
	r.stir(s.group)
}

func (r *Router) report(s *server, rep *Report) {
	at := r.cfg.Origin + rep.Position
	switch {
	case !rep.Valid || !rep.HasPosition:
		return
	case rep.HasRole && rep.Primary:
		r.claims(s, at)
	case rep.HasRole && s.group.primary == s && at >= s.group.claim: // deposed, it stands where it claimed
		s.group.primary = nil
	}
	s.stands(at, r.now)
}

func (s *server) stands(at, now time.Duration) {
	if at > s.position {
		s.position, s.heardAt = at, now
	}
}

// note takes what an answer tells. The position of a write's answer is its commit, rounded up.
func (r *Router) note(s *server, e *Event, write bool) {
	at := r.now - r.cfg.Round
	if (e.Position > 0 || e.Report.HasPosition) && s.group.primary != nil && s.nextPoll > r.now {
		// It tells what a poll would, and polls of many routers are dear. With no primary none is put off.
		r.pollAt(s, max(s.nextPoll, min(r.now+r.idle, s.polledAt+pollCap*r.idle)))
	}
	if e.Position > 0 {
		at = r.cfg.Origin + e.Position
		if write && e.Outcome == OutcomeOK {
			at -= time.Millisecond
		}
		s.stands(at, r.now)
	}
	switch e.Role {
	case RolePrimary:
		r.claims(s, at)
	case RoleReplica:
		// It was no primary at some time since the send; positions in answers, cut to milliseconds, look older.
		if at = max(at, r.now-e.Age); e.Outcome == OutcomeMiss && write {
			at = r.now
		}
		s.denied = max(s.denied, at)
		if s.group.primary == s && at+time.Millisecond > s.group.claim {
			s.group.primary = nil
			r.hurry(s.group, 0)
		}
	}
	r.report(s, &e.Report)
}

// claims names s primary as of a time. A primary's position is the present, so positions order all claims.
func (r *Router) claims(s *server, at time.Duration) {
	g := s.group
	if at <= s.denied || at <= g.claim {
		return
	}
	g.claim = at
	if g.primary != s {
		r.log(primaryLog + strconv.FormatUint(uint64(s.id), 16))
		g.primary, r.kick = s, true
	}
}

func (r *Router) hurry(g *group, within time.Duration) {
	for _, s := range g.members {
		if r.now+within < s.nextPoll {
			r.pollAt(s, r.now+within)
		}
	}
}

func (r *Router) request(e *Event) {
	if r.open[e.Request] != nil {
		return
	} else if e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		r.acts = append(r.acts, Action{Kind: ActionReject, Request: e.Request})
		return
	}
	q := &request{id: e.Request, class: &r.cfg.Classes[e.Class], group: r.groupOf(e.Group), key: e.Key,
		arrived: r.now, deadline: e.Deadline, after: -1}
	if q.class.Need == NeedSession && r.cfg.RouterTokens {
		if q.need = max(r.floor, r.sessions[e.Key]); r.writes[e.Key] > 0 {
			q.need = r.now // one may have run already, and its answer be lost
		}
	} else if q.class.Need == NeedSession && e.SinceWrite > 0 {
		q.need = r.now - e.SinceWrite
	}
	r.open[q.id] = q
	if r.now >= r.lastCall(q) {
		r.finish(q) // it may come with no time left: waiting for a sweep would lose it
		return
	}
	r.arrivals++
	q.number, q.group.queue = r.arrivals, append(q.group.queue, q)
	r.stir(q.group)
	g := q.pool()
	g.allow = min(g.allow+g.pace, 2)
	for _, s := range q.group.members {
		if s.polledAt == 0 {
			r.pollAt(s, r.now) // the first polls of many routers are spread, but for work that waits
		}
	}
	r.place(q)
}

// place sends q to its server, if there is one that may have it now.
func (r *Router) place(q *request) bool {
	if !r.maySend(q) || q.sends == 0 && !q.pool().admits() || q.full && r.budget < 1 {
		return false // a full server's peers are likely full: hold it
	}
	s := r.pick(q)
	if s == nil {
		return false
	}
	if q.full {
		r.budget, q.full = r.budget-1, false
	}
	if q.sends == 0 {
		q.pool().allow--
		r.budget = min(r.budget+retryShare, retryBurst)
	}
	if q.out == 0 && !q.ran {
		q.since, q.zone = r.now, s.zone
	}
	if q.class.Need == NeedWrite {
		r.writes[q.key]++
	}
	s.out = append(s.out, flight{q.id, q.sends, r.now, r.freshen(s)})
	r.acts = append(r.acts, Action{Kind: ActionTry, Request: q.id, Server: s.id})
	q.sends, q.out, q.last, q.sent, q.pulled = q.sends+1, q.out+1, s, r.now, false
	r.turn, s.turn = r.turn+1, r.turn+1
	if q.class.Need > NeedFresh && s == q.group.primary {
		q.group.pools[2].allow--
	}
	r.credit(s, q)
	return true
}

// freshen tells how long s's connection has been idle, and closes it if requests were lost on such before.
func (r *Router) freshen(s *server) time.Duration {
	idle := r.now - s.answered
	if s.answered == 0 || len(s.out) > 0 {
		return 0
	} else if r.reap == 0 || idle < r.reap || r.now-r.reapedAt > regain { // later it may have passed
		return idle
	}
	r.acts = append(r.acts, Action{Kind: ActionDisconnect, Server: s.id})
	s.conns = 0
	return 0
}

// lost tells whether q's silent attempt was the first on a long idle connection. Guards against connections
// dropped unseen, on any way; a hung server costs one more attempt, on a new connection, before it is left.
func (r *Router) lost(s *server, q *request) bool {
	i := slices.IndexFunc(s.out, func(f flight) bool { return f.id == q.id && f.attempt == q.sends-1 })
	if i < 0 || s.out[i].idle < r.interval || r.now < r.scarce || r.checked {
		return false
	}
	if r.reap == 0 || s.out[i].idle < r.reap || r.now-r.reapedAt > regain {
		r.reap = s.out[i].idle
	}
	r.reapedAt = r.now
	s.out = slices.Delete(s.out, i, i+1)
	return true
}

// maySend is the ledger's one say on whether a further attempt is legal for the class.
func (r *Router) maySend(q *request) bool {
	if q.done || q.streamed || q.sends >= r.cfg.TryLimit || r.now >= q.deadline ||
		q.out > 0 && !r.cfg.ParallelTries {
		return false
	}
	return q.out == 0 && !q.ran || q.class.Effect == Safe ||
		q.class.Effect == Keyed && r.now-q.since < q.class.Window-2*r.cfg.Round
}

// strays tells whether a resend would leave the servers that discard repeats; the group is always the same.
func (q *request) strays(s *server) bool {
	return q.class.Scope == ScopeZone && s.zone != q.zone && (q.ran || q.out > 0)
}

// mayReject is the ledger's say on whether a client may be told that a further try is harmless.
func (q *request) mayReject() bool {
	return q.class.Effect == Safe || q.out == 0 && !q.ran || q.class.Effect == Keyed && q.class.Scope == ScopeAll
}

// pick chooses the server (steps 3 and 4).
func (r *Router) pick(q *request) *server {
	p := q.group.primary
	if q.class.Need <= NeedFresh {
		if p == nil && !r.cfg.Probing && q.class.Need == NeedWrite { // nothing else finds it; a miss is harmless
			p = r.best(q, func(*server, *request) bool { return true })
		}
		if p == nil || q.strays(p) || q.group.named < q.after && r.cfg.Probing || !r.takes(p, q) {
			return nil
		}
		return p
	}
	s := r.best(q, r.proven)
	if s == nil && r.cfg.Behind != BehindServe && !q.missed {
		s = r.best(q, r.hopeful)
	}
	if s != nil || p == nil || p == q.last || r.proving(q) || !r.takes(p, q) || !r.fallsBack(q) {
		return s
	}
	return p
}

// fallsBack tells whether a read may go to the primary. The part that may starts at one member's share, or at
// all where routers are few, and moves with the answers. Guards writes against reads of lagging replicas.
func (r *Router) fallsBack(q *request) bool {
	f := &q.group.pools[2]
	if f.pace == 0 {
		f.pace = min(1, max(1/float64(len(q.group.members)), 2*r.ours(pollCrowd)))
	}
	if !q.fallback {
		q.fallback, f.allow = true, min(f.allow+f.pace, 1)
		r.stir(q.group)
	}
	return f.admits()
}

func (p *pool) admits() bool { return p.pace >= 1 || p.allow >= 1 }

// proving hurries polls for a read that no told position suits, and tells whether one is still out. Timers
// and answers of many routers are too far apart to prove freshness. It hurts when reports are older than the
// bound: the read then goes to the primary one poll later.
func (r *Router) proving(q *request) bool {
	first := func(s *server) bool { return s.heardAt == 0 && s.fails == 0 } // its first poll is not back
	if !r.cfg.Probing || slices.ContainsFunc(q.group.members, first) {
		return r.cfg.Probing
	} else if r.cfg.Behind != BehindServe || q.class.Need == NeedAny {
		return false
	}
	for ; q.asked < proofPolls; q.asked++ {
		s := r.best(q, func(s *server, q *request) bool {
			return !s.polling && r.now-max(s.polledAt, s.heardAt) > r.interval && !r.proven(s, q)
		})
		if s == nil {
			break
		}
		r.poll(s)
		q.askedAt = r.now
	}
	return q.asked > 0 && r.now-q.askedAt < 10*r.cfg.Round && slices.ContainsFunc(q.group.members,
		func(s *server) bool { return s.polling && s.polledAt == q.askedAt })
}

// inTurn orders by outstanding requests, ties by idle connections, as a new one costs the server work, then
// in turn. While connections are refused, open ones go first: that keeps a small router on its few servers.
func (r *Router) inTurn(a, b *server) int {
	if r.now < r.scarce {
		return cmp.Or(cmp.Compare(b.idleConns(), a.idleConns()), cmp.Compare(b.answered, a.answered))
	}
	return cmp.Or(cmp.Compare(r.doubt(a), r.doubt(b)), cmp.Compare(len(a.out), len(b.out)),
		cmp.Compare(r.atHand(b), r.atHand(a)), cmp.Compare(a.turn, b.turn))
}

// atHand is 1 for a server with an idle connection, a cold one, which its credit holds, and with few routers.
func (r *Router) atHand(s *server) int {
	if r.cfg.Routers <= pollCrowd || r.warmth(s) < 1 {
		return 1
	}
	return s.idleConns()
}

// doubt is how long a server that left a request unanswered is passed over, until it answers one.
func (r *Router) doubt(s *server) time.Duration { return max(0, s.failed+regain-r.now) }

func (s *server) idleConns() int { return max(0, min(1, s.conns-len(s.out))) }

// best picks the first in turn among the replicas that fit and have room.
func (r *Router) best(q *request, fit func(*server, *request) bool) *server {
	var best *server
	for _, s := range q.group.members {
		if s != q.group.primary && s != q.last && fit(s, q) && r.takes(s, q) &&
			(best == nil || r.inTurn(s, best) < 0) {
			best = s
		}
	}
	return best
}

// hopeful tells whether a replica at the pace of the log could have what a read needs by the end of its wait.
// Guards against lags of seconds that turn each read into a miss; hurts when one catches up faster.
func (r *Router) hopeful(s *server, q *request) bool {
	need := q.need
	if q.class.Need == NeedBounded {
		need = r.now - q.class.Bound
	}
	return s.position == 0 && !r.cfg.Probing ||
		s.position > 0 && need <= s.position+(r.now-s.heardAt)+r.cfg.CatchUpWait
}

// proven tells whether a told position suffices; what a server may have applied since does not count.
func (r *Router) proven(s *server, q *request) bool {
	if q.class.Need == NeedBounded {
		return s.position >= r.now-q.class.Bound && s.position > 0
	}
	return q.class.Need != NeedSession || s.position >= q.need
}

// takes tells whether a server is active and has room.
func (r *Router) takes(s *server, q *request) bool {
	if !s.polled || !r.room(s, q) || r.silent(s) || !r.warmEnough(s, q) {
		return false
	}
	// A draining primary still takes writes until it hands over; the grace bounds that.
	return s.life == LifeReady || s.life == LifeDraining && s == s.group.primary && q.class.Need <= NeedFresh &&
		r.now-s.toldAt < r.cfg.DrainGrace-2*r.cfg.Round
}

// room tells whether a server may hold one more; one in use is awaited rather than a dear connection opened.
func (r *Router) room(s *server, q *request) bool {
	share := 1.0
	if q.class.Need == NeedWrite {
		share = writeShare
	} else if q.class.Need > NeedFresh && s == s.group.primary {
		share = fallbackShare
	}
	out := 0.0
	for _, f := range s.out {
		if !r.stuck(s, f.sent) {
			out++
		}
	}
	return out < max(1, s.limit*share) &&
		(r.now >= r.scarce || s.conns == 0 || len(s.out) < s.conns)
}

// silent tells whether a server keeps requests without answering any: hangs, pauses and cut links. What
// others overtook proves nothing.
func (r *Router) silent(s *server) bool {
	i := slices.IndexFunc(s.out, func(f flight) bool { return f.sent >= s.latest })
	return i >= 0 && r.now-max(s.answered, s.out[i].sent) > r.patience(s)
}

// stuck tells whether a request was overtaken by one sent later and has waited for long: most likely its
// connection alone went silent. It takes no room and says nothing of its server. Hurts when it is only long.
func (r *Router) stuck(s *server, sent time.Duration) bool {
	return sent < s.latest && r.now-sent > r.patience(s)
}

// patience is how long a server may go without an answer: a lone long request must not look like silence.
func (r *Router) patience(s *server) time.Duration {
	return max(time.Duration(patienceFactor*s.group.latency), 10*r.cfg.Round)
}

// warmEnough tells whether a server is warm or has credit: all routers together must not push it over.
func (r *Router) warmEnough(s *server, q *request) bool {
	share := r.warmth(s)
	if share < 1 && s == s.group.primary && q.class.Need <= NeedFresh && !q.counted &&
		r.now-q.arrived < r.cfg.Fall {
		// Nothing else takes these. What waited longer does not count: a backlog would come at once.
		q.counted = true
		s.credit += share * max(1, r.cfg.TipMultiple/2)
	}
	return share >= 1 || s.credit >= 1
}

// credit books a send. A read sent to a warm replica gives cold peers their least warmth's part of a warm
// peer's share. Credit starts at random below one, so the sends of any number of routers with less than one
// each add up, in the mean, to that part of a warm server's load. Hurts where warm peers are overloaded.
func (r *Router) credit(s *server, q *request) {
	if r.warmth(s) < 1 {
		s.credit--
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
			m.credit = min(m.credit+w/max(warm, 1), 2)
		}
	}
}

// warmth is the least share of its capacity that a server has by now.
func (r *Router) warmth(s *server) float64 {
	start := s.started
	if r.now-s.assumed < regain { // by then a list has told it, if it did start
		start = max(start, s.assumed)
	}
	age := r.now - start
	if start == 0 || age >= r.cfg.RampTime {
		return 1
	}
	return r.cfg.ColdFrom + (1-r.cfg.ColdFrom)*float64(max(age, 0))/float64(r.cfg.RampTime)
}

func (r *Router) outcome(e *Event) {
	q := r.open[e.Request]
	if s := r.servers[e.Server]; s != nil {
		r.landed(s, q, e)
	}
	if r.kick = true; q == nil {
		return
	}
	r.stir(q.group)
	if q.out--; q.class.Need == NeedWrite {
		if r.writes[q.key]--; r.writes[q.key] == 0 {
			delete(r.writes, q.key)
		}
		if commit := r.now; r.cfg.RouterTokens && !e.Outcome.NeverRan() { // it may have, without an answer
			if e.Outcome == OutcomeOK && e.Position > 0 {
				commit = r.cfg.Origin + e.Position
			}
			r.sessions[q.key] = max(r.sessions[q.key], commit)
		}
	}
	if e.Settled || q.done {
		r.close(q)
		return
	}
	if q.ran = q.ran || !e.Outcome.NeverRan(); e.Outcome.NeverRan() {
		q.missed = q.missed || e.Outcome == OutcomeMiss
		q.full = e.Outcome == OutcomeFull
		if q.class.Need == NeedWrite {
			q.after = r.now
			r.hurry(q.group, 0)
		}
	}
	if q.out == 0 {
		r.again(q)
	}
}

// landed books an attempt's end at its server.
func (r *Router) landed(s *server, q *request, e *Event) {
	r.stir(s.group)
	s.out = slices.DeleteFunc(s.out, func(f flight) bool { return f.id == e.Request && f.attempt == e.Attempt })
	switch e.Outcome {
	case OutcomeOK, OutcomeError, OutcomeFull, OutcomeMiss:
		s.answered, s.failed, s.conns = r.now, 0, max(s.conns, len(s.out)+1)
		s.latest = max(s.latest, r.now-e.Age)
		r.note(s, e, q != nil && q.class.Need == NeedWrite)
		if q != nil && e.Outcome == OutcomeOK {
			r.learn(s, q, e.Age)
		} else if q != nil && e.Outcome == OutcomeFull {
			r.cut(s, q, fullCut, paceCut)
		}
	case OutcomeTimeout, OutcomeCancelled:
		if q == nil || float64(e.Age) <= nearTarget*float64(q.class.Target) || r.stuck(s, r.now-e.Age) {
			return // one that was given little time tells nothing
		}
		// Some answers are lost on the way or with a server that hangs; where most are, queues eat them.
		g, pace := q.pool(), 1.0
		s.failed = r.now
		if g.missing += missWeight * (1 - g.missing); g.missing > 0.5 {
			pace = paceCut
		}
		r.cut(s, q, fullCut, pace)
	case OutcomeReset:
		s.reset, s.polled = true, !r.cfg.Probing
		r.pollAt(s, r.now)
	case OutcomeConnectFailed:
		s.unreached, s.conns, r.reap = true, len(s.out), 0
		s.polled = !r.cfg.Probing
		r.pollAt(s, r.now)
	}
}

// learn moves mean latency, limit and pace. Answers near their target say that the queue is long enough.
func (r *Router) learn(s *server, q *request, age time.Duration) {
	s.group.latency += latencyWeight * (float64(age) - s.group.latency)
	g := q.pool()
	g.missing -= missWeight * g.missing
	if age > q.class.Target {
		r.cut(s, q, limitCut, paceCut)
		return
	} else if float64(age) > nearTarget*float64(q.class.Target) {
		r.cut(s, q, limitCut, 1)
		return
	}
	g.pace = min(1, g.pace*(1+paceGrowth))
	if float64(len(s.out)+1) >= s.limit/2 {
		s.limit += min(1/s.limit, limitGrowth*s.limit)
	}
}

// cut lowers a server's limit, once for each time that news of the cut takes. A limit is never below one:
// there the pool's pace falls instead, so that many routers with few requests each send a part of them.
func (r *Router) cut(s *server, q *request, limit, pace float64) {
	if float64(r.now-s.cutAt) > s.group.latency {
		s.limit, s.cutAt = max(1, min(s.limit, float64(len(s.out)+1))*limit), r.now
	}
	if g := q.pool(); s.limit == 1 && float64(r.now-g.cutAt) > s.group.latency {
		g.pace, g.cutAt = max(min(1, r.ours(leastPace)), g.pace*pace), r.now
	}
}

func (q *request) pool() *pool {
	switch {
	case q.class.Need <= NeedFresh:
		return &q.group.pools[0]
	case q.last != nil && q.last == q.group.primary:
		return &q.group.pools[2]
	}
	return &q.group.pools[1]
}

func (r *Router) again(q *request) {
	if !r.maySend(q) || q.ran && r.budget < 1 {
		r.finish(q)
		return
	}
	if q.ran {
		r.budget--
	}
	r.place(q)
}

// finish gives the final answer; what is given up on is answered at once.
func (r *Router) finish(q *request) {
	a := Action{Kind: ActionFail, Request: q.id}
	if q.mayReject() {
		a.Kind = ActionReject
	}
	if r.cfg.RetryAfter && q.mayReject() {
		a.After = r.cfg.MaxRetryAfter/2 + r.spread(r.cfg.MaxRetryAfter/2)/2
	}
	r.acts = append(r.acts, a)
	r.close(q)
}

// close ends a request; it stays known while attempts are out, as a late answer still binds its session.
func (r *Router) close(q *request) {
	if q == nil {
		return
	}
	r.stir(q.group)
	if q.done = true; q.out == 0 {
		delete(r.open, q.id)
	}
}

// sweep looks after requests that wait: for a server, for an answer, or for the end.
func (r *Router) sweep() {
	r.swept, r.kick = r.now, false
	if r.now-r.pruned > forget {
		r.pruned = r.now
		for key, commit := range r.sessions {
			if commit < r.now-forget {
				r.floor = max(r.floor, commit)
				delete(r.sessions, key)
			}
		}
	}
	held, all := r.held[:0], r.all[:0]
	groups, before := r.looks.take(r.now, r.sweeping[:0]), len(r.acts)
	for _, g := range groups {
		g.queue, g.stirred = slices.DeleteFunc(g.queue, func(q *request) bool { return q.done }), false
		all = append(all, g.queue...)
	}
	if len(groups) > 1 {
		slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	}
	for _, q := range all {
		switch {
		case q.streamed:
		case q.out == 0 && r.now >= r.lastCall(q), r.now >= q.deadline+r.cfg.AnswerSlack/2:
			r.finish(q)
		case q.out == 0:
			held = append(held, q)
		default:
			r.rescue(q)
		}
	}
	slices.Reverse(held) // newest first: in a queue that cannot all be served, the oldest is soonest late
	worth := func(q *request) float64 {
		if r.now-q.arrived > q.class.Target {
			return q.class.Worth * q.class.LateWorth
		}
		return q.class.Worth
	}
	slices.SortStableFunc(held, func(a, b *request) int { return cmp.Compare(worth(b), worth(a)) })
	for _, q := range held {
		if !r.place(q) && q.class.Need <= NeedFresh && (q.group.primary == nil || !q.group.primary.polled) {
			r.hurry(q.group, r.interval) // no backoff while work waits for a primary
		}
	}
	clear(held) // what has ended must not be kept
	clear(all)
	r.held, r.all, r.sweeping = held, all, groups
	for _, g := range groups {
		if len(g.queue) > 0 && (g.stirred || len(r.acts) > before) {
			r.looks.set(&g.look, math.MinInt64)
		} else if len(g.queue) > 0 {
			r.looks.set(&g.look, r.quiet(g))
		}
	}
}

// quiet is a time before which a sweep can change nothing for a group in which nothing else changes: the
// least of the bounds that place, finish and rescue set, as far as time alone can turn them.
func (r *Router) quiet(g *group) time.Duration {
	until := time.Duration(math.MaxInt64)
	if r.cfg.Behind != BehindServe || !r.cfg.Probing {
		return math.MinInt64 // replicas become hopeful with time
	}
	if r.scarce > r.now {
		until = r.scarce
	}
	for _, s := range g.members {
		if r.warmth(s) < 1 {
			return math.MinInt64 // it gets warmer, and credit with it
		}
	}
	for _, q := range g.queue {
		until = min(until, r.quietFor(q))
	}
	return until
}

func (r *Router) quietFor(q *request) time.Duration {
	until := q.deadline + r.cfg.AnswerSlack/2
	s := q.last
	switch {
	case q.done, q.full, q.streamed: // budget is earned anywhere; a streamed one only ends by events
		return math.MinInt64
	case q.out == 0:
		until = min(until, r.lastCall(q))
	case s != nil && !q.pulled:
		late := max(q.sent, s.answered) + r.patience(s) + 1
		if q.sent < s.latest {
			late = q.sent + r.patience(s) + 1
		}
		if late > r.now || q.class.Effect == Safe || r.cfg.ParallelTries {
			until = min(until, late)
		}
	}
	if q.out > 0 || q.class.Need <= NeedFresh || q.group.primary == nil {
		return until
	}
	if wait := q.askedAt + 10*r.cfg.Round; q.asked > 0 && wait > r.now {
		until = min(until, wait)
	}
	for _, m := range q.group.members {
		if q.asked < proofPolls && m.polled && !m.polling {
			until = min(until, max(m.polledAt, m.heardAt)+r.interval+1)
		}
	}
	return until
}

// lastCall is when a request that no server has is given up: one mean latency before it would earn nothing.
func (r *Router) lastCall(q *request) time.Duration {
	end := q.deadline
	if q.class.LateWorth == 0 {
		end = min(end, q.arrived+q.class.Target)
	}
	need := min(time.Duration(q.group.latency), q.class.Target/2) // a slow spell must not refuse all unseen
	end = min(end-need, q.deadline-2*r.cfg.Round)
	if q.sends == 0 {
		end = min(end, q.arrived+time.Duration(heldShare*float64(q.deadline-q.arrived))-2*r.cfg.Round)
	}
	return end
}

// rescue tries a request elsewhere whose server has gone silent; a write only where its connection was lost.
func (r *Router) rescue(q *request) {
	s := q.last
	if s == nil || q.pulled || r.now-max(q.sent, s.answered) <= r.patience(s) && !r.stuck(s, q.sent) ||
		!slices.ContainsFunc(s.out, func(f flight) bool { return f.id == q.id }) {
		return
	}
	switch lost := r.lost(s, q); {
	case q.class.Effect != Safe && !lost:
	case r.cfg.ParallelTries:
		if q.out < 2 && r.budget >= 1 && r.place(q) {
			r.budget--
		}
	case r.cfg.Cancel && q.class.Effect == Safe && r.budget >= 1: // else the first may still be answered
		q.pulled = true
		r.acts = append(r.acts, Action{Kind: ActionWithdraw, Request: q.id, Attempt: q.sends - 1})
	}
}

func (r *Router) arm(next time.Duration) {
	if len(r.open) > 0 {
		next = min(next, r.now+r.sweepGap)
	}
	next = max(next, r.now+r.cfg.Round)
	if next >= r.now+time.Hour || r.armed != 0 && r.armed <= next {
		return
	}
	r.token, r.armed = r.token+1, next
	r.acts = append(r.acts, Action{Kind: ActionTimer, Token: r.token, After: next - r.now})
}

// spread draws a time of between a half and one and a half of d.
func (r *Router) spread(d time.Duration) time.Duration {
	return time.Duration((0.5 + r.rng.Float64()) * float64(d))
}

func (r *Router) log(text string) { r.acts = append(r.acts, Action{Kind: ActionLog, Text: text}) }
