package server

import (
	"context"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"pgregory.net/rapid"

	"umberladder/pgwire"
)

// TestRoomComesBack: answers, streamed or not, that are completed, dropped or aborted in any order release all their
// memory, and never hold more than the limit.
func TestRoomComesBack(t *testing.T) {
	const size = 1 << 20
	rapid.Check(t, func(t *rapid.T) {
		memory, streamed := newAnswerMemory(size), newAnswerMemory(size)
		values := [][]byte{make([]byte, rapid.IntRange(0, 300<<10).Draw(t, "bytes"))}
		cols := []pgwire.Column{{Name: "v", Type: pgwire.OIDText}}
		var replies []*reply
		for range rapid.IntRange(0, 5).Draw(t, "replies") {
			r := &reply{cols: cols, maxBytes: size, memory: memory}
			for range rapid.IntRange(0, 6).Draw(t, "rows") {
				r.row(values)
			}
			replies = append(replies, r)
		}
		total := int64(0)
		for _, r := range replies {
			if total += r.reserved; r.noMemory && (len(r.rows) > 0 || r.reserved > 0) {
				t.Fatal("an answer that got no memory keeps rows or a reservation")
			}
		}
		if total > size {
			t.Fatalf("%d bytes are reserved, the limit is %d", total, size)
		}
		var all sync.WaitGroup
		for range rapid.IntRange(1, 4).Draw(t, "streams") {
			ctx, cancel := context.WithCancel(context.Background())
			s := newStream(ctx, streamed)
			s.cols = cols
			sent, taken := rapid.IntRange(0, 80).Draw(t, "sent"), rapid.IntRange(0, 80).Draw(t, "taken")
			ended := make(chan struct{})
			all.Go(func() {
				defer close(ended)
				for range sent {
					s.row(values)
				}
			})
			all.Go(func() {
				for n := min(taken, sent); n > 0; n-- {
					select {
					case a := <-s.rowsCh:
						s.rowSent(&a)
					case <-s.full: // too many streams with long rows
						n = 1
					}
				}
				cancel()
				<-ended
			})
		}
		done := make(chan struct{})
		go func() { all.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("streams have not ended within 5 s: deadlock")
		}
		for _, r := range replies {
			r.releaseMemory()
		}
		for _, all := range []*semaphore.Weighted{memory.budget, streamed.budget, streamed.leases} {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			if all.Acquire(ctx, size) != nil {
				t.Fatal("memory is still reserved after all answers have ended")
			}
			cancel()
		}
	})
}

// TestSlowReadersAreBounded: rows queue up for clients that do not read until each stream's own limit or the shared
// memory is reached. Once clients read, all streams proceed, also one with a row longer than all of the memory.
func TestSlowReadersAreBounded(t *testing.T) {
	const long = 32 << 10
	memory := newAnswerMemory(10 * rowCopies * (long + 128))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	startStream := func(rows int, size int) *stream {
		s := newStream(ctx, memory)
		s.cols = []pgwire.Column{{Name: "v", Type: pgwire.OIDText}}
		go func() {
			for range rows {
				s.row([][]byte{make([]byte, size)})
			}
		}()
		return s
	}
	queuedRows := func(streams ...*stream) (n int) {
		for _, s := range streams {
			n += len(s.rowsCh)
		}
		return n
	}
	a := startStream(100, long)
	waitUntil(t, func() bool { return queuedRows(a) == 7 })
	b, c, d := startStream(100, long), startStream(100, long), startStream(100, long)
	waitUntil(t, func() bool { return queuedRows(a, b, c, d) >= 8 })
	time.Sleep(20 * time.Millisecond)
	if n := queuedRows(a, b, c, d); n > 10 {
		t.Errorf("%d rows are queued, there is memory for 10", n)
	}
	huge := startStream(1, int(memory.size))
	waitUntil(t, func() bool {
		free := memory.leases.TryAcquire(1)
		if free {
			memory.leases.Release(1)
		}
		return !free
	})
	second := startStream(1, longRowBytes+1000)
	select {
	case <-second.full:
	case <-time.After(10 * time.Second):
		t.Error("a second stream with long rows got a lease too")
	}
	for _, s := range []*stream{a, b, c, d} { // from here on all clients read
		go func() {
			for ctx.Err() == nil {
				select {
				case row := <-s.rowsCh:
					s.rowSent(&row)
				case <-ctx.Done():
				}
			}
		}()
	}
	if row := <-huge.rowsCh; len(row.row.Values[0].GetTextValue()) != int(memory.size) {
		t.Error("the longest row is incomplete")
	}
}

// waitUntil waits until done returns true, for up to 10 s.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
	}
}
