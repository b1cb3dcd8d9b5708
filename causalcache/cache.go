// Package causalcache keeps answers and hands one out again only to whoever has seen no more than it holds. It can't
// lower what a session has seen, however stale it is, as every answer comes with the join of the entry's tokens and
// those presented.
//
// What an answer holds and what its reader has seen are two places, and never mixed up: a read is certain to hold
// what lay before it began (Entry.Holds), and may show what came while it ran (Entry.Tokens).
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

// Entry is one answer with what it is good for.
type Entry[V any] struct {
	Value     V
	Tokens    token.Bag   // what its reader has seen, as its driver or service said
	Holds     token.Token // what it holds for certain: the driver's holds, of several reads their Meet
	Validator string      // names what it was made of
	Fetched   time.Time
}

// Fetch gets an answer that covers the tokens given.
type Fetch[V any] func(ctx context.Context, tokens token.Bag) (Entry[V], error)

// Stats counts what a cache did.
type Stats struct {
	Hits      uint64 // handed out as kept
	Expired   uint64 // kept for longer than allowed
	Behind    uint64 // kept, but the token presented had seen more
	Absent    uint64
	Coalesced uint64 // waited for another's fetch
	Fetches   uint64
}

// Cache is a bounded cache by key, the least recently used going first. The key must name all that the answer
// depends on beside tokens: slice, class, statement, parameters, and the tenant where answers differ by it.
type Cache[V any] struct {
	fresh time.Duration
	now   func() time.Time

	mu      sync.Mutex
	entries *lru.Cache[Key, Entry[V]]
	flights map[Key][]*flight[V]
	stats   Stats
}

// flight is one fetch, waited for or about to begin.
type flight[V any] struct {
	tokens  token.Bag
	begun   bool
	waiting int
	done    chan struct{}
	entry   Entry[V]
	err     error
}

// New makes a cache of so many entries, each kept for fresh at the most. now may be nil for the clock's.
func New[V any](entries int, fresh time.Duration, now func() time.Time) (*Cache[V], error) {
	l, err := lru.New[Key, Entry[V]](entries)
	if err != nil {
		return nil, err
	}
	if now == nil {
		now = time.Now
	}
	return &Cache[V]{fresh: fresh, now: now, entries: l, flights: map[Key][]*flight[V]{}}, nil
}

// Stats is what the cache did so far.
func (c *Cache[V]) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// holds tells whether an answer that holds so much may be handed to whoever has seen need: of its slice, or, if
// slice is "", of all slices that it was made of. Where a token of need can't be read nobody knows what was seen.
func holds(have token.Token, need token.Bag, slice string) bool {
	if need.IsEmpty() {
		return true
	}
	n, whole := need.Peek()
	if !whole {
		return false
	}
	ids := have.Slices()
	if slice != "" {
		ids = []token.SliceID{token.IDOf(slice)}
	}
	for _, id := range ids {
		// An unknown place asks for the present; it does not say that an answer holds it.
		if asked, any := n.PositionByID(id); any && (asked.LSN == position.Unknown || !have.Place(id).Covers(asked)) {
			return false
		}
	}
	return len(ids) > 0
}

// covers tells whether what stands for have holds all that need asks for. Where a token of need can't be read
// nobody knows what was seen, and where one of have can't, nobody knows what it holds.
func covers(have, need token.Bag) bool {
	if need.IsEmpty() {
		return true
	}
	n, whole := need.Peek()
	h, readable := have.Peek()
	return whole && readable && h.Covers(n)
}

// Key names an answer: all that it depends on beside tokens, and the slice that it was read from, whose part of
// a token alone counts; "" if it was read from several.
type Key struct{ Name, Slice string }

// Get hands out the answer for a key to somebody who has seen the tokens given, from the cache if it may, else
// by fetch. The bag returned is what they have seen after it: nothing that they had seen before is lost.
// Misses at one time share a fetch if its tokens cover theirs; those that it does not cover share the next.
func (c *Cache[V]) Get(ctx context.Context, key Key, seen token.Bag, fetch Fetch[V]) (Entry[V], token.Bag, error) {
	for range tries {
		e, after, err := c.get(ctx, key, seen, fetch)
		if _, whole := seen.Peek(); err != nil || !whole || holds(e.Holds, seen, key.Slice) {
			return e, after, err
		}
	}
	return Entry[V]{}, seen, ErrBehind
}

