package schedule

import "time"

// Timers holds times with what is due then. What no longer holds is found out when it comes due.
type Timers struct {
	queue Queue[func(now time.Duration)]
}

// Set has due called by the first Run at or after a time.
func (t *Timers) Set(at time.Duration, due func(now time.Duration)) { t.queue.Put(at, due) }

// Run calls what is due by now.
func (t *Timers) Run(now time.Duration) {
	for at, ok := t.queue.Next(); ok && at <= now; at, ok = t.queue.Next() {
		_, due := t.queue.Take()
		due(now)
	}
}

// Next is the first time that something is due, false if nothing is.
func (t *Timers) Next() (time.Duration, bool) { return t.queue.Next() }
