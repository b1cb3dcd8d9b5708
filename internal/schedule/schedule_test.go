package schedule

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOrder: items are returned by time, and in order of insertion where times are equal.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at time.Duration
			n  int
		}
		var q Queue[entry]
		var want []entry
		for n := range rapid.IntRange(0, 200).Draw(t, "operations") {
			if q.Len() > 0 && rapid.IntRange(0, 2).Draw(t, "take") == 0 {
				next, _ := q.Next()
				at, got := q.Take()
				if at != next || at != got.at || got != want[0] {
					t.Fatalf("took %v of %v, want %v", got, at, want[0])
				}
				want = want[1:]
				continue
			}
			x := entry{time.Duration(rapid.IntRange(0, 9).Draw(t, "at")), n}
			q.Put(x.at, x)
			want = append(want, x)
			slices.SortStableFunc(want, func(a, b entry) int { return int(a.at - b.at) })
		}
		if q.Len() != len(want) {
			t.Fatalf("%d left, want %d", q.Len(), len(want))
		}
	})
}

// TestStop: a stopped timer is not called and holds no memory, the others are called in their order, and the number of
// timers kept stays in proportion to those that are set.
func TestStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timers Timers
		var called, want []int
		for n := range rapid.IntRange(0, 400).Draw(t, "timers") {
			timer := timers.Set(time.Duration(n/3), func(time.Duration) { called = append(called, n) })
			if rapid.IntRange(0, 9).Draw(t, "stop") > 0 {
				timers.Stop(timer)
				timers.Stop(timer) // without effect
			} else {
				want = append(want, n)
			}
			if most := 2*len(want) + minStoppedTimers; timers.queue.Len() > most {
				t.Fatalf("%d timers are kept for %d that are set, want at most %d", timers.queue.Len(), len(want), most)
			}
		}
		if len(want) > 0 {
			if next, ok := timers.Next(); !ok || next != time.Duration(want[0]/3) {
				t.Fatalf("next timer at %v, %v; want %v", next, ok, time.Duration(want[0]/3))
			}
		}
		timers.Run(time.Hour)
		if !slices.Equal(called, want) {
			t.Fatalf("called %v, want %v", called, want)
		}
		if _, ok := timers.Next(); ok || timers.stoppedTimers != 0 {
			t.Fatalf("a timer is left, %d are counted as stopped", timers.stoppedTimers)
		}
	})
}
