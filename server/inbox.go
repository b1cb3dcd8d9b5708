package server

import (
	"sync"

	"umberladder/driver"
)

// inbox collects events for the loop. Putting never blocks: what bounds it is that each connection has one
// exchange and each client's request one event under way.
type inbox struct {
	mu     sync.Mutex
	events []driver.Event
	ready  chan struct{} // holds one signal while there is something
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

func (in *inbox) put(ev driver.Event) {
	in.mu.Lock()
	in.events = append(in.events, ev)
	in.mu.Unlock()
	select {
	case in.ready <- struct{}{}:
	default:
	}
}

// drain takes all that has come in, leaving the slice given for what comes next.
func (in *inbox) drain(empty []driver.Event) []driver.Event {
	in.mu.Lock()
	defer in.mu.Unlock()
	events := in.events
	in.events = empty[:0]
	return events
}
