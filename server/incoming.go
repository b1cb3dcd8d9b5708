package server

import (
	"container/list"
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
)

const (
	// incomingTimeout is the time from the start of a call to the end of its request.
	incomingTimeout = 5 * time.Second
	// incomingStallTime is the age from which an incomplete call may be ended to make room.
	incomingStallTime = 20 * time.Millisecond
	// incomingCheckInterval is the interval of the checks for calls that are over their time.
	incomingCheckInterval = 100 * time.Millisecond
	// incomingCallBytes is the memory that is planned for an incomplete call. One may take up to maxRequestBytes.
	incomingCallBytes                  = 1 << 20
	minIncomingCalls, maxIncomingCalls = 8, 1024
)

// incoming bounds the calls whose request has not arrived as a whole: gRPC buffers what a client has sent of a request,
// and waits for the rest without a limit. If there are too many, the oldest are ended, so that clients that stop within
// a request do not keep others out. It is safe for concurrent use.
type incoming struct {
	max int

	mu    sync.Mutex
	calls list.List // of *incomingCall, oldest first
	ended int64     // calls that were ended here
}

// incomingCall is a call whose request has not arrived as a whole.
type incomingCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	began  time.Time
}

type incomingKey struct{}

// newIncoming returns an incoming for a process with a memory limit, in bytes; 0 for none.
func newIncoming(memory int) *incoming {
	calls := maxIncomingCalls
	if memory > 0 {
		calls = min(max(memory/8/incomingCallBytes, minIncomingCalls), maxIncomingCalls)
	}
	return &incoming{max: calls}
}

// begin adds a call and returns the context for it, or false if there are too many.
func (in *incoming) begin(ctx context.Context) (context.Context, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.calls.Len() >= in.max {
		in.endOldest(incomingStallTime, 1)
	}
	if in.calls.Len() >= in.max {
		return ctx, false
	}
	c := &incomingCall{began: time.Now()}
	entry := in.calls.PushBack(c)
	c.ctx, c.cancel = context.WithCancel(context.WithValue(ctx, incomingKey{}, entry))
	return c.ctx, true
}

// complete removes a call whose request has arrived, or whose arrival failed. A further call of it has no effect.
func (in *incoming) complete(ctx context.Context) {
	if entry, ok := ctx.Value(incomingKey{}).(*list.Element); ok {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.calls.Remove(entry)
	}
}

// endOldest removes up to n of the oldest calls, if they are older than a limit or have ended, and ends them. mu is held.
func (in *incoming) endOldest(age time.Duration, n int) {
	for entry := in.calls.Front(); entry != nil && n > 0; entry = in.calls.Front() {
		c := entry.Value.(*incomingCall)
		over := c.ctx.Err() != nil // the client has ended it
		if !over && time.Since(c.began) < age {
			return
		}
		in.calls.Remove(entry)
		c.cancel()
		n--
		if !over {
			in.ended++
		}
	}
}

// watch ends calls that are over their time, and the oldest ones while memory is short, until ctx ends.
func (in *incoming) watch(ctx context.Context, memoryShort func() bool) {
	tick := time.NewTicker(incomingCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		in.mu.Lock()
		in.endOldest(incomingTimeout, in.calls.Len())
		if memoryShort() {
			in.endOldest(incomingStallTime, in.calls.Len())
		}
		in.mu.Unlock()
	}
}

// counts returns the number of incomplete calls, and of those that were ended here so far.
func (in *incoming) counts() (open int, ended int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.calls.Len(), in.ended
}

// incomingStream completes its call with the first message.
type incomingStream struct {
	grpc.ServerStream
	incoming *incoming
}

// RecvMsg implements grpc.ServerStream.
func (s incomingStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	s.incoming.complete(s.Context())
	return err
}
