package server

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/protobuf/proto"

	"umberladder/admission"
	"umberladder/driver"
	"umberladder/propagation"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/settings"
)

// frontEnd serializes the access of concurrent handlers to the admission gate. Requests that the gate refuses do not
// reach the loop.
type frontEnd struct {
	now func() time.Duration

	mu   sync.Mutex
	gate *admission.Gate // nil if admission control is off
}

func newFrontEnd(s *settings.Settings, seed uint64, now func() time.Duration) (*frontEnd, error) {
	f := &frontEnd{now: now}
	if !s.AdmissionOn {
		return f, nil
	}
	cfg := s.Admission
	cfg.MaxBytes = s.CapToMemory(cfg.MaxBytes)
	cfg.MaxOpen, cfg.MaxRetryAfter, cfg.Classes = s.MaxOpen, s.MaxRetryAfter, admission.ClassesOf(s.Router().Classes)
	var err error
	f.gate, err = admission.New(cfg, seed)
	return f, err
}

// admit returns the ticket of an admitted request, which must be passed to release, or the refusal. Both are nil if
// admission control is off.
func (f *frontEnd) admit(ctx context.Context, req *pb.ExecuteRequest, class int) (*admission.Ticket, *driver.Answer) {
	if f.gate == nil {
		return nil, nil
	}
	arrival := admission.Request{Client: clientOf(ctx), Slice: req.Slice, Class: class, Bytes: proto.Size(req), Attempt: attemptOf(ctx)}
	f.mu.Lock()
	t, v := f.gate.Admit(f.now(), arrival)
	f.mu.Unlock()
	if v.Reason == admission.Admitted {
		return t, nil
	}
	pushback := strconv.FormatInt(v.RetryAfter.Milliseconds(), 10)
	if v.NoRetry {
		pushback = "-1"
	}
	grpc.SetTrailer(ctx, metadata.Pairs(propagation.PushbackKey, pushback)) // an error means that the call has ended
	return nil, &driver.Answer{Status: driver.Refused, Cause: causes[v.Reason], RetryAfter: v.RetryAfter}
}

var causes = map[admission.Reason]driver.Cause{admission.TooManyOpen: driver.CauseMaxOpen, admission.TooManyBytes: driver.CauseRequestBytes, admission.PoolFull: driver.CauseConcurrencyLimit,
	admission.ClientShare: driver.CauseClientShare, admission.LowValue: driver.CauseConcurrencyLimit, admission.LoopLate: driver.CauseOverload,
	admission.MemoryShort: driver.CauseMemory, admission.RetryBudgetSpent: driver.CauseRetryBudget}

// release returns a ticket with the outcome of its request.
func (f *frontEnd) release(t *admission.Ticket, a *driver.Answer, err error) {
	if t == nil {
		return
	}
	outcome := admission.Other
	switch {
	case a.Status == driver.Served && err == nil:
		outcome = admission.Served
	case a.Status == driver.Refused && a.Cause == driver.CauseNoNode:
		outcome = admission.Refused
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Done(f.now(), t, outcome)
}

// observeLoopDelay records how long the events that the loop handles next have waited.
func (f *frontEnd) observeLoopDelay(waited time.Duration) {
	if f.gate == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.ObserveLoopDelay(f.now(), waited)
}

// stats returns the gate's current figures, or the zero Stats if admission control is off.
func (f *frontEnd) stats() admission.Stats {
	if f.gate == nil {
		return admission.Stats{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Stats()
}

// clientOf returns the caller's address and the name that it gives itself, if any. A caller that changes its name
// with each call counts as many clients, all of the same address.
func clientOf(ctx context.Context) string {
	host := ""
	if p, ok := peer.FromContext(ctx); ok {
		if host, _, _ = net.SplitHostPort(p.Addr.String()); host == "" {
			host = p.Addr.String()
		}
	}
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		if names := md.Get(propagation.ClientKey); len(names) > 0 && len(names[0]) <= maxClientName {
			return host + "/" + names[0]
		}
	}
	return host
}

// maxClientName is the maximum length of a client's name, in bytes. Longer names are ignored.
const maxClientName = 64

// attemptOf returns the number of a client's attempt, 0 for the first: the highest count in the headers of gRPC's own
// retries and of package propagation.
func attemptOf(ctx context.Context) int {
	md, _ := metadata.FromIncomingContext(ctx)
	highest := 0
	for _, key := range []string{propagation.AttemptKey, "grpc-previous-rpc-attempts"} {
		for _, v := range md.Get(key) {
			if n, err := strconv.Atoi(v); err == nil {
				highest = max(highest, n)
			}
		}
	}
	return highest
}
