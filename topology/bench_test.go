package topology

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkObserve measures the cost of a node's report, by the number of members in the slice.
func BenchmarkObserve(b *testing.B) {
	for _, members := range []int{3, 6, 60} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			s := NewSlice("s")
			claims := make([]Claim, members)
			for i := range claims {
				claims[i] = Claim{Node: fmt.Sprintf("db%d", i), Timeline: 1, System: 7, Upstream: "db0"}
			}
			claims[0].Role, claims[0].Upstream = Primary, ""
			b.ReportAllocs()
			for i := range b.N {
				c := &claims[i%members]
				c.LSN, c.Sent, c.Received = uint64(i), time.Duration(i)*time.Millisecond, time.Duration(i+1)*time.Millisecond
				s.Observe(*c)
			}
		})
	}
}
