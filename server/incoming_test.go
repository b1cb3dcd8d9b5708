package server_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"umberladder/lab"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/standin/rawcall"
)

// stalledCalls opens calls on one connection that send the start of a long request and no more, and returns a channel
// that receives the number of a call's stream when the driver has ended the call.
func stalledCalls(t *testing.T, address string, calls int) <-chan uint32 {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	framer, err := rawcall.Open(nc)
	if err != nil {
		t.Fatal(err)
	}
	for i := range calls {
		stream := uint32(2*i + 1)
		if err := rawcall.Begin(framer, stream, pb.Driver_Execute_FullMethodName, 1<<20); err != nil {
			t.Fatal(err)
		}
		framer.WriteData(stream, false, make([]byte, 1000))
	}
	ended := make(chan uint32, calls)
	go func() {
		defer close(ended)
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			if h := frame.Header(); h.Type == http2.FrameRSTStream || h.Flags.Has(http2.FlagHeadersEndStream) && h.Type == http2.FrameHeaders {
				ended <- h.StreamID
			}
		}
	}()
	return ended
}

// TestCallsThatStopWithinTheirRequestAreEnded guards against calls that hold their buffers for good, and against such
// calls keeping others out.
func TestCallsThatStopWithinTheirRequestAreEnded(t *testing.T) {
	f := newFleet(t, lab.Spec{})
	must(t, f, readReq("article-read", "a", ""))
	const calls = 1200 // more than may be incomplete
	ended := stalledCalls(t, f.Drivers[0].Addr(), calls)
	for range 20 {
		must(t, f, readReq("article-read", "a", ""))
	}
	limit := time.After(8 * time.Second)
	for n := range calls {
		select {
		case _, open := <-ended:
			if !open {
				t.Fatalf("the connection ended with %d of %d calls", n, calls)
			}
		case <-limit:
			t.Fatalf("%d of %d calls were ended", n, calls)
		}
	}
}
