// Package admission is the admission control of one driver. Arrivals, results of requests, event loop delays, the
// memory in use and the time go in; a decision for each arrival comes out: admit it, or refuse it with a reason and a
// time to retry after. The server calls it before a request costs any other work; the package does no I/O and reads no
// clock.
//
// Package balance refuses a request when it finds no node with capacity, but at many times the load that the nodes can
// serve that search is itself the cost. The gate therefore limits the requests in flight in each pool (the primary or
// the replicas of a slice) to as many as are answered within their target, prefers classes of high value, bounds each
// client's share of a busy pool, and sheds classes by value while the event loop is late or memory is short.
package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"umberladder/balance"
)

// Constants of the control loops.
const (
	minGrowth       = 0.02                  // minimum growth of a limit per answer, in requests; otherwise 1/limit
	lateFactor      = 0.95                  // factor by which a late answer lowers a limit
	refusedFactor   = 0.95                  // factor by which a refusal for lack of capacity lowers a limit
	growBelow       = 0.75                  // share of its target up to which the response time of an answer lets a limit grow
	reservedShare   = 0.4                   // share of a limit that is reserved for the class of highest value
	fairMultiple    = 1.5                   // multiple of its equal share that a client may hold of a busy pool
	floodShare      = 0.5                   // share of a pool's limit from which one client's requests count as a flood
	lentShare       = 0.25                  // share of a pool's limit that may be lent beyond it; see mayBorrow
	busyShare       = 0.5                   // share of its limit from which a pool counts as busy
	outageAfter     = time.Second           // after so long without a served request nodes are down, not overloaded
	rateSpan        = time.Second           // time constant of the request rates
	memoryShedStart = 0.7                   // share of memory in live use where shedding begins; the rest is left for garbage
	memoryShedAll   = 0.9                   // share of memory in live use from which every request is refused
	minRetryAfter   = 50 * time.Millisecond // minimum retry time given to a refused client
	initialBudget   = 20.0                  // initial retry budget per class, for retries before first attempts earn any
	maxBudget       = 200.0                 // maximum retry budget per class
	maxPools        = 8192                  // number of pools from which on further slices share one
	maxClients      = 4096                  // clients counted per pool within one rateSpan
	maxNames        = 16384                 // clients counted in all pools within two of them
)

// Class describes a request class to the gate. Classes with a higher Value are admitted first and shed last; Target is
// the response time within which an answer counts as in time.
type Class struct {
	Name    string
	Value   float64
	Target  time.Duration
	Primary bool // requests of the class go to the primary only
}

// ClassesOf converts the classes of package balance, in their order. A class that needs the newest data is served by
// the primary only.
func ClassesOf(classes []balance.Class) []Class {
	out := make([]Class, len(classes))
	for i, c := range classes {
		out[i] = Class{Name: c.Name, Value: c.Value, Target: c.Target, Primary: c.Need <= balance.NeedFresh}
	}
	return out
}

// Config configures a Gate.
type Config struct {
	Classes       []Class
	MaxOpen       int           // maximum of requests in flight over all pools; positive
	MaxBytes      int           // maximum of their total size, in bytes; positive
	InitialLimit  int           // initial limit of a pool, in requests in flight; positive
	MinLimit      int           // minimum limit of a pool, from 1 to the initial limit
	FixedLimit    bool          // limits keep their initial value; the baseline in comparisons
	RetryRatio    float64       // retry budget that each first attempt earns, in further attempts; not negative
	MaxLoopDelay  time.Duration // event loop delay above which the driver counts as late; positive
	LoopWindow    time.Duration // length of the window whose minimum delay is compared with it; positive
	MaxRetryAfter time.Duration // upper bound of the retry time given to a refused client
}

// Defaults returns a Config that suits most sites, without Classes.
func Defaults() Config {
	return Config{MaxOpen: 20000, MaxBytes: 128 << 20, InitialLimit: 64, MinLimit: 8, RetryRatio: 0.2, MaxLoopDelay: 20 * time.Millisecond,
		LoopWindow: 100 * time.Millisecond, MaxRetryAfter: 5 * time.Second}
}

