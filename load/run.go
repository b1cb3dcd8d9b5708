package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"umberladder/propagation"
	pb "umberladder/proto/umberladder/v1"
)

// defaultCallTimeout is the deadline of a call without a timeout in the plan. Drivers' own deadlines are shorter.
const defaultCallTimeout = 30 * time.Second

// runner is the state of one run.
type runner struct {
	plan      *Plan
	clients   []pb.DriverClient
	started   time.Time // start of the warm-up
	countFrom time.Time // end of the warm-up; requests due from then on count
	openCalls atomic.Int64
	lastMark  atomic.Uint64 // number of the last request
	calls     sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand // for the content of requests
	idle     []*session // sessions without a call in flight
	result   *Result
	interval *Tally // requests ended since the last progress line
}

// session is a client session that sends the token of its last answer. It has at most one call in flight.
type session struct {
	name  string
	token string
}

// Run sends the requests of a plan and blocks until all calls have ended, at most 30 s or the longest class timeout after
// the last one was due. It writes a line of progress to w each second, unless w is nil. Canceling ctx ends the run early.
// An error means that a driver's address is invalid and nothing was sent; drivers that don't answer are a result.
func Run(ctx context.Context, p *Plan, w io.Writer) (*Result, error) {
	r := &runner{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0x6c6f6164)), interval: newTally(),
		result: &Result{Classes: map[string]*Tally{}, Total: newTally(), SendDelay: hdrhistogram.New(1, maxRecordedMicros, 3)}}
	for _, c := range p.Classes {
		r.result.Classes[c.Name] = newTally()
	}
	for i := range p.Sessions {
		r.idle = append(r.idle, &session{name: "load " + strconv.Itoa(i)})
	}
	for _, addr := range p.Drivers {
		for range p.Conns {
			c, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				return nil, fmt.Errorf("load: driver %s: %w", addr, err)
			}
			defer c.Close()
			r.clients = append(r.clients, pb.NewDriverClient(c))
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.started = time.Now()
	r.countFrom = r.started.Add(p.WarmUp)
	progressDone := make(chan struct{})
	go func() { defer close(progressDone); r.progress(ctx, w) }()
	if p.Callers > 0 {
		r.closedLoop(ctx)
	} else {
		r.openLoop(ctx)
	}
	r.result.Elapsed = max(time.Since(r.countFrom), time.Millisecond)
	r.calls.Wait() // ends by the calls' deadlines
	cancel()
	<-progressDone
	for _, g := range p.Goals {
		got, met := g.Evaluate(r.result)
		r.result.Goals = append(r.result.Goals, GoalResult{g, got, met})
	}
	return r.result, nil
}

// rateAt returns the rate in requests per second at a time since the end of the warm-up; during the warm-up, at negative
// times, it is the plan's rate.
func (p *Plan) rateAt(since time.Duration) float64 {
	if since < 0 {
		return p.Rate
	}
	s := &p.Shape
	switch s.Kind {
	case Ramp:
		return p.Rate * (1 + (s.Multiple-1)*min(1, since.Seconds()/p.Duration.Seconds()))
	case Burst:
		if math.Mod(since.Seconds(), s.Period.Seconds()) < s.Fraction*s.Period.Seconds() {
			return p.Rate * s.Multiple
		}
	case Wave:
		return p.Rate * (1 + (s.Multiple-1)*(1-math.Cos(2*math.Pi*since.Seconds()/s.Period.Seconds()))/2)
	}
	return p.Rate
}

// openLoop sends requests at random times, independent of answers: the intervals are exponentially distributed.
func (r *runner) openLoop(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, 0x74696d6573))
	end := r.countFrom.Add(r.plan.Duration)
	for due := r.started; ; {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.plan.rateAt(due.Sub(r.countFrom)) * float64(time.Second)))
		if due.After(end) || ctx.Err() != nil {
			return
		}
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		class := r.drawClass()
		if r.openCalls.Load() >= int64(r.plan.MaxOpen) {
			r.record(class, due, NotSent, "")
			continue
		}
		r.openCalls.Add(1)
		r.calls.Go(func() {
			defer r.openCalls.Add(-1)
			r.recordSendDelay(due)
			r.call(ctx, class, due)
		})
	}
}

// closedLoop runs callers that each wait for an answer before the next request. Requests that a slow answer delays are
// neither sent nor measured.
func (r *runner) closedLoop(ctx context.Context) {
	end := r.countFrom.Add(r.plan.Duration)
	for range r.plan.Callers {
		r.calls.Go(func() {
			for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
				r.call(ctx, r.drawClass(), now)
			}
		})
	}
	r.calls.Wait()
}

// drawClass draws the class of the next request by the classes' shares.
func (r *runner) drawClass() *Class {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.rng.Float64()
	for i := range r.plan.Classes {
		if at -= r.plan.Classes[i].Share; at < 0 {
			return &r.plan.Classes[i]
		}
	}
	return &r.plan.Classes[len(r.plan.Classes)-1]
}

