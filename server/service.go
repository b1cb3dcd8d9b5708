package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"umberladder/balance"
	"umberladder/driver"
	"umberladder/pgwire"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/settings"
	"umberladder/token"
)

// service implements the driver's gRPC service.
type service struct {
	pb.UnimplementedDriverServer
	loop     *loop
	settings *settings.Settings
	metrics  *metrics
	keys     *atomic.Pointer[token.Keyring]
}

// scope returns the session that tokens are bound to, or "" if the settings don't bind them.
func (s *service) scope(req *pb.ExecuteRequest) string {
	if s.settings.BindTokenToSession {
		return req.Session
	}
	return ""
}

// Execute implements pb.DriverServer.
func (s *service) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	params, c, err := s.prepare(ctx, req)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	a, err := s.admitAndAwait(ctx, req, params, c, nil)
	s.metrics.observeAnswer(req.Class, a, err, time.Since(began))
	if err != nil {
		return nil, err
	}
	rep := a.Payload.(*reply)
	switch {
	case rep.sqlError != nil:
		return nil, sqlStatus(rep.sqlError)
	case rep.tooBig:
		return nil, detailed(codes.OutOfRange, "the result is larger than pool max-result; read it with ExecuteStream",
			info(reasonSize, nil))
	case rep.noMemory:
		return nil, s.noMemory("answers in flight to clients use all of admission answer-bytes; retry later, or read the result with ExecuteStream")
	}
	return &pb.ExecuteResponse{Columns: columnsOf(rep.cols), Rows: rep.rows, CommandTag: rep.commandTag,
		Token: s.keys.Load().Sign(a.Token, s.scope(req)), Holds: a.LowerBound.String(), Validator: validatorOf(req, &a), Served: servedOf(&a)}, nil
}

// ExecuteStream implements pb.DriverServer.
func (s *service) ExecuteStream(req *pb.ExecuteRequest, out pb.Driver_ExecuteStreamServer) error {
	params, c, err := s.prepare(out.Context(), req)
	if err != nil {
		return err
	}
	if s.settings.Classes[params.Class].Effect != balance.Safe {
		return badRequest("class", "%q is not safe to repeat; only reads are streamed", req.Class)
	}
	ctx, cancel := context.WithCancel(out.Context())
	defer cancel()
	c.ctx, c.opened = ctx, make(chan opening, 1)
	began := time.Now()
	var rows uint64
	sender := newChunkSender(out, s.settings.StreamStall)
	ended := false
	defer func() {
		if !ended {
			close(sender.chunks)
		}
	}()
	a, err := s.admitAndAwait(ctx, req, params, c, func(o *opening, row *pb.Row, onSent func()) error {
		if o != nil {
			return sender.send(&pb.ExecuteChunk{Part: &pb.ExecuteChunk_Columns_{Columns: &pb.ExecuteChunk_Columns{
				Columns: columnsOf(o.stream.cols), Served: servedOf(&o.answer)}}}, nil)
		}
		rows++
		return sender.send(&pb.ExecuteChunk{Part: &pb.ExecuteChunk_Row{Row: row}}, onSent)
	})
	s.metrics.observeAnswer(req.Class, a, err, time.Since(began))
	if err != nil {
		return err
	}
	st := a.Payload.(*stream)
	if st.sqlError != nil {
		return sqlStatus(st.sqlError)
	}
	if err := sender.send(&pb.ExecuteChunk{Part: &pb.ExecuteChunk_End_{End: &pb.ExecuteChunk_End{
		CommandTag: st.commandTag, Token: s.keys.Load().Sign(a.Token, s.scope(req)), Holds: a.LowerBound.String(), Rows: rows}}}, nil); err != nil {
		return err
	}
	ended = true
	return sender.end()
}

// admitAndAwait admits a call at the gate and waits for its final answer. A returned error is the gRPC status.
func (s *service) admitAndAwait(ctx context.Context, req *pb.ExecuteRequest, params driver.RequestParams, c *call, forward forwardFunc) (driver.Answer, error) {
	t, refusal := s.loop.frontEnd.admit(ctx, req, params.Class)
	if refusal != nil {
		return *refusal, statusOf(refusal)
	}
	a, err := s.await(ctx, params, c, forward)
	s.loop.frontEnd.release(t, &a, err)
	return a, err
}

