package driver

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"umberladder/balance"
	"umberladder/position"
	"umberladder/token"
)

// benchEngine returns an engine with slices of six nodes, all polled and with one connection each, the slices'
// names, and a function that answers commands as the nodes would.
func benchEngine(b testing.TB, nodes int) (*Engine, []string, func(cmds []Command) []Event) {
	cfg := testConfig()
	cfg.MaxOpen, cfg.PoolSize = 1<<20, 1<<20
	e, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Node
	var slices []string
	roles := map[string]Facts{}
	for i := range nodes {
		n := Node{Name: fmt.Sprintf("db%d", i), Address: fmt.Sprintf("db%d:1", i), Slice: fmt.Sprintf("s%d", i/6), Zone: "a"}
		roles[n.Name] = replica(at(1, 1000))
		if i%6 == 0 {
			roles[n.Name] = primary(at(1, 1000))
			slices = append(slices, n.Slice)
		}
		list = append(list, n)
	}
	conns := map[ConnID]string{}
	reply := func(cmds []Command) (events []Event) {
		for _, c := range cmds {
			switch c.Kind {
			case CommandDial:
				conns[c.Conn] = c.Node
				events = append(events, Event{Kind: EventDialed, Conn: c.Conn})
			case CommandReadFacts, CommandSend:
				events = append(events, Event{Kind: EventResult, Conn: c.Conn, Result: Result{Started: true, Done: true, Facts: roles[conns[c.Conn]]}})
			}
		}
		return events
	}
	events := []Event{{Kind: EventNodeList, List: balance.ListCached, Nodes: list}}
	now := time.Hour
	for range 200 {
		now += 5 * ms
		events = reply(e.Step(now, events, nil))
	}
	return e, slices, reply
}

// BenchmarkEngine measures the CPU time per request, from arrival to answer with all events, for several numbers
// of nodes. Polls are included, as in service.
func BenchmarkEngine(b *testing.B) {
	for _, nodes := range []int{6, 30, 120, 480} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			e, slices, reply := benchEngine(b, nodes)
			now := 2 * time.Hour
			b.ReportAllocs()
			b.ResetTimer()
			var events []Event
			for i := range b.N {
				now += 500 * time.Microsecond // 2,000 requests/s
				events = append(events, Event{Kind: EventRequest, Request: RequestID(i + 1), Params: RequestParams{Class: classArticle + 2*(i%2),
					Slice: slices[i%len(slices)], Token: token.Token{}, Deadline: now + time.Second}})
				events = reply(e.Step(now, events, nil))
			}
		})
	}
}

// BenchmarkMemory reports the engine's memory per open request, in bytes. Run it with -benchtime 1x.
func BenchmarkMemory(b *testing.B) {
	if b.N > 10 {
		b.Skip("each round holds 10,000 requests; use -benchtime 1x")
	}
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for range b.N {
		e, slices, reply := benchEngine(b, 6)
		const n = 10000
		before := heap()
		var events []Event
		for i := range n {
			events = append(events, Event{Kind: EventRequest, Request: RequestID(i + 1), Params: RequestParams{Class: classWrite, Slice: slices[0],
				Session: "s", Deadline: 3 * time.Hour}})
		}
		cmds := e.Step(2*time.Hour, events, nil)
		b.ReportMetric((heap()-before)/n, "B/held")
		b.ReportMetric(float64(e.Held()), "held")
		reply(cmds)
		runtime.KeepAlive(e)
	}
}

// BenchmarkStep measures one step with a request and its answer, polls included, for several numbers of nodes, and
// with other requests open: writes of a slice without a primary. All cases run together, so that their figures can
// be compared.
//
//	go test ./driver -run '^$' -bench Step
func BenchmarkStep(b *testing.B) {
	for _, c := range []struct{ nodes, held int }{{6, 0}, {120, 0}, {600, 0}, {2000, 0}, {120, 200}, {120, 5000}} {
		b.Run(fmt.Sprintf("nodes=%d,held=%d", c.nodes, c.held), func(b *testing.B) {
			e, slices, reply := benchEngine(b, c.nodes)
			now := 2 * time.Hour
			var events []Event
			for i := range c.held {
				events = append(events, Event{Kind: EventRequest, Request: RequestID(1<<40 + i), Params: RequestParams{Class: classWrite, Slice: "idle", Deadline: 9 * time.Hour}})
			}
			if c.held > 0 {
				e.Step(now, []Event{{Kind: EventNodeList, List: balance.ListDelta, Nodes: []Node{{Name: "x", Address: "x:1", Slice: "idle", Zone: "a"}}}}, nil)
			}
			events = reply(e.Step(now, events, nil))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 20 * time.Microsecond // so short that few polls are due, which would be extra work
				events = append(events, Event{Kind: EventRequest, Request: RequestID(i + 1), Params: RequestParams{Class: classArticle + 2*(i%2),
					Slice: slices[i%len(slices)], Token: token.Token{}, Deadline: now + time.Second}})
				events = reply(e.Step(now, events, nil))
			}
			b.StopTimer()
			if e.Held() < c.held {
				b.Fatalf("%d held, %d wanted", e.Held(), c.held)
			}
		})
	}
}

// BenchmarkSessionMemory reports the memory per tracked session and the size of a token as text, in bytes. Run it
// with -benchtime 1x.
func BenchmarkSessionMemory(b *testing.B) {
	const n = 100_000
	memory := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for range b.N {
		before := memory()
		s := newSessions(1 << 30)
		for i := range n {
			s.observe("news", fmt.Sprintf("reader-%08d", i), at(1, uint64(i)), time.Duration(i))
		}
		b.ReportMetric((memory()-before)/n, "B/session")
		b.ReportMetric(float64(s.bytes)/n, "B/session-counted")
		runtime.KeepAlive(s)
		for _, slices := range []int{1, 3, 8} {
			tok := token.Token{}
			for i := range slices {
				p := at(12, 0x16b374d848+uint64(i))
				p.Transactions = position.TransactionsBelow(987_654)
				tok = tok.With(fmt.Sprintf("slice%d", i), p)
			}
			ring, err := token.NewKeyring(map[uint64][]byte{1: []byte("0123456789abcdef")}, 1)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(ring.Sign(tok, "s"))), fmt.Sprintf("B/token-of-%d", slices))
		}
		b.ReportMetric(0, "ns/op")
	}
}