// request returns the next request of a class, an idle session to send it under, or a new one, and a client.
func (r *runner) request(c *Class) (*pb.ExecuteRequest, *session, pb.DriverClient) {
	mark := "m" + strconv.FormatUint(r.plan.Seed, 36) + "-" + strconv.FormatUint(r.lastMark.Add(1), 36)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &session{name: mark}
	if n := len(r.idle); n > 0 {
		i := r.rng.IntN(n)
		s, r.idle[i] = r.idle[i], r.idle[n-1]
		r.idle = r.idle[:n-1]
	}
	req := &pb.ExecuteRequest{Slice: r.plan.Slices[r.rng.IntN(len(r.plan.Slices))], Class: c.Name, Session: s.name, Token: s.token, Statement: c.Statement}
	for _, p := range c.Parameters {
		v := &pb.Value{Kind: &pb.Value_TextValue{TextValue: p.Text}}
		switch p.Kind {
		case ParameterInt:
			v.Kind = &pb.Value_IntValue{IntValue: p.Int}
		case ParameterKey:
			v.Kind = &pb.Value_TextValue{TextValue: "k" + strconv.Itoa(r.rng.IntN(r.plan.Keys))}
		case ParameterMark:
			v.Kind = &pb.Value_TextValue{TextValue: mark}
		}
		req.Parameters = append(req.Parameters, v)
	}
	if c.IdempotencyKey {
		req.IdempotencyKey = mark
	}
	if c.Timeout > 0 {
		req.Timeout = durationpb.New(c.Timeout)
	}
	return req, s, r.clients[r.rng.IntN(len(r.clients))]
}

// call sends one request and records its outcome.
func (r *runner) call(ctx context.Context, c *Class, due time.Time) {
	req, s, client := r.request(c)
	limit := defaultCallTimeout
	if c.Timeout > 0 {
		limit = c.Timeout
	}
	ctx, cancel := context.WithDeadline(ctx, due.Add(limit))
	defer cancel()
	if r.plan.Client != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, propagation.ClientKey, r.plan.Client)
	}
	token, err := execute(ctx, client, req, c.Stream)
	if err == nil {
		s.token = token
	}
	outcome, text := classify(err)
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		text = "run ended before the answer"
	}
	r.mu.Lock()
	r.idle = append(r.idle, s)
	r.mu.Unlock()
	r.record(c, due, outcome, text)
}

func execute(ctx context.Context, client pb.DriverClient, req *pb.ExecuteRequest, stream bool) (token string, err error) {
	if !stream {
		res, err := client.Execute(ctx, req)
		return res.GetToken(), err
	}
	in, err := client.ExecuteStream(ctx, req)
	for err == nil {
		var chunk *pb.ExecuteChunk
		if chunk, err = in.Recv(); chunk.GetEnd() != nil {
			token = chunk.GetEnd().Token
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return token, err
}

// classify returns the outcome for a call's error and the error's text.
func classify(err error) (Outcome, string) {
	if err == nil {
		return Served, ""
	}
	st := status.Convert(err)
	reason := ""
	for _, d := range st.Details() {
		if info, ok := d.(*errdetails.ErrorInfo); ok {
			reason = info.Reason
		}
	}
	text := st.Code().String() + ": " + st.Message()
	switch {
	case reason == "REFUSED":
		return Refused, text
	case reason == "FAILED":
		return Failed, text
	case reason != "" || st.Code() == codes.InvalidArgument || st.Code() == codes.Unimplemented:
		return Faulty, text
	}
	return Unanswered, text
}

func (r *runner) recordSendDelay(due time.Time) {
	late := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !due.Before(r.countFrom) {
		r.result.SendDelay.RecordValue(min(max(0, late.Microseconds()), maxRecordedMicros))
	}
}

func (r *runner) record(c *Class, due time.Time, o Outcome, text string) {
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interval.add(o, took, "")
	if due.Before(r.countFrom) {
		return
	}
	r.result.Classes[c.Name].add(o, took, text)
	r.result.Total.add(o, took, text)
}

// progress writes a line of counts and latencies each second until ctx ends.
func (r *runner) progress(ctx context.Context, w io.Writer) {
	if w == nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		t := r.interval
		r.interval = newTally()
		r.mu.Unlock()
		phase := ""
		if time.Now().Before(r.countFrom) {
			phase = "  (warm-up)"
		}
		fmt.Fprintf(w, "%4.0fs  served %d  refused %d  other %d  open %d  p50 %v  p99 %v%s\n", time.Since(r.started).Seconds(), t.Counts[Served], t.Counts[Refused],
			t.sum()-t.Counts[Served]-t.Counts[Refused], r.openCalls.Load(), time.Duration(t.latency("p50")).Round(10*time.Microsecond),
			time.Duration(t.latency("p99")).Round(10*time.Microsecond), phase)
	}
}
