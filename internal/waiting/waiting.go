// Package waiting finds who waits for the answer to a request. Who takes requests in adds, the loop answers.
package waiting

import (
	"sync"

	"umberladder/balance"
)

// Table names requests, no two alike, and holds who waits for each. The zero Table is empty. It is safe for concurrent use.
type Table[T any] struct {
	mu    sync.Mutex
	of    map[balance.RequestID]T
	last  balance.RequestID
	ended bool
}

// Add names a request, false once nobody would answer it.
func (t *Table[T]) Add(who T) (balance.RequestID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return 0, false
	}
	t.last++
	if t.of == nil {
		t.of = map[balance.RequestID]T{}
	}
	t.of[t.last] = who
	return t.last, true
}

// Get is who waits for a request; the zero T if nobody does.
func (t *Table[T]) Get(id balance.RequestID) T {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.of[id]
}

// Drop is Get, and nobody waits for it any more.
func (t *Table[T]) Drop(id balance.RequestID) T {
	t.mu.Lock()
	defer t.mu.Unlock()
	who := t.of[id]
	delete(t.of, id)
	return who
}

// End gives back all who wait. Nobody is added after it.
func (t *Table[T]) End() map[balance.RequestID]T {
	t.mu.Lock()
	defer t.mu.Unlock()
	of := t.of
	t.of, t.ended = nil, true
	return of
}
