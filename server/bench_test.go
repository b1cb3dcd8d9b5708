package server_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgxpool"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"umberladder/lab"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/standin"
)

// relay serves the driver's gRPC service from a pgx pool connected to one node, without any routing.
type relay struct {
	pb.UnimplementedDriverServer
	pool *pgxpool.Pool
}

func (r *relay) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	args := make([]any, len(req.Parameters))
	for i, p := range req.Parameters {
		args[i] = p.GetTextValue()
	}
	rows, err := r.pool.Query(ctx, req.Statement, args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	res := &pb.ExecuteResponse{}
	for rows.Next() {
		var value string
		var lsn int64
		if err := rows.Scan(&value, &lsn); err != nil {
			return nil, err
		}
		res.Rows = append(res.Rows, &pb.Row{Values: []*pb.Value{text(value), {Kind: &pb.Value_IntValue{IntValue: lsn}}}})
	}
	return res, rows.Err()
}

// target is one of the compared ways to run a read.
type target struct {
	name string
	run  func(ctx context.Context) error
}

func grpcTarget(t testing.TB, name, addr string) target {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client := pb.NewDriverClient(conn)
	return target{name, func(ctx context.Context) error {
		_, err := client.Execute(ctx, readReq("stats", "a", ""))
		return err
	}}
}

// load runs a target with concurrent callers for a time and returns the rate per second and the latencies in
// microseconds.
func load(t testing.TB, target target, callers int, lasts time.Duration) (rate float64, h *hdrhistogram.Histogram) {
	t.Helper()
	h = hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed atomic.Int64
	begin := time.Now()
	for range callers {
		all.Go(func() {
			own := hdrhistogram.New(1, 10_000_000, 3)
			for time.Since(begin) < lasts {
				from := time.Now()
				if target.run(context.Background()) != nil {
					failed.Add(1)
					continue
				}
				own.RecordValue(time.Since(from).Microseconds())
			}
			mu.Lock()
			h.Merge(own)
			mu.Unlock()
		})
	}
	all.Wait()
	if n := failed.Load(); n > h.TotalCount()/50 {
		t.Errorf("%s: %d of %d failed", target.name, n, h.TotalCount())
	}
	return float64(h.TotalCount()) / time.Since(begin).Seconds(), h
}

// BenchmarkAgainstRelay compares, alternating in one run, reads through the driver, through a plain gRPC relay with
// the same service, and by pgx directly at a node. The stand-in nodes do no work, so that all cost is overhead.
//
//	go test ./server -run '^$' -bench AgainstRelay -benchtime 1x
func BenchmarkAgainstRelay(b *testing.B) {
	for _, params := range []bool{false, true} {
		b.Run(fmt.Sprintf("params=%v", params), func(b *testing.B) { againstRelay(b, params) })
	}
}

// againstRelay measures with nodes that are queried for their facts, or that report them as parameters.
func againstRelay(b *testing.B, params bool) {
	cfg := standin.Config{Cores: 64, MaxConns: 1000, ColdFrom: 1, RampTime: time.Second, ReportParameters: params}
	f, err := lab.NewFleet(lab.Spec{Slices: 1, Members: 3, Drivers: 1, Node: cfg, ExtraSettings: "pool size 256\n"})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	pool, err := pgxpool.New(b.Context(), fmt.Sprintf("postgres://x@%s/kv?pool_max_conns=256", f.Groups[0].Nodes()[1].Addr()))
	if err != nil {
		b.Fatal(err)
	}
	defer pool.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	gs := grpc.NewServer()
	pb.RegisterDriverServer(gs, &relay{pool: pool})
	go gs.Serve(l)
	defer gs.Stop()
	targets := []target{grpcTarget(b, "driver", f.Drivers[0].Addr()), grpcTarget(b, "relay", l.Addr().String()),
		{"pgx", func(ctx context.Context) error {
			rows, err := pool.Query(ctx, readReq("", "a", "").Statement, "a", "m")
			if err == nil {
				rows.Close()
				err = rows.Err()
			}
			return err
		}}}
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				rates, p50, p99 := map[string]float64{}, map[string]float64{}, map[string]float64{}
				for _, t := range targets {
					load(b, t, callers, 300*time.Millisecond)
				}
				const rounds = 4
				for range rounds { // alternating, so that changes of the machine's load affect all alike
					for _, t := range targets {
						rate, h := load(b, t, callers, 700*time.Millisecond)
						rates[t.name] += rate / rounds
						p50[t.name] += float64(h.ValueAtQuantile(50)) / rounds
						p99[t.name] += float64(h.ValueAtQuantile(99)) / rounds
					}
				}
				for _, other := range []string{"relay", "pgx"} {
					b.ReportMetric(rates["driver"]/rates[other], "rate/"+other)
					b.ReportMetric(p50["driver"]/p50[other], "p50/"+other)
					b.ReportMetric(p99["driver"]/p99[other], "p99/"+other)
				}
				b.ReportMetric(rates["driver"], "req/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkRefusal compares, in one run, served calls with calls refused at admission, by CPU time of the whole
// process: client, driver and stand-in.
//
//	go test ./server -run '^$' -bench Refusal -benchtime 1x
func BenchmarkRefusal(b *testing.B) {
	cfg := standin.Config{Cores: 64, MaxConns: 1000, ColdFrom: 1, RampTime: time.Second}
	f, err := lab.NewFleet(lab.Spec{Slices: 1, Members: 3, Drivers: 2, Node: cfg, ExtraSettings: "admission {\n    start 1\n    least 1\n}\n"})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	stream, err := f.Drivers[0].Client().ExecuteStream(ctx, seriesReq(1<<40)) // occupies the only admission slot
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for err := error(nil); err == nil; {
			_, err = stream.Recv()
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(300 * time.Millisecond)
	cpu := func() time.Duration {
		var u syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	each := func(d *lab.Driver, want codes.Code) time.Duration {
		const n = 4000
		begin := cpu()
		for range n {
			if _, err := d.Client().Execute(ctx, readReq("stats", "a", "")); status.Code(err) != want {
				b.Fatal(err)
			}
		}
		return (cpu() - begin) / n
	}
	for range b.N {
		each(f.Drivers[1], codes.OK)
		served, refused := each(f.Drivers[1], codes.OK), each(f.Drivers[0], codes.ResourceExhausted)
		b.ReportMetric(float64(served.Microseconds()), "us-served")
		b.ReportMetric(float64(refused.Microseconds()), "us-refused")
		b.ReportMetric(float64(refused)/float64(served), "refused/served")
		b.ReportMetric(0, "ns/op")
	}
}
