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

// service is the gRPC face of a driver.
type service struct {
	pb.UnimplementedDriverServer
	loop     *loop
	settings *settings.Settings
	metrics  *metrics
	keys     *atomic.Pointer[token.Keyring]
}

// scope is what tokens are bound to: the session, where the settings say so.
func (s *service) scope(req *pb.ExecuteRequest) string {
	if s.settings.TokenScope {
		return req.Session
	}
	return ""
}

// Execute implements pb.DriverServer.
func (s *service) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	ask, c, err := s.prepare(ctx, req)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	a, err := s.admitted(ctx, req, ask, c, nil)
	s.metrics.answered(req.Class, a, err, time.Since(began))
	if err != nil {
		return nil, err
	}
	rep := a.Payload.(*reply)
	switch {
	case rep.fault != nil:
		return nil, sqlStatus(rep.fault)
	case rep.tooBig:
		return nil, detailed(codes.OutOfRange, "the result is larger than pool max-result; read it with ExecuteStream",
			info(reasonSize, nil))
	case rep.noRoom:
		return nil, s.noRoom("answers on their way to clients take up admission answer-bytes; come back, or read it with ExecuteStream")
	}
	return &pb.ExecuteResponse{Columns: columnsOf(rep.cols), Rows: rep.rows, CommandTag: rep.done,
		Token: s.keys.Load().Sign(a.Token, s.scope(req)), Holds: a.Holds.String(), Validator: validatorOf(req, &a), Served: servedOf(&a)}, nil
}

// ExecuteStream implements pb.DriverServer.
func (s *service) ExecuteStream(req *pb.ExecuteRequest, out pb.Driver_ExecuteStreamServer) error {
	ask, c, err := s.prepare(out.Context(), req)
	if err != nil {
		return err
	}
	if s.settings.Classes[ask.Class].Effect != balance.Safe {
		return badRequest("class", "%q is not safe to repeat; only reads are streamed", req.Class)
	}
	ctx, cancel := context.WithCancel(out.Context())
	defer cancel()
	c.ctx, c.opened = ctx, make(chan opening, 1)
	began := time.Now()
	var rows uint64
	to := newPaced(out, s.settings.StreamStall)
	sent := false
	defer func() {
		if !sent {
			close(to.chunks)
		}
	}()
	a, err := s.admitted(ctx, req, ask, c, func(o *opening, row *pb.Row, gone func()) error {
		if o != nil {
			return to.send(&pb.ExecuteChunk{Part: &pb.ExecuteChunk_Columns_{Columns: &pb.ExecuteChunk_Columns{
				Columns: columnsOf(o.stream.cols), Served: servedOf(&o.answer)}}}, nil)
		}
		rows++
		return to.send(&pb.ExecuteChunk{Part: &pb.ExecuteChunk_Row{Row: row}}, gone)
	})
	s.metrics.answered(req.Class, a, err, time.Since(began))
	if err != nil {
		return err
	}
	st := a.Payload.(*stream)
	if st.fault != nil {
		return sqlStatus(st.fault)
	}
	if err := to.send(&pb.ExecuteChunk{Part: &pb.ExecuteChunk_End_{End: &pb.ExecuteChunk_End{
		CommandTag: st.done, Token: s.keys.Load().Sign(a.Token, s.scope(req)), Holds: a.Holds.String(), Rows: rows}}}, nil); err != nil {
		return err
	}
	sent = true
	return to.end()
}

// admitted lets a call past the gate and awaits its final answer. An error is the status to return.
func (s *service) admitted(ctx context.Context, req *pb.ExecuteRequest, ask driver.Ask, c *call, pass passing) (driver.Answer, error) {
	t, refusal := s.loop.front.arrive(ctx, req, ask.Class)
	if refusal != nil {
		return *refusal, statusOf(refusal)
	}
	a, err := s.await(ctx, ask, c, pass)
	s.loop.front.leave(t, &a, err)
	return a, err
}

// await hands a call to the loop and waits for its final answer, passing a streamed one on as it comes. An
// error is the status to return.
func (s *service) await(ctx context.Context, ask driver.Ask, c *call, pass passing) (driver.Answer, error) {
	id, ok := s.loop.calls.Add(c)
	if !ok {
		a := driver.Answer{Status: driver.Refused, Cause: driver.CauseStopping}
		return a, statusOf(&a)
	}
	s.loop.inbox.Put(driver.Event{Kind: driver.EventRequest, Request: id, Ask: ask})
	var rows chan aheadRow
	var full chan struct{}
	// The loop answers in time, unless it is late itself. Then the answer is given here, and the loop sends nothing for
	// a call that is no longer in its table.
	overdue := time.NewTimer(ask.Deadline - s.settings.AnswerMargin/4 - s.loop.now())
	defer overdue.Stop()
	leave := func(err error) (driver.Answer, error) {
		s.loop.calls.Drop(id)
		s.loop.inbox.Put(driver.Event{Kind: driver.EventLeft, Request: id})
		return driver.Answer{}, err
	}
	for {
		select {
		case o := <-c.opened:
			rows, full, c.from = o.stream.rowsCh, o.stream.full, o.stream
			if err := pass(&o, nil, nil); err != nil {
				return leave(err)
			}
		case row := <-rows:
			if err := c.take(&row, pass); err != nil {
				return leave(err)
			}
		case <-full:
			return leave(s.noRoom("other streams' long rows take up admission answer-bytes; come back"))
		case a := <-c.final:
			return a, s.finish(c, &a, rows, pass)
		case <-overdue.C:
			if rows != nil {
				continue // it has begun, and belongs to the client
			}
			a := s.overdue(ask.Class)
			leave(nil)
			return a, statusOf(&a)
		case <-ctx.Done():
			return leave(status.FromContextError(ctx.Err()).Err())
		}
	}
}

