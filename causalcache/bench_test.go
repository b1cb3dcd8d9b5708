package causalcache

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"umberladder/position"
	"umberladder/token"
)

// BenchmarkHitRate runs 48 sessions over 24 keys of two slices with a given share of writes, in virtual time, through
// this cache and through a plain one that goes by age alone. It reports the hit rate of both and the share of the plain
// cache's hits that were older than what the session had observed.
//
//	go test ./causalcache -run '^$' -bench HitRate -benchtime 1x
func BenchmarkHitRate(b *testing.B) {
	for _, writes := range []float64{0.01, 0.05, 0.25} {
		b.Run(fmt.Sprintf("writes=%g", writes), func(b *testing.B) {
			if b.N > 10 {
				b.Skip("use -benchtime 1x")
			}
			for range b.N {
				causal, plain, stale := hitRates(writes)
				b.ReportMetric(causal, "causal-hits")
				b.ReportMetric(plain, "plain-hits")
				b.ReportMetric(stale, "plain-stale")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func hitRates(writes float64) (causal, plain, stale float64) {
	now := time.Unix(1000, 0)
	c, _ := New[uint64](500, 2*time.Second, func() time.Time { return now })
	rng := rand.New(rand.NewPCG(1, 1))
	logs := map[string]uint64{}
	sessions := make([]token.Token, 48)
	plainEntries := map[Key]Entry[uint64]{}
	var reads, hits, staleHits float64
	for range 50000 {
		now = now.Add(time.Millisecond)
		s := rng.IntN(len(sessions))
		slice := fmt.Sprintf("s%d", rng.IntN(2))
		if rng.Float64() < writes {
			logs[slice]++
			sessions[s] = sessions[s].With(slice, position.Position{Timeline: 1, LSN: logs[slice]})
			continue
		}
		key := Key{Name: fmt.Sprintf("%s/%d", slice, rng.IntN(12)), Slice: slice}
		reads++
		need, _ := sessions[s].Position(slice)
		if e, ok := plainEntries[key]; ok && now.Sub(e.FetchedAt) < 2*time.Second {
			hits++
			if e.Value < need.LSN {
				staleHits++
			}
		} else {
			plainEntries[key] = Entry[uint64]{Value: logs[slice], FetchedAt: now}
		}
		e, _, _ := c.Get(context.Background(), key, token.ParseSet(sessions[s].String()), func(context.Context, token.Set) (Entry[uint64], error) {
			return Entry[uint64]{Value: logs[slice], Tokens: setAt(slice, logs[slice]), LowerBound: tokenAt(slice, logs[slice])}, nil
		})
		if e.Value < need.LSN {
			panic("the causal cache served an answer older than the session's token requires")
		}
	}
	return float64(c.Stats().Hits) / reads, hits / reads, staleHits / max(hits, 1)
}
