package carry

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// outgoing puts what was collected into a call's metadata, in place of what is there under the key.
func outgoing(ctx context.Context) context.Context {
	bag := FromContext(ctx).Bag()
	if bag.IsEmpty() {
		return ctx
	}
	md, ok := metadata.FromOutgoingContext(ctx)
	if !ok {
		md = metadata.MD{}
	}
	md = md.Copy()
	md.Set(MetadataKey, bag.String())
	return metadata.NewOutgoingContext(ctx, md)
}

// UnaryClient carries tokens with unary calls and collects those of their answers, also of failed ones.
func UnaryClient() grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		c := FromContext(ctx)
		handed := c.Bag()
		ctx = outgoing(ctx)
		var head, tail metadata.MD
		err := invoke(ctx, method, req, reply, cc, append(opts, grpc.Header(&head), grpc.Trailer(&tail))...)
		c.Answered(append(head.Get(MetadataKey), tail.Get(MetadataKey)...)...)
		c.settled(handed, tail.Get(Settled), tail.Get(MetadataKey)...)
		return err
	}
}

// StreamClient does the same for streams; an answer's tokens count once its header or its end came.
func StreamClient() grpc.StreamClientInterceptor {
	return func(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
		c := FromContext(ctx)
		ctx = outgoing(ctx)
		s, err := open(ctx, desc, cc, method, opts...)
		if err != nil {
			return nil, err
		}
		return &clientStream{s, c}, nil
	}
}

type clientStream struct {
	grpc.ClientStream
	collector *Collector
}

func (s *clientStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err != nil {
		if head, e := s.Header(); e == nil {
			s.collector.Answered(head.Get(MetadataKey)...)
		}
		s.collector.Answered(s.Trailer().Get(MetadataKey)...)
	}
	return err
}

// incoming begins to collect with the tokens that came.
func incoming(ctx context.Context) (context.Context, *Collector) {
	md, _ := metadata.FromIncomingContext(ctx)
	return NewContext(ctx, md.Get(MetadataKey)...)
}

// UnaryServer collects while a call is served and hands the union back in the trailer, also with an error: what
// the service saw on the way it has seen.
func UnaryServer() grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		ctx, c := incoming(ctx)
		res, err := handle(ctx, req)
		if bag := c.Bag(); !bag.IsEmpty() {
			grpc.SetTrailer(ctx, metadata.Pairs(MetadataKey, bag.String(), Settled, c.settles()))
		}
		return res, err
	}
}

// StreamServer does the same for streams.
func StreamServer() grpc.StreamServerInterceptor {
	return func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
		ctx, c := incoming(ss.Context())
		err := handle(srv, &serverStream{ss, ctx})
		if bag := c.Bag(); !bag.IsEmpty() {
			ss.SetTrailer(metadata.Pairs(MetadataKey, bag.String()))
		}
		return err
	}
}

type serverStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s *serverStream) Context() context.Context { return s.ctx }
