package load

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	pb "umberladder/proto/umberladder/v1"
)

// fakeDriver is a driver that answers after a delay set by the test.
type fakeDriver struct {
	pb.UnimplementedDriverServer
	calls  atomic.Int64
	tokens atomic.Int64                // calls with a token
	delay  func(n int64) time.Duration // of the nth call, from 1
}

func (f *fakeDriver) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	if req.Token != "" {
		f.tokens.Add(1)
	}
	select {
	case <-time.After(f.delay(f.calls.Add(1))):
		return &pb.ExecuteResponse{Token: "t"}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func serve(t *testing.T, f *fakeDriver) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	pb.RegisterDriverServer(s, f)
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func plan(addr string) *Plan {
	p := Defaults()
	p.Drivers, p.Slices, p.Sessions, p.WarmUp = []string{addr}, []string{"s"}, 5, 0
	p.Classes = []Class{{Name: "read", Share: 1, Statement: "select", Timeout: 10 * time.Second, Parameters: []Parameter{{Kind: ParameterKey}}}}
	return p
}

// TestNoCoordinatedOmission: a driver delays all requests within one second to its end. The open loop measures every
// request due in that second as slow, the closed loop only the calls that were in flight.
func TestNoCoordinatedOmission(t *testing.T) {
	slow := func(callers int) (n int64) {
		begin := time.Now()
		f := &fakeDriver{delay: func(int64) time.Duration {
			if at := time.Since(begin); at > 300*time.Millisecond && at < 1300*time.Millisecond {
				return 1300*time.Millisecond - at
			}
			return time.Millisecond
		}}
		p := plan(serve(t, f))
		p.Rate, p.Callers, p.Duration = 200, callers, 1800*time.Millisecond
		r, err := Run(t.Context(), p, nil)
		if err != nil {
			t.Fatal(err)
		}
		if r.Total.Counts[Served] < 50 || f.tokens.Load() == 0 {
			t.Fatalf("%d served, %d with a session's token", r.Total.Counts[Served], f.tokens.Load())
		}
		for _, b := range r.Total.Latency[Served].Distribution() {
			if b.From > 200_000 {
				n += b.Count
			}
		}
		return n
	}
	open, closed := slow(0), slow(2)
	if closed > 4 || open < 10*max(1, closed) {
		t.Errorf("the open loop measured %d slow answers, the closed loop of two callers %d", open, closed)
	}
}

// TestDriverThatStopsAnswering: the run ends and reports outcomes when the driver stops answering, when the plan's maximum
// of calls is in flight, and when no driver listens.
func TestDriverThatStopsAnswering(t *testing.T) {
	p := plan(serve(t, &fakeDriver{delay: func(n int64) time.Duration {
		if n > 20 {
			return time.Hour
		}
		return 0
	}}))
	p.Rate, p.Duration, p.MaxOpen = 300, 700*time.Millisecond, 40
	p.Classes[0].Timeout = 400 * time.Millisecond
	p.Goals = []Goal{{Text: "g", Measure: "served", Class: All, Bound: 0.99}}
	r, err := Run(t.Context(), p, nil)
	if err != nil {
		t.Fatal(err)
	}
	if c := r.Total.Counts; c[Served] != 20 || c[Unanswered] < 40 || c[NotSent] == 0 || r.Passed() || r.Goals[0].Met {
		t.Errorf("%v %+v", c, r.Goals)
	}
	p.Drivers, p.Duration = []string{"127.0.0.1:1"}, 200*time.Millisecond
	if r, err = Run(t.Context(), p, nil); err != nil || r.Total.Counts[Unanswered] == 0 || r.Total.Counts[Served] > 0 {
		t.Errorf("without a driver: %v, %v", r, err)
	}
}

// TestVoid: a run whose load tool sent requests late is reported as void and does not pass.
func TestVoid(t *testing.T) {
	r := &Result{Classes: map[string]*Tally{}, Total: newTally(), SendDelay: newTally().Latency[0], Elapsed: time.Second}
	r.Total.add(Served, time.Millisecond, "")
	r.SendDelay.RecordValue(1000)
	if !r.Passed() {
		t.Error("a run without send delay does not pass")
	}
	r.SendDelay.RecordValue(500_000)
	var out strings.Builder
	if r.Write(&out); r.Passed() || !strings.Contains(out.String(), "void") {
		t.Errorf("sent late by half a second: %s", out.String())
	}
}

func TestParse(t *testing.T) {
	const good = "driver 127.0.0.1:1 127.0.0.1:2\nslice a b\nrate 50\nfor 2s\nshape burst 3 1s 25%\nclass read {\n share 60%\n statement \"select $1\"\n parameter key\n}\nclass write {\n share 40%\n statement x\n parameter int 5\n keyed\n}\nrequire \"p99(read) < 50ms\"\n"
	p, err := Parse("p", good)
	if err != nil || len(p.Drivers) != 2 || p.Classes[1].Parameters[0].Int != 5 || !p.Classes[1].IdempotencyKey || p.Shape.Fraction != 0.25 || len(p.Goals) != 1 || p.Check() != nil {
		t.Fatalf("%+v, %v", p, err)
	}
	if a, b := p.rateAt(100*time.Millisecond), p.rateAt(300*time.Millisecond); a != 150 || b != 50 {
		t.Errorf("rate %g in the burst, %g outside it", a, b)
	}
	for _, c := range []struct{ from, to, want string }{
		{"rate 50", "rate fast", `p:3:6: rate: "fast" is no number`},
		{"rate 50", "rat 50", `p:3:1: unknown directive "rat"; did you mean "rate"?`},
		{"127.0.0.1:2", "nowhere", `p:1:20: driver: "nowhere" is not of the form host:port`},
		{"share 60%", "share 50%", "shares add up to 90.0%"},
		{"p99(read)", "p99(reed)", `class "reed" is not in the plan`},
		{"< 50ms", "< 50", `p:17:9: require: "p99(read) < 50": the bound of p99 must be a duration`},
		{"parameter key", "parameter clef", "p:9:12: parameter is one of"},
		{"class write", "class read", "p:11:7: class read is defined twice"},
		{"burst 3 1s 25%", "burst 3", "p:5:7: shape is one of"},
		{"\n}\nrequire", "\nrequire", "this block is never closed"},
	} {
		if _, err := Parse("p", strings.Replace(good, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v", c.to, err)
		}
	}
}

func TestGoals(t *testing.T) {
	r := &Result{Classes: map[string]*Tally{"read": newTally(), "write": newTally()}, Total: newTally(), Elapsed: 10 * time.Second}
	for i := range 100 {
		for _, tally := range []*Tally{r.Total, r.Classes["read"]} {
			tally.add(map[bool]Outcome{true: Served, false: Refused}[i < 90], time.Duration(i+1)*time.Millisecond, "")
		}
	}
	for text, want := range map[string]bool{"p50(read) < 46ms": true, "p50(read) < 44ms": false, "max(all) > 89ms": true, "served(all) > 89%": true, "served(all) > 91%": false,
		"refused(read) < 11%": true, "failed(read) < 1%": true, "rate(all) > 8.9": true, "rate(all) > 9.1": false, "p99(write) < 1h": false} {
		g, err := ParseGoal(text)
		if err != nil {
			t.Fatal(err)
		}
		if got, met := g.Evaluate(r); met != want {
			t.Errorf("%s: %s, met %v", text, got, met)
		}
	}
	for _, text := range []string{"p99(read)", "p99(read) < fast", "served(all) > 0.9", "p101(all) < 1s", "speed(all) > 1"} {
		if _, err := ParseGoal(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
