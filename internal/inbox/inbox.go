// Package inbox hands what many goroutines learn to the one that decides.
package inbox

import (
	"sync"
	"time"
)

// Inbox collects events for a loop. Putting never blocks: what bounds it is that each connection has one
// exchange and each client's request one event under way. It is safe for concurrent use.
type Inbox[E any] struct {
	mu     sync.Mutex
	events []E
	since  time.Time     // when the first of them came
	ready  chan struct{} // holds one signal while there is something
}

// New makes an empty inbox.
func New[E any]() *Inbox[E] { return &Inbox[E]{ready: make(chan struct{}, 1)} }

// Ready gives a signal when there is something to drain.
func (in *Inbox[E]) Ready() <-chan struct{} { return in.ready }

// Put adds an event.
func (in *Inbox[E]) Put(ev E) {
	in.mu.Lock()
	if len(in.events) == 0 {
		in.since = time.Now()
	}
	in.events = append(in.events, ev)
	in.mu.Unlock()
	select {
	case in.ready <- struct{}{}:
	default:
	}
}

// Drain takes all that has come in, leaving the slice given for what comes next, and tells how long the first of it
// has waited.
func (in *Inbox[E]) Drain(empty []E) ([]E, time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	events, waited := in.events, time.Duration(0)
	if len(events) > 0 {
		waited = time.Since(in.since)
	}
	in.events = empty[:0]
	return events, waited
}
