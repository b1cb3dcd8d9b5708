package intake

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func notGone() bool { return false }

// reserve reserves without a wait, and counts drops in the returned number.
func reserve(t *testing.T, l *Limit, bytes int) (r *Reservation, drops *atomic.Int32) {
	t.Helper()
	drops = new(atomic.Int32)
	if r = l.Reserve(bytes, time.Now(), notGone, func() { drops.Add(1) }); r == nil {
		t.Fatalf("no memory for %d bytes", bytes)
	}
	return r, drops
}

func TestReservationsStayWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(100)
		a, _ := reserve(t, l, 60)
		a.Complete()
		if l.Reserve(50, time.Now().Add(time.Second), notGone, func() {}) != nil {
			t.Error("more than the limit is reserved")
		}
		b, _ := reserve(t, l, 40)
		a.Release()
		a.Release()
		reserve(t, l, 60)
		if used, _ := l.Used(); used != 100 {
			t.Errorf("%d bytes are counted", used)
		}
		b.Release()
		if l.Reserve(101, time.Now().Add(time.Second), notGone, func() {}) != nil {
			t.Error("a message longer than the limit has memory")
		}
	})
}

func TestTheLongestStalledMessageIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(100)
		old, oldDrops := reserve(t, l, 50)
		time.Sleep(time.Millisecond)
		busy, busyDrops := reserve(t, l, 50)
		time.Sleep(stallTime)
		old.Progress()
		time.Sleep(time.Millisecond)
		busy.Progress() // old has made no progress for longer
		var next *Reservation
		var waits sync.WaitGroup
		waits.Go(func() { next = l.Reserve(50, time.Now().Add(time.Second), notGone, func() {}) })
		time.Sleep(stallTime / 2)
		synctest.Wait()
		if oldDrops.Load()+busyDrops.Load() > 0 {
			t.Error("a message that makes progress was dropped")
		}
		time.Sleep(stallTime)
		synctest.Wait()
		if oldDrops.Load() != 1 || busyDrops.Load() != 0 || old.Complete() || !old.Dropped() {
			t.Errorf("%d and %d drops", oldDrops.Load(), busyDrops.Load())
		}
		if used, _ := l.Used(); used != 100 {
			t.Errorf("%d bytes are reserved before the dropped message gave up its memory", used)
		}
		old.Release()
		waits.Wait()
		if next == nil || !next.Complete() || !busy.Complete() {
			t.Error("the memory went to nobody")
		}
	})
}

func TestCompleteMessagesAreNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(100)
		r, drops := reserve(t, l, 100)
		r.Complete()
		began := time.Now()
		if l.Reserve(10, began.Add(time.Second), notGone, func() {}) != nil || drops.Load() > 0 {
			t.Errorf("%d drops", drops.Load())
		}
		if waited := time.Since(began); waited != time.Second {
			t.Errorf("waited %v", waited)
		}
		began = time.Now()
		if l.Reserve(10, began.Add(time.Second), func() bool { return true }, func() {}) != nil || time.Since(began) > goneInterval {
			t.Errorf("a client that is gone waited %v", time.Since(began))
		}
	})
}

func TestWaitingMessagesGetMemoryInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(100)
		held, _ := reserve(t, l, 100)
		held.Complete()
		var order []int
		var mu sync.Mutex
		var waits sync.WaitGroup
		for i := range 20 {
			waits.Go(func() {
				r := l.Reserve(60, time.Now().Add(time.Minute), notGone, func() {})
				r.Complete()
				mu.Lock()
				order = append(order, i)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				r.Release()
			})
			synctest.Wait()
		}
		held.Release()
		waits.Wait()
		for i, n := range order {
			if n != i {
				t.Fatalf("order %v", order)
			}
		}
		if used, _ := l.Used(); used != 0 {
			t.Errorf("%d bytes stay reserved", used)
		}
	})
}
