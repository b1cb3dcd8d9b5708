package propagation

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"umberladder/position"
	"umberladder/token"
)

func tok(slice string, lsn uint64) string {
	return token.Token{}.With(slice, position.Position{Timeline: 1, LSN: lsn}).String()
}

// TestHTTPChain: browser, front end and back end. The back end receives the tokens of the browser and those that the
// front end collected before the call; the browser receives the union with the back end's token.
func TestHTTPChain(t *testing.T) {
	var received token.Set
	back := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = FromContext(r.Context()).Tokens()
		FromContext(r.Context()).Add(tok("comments", 7))
		io.WriteString(w, "ok")
	}), false))
	defer back.Close()
	client := &http.Client{Transport: &Transport{}}
	front := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).Add(tok("pages", 2))
		req, _ := http.NewRequestWithContext(r.Context(), "GET", back.URL, nil)
		req.Header.Set("Baggage", "trace=1")
		res, err := client.Do(req)
		if err != nil {
			t.Error(err)
			return
		}
		res.Body.Close()
	}), true))
	defer front.Close()
	for name, put := range map[string]func(r *http.Request){
		"header":  func(r *http.Request) { r.Header.Set(Header, tok("news", 3)) },
		"cookie":  func(r *http.Request) { r.AddCookie(&http.Cookie{Name: Cookie, Value: tok("news", 3)}) },
		"baggage": func(r *http.Request) { r.Header.Set("Baggage", "a=b, "+BaggageKey+"="+tok("news", 3)+";p=1") },
	} {
		req, _ := http.NewRequest("GET", front.URL, nil)
		put(req)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		want := token.ParseSet(tok("news", 3), tok("pages", 2))
		if received.String() != want.String() {
			t.Errorf("%s: the back end received %v, want %v", name, received, want)
		}
		want = want.Add(tok("comments", 7))
		if got := res.Header.Get(Header); got != want.String() {
			t.Errorf("%s: the browser received %q", name, got)
		}
		if c := res.Cookies(); len(c) != 1 || c[0].Value != want.String() {
			t.Errorf("%s: cookies %v", name, c)
		}
	}
}

// TestRequestTokens: duplicate, listed, overlong and malformed values. A value that is not a token counts as a lost one,
// never as absent.
func TestRequestTokens(t *testing.T) {
	long := strings.Repeat(tok("news", 3)+".", 6000)
	for name, c := range map[string]struct {
		set   func(r *http.Request)
		lost  bool
		texts int
	}{
		"nothing":           {func(*http.Request) {}, false, 0},
		"duplicate":         {func(r *http.Request) { r.Header.Add(Header, tok("a", 1)); r.Header.Add(Header, tok("a", 1)) }, false, 1},
		"a list":            {func(r *http.Request) { r.Header.Set(Header, tok("a", 1)+", "+tok("b", 1)) }, false, 2},
		"malformed":         {func(r *http.Request) { r.Header.Set(Header, "%%%") }, true, 1},
		"truncated cookie":  {func(r *http.Request) { r.AddCookie(&http.Cookie{Name: Cookie, Value: tok("a", 1)[:7]}) }, true, 1},
		"malformed baggage": {func(r *http.Request) { r.Header.Set("Baggage", BaggageKey+"=%zz") }, true, 1},
		"overlong":          {func(r *http.Request) { r.Header.Set(Header, long) }, true, 1},
	} {
		r := httptest.NewRequest("GET", "/", nil)
		c.set(r)
		_, col := NewContext(r.Context(), fromRequest(r)...)
		if _, complete := col.Tokens().JoinUnverified(); complete == c.lost || len(col.Tokens().Texts()) != c.texts {
			t.Errorf("%s: %q, complete %v", name, col.Tokens(), complete)
		}
	}
}

// health is a service that observes one token in each call.
type health struct {
	grpc_health_v1.UnimplementedHealthServer
	received string
	adds     string
}

func (h *health) Check(ctx context.Context, _ *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	h.received = FromContext(ctx).Tokens().String()
	FromContext(ctx).Add(h.adds)
	return &grpc_health_v1.HealthCheckResponse{}, nil
}

func (h *health) Watch(_ *grpc_health_v1.HealthCheckRequest, s grpc_health_v1.Health_WatchServer) error {
	FromContext(s.Context()).Add(h.adds)
	return s.Send(&grpc_health_v1.HealthCheckResponse{})
}