func (c *Config) check() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{{"Classes", len(c.Classes) > 0}, {"MaxOpen", c.MaxOpen > 0}, {"MaxBytes", c.MaxBytes > 0}, {"InitialLimit", c.InitialLimit > 0},
		{"MinLimit", c.MinLimit > 0 && c.MinLimit <= c.InitialLimit}, {"RetryRatio", c.RetryRatio >= 0}, {"MaxLoopDelay", c.MaxLoopDelay > 0}, {"LoopWindow", c.LoopWindow > 0}} {
		if !f.ok {
			return fmt.Errorf("admission: %s is missing or out of range", f.name)
		}
	}
	return nil
}

// Reason says why a request was refused, or is Admitted.
type Reason uint8

// Reasons.
const (
	Admitted         Reason = iota
	TooManyOpen             // the maximum of requests is in flight
	TooManyBytes            // the maximum of bytes would be exceeded
	PoolFull                // the pool is at its limit
	ClientShare             // the client has its share of a busy pool
	LowValue                // the pool's remaining capacity is reserved for classes of higher value
	LoopLate                // the event loop is late and the class is being shed
	MemoryShort             // memory is short and the class is being shed
	RetryBudgetSpent        // the retry budget of the class is used up
	reasons          int    = iota
)

// String returns the value of the metric label.
func (w Reason) String() string {
	return [...]string{"taken", "open", "bytes", "full", "share", "worth", "late", "memory", "retries"}[w]
}

// Decision is the decision on one arrival.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // if refused: time to wait before a retry, at most Config.MaxRetryAfter
	NoRetry    bool          // if refused: the client must not retry this request
}

// Request describes an arriving request.
type Request struct {
	Client  string // identifies the caller
	Slice   string
	Class   int // index into Config.Classes
	Bytes   int // size of the request
	Attempt int // 0 for the first attempt
}

// Result is the result of an admitted request.
type Result uint8

// Results.
const (
	Served  Result = iota
	Refused        // no node had capacity in time
	Other          // failed, cancelled, or refused for another reason: no evidence of overload
)

// Ticket represents an admitted request until it is passed to Done.
type Ticket struct {
	pool   *pool
	client string
	class  int
	bytes  int
	lent   bool // lent beyond the limit of a full pool
	at     time.Duration
}

// Gate is the admission control of one driver. It is not safe for concurrent use.
type Gate struct {
	cfg         Config
	rng         *rand.Rand
	ranks       []float64 // by class, from 0 for the lowest value to 1 for the highest
	limitShares []float64 // by class, the share of a pool's limit that it may use
	pools       map[poolKey]*pool
	names       int           // entries of the pools' recentClients
	lastForget  time.Duration // when the pools were last searched for what may be forgotten
	open        int
	bytes       int
	budget      []float64 // by class, the further attempts that may still be admitted
	loopLevel   int       // number of classes shed because the loop is late, lowest value first
	memoryLevel int       // likewise because memory is short; the number of classes plus one sheds everything
	minDelay    time.Duration
	windowStart time.Duration // start of the current loop window
	counts      [reasons]uint64
}

type poolKey struct {
	slice   string
	primary bool
}

// pool is the state that requests to a slice's primary, or to its replicas, share.
type pool struct {
	limit         float64
	inFlight      int
	clients       map[string]int     // requests in flight, by client
	heaviest      string             // a client that has, or had, the most requests in flight
	lent          int                // requests in flight beyond the limit
	recentClients [2]map[string]bool // clients with arrivals in the current and in the previous span
	spanStart     time.Duration
	latency       float64 // moving average, in ns
	lastCut       time.Duration
	lastServed    time.Duration
	admitted      rate
	refused       rate
	peak          int // maximum in flight since the limit last changed
}

// rate is an exponentially decayed count of events; with a time constant of one second it is about a rate per second.
type rate struct {
	n  float64
	at time.Duration
}

func (r *rate) add(now time.Duration, n float64) {
	r.n = r.now(now) + n
	r.at = now
}

func (r *rate) now(now time.Duration) float64 {
	return r.n * math.Exp(-float64(now-r.at)/float64(rateSpan))
}

// New returns a gate. It returns an error that names the first invalid field of the Config. The seed determines the
// random part of the advised retry times.
func New(cfg Config, seed uint64) (*Gate, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	g := &Gate{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x61646d)), pools: map[poolKey]*pool{}, budget: make([]float64, len(cfg.Classes))}
	for i := range g.budget {
		g.budget[i] = initialBudget
	}
	g.computeRanks()
	return g, nil
}

