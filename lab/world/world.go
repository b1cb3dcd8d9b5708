// Package world plays drivers, db nodes and clients in simulated time: the engine of package driver as it is, the
// module in it as it is, and models of nodes, logs and ways between them in the place of sockets. The same seed
// gives the same run to the byte. One source of randomness for each part, named, so that a trouble added in one
// place does not reshuffle the rest.
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

// Config is what a world is made of.
type Config struct {
	Seed     uint64
	Drivers  int
	Slices   int
	Members  int     // nodes of a slice, the primary among them
	Rate     float64 // requests a second of all clients
	Length   time.Duration
	Cores    int
	Work     time.Duration // mean of a request's work
	Spread   float64       // standard deviation of its logarithm
	Way      time.Duration // between driver and node, one way
	Cross    time.Duration // likewise between halls; at least Way
	Notice   time.Duration // after which drivers hear of a change of the list
	Troubles []Trouble
	Ship     time.Duration // until a replica has a record
	Apply    time.Duration // to replay one
	Engine   driver.Config // Classes in it are drawn by Shares
	Shares   []float64     // of each class
	Crashes  int           // primaries that die, each replaced after Elect, back after Down
	Elect    time.Duration
	Down     time.Duration
	Lags     []float64 // by member, how many times as long as Apply it needs for a record; 1 beyond its end
	Sessions int       // of a driver's clients
	Visits   int       // slices that a session uses; 0 for all
	Keys     int       // of a slice
	Late     bool      // half of the reads look at their data as they end, as volatile functions do
	Judge    bool      // what sessions saw is judged, which takes memory for each request
	Keep     Keep      // which tokens sessions keep

	Gate      *admission.Config // each driver's front door; nil for none
	EventCost time.Duration     // of a driver's loop, for each event that it takes up
	Burst     Burst
	Tries     int           // of a client for one request
	Pause     time.Duration // before a further one; 0: as advised, else at once
	Budget    float64       // further tries that a client's first ones earn; 0 for as many as it likes

	Tail   float64           // index of a Pareto tail of the work, above 1; 0 for lognormal work
	Cap    int               // connections that a node takes; 0 for any number
	Greet  time.Duration     // of a node's core, for each connection that it takes
	Jitter float64           // by up to how much of its time a way is longer
	Think  time.Duration     // mean between an answer and a session's next request; 0 for arrivals that wait for nothing
	Played []record.Arrival  // in the place of arrivals that are drawn
	Plant  Plant             // a fault put in on purpose
	Record func(*record.Row) // takes every request and attempt; nil for none
}

// Burst multiplies the load, and the work of requests, for a while.
type Burst struct {
	From, To time.Duration // since the beginning
	Load     float64       // times the rate; 0 for 1
	Work     float64       // times the work; 0 for 1
}

func (b *Burst) times(at time.Duration, by float64) float64 {
	if by == 0 || at < b.From || at >= b.To {
		return 1
	}
	return by
}

// Keep is which tokens sessions keep.
type Keep uint8

// The ways to keep tokens.
const (
	KeepAll    Keep = iota // of each answer
	KeepLower              // of reads the place from before them: a fault on purpose
	KeepWrites             // of writes alone, so that reads are not monotonic
)

// Result is what a run came to.
type Result struct {
	Requests, Served, Refused, Failed int
	InTarget                          int                                // served within the class's target
	AtPrimary                         int                                // reads that the primary served
	OwnReads, OwnAtPrimary            int                                // served to sessions that had a token of the slice
	Chances                           int                                // of the rules on what sessions saw
	Turned                            int                                // refused at the front door
	Again                             int                                // further tries of clients
	Causes                            map[string]int                     // of refusals and failures, by class
	Struck                            int                                // troubles
	Orphaned                          int                                // requests of drivers that died
	Overdue                           int                                // answered in the place of a late loop
	Noticed                           []time.Duration                    // after a promotion, until each driver knew of it
	Worth                             []float64                          // earned in each window of Window
	Asked                             []float64                          // as much as first tries asked for
	Took                              map[string]*hdrhistogram.Histogram // by class, of what was served, in microseconds
	Attempts                          int
	Polls                             int
	Events                            int // of all engines
	Steps                             int
	Promotions                        int
	Broken                            []string       // rules, one line each
	Digest                            uint64         // of every answer in order
	Tried                             map[string]int // chances to break each rule
	Guarded                           int            // writes that a node's guard kept from running
	Full                              int            // connections that nodes turned away
}