func TestGRPC(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &health{adds: tok("comments", 4)}
	gs := grpc.NewServer(grpc.ChainUnaryInterceptor(UnaryServer()), grpc.ChainStreamInterceptor(StreamServer()))
	grpc_health_v1.RegisterHealthServer(gs, h)
	go gs.Serve(l)
	defer gs.Stop()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithUnaryInterceptor(UnaryClient()), grpc.WithStreamInterceptor(StreamClient()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	client := grpc_health_v1.NewHealthClient(conn)
	ctx, c := NewContext(metadata.AppendToOutgoingContext(t.Context(), "other", "kept"), tok("news", 3))
	if _, err := client.Check(ctx, &grpc_health_v1.HealthCheckRequest{}); err != nil {
		t.Fatal(err)
	}
	want := token.ParseSet(tok("news", 3), tok("comments", 4)).String()
	if h.received != tok("news", 3) || c.Tokens().String() != want {
		t.Errorf("received %q, collected %q", h.received, c.Tokens())
	}
	h.adds = tok("pages", 9)
	s, err := client.Watch(ctx, &grpc_health_v1.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = s.Recv()
	}
	if !strings.Contains(c.Tokens().String(), tok("pages", 9)) {
		t.Errorf("the stream's token is not among %q", c.Tokens())
	}
}

// TestLostTokenIsSettled: a driver's answer covers a lost token among those sent with the call. The caller drops the lost
// token only if its own tokens arrived, not if a hop in between dropped them.
func TestLostTokenIsSettled(t *testing.T) {
	for _, drops := range []bool{false, true} {
		back := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := FromContext(r.Context())
			c.Replace(c.Tokens(), token.Token{}.WithPresent().With("news", position.Position{Timeline: 1, LSN: 9}).String())
		}), false))
		ctx, c := NewContext(t.Context(), tok("news", 3), token.Unknown)
		base := http.RoundTripper(http.DefaultTransport)
		if drops {
			base = droppingHop{}
		}
		req, _ := http.NewRequestWithContext(ctx, "GET", back.URL, nil)
		res, err := (&http.Client{Transport: &Transport{Base: base}}).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		back.Close()
		if c.Tokens().HasUnknown() != drops {
			t.Errorf("tokens dropped %v: collected %q", drops, c.Tokens())
		}
	}
}

// droppingHop is a hop that drops tokens.
type droppingHop struct{}

func (droppingHop) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Del(Header)
	r.Header.Del("Baggage")
	return http.DefaultTransport.RoundTrip(r)
}

// FuzzRequestTokens parses arbitrary cookies, headers and baggage. A header that is not empty must count as at least one
// token, and tokens sent on in baggage must be parsed as the same tokens.
func FuzzRequestTokens(f *testing.F) {
	f.Add("a.b", "AgAB", "x=1,umberladder.token=%41;p=q")
	f.Add("!", "", "umberladder.token=%zz")
	f.Fuzz(func(t *testing.T, cookie, header, baggage string) {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header[Header], r.Header["Baggage"] = []string{header}, []string{baggage}
		r.Header["Cookie"] = []string{Cookie + "=" + cookie}
		_, c := NewContext(t.Context(), fromRequest(r)...)
		tokens := c.Tokens()
		if len(tokens.Texts()) > token.MaxSetSize {
			t.Fatalf("%d texts", len(tokens.Texts()))
		}
		if strings.Trim(header, "., ") != "" && tokens.IsEmpty() {
			t.Fatalf("header %q counts as no token", header)
		}
		resent := fromBaggage([]string{withBaggage([]string{baggage}, tokens.String())})
		if got := token.ParseSet(resent...); got.String() != tokens.String() {
			t.Fatalf("%q was sent on as %q", tokens, got)
		}
	})
}

// failingDriver is a driver that refuses or fails a number of calls, with the error details that drivers send, and
// records the attempt numbers.
type failingDriver struct {
	grpc_health_v1.UnimplementedHealthServer
	mu       sync.Mutex
	failures int
	pushback string
	numbers  []string
	clients  []string
	refused  bool // the reason is REFUSED, else FAILED
}

func (r *failingDriver) Check(ctx context.Context, _ *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	md, _ := metadata.FromIncomingContext(ctx)
	r.numbers, r.clients = append(r.numbers, md.Get(AttemptKey)...), append(r.clients, md.Get(ClientKey)...)
	if len(r.numbers) > r.failures {
		return &grpc_health_v1.HealthCheckResponse{}, nil
	}
	if r.pushback != "" {
		grpc.SetTrailer(ctx, metadata.Pairs(PushbackKey, r.pushback))
	}
	reason := "FAILED"
	if r.refused {
		reason = "REFUSED"
	}
	st, err := status.New(codes.Unavailable, "no").WithDetails(&errdetails.ErrorInfo{Domain: "umberladder", Reason: reason},
		&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Millisecond)})
	if err != nil {
		return nil, err
	}
	return nil, st.Err()
}

