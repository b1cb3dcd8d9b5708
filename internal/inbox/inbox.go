// Package inbox passes events from many goroutines to one event loop.
package inbox

import (
	"sync"
	"time"
)

// Inbox collects events for an event loop. Put never blocks; the number of events is bounded by one per connection's
// exchange and one per client request. It is safe for concurrent use.
type Inbox[E any] struct {
	mu     sync.Mutex
	events []E
	oldest time.Time     // arrival of the oldest event
	ready  chan struct{} // holds one signal while there are events
}

// New returns an empty inbox.
func New[E any]() *Inbox[E] { return &Inbox[E]{ready: make(chan struct{}, 1)} }

// Ready returns a channel that receives a signal when there are events to drain.
func (in *Inbox[E]) Ready() <-chan struct{} { return in.ready }

// Put adds an event. It does not block.
func (in *Inbox[E]) Put(ev E) {
	in.mu.Lock()
	if len(in.events) == 0 {
		in.oldest = time.Now()
	}
	in.events = append(in.events, ev)
	in.mu.Unlock()
	select {
	case in.ready <- struct{}{}:
	default:
	}
}

// Drain removes and returns all events, with the time since the oldest was put. It stores later events in empty, whose
// contents it overwrites. It does not block.
func (in *Inbox[E]) Drain(empty []E) ([]E, time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	events, waited := in.events, time.Duration(0)
	if len(events) > 0 {
		waited = time.Since(in.oldest)
	}
	in.events = empty[:0]
	return events, waited
}
