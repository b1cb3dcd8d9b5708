// Package world is a discrete-event simulation of drivers, database nodes and clients: it runs the real engine of
// package driver and the real balancer, and models nodes, replication and the network. Its input is a Config with a
// seed and its output a Result; the same seed gives the same run to the byte, and each part draws from a random
// stream of its own, so that an added trouble does not change the other draws. The lab commands, package experiment
// and package lab call it.
package world

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"umberladder/admission"
	"umberladder/balance"
	"umberladder/driver"
	"umberladder/internal/schedule"
	"umberladder/lab/history"
	"umberladder/lab/record"
	"umberladder/position"
	"umberladder/token"
)

// Config describes a simulated site and its load. Times are simulated time.
type Config struct {
	Seed             uint64
	Drivers          int
	Slices           int
	Members          int     // nodes per slice, including the primary
	Rate             float64 // requests per second over all clients
	Length           time.Duration
	Cores            int           // per node
	Work             time.Duration // mean execution time of a request on a core
	WorkSigma        float64       // standard deviation of the logarithm of the execution time
	LinkDelay        time.Duration // one-way network delay between driver and node in one zone
	CrossZoneDelay   time.Duration // one-way network delay between zones; at least the delay within a zone
	ListDelay        time.Duration // from a change of the node list until drivers are notified
	Troubles         []Trouble
	ReplicationDelay time.Duration // from a commit until a replica has received its log record
	ReplayTime       time.Duration // time a replica needs to replay one log record
	Engine           driver.Config // its classes are drawn by Shares
	Shares           []float64     // share of each class in the requests
	Crashes          int           // number of primary crashes
	ElectionTime     time.Duration // from a primary's crash to the promotion of a replica
	Downtime         time.Duration // from that promotion to the restart of the crashed node
	ReplayFactors    []float64     // by member, factor on the time to replay a record; 1 for members beyond its end
	Sessions         int           // client sessions per driver
	SlicesPerSession int           // slices that one session uses; 0 for all
	KeysPerSlice     int           // keys per slice
	LateReads        bool          // half of the reads take their data at the end of execution, as volatile functions do
	CheckSessions    bool          // check session guarantees after the run; needs memory for each request
	TokenPolicy      TokenPolicy   // which tokens sessions keep

	Gate        *admission.Config // admission control of each driver; nil for none
	EventCost   time.Duration     // time a driver's event loop needs per event
	Burst       Burst
	MaxTries    int           // most tries of a client for one request, including the first; 0 for 1
	RetryPause  time.Duration // before a further try; 0 for the retry-after time of the refusal
	RetryBudget float64       // further tries that each first try allows a client; 0 for no limit

	TailIndex      float64           // index of a Pareto distribution of execution time, above 1; 0 for lognormal
	MaxConnections int               // most connections a node accepts; 0 for no limit
	ConnectTime    time.Duration     // time a node needs to accept a connection, one at a time
	Jitter         float64           // most additional network delay, as a share of the delay
	ThinkTime      time.Duration     // mean time from an answer to the session's next request; 0 for open-loop arrivals
	Arrivals       []record.Arrival  // recorded arrivals to replay; none: arrivals are drawn
	Plant          Plant             // fault to inject, which the judged rules must detect
	Record         func(*record.Row) // receives a row for each request and attempt; nil for none
}

// Burst multiplies the arrival rate and the execution time of requests during an interval.
type Burst struct {
	From, To time.Duration // since the start of the run
	Load     float64       // factor on the arrival rate; 0 for 1
	Work     float64       // factor on the execution time; 0 for 1
}

func (b *Burst) factor(at time.Duration, by float64) float64 {
	if by == 0 || at < b.From || at >= b.To {
		return 1
	}
	return by
}

// TokenPolicy selects the tokens that sessions keep.
type TokenPolicy uint8

// The tokens that sessions can keep.
const (
	KeepAllTokens   TokenPolicy = iota // the token of each answer
	KeepLowerTokens                    // of a read, the log position from before it: an injected fault
	KeepWriteTokens                    // of writes only, so that reads are not monotonic
)