// World is a run under way.
type World struct {
	cfg     Config
	now     time.Duration
	queue   schedule.Queue[func()]
	drivers []*host
	slices  []*slice
	nodes   map[string]*node
	order   []*node // all of them
	result  Result
	digest  uint64
	lastReq driver.RequestID
	open    map[driver.RequestID]*request
	gone    map[driver.RequestID]bool // answered in the place of a late loop
	history history.History
	paths   map[string]*path // by hall
	losses  *rand.Rand
	jitter  *rand.Rand
	bad     float64       // share of safe requests that fail at any node
	hot     float64       // share of requests that come to the first driver
	deaf    time.Duration // until then no driver hears of the list
	plants  *rand.Rand
	load    float64 // times the usual rate
}

// start is the engines' time at the beginning: far from zero, which is no time to the module.
const start = 1000 * time.Hour

// stream is a source of randomness of its own for each name.
func (w *World) stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(w.cfg.Seed, h.Sum64()))
}

// at makes something happen at a time, not before now.
func (w *World) at(when time.Duration, do func()) {
	w.queue.Put(max(when, w.now), do)
}

// Run plays a world to its end.
func Run(cfg Config) (*Result, error) {
	w := &World{cfg: cfg, now: start, nodes: map[string]*node{}, open: map[driver.RequestID]*request{}, gone: map[driver.RequestID]bool{}, paths: map[string]*path{}, load: 1}
	w.losses, w.jitter, w.plants = w.stream("losses"), w.stream("jitter"), w.stream("plants")
	for _, hall := range cfg.Engine.Zones {
		w.paths[hall] = &path{}
	}
	w.result.Took, w.result.Causes, w.result.Tried = map[string]*hdrhistogram.Histogram{}, map[string]int{}, map[string]int{}
	w.build()
	for d := range cfg.Drivers {
		h, err := w.newHost(d)
		if err != nil {
			return nil, err
		}
		w.drivers = append(w.drivers, h)
	}
	w.arrivals()
	w.crashes()
	w.troubles()
	end := start + cfg.Length + 10*time.Second
	for at, ok := w.queue.Next(); ok && at <= end; at, ok = w.queue.Next() {
		var do func()
		w.now, do = w.queue.Take()
		do()
	}
	for _, id := range slices.Sorted(maps.Keys(w.open)) {
		w.breaks(w.open[id], RuleAnswer, "request %d was never answered", id)
		w.keep(w.open[id], &driver.Answer{Status: driver.Failed}, "never answered", 0)
	}
	w.judge()
	w.result.Digest = w.digest
	return &w.result, nil
}

func (w *World) broken(format string, args ...any) {
	if len(w.result.Broken) < 100 {
		w.result.Broken = append(w.result.Broken, fmt.Sprintf(format, args...))
	}
}

// note folds an answer into the digest.
func (w *World) note(values ...uint64) {
	for _, v := range values {
		w.digest = (w.digest ^ v) * 0x9e3779b97f4a7c15
		w.digest ^= w.digest >> 29
	}
}

// request is one request under way.
type request struct {
	id       driver.RequestID
	class    int
	slice    *slice
	session  *session
	arrived  time.Duration
	deadline time.Duration
	need     position.Position // of its session
	host     *host
	ticket   *admission.Ticket
	try      int
	first    time.Duration // when its client asked first
	key      string
	late     bool // it looks at its data as it ends
	crossed  bool // its primary changed while it ran
	carries  []string
	sent     int
	ran      bool
	silenced bool // by a plant
	bad      bool // it fails by its own fault
	attempts []*attempt
	broke    string // a rule
}

func (q *request) name() string { return fmt.Sprintf("q%d", q.id) }

// session is a reader account with what it has seen of each slice.
type session struct {
	name   string
	tok    token.Token
	covers map[string][]string // by slice, the operations that the token covers
	budget float64             // of further tries
	home   int                 // the first of the slices that it uses
	next   func()              // after an answer; nil if arrivals wait for nothing
}