// await passes a call to the loop and waits for its final answer. It forwards the rows of a streamed answer as they
// arrive. A returned error is the gRPC status.
func (s *service) await(ctx context.Context, params driver.RequestParams, c *call, forward forwardFunc) (driver.Answer, error) {
	if ctx.Err() != nil { // the client has gone while its request waited to be read
		return driver.Answer{}, status.FromContextError(ctx.Err()).Err()
	}
	id, ok := s.loop.calls.Add(c)
	if !ok {
		a := driver.Answer{Status: driver.Refused, Cause: driver.CauseStopping}
		return a, statusOf(&a)
	}
	s.loop.inbox.Put(driver.Event{Kind: driver.EventRequest, Request: id, Params: params})
	var rows chan queuedRow
	var full chan struct{}
	// The loop answers within the deadline unless it is itself late. Then the answer is given here, and the loop
	// sends nothing for a call that is no longer in its table.
	lateTimer := time.NewTimer(params.Deadline - s.settings.AnswerMargin/4 - s.loop.now())
	defer lateTimer.Stop()
	abandon := func(err error) (driver.Answer, error) {
		s.loop.calls.Remove(id)
		s.loop.inbox.Put(driver.Event{Kind: driver.EventClientLeft, Request: id})
		return driver.Answer{}, err
	}
	for {
		select {
		case o := <-c.opened:
			rows, full, c.stream = o.stream.rowsCh, o.stream.full, o.stream
			if err := forward(&o, nil, nil); err != nil {
				return abandon(err)
			}
		case row := <-rows:
			if err := c.forwardRow(&row, forward); err != nil {
				return abandon(err)
			}
		case <-full:
			return abandon(s.noMemory("long rows of other streams use all of admission answer-bytes; retry later"))
		case a := <-c.final:
			return a, s.forwardRemaining(c, &a, rows, forward)
		case <-lateTimer.C:
			if rows != nil {
				continue // the streamed answer has begun
			}
			a := s.lateAnswer(params.Class)
			abandon(nil)
			return a, statusOf(&a)
		case <-ctx.Done():
			return abandon(status.FromContextError(ctx.Err()).Err())
		}
	}
}

// noMemory returns the refusal of a read whose answer exceeds the memory for answers. The retry delay is random
// between a quarter and three quarters of the maximum.
func (s *service) noMemory(reason string) error {
	delay := s.settings.MaxRetryAfter/4 + rand.N(s.settings.MaxRetryAfter/2+1)
	return detailed(codes.ResourceExhausted, "refused: "+reason, info(reasonRefused, nil), &errdetails.RetryInfo{RetryDelay: durationpb.New(delay)})
}

// lateAnswer returns the answer to a call that the loop has not answered in time: refused if the class is safe to
// repeat, otherwise failed.
func (s *service) lateAnswer(class int) driver.Answer {
	if s.settings.Classes[class].Effect == balance.Safe {
		return driver.Answer{Status: driver.Refused, Cause: driver.CauseOverload, RetryAfter: s.settings.MaxRetryAfter / 2}
	}
	return driver.Answer{Status: driver.Failed, Cause: driver.CauseOverload}
}

