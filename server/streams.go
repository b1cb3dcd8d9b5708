package server

import (
	"context"
	"strings"
	"sync/atomic"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "umberladder/proto/umberladder/v1"
	"umberladder/settings"
)

// streamBytes is the approximate memory that gRPC uses for each open call or watch, goroutine included, with 50,000 of
// them open.
const streamBytes = 12 << 10

// streams bounds the number of open calls and watches, before gRPC allocates memory for them. Watches may last for
// days; they get half of the limit at most, so that they can't block calls.
type streams struct {
	limit      int64 // 0 for no limit
	retryAfter *durationpb.Duration
	open       atomic.Int64
	watches    atomic.Int64
	refused    atomic.Int64
	incoming   *incoming
}

// newStreams uses the limit of the settings or, if that is 0, as many streams as fit in three eighths of the memory limit.
func newStreams(s *settings.Settings) *streams {
	limit := int64(s.Streams)
	if limit == 0 {
		limit = int64(s.Memory) * 3 / 8 / streamBytes
	}
	return &streams{limit: limit, retryAfter: durationpb.New(s.MaxRetryAfter), incoming: newIncoming(s.Memory)}
}

func (s *streams) options() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.InTapHandle(s.tap), grpc.UnaryInterceptor(s.unary), grpc.StreamInterceptor(s.stream)}
}

// isCall reports whether a method belongs to the driver's service. Calls of other services, such as health watches,
// count as watches.
func isCall(method string) bool {
	return strings.HasPrefix(method, "/"+pb.Driver_ServiceDesc.ServiceName+"/")
}

func (s *streams) tap(ctx context.Context, call *tap.Info) (context.Context, error) {
	if s.limit > 0 && (s.open.Load() >= s.limit || !isCall(call.FullMethodName) && s.watches.Load() >= s.limit/2) {
		return ctx, s.refuse("the limit of open calls and watches is reached (admission streams)")
	}
	ctx, ok := s.incoming.begin(ctx)
	if !ok {
		return ctx, s.refuse("too many calls have not sent their request yet")
	}
	return ctx, nil
}

// refuse returns the refusal of a call that has not begun.
func (s *streams) refuse(why string) error {
	s.refused.Add(1)
	return detailed(codes.ResourceExhausted, "refused: "+why, info(reasonRefused, nil), &errdetails.RetryInfo{RetryDelay: s.retryAfter})
}

func (s *streams) enter(method string) (leave func()) {
	s.open.Add(1)
	if isCall(method) {
		return func() { s.open.Add(-1) }
	}
	s.watches.Add(1)
	return func() {
		s.watches.Add(-1)
		s.open.Add(-1)
	}
}

func (s *streams) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	s.incoming.complete(ctx)
	defer s.enter(info.FullMethod)()
	return handler(ctx, req)
}

func (s *streams) stream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	defer s.enter(info.FullMethod)()
	return handler(srv, incomingStream{ss, s.incoming})
}