// visits is the slice of a session's next request.
func (s *session) visits(rng *rand.Rand, slices, visits int) int {
	if visits <= 0 || visits >= slices {
		return rng.IntN(slices)
	}
	return (s.home + rng.IntN(visits)) % slices
}

// heard joins an answer's token to the session's: answers may come out of order.
func (s *session) heard(q *request, t token.Token) {
	s.tok = s.tok.Join(t)
	rest := slices.DeleteFunc(slices.Clone(s.covers[q.slice.name]), func(id string) bool { return slices.Contains(q.carries, id) })
	s.covers[q.slice.name] = append(rest, q.name())
}

// arrivals draws requests, driver by driver, ahead of time only by one each.
func (w *World) arrivals() {
	switch {
	case len(w.cfg.Played) > 0:
		w.played()
		return
	case w.cfg.Think > 0:
		w.thinkers()
		return
	}
	per := w.cfg.Rate / float64(w.cfg.Drivers)
	for d, h := range w.drivers {
		rng := w.stream(fmt.Sprintf("arrivals %d", d))
		sessions := w.sessions(d)
		var next func()
		next = func() {
			if w.now >= start+w.cfg.Length {
				return
			}
			if to := w.alive(w.drawn(h, rng)); to != nil {
				w.arrive(to, rng, &sessions[rng.IntN(len(sessions))])
			}
			now := per * w.load * w.cfg.Burst.times(w.now-start, w.cfg.Burst.Load)
			w.at(w.now+time.Duration(rng.ExpFloat64()/now*float64(time.Second)), next)
		}
		w.at(start+time.Second+time.Duration(rng.Float64()*float64(time.Second)), next)
	}
}

// drawn is the driver that a request comes to: its own, or the first where that is a crowd's.
func (w *World) drawn(h *host, rng *rand.Rand) *host {
	if w.hot > 0 && rng.Float64() < w.hot {
		return w.drivers[0]
	}
	return h
}

func (w *World) arrive(h *host, rng *rand.Rand, s *session) {
	draw, class := rng.Float64(), 0
	for ; class < len(w.cfg.Shares)-1 && draw >= w.cfg.Shares[class]; class++ {
		draw -= w.cfg.Shares[class]
	}
	w.asks(h, rng, s, class, w.slices[s.visits(rng, len(w.slices), w.cfg.Visits)])
}

// asks has a session make a request.
func (w *World) asks(h *host, rng *rand.Rand, s *session, class int, sl *slice) {
	s.budget = min(s.budget+w.cfg.Budget, 10)
	c := &w.cfg.Engine.Router.Classes[class]
	w.lastReq++
	q := &request{id: w.lastReq, class: class, slice: sl, session: s, arrived: w.now, deadline: w.now + c.Deadline, host: h, first: w.now}
	w.tally(&w.result.Asked, c.Value)
	q.key, q.late = fmt.Sprintf("k%d", rng.IntN(max(1, w.cfg.Keys))), w.cfg.Late && rng.IntN(2) == 0
	if w.bad > 0 && c.Effect == balance.Safe {
		q.bad = rng.Float64() < w.bad
	}
	ask := driver.RequestParams{Class: class, Slice: sl.name, Deadline: q.deadline}
	if at, ok := s.tok.Position(sl.name); ok && c.Need != balance.NeedBounded {
		q.need, ask.Token, q.carries = at, token.Token{}.With(sl.name, at), s.covers[sl.name]
	}
	w.result.Requests++
	w.send(q, ask)
}

// Window is what worth is summed over.
const Window = 250 * time.Millisecond

func (w *World) tally(sums *[]float64, worth float64) {
	i := int((w.now - start) / Window)
	for len(*sums) <= i {
		*sums = append(*sums, 0)
	}
	(*sums)[i] += worth
}

// send hands a request to its driver, past the front door if there is one.
func (w *World) send(q *request, ask driver.RequestParams) {
	w.open[q.id] = q
	if g := q.host.gate; g != nil {
		t, v := g.Admit(w.now, admission.Request{Client: q.session.name, Slice: q.slice.name, Class: q.class, Bytes: 200, Attempt: q.try})
		if v.Reason != admission.Admitted {
			w.result.Turned++
			delete(w.open, q.id)
			w.chance(RuleAnswer)
			w.keep(q, &driver.Answer{Status: driver.Refused}, "front door: "+v.Reason.String(), 0)
			q.host.free = max(q.host.free, w.now) + w.cfg.EventCost/10
			if v.NoRetry || !w.again(q, v.RetryAfter) {
				q.session.on()
			}
			return
		}
		q.ticket = t
	}
	q.host.take(driver.Event{Kind: driver.EventRequest, Request: q.id, Params: ask})
	w.at(q.deadline-w.cfg.Engine.AnswerMargin/4, func() { w.overdue(q) })
}

