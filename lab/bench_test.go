package lab

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	pb "umberladder/proto/umberladder/v1"
	"umberladder/settings"
	"umberladder/standin"
)

// BenchmarkOwnReads reports the share of own-reads that went to the primary, by the time that replicas need to
// replay a record and by the time between a session's write and its read. It runs on stand-ins.
//
//	go test ./lab -run '^$' -bench OwnReads -benchtime 1x
func BenchmarkOwnReads(b *testing.B) {
	for _, gap := range []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		for _, apply := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			b.Run(fmt.Sprintf("gap=%v/apply=%v", gap, apply), func(b *testing.B) {
				for range b.N {
					primary, served, sent := ownReads(b, gap, apply)
					b.ReportMetric(float64(primary)/float64(max(served, 1)), "at-primary")
					b.ReportMetric(float64(served)/float64(max(sent, 1)), "served")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func ownReads(b *testing.B, gap, apply time.Duration) (primary, served, sent int) {
	node := standin.Config{Cores: 2, Read: 4 * time.Millisecond, Write: 4 * time.Millisecond, ShipDelay: 5 * time.Millisecond, ReplayTime: apply,
		MaxConns: 200, ColdFrom: 1, RampTime: time.Second}
	f, err := NewFleet(Spec{Slices: 1, Members: 4, Drivers: 1, Node: node, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	callLog := &CallLog{}
	ctx, cancel := context.WithTimeout(b.Context(), 3*time.Second)
	defer cancel()
	var all sync.WaitGroup
	site := f.Spec.Site
	for i := range 12 {
		s := newSession(f, callLog, i, 0)
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
	for _, c := range callLog.Calls() {
		if c.Class.Name != "own-read" {
			continue
		}
		sent++
		if c.Served != nil {
			served++
			if c.Served.Role == pb.Role_ROLE_PRIMARY {
				primary++
			}
		}
	}
	return primary, served, sent
}

// BenchmarkNewcomers adds 60 cold nodes at once to the inventory file of 50 drivers. It reports the most
// connections that one node received within half a second, with new nodes admitted in steps and all at once, and
// the times from the file's change to the first connections of the first and the last node.
//
//	go test ./lab -run '^$' -bench Newcomers -benchtime 1x -timeout 5m
func BenchmarkNewcomers(b *testing.B) {
	for _, c := range []struct{ name, extra string }{{"steps", ""}, {"naive", "membership {\n    together 10000\n    own-pace 100000\n}\n"}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				const drivers, newcomers = 50, 60
				f, err := NewFleet(Spec{Slices: 2, Members: 3, Drivers: drivers, Node: SmallNode, Dir: b.TempDir(), Seed: 5, ExtraSettings: c.extra})
				if err != nil {
					b.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				f.mu.Lock()
				for i := range newcomers {
					n, err := f.Groups[i%2].AddColdNode(fmt.Sprintf("new%02d", i), f.Spec.Zones[i%2], SmallNode, 0)
					if err != nil {
						b.Fatal(err)
					}
					f.nodes = append(f.nodes, NodeOf(n))
				}
				f.mu.Unlock()
				before := len(f.Trace.Connections())
				begin := time.Now()
				f.UpdateNodes(func(*settings.Node) {})
				for len(f.Trace.Connections()) < before+drivers*newcomers && time.Since(begin) < time.Minute {
					time.Sleep(20 * time.Millisecond)
				}
				byNode := map[string][]time.Time{}
				for _, o := range f.Trace.Connections()[before:] {
					byNode[o.Node] = append(byNode[o.Node], o.At)
				}
				most, first, last := 0, time.Hour, time.Duration(0)
				for name, at := range byNode {
					if !strings.HasPrefix(name, "new") {
						continue
					}
					first, last = min(first, at[0].Sub(begin)), max(last, at[len(at)-1].Sub(begin))
					for i := range at {
						n := 0
						for n < len(at)-i && at[i+n].Sub(at[i]) < 500*time.Millisecond {
							n++
						}
						most = max(most, n)
					}
				}
				b.ReportMetric(float64(most), "conns/500ms")
				b.ReportMetric(first.Seconds(), "s-first")
				b.ReportMetric(last.Seconds(), "s-last")
				b.ReportMetric(0, "ns/op")
				if err := f.Close(); err != nil {
					b.Error(err)
				}
			}
		})
	}
}
