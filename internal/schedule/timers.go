package schedule

import "time"

// Timers holds functions to be called at set times. A timer can't be cancelled: its function has to check whether the
// timer still applies. The zero Timers is empty. It is not safe for concurrent use.
type Timers struct {
	queue Queue[func(now time.Duration)]
}

// Set schedules due for the first Run at or after a time.
func (t *Timers) Set(at time.Duration, due func(now time.Duration)) { t.queue.Put(at, due) }

// Run calls the functions whose time is now or earlier, in order, including those that are set meanwhile.
func (t *Timers) Run(now time.Duration) {
	for at, ok := t.queue.Next(); ok && at <= now; at, ok = t.queue.Next() {
		_, due := t.queue.Take()
		due(now)
	}
}

// Next returns the time of the next timer, or false if there is none.
func (t *Timers) Next() (time.Duration, bool) { return t.queue.Next() }
