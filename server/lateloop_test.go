package server

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"umberladder/driver"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/settings"
	"umberladder/standin"
)

// TestLateLoop: while the test blocks the loop, every call still gets one answer before its deadline, refused where
// that is harmless, and nothing of it reaches a node afterwards.
func TestLateLoop(t *testing.T) {
	trace := standin.NewTrace()
	g := standin.NewGroup("news", time.Second, trace)
	defer g.Close()
	n, err := g.AddNode("db0", "h", standin.Config{Cores: 4, MaxConns: 50, ColdFrom: 1, RampTime: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	s, err := settings.Parse("test", "hall h\nhere h\nlisten grpc 127.0.0.1:0\nclass r {\n effect safe\n need any\n target 100ms\n deadline 2s\n}\n"+
		"class w {\n effect unsafe\n need write\n target 100ms\n deadline 2s\n}\nnode db0 "+n.Addr()+" slice=news hall=h\n")
	if err != nil {
		t.Fatal(err)
	}
	srv, err := New(s, zap.NewNop(), 1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx) }()
	defer func() {
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	cc, err := grpc.NewClient("passthrough:///"+srv.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer cc.Close()
	release, held := make(chan struct{}), make(chan struct{})
	go srv.loop.withEngine(t.Context(), func(*driver.Engine) { close(held); <-release })
	<-held
	for class, want := range map[string]string{"r": "REFUSED", "w": "FAILED"} {
		_, err := pb.NewDriverClient(cc).Execute(t.Context(), &pb.ExecuteRequest{Slice: "news", Class: class, Timeout: durationpb.New(300 * time.Millisecond),
			Statement: "insert into kv (key, value) values ($1, $2)", Parameters: []*pb.Value{{Kind: &pb.Value_TextValue{TextValue: "k"}}, {Kind: &pb.Value_TextValue{TextValue: "late"}}}})
		got := ""
		for _, d := range status.Convert(err).Details() {
			if info, ok := d.(*errdetails.ErrorInfo); ok {
				got = info.Reason
			}
		}
		if got != want {
			t.Errorf("class %s: %v, want %s", class, err, want)
		}
	}
	close(release)
	srv.loop.withEngine(t.Context(), func(*driver.Engine) {})
	if n := len(g.Commits()); n > 0 {
		t.Errorf("%d writes ran after their answers", n)
	}
}
