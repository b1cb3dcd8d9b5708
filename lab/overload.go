package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/lab/world"
	"umberladder/standin"
)

// slowNode is a stand-in with so little capacity that a few hundred requests per second are ten times as much.
var slowNode = standin.Config{Cores: 1, Read: 25 * time.Millisecond, Write: 12 * time.Millisecond, ShipDelay: 5 * time.Millisecond,
	ReplayTime: time.Millisecond, MaxConns: 200, ColdFrom: 0.2, RampTime: 2 * time.Second}

// usualRate, in requests per second, is about nine tenths of what a slice of four slow nodes can serve of the newsroom's
// classes.
const usualRate = 110

// Overload plays loads of up to ten times what the nodes can serve. In simulated time it compares the admission
// gate with none and with a fixed one, and an outage whose clients retry at once, with and without retry budgets.
// On sockets, an open-loop load of ten times the usual rate passes through real drivers, and the five rules are
// judged by the traffic.
func Overload(seed uint64) (*Report, error) {
	sim, lines, err := overloadSimulated(seed)
	if err != nil {
		return nil, err
	}
	r, err := overloadLive(seed)
	if err != nil {
		return nil, err
	}
	r.Rules = append(r.Rules, sim.rules()...)
	r.Notes = append(lines, r.Notes...)
	if !sim.harmShown {
		r.Missing = append(r.Missing, "without gate and budgets the outage made no loop late and left no overload")
	}
	return r, nil
}

// simulated is the outcome of the simulated part.
type simulated struct {
	goodput, loadEnds, simulatedRules Rule
	harmShown                         bool // without gate and budgets an outage makes the loop late or leaves an overload
}

func (s *simulated) rules() []*Rule {
	s.goodput.Name, s.loadEnds.Name, s.simulatedRules.Name = "goodput holds", "load ends", "simulated rules"
	return []*Rule{&s.goodput, &s.loadEnds, &s.simulatedRules}
}

func (s *simulated) check(l *world.OverloadResult) {
	s.loadEnds.Chances++
	if l.LoopLate() {
		s.loadEnds.Break("simulated, the loop was late %d times: %v", l.Result.Overdue, l)
	}
	if !l.Recovered() {
		s.loadEnds.Break("simulated, two seconds after its end: %v", l)
	}
	s.simulatedRules.Chances += l.Result.Requests
	for _, b := range l.Result.Broken {
		s.simulatedRules.Break("simulated, %.1f times the load: %s", l.Factor, b)
	}
}

func overloadSimulated(seed uint64) (*simulated, []string, error) {
	s, arms := &simulated{}, world.Arms()
	none, gate := arms[0], arms[len(arms)-1]
	best := 0.0
	var lines []string
	var gated []*world.OverloadResult
	play := func(arm world.Arm, times float64) error {
		l, err := world.RunOverload(seed, arm, times)
		if err != nil {
			return err
		}
		best = max(best, l.During)
		lines = append(lines, "simulated: "+l.String())
		if arm.Name == gate.Name {
			gated = append(gated, l)
			s.check(l)
		}
		return nil
	}
	for _, times := range []float64{0.5, 1, 2, 5, 10} {
		if err := play(gate, times); err != nil {
			return nil, nil, err
		}
	}
	for _, arm := range arms[:len(arms)-1] {
		if err := play(arm, 10); err != nil {
			return nil, nil, err
		}
	}
	for _, l := range gated {
		if l.Factor < 2 {
			continue
		}
		if s.goodput.Chances++; l.During < 0.9*best {
			s.goodput.Break("simulated, goodput is %.0f a second, the best is %.0f: %v", l.During, best, l)
		}
	}
	ungated, err := world.RunOutage(seed, none, 0)
	if err != nil {
		return nil, nil, err
	}
	budgeted, err := world.RunOutage(seed, gate, 0.1)
	if err != nil {
		return nil, nil, err
	}
	s.check(budgeted)
	s.harmShown = ungated.LoopLate() || !ungated.Recovered()
	lines = append(lines, fmt.Sprintf("simulated outage, no budgets: %v", ungated), fmt.Sprintf("simulated outage, budgets: %v", budgeted))
	return s, lines, nil
}