// overdue answers in the place of a loop that is late, as the handlers of calls do.
func (w *World) overdue(q *request) {
	if w.open[q.id] == nil || q.silenced {
		return
	}
	delete(w.open, q.id)
	w.chance(RuleAnswer)
	w.gone[q.id] = true
	w.result.Overdue++
	if q.ticket != nil {
		q.host.gate.Done(w.now, q.ticket, admission.Other)
	}
	a := &driver.Answer{Status: driver.Failed}
	if w.cfg.Engine.Router.Classes[q.class].Effect == balance.Safe {
		a.Status = driver.Refused
	}
	w.record(a, q)
	w.keep(q, a, "overdue", 0)
	q.session.on()
	q.host.take(driver.Event{Kind: driver.EventClientLeft, Request: q.id})
}

// again has a client try once more what was refused, if it still cares and may.
func (w *World) again(q *request, advice time.Duration) bool {
	s, wait := q.session, w.cfg.Pause
	if wait == 0 {
		wait = advice
	}
	at := w.now + max(wait, time.Microsecond)
	if q.try+1 >= w.cfg.Tries || at >= q.deadline {
		return false
	}
	if w.cfg.Budget > 0 {
		if s.budget < 1 {
			return false
		}
		s.budget--
	}
	w.result.Again++
	w.at(at, func() {
		to := w.alive(q.host)
		if to == nil {
			s.on()
			return
		}
		w.lastReq++
		next := &request{id: w.lastReq, class: q.class, slice: q.slice, session: s, arrived: w.now, deadline: q.deadline, host: to,
			first: q.first, try: q.try + 1, key: q.key, late: q.late, carries: q.carries, need: q.need}
		ask := driver.RequestParams{Class: next.class, Slice: next.slice.name, Deadline: next.deadline}
		if !q.need.IsZero() {
			ask.Token = token.Token{}.With(q.slice.name, q.need)
		}
		w.result.Requests++
		w.send(next, ask)
	})
	return true
}

// answered judges a final answer.
func (w *World) answered(a *driver.Answer, id driver.RequestID) {
	q := w.open[id]
	if w.gone[id] {
		return
	}
	if q == nil {
		w.broken(RuleAnswer+": request %d has a second final answer", id)
		return
	}
	if q.silenced = w.cfg.Plant == PlantSilent && w.plants.IntN(100) == 0; q.silenced {
		return
	}
	delete(w.open, id)
	w.chance(RuleAnswer)
	if q.ticket != nil {
		end := [...]admission.Result{driver.Served: admission.Served, driver.Refused: admission.Other, driver.Failed: admission.Other}[a.Status]
		if a.Status == driver.Refused && a.Cause == driver.CauseNoNode {
			end = admission.Refused
		}
		q.host.gate.Done(w.now, q.ticket, end)
	}
	w.note(uint64(id), uint64(a.Status), uint64(w.now), uint64(a.Attempts))
	if w.now > q.deadline {
		w.breaks(q, RuleAnswer, "request %d was answered %v after its client gave up", id, w.now-q.deadline)
	}
	w.result.Attempts += a.Attempts
	w.record(a, q)
	if a.Status != driver.Served {
		w.result.Causes[w.cfg.Engine.Router.Classes[q.class].Name+": "+a.Cause.String()]++
	}
	switch a.Status {
	case driver.Refused:
		w.result.Refused++
		if a.Cause == driver.CauseTokenLost || a.Cause == driver.CauseTokenAhead {
			q.session.tok = q.session.tok.With(q.slice.name, position.Position{})
			delete(q.session.covers, q.slice.name)
		}
		if q.ran && w.cfg.Engine.Router.Classes[q.class].Effect == balance.Unsafe {
			w.breaks(q, RuleAnswer, "request %d ran and was refused", id)
		}
		w.keep(q, a, a.Cause.String(), 0)
		if !w.again(q, a.RetryAfter) {
			q.session.on()
		}
		return
	case driver.Failed:
		w.result.Failed++
		w.keep(q, a, a.Cause.String(), 0)
		q.session.on()
		return
	}
	worth := w.served(a, q)
	w.keep(q, a, "", worth)
	q.session.on()
}