// Result holds the counts, value and broken rules of a run.
type Result struct {
	// Requests counts the tries of clients; the others count the tries that the engines served, refused and failed.
	Requests, Served, Refused, Failed int

	InTarget  int // served within the class's latency target, counted from the first try
	AtPrimary int // reads served by the primary
	// SessionReads counts the reads served to sessions with a token of the slice, and SessionReadsAtPrimary those of
	// them served by the primary.
	SessionReads, SessionReadsAtPrimary int

	SessionChances  int             // chances to break a session guarantee
	NotAdmitted     int             // refused by admission control
	ClientRetries   int             // further tries of clients
	Causes          map[string]int  // refusals and failures by the engines, by "class: cause"
	Troubles        int             // troubles that began
	Orphaned        int             // requests pending in drivers that were killed
	Overdue         int             // answered by call handlers because the event loop was late
	PromotionDelays []time.Duration // from a promotion until a driver logged the new primary
	Value           []float64       // value earned in each interval of length Window
	OfferedValue    []float64       // value of the requests whose first try was in each interval
	// Latencies has the latency of served requests by class, in microseconds.
	Latencies          map[string]*hdrhistogram.Histogram
	Attempts           int            // of all requests that an engine answered
	Polls              int            // queries for a node's facts
	Events             int            // processed by all engines
	Steps              int            // of all engines
	Promotions         int            // of replicas
	Broken             []string       // broken rules, one line each, at most 100
	Digest             uint64         // hash over all answers in order
	Chances            map[string]int // chances to break each rule, by rule
	GuardedWrites      int            // writes stopped by a node's guard
	RefusedConnections int            // connections refused by nodes at their limit
}

// World is the state of one simulation run.
type World struct {
	cfg            Config
	now            time.Duration
	queue          schedule.Queue[func()]
	drivers        []*host
	slices         []*slice
	nodes          map[string]*node
	allNodes       []*node // of all slices
	result         Result
	digest         uint64
	lastRequest    driver.RequestID
	pending        map[driver.RequestID]*request
	timedOut       map[driver.RequestID]bool // requests answered by answerOverdue; the engine may still answer them
	history        history.History
	paths          map[string]*path // by zone
	lossRand       *rand.Rand
	jitterRand     *rand.Rand
	failShare      float64       // share of safe requests that fail at any node
	hotShare       float64       // share of requests redirected to the first driver
	listsHeldUntil time.Duration // until then drivers are not notified of changes of the node list
	plantRand      *rand.Rand
	loadFactor     float64 // factor on the arrival rate
}

// start is the engines' clock at the start of the run. It is far from zero, as a zero time means "never" to the
// balancer.
const start = 1000 * time.Hour

// stream returns a random stream that depends only on the seed and the name.
func (w *World) stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(w.cfg.Seed, h.Sum64()))
}

// schedule queues an event for a time, or for now if that has passed.
func (w *World) schedule(when time.Duration, do func()) {
	w.queue.Put(max(when, w.now), do)
}

// Run simulates the load and ten seconds after it, and judges the rules. An error says that an engine could not be
// created from the configuration.
func Run(cfg Config) (*Result, error) {
	w := &World{cfg: cfg, now: start, nodes: map[string]*node{}, pending: map[driver.RequestID]*request{}, timedOut: map[driver.RequestID]bool{}, paths: map[string]*path{}, loadFactor: 1}
	w.lossRand, w.jitterRand, w.plantRand = w.stream("losses"), w.stream("jitter"), w.stream("plants")
	for _, zone := range cfg.Engine.Zones {
		w.paths[zone] = &path{}
	}
	w.result.Latencies, w.result.Causes, w.result.Chances = map[string]*hdrhistogram.Histogram{}, map[string]int{}, map[string]int{}
	w.build()
	for d := range cfg.Drivers {
		h, err := w.newHost(d)
		if err != nil {
			return nil, err
		}
		w.drivers = append(w.drivers, h)
	}
	w.startArrivals()
	w.scheduleCrashes()
	w.scheduleTroubles()
	end := start + cfg.Length + 10*time.Second
	for at, ok := w.queue.Next(); ok && at <= end; at, ok = w.queue.Next() {
		var do func()
		w.now, do = w.queue.Take()
		do()
	}
	for _, id := range slices.Sorted(maps.Keys(w.pending)) {
		w.breakRule(w.pending[id], RuleAnswer, "request %d was never answered", id)
		w.recordRows(w.pending[id], &driver.Answer{Status: driver.Failed}, "never answered", 0)
	}
	w.checkSessions()
	w.result.Digest = w.digest
	return &w.result, nil
}

