package propagation

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// outgoing sets the collected tokens in the metadata of a call and replaces those that the metadata has.
func outgoing(ctx context.Context) context.Context {
	tokens := FromContext(ctx).Tokens()
	if tokens.IsEmpty() {
		return ctx
	}
	md, ok := metadata.FromOutgoingContext(ctx)
	if !ok {
		md = metadata.MD{}
	}
	md = md.Copy()
	md.Set(MetadataKey, tokens.String())
	return metadata.NewOutgoingContext(ctx, md)
}

// UnaryClient returns an interceptor for unary calls. It sends the tokens of the context's Collector and adds those of
// the answer to it, also if the call failed. It returns the error of the call.
func UnaryClient() grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		c := FromContext(ctx)
		sent := c.Tokens()
		ctx = outgoing(ctx)
		var header, trailer metadata.MD
		err := invoke(ctx, method, req, reply, cc, append(opts, grpc.Header(&header), grpc.Trailer(&trailer))...)
		c.AddAnswer(append(header.Get(MetadataKey), trailer.Get(MetadataKey)...)...)
		c.replaceLost(sent, trailer.Get(SettledKey), trailer.Get(MetadataKey)...)
		return err
	}
}

// StreamClient returns an interceptor for streams. It sends the tokens of the context's Collector when the stream is
// opened and adds those of the answer once RecvMsg returns an error, io.EOF included.
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
		if header, e := s.Header(); e == nil {
			s.collector.AddAnswer(header.Get(MetadataKey)...)
		}
		s.collector.AddAnswer(s.Trailer().Get(MetadataKey)...)
	}
	return err
}

// incoming returns a context with a Collector of the tokens in the incoming metadata.
func incoming(ctx context.Context) (context.Context, *Collector) {
	md, _ := metadata.FromIncomingContext(ctx)
	return NewContext(ctx, md.Get(MetadataKey)...)
}

// UnaryServer returns an interceptor that gives the handler a context with a Collector and sends the collected tokens in
// the trailer. It sends them also if the handler returns an error, as the service may have observed data before.
func UnaryServer() grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		ctx, c := incoming(ctx)
		res, err := handle(ctx, req)
		if tokens := c.Tokens(); !tokens.IsEmpty() {
			grpc.SetTrailer(ctx, metadata.Pairs(MetadataKey, tokens.String(), SettledKey, c.settledDigest()))
		}
		return res, err
	}
}

// StreamServer returns an interceptor that does for streams what UnaryServer does for unary calls, except that it sends no
// digest of lost tokens.
func StreamServer() grpc.StreamServerInterceptor {
	return func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
		ctx, c := incoming(ss.Context())
		err := handle(srv, &serverStream{ss, ctx})
		if tokens := c.Tokens(); !tokens.IsEmpty() {
			ss.SetTrailer(metadata.Pairs(MetadataKey, tokens.String()))
		}
		return err
	}
}

type serverStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s *serverStream) Context() context.Context { return s.ctx }
