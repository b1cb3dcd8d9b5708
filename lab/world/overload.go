package world

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"umberladder/admission"
)

// Arm is one way to meet a load.
type Arm struct {
	Name string
	Gate func(*Config) *admission.Config // nil for none
}

// Arms are no gate, one that lets a fixed number in, and the one that drivers have.
func Arms() []Arm {
	return []Arm{{"no gate", nil}, {"fixed", func(c *Config) *admission.Config {
		g := c.Admission()
		g.FixedLimit = true
		return g
	}}, {"gate", (*Config).Admission}}
}

// Load is what came of one load under one arm.
type Load struct {
	Arm     string
	Times   float64
	Before  float64 // worth a second before the load, in it, and in the second after it
	During  float64
	After   float64
	settled float64                  // part of what was asked for that was earned from two seconds after its end
	P99     map[string]time.Duration // of what was served, by class
	Result  *Result
}

// Phases of a load, from the beginning; clients begin after a second or two.
const (
	loadFrom = 4 * time.Second
	loadTo   = 8 * time.Second
	loadEnd  = 17 * time.Second
)

// overloaded is the users' classes before one slice, at nine tenths of what it can do, with clients that try three
// times at once and a loop that takes 100 us for each event.
func overloaded(seed uint64, arm Arm, b Burst) Config {
	cfg := Newsroom(2, 1, 6, 400, loadEnd)
	cfg.Seed, cfg.EventCost, cfg.Tries, cfg.Burst = seed, 100*time.Microsecond, 3, b
	if arm.Gate != nil {
		cfg.Gate = arm.Gate(&cfg)
	}
	return cfg
}

// Under plays a load of so many times the usual one.
func Under(seed uint64, arm Arm, times float64) (*Load, error) {
	return play(overloaded(seed, arm, Burst{loadFrom, loadTo, times, 0}), arm, times)
}

// Outage plays a short outage, in which work takes six times as long, with clients that try again at once as long as
// they care: where every refusal brings a further request, a driver can stay overloaded after it.
func Outage(seed uint64, arm Arm, budget float64) (*Load, error) {
	cfg := overloaded(seed, arm, Burst{loadFrom, loadFrom + 2*time.Second, 0, 6})
	cfg.Tries, cfg.Pause, cfg.Budget, cfg.EventCost = 100, 2*time.Millisecond, budget, 300*time.Microsecond
	cfg.Rate *= 1.1
	return play(cfg, arm, 1)
}

func play(cfg Config, arm Arm, times float64) (*Load, error) {
	r, err := Run(cfg)
	if err != nil {
		return nil, err
	}
	l := &Load{Arm: arm.Name, Times: times, Result: r, P99: map[string]time.Duration{}}
	l.Before, l.During = mean(r.Worth, 2500*time.Millisecond, loadFrom), mean(r.Worth, cfg.Burst.From+500*time.Millisecond, cfg.Burst.To)
	l.After = mean(r.Worth, loadEnd-2*time.Second, loadEnd)
	l.settled = mean(r.Worth, cfg.Burst.To+2*time.Second, loadEnd-time.Second) / mean(r.Asked, cfg.Burst.To+2*time.Second, loadEnd-time.Second)
	for name, h := range r.Took {
		l.P99[name] = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	}
	return l, nil
}

// mean is the worth a second between two times.
func mean(sums []float64, from, to time.Duration) (sum float64) {
	for i := int(from / Window); i < int(to/Window) && i < len(sums); i++ {
		sum += sums[i]
	}
	return sum / (to - from).Seconds()
}

// String is a line about it.
func (l *Load) String() string {
	p99 := ""
	for _, name := range slices.Sorted(maps.Keys(l.P99)) {
		p99 += fmt.Sprintf(" %s %v", name, l.P99[name].Round(time.Millisecond))
	}
	return fmt.Sprintf("%4.1f times, %-7s worth a second %4.0f, under load %4.0f, at the end %4.0f (%.2f of what is asked for); served %d, refused %d, at the door %d, failed %d, overdue in the loop %d; p99%s",
		l.Times, l.Arm, l.Before, l.During, l.After, l.settled, l.Result.Served, l.Result.Refused, l.Result.Turned, l.Result.Failed, l.Result.Overdue, p99)
}

// Late tells whether the loop came too late for many answers, so that the handlers of calls had to give them.
func (l *Load) Late() bool { return l.Result.Overdue > 20 }

// Settled tells whether, from two seconds after a load's end, nine tenths of what is asked for is earned.
func (l *Load) Settled() bool { return l.settled >= 0.9 }