func (w *World) addBroken(format string, args ...any) {
	if len(w.result.Broken) < 100 {
		w.result.Broken = append(w.result.Broken, fmt.Sprintf(format, args...))
	}
}

func (w *World) addToDigest(values ...uint64) {
	for _, v := range values {
		w.digest = (w.digest ^ v) * 0x9e3779b97f4a7c15
		w.digest ^= w.digest >> 29
	}
}

// request is one try of a client's request and its state.
type request struct {
	id             driver.RequestID
	class          int
	slice          *slice
	session        *session
	arrived        time.Duration
	deadline       time.Duration
	need           position.Position // position that the session's token requires
	host           *host
	ticket         *admission.Ticket
	try            int           // number of the client's try, from 0
	firstSent      time.Duration // when the client sent the first try
	key            string
	lateRead       bool     // it takes its data at the end of execution
	promotedDuring bool     // a promotion happened during its execution
	covered        []string // the operations that the session's token covers
	sends          int
	ran            bool // its write was committed
	silenced       bool // its answer is withheld by PlantSilent
	faulty         bool // it fails with an error of its own at any node
	attempts       []*attempt
	brokenRule     string // name of the last rule it broke
}

func (q *request) name() string { return fmt.Sprintf("q%d", q.id) }

// session is a client session with its token.
type session struct {
	name         string
	token        token.Token
	covered      map[string][]string // by slice, the operations that the token covers
	retryBudget  float64             // further tries it may make
	firstSlice   int                 // index of the first slice that it uses
	scheduleNext func()              // schedules the next request after an answer; nil for open-loop arrivals
}

// pickSlice draws the slice of the session's next request.
func (s *session) pickSlice(rng *rand.Rand, slices, visits int) int {
	if visits <= 0 || visits >= slices {
		return rng.IntN(slices)
	}
	return (s.firstSlice + rng.IntN(visits)) % slices
}

// addToken joins the token of an answer to the session's token, as answers may arrive out of order.
func (s *session) addToken(q *request, t token.Token) {
	s.token = s.token.Join(t)
	rest := slices.DeleteFunc(slices.Clone(s.covered[q.slice.name]), func(id string) bool { return slices.Contains(q.covered, id) })
	s.covered[q.slice.name] = append(rest, q.name())
}

