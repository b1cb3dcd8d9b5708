// Package memory runs a driver as a process of its own under a limit on its memory, with more streams, nodes, slow
// readers and calls than it can hold, and judges what the operating system says that it took.
package memory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"umberladder/lab"
	"umberladder/lab/process"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/standin"
)

// Spec is what a driver must bear within its memory.
type Spec struct {
	Program string // the driver's own program
	Limit   int    // bytes
	Streams int    // open client streams that wait
	Nodes   int    // of the inventory; those beyond the reachable ones refuse connections
	Reach   int    // nodes that answer
	Slow    int    // clients that read large rows slowly
	Crowd   int    // calls that come all at once
	Seed    uint64
}

// run is one run under way.
type run struct {
	spec   Spec
	dir    string
	groups []*standin.Group
	clean  []func()
	addr   string
	driver *exec.Cmd
	peak   atomic.Int64 // bytes resident
	slow   atomic.Int64 // bytes that slow readers got
	watch  atomic.Int64 // streams that are open
	served atomic.Int64
	turned atomic.Int64
	lost   atomic.Int64
	kept   atomic.Int64 // streams that were refused
	last   atomic.Value // why the steady client was not served last
	lines  []string
}

// Run starts a driver in a process of its own with a limit on its memory, and has it bear a large inventory, many
// open streams, slow readers of large rows and a crowd, one after the other and then all at once. It judges the
// resident memory that the system tells, and that a steady client was served meanwhile.
func Run(spec Spec) (*lab.Report, error) {
	m := &run{spec: spec}
	defer m.close()
	if err := m.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { m.follow(ctx) })
	steady, err := m.dial()
	if err != nil {
		return nil, err
	}
	all.Go(func() { m.steady(ctx, pb.NewDriverClient(steady)) })
	m.note("inventory of %d nodes, %d of them reachable", spec.Nodes, spec.Reach)
	if err := m.openStreams(ctx, &all); err != nil {
		return nil, err
	}
	m.note("%d open streams beside, %d refused", m.watch.Load(), m.kept.Load())
	m.slowReaders(ctx, &all)
	time.Sleep(3 * time.Second)
	m.note("%d clients that read rows of %d KiB slowly beside, %d KiB read so far", spec.Slow, slowRow>>10, m.slow.Load()>>10)
	m.crowd(ctx)
	m.note("%d calls at once beside: %d refused", spec.Crowd, m.turned.Load())
	after := m.goesOn()
	m.note("after the crowd the steady client has %d more answers (last refusal: %v)", after, m.last.Load())
	r := m.report(after)
	cancel()
	if err := m.stop(); err != nil {
		r.Leaks = append(r.Leaks, "the driver ended with "+err.Error())
	}
	all.Wait()
	return r, nil
}

// goesOn waits for answers to the steady client after all that, and returns how many came.
func (m *run) goesOn() int64 {
	before := m.served.Load()
	for end := time.Now().Add(mostWait); m.served.Load() < before+answersAfter && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return m.served.Load() - before
}

const (
	answersAfter = 20 // that the steady client must have after the crowd
	mostWait     = 8 * time.Second
)

const slowRow = 256 << 10 // bytes of a row for slow readers

func (m *run) note(format string, args ...any) {
	m.lines = append(m.lines, fmt.Sprintf("%s; resident at most %d MiB so far", fmt.Sprintf(format, args...), m.peak.Load()>>20))
}

func (m *run) close() {
	for _, f := range m.clean {
		f()
	}
	for _, g := range m.groups {
		g.Close()
	}
}