// served books an answer from a node and gives the worth earned.
func (w *World) served(a *driver.Answer, q *request) float64 {
	c := &w.cfg.Engine.Router.Classes[q.class]
	w.result.Served++
	worth := c.Value * c.LateValue
	if w.now-q.first <= c.Target {
		w.result.InTarget++
		worth = c.Value
	}
	if q.bad {
		worth = 0 // its own error is the answer
	}
	w.tally(&w.result.Worth, worth)
	h := w.result.Took[c.Name]
	if h == nil {
		h = hdrhistogram.New(1, 60_000_000, 3)
		w.result.Took[c.Name] = h
	}
	h.RecordValue((w.now - q.arrived).Microseconds())
	if c.Need == balance.NeedWrite {
		q.session.heard(q, a.Token)
		return worth
	}
	w.chance(RuleStale)
	if !a.Facts.Replica {
		w.result.AtPrimary++
	}
	if c.Need == balance.NeedSession {
		if !q.need.IsZero() {
			w.result.OwnReads++
			if !a.Facts.Replica {
				w.result.OwnAtPrimary++
			}
		}
		switch w.cfg.Keep {
		case KeepAll:
			q.session.heard(q, a.Token)
		case KeepLower:
			q.session.heard(q, a.LowerBound)
		}
	}
	if c.Need == balance.NeedSession && !q.need.IsZero() && q.need.LSN != position.UnknownLSN &&
		(a.Facts.Position.Timeline < q.need.Timeline || a.Facts.Position.LSN < q.need.LSN) {
		w.breaks(q, RuleStale, "request %d was served from %v, its token asked for %v", q.id, a.Facts.Position, q.need)
	}
	if c.Need == balance.NeedBounded && a.Facts.Replica && q.slice.staleBy(a.Facts.Position, w.now-c.Bound-c.Deadline) {
		w.breaks(q, RuleStale, "request %d was served from %v, which lacks what is older than its bound", q.id, a.Facts.Position)
	}
	return worth
}

// pareto draws times of work with the mean given and a heavy tail.
func pareto(mean time.Duration, index float64, rng *rand.Rand) func() time.Duration {
	d := distuv.Pareto{Xm: (index - 1) / index, Alpha: index, Src: rng}
	return func() time.Duration { return time.Duration(float64(mean) * min(d.Rand(), 1000)) }
}

// lognormal draws times of work with the mean given.
func lognormal(mean time.Duration, spread float64, rng *rand.Rand) func() time.Duration {
	d := distuv.LogNormal{Mu: -spread * spread / 2, Sigma: spread, Src: rng}
	return func() time.Duration { return time.Duration(float64(mean) * d.Rand()) }
}

// record takes down an answer as an operation on a key.
func (w *World) record(a *driver.Answer, q *request) {
	c := &w.cfg.Engine.Router.Classes[q.class]
	if !w.cfg.Judge {
		return
	}
	op := history.Op{ID: q.name(), Session: q.session.name, Slice: q.slice.name, Key: q.key, Begin: q.arrived, End: w.now, Carries: q.carries}
	switch {
	case c.Need == balance.NeedWrite:
		op.Kind, op.Value = history.Write, q.name()
		op.Ended = [...]history.End{driver.Served: history.Served, driver.Refused: history.Refused, driver.Failed: history.Unknown}[a.Status]
	case a.Status != driver.Served:
		return
	default:
		op.Value, _ = a.Payload.(string)
		op.Bound, op.Excused = c.Bound, q.crossed
	}
	w.history.Ops = append(w.history.Ops, op)
}

// judge looks at what sessions saw.
func (w *World) judge() {
	if !w.cfg.Judge {
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
		w.result.Chances += r.Chances
		for i := range r.Broken {
			w.broken(RuleStale+": %s: %s", r.Name, &r.Broken[i])
		}
	}
}