// computeRanks computes the rank of each class among all classes, used when the loop or memory sheds, and among the
// classes that use the same pools, used to reserve capacity. Classes of equal value have equal ranks.
func (g *Gate) computeRanks() {
	g.ranks, g.limitShares = make([]float64, len(g.cfg.Classes)), make([]float64, len(g.cfg.Classes))
	for i, c := range g.cfg.Classes {
		g.ranks[i] = g.rankOf(c, func(Class) bool { return true })
		g.limitShares[i] = 1 - reservedShare*(1-g.rankOf(c, func(o Class) bool { return o.Primary == c.Primary }))
	}
}

// rankOf returns the rank of a class among the selected ones, from 0 for the lowest value to 1 for the highest.
func (g *Gate) rankOf(c Class, among func(Class) bool) float64 {
	var values []float64
	for _, o := range g.cfg.Classes {
		if among(o) {
			values = append(values, o.Value)
		}
	}
	slices.Sort(values)
	values = slices.Compact(values)
	if len(values) == 1 {
		return 1
	}
	at, _ := slices.BinarySearch(values, c.Value)
	return float64(at) / float64(len(values)-1)
}

func (g *Gate) poolFor(now time.Duration, a *Request) *pool {
	key := poolKey{a.Slice, g.cfg.Classes[a.Class].Primary}
	p := g.pools[key]
	if p == nil && len(g.pools) >= maxPools {
		g.forgetUnused(now)
	}
	if p == nil && len(g.pools) >= maxPools {
		key.slice = "" // unknown slice names share a pool, so that they cannot exhaust memory
		p = g.pools[key]
	}
	if p == nil {
		p = &pool{limit: float64(g.cfg.InitialLimit), clients: map[string]int{}, latency: float64(g.cfg.Classes[a.Class].Target) / 4}
		g.pools[key] = p
	}
	return p
}

// Admit admits or refuses a request. The ticket is nil if the request is refused. An unknown class is admitted and not
// counted: it is validated, and refused, elsewhere.
func (g *Gate) Admit(now time.Duration, a Request) (*Ticket, Decision) {
	if a.Class < 0 || a.Class >= len(g.cfg.Classes) {
		return &Ticket{class: -1}, Decision{}
	}
	p := g.poolFor(now, &a)
	g.noteArrival(p, now, a.Client)
	why := g.reasonFor(p, &a)
	borrows := why == PoolFull && g.mayBorrow(p, a.Client)
	if borrows {
		why = g.chargeRetry(&a)
	}
	g.counts[why]++
	if why != Admitted {
		p.refused.add(now, 1)
		return nil, Decision{Reason: why, RetryAfter: g.retryAfter(p, now), NoRetry: why == RetryBudgetSpent}
	}
	p.admitted.add(now, 1)
	p.inFlight++
	p.peak = max(p.peak, p.inFlight)
	p.addClient(a.Client)
	if borrows {
		p.lent++
	}
	g.open++
	g.bytes += a.Bytes
	return &Ticket{pool: p, client: a.Client, class: a.Class, bytes: a.Bytes, lent: borrows, at: now}, Decision{}
}

func (g *Gate) reasonFor(p *pool, a *Request) Reason {
	switch classLimit := p.limit * g.limitShares[a.Class]; {
	case g.open >= g.cfg.MaxOpen:
		return TooManyOpen
	case g.bytes+a.Bytes > g.cfg.MaxBytes:
		return TooManyBytes
	case g.shedForLoop(a.Class):
		return LoopLate
	case g.memoryLevel > len(g.cfg.Classes) || g.shedAt(a.Class, g.memoryLevel):
		return MemoryShort
	case float64(p.inFlight) >= p.limit:
		return PoolFull
	case float64(p.inFlight) >= classLimit:
		return LowValue
	case float64(p.inFlight) >= busyShare*p.limit && g.overShare(p, a.Client):
		return ClientShare
	}
	return g.chargeRetry(a)
}

// chargeRetry charges a further attempt to the budget of its class, and credits the budget for a first attempt. This
// keeps retries from multiplying an overload.
func (g *Gate) chargeRetry(a *Request) Reason {
	switch budget := &g.budget[a.Class]; {
	case a.Attempt == 0:
		*budget = min(*budget+g.cfg.RetryRatio, maxBudget)
	case *budget < 1:
		return RetryBudgetSpent
	default:
		*budget--
	}
	return Admitted
}