// start puts up stand-ins, writes settings and inventory, and starts the driver.
func (m *run) start() (err error) {
	if m.dir, err = os.MkdirTemp("", "umberladder-memory"); err != nil {
		return err
	}
	m.clean = append(m.clean, func() { os.RemoveAll(m.dir) })
	trace, members := standin.NewTrace(), 5
	var list strings.Builder
	list.WriteString("name,host,port,slice,hall\n")
	for i := range m.spec.Nodes {
		if i%members == 0 && i < m.spec.Reach {
			m.groups = append(m.groups, standin.NewGroup(fmt.Sprintf("slice%d", i/members), time.Minute, trace))
		}
		host, port := fmt.Sprintf("127.%d.%d.%d", 1+i>>16, i>>8&255, i&255), "1"
		if i < m.spec.Reach {
			n, err := m.groups[i/members].AddNode(fmt.Sprintf("db%d", i), "reykjavik-a", lab.SmallNode)
			if err != nil {
				return err
			}
			if host, port, err = net.SplitHostPort(n.Addr()); err != nil {
				return err
			}
		}
		fmt.Fprintf(&list, "db%d,%s,%s,slice%d,reykjavik-a\n", i, host, port, i/members)
	}
	inventory, conf := filepath.Join(m.dir, "nodes.csv"), filepath.Join(m.dir, "driver.conf")
	if err := os.WriteFile(inventory, []byte(list.String()), 0o600); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.addr = l.Addr().String()
	l.Close()
	site := lab.NewsroomSite()
	text := site.Settings() + fmt.Sprintf("hall reykjavik-a\nhere reykjavik-a\nlisten grpc %s\nrouters 1\ninventory %s\n"+
		"admission {\n    memory %dMiB\n}\ntokens {\n    session-memory %dMiB\n}\n", m.addr, inventory,
		m.spec.Limit>>20, m.spec.Limit>>25)
	if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
		return err
	}
	m.driver = exec.Command(m.spec.Program, "serve", conf)
	out, err := os.Create(filepath.Join(m.dir, "driver.log"))
	if err != nil {
		return err
	}
	defer out.Close()
	m.driver.Stdout, m.driver.Stderr = out, out
	if err := m.driver.Start(); err != nil {
		return err
	}
	m.clean = append(m.clean, func() { m.driver.Process.Kill() })
	return m.awaitServing(out.Name())
}

// awaitServing returns once a read was served.
func (m *run) awaitServing(log string) error {
	c, err := m.dial()
	if err != nil {
		return err
	}
	var last error
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if last = m.read(context.Background(), pb.NewDriverClient(c), 0); last == nil {
			return nil
		}
	}
	text, _ := os.ReadFile(log)
	return fmt.Errorf("the driver serves nothing: %w\n%s", last, text[max(0, len(text)-2000):])
}

func (m *run) dial() (*grpc.ClientConn, error) {
	c, err := grpc.NewClient("passthrough:///"+m.addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(1<<16), grpc.WithInitialConnWindowSize(1<<20))
	if err == nil {
		m.clean = append(m.clean, func() { c.Close() })
	}
	return c, err
}

func (m *run) read(ctx context.Context, c pb.DriverClient, i int) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err := c.Execute(ctx, &pb.ExecuteRequest{Slice: fmt.Sprintf("slice%d", i%len(m.groups)), Class: "stats",
		Statement: "select n from generate_series(1, $1) where $2 <> ''", Parameters: []*pb.Value{
			{Kind: &pb.Value_IntValue{IntValue: 10}}, {Kind: &pb.Value_TextValue{TextValue: "x"}}}})
	return err
}

