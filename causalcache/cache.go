// Package causalcache caches answers and serves one only to a session that has observed no more than the answer certainly
// includes. In go a key, the tokens of a session and a function that fetches the answer; out come an answer that covers
// these tokens, and the session's tokens after it has read the answer. Services that serve reads to many sessions call
// it in place of a cache that goes by age alone.
//
// Sessions never observe less than before, however old an entry is. An entry has two bounds, as a read certainly includes
// what was visible before it began and may include what became visible while it ran: the first is the lower bound in
// the entry, the second Entry.Tokens, which are added to the tokens of each session that reads the entry.
package causalcache

import (
	"context"
	"errors"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"umberladder/position"
	"umberladder/token"
)

// Entry is one answer with its bounds.
type Entry[V any] struct {
	Value      V
	Tokens     token.Set   // tokens of the answer: what a session that reads it may have observed
	LowerBound token.Token // what the answer certainly includes, as stated by the driver; of several reads, their Meet
	Validator  string      // identifies the content, as in an ETag; the cache does not use it
	FetchedAt  time.Time   // set by the cache when the fetch returned
}

// Fetch returns an answer that covers the given tokens. It is called in a goroutine of its own, with a context that keeps
// the values of the first caller's context but is not canceled with it.
type Fetch[V any] func(ctx context.Context, tokens token.Set) (Entry[V], error)

// Stats counts lookups and fetches. Each lookup counts as one of the first four.
type Stats struct {
	Hits      uint64 // served from the cache
	Expired   uint64 // the entry was older than the maximum age
	Stale     uint64 // the entry does not certainly include what the tokens require
	Absent    uint64 // no entry
	Coalesced uint64 // misses that waited for the fetch of another caller
	Fetches   uint64
}

// Cache is a cache of a bounded number of entries, which evicts the least recently used. It is safe for concurrent use.
type Cache[V any] struct {
	maxAge time.Duration
	now    func() time.Time

	mu      sync.Mutex
	entries *lru.Cache[Key, Entry[V]]
	flights map[Key][]*flight[V]
	stats   Stats
}

// flight is one fetch, pending or running, with the callers that wait for it.
type flight[V any] struct {
	tokens  token.Set // union of the tokens of all callers so far
	started bool
	waiters int // besides the caller that started the flight
	done    chan struct{}
	entry   Entry[V]
	err     error
}

// New returns a cache of the given number of entries, each served for at most maxAge after its fetch. now returns the
// time; nil means time.Now. It returns an error if entries is not positive.
func New[V any](entries int, maxAge time.Duration, now func() time.Time) (*Cache[V], error) {
	l, err := lru.New[Key, Entry[V]](entries)
	if err != nil {
		return nil, err
	}
	if now == nil {
		now = time.Now
	}
	return &Cache[V]{maxAge: maxAge, now: now, entries: l, flights: map[Key][]*flight[V]{}}, nil
}

// Stats returns the counts so far.
func (c *Cache[V]) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// includes reports whether an answer with the lower bound have includes what need requires of the slice, or, if slice is
// "", of every slice that have lists. It returns false if need contains a lost token, whose requirements are not known.
func includes(have token.Token, need token.Set, slice string) bool {
	if need.IsEmpty() {
		return true
	}
	n, complete := need.JoinUnverified()
	if !complete {
		return false
	}
	ids := have.Slices()
	if slice != "" {
		ids = []token.SliceID{token.IDOf(slice)}
	}
	for _, id := range ids {
		// An unknown LSN requires the present; have does not cover it even if equal.
		if required, any := n.PositionByID(id); any && (required.LSN == position.UnknownLSN || !have.ListedPosition(id).Covers(required)) {
			return false
		}
	}
	return len(ids) > 0
}

// covers reports whether have requires all that need requires. It returns false if either contains a lost token, whose
// requirements are not known.
func covers(have, need token.Set) bool {
	if need.IsEmpty() {
		return true
	}
	n, needComplete := need.JoinUnverified()
	h, haveComplete := have.JoinUnverified()
	return needComplete && haveComplete && h.Covers(n)
}

// Key identifies an answer. Name must contain all else that the answer depends on besides tokens: class, statement,
// parameters, and the tenant if answers differ by tenant. Slice is the slice that the answer was read from, and only its
// position in a token counts; "" means several slices.
type Key struct{ Name, Slice string }