// openLoop sends requests at a given rate, whether or not earlier ones were answered. Each request uses a session
// that has none in flight.
type openLoop struct {
	fleet   *Fleet
	callLog *CallLog
	mu      sync.Mutex
	idle    []*session
	created int
	calls   *sync.WaitGroup
	late    atomic.Int64 // longest delay of the generator itself, in nanoseconds
}

func (c *openLoop) acquire() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		s := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return s
	}
	c.created++
	s := newSession(c.fleet, c.callLog, c.created, 0)
	s.clientName = fmt.Sprintf("app%d", c.created%20)
	return s
}

func (c *openLoop) release(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, s)
}

// send runs for the given time, with exponentially distributed intervals.
func (c *openLoop) send(ctx context.Context, rng *rand.Rand, rate float64, duration time.Duration) {
	end := time.Now().Add(duration)
	for due := time.Now(); due.Before(end); due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		time.Sleep(time.Until(due))
		if late := int64(time.Since(due)); late > c.late.Load() {
			c.late.Store(late)
		}
		s := c.acquire()
		c.calls.Go(func() {
			s.callRandom(ctx)
			c.release(s)
		})
	}
}

func overloadLive(seed uint64) (*Report, error) {
	d, err := startDay("overload", Spec{Slices: 1, Members: 4, Drivers: 2, Node: slowNode, Seed: seed}, 0x6f7665)
	if err != nil {
		return nil, err
	}
	c := &openLoop{fleet: d.fleet, callLog: d.callLog, calls: &d.clients}
	begin := time.Now()
	var phases []time.Duration
	for _, phase := range []struct {
		times    float64
		duration time.Duration
	}{{1, 2500 * time.Millisecond}, {10, 3500 * time.Millisecond}, {1, 3500 * time.Millisecond}} {
		phases = append(phases, time.Since(begin))
		c.send(d.ctx, d.rng, usualRate*phase.times, phase.duration)
	}
	phases = append(phases, time.Since(begin))
	d.countFault("load of ten times")
	c.calls.Wait()
	r, calls := d.finish(), d.callLog.Calls()
	r.Missing = nil // there are neither drains nor cold starts here
	usual, overloaded, after := valueRate(calls, begin, phases[0]+time.Second, phases[1]), valueRate(calls, begin, phases[1]+500*time.Millisecond, phases[2]), valueRate(calls, begin, phases[2]+2*time.Second, phases[3])
	r.Notes = append(r.Notes, fmt.Sprintf("live: worth a second at the usual load %.0f, at ten times %.0f, from two seconds after it %.0f; the crowd itself was late by %v at most",
		usual, overloaded, after, time.Duration(c.late.Load()).Round(time.Millisecond)))
	rule := &Rule{Name: liveGoodput, Chances: 1}
	if overloaded < 0.7*usual {
		rule.Break("%.0f a second at ten times the load, %.0f at the usual one", overloaded, usual)
	}
	r.Rules = append(r.Rules, rule)
	if r.Counts[Refused] < 500 || r.Counts[Served] < 500 {
		r.Missing = append(r.Missing, fmt.Sprintf("%d refused and %d served", r.Counts[Refused], r.Counts[Served]))
	}
	return r, nil
}

// liveGoodput is the name of the rule that goodput through real drivers holds under ten times the load.
const liveGoodput = "live goodput"

// valueRate returns the value per second of the requests that were sent between two times and served within their
// targets.
func valueRate(calls []Call, begin time.Time, from, to time.Duration) (sum float64) {
	for i := range calls {
		c := &calls[i]
		if at := c.Sent.Sub(begin); at >= from && at < to && c.Verdict == Served && c.Answered.Sub(c.Sent) <= c.Class.Target {
			sum += c.Class.Value
		}
	}
	return sum / (to - from).Seconds()
}
