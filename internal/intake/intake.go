// Package intake bounds the memory of long messages that clients send. A reader reserves memory for a message before it
// reads the body, and releases it once the request is answered. Messages that are not complete hold memory only as long
// as no other message needs it: then the one whose client has sent nothing for longest is dropped, so that clients that
// stop within a message do not keep others out.
package intake

import (
	"sync"
	"time"
)

// stallTime is the time without progress after which an incomplete message may be dropped. It lets a reader that has
// just got its reservation read what its client sent before.
const stallTime = 20 * time.Millisecond

// goneInterval is the interval at which a waiting reader checks whether its client is gone.
const goneInterval = 20 * time.Millisecond

// Limit is the memory for the messages of all clients. It is safe for concurrent use.
type Limit struct {
	max int64

	mu         sync.Mutex
	used       int64
	incomplete map[*Reservation]bool // granted, and neither complete nor dropped
	waiting    []*Reservation        // not granted, in order of arrival
	releasing  int64                 // bytes of dropped reservations that are not released yet
	retry      *time.Timer           // calls dropStalled again; nil if none is set
	dropped    int64                 // number of dropped reservations so far
}

// Reservation is the memory of one message.
type Reservation struct {
	limit      *Limit
	bytes      int64
	drop       func()
	granted    chan struct{} // closed once the memory is reserved
	progressAt time.Time
	dropped    bool
	released   bool
}

// New returns a Limit of max bytes.
func New(max int64) *Limit { return &Limit{max: max, incomplete: map[*Reservation]bool{}} }

// Reserve reserves memory for a message that is about to be read, and waits for it until a time at most. It returns nil
// if there is none by then, if gone returns true during the wait, or if the message is longer than the limit. Until
// Complete, drop may be called once, from another goroutine and with the limit locked: the message must then be given up
// and its memory released at once. drop must not block.
func (l *Limit) Reserve(bytes int, until time.Time, gone func() bool, drop func()) *Reservation {
	r := &Reservation{limit: l, bytes: int64(bytes), drop: drop, granted: make(chan struct{})}
	if r.bytes > l.max {
		return nil
	}
	l.mu.Lock()
	l.waiting = append(l.waiting, r)
	l.grant()
	l.dropStalled()
	l.mu.Unlock()
	for {
		check := time.NewTimer(min(goneInterval, time.Until(until)))
		select {
		case <-r.granted:
			check.Stop()
			return r
		case <-check.C:
		}
		if (!time.Now().Before(until) || gone()) && l.cancel(r) {
			return nil
		}
	}
}

// grant grants waiting reservations in order while there is room. mu is held.
func (l *Limit) grant() {
	for len(l.waiting) > 0 && l.used+l.waiting[0].bytes <= l.max {
		r := l.waiting[0]
		l.waiting[0] = nil
		l.waiting = l.waiting[1:]
		l.used += r.bytes
		l.incomplete[r] = true
		r.progressAt = time.Now()
		close(r.granted)
	}
}

// dropStalled drops incomplete messages without progress, the longest stalled first, until the released memory is
// enough for what waits. If there are too few, it is called again once the next one may be dropped. mu is held.
func (l *Limit) dropStalled() {
	needed := l.used - l.releasing - l.max
	for _, r := range l.waiting {
		needed += r.bytes
	}
	for needed > 0 {
		stalled := l.longestStalled()
		if stalled == nil {
			return // a release grants what waits
		}
		if age := time.Since(stalled.progressAt); age < stallTime {
			l.retryAfter(stallTime - age)
			return
		}
		stalled.dropped = true
		delete(l.incomplete, stalled)
		l.releasing += stalled.bytes
		l.dropped++
		needed -= stalled.bytes
		stalled.drop()
	}
}

// retryAfter has dropStalled called after a delay, unless that is planned already. mu is held.
func (l *Limit) retryAfter(delay time.Duration) {
	if l.retry != nil {
		return
	}
	l.retry = time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.retry = nil
		l.dropStalled()
	})
}

func (l *Limit) longestStalled() (longest *Reservation) {
	for r := range l.incomplete {
		if longest == nil || r.progressAt.Before(longest.progressAt) {
			longest = r
		}
	}
	return longest
}

// cancel withdraws a waiting reservation; false if it was granted meanwhile.
func (l *Limit) cancel(r *Reservation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiting {
		if w == r {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			l.grant() // those behind it may need less
			l.dropStalled()
			return true
		}
	}
	return false
}

// Used returns the reserved bytes and the number of messages dropped so far.
func (l *Limit) Used() (bytes, dropped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.dropped
}

// Progress records that the client sent a part of the message.
func (r *Reservation) Progress() {
	r.limit.mu.Lock()
	defer r.limit.mu.Unlock()
	r.progressAt = time.Now()
}

// Complete records that the message is whole, after which it is not dropped. It returns false if it was dropped before.
func (r *Reservation) Complete() bool {
	r.limit.mu.Lock()
	defer r.limit.mu.Unlock()
	delete(r.limit.incomplete, r)
	return !r.dropped
}

// Dropped reports whether the message was dropped.
func (r *Reservation) Dropped() bool {
	r.limit.mu.Lock()
	defer r.limit.mu.Unlock()
	return r.dropped
}

// Release returns the memory. Further calls, and calls for a nil reservation, have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	l := r.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	delete(l.incomplete, r)
	if r.dropped {
		l.releasing -= r.bytes
	}
	l.used -= r.bytes
	l.grant()
	l.dropStalled()
}