// overShare reports whether a client already has its share of a pool in flight, if others use the pool too. It keeps
// one client from starving the others.
func (g *Gate) overShare(p *pool, client string) bool {
	all := max(len(p.clients), len(p.recentClients[0]), len(p.recentClients[1]))
	return all > 1 && float64(p.clients[client]) >= max(1, fairMultiple*p.limit/float64(all))
}

// mayBorrow reports whether a client may be admitted beyond the limit of a full pool: it has nothing in flight there,
// and another client floods the pool, because it came first or because the limit fell below what it already had in
// flight. Without this the others would starve until the flood's requests end. At most the share lentShare of the limit
// is lent.
func (g *Gate) mayBorrow(p *pool, client string) bool {
	return p.clients[client] == 0 && p.heaviest != client && float64(p.clients[p.heaviest]) >= floodShare*p.limit && float64(p.lent) < max(1, lentShare*p.limit)
}

func (p *pool) addClient(client string) {
	p.clients[client]++
	if p.clients[client] > p.clients[p.heaviest] {
		p.heaviest = client
	}
}

// noteArrival records that a client uses a pool, whether it is admitted or not.
func (g *Gate) noteArrival(p *pool, now time.Duration, client string) {
	if now-p.spanStart >= rateSpan || p.recentClients[0] == nil {
		g.names -= len(p.recentClients[1])
		p.recentClients[0], p.recentClients[1], p.spanStart = map[string]bool{}, p.recentClients[0], now
	}
	if p.recentClients[0][client] || len(p.recentClients[0]) >= maxClients {
		return
	}
	if g.names >= maxNames {
		g.forgetUnused(now)
	}
	if g.names < maxNames {
		p.recentClients[0][client] = true
		g.names++
	}
}

// forgetUnused forgets the clients of pools without arrivals for two spans, and those of these pools that nothing was
// served from. It searches all pools, at most once in a span.
func (g *Gate) forgetUnused(now time.Duration) {
	if now-g.lastForget < rateSpan {
		return
	}
	g.lastForget = now
	for key, p := range g.pools {
		if now-p.spanStart < 2*rateSpan {
			continue
		}
		g.names -= len(p.recentClients[0]) + len(p.recentClients[1])
		p.recentClients = [2]map[string]bool{}
		if p.inFlight == 0 && p.lastServed == 0 {
			delete(g.pools, key)
		}
	}
}

// shedForLoop reports whether a request of a class is refused because the loop is late. Of the class of highest value
// only half the requests are, and only once all other classes are shed.
func (g *Gate) shedForLoop(class int) bool {
	if g.ranks[class] == 1 {
		return g.loopLevel > len(g.cfg.Classes) && g.rng.IntN(2) == 0
	}
	return g.shedAt(class, g.loopLevel)
}

// shedAt reports whether a class is shed at a level, counted from the class of lowest value. The class of highest value
// never is.
func (g *Gate) shedAt(class, level int) bool {
	return g.ranks[class] < 1 && g.ranks[class]*float64(len(g.cfg.Classes)) < float64(level)
}

// SetMemoryUse sets the share of the process's memory limit that is in live use, from 0 to 1. Above memoryShedStart
// classes are shed, the more the closer it is to memoryShedAll; from memoryShedAll on every request is refused.
func (g *Gate) SetMemoryUse(used float64) {
	classes := len(g.cfg.Classes)
	over := (used - memoryShedStart) / (memoryShedAll - memoryShedStart)
	if g.memoryLevel = max(0, int(math.Ceil(over*float64(classes)))); over >= 1 {
		g.memoryLevel = classes + 1
	}
}

// MemoryShort reports whether requests are refused because memory is short.
func (g *Gate) MemoryShort() bool { return g.memoryLevel > 0 }

// retryAfter returns the time after which a refused client should retry. It grows with the number of refusals per
// admitted request and is randomized, so that refused clients don't retry at the same moment.
func (g *Gate) retryAfter(p *pool, now time.Duration) time.Duration {
	over := p.refused.now(now) / max(p.admitted.now(now), 1)
	wait := time.Duration((0.5 + g.rng.Float64()) * min(over, 100) * float64(max(time.Duration(p.latency), minRetryAfter)))
	return min(max(wait, minRetryAfter), g.cfg.MaxRetryAfter)
}

// Done releases an admitted request and adjusts the limit of its pool. A second call with the same ticket has no
// effect.
func (g *Gate) Done(now time.Duration, t *Ticket, end Result) {
	p := t.pool
	if p == nil {
		return
	}
	t.pool = nil
	g.open--
	g.bytes -= t.bytes
	if t.lent {
		p.lent--
	}
	if p.clients[t.client]--; p.clients[t.client] <= 0 {
		delete(p.clients, t.client)
	}
	g.adjust(now, p, t, end)
	p.inFlight--
}

