package causalcache

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"umberladder/position"
	"umberladder/token"
)

func tokenAt(slice string, lsn uint64) token.Token {
	return token.Token{}.With(slice, position.Position{Timeline: 1, LSN: lsn})
}

func setAt(slice string, lsn uint64) token.Set { return token.ParseSet(tokenAt(slice, lsn).String()) }

// origin answers with its log position, or with the position that the tokens require if that is higher.
type origin struct {
	at    atomic.Uint64
	calls atomic.Int64
	block chan struct{}
}

func (o *origin) fetch(_ context.Context, observed token.Set) (Entry[uint64], error) {
	o.calls.Add(1)
	if o.block != nil {
		<-o.block
	}
	need, _ := observed.JoinUnverified()
	at, _ := need.Position("news")
	lsn := max(o.at.Load(), at.LSN)
	return Entry[uint64]{Value: lsn, Tokens: setAt("news", lsn), LowerBound: tokenAt("news", lsn)}, nil
}

func get(t *testing.T, c *Cache[uint64], o *origin, observed token.Set) (uint64, token.Set) {
	t.Helper()
	e, after, err := c.Get(t.Context(), Key{Name: "page", Slice: "news"}, observed, o.fetch)
	if err != nil {
		t.Fatal(err)
	}
	return e.Value, after
}

// TestStaleEntryIsRefetched: an entry is served again, but not to a session whose token requires more, and neither tokens
// of other slices nor lost tokens are dropped.
func TestStaleEntryIsRefetched(t *testing.T) {
	c, _ := New[uint64](10, time.Hour, nil)
	o := &origin{}
	o.at.Store(5)
	get(t, c, o, token.Set{})
	if v, _ := get(t, c, o, token.Set{}); v != 5 || o.calls.Load() != 1 {
		t.Errorf("an entry was not served from the cache: %d after %d calls", v, o.calls.Load())
	}
	if v, _ := get(t, c, o, setAt("news", 9)); v < 9 {
		t.Errorf("a session that observed 9 got %d", v)
	}
	if _, after := get(t, c, o, setAt("other", 3)); len(after.Texts()) != 2 {
		t.Errorf("the token of another slice was dropped: %v", after)
	}
	if _, after := get(t, c, o, token.ParseSet("!")); after.String() == "" {
		t.Error("a lost token was dropped")
	}
	if s := c.Stats(); s.Stale == 0 || s.Hits == 0 {
		t.Errorf("%+v", s)
	}
}

func TestExpiry(t *testing.T) {
	now := time.Unix(100, 0)
	c, _ := New[uint64](10, time.Second, func() time.Time { return now })
	o := &origin{}
	get(t, c, o, token.Set{})
	now = now.Add(2 * time.Second)
	get(t, c, o, token.Set{})
	if o.calls.Load() != 2 || c.Stats().Expired != 1 {
		t.Errorf("%d calls, %+v", o.calls.Load(), c.Stats())
	}
}

// TestMissesShareAFetch: misses whose tokens the fetch in flight covers wait for it; all others share the next fetch,
// which carries the union of their tokens.
func TestMissesShareAFetch(t *testing.T) {
	c, _ := New[uint64](10, time.Hour, nil)
	o := &origin{block: make(chan struct{})}
	var callers sync.WaitGroup
	read := func(observed token.Set, least uint64) {
		callers.Go(func() {
			if e, _, err := c.Get(t.Context(), Key{Name: "page", Slice: "news"}, observed, o.fetch); err != nil || e.Value < least {
				t.Errorf("%d, %v; want at least %d", e.Value, err, least)
			}
		})
	}
	read(setAt("news", 3), 3)
	for o.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		read(setAt("news", 2), 2)
		read(setAt("news", 7), 7)
		read(setAt("news", 8), 8)
	}
	for c.Stats().Coalesced < 59 {
		time.Sleep(time.Millisecond)
	}
	close(o.block)
	callers.Wait()
	if n := o.calls.Load(); n != 2 {
		t.Errorf("%d fetches", n)
	}
}

// TestUnknownPositionIsNotIncluded: a token with an unknown LSN requires the present, so no cached answer includes it.
func TestUnknownPositionIsNotIncluded(t *testing.T) {
	unknown := token.ParseSet(token.Token{}.With("news", position.Position{Timeline: 1, LSN: position.UnknownLSN}).String())
	if includes(tokenAt("news", 3), unknown, "news") {
		t.Error("a cached answer counts as including the present")
	}
}