// noRoom refuses a read whose answer there is no memory for.
func (s *service) noRoom(why string) error {
	again := s.settings.MaxRetryAfter/4 + rand.N(s.settings.MaxRetryAfter/2+1)
	return detailed(codes.ResourceExhausted, "refused: "+why, info(reasonRefused, nil), &errdetails.RetryInfo{RetryDelay: durationpb.New(again)})
}

// overdue is the answer to a call that the loop has not answered: what is safe to repeat is refused.
func (s *service) overdue(class int) driver.Answer {
	if s.settings.Classes[class].Effect == balance.Safe {
		return driver.Answer{Status: driver.Refused, Cause: driver.CauseLate, RetryAfter: s.settings.MaxRetryAfter / 2}
	}
	return driver.Answer{Status: driver.Failed, Cause: driver.CauseLate}
}

// finish passes on what a streamed answer still holds; its end was told after its last row.
func (s *service) finish(c *call, a *driver.Answer, rows chan aheadRow, pass passing) error {
	if c.ctx == nil || a.Status != driver.Served {
		return statusOf(a)
	}
	select {
	case o := <-c.opened:
		rows, c.from = o.stream.rowsCh, o.stream
		if err := pass(&o, nil, nil); err != nil {
			return err
		}
	default:
	}
	for rows != nil {
		select {
		case row := <-rows:
			if err := c.take(&row, pass); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// prepare checks a request and turns it into what engine and connection need.
func (s *service) prepare(ctx context.Context, req *pb.ExecuteRequest) (driver.Ask, *call, error) {
	class := slices.IndexFunc(s.settings.Classes, func(c settings.Class) bool { return c.Name == req.Class })
	if class < 0 {
		return driver.Ask{}, nil, badRequest("class", "%q is not configured; known: %s", req.Class, s.classNames())
	}
	ask := driver.Ask{Class: class, Slice: req.Slice, Session: req.Session}
	var err error
	if ask.Token, ask.Lost, err = s.takeToken(req.Token, s.scope(req)); err != nil {
		return ask, nil, err
	}
	c := &call{most: s.settings.MaxResult, final: make(chan driver.Answer, 1)}
	if c.st, err = s.statement(req, &s.settings.Classes[class]); err != nil {
		return ask, nil, err
	}
	ask.Deadline, err = s.deadline(ctx, req, &s.settings.Classes[class])
	return ask, c, err
}

func (s *service) classNames() string {
	var names []string
	for _, c := range s.settings.Classes {
		names = append(names, c.Name)
	}
	return strings.Join(names, ", ")
}

// takeToken reads the token of a request, or several that a carrier put together. lost tells that one was lost
// on the way.
func (s *service) takeToken(text, scope string) (t token.Token, lost bool, err error) {
	t, lost, err = s.keys.Load().VerifyAll(text, scope)
	if err != nil {
		return t, lost, badRequest("token", "%s", strings.TrimPrefix(err.Error(), "token: "))
	}
	return t, lost, nil
}

func (s *service) statement(req *pb.ExecuteRequest, class *settings.Class) (statement, error) {
	switch {
	case req.Slice == "":
		return statement{}, badRequest("slice", "is empty")
	case strings.TrimSpace(req.Statement) == "" || !plainText(req.Statement):
		return statement{}, badRequest("statement", "is empty or holds a zero byte")
	case class.Effect == balance.Keyed && req.IdempotencyKey == "":
		return statement{}, badRequest("idempotency_key", "class %q is keyed and wants one", class.Name)
	case !plainText(req.IdempotencyKey):
		return statement{}, badRequest("idempotency_key", "holds a zero byte")
	case len(req.Parameters) > 65534:
		return statement{}, badRequest("parameters", "there are %d, 65534 at most", len(req.Parameters))
	}
	st := statement{sql: req.Statement}
	for i, p := range req.Parameters {
		oid, text, ok := parameter(p)
		if !ok {
			return st, badRequest("parameters", "$%d holds a zero byte; send it as bytes", i+1)
		}
		st.types, st.values = append(st.types, oid), append(st.values, text)
	}
	if class.Effect == balance.Keyed {
		st.types, st.values = append(st.types, pgwire.OIDText), append(st.values, []byte(req.IdempotencyKey))
	}
	return st, nil
}

// deadline is when the client gives up: by its call's deadline, its wish, or the class's.
func (s *service) deadline(ctx context.Context, req *pb.ExecuteRequest, class *settings.Class) (time.Duration, error) {
	wait := class.Deadline
	if at, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(at))
	}
	if req.Timeout != nil {
		if err := req.Timeout.CheckValid(); err != nil || req.Timeout.AsDuration() <= 0 {
			return 0, badRequest("timeout", "is no time above zero")
		}
		wait = min(wait, req.Timeout.AsDuration())
	}
	return s.loop.now() + wait, nil
}

// validatorOf names what an answer was made of: slice, class, statement, parameters and place. Equal validators
// stand for equal answers as far as the driver can tell; it is safe as an ETag.
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
	v := &pb.Served{Node: a.Node, Hall: a.Hall, Attempts: uint32(a.Attempts)}
	if a.Facts.Known {
		v.Role, v.Timeline, v.Lsn = pb.Role_ROLE_PRIMARY, a.Facts.Position.Timeline, a.Facts.Position.LSN
		if a.Facts.Replica {
			v.Role = pb.Role_ROLE_REPLICA
		}
	}
	return v
}