// adjust changes the limit of a pool after a request. The limit grows while the pool is busy and its answers come well
// within their target; it falls with late answers, and with requests that no node had capacity for while others were
// served.
func (g *Gate) adjust(now time.Duration, p *pool, t *Ticket, end Result) {
	took, target := now-t.at, g.cfg.Classes[t.class].Target
	switch {
	case end == Served:
		p.lastServed = now
		p.latency += 0.05 * (float64(took) - p.latency)
		if took > target {
			g.lowerLimit(now, p, target, lateFactor)
		} else if float64(took) <= growBelow*float64(target) && float64(p.peak) >= busyShare*p.limit && !g.cfg.FixedLimit {
			more := max(1/p.limit, minGrowth)
			if p.lastCut == 0 {
				more = 1 // slow start: until the first cut the limit grows by one per answer
			}
			p.limit = min(p.limit+more, float64(g.cfg.MaxOpen))
			p.peak = p.inFlight
		}
	case end == Refused && p.lastServed > 0 && now-p.lastServed < outageAfter:
		g.lowerLimit(now, p, target, refusedFactor)
	}
}

// lowerLimit lowers a limit, at most once per typical latency, since the effect of a cut takes that long to show. A
// late answer does not count while little of the limit is in use: the limit is not its cause.
func (g *Gate) lowerLimit(now time.Duration, p *pool, target time.Duration, factor float64) {
	interval := min(p.latency, float64(target)/2) // long latencies must not delay the cuts that would shorten them
	if g.cfg.FixedLimit || float64(now-p.lastCut) < interval || float64(p.inFlight) < busyShare*p.limit {
		return
	}
	p.limit = max(float64(g.cfg.MinLimit), p.limit*factor)
	p.lastCut, p.peak = now, p.inFlight
}

// ObserveLoopDelay records how long an event waited for the event loop. After each loop window one more class is shed if
// the minimum delay within the window exceeds MaxLoopDelay, else one less. As in CoDel, the minimum distinguishes a
// standing queue from a burst.
func (g *Gate) ObserveLoopDelay(now, waited time.Duration) {
	if g.windowStart == 0 {
		g.windowStart, g.minDelay = now, waited
	}
	g.minDelay = min(g.minDelay, waited)
	if now-g.windowStart < g.cfg.LoopWindow {
		return
	}
	if g.minDelay > g.cfg.MaxLoopDelay {
		g.loopLevel = min(g.loopLevel+1, len(g.cfg.Classes)+1)
	} else {
		g.loopLevel = max(g.loopLevel-1, 0)
	}
	g.windowStart, g.minDelay = now, waited
}

// Stats is a snapshot of a gate.
type Stats struct {
	InFlight    int               // requests in flight
	Bytes       int               // their total size
	LoopLevel   int               // number of classes shed because the loop is late
	MemoryLevel int               // likewise because memory is short; the number of classes plus one sheds everything
	Counts      map[string]uint64 // arrivals so far, by the text of their Reason
	Pools       []PoolStats
	Refused     uint64 // refused arrivals so far
}

// PoolStats is a snapshot of one pool.
type PoolStats struct {
	Slice    string
	Primary  bool
	Limit    float64 // of requests in flight
	InFlight int     // requests in flight
	Clients  int     // clients with requests in flight
}

// Stats returns a snapshot, with the pools sorted by slice, replicas first.
func (g *Gate) Stats() Stats {
	st := Stats{InFlight: g.open, Bytes: g.bytes, LoopLevel: g.loopLevel, MemoryLevel: g.memoryLevel, Counts: map[string]uint64{}}
	for w, n := range g.counts {
		st.Counts[Reason(w).String()] = n
		if Reason(w) != Admitted {
			st.Refused += n
		}
	}
	for key, p := range g.pools {
		st.Pools = append(st.Pools, PoolStats{key.slice, key.primary, p.limit, p.inFlight, len(p.clients)})
	}
	slices.SortFunc(st.Pools, func(a, b PoolStats) int {
		return cmp.Or(cmp.Compare(a.Slice, b.Slice), cmp.Compare(fmt.Sprint(a.Primary), fmt.Sprint(b.Primary)))
	})
	return st
}
