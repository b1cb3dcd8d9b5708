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
