package memory

import (
	"context"
	"net"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	pb "umberladder/proto/umberladder/v1"
	"umberladder/standin/rawcall"
)

// TestMemoryWithUnfinishedRequests guards against calls that stop shortly before the end of a long request: the driver
// must stay within its memory, and serve others.
func TestMemoryWithUnfinishedRequests(t *testing.T) {
	program := filepath.Join(t.TempDir(), "umberladder")
	if out, err := exec.Command("go", "build", "-o", program, "umberladder/cmd/umberladder").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	m := &run{spec: Spec{Program: program, MemoryLimit: 256 << 20, Nodes: 5, ReachableNodes: 5}}
	defer m.close()
	if err := m.start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	all.Go(func() { m.samplePeak(ctx) })
	steady, err := m.dial()
	if err != nil {
		t.Fatal(err)
	}
	all.Go(func() { m.runSteadyClient(ctx, pb.NewDriverClient(steady)) })
	for range 300 {
		all.Go(func() {
			for ctx.Err() == nil {
				m.stallWithinRequest(ctx, 3<<20)
				time.Sleep(200 * time.Millisecond) // sending it again at once would take this machine's time
			}
		})
	}
	time.Sleep(6 * time.Second)
	if peak := m.peak.Load(); peak > int64(m.spec.MemoryLimit) {
		t.Errorf("%d MiB were resident, %d are allowed", peak>>20, m.spec.MemoryLimit>>20)
	}
	if served := m.awaitProgress(); served < minAnswers {
		t.Errorf("the steady client received %d answers, last error %v", served, m.lastError.Load())
	}
	t.Logf("%d MiB resident at most, %d answers to the steady client, %d refused or failed", m.peak.Load()>>20, m.steadyServed.Load(), m.steadyFailed.Load())
}

// stallWithinRequest sends a call on a connection of its own, with all but the last byte of a request of the given length
// as far as the driver's windows allow, and returns when the driver has ended the call or ctx ends.
func (m *run) stallWithinRequest(ctx context.Context, length int) {
	nc, err := net.Dial("tcp", m.addr)
	if err != nil {
		return
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	framer, err := rawcall.Open(nc)
	if err != nil {
		return
	}
	const stream = 1
	if rawcall.Begin(framer, stream, pb.Driver_Execute_FullMethodName, length) != nil {
		return
	}
	const initialWindow, frameBytes = 65535, 16384
	windows := map[uint32]int{0: initialWindow - rawcall.PrefixBytes, stream: initialWindow - rawcall.PrefixBytes}
	for left := length - 1; ; {
		for left > 0 && windows[0] > 0 && windows[stream] > 0 {
			n := min(left, windows[0], windows[stream], frameBytes)
			if framer.WriteData(stream, false, make([]byte, n)) != nil {
				return
			}
			windows[0], windows[stream], left = windows[0]-n, windows[stream]-n, left-n
		}
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := frame.(type) {
		case *http2.WindowUpdateFrame:
			windows[f.StreamID] += int(f.Increment)
		case *http2.SettingsFrame:
			if !f.IsAck() {
				if window, ok := f.Value(http2.SettingInitialWindowSize); ok {
					windows[stream] += int(window) - initialWindow
				}
				framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			framer.WritePing(true, f.Data)
		case *http2.RSTStreamFrame, *http2.GoAwayFrame:
			return
		case *http2.HeadersFrame:
			if f.StreamEnded() {
				return
			}
		}
	}
}
