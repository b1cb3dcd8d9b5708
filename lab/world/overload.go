package world

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"umberladder/admission"
)

// Arm is one admission policy to compare under overload.
type Arm struct {
	Name string
	Gate func(*Config) *admission.Config // nil for no admission control
}

// Arms returns the compared policies: no gate, a fixed limit on requests in flight, and the gate of the drivers.
func Arms() []Arm {
	return []Arm{{"no gate", nil}, {"fixed", func(c *Config) *admission.Config {
		g := c.Admission()
		g.FixedLimit = true
		return g
	}}, {"gate", (*Config).Admission}}
}

// OverloadResult is the result of an overload run with one arm.
type OverloadResult struct {
	Arm       string
	Factor    float64                  // factor on the arrival rate
	Before    float64                  // value per second before the load
	During    float64                  // value per second during the load
	After     float64                  // value per second in the last two seconds of the run
	recovered float64                  // share of the offered value that was earned after the load
	P99       map[string]time.Duration // latency of served requests, by class
	Result    *Result
}

// Phases of an overload run, as times since its start. Clients start within the first two seconds.
const (
	loadFrom  = 4 * time.Second
	loadTo    = 8 * time.Second
	runLength = 17 * time.Second
)

// overloadConfig returns one slice of the reference site at 400 requests per second, five sixths of the capacity of its
// nodes, with an event loop that needs 100 us per event. Clients try three times and wait only as long as a refusal
// advises.
func overloadConfig(seed uint64, arm Arm, b Burst) Config {
	cfg := NewsroomConfig(2, 1, 6, 400, runLength)
	cfg.Seed, cfg.EventCost, cfg.MaxTries, cfg.Burst = seed, 100*time.Microsecond, 3, b
	if arm.Gate != nil {
		cfg.Gate = arm.Gate(&cfg)
	}
	return cfg
}

// RunOverload simulates four seconds of load at a multiple of the usual rate.
func RunOverload(seed uint64, arm Arm, times float64) (*OverloadResult, error) {
	return runLoad(overloadConfig(seed, arm, Burst{loadFrom, loadTo, times, 0}), arm, times)
}

// RunOutage simulates two seconds in which execution takes six times as long, with clients that retry after 2 ms, at
// most 99 times and until the deadline. As each refusal causes a further request, a driver can stay overloaded
// afterwards. budget is the number of retries that each request allows its client; 0 is no limit.
func RunOutage(seed uint64, arm Arm, budget float64) (*OverloadResult, error) {
	cfg := overloadConfig(seed, arm, Burst{loadFrom, loadFrom + 2*time.Second, 0, 6})
	cfg.MaxTries, cfg.RetryPause, cfg.RetryBudget, cfg.EventCost = 100, 2*time.Millisecond, budget, 300*time.Microsecond
	cfg.Rate *= 1.1
	return runLoad(cfg, arm, 1)
}

func runLoad(cfg Config, arm Arm, times float64) (*OverloadResult, error) {
	r, err := Run(cfg)
	if err != nil {
		return nil, err
	}
	l := &OverloadResult{Arm: arm.Name, Factor: times, Result: r, P99: map[string]time.Duration{}}
	l.Before, l.During = valueRate(r.Value, 2500*time.Millisecond, loadFrom), valueRate(r.Value, cfg.Burst.From+500*time.Millisecond, cfg.Burst.To)
	l.After = valueRate(r.Value, runLength-2*time.Second, runLength)
	l.recovered = valueRate(r.Value, cfg.Burst.To+2*time.Second, runLength-time.Second) / valueRate(r.OfferedValue, cfg.Burst.To+2*time.Second, runLength-time.Second)
	for name, h := range r.Latencies {
		l.P99[name] = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	}
	return l, nil
}

// valueRate returns the value per second between two times since the start of the run.
func valueRate(sums []float64, from, to time.Duration) (sum float64) {
	for i := int(from / Window); i < int(to/Window) && i < len(sums); i++ {
		sum += sums[i]
	}
	return sum / (to - from).Seconds()
}

// String returns the result as one line of the report.
func (l *OverloadResult) String() string {
	p99 := ""
	for _, name := range slices.Sorted(maps.Keys(l.P99)) {
		p99 += fmt.Sprintf(" %s %v", name, l.P99[name].Round(time.Millisecond))
	}
	return fmt.Sprintf("%4.1f times, %-7s worth a second %4.0f, under load %4.0f, at the end %4.0f (%.2f of what is asked for); served %d, refused %d, at the door %d, failed %d, overdue in the loop %d; p99%s",
		l.Factor, l.Arm, l.Before, l.During, l.After, l.recovered, l.Result.Served, l.Result.Refused, l.Result.NotAdmitted, l.Result.Failed, l.Result.Overdue, p99)
}

// LoopLate reports whether the event loop missed the deadline of more than 20 requests, which call handlers answered.
func (l *OverloadResult) LoopLate() bool { return l.Result.Overdue > 20 }

// Recovered reports whether at least nine tenths of the offered value are earned from two seconds after the load.
func (l *OverloadResult) Recovered() bool { return l.recovered >= 0.9 }