// TestHopThatDropsTokens: an answer older than the tokens require, as from a hop that drops them, is fetched again; after
// three of them Get returns ErrStale.
func TestHopThatDropsTokens(t *testing.T) {
	for _, drops := range []int{1, 100} {
		c, _ := New[uint64](10, time.Hour, nil)
		o := &origin{}
		calls := 0
		e, _, err := c.Get(t.Context(), Key{Name: "page"}, setAt("news", 9), func(ctx context.Context, observed token.Set) (Entry[uint64], error) {
			if calls++; calls <= drops {
				observed = token.Set{}
			}
			return o.fetch(ctx, observed)
		})
		if drops == 1 && (err != nil || e.Value != 9) || drops > 1 && err != ErrStale {
			t.Errorf("%d drops: %+v, %v", drops, e, err)
		}
	}
}

func TestErrorsAreNotCached(t *testing.T) {
	c, _ := New[int](10, time.Hour, nil)
	boom := errors.New("boom")
	if _, _, err := c.Get(t.Context(), Key{Name: "k"}, token.Set{}, func(context.Context, token.Set) (Entry[int], error) { return Entry[int]{}, boom }); err != boom {
		t.Errorf("%v", err)
	}
	if e, _, err := c.Get(t.Context(), Key{Name: "k"}, token.Set{}, func(context.Context, token.Set) (Entry[int], error) { return Entry[int]{Value: 4}, nil }); err != nil || e.Value != 4 {
		t.Errorf("%v, %v", e, err)
	}
}

// TestReadsAreMonotonic draws sessions over one cache: no session reads an older value than before.
func TestReadsAreMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, _ := New[uint64](2, time.Hour, nil)
		o := &origin{}
		sessions := make([]token.Set, 4)
		last := make([]uint64, 4)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := rapid.IntRange(0, 3).Draw(t, "session")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				last[s] = o.at.Add(1)
				sessions[s] = sessions[s].Join(setAt("news", last[s]))
			default:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				e, after, err := c.Get(context.Background(), Key{Name: key, Slice: "news"}, sessions[s], o.fetch)
				if err != nil || e.Value < last[s] {
					t.Fatalf("session %d read %d after %d, %v", s, e.Value, last[s], err)
				}
				sessions[s], last[s] = after, e.Value
				if len(after.Texts()) > 8 { // a driver's answer would carry one token
					sessions[s] = setAt("news", last[s])
				}
			}
		}
	})
}

// TestReadBeforeLoggedCommitIsVisible: a primary answered a read when a commit was in its log but not yet visible. The
// lower bound of the answer is below the commit, so the session that made the commit must not get the cached answer.
func TestReadBeforeLoggedCommitIsVisible(t *testing.T) {
	c, _ := New[string](10, time.Hour, nil)
	key := Key{Name: "page", Slice: "news"}
	answers := func(value string, tokenLSN, lowerBound uint64) Fetch[string] {
		return func(context.Context, token.Set) (Entry[string], error) {
			return Entry[string]{Value: value, Tokens: setAt("news", tokenLSN), LowerBound: tokenAt("news", lowerBound)}, nil
		}
	}
	c.Get(t.Context(), key, token.Set{}, answers("without", 192, 191))
	if e, _, err := c.Get(t.Context(), key, setAt("news", 192), answers("with", 192, 192)); err != nil || e.Value != "with" {
		t.Errorf("the session that wrote got %q, %v", e.Value, err)
	}
	if e, _, _ := c.Get(t.Context(), key, setAt("news", 128), answers("fetched again", 256, 255)); e.Value != "with" {
		t.Errorf("a session that observed less got %q", e.Value)
	}
}

// TestMaybeVisibleIsNotLowerBound: an answer that may show 192 but certainly includes only 128 must not be served to a
// session that has observed 192.
func TestMaybeVisibleIsNotLowerBound(t *testing.T) {
	if includes(tokenAt("news", 128), setAt("news", 192), "news") || !includes(tokenAt("news", 192), setAt("news", 192), "") {
		t.Error("an answer counts as including more than its lower bound, or less")
	}
	page := tokenAt("news", 192).Meet(tokenAt("news", 128).Join(tokenAt("sport", 7)))
	if includes(page, setAt("news", 192), "") || includes(page, setAt("sport", 8), "") || !includes(page, setAt("other", 9), "") {
		t.Errorf("an answer composed of several reads has the lower bound %+v", page)
	}
}