// steady calls again and again, as a client does that has nothing to do with the others.
func (m *run) steady(ctx context.Context, c pb.DriverClient) {
	for i := 0; ctx.Err() == nil; i++ {
		if err := m.read(ctx, c, i); err == nil {
			m.served.Add(1)
		} else if m.lost.Add(1); ctx.Err() == nil {
			m.last.Store(status.Convert(err).Message())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// streamsOfConn is how many streams a connection carries.
const streamsOfConn = 500

// openStreams opens streams that stay open: watches of the driver's health, as clients with health checks hold them.
func (m *run) openStreams(ctx context.Context, all *sync.WaitGroup) error {
	var opening errgroup.Group
	opening.SetLimit(64)
	for left := m.spec.Streams; left > 0; left -= streamsOfConn {
		c, err := m.dial()
		if err != nil {
			return err
		}
		for range min(left, streamsOfConn) {
			opening.Go(func() error {
				s, err := healthpb.NewHealthClient(c).Watch(ctx, &healthpb.HealthCheckRequest{})
				if err == nil {
					_, err = s.Recv()
				}
				if status.Code(err) == codes.ResourceExhausted {
					m.kept.Add(1)
					return nil
				}
				if err != nil {
					return err
				}
				m.watch.Add(1)
				all.Go(func() {
					s.Recv()
					m.watch.Add(-1)
				})
				return nil
			})
		}
	}
	return opening.Wait()
}

// slowReaders read large rows, a row every half second.
func (m *run) slowReaders(ctx context.Context, all *sync.WaitGroup) {
	for i := range m.spec.Slow {
		c, err := m.dial()
		if err != nil {
			return
		}
		all.Go(func() {
			for ctx.Err() == nil {
				m.readSlowly(ctx, pb.NewDriverClient(c), i)
				time.Sleep(time.Second) // as refusals advise
			}
		})
	}
}

func (m *run) readSlowly(ctx context.Context, c pb.DriverClient, i int) {
	s, err := c.ExecuteStream(ctx, &pb.ExecuteRequest{Slice: fmt.Sprintf("slice%d", i%len(m.groups)), Class: "stats",
		Statement: "select repeat($2, $3) from generate_series(1, $1)", Parameters: []*pb.Value{{Kind: &pb.Value_IntValue{IntValue: 200}},
			{Kind: &pb.Value_TextValue{TextValue: "x"}}, {Kind: &pb.Value_IntValue{IntValue: slowRow}}}})
	for err == nil && ctx.Err() == nil {
		var chunk *pb.ExecuteChunk
		if chunk, err = s.Recv(); err == nil && chunk.GetRow() != nil {
			m.slow.Add(int64(len(chunk.GetRow().Values[0].GetTextValue())))
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// crowd calls all at once.
func (m *run) crowd(ctx context.Context) {
	const conns = 20
	var all sync.WaitGroup
	for i := range conns {
		c, err := m.dial()
		if err != nil {
			return
		}
		for n := range m.spec.Crowd / conns {
			all.Go(func() {
				if m.read(ctx, pb.NewDriverClient(c), i+n) != nil {
					m.turned.Add(1)
				}
			})
		}
	}
	all.Wait()
}

// follow looks at the driver's resident memory.
func (m *run) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if n := process.ResidentPeak(m.driver.Process.Pid); n > m.peak.Load() {
			m.peak.Store(n)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (m *run) report(after int64) *lab.Report {
	r := &lab.Report{Name: "memory", Seed: m.spec.Seed, Counts: map[lab.Verdict]int{lab.Served: int(m.served.Load()), lab.Refused: int(m.turned.Load() + m.lost.Load())},
		Faults: []string{fmt.Sprintf("%d streams asked for, %d slow readers, %d calls at once", m.spec.Streams, m.spec.Slow, m.spec.Crowd)}, Notes: m.lines}
	bound := &lab.Rule{Name: "memory bounded", Chances: 1}
	if m.peak.Load() > int64(m.spec.Limit) {
		bound.Break("%d MiB were resident, %d are allowed", m.peak.Load()>>20, m.spec.Limit>>20)
	}
	going := &lab.Rule{Name: "goes on", Chances: int(after)}
	if after < answersAfter {
		going.Break("%d answers for the steady client in %v after the crowd", after, mostWait)
	}
	r.Rules = []*lab.Rule{bound, going}
	if m.peak.Load() == 0 || m.watch.Load() < 1000 || m.slow.Load() == 0 {
		r.Missing = append(r.Missing, fmt.Sprintf("%d streams, %d bytes read slowly, %d bytes resident", m.watch.Load(), m.slow.Load(), m.peak.Load()))
	}
	return r
}

// stop ends the driver as an operator would.
func (m *run) stop() error {
	m.driver.Process.Signal(syscall.SIGTERM)
	err := m.driver.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) || errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
