package schedule

import "time"

// Timer is a function that is set to be called at a time.
type Timer struct {
	due func(now time.Duration) // nil once it was called or the timer was stopped
}

// Timers holds the timers that are set. The zero Timers is empty. It is not safe for concurrent use.
type Timers struct {
	queue         Queue[*Timer]
	stoppedTimers int // stopped ones that are still in queue
}

// minStoppedTimers is the number of stopped timers below which they stay in the queue until their time.
const minStoppedTimers = 64

// Set schedules due for the first Run at or after a time.
func (t *Timers) Set(at time.Duration, due func(now time.Duration)) *Timer {
	timer := &Timer{due: due}
	t.queue.Put(at, timer)
	return timer
}

// Stop cancels a timer, so that what its function refers to is no longer held. It has no effect on one that was called or
// stopped before. Once stopped timers are more than half of all, they are removed: the cost of a Stop is constant on
// average, and timers far in the future do not accumulate.
func (t *Timers) Stop(timer *Timer) {
	if timer.due == nil {
		return
	}
	timer.due = nil
	t.stoppedTimers++
	if t.stoppedTimers >= minStoppedTimers && t.stoppedTimers > t.queue.Len()/2 {
		t.queue.DeleteFunc(func(timer *Timer) bool { return timer.due == nil })
		t.stoppedTimers = 0
	}
}

// Run calls the functions whose time is now or earlier, in order, including those that are set meanwhile.
func (t *Timers) Run(now time.Duration) {
	for at, ok := t.Next(); ok && at <= now; at, ok = t.Next() {
		_, timer := t.queue.Take()
		due := timer.due
		timer.due = nil
		due(now)
	}
}

// Next returns the time of the next timer, or false if there is none.
func (t *Timers) Next() (time.Duration, bool) {
	for t.queue.Len() > 0 && t.queue.first().due == nil {
		t.queue.Take()
		t.stoppedTimers--
	}
	return t.queue.Next()
}

// Group is a set of timers that are stopped together. The zero Group is empty.
type Group struct{ timers []*Timer }

// Set schedules due as Timers.Set does and adds the timer to the group.
func (g *Group) Set(t *Timers, at time.Duration, due func(now time.Duration)) {
	g.timers = append(g.timers, t.Set(at, due))
}

// Stop stops the timers of the group and empties it.
func (g *Group) Stop(t *Timers) {
	for _, timer := range g.timers {
		t.Stop(timer)
	}
	g.timers = nil
}
