// Package memory checks that a driver process stays within its memory limit under more streams, nodes, slow readers and
// calls than it can hold. Its input is a Spec, its output a report on the resident memory measured by the operating
// system and on the answers to a steady client. The command "lab memory" and its test call it.
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

// Spec describes the load that a driver must handle within its memory limit.
type Spec struct {
	Program        string // path of the driver's executable
	MemoryLimit    int    // memory limit in bytes
	Streams        int    // idle client streams to open
	Nodes          int    // nodes in the inventory; those beyond the reachable ones refuse connections
	ReachableNodes int    // nodes that are running
	SlowReaders    int    // clients that each read large rows slowly
	BurstCalls     int    // calls sent at once
	Seed           uint64
}

// run is the state of one run.
type run struct {
	spec           Spec
	dir            string
	groups         []*standin.Group
	clean          []func()
	addr           string
	driver         *exec.Cmd
	peak           atomic.Int64 // peak resident memory of the driver in bytes
	slowBytes      atomic.Int64 // bytes received by slow readers
	streams        atomic.Int64 // open streams
	steadyServed   atomic.Int64 // served calls of the steady client
	burstFailed    atomic.Int64 // calls of the burst that were refused or failed
	steadyFailed   atomic.Int64 // calls of the steady client that were refused or failed
	streamsRefused atomic.Int64 // streams refused by the driver
	lastError      atomic.Value // text of the steady client's last error
	notes          []string
}

// Run starts a driver process with a memory limit and a large inventory, and adds many open streams, slow readers of
// large rows, and a burst of calls, one load on top of the other. It checks the peak of resident memory and that a
// steady client is served after the burst. An error says that the run could not be set up.
func Run(spec Spec) (*lab.Report, error) {
	m := &run{spec: spec}
	defer m.close()
	if err := m.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { m.samplePeak(ctx) })
	steady, err := m.dial()
	if err != nil {
		return nil, err
	}
	all.Go(func() { m.runSteadyClient(ctx, pb.NewDriverClient(steady)) })
	m.note("inventory of %d nodes, %d of them reachable", spec.Nodes, spec.ReachableNodes)
	if err := m.openStreams(ctx, &all); err != nil {
		return nil, err
	}
	m.note("%d open streams, %d refused", m.streams.Load(), m.streamsRefused.Load())
	m.startSlowReaders(ctx, &all)
	time.Sleep(3 * time.Second)
	m.note("%d slow readers of rows of %d KiB, %d KiB read so far", spec.SlowReaders, slowRowBytes>>10, m.slowBytes.Load()>>10)
	m.burst(ctx)
	m.note("%d calls at once: %d refused", spec.BurstCalls, m.burstFailed.Load())
	after := m.awaitProgress()
	m.note("after the burst the steady client received %d answers (last error: %v)", after, m.lastError.Load())
	r := m.report(after)
	cancel()
	if err := m.stop(); err != nil {
		r.Leaks = append(r.Leaks, "the driver ended with "+err.Error())
	}
	all.Wait()
	return r, nil
}

// awaitProgress waits for minAnswers more answers to the steady client, for at most progressTimeout, and returns their
// number.
func (m *run) awaitProgress() int64 {
	before := m.steadyServed.Load()
	for end := time.Now().Add(progressTimeout); m.steadyServed.Load() < before+minAnswers && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return m.steadyServed.Load() - before
}

const (
	minAnswers      = 20 // answers that the steady client must receive after the burst
	progressTimeout = 8 * time.Second
)

const slowRowBytes = 256 << 10 // row size for slow readers

func (m *run) note(format string, args ...any) {
	m.notes = append(m.notes, fmt.Sprintf("%s; resident at most %d MiB so far", fmt.Sprintf(format, args...), m.peak.Load()>>20))
}

func (m *run) close() {
	for _, f := range m.clean {
		f()
	}
	for _, g := range m.groups {
		g.Close()
	}
}