// TestRetrier: refused calls are repeated with attempt numbers and within the budget. Calls that failed, and calls that
// the driver forbids to repeat, are not.
func TestRetrier(t *testing.T) {
	for _, c := range []struct {
		name    string
		server  *failingDriver
		retries *Retrier
		in      string // attempt number of the call being served
		numbers string
		served  bool
	}{
		{"refused twice", &failingDriver{failures: 2, refused: true}, &Retrier{MaxRetries: 3, BudgetBurst: 5, ClientName: "app"}, "", "0 1 2", true},
		{"while serving a further attempt", &failingDriver{failures: 1, refused: true}, &Retrier{MaxRetries: 3, BudgetBurst: 5}, "2", "2 3", true},
		{"more often than MaxRetries", &failingDriver{failures: 9, refused: true}, &Retrier{MaxRetries: 2, BudgetBurst: 5}, "", "0 1 2", false},
		{"budget spent", &failingDriver{failures: 9, refused: true}, &Retrier{MaxRetries: 9, BudgetBurst: 2}, "", "0 1 2", false},
		{"failed", &failingDriver{failures: 1}, &Retrier{MaxRetries: 3, BudgetBurst: 5}, "", "0", false},
		{"forbidden by the driver", &failingDriver{failures: 1, refused: true, pushback: "-1"}, &Retrier{MaxRetries: 3, BudgetBurst: 5}, "", "0", false},
		{"zero Retrier", &failingDriver{failures: 1, refused: true}, &Retrier{}, "", "0", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := grpc.NewServer()
			grpc_health_v1.RegisterHealthServer(srv, c.server)
			go srv.Serve(l)
			defer srv.Stop()
			conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithUnaryInterceptor(c.retries.UnaryClient()))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			ctx := t.Context()
			if c.in != "" {
				ctx = metadata.NewIncomingContext(ctx, metadata.Pairs(AttemptKey, c.in))
			}
			_, err = grpc_health_v1.NewHealthClient(conn).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
			if got := strings.Join(c.server.numbers, " "); got != c.numbers || (err == nil) != c.served {
				t.Errorf("attempts %s, %v; want %s", got, err, c.numbers)
			}
			if c.retries.ClientName != "" && !slices.Equal(c.server.clients, []string{"app", "app", "app"}) {
				t.Errorf("clients %v", c.server.clients)
			}
		})
	}
}

// TestRetryBudget: over many refused calls, further attempts stay at the budget ratio of the first attempts.
func TestRetryBudget(t *testing.T) {
	r := &Retrier{MaxRetries: 5, BudgetRatio: 0.1, BudgetBurst: 3}
	invoke := func(context.Context, string, any, any, *grpc.ClientConn, ...grpc.CallOption) error {
		st, _ := status.New(codes.Unavailable, "no").WithDetails(&errdetails.ErrorInfo{Domain: "umberladder", Reason: "REFUSED"},
			&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Microsecond)})
		return st.Err()
	}
	for range 1000 {
		r.UnaryClient()(t.Context(), "m", nil, nil, nil, invoke)
	}
	if first, further := r.Counts(); first != 1000 || further < 95 || further > 104 {
		t.Errorf("%d first and %d further attempts", first, further)
	}
}

// refusedWithDelay is the error of a refused call whose driver advises a delay.
func refusedWithDelay(t *testing.T, delay time.Duration) error {
	st, err := status.New(codes.Unavailable, "no").WithDetails(&errdetails.ErrorInfo{Domain: "umberladder", Reason: "REFUSED"},
		&errdetails.RetryInfo{RetryDelay: durationpb.New(delay)})
	if err != nil {
		t.Fatal(err)
	}
	return st.Err()
}

// TestNoDelayWithoutBudget: a refused call for which there is no budget returns at once. It used to wait for the delay
// first.
func TestNoDelayWithoutBudget(t *testing.T) {
	r := &Retrier{MaxRetries: 1}
	refused := refusedWithDelay(t, time.Hour)
	done := make(chan error, 1)
	go func() {
		done <- r.UnaryClient()(t.Context(), "m", nil, nil, nil, func(context.Context, string, any, any, *grpc.ClientConn, ...grpc.CallOption) error {
			return refused
		})
	}()
	select {
	case err := <-done:
		if err != refused {
			t.Errorf("returned %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it waits though there is no budget for another attempt")
	}
}

// TestBudgetOfAnAttemptNotMade: a call whose context ends during the delay uses no budget.
func TestBudgetOfAnAttemptNotMade(t *testing.T) {
	r := &Retrier{MaxRetries: 1, BudgetBurst: 1}
	ctx, cancel := context.WithCancel(t.Context())
	refused := refusedWithDelay(t, time.Hour)
	r.UnaryClient()(ctx, "m", nil, nil, nil, func(context.Context, string, any, any, *grpc.ClientConn, ...grpc.CallOption) error {
		cancel()
		return refused
	})
	if _, further := r.Counts(); further != 0 || !r.takeBudget() {
		t.Errorf("%d further attempts are counted, and the budget is spent", further)
	}
}

// TestPushbackIsTheDelay: the delay in the trailers replaces that of the error.
func TestPushbackIsTheDelay(t *testing.T) {
	r := &Retrier{MaxRetries: 1, BudgetBurst: 1}
	delay, ok := r.delay(refusedWithDelay(t, time.Millisecond), metadata.Pairs(PushbackKey, "250"), 0)
	if want := 250 * time.Millisecond; !ok || delay != want {
		t.Errorf("delay %v, %v; want %v", delay, ok, want)
	}
}
