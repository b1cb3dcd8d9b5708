package world

import (
	"time"

	"umberladder/admission"
	"umberladder/balance"
	"umberladder/driver"
)

const ms = time.Millisecond

// NewsroomConfig returns the configuration of the reference site: the users' three request classes and slices of four-core
// nodes. The rate is in requests per second over all clients.
func NewsroomConfig(drivers, slices, members int, rate float64, length time.Duration) Config {
	return Config{Seed: 1, Drivers: drivers, Slices: slices, Members: members, Rate: rate, Length: length, Cores: 4, Work: 50 * ms, WorkSigma: 0.7,
		LinkDelay: 500 * time.Microsecond, ReplicationDelay: 6 * ms, ReplayTime: 3 * ms, Shares: []float64{0.46, 0.40, 0.14}, ElectionTime: 2 * time.Second, Downtime: 5 * time.Second, KeysPerSlice: 20, Sessions: 50,
		Engine: driver.Config{Zones: []string{"a"}, MaxOpen: 20000, PoolSize: 64, IdleClose: 30 * time.Second, Linger: 10 * time.Second,
			PollTimeout: 250 * ms, ClockAge: 50 * ms, StartWithin: time.Second, AnswerMargin: 20 * ms, SessionBytes: 1 << 20,
			Router: balance.Config{Routers: drivers, MinBatchInterval: ms, Positions: true, DrainGrace: 500 * ms, AnswerSlack: 20 * ms, ColdFrom: 0.2,
				RampTime: 10 * time.Second, ColdOverloadMultiple: 3, ColdOverloadWindow: time.Second, Cancel: true, Probing: true, AttemptLimit: 10, RetryAfter: true,
				MaxRetryAfter: time.Second, DialTimeout: 250 * ms, Classes: []balance.Class{
					{Name: "article-read", Need: balance.NeedBounded, Bound: 200 * ms, Target: 400 * ms, Deadline: time.Second, Value: 2},
					{Name: "own-read", Need: balance.NeedSession, Target: 250 * ms, Deadline: time.Second, Value: 1},
					{Name: "write", Effect: balance.Unsafe, Need: balance.NeedWrite, Target: 500 * ms, Deadline: 5 * time.Second, Value: 6, LateValue: 0.5}}}}}
}

// Admission returns the default admission control for the configured classes.
func (c *Config) Admission() *admission.Config {
	cfg := admission.Defaults()
	cfg.Classes = admission.ClassesOf(c.Engine.Router.Classes)
	return &cfg
}