// start starts stand-in nodes, writes settings and inventory, and starts the driver.
func (m *run) start() (err error) {
	if m.dir, err = os.MkdirTemp("", "umberladder-memory"); err != nil {
		return err
	}
	m.clean = append(m.clean, func() { os.RemoveAll(m.dir) })
	trace, members := standin.NewTrace(), 5
	var list strings.Builder
	list.WriteString("name,host,port,slice,hall\n")
	for i := range m.spec.Nodes {
		if i%members == 0 && i < m.spec.ReachableNodes {
			m.groups = append(m.groups, standin.NewGroup(fmt.Sprintf("slice%d", i/members), time.Minute, trace))
		}
		host, port := fmt.Sprintf("127.%d.%d.%d", 1+i>>16, i>>8&255, i&255), "1"
		if i < m.spec.ReachableNodes {
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
		m.spec.MemoryLimit>>20, m.spec.MemoryLimit>>25)
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

// awaitServing waits up to a minute until a read is served. Its error includes the end of the log file.
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
	return fmt.Errorf("driver served no read within 1 min: %w\n%s", last, text[max(0, len(text)-2000):])
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

// runSteadyClient sends calls one after the other, independent of the other clients.
func (m *run) runSteadyClient(ctx context.Context, c pb.DriverClient) {
	for i := 0; ctx.Err() == nil; i++ {
		if err := m.read(ctx, c, i); err == nil {
			m.steadyServed.Add(1)
		} else if m.steadyFailed.Add(1); ctx.Err() == nil {
			m.lastError.Store(status.Convert(err).Message())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// streamsPerConn is the number of streams on each connection.
const streamsPerConn = 500

// openStreams opens health watches, as clients with health checks do. They stay open until ctx ends.
func (m *run) openStreams(ctx context.Context, all *sync.WaitGroup) error {
	var opening errgroup.Group
	opening.SetLimit(64)
	for left := m.spec.Streams; left > 0; left -= streamsPerConn {
		c, err := m.dial()
		if err != nil {
			return err
		}
		for range min(left, streamsPerConn) {
			opening.Go(func() error {
				s, err := healthpb.NewHealthClient(c).Watch(ctx, &healthpb.HealthCheckRequest{})
				if err == nil {
					_, err = s.Recv()
				}
				if status.Code(err) == codes.ResourceExhausted {
					m.streamsRefused.Add(1)
					return nil
				}
				if err != nil {
					return err
				}
				m.streams.Add(1)
				all.Go(func() {
					s.Recv()
					m.streams.Add(-1)
				})
				return nil
			})
		}
	}
	return opening.Wait()
}

// startSlowReaders starts clients that read one large row every half second until ctx ends.
func (m *run) startSlowReaders(ctx context.Context, all *sync.WaitGroup) {
	for i := range m.spec.SlowReaders {
		c, err := m.dial()
		if err != nil {
			return
		}
		all.Go(func() {
			for ctx.Err() == nil {
				m.readSlowly(ctx, pb.NewDriverClient(c), i)
				time.Sleep(time.Second) // the retry-after time of refusals
			}
		})
	}
}

func (m *run) readSlowly(ctx context.Context, c pb.DriverClient, i int) {
	s, err := c.ExecuteStream(ctx, &pb.ExecuteRequest{Slice: fmt.Sprintf("slice%d", i%len(m.groups)), Class: "stats",
		Statement: "select repeat($2, $3) from generate_series(1, $1)", Parameters: []*pb.Value{{Kind: &pb.Value_IntValue{IntValue: 200}},
			{Kind: &pb.Value_TextValue{TextValue: "x"}}, {Kind: &pb.Value_IntValue{IntValue: slowRowBytes}}}})
	for err == nil && ctx.Err() == nil {
		var chunk *pb.ExecuteChunk
		if chunk, err = s.Recv(); err == nil && chunk.GetRow() != nil {
			m.slowBytes.Add(int64(len(chunk.GetRow().Values[0].GetTextValue())))
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// burst sends BurstCalls calls at once and waits until all have ended.
func (m *run) burst(ctx context.Context) {
	const conns = 20
	var all sync.WaitGroup
	for i := range conns {
		c, err := m.dial()
		if err != nil {
			return
		}
		for n := range m.spec.BurstCalls / conns {
			all.Go(func() {
				if m.read(ctx, pb.NewDriverClient(c), i+n) != nil {
					m.burstFailed.Add(1)
				}
			})
		}
	}
	all.Wait()
}

// samplePeak samples the driver's peak resident memory every 20 ms.
func (m *run) samplePeak(ctx context.Context) {
	for ctx.Err() == nil {
		if n := process.ResidentPeak(m.driver.Process.Pid); n > m.peak.Load() {
			m.peak.Store(n)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (m *run) report(after int64) *lab.Report {
	r := &lab.Report{Name: "memory", Seed: m.spec.Seed, Counts: map[lab.Verdict]int{lab.Served: int(m.steadyServed.Load()), lab.Refused: int(m.burstFailed.Load() + m.steadyFailed.Load())},
		Faults: []string{fmt.Sprintf("%d streams asked for, %d slow readers, %d calls at once", m.spec.Streams, m.spec.SlowReaders, m.spec.BurstCalls)}, Notes: m.notes}
	bound := &lab.Rule{Name: "memory bounded", Chances: 1}
	if m.peak.Load() > int64(m.spec.MemoryLimit) {
		bound.Break("%d MiB were resident, %d are allowed", m.peak.Load()>>20, m.spec.MemoryLimit>>20)
	}
	going := &lab.Rule{Name: "goes on", Chances: int(after)}
	if after < minAnswers {
		going.Break("%d answers for the steady client in %v after the crowd", after, progressTimeout)
	}
	r.Rules = []*lab.Rule{bound, going}
	if m.peak.Load() == 0 || m.streams.Load() < 1000 || m.slowBytes.Load() == 0 {
		r.Missing = append(r.Missing, fmt.Sprintf("%d streams, %d bytes read slowly, %d bytes resident", m.streams.Load(), m.slowBytes.Load(), m.peak.Load()))
	}
	return r
}

// stop sends SIGTERM to the driver and waits for its end. It returns an error for an exit status other than 0.
func (m *run) stop() error {
	m.driver.Process.Signal(syscall.SIGTERM)
	err := m.driver.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) || errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