// Get returns the answer for a key to a session with the given observed tokens: from the cache if the entry includes what
// they require, else from fetch. The tokens returned are the session's after it has read the answer: those of the answer,
// and those observed that they do not cover. On a miss, Get waits for the fetch in flight if its tokens cover the
// observed ones, else it shares the next fetch with the other callers that wait for it. Get blocks until a fetch returns
// or ctx is done.
//
// It returns the error of fetch, the error of ctx, or ErrStale if three answers in a row did not include what the
// observed tokens require. Errors are not cached. If a token among the observed ones was lost, the answer of a fetch is
// not checked, as that token's requirements are not known.
func (c *Cache[V]) Get(ctx context.Context, key Key, observed token.Set, fetch Fetch[V]) (Entry[V], token.Set, error) {
	for range maxFetches {
		e, after, err := c.get(ctx, key, observed, fetch)
		if _, complete := observed.JoinUnverified(); err != nil || !complete || includes(e.LowerBound, observed, key.Slice) {
			return e, after, err
		}
	}
	return Entry[V]{}, observed, ErrStale
}

// maxFetches is the number of answers that Get rejects as too old before it gives up.
const maxFetches = 3

// ErrStale means that every fetched answer included less than the session's tokens require. The cause is a service between
// this cache and the driver that drops tokens.
var ErrStale = errors.New("causalcache: fetched answers are older than the tokens require; a service between the cache and the driver drops tokens")

func (c *Cache[V]) get(ctx context.Context, key Key, observed token.Set, fetch Fetch[V]) (Entry[V], token.Set, error) {
	c.mu.Lock()
	if e, ok := c.lookup(key, observed); ok {
		c.stats.Hits++
		c.mu.Unlock()
		return e, observed.Absorb(e.Tokens), nil
	}
	f, created := c.joinFlight(key, observed)
	c.mu.Unlock()
	if created {
		c.runFlight(ctx, key, f, fetch)
	}
	select {
	case <-f.done:
	case <-ctx.Done():
		return Entry[V]{}, observed, ctx.Err()
	}
	if f.err != nil {
		return Entry[V]{}, observed, f.err
	}
	return f.entry, observed.Absorb(f.entry.Tokens), nil
}

// lookup returns the entry of a key if it may be served to a session with the observed tokens.
func (c *Cache[V]) lookup(key Key, observed token.Set) (Entry[V], bool) {
	e, ok := c.entries.Get(key)
	switch {
	case !ok:
		c.stats.Absent++
	case c.now().Sub(e.FetchedAt) > c.maxAge:
		c.stats.Expired++
	case !includes(e.LowerBound, observed, key.Slice):
		c.stats.Stale++
	default:
		return e, true
	}
	return Entry[V]{}, false
}

// joinFlight returns a flight to wait for, or creates the next one. A running flight serves callers whose tokens it
// covers; to a pending one the caller's tokens are added.
func (c *Cache[V]) joinFlight(key Key, observed token.Set) (f *flight[V], created bool) {
	for _, f := range c.flights[key] {
		if !f.started {
			f.tokens = f.tokens.Join(observed)
		} else if !covers(f.tokens, observed) {
			continue
		}
		f.waiters++
		c.stats.Coalesced++
		return f, false
	}
	f = &flight[V]{tokens: observed, done: make(chan struct{})}
	c.flights[key] = append(c.flights[key], f)
	return f, true
}

// runFlight runs the fetch of a flight in a goroutine once the flight before it has ended. The fetch is not canceled with
// the context of the caller that created it, as other callers wait for it too.
func (c *Cache[V]) runFlight(ctx context.Context, key Key, f *flight[V], fetch Fetch[V]) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		c.mu.Lock()
		var previous *flight[V]
		for i, other := range c.flights[key] {
			if other == f && i > 0 {
				previous = c.flights[key][i-1]
			}
		}
		c.mu.Unlock()
		if previous != nil {
			<-previous.done
		}
		c.mu.Lock()
		f.started = true
		tokens := f.tokens
		c.stats.Fetches++
		c.mu.Unlock()
		e, err := fetch(ctx, tokens)
		c.mu.Lock()
		defer c.mu.Unlock()
		f.entry, f.err = e, err
		if err == nil {
			f.entry.FetchedAt = c.now()
			c.store(key, f.entry)
		}
		c.flights[key] = removeFlight(c.flights[key], f)
		if len(c.flights[key]) == 0 {
			delete(c.flights, key)
		}
		close(f.done)
	}()
}

func removeFlight[V any](flights []*flight[V], f *flight[V]) []*flight[V] {
	var rest []*flight[V]
	for _, other := range flights {
		if other != f {
			rest = append(rest, other)
		}
	}
	return rest
}

// store adds an entry unless the cache has an unexpired one with a higher lower bound, as answers may arrive out of
// order.
func (c *Cache[V]) store(key Key, e Entry[V]) {
	if old, ok := c.entries.Peek(key); ok && c.now().Sub(old.FetchedAt) <= c.maxAge && old.LowerBound.Covers(e.LowerBound) && !e.LowerBound.Covers(old.LowerBound) {
		return
	}
	c.entries.Add(key, e)
}
