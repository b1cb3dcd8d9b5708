package lab

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	pb "umberladder/proto/umberladder/v1"
	"umberladder/standin"
)

// BenchmarkOwnReads reports, live on stand-ins, what share of own-reads went to the primary as replicas take
// longer to replay a record, with sessions that read soon after they write.
//
//	go test ./lab -run '^$' -bench OwnReads -benchtime 1x
func BenchmarkOwnReads(b *testing.B) {
	for _, gap := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
		for _, apply := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			b.Run(fmt.Sprintf("gap=%v/apply=%v", gap, apply), func(b *testing.B) {
				for range b.N {
					primary, served, asked := ownReads(b, gap, apply)
					b.ReportMetric(float64(primary)/float64(max(served, 1)), "at-primary")
					b.ReportMetric(float64(served)/float64(max(asked, 1)), "served")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func ownReads(b *testing.B, gap, apply time.Duration) (primary, served, asked int) {
	node := standin.Config{Cores: 2, Read: 4 * time.Millisecond, Write: 4 * time.Millisecond, Ship: 5 * time.Millisecond, Apply: apply,
		MaxConns: 200, ColdFrom: 1, Ramp: time.Second}
	f, err := NewFleet(Spec{Slices: 1, Members: 4, Drivers: 1, Node: node, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	book := &Book{}
	ctx, end := context.WithTimeout(b.Context(), 3*time.Second)
	defer end()
	var all sync.WaitGroup
	site := f.Spec.Site
	for i := range 12 {
		s := newSession(f, book, i, 0)
		all.Go(func() {
			for ctx.Err() == nil {
				s.call(ctx, f.Drivers[0], "slice0", &site.Classes[2], 0)
				time.Sleep(gap)
				s.call(ctx, f.Drivers[0], "slice0", &site.Classes[1], 0)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	all.Wait()
	for _, c := range book.Calls() {
		if c.Class.Name != "own-read" {
			continue
		}
		asked++
		if c.Served != nil {
			served++
			if c.Served.Role == pb.Role_ROLE_PRIMARY {
				primary++
			}
		}
	}
	return primary, served, asked
}