// startArrivals schedules the clients' requests. Open-loop arrivals are drawn per driver, each at the time of
// the previous one.
func (w *World) startArrivals() {
	switch {
	case len(w.cfg.Arrivals) > 0:
		w.replayArrivals()
		return
	case w.cfg.ThinkTime > 0:
		w.startClosedLoop()
		return
	}
	driverRate := w.cfg.Rate / float64(w.cfg.Drivers)
	for d, h := range w.drivers {
		rng := w.stream(fmt.Sprintf("arrivals %d", d))
		sessions := w.newSessions(d)
		var next func()
		next = func() {
			if w.now >= start+w.cfg.Length {
				return
			}
			if to := w.runningDriver(w.pickDriver(h, rng)); to != nil {
				w.drawRequest(to, rng, &sessions[rng.IntN(len(sessions))])
			}
			rate := driverRate * w.loadFactor * w.cfg.Burst.factor(w.now-start, w.cfg.Burst.Load)
			w.schedule(w.now+time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		w.schedule(start+time.Second+time.Duration(rng.Float64()*float64(time.Second)), next)
	}
}

// pickDriver returns the driver that receives a request: h, or the first driver for the share hotShare.
func (w *World) pickDriver(h *host, rng *rand.Rand) *host {
	if w.hotShare > 0 && rng.Float64() < w.hotShare {
		return w.drivers[0]
	}
	return h
}

func (w *World) drawRequest(h *host, rng *rand.Rand, s *session) {
	draw, class := rng.Float64(), 0
	for ; class < len(w.cfg.Shares)-1 && draw >= w.cfg.Shares[class]; class++ {
		draw -= w.cfg.Shares[class]
	}
	w.newRequest(h, rng, s, class, w.slices[s.pickSlice(rng, len(w.slices), w.cfg.SlicesPerSession)])
}

// newRequest creates a session's request and submits it.
func (w *World) newRequest(h *host, rng *rand.Rand, s *session, class int, sl *slice) {
	s.retryBudget = min(s.retryBudget+w.cfg.RetryBudget, 10)
	c := &w.cfg.Engine.Router.Classes[class]
	w.lastRequest++
	q := &request{id: w.lastRequest, class: class, slice: sl, session: s, arrived: w.now, deadline: w.now + c.Deadline, host: h, firstSent: w.now}
	w.addValue(&w.result.OfferedValue, c.Value)
	q.key, q.lateRead = fmt.Sprintf("k%d", rng.IntN(max(1, w.cfg.KeysPerSlice))), w.cfg.LateReads && rng.IntN(2) == 0
	if w.failShare > 0 && c.Effect == balance.Safe {
		q.faulty = rng.Float64() < w.failShare
	}
	params := driver.RequestParams{Class: class, Slice: sl.name, Deadline: q.deadline}
	if at, ok := s.token.Position(sl.name); ok && c.Need != balance.NeedBounded {
		q.need, params.Token, q.covered = at, token.Token{}.With(sl.name, at), s.covered[sl.name]
	}
	w.result.Requests++
	w.submit(q, params)
}

// Window is the length of the intervals over which value is summed.
const Window = 250 * time.Millisecond

func (w *World) addValue(sums *[]float64, value float64) {
	i := int((w.now - start) / Window)
	for len(*sums) <= i {
		*sums = append(*sums, 0)
	}
	(*sums)[i] += value
}

// submit passes a request to its driver, through admission control if there is any.
func (w *World) submit(q *request, params driver.RequestParams) {
	w.pending[q.id] = q
	if g := q.host.gate; g != nil {
		t, v := g.Admit(w.now, admission.Request{Client: q.session.name, Slice: q.slice.name, Class: q.class, Bytes: 200, Attempt: q.try})
		if v.Reason != admission.Admitted {
			w.result.NotAdmitted++
			delete(w.pending, q.id)
			w.countChance(RuleAnswer)
			w.recordRows(q, &driver.Answer{Status: driver.Refused}, "front door: "+v.Reason.String(), 0)
			q.host.freeAt = max(q.host.freeAt, w.now) + w.cfg.EventCost/10
			if v.NoRetry || !w.retry(q, v.RetryAfter) {
				q.session.finished()
			}
			return
		}
		q.ticket = t
	}
	q.host.enqueue(driver.Event{Kind: driver.EventRequest, Request: q.id, Params: params})
	w.schedule(q.deadline-w.cfg.Engine.AnswerMargin/4, func() { w.answerOverdue(q) })
}

// answerOverdue does what a call handler does shortly before the deadline of a request that the event loop has not
// answered: it answers the request itself.
func (w *World) answerOverdue(q *request) {
	if w.pending[q.id] == nil || q.silenced {
		return
	}
	delete(w.pending, q.id)
	w.countChance(RuleAnswer)
	w.timedOut[q.id] = true
	w.result.Overdue++
	if q.ticket != nil {
		q.host.gate.Done(w.now, q.ticket, admission.Other)
	}
	a := &driver.Answer{Status: driver.Failed}
	if w.cfg.Engine.Router.Classes[q.class].Effect == balance.Safe {
		a.Status = driver.Refused
	}
	w.recordOp(a, q)
	w.recordRows(q, a, "overdue", 0)
	q.session.finished()
	q.host.enqueue(driver.Event{Kind: driver.EventClientLeft, Request: q.id})
}

// retry schedules a further try of a refused request and returns true, unless the number of tries, the deadline or
// the retry budget forbids it.
func (w *World) retry(q *request, advice time.Duration) bool {
	s, wait := q.session, w.cfg.RetryPause
	if wait == 0 {
		wait = advice
	}
	at := w.now + max(wait, time.Microsecond)
	if q.try+1 >= w.cfg.MaxTries || at >= q.deadline {
		return false
	}
	if w.cfg.RetryBudget > 0 {
		if s.retryBudget < 1 {
			return false
		}
		s.retryBudget--
	}
	w.result.ClientRetries++
	w.schedule(at, func() {
		to := w.runningDriver(q.host)
		if to == nil {
			s.finished()
			return
		}
		w.lastRequest++
		next := &request{id: w.lastRequest, class: q.class, slice: q.slice, session: s, arrived: w.now, deadline: q.deadline, host: to,
			firstSent: q.firstSent, try: q.try + 1, key: q.key, lateRead: q.lateRead, covered: q.covered, need: q.need}
		params := driver.RequestParams{Class: next.class, Slice: next.slice.name, Deadline: next.deadline}
		if !q.need.IsZero() {
			params.Token = token.Token{}.With(q.slice.name, q.need)
		}
		w.result.Requests++
		w.submit(next, params)
	})
	return true
}

// onAnswer judges and counts a final answer from an engine.
func (w *World) onAnswer(a *driver.Answer, id driver.RequestID) {
	q := w.pending[id]
	if w.timedOut[id] {
		return
	}
	if q == nil {
		w.addBroken(RuleAnswer+": request %d has a second final answer", id)
		return
	}
	if q.silenced = w.cfg.Plant == PlantSilent && w.plantRand.IntN(100) == 0; q.silenced {
		return
	}
	delete(w.pending, id)
	w.countChance(RuleAnswer)
	if q.ticket != nil {
		end := [...]admission.Result{driver.Served: admission.Served, driver.Refused: admission.Other, driver.Failed: admission.Other}[a.Status]
		if a.Status == driver.Refused && a.Cause == driver.CauseNoNode {
			end = admission.Refused
		}
		q.host.gate.Done(w.now, q.ticket, end)
	}
	w.addToDigest(uint64(id), uint64(a.Status), uint64(w.now), uint64(a.Attempts))
	if w.now > q.deadline {
		w.breakRule(q, RuleAnswer, "request %d was answered %v after its client gave up", id, w.now-q.deadline)
	}
	w.result.Attempts += a.Attempts
	w.recordOp(a, q)
	if a.Status != driver.Served {
		w.result.Causes[w.cfg.Engine.Router.Classes[q.class].Name+": "+a.Cause.String()]++
	}
	switch a.Status {
	case driver.Refused:
		w.result.Refused++
		if a.Cause == driver.CauseTokenLost || a.Cause == driver.CauseTokenAhead {
			q.session.token = q.session.token.With(q.slice.name, position.Position{})
			delete(q.session.covered, q.slice.name)
		}
		if q.ran && w.cfg.Engine.Router.Classes[q.class].Effect == balance.Unsafe {
			w.breakRule(q, RuleAnswer, "request %d ran and was refused", id)
		}
		w.recordRows(q, a, a.Cause.String(), 0)
		if !w.retry(q, a.RetryAfter) {
			q.session.finished()
		}
		return
	case driver.Failed:
		w.result.Failed++
		w.recordRows(q, a, a.Cause.String(), 0)
		q.session.finished()
		return
	}
	value := w.recordServed(a, q)
	w.recordRows(q, a, "", value)
	q.session.finished()
}

// recordServed counts and judges a served request and returns the value earned.
func (w *World) recordServed(a *driver.Answer, q *request) float64 {
	c := &w.cfg.Engine.Router.Classes[q.class]
	w.result.Served++
	value := c.Value * c.LateValue
	if w.now-q.firstSent <= c.Target {
		w.result.InTarget++
		value = c.Value
	}
	if q.faulty {
		value = 0 // the answer is its own error
	}
	w.addValue(&w.result.Value, value)
	h := w.result.Latencies[c.Name]
	if h == nil {
		h = hdrhistogram.New(1, 60_000_000, 3)
		w.result.Latencies[c.Name] = h
	}
	h.RecordValue((w.now - q.arrived).Microseconds())
	if c.Need == balance.NeedWrite {
		q.session.addToken(q, a.Token)
		return value
	}
	w.countChance(RuleStale)
	if !a.Facts.Replica {
		w.result.AtPrimary++
	}
	if c.Need == balance.NeedSession {
		if !q.need.IsZero() {
			w.result.SessionReads++
			if !a.Facts.Replica {
				w.result.SessionReadsAtPrimary++
			}
		}
		switch w.cfg.TokenPolicy {
		case KeepAllTokens:
			q.session.addToken(q, a.Token)
		case KeepLowerTokens:
			q.session.addToken(q, a.LowerBound)
		}
	}
	if c.Need == balance.NeedSession && !q.need.IsZero() && q.need.LSN != position.UnknownLSN &&
		(a.Facts.Position.Timeline < q.need.Timeline || a.Facts.Position.LSN < q.need.LSN) {
		w.breakRule(q, RuleStale, "request %d was served from %v, its token asked for %v", q.id, a.Facts.Position, q.need)
	}
	if c.Need == balance.NeedBounded && a.Facts.Replica && q.slice.lacksCommitBefore(a.Facts.Position, w.now-c.Bound-c.Deadline) {
		w.breakRule(q, RuleStale, "request %d was served from %v, which lacks what is older than its bound", q.id, a.Facts.Position)
	}
	return value
}

// pareto returns a generator of Pareto-distributed execution times, capped at 1000 times the mean.
func pareto(mean time.Duration, index float64, rng *rand.Rand) func() time.Duration {
	d := distuv.Pareto{Xm: (index - 1) / index, Alpha: index, Src: rng}
	return func() time.Duration { return time.Duration(float64(mean) * min(d.Rand(), 1000)) }
}

// lognormal returns a generator of lognormal execution times with the given mean. spread is the standard deviation of
// their logarithm.
func lognormal(mean time.Duration, spread float64, rng *rand.Rand) func() time.Duration {
	d := distuv.LogNormal{Mu: -spread * spread / 2, Sigma: spread, Src: rng}
	return func() time.Duration { return time.Duration(float64(mean) * d.Rand()) }
}

// recordOp adds an answered request to the history as an operation on a key.
func (w *World) recordOp(a *driver.Answer, q *request) {
	c := &w.cfg.Engine.Router.Classes[q.class]
	if !w.cfg.CheckSessions {
		return
	}
	op := history.Op{ID: q.name(), Session: q.session.name, Slice: q.slice.name, Key: q.key, Begin: q.arrived, End: w.now, Covered: q.covered}
	switch {
	case c.Need == balance.NeedWrite:
		op.Kind, op.Value = history.Write, q.name()
		op.Outcome = [...]history.Outcome{driver.Served: history.Served, driver.Refused: history.Refused, driver.Failed: history.Unknown}[a.Status]
	case a.Status != driver.Served:
		return
	default:
		op.Value, _ = a.Payload.(string)
		op.Bound, op.Excused = c.Bound, q.promotedDuring
	}
	w.history.Ops = append(w.history.Ops, op)
}

// checkSessions checks the history for broken session guarantees.
func (w *World) checkSessions() {
	if !w.cfg.CheckSessions {
		return
	}
	for _, s := range w.slices {
		for _, c := range s.commits {
			w.history.Versions = append(w.history.Versions, history.Version{Slice: s.name, Key: c.key, Value: c.value})
		}
		for _, c := range s.lost {
			w.history.Versions = append(w.history.Versions, history.Version{Slice: s.name, Key: c.key, Value: c.value, Lost: true})
		}
	}
	for _, r := range history.Check(&w.history) {
		w.result.SessionChances += r.Chances
		for i := range r.Broken {
			w.addBroken(RuleStale+": %s: %s", r.Name, &r.Broken[i])
		}
	}
}
