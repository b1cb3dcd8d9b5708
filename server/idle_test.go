package server

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"

	"umberladder/driver"
	"umberladder/internal/inbox"
	"umberladder/pgwire"
)

// acceptLogins accepts logins and then answers Sync messages. Its own memory per connection is measured separately.
func acceptLogins(l net.Listener, all *sync.WaitGroup) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		all.Go(func() {
			defer nc.Close()
			r := pgwire.NewReader(nc, 0)
			if _, err := r.NextStartup(); err != nil {
				return
			}
			nc.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthOK(nil), pgwire.TxIdle))
			for {
				typ, _, err := r.Next()
				if err != nil {
					return
				}
				if typ == pgwire.MsgSync {
					nc.Write(pgwire.AppendReadyForQuery(nil, pgwire.TxIdle))
				}
			}
		})
	}
}

func heapAndStack() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkIdleConnection reports the memory of an idle node connection, heap and stack, without the peer's part.
//
//	go test ./server -run '^$' -bench IdleConnection -benchtime 1x
func BenchmarkIdleConnection(b *testing.B) {
	if b.N > 5 {
		b.Skip("use -benchtime 1x")
	}
	const n = 500
	for range b.N {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		var peers, conns sync.WaitGroup
		go acceptLogins(l, &peers)
		before := heapAndStack()
		plain := make([]net.Conn, n)
		for i := range plain {
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			nc.Write(pgwire.AppendStartup(nil, map[string]string{"user": "u"}))
			pgwire.NewReader(nc, 0).Next()
			plain[i] = nc
		}
		peer := heapAndStack() - before
		before = heapAndStack()
		ctx, cancel := context.WithCancel(b.Context())
		in, shared := inbox.New[driver.Event](), &pgwire.Buffers{}
		for i := range n {
			c := newConn(ctx, driver.ConnID(i+1), l.Addr().String(), in, func(string, ...any) {})
			conns.Go(func() {
				if rd := c.dial(&login{user: "u", database: "d", buffers: shared}); rd != nil {
					conns.Go(func() { c.run(rd) })
				}
			})
		}
		for up := 0; up < n; {
			<-in.Ready()
			up += drainCount(in)
		}
		b.ReportMetric((heapAndStack()-before-peer)/n, "B/conn")
		cancel()
		conns.Wait()
		for _, nc := range plain {
			nc.Close()
		}
		l.Close()
		peers.Wait()
	}
}

// drainCount drains an inbox and returns the number of events that it held.
func drainCount(in *inbox.Inbox[driver.Event]) int {
	events, _ := in.Drain(nil)
	return len(events)
}
