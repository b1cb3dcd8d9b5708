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

// slowNode is a stand-in that a few hundred requests a second overload ten times.
var slowNode = standin.Config{Cores: 1, Read: 25 * time.Millisecond, Write: 12 * time.Millisecond, Ship: 5 * time.Millisecond,
	Apply: time.Millisecond, MaxConns: 200, ColdFrom: 0.2, Ramp: 2 * time.Second}

// usualRate is about nine tenths of what a slice of four slow nodes can do of the users' mix, a second.
const usualRate = 110

// Overload plays loads of up to ten times what the nodes can do. In simulated time it compares the gate with none and
// with a fixed one, and an outage with clients that try again at once, with and without budgets. Live, clients that do
// not wait for answers send ten times the usual load through real drivers, and the five rules are judged by the traffic.
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
	if !sim.shown {
		r.Missing = append(r.Missing, "without gate and budgets the outage made no loop late and left no overload")
	}
	return r, nil
}

// simulated is what the simulated part came to.
type simulated struct {
	goodput, settled, kept Rule
	shown                  bool // that without gate and budget an outage does harm
}

func (s *simulated) rules() []*Rule {
	s.goodput.Name, s.settled.Name, s.kept.Name = "goodput holds", "load ends", "simulated rules"
	return []*Rule{&s.goodput, &s.settled, &s.kept}
}

func (s *simulated) take(l *world.Load) {
	s.settled.Chances++
	if l.Late() {
		s.settled.Break("simulated, the loop came too late %d times: %v", l.Result.Overdue, l)
	}
	if !l.Settled() {
		s.settled.Break("simulated, two seconds after its end: %v", l)
	}
	s.kept.Chances += l.Result.Requests
	for _, b := range l.Result.Broken {
		s.kept.Break("simulated, %.1f times the load: %s", l.Times, b)
	}
}

func overloadSimulated(seed uint64) (*simulated, []string, error) {
	s, arms := &simulated{}, world.Arms()
	none, gate := arms[0], arms[len(arms)-1]
	best := 0.0
	var lines []string
	var under []*world.Load
	play := func(arm world.Arm, times float64) error {
		l, err := world.Under(seed, arm, times)
		if err != nil {
			return err
		}
		best = max(best, l.During)
		lines = append(lines, "simulated: "+l.String())
		if arm.Name == gate.Name {
			under = append(under, l)
			s.take(l)
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
	for _, l := range under {
		if l.Times < 2 {
			continue
		}
		if s.goodput.Chances++; l.During < 0.9*best {
			s.goodput.Break("simulated, %.0f a second are earned, %.0f at best: %v", l.During, best, l)
		}
	}
	bare, err := world.Outage(seed, none, 0)
	if err != nil {
		return nil, nil, err
	}
	kept, err := world.Outage(seed, gate, 0.1)
	if err != nil {
		return nil, nil, err
	}
	s.take(kept)
	s.shown = bare.Late() || !bare.Settled()
	lines = append(lines, fmt.Sprintf("simulated outage, no budgets: %v", bare), fmt.Sprintf("simulated outage, budgets: %v", kept))
	return s, lines, nil
}

// crowd sends requests at a rate, whether or not earlier ones were answered. Each goes out under a session that has
// nothing under way.
type crowd struct {
	fleet *Fleet
	book  *Book
	mu    sync.Mutex
	idle  []*session
	made  int
	calls *sync.WaitGroup
	late  atomic.Int64 // by how much the crowd itself was late at most, ns
}

func (c *crowd) session() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		s := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return s
	}
	c.made++
	s := newSession(c.fleet, c.book, c.made, 0)
	s.client = fmt.Sprintf("app%d", c.made%20)
	return s
}

func (c *crowd) back(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, s)
}

// send goes on for a time, times spread as those of many clients are.
func (c *crowd) send(ctx context.Context, rng *rand.Rand, rate float64, lasts time.Duration) {
	end := time.Now().Add(lasts)
	for due := time.Now(); due.Before(end); due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		time.Sleep(time.Until(due))
		if late := int64(time.Since(due)); late > c.late.Load() {
			c.late.Store(late)
		}
		s := c.session()
		c.calls.Go(func() {
			s.once(ctx)
			c.back(s)
		})
	}
}

func overloadLive(seed uint64) (*Report, error) {
	d, err := startDay("overload", Spec{Slices: 1, Members: 4, Drivers: 2, Node: slowNode, Seed: seed}, 0x6f7665)
	if err != nil {
		return nil, err
	}
	c := &crowd{fleet: d.fleet, book: d.book, calls: &d.clients}
	begin := time.Now()
	var marks []time.Duration
	for _, phase := range []struct {
		times float64
		lasts time.Duration
	}{{1, 2500 * time.Millisecond}, {10, 3500 * time.Millisecond}, {1, 3500 * time.Millisecond}} {
		marks = append(marks, time.Since(begin))
		c.send(d.ctx, d.rng, usualRate*phase.times, phase.lasts)
	}
	marks = append(marks, time.Since(begin))
	d.struck("load of ten times")
	c.calls.Wait()
	r, calls := d.finish(), d.book.Calls()
	r.Missing = nil // there are neither drains nor cold starts here
	usual, over, after := earned(calls, begin, marks[0]+time.Second, marks[1]), earned(calls, begin, marks[1]+500*time.Millisecond, marks[2]), earned(calls, begin, marks[2]+2*time.Second, marks[3])
	r.Notes = append(r.Notes, fmt.Sprintf("live: worth a second at the usual load %.0f, at ten times %.0f, from two seconds after it %.0f; the crowd itself was late by %v at most",
		usual, over, after, time.Duration(c.late.Load()).Round(time.Millisecond)))
	held := &Rule{Name: liveGoodput, Chances: 1}
	if over < 0.7*usual {
		held.Break("%.0f a second at ten times the load, %.0f at the usual one", over, usual)
	}
	r.Rules = append(r.Rules, held)
	if r.Counts[Refused] < 500 || r.Counts[Served] < 500 {
		r.Missing = append(r.Missing, fmt.Sprintf("%d refused and %d served", r.Counts[Refused], r.Counts[Served]))
	}
	return r, nil
}

// liveGoodput is the rule that goodput before real drivers holds under ten times the load.
const liveGoodput = "live goodput"

// earned is the worth a second of what was asked for between two times and served within its target.
func earned(calls []Call, begin time.Time, from, to time.Duration) (sum float64) {
	for i := range calls {
		c := &calls[i]
		if at := c.Sent.Sub(begin); at >= from && at < to && c.Verdict == Served && c.Answered.Sub(c.Sent) <= c.Class.Target {
			sum += c.Class.Worth
		}
	}
	return sum / (to - from).Seconds()
}
