package propagation

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Metadata keys that drivers and clients exchange about retries.
const (
	ClientKey   = "umberladder-client"     // in requests: the name of the client, by which drivers share capacity fairly
	AttemptKey  = "umberladder-attempt"    // in requests: the number of the attempt, 0 for the first, summed over all hops
	PushbackKey = "grpc-retry-pushback-ms" // in trailers: milliseconds before the next attempt; -1 forbids another
)

// Retrier repeats unary calls that a driver refused, which is safe, as a refused request has not run. It waits as long
// as the driver advises and limits further attempts to a retry budget, a ratio of the first attempts. It adds the
// attempt number of the call being served to that of the calls made for it, so that drivers can bound the attempts over
// several hops. The zero Retrier makes no further attempts. It is safe for concurrent use.
type Retrier struct {
	MaxRetries  int     // largest number of further attempts of one call
	BudgetRatio float64 // further attempts that each first attempt adds to the budget
	// BudgetBurst is the number of further attempts in the budget at the start. The budget is capped at this or 10,
	// whichever is larger.
	BudgetBurst float64
	// BaseDelay is the mean delay before the first further attempt if the driver advises none; it doubles with each
	// attempt, up to 256 times. 0 means 50 ms.
	BaseDelay  time.Duration
	ClientName string // sent to drivers under ClientKey unless empty

	mu              sync.Mutex
	started         bool
	budget          float64
	firstAttempts   uint64
	furtherAttempts uint64
}

// Counts returns the numbers of first and further attempts so far.
func (r *Retrier) Counts() (first, further uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstAttempts, r.furtherAttempts
}

func (r *Retrier) countFirst() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.started {
		r.started, r.budget = true, r.BudgetBurst
	}
	r.firstAttempts++
	r.budget = min(r.budget+r.BudgetRatio, max(r.BudgetBurst, 10))
}

func (r *Retrier) takeBudget() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget < 1 {
		return false
	}
	r.budget--
	r.furtherAttempts++
	return true
}

// returnBudget undoes takeBudget for an attempt that was not made.
func (r *Retrier) returnBudget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget++
	r.furtherAttempts--
}

// UnaryClient returns an interceptor that makes further attempts of unary calls and returns the error of the last
// attempt. It blocks during the delays between attempts. It does not start a delay that would exceed the context's
// deadline, nor one before an attempt for which there is no budget.
func (r *Retrier) UnaryClient() grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		r.countFirst()
		for n := 0; ; n++ {
			var trailer metadata.MD
			err := invoke(r.withAttempt(ctx, n), method, req, reply, cc, append(opts, grpc.Trailer(&trailer))...)
			delay, ok := r.delay(err, trailer, n)
			if !ok || n >= r.MaxRetries || !r.takeBudget() {
				return err
			}
			if !sleep(ctx, delay) {
				r.returnBudget()
				return err
			}
		}
	}
}

// withAttempt sets the attempt number, n plus that of the call being served, and the client name in the metadata of a
// call.
func (r *Retrier) withAttempt(ctx context.Context, n int) context.Context {
	md, _ := metadata.FromOutgoingContext(ctx)
	md = md.Copy()
	if md == nil {
		md = metadata.MD{}
	}
	if in, ok := metadata.FromIncomingContext(ctx); ok {
		for _, v := range in.Get(AttemptKey) {
			if k, err := strconv.Atoi(v); err == nil && k > 0 {
				n += k
			}
		}
	}
	md.Set(AttemptKey, strconv.Itoa(n))
	if r.ClientName != "" {
		md.Set(ClientKey, r.ClientName)
	}
	return metadata.NewOutgoingContext(ctx, md)
}

// delay returns the delay before the attempt after attempt n. It returns false if the call must not be repeated: it was
// served, it failed rather than being refused, or the driver forbids it.
func (r *Retrier) delay(err error, trailer metadata.MD, n int) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	refused, advice := false, time.Duration(0)
	for _, d := range status.Convert(err).Details() {
		switch d := d.(type) {
		case *errdetails.ErrorInfo:
			refused = d.Domain == "umberladder" && d.Reason == "REFUSED"
		case *errdetails.RetryInfo:
			advice = d.RetryDelay.AsDuration()
		}
	}
	for _, v := range trailer.Get(PushbackKey) {
		ms, e := strconv.Atoi(v)
		if e != nil || ms < 0 {
			return 0, false // the driver forbids further attempts
		}
		advice = time.Duration(ms) * time.Millisecond
	}
	if advice > 0 {
		return advice, refused
	}
	base := r.BaseDelay
	if base <= 0 {
		base = 50 * time.Millisecond
	}
	return time.Duration((0.5 + rand.Float64()) * float64(base<<min(n, 8))), refused
}

// sleep waits for the delay and returns true. It returns false at once if the delay would exceed the context's deadline,
// or as soon as the context is done.
func sleep(ctx context.Context, delay time.Duration) bool {
	if at, ok := ctx.Deadline(); ok && time.Until(at) <= delay {
		return false
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