// tries is how often an answer is fetched that does not cover what it was asked for.
const tries = 3

// ErrBehind says that every answer fetched held less than its tokens asked for: somebody on the way drops them.
var ErrBehind = errors.New("causalcache: the answers fetched hold less than the tokens asked for; a hop on the way drops tokens")

func (c *Cache[V]) get(ctx context.Context, key Key, seen token.Bag, fetch Fetch[V]) (Entry[V], token.Bag, error) {
	c.mu.Lock()
	if e, ok := c.kept(key, seen); ok {
		c.stats.Hits++
		c.mu.Unlock()
		return e, seen.Absorb(e.Tokens), nil
	}
	f, mine := c.join(key, seen)
	c.mu.Unlock()
	if mine {
		c.lead(ctx, key, f, fetch)
	}
	select {
	case <-f.done:
	case <-ctx.Done():
		return Entry[V]{}, seen, ctx.Err()
	}
	if f.err != nil {
		return Entry[V]{}, seen, f.err
	}
	return f.entry, seen.Absorb(f.entry.Tokens), nil
}

// kept is the entry of a key if it may be handed out.
func (c *Cache[V]) kept(key Key, seen token.Bag) (Entry[V], bool) {
	e, ok := c.entries.Get(key)
	switch {
	case !ok:
		c.stats.Absent++
	case c.now().Sub(e.Fetched) > c.fresh:
		c.stats.Expired++
	case !holds(e.Holds, seen, key.Slice):
		c.stats.Behind++
	default:
		return e, true
	}
	return Entry[V]{}, false
}

// join finds a fetch to wait for, or begins the next. One that is under way does for whom its tokens cover;
// one that has not begun takes their tokens along.
func (c *Cache[V]) join(key Key, seen token.Bag) (f *flight[V], mine bool) {
	for _, f := range c.flights[key] {
		if !f.begun {
			f.tokens = f.tokens.Join(seen)
		} else if !covers(f.tokens, seen) {
			continue
		}
		f.waiting++
		c.stats.Coalesced++
		return f, false
	}
	f = &flight[V]{tokens: seen, done: make(chan struct{})}
	c.flights[key] = append(c.flights[key], f)
	return f, true
}

// lead waits for the fetch before, then carries out its own. It does not depend on the leader's own patience:
// others wait for it too.
func (c *Cache[V]) lead(ctx context.Context, key Key, f *flight[V], fetch Fetch[V]) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		c.mu.Lock()
		var before *flight[V]
		for i, other := range c.flights[key] {
			if other == f && i > 0 {
				before = c.flights[key][i-1]
			}
		}
		c.mu.Unlock()
		if before != nil {
			<-before.done
		}
		c.mu.Lock()
		f.begun = true
		tokens := f.tokens
		c.stats.Fetches++
		c.mu.Unlock()
		e, err := fetch(ctx, tokens)
		c.mu.Lock()
		defer c.mu.Unlock()
		f.entry, f.err = e, err
		if err == nil {
			f.entry.Fetched = c.now()
			c.keep(key, f.entry)
		}
		c.flights[key] = without(c.flights[key], f)
		if len(c.flights[key]) == 0 {
			delete(c.flights, key)
		}
		close(f.done)
	}()
}

func without[V any](flights []*flight[V], f *flight[V]) []*flight[V] {
	var rest []*flight[V]
	for _, other := range flights {
		if other != f {
			rest = append(rest, other)
		}
	}
	return rest
}

// keep puts an entry in, unless the one there holds more: answers may come out of order.
func (c *Cache[V]) keep(key Key, e Entry[V]) {
	if old, ok := c.entries.Peek(key); ok && c.now().Sub(old.Fetched) <= c.fresh && old.Holds.Covers(e.Holds) && !e.Holds.Covers(old.Holds) {
		return
	}
	c.entries.Add(key, e)
}
