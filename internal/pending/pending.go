// Package pending maps open requests to the waiters for their answers. Request handlers add entries, and the event loop
// removes them when it answers.
package pending

import (
	"sync"

	"umberladder/balance"
)

// Table assigns request IDs and holds the waiter of each. The zero Table is empty. It is safe for concurrent use.
type Table[T any] struct {
	mu      sync.Mutex
	waiters map[balance.RequestID]T
	last    balance.RequestID
	ended   bool
}

// Add assigns a new ID to a request and stores its waiter. It returns false once the table is closed, as nobody would
// answer the request.
func (t *Table[T]) Add(waiter T) (balance.RequestID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return 0, false
	}
	t.last++
	if t.waiters == nil {
		t.waiters = map[balance.RequestID]T{}
	}
	t.waiters[t.last] = waiter
	return t.last, true
}

// Len returns the number of open requests.
func (t *Table[T]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiters)
}

// Get returns the waiter of a request; the zero T if there is none.
func (t *Table[T]) Get(id balance.RequestID) T {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiters[id]
}

// Remove removes a request and returns its waiter; the zero T if there is none.
func (t *Table[T]) Remove(id balance.RequestID) T {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiter := t.waiters[id]
	delete(t.waiters, id)
	return waiter
}

// Close removes and returns all waiters. Nothing can be added afterwards.
func (t *Table[T]) Close() map[balance.RequestID]T {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.waiters
	t.waiters, t.ended = nil, true
	return all
}