// forwardRemaining forwards the queued rows of a streamed answer. The loop reports the end after the last row is
// queued.
func (s *service) forwardRemaining(c *call, a *driver.Answer, rows chan queuedRow, forward forwardFunc) error {
	if c.ctx == nil || a.Status != driver.Served {
		return statusOf(a)
	}
	select {
	case o := <-c.opened:
		rows, c.stream = o.stream.rowsCh, o.stream
		if err := forward(&o, nil, nil); err != nil {
			return err
		}
	default:
	}
	for rows != nil {
		select {
		case row := <-rows:
			if err := c.forwardRow(&row, forward); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// prepare validates a request and converts it for the engine and the node connection.
func (s *service) prepare(ctx context.Context, req *pb.ExecuteRequest) (driver.RequestParams, *call, error) {
	class := slices.IndexFunc(s.settings.Classes, func(c settings.Class) bool { return c.Name == req.Class })
	if class < 0 {
		return driver.RequestParams{}, nil, badRequest("class", "%q is not configured; known: %s", req.Class, s.classNames())
	}
	params := driver.RequestParams{Class: class, Slice: req.Slice, Session: req.Session}
	var err error
	if params.Token, params.TokenLost, err = s.verifyToken(req.Token, s.scope(req)); err != nil {
		return params, nil, err
	}
	c := &call{maxResultBytes: s.settings.MaxResult, final: make(chan driver.Answer, 1)}
	if c.stmt, err = s.newStatement(req, &s.settings.Classes[class]); err != nil {
		return params, nil, err
	}
	params.Deadline, err = s.deadline(ctx, req, &s.settings.Classes[class])
	return params, c, err
}

func (s *service) classNames() string {
	var names []string
	for _, c := range s.settings.Classes {
		names = append(names, c.Name)
	}
	return strings.Join(names, ", ")
}

// verifyToken verifies a request's token, or several that a client merged into one. lost reports that a token was
// lost in transit.
func (s *service) verifyToken(text, scope string) (t token.Token, lost bool, err error) {
	t, lost, err = s.keys.Load().VerifyAll(text, scope)
	if err != nil {
		return t, lost, badRequest("token", "%s", strings.TrimPrefix(err.Error(), "token: "))
	}
	return t, lost, nil
}

func (s *service) newStatement(req *pb.ExecuteRequest, class *settings.Class) (statement, error) {
	switch {
	case req.Slice == "":
		return statement{}, badRequest("slice", "is empty")
	case strings.TrimSpace(req.Statement) == "" || !encodable(req.Statement):
		return statement{}, badRequest("statement", "is empty or contains a NUL byte")
	case class.Effect == balance.Keyed && req.IdempotencyKey == "":
		return statement{}, badRequest("idempotency_key", "class %q is keyed and requires one", class.Name)
	case !encodable(req.IdempotencyKey):
		return statement{}, badRequest("idempotency_key", "contains a NUL byte")
	case len(req.Parameters) > 65534:
		return statement{}, badRequest("parameters", "there are %d, 65534 at most", len(req.Parameters))
	}
	st := statement{sql: req.Statement}
	for i, p := range req.Parameters {
		oid, text, ok := parameter(p)
		if !ok {
			return st, badRequest("parameters", "$%d contains a NUL byte; send it as bytes", i+1)
		}
		st.types, st.values = append(st.types, oid), append(st.values, text)
	}
	if class.Effect == balance.Keyed {
		st.types, st.values = append(st.types, pgwire.OIDText), append(st.values, []byte(req.IdempotencyKey))
	}
	return st, nil
}

// deadline returns the engine time at which the client gives up: the earliest of the call's deadline, the request's
// timeout and the class's deadline.
func (s *service) deadline(ctx context.Context, req *pb.ExecuteRequest, class *settings.Class) (time.Duration, error) {
	wait := class.Deadline
	if at, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(at))
	}
	if req.Timeout != nil {
		if err := req.Timeout.CheckValid(); err != nil || req.Timeout.AsDuration() <= 0 {
			return 0, badRequest("timeout", "is not greater than zero")
		}
		wait = min(wait, req.Timeout.AsDuration())
	}
	return s.loop.now() + wait, nil
}

// validatorOf returns a hash of slice, class, statement and parameters, with the position of the answer. Equal
// validators mean equal answers as far as the driver can know, so it may serve as an ETag.
func validatorOf(req *pb.ExecuteRequest, a *driver.Answer) string {
	h := xxhash.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", req.Slice, req.Class, req.Statement)
	for _, p := range req.Parameters {
		oid, text, _ := parameter(p)
		fmt.Fprintf(h, "%d %d %v ", oid, len(text), text == nil)
		h.Write(text)
	}
	return fmt.Sprintf("%016x-%x-%x", h.Sum64(), a.Facts.Position.Timeline, a.Facts.Position.LSN)
}

func servedOf(a *driver.Answer) *pb.Served {
	v := &pb.Served{Node: a.Node, Hall: a.Zone, Attempts: uint32(a.Attempts)}
	if a.Facts.Known {
		v.Role, v.Timeline, v.Lsn = pb.Role_ROLE_PRIMARY, a.Facts.Position.Timeline, a.Facts.Position.LSN
		if a.Facts.Replica {
			v.Role = pb.Role_ROLE_REPLICA
		}
	}
	return v
}
