package server_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"umberladder/lab"
	"umberladder/pgwire"
	"umberladder/position"
	"umberladder/propagation"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/server"
	"umberladder/settings"
	"umberladder/standin"
	"umberladder/token"
)

func newFleet(t *testing.T, spec lab.Spec) *lab.Fleet {
	t.Helper()
	before := goleak.IgnoreCurrent()
	if spec.Node.Cores == 0 {
		spec.Node = lab.SmallNode
	}
	spec.Slices, spec.Members, spec.Drivers = 1, max(spec.Members, 3), max(spec.Drivers, 1)
	f, err := lab.NewFleet(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
		if n := f.Trace.OpenConns(); n != 0 {
			t.Errorf("%d connections left at the stand-ins", n)
		}
		goleak.VerifyNone(t, before)
	})
	return f
}

func text(v string) *pb.Value { return &pb.Value{Kind: &pb.Value_TextValue{TextValue: v}} }

func writeReq(key, value string) *pb.ExecuteRequest {
	return &pb.ExecuteRequest{Slice: "slice0", Class: "write", Statement: "insert into kv (key, value) values ($1, $2)",
		Parameters: []*pb.Value{text(key), text(value)}}
}

func readReq(class, key, tok string) *pb.ExecuteRequest {
	return &pb.ExecuteRequest{Slice: "slice0", Class: class, Token: tok,
		Statement: "select value, lsn from kv where key = $1 and $2 <> ''", Parameters: []*pb.Value{text(key), text("m")}}
}

func execute(t *testing.T, f *lab.Fleet, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return f.Drivers[0].Client().Execute(ctx, req)
}

func must(t *testing.T, f *lab.Fleet, req *pb.ExecuteRequest) *pb.ExecuteResponse {
	t.Helper()
	for try := 0; ; try++ {
		res, err := execute(t, f, req)
		if err == nil {
			return res
		}
		if try == 20 || status.Code(err) != codes.Unavailable {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // refused, so a retry is harmless
	}
}

// TestReadSeesOwnWrite: a read with the token of a write sees the write, whichever node answers.
func TestReadSeesOwnWrite(t *testing.T) {
	f := newFleet(t, lab.Spec{})
	for _, n := range f.Groups[0].Nodes()[1:] {
		n.SlowReplay(1e6) // from here on the replicas replay nothing
	}
	res := must(t, f, writeReq("a", "saved"))
	if res.CommandTag != "INSERT 0 1" || res.Served.Role != pb.Role_ROLE_PRIMARY || res.Token == "" {
		t.Fatalf("%v", res)
	}
	got := must(t, f, readReq("own-read", "a", res.Token))
	if len(got.Rows) != 1 || got.Rows[0].Values[0].GetTextValue() != "saved" || got.Rows[0].Values[1].GetIntValue() == 0 {
		t.Errorf("rows %v", got.Rows)
	}
	if got.Columns[0].Name != "value" || got.Columns[0].TypeName != "text" || got.Columns[1].TypeName != "int8" {
		t.Errorf("columns %v", got.Columns)
	}
}

func TestBadRequestsNameTheField(t *testing.T) {
	f := newFleet(t, lab.Spec{})
	other := token.Token{}.With("olds", position.Position{Timeline: 1, LSN: 5}).String()
	for _, c := range []struct {
		field   string
		code    codes.Code
		message string
		req     *pb.ExecuteRequest
	}{
		{"token", codes.InvalidArgument, "not base64url", readReq("own-read", "a", "!!")},
		{"token", codes.InvalidArgument, "checksum", readReq("own-read", "a", other[:len(other)-3]+"AAA")},
		{"token", codes.InvalidArgument, "names no slice that this driver knows", readReq("own-read", "a", other)},
		{"class", codes.InvalidArgument, "known: article-read", readReq("nonsense", "a", "")},
		{"statement", codes.InvalidArgument, "is empty", &pb.ExecuteRequest{Slice: "slice0", Class: "write"}},
		{"slice", codes.InvalidArgument, "is empty", &pb.ExecuteRequest{Class: "write", Statement: "x"}},
		{"parameters", codes.InvalidArgument, "$1 contains a NUL byte", writeReq("a\x00", "b")},
		{"idempotency_key", codes.InvalidArgument, "is keyed", &pb.ExecuteRequest{Slice: "slice0", Class: "post", Statement: "x"}},
		{"", codes.NotFound, "slice is not in the list", &pb.ExecuteRequest{Slice: "olds", Class: "write", Statement: "x"}},
	} {
		_, err := execute(t, f, c.req)
		st := status.Convert(err)
		if st.Code() != c.code || !strings.Contains(st.Message(), c.message) {
			t.Errorf("%s: %v", c.message, err)
		}
		for _, d := range st.Details() {
			if b, ok := d.(*errdetails.BadRequest); ok && b.FieldViolations[0].Field != c.field {
				t.Errorf("%s: field %q, want %q", c.message, b.FieldViolations[0].Field, c.field)
			}
		}
	}
}

// TestStatementErrors: an error of the statement itself is returned as an answer, and the driver goes on serving.
func TestStatementErrors(t *testing.T) {
	f := newFleet(t, lab.Spec{})
	must(t, f, readReq("desk-check", "a", ""))
	for sql, want := range map[string]struct {
		code    codes.Code
		message string
	}{
		"select 1/0":                    {codes.InvalidArgument, "22012"},
		"begin":                         {codes.InvalidArgument, "left a transaction open"},
		"copy kv from stdin":            {codes.InvalidArgument, "COPY is not supported"},
		"something no node understands": {codes.InvalidArgument, "42601"},
	} {
		_, err := execute(t, f, &pb.ExecuteRequest{Slice: "slice0", Class: "desk-check", Statement: sql})
		if st := status.Convert(err); st.Code() != want.code || !strings.Contains(st.Message(), want.message) {
			t.Errorf("%s: %v", sql, err)
		}
	}
	must(t, f, readReq("desk-check", "a", ""))
}

func TestStreaming(t *testing.T) {
	f := newFleet(t, lab.Spec{ExtraSettings: "pool max-result 64KiB\n"})
	series := func(class string, n int64) *pb.ExecuteRequest {
		return &pb.ExecuteRequest{Slice: "slice0", Class: class, Statement: "select n from generate_series(1, $1) where $2 <> ''",
			Parameters: []*pb.Value{{Kind: &pb.Value_IntValue{IntValue: n}}, text("m")}}
	}
	must(t, f, readReq("stats", "a", ""))
	if _, err := execute(t, f, series("stats", 50000)); status.Code(err) != codes.OutOfRange {
		t.Errorf("result larger than pool max-result: %v", err)
	}
	s, err := f.Drivers[0].Client().ExecuteStream(t.Context(), series("stats", 50000))
	if err != nil {
		t.Fatal(err)
	}
	var last int64
	for {
		chunk, err := s.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if row := chunk.GetRow(); row != nil {
			if n := row.Values[0].GetIntValue(); n != last+1 {
				t.Fatalf("got row %d after row %d", n, last)
			}
			last++
		}
		if end := chunk.GetEnd(); end != nil && end.Rows != 50000 {
			t.Errorf("the end reports %d rows", end.Rows)
		}
	}
	if last != 50000 {
		t.Errorf("%d rows", last)
	}
	ws, err := f.Drivers[0].Client().ExecuteStream(t.Context(), writeReq("a", "b"))
	if err == nil {
		_, err = ws.Recv()
	}
	if status.Code(err) != codes.InvalidArgument {
		t.Errorf("streamed write: %v", err)
	}
	// A client that cancels midway must not leave its connection behind; the fleet's cleanup checks that.
	ctx, cancel := context.WithCancel(t.Context())
	s, err = f.Drivers[0].Client().ExecuteStream(ctx, series("stats", 500000))
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if _, err := s.Recv(); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
}

// TestStopAnswersPendingRequests: after Stop (the effect of SIGTERM) pending requests are answered, new ones are
// refused, and the driver ends in time.
func TestStopAnswersPendingRequests(t *testing.T) {
	f := newFleet(t, lab.Spec{ExtraSettings: ""})
	must(t, f, writeReq("a", "first"))
	p := f.Groups[0].Primary()
	p.Slow(100)
	client := f.Drivers[0].Client()
	var held sync.WaitGroup
	var err error
	held.Go(func() { _, err = client.Execute(t.Context(), writeReq("a", "held")) })
	for len(f.Trace.Statements()) == 0 || !arrived(f, "held") {
		time.Sleep(time.Millisecond)
	}
	if e := f.Drivers[0].Stop(); e != nil {
		t.Error(e)
	}
	held.Wait()
	if err != nil {
		t.Errorf("the pending write: %v", err)
	}
}

func arrived(f *lab.Fleet, tag string) bool {
	for _, s := range f.Trace.Statements() {
		if s.Tag == tag && s.Kind != standin.KindFacts && s.Kind != standin.KindGuard {
			return true
		}
	}
	return false
}

// TestHealthAndDeadline: the health service reports SERVING, and a client's own deadline bounds its call.
func TestHealthAndDeadline(t *testing.T) {
	f := newFleet(t, lab.Spec{})
	must(t, f, writeReq("a", "x"))
	conn, err := grpc.NewClient("passthrough:///"+f.Drivers[0].Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if h, err := healthpb.NewHealthClient(conn).Check(t.Context(), &healthpb.HealthCheckRequest{}); err != nil || h.Status != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health %v, %v", h, err)
	}
	f.Groups[0].Primary().Hang(true)
	defer f.Groups[0].Primary().Hang(false)
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	_, err = f.Drivers[0].Client().Execute(ctx, writeReq("a", "y"))
	if st := status.Convert(err); st.Code() != codes.Unknown || !strings.Contains(st.Message(), "may have run") {
		t.Errorf("write at a hung primary: %v", err)
	}
}

// newPeer starts a database node whose connections are handled by talk, and returns its address.
func newPeer(t *testing.T, talk func(nc net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer nc.Close()
				stop := context.AfterFunc(t.Context(), func() { nc.Close() })
				defer stop()
				talk(nc)
			})
		}
	})
	t.Cleanup(func() { l.Close(); all.Wait() })
	return l.Addr().String()
}

// acceptLogin reads a startup packet and accepts the login, up to the driver's first query.
func acceptLogin(nc net.Conn) *pgwire.Reader {
	r := pgwire.NewReader(nc, 0)
	if _, err := r.NextStartup(); err != nil {
		return r
	}
	nc.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthOK(nil), pgwire.TxIdle))
	for {
		typ, _, err := r.Next()
		if err != nil || typ == pgwire.MsgSync {
			break
		}
	}
	nc.Write(pgwire.AppendReadyForQuery(pgwire.AppendEmpty(nil, pgwire.MsgParseComplete), pgwire.TxIdle))
	return r
}

// TestStrangePeers: nodes send garbage, half a message, a length of 2 GB, or nothing. The driver names them in its
// log, the other nodes keep serving, and no connection or goroutine is left.
func TestStrangePeers(t *testing.T) {
	huge := binary.BigEndian.AppendUint32([]byte{'D'}, 2<<30-1)
	half := pgwire.AppendDataRow(nil, [][]byte{[]byte("t"), []byte("0/40"), []byte("1")})
	for _, c := range []struct {
		name string
		log  string
		talk func(nc net.Conn)
	}{
		{"garbage at once", "", func(nc net.Conn) { nc.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) }},
		{"garbage for facts", "in the answer to the facts query", func(nc net.Conn) {
			acceptLogin(nc).Next()
			nc.Write(pgwire.AppendEmpty(nil, '?'))
			io.Copy(io.Discard, nc)
		}},
		{"half a message", "", func(nc net.Conn) { acceptLogin(nc).Next(); nc.Write(half[:len(half)-3]) }},
		{"a length of 2 GB", "over the limit", func(nc net.Conn) { acceptLogin(nc).Next(); nc.Write(huge); io.Copy(io.Discard, nc) }},
		{"facts of one column", "7 wanted", func(nc net.Conn) {
			acceptLogin(nc).Next()
			nc.Write(pgwire.AppendDataRow(pgwire.AppendEmpty(nil, pgwire.MsgBindComplete), [][]byte{[]byte("t")}))
			io.Copy(io.Discard, nc)
		}},
		{"an answer to nothing", "no query was pending", func(nc net.Conn) {
			acceptLogin(nc).Next()
			// Right behind an answer that ends a poll, so that the driver has no query pending when it reads it.
			b := pgwire.AppendErrorResponse(nil, &pgwire.Error{Severity: "ERROR", Code: "57P03", Message: "starting up"})
			b = pgwire.AppendReadyForQuery(b, pgwire.TxIdle)
			nc.Write(pgwire.AppendCommandComplete(b, "X"))
			io.Copy(io.Discard, nc)
		}},
		{"silence", "", func(nc net.Conn) { io.Copy(io.Discard, nc) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, logs := observer.New(zapcore.WarnLevel)
			f := newFleet(t, lab.Spec{Log: zap.New(core)})
			addr := newPeer(t, c.talk)
			f.AddNode(settings.Node{Name: "strange", Address: addr, Slice: "slice0", Zone: "reykjavik-a"})
			for range 30 {
				must(t, f, readReq("stats", "a", ""))
				time.Sleep(10 * time.Millisecond)
			}
			if c.log == "" {
				return
			}
			for try := 0; ; try++ {
				for _, l := range logs.All() {
					if strings.Contains(l.Message, "node strange") && strings.Contains(l.Message, c.log) {
						return
					}
				}
				if try == 100 {
					t.Fatalf("no log line names the node and %q: %v", c.log, logs.All())
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestFactsByParameters: nodes that report role and position as parameters are not queried for them.
func TestFactsByParameters(t *testing.T) {
	cfg := lab.SmallNode
	cfg.ReportParameters = true
	f := newFleet(t, lab.Spec{Node: cfg})
	res := must(t, f, writeReq("a", "one"))
	if got := must(t, f, readReq("own-read", "a", res.Token)); len(got.Rows) != 1 {
		t.Errorf("rows %v", got.Rows)
	}
	must(t, f, readReq("article-read", "a", ""))
	for _, s := range f.Trace.Statements() {
		if s.Kind == standin.KindFacts {
			t.Fatal("a node was queried for its facts")
		}
	}
}

// TestPasswords: SCRAM with the right password works, and a password file that others can read is refused.
func TestPasswords(t *testing.T) {
	cfg := lab.SmallNode
	cfg.Password = "leyndarmál"
	path := t.TempDir() + "/password"
	write(t, path, cfg.Password+"\n", 0o600)
	f := newFleet(t, lab.Spec{Node: cfg, ExtraSettings: "pool password-file " + path + "\n"})
	must(t, f, writeReq("a", "one"))
	write(t, path+"2", cfg.Password, 0o644)
	s, err := f.Settings(f.Drivers[0])
	if err != nil {
		t.Fatal(err)
	}
	s.PasswordFile = path + "2"
	if _, err := server.New(s, zap.NewNop(), 1); err == nil || !strings.Contains(err.Error(), "make it 0600") {
		t.Errorf("password file readable by others: %v", err)
	}
}

// TestRepeatableRead: if transactions are repeatable read by default, a read's snapshot must not be taken together
// with the query for the position, or the answer lacks writes before the position that it claims. The replicas replay
// nothing between the two.
func TestRepeatableRead(t *testing.T) {
	node := lab.SmallNode
	node.RepeatableRead, node.Cores, node.Read = true, 4, 60*time.Millisecond
	f := newFleet(t, lab.Spec{Node: node})
	must(t, f, writeReq("a", "one"))
	for range 6 {
		must(t, f, readReq("stats", "a", "")) // so that a node that pauses for a while does not seem hung
	}
	res, w := readAcrossAWrite(t, f)
	if value := res.Rows[0].Values[0].GetTextValue(); res.Served.Lsn >= w.Served.Lsn && value != "two" {
		t.Errorf("the read saw %q, older than its claimed position %d; the write is at %d", value, res.Served.Lsn, w.Served.Lsn)
	} else if res.Served.Lsn < w.Served.Lsn {
		t.Errorf("the read is at position %d, before the write at %d: the test shows nothing", res.Served.Lsn, w.Served.Lsn)
	}
}

// readAcrossAWrite sends a read to the paused replicas, and commits a write before they go on.
func readAcrossAWrite(t *testing.T, f *lab.Fleet) (read, write *pb.ExecuteResponse) {
	t.Helper()
	for _, n := range f.Groups[0].Nodes()[1:] {
		for n.Position() != f.Groups[0].Nodes()[0].Position() {
			time.Sleep(time.Millisecond)
		}
		n.Stall(250 * time.Millisecond)
	}
	got := make(chan *pb.ExecuteResponse, 1)
	n := len(f.Trace.Statements())
	go func() {
		res, _ := execute(t, f, readReq("stats", "a", ""))
		got <- res
	}()
	for arrived := false; !arrived; time.Sleep(time.Millisecond) {
		for _, s := range f.Trace.Statements()[n:] {
			arrived = arrived || s.Kind == standin.KindRead
		}
	}
	write = must(t, f, writeReq("a", "two"))
	if read = <-got; read == nil {
		t.Fatal("the read was not served")
	}
	return read, write
}

// TestIsolationChanged: a client's statement makes the transactions of a connection repeatable read. The next answer
// on that connection is not delivered, the connection is closed, and a log line gives the cause.
func TestIsolationChanged(t *testing.T) {
	core, logs := observer.New(zapcore.WarnLevel)
	f := newFleet(t, lab.Spec{Log: zap.New(core)})
	write := must(t, f, writeReq("a", "one"))
	for range 4 {
		set := readReq("stats", "a", "")
		set.Statement, set.Parameters = "set default_transaction_isolation to 'repeatable read'", nil
		execute(t, f, set)
	}
	for range 20 {
		if res := must(t, f, readReq("own-read", "a", write.Token)); len(res.Rows) != 1 {
			t.Fatalf("%d rows", len(res.Rows))
		}
	}
	if n := logs.FilterMessageSnippet("its transactions are repeatable read").Len(); n == 0 {
		t.Errorf("no log line reports that a statement changed the isolation: %v", logs.All())
	}
}

// TestFloodIsRefusedAtAdmission: one client sends far too many requests. They are refused before they reach the loop,
// with a retry delay and the reason, and another client is served meanwhile.
func TestFloodIsRefusedAtAdmission(t *testing.T) {
	node := lab.SmallNode
	node.Read = 20 * time.Millisecond
	f := newFleet(t, lab.Spec{Node: node, ExtraSettings: "admission {\n    start 16\n}\n"})
	must(t, f, writeReq("a", "one"))
	call := func(client string) error {
		ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(t.Context(), propagation.ClientKey, client), 5*time.Second)
		defer cancel()
		_, err := f.Drivers[0].Client().Execute(ctx, readReq("article-read", "a", ""))
		return err
	}
	var flood sync.WaitGroup
	var mu sync.Mutex
	sent, refused, noDelay, otherReason := 0, 0, 0, 0
	ctx, end := context.WithCancel(t.Context())
	for range 150 {
		flood.Go(func() {
			for ctx.Err() == nil {
				err := call("flood")
				mu.Lock()
				sent++
				mu.Unlock()
				if err == nil {
					continue
				}
				delay, reason := time.Duration(0), ""
				for _, d := range status.Convert(err).Details() {
					switch d := d.(type) {
					case *errdetails.RetryInfo:
						delay = d.RetryDelay.AsDuration()
					case *errdetails.ErrorInfo:
						reason = d.Reason
					}
				}
				mu.Lock()
				if status.Code(err) == codes.ResourceExhausted {
					refused++
					if delay <= 0 {
						noDelay++
					}
				}
				if reason != "REFUSED" {
					otherReason++
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	refusals := func() int {
		mu.Lock()
		defer mu.Unlock()
		return refused
	}
	for end := time.Now().Add(time.Minute); refusals() < 100 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	served, calls := 0, 0
	for end := time.Now().Add(time.Minute); served < 20 && time.Now().Before(end); calls++ {
		if call("reader") == nil {
			served++
		}
	}
	end()
	flood.Wait()
	if refused < 100 || noDelay > 0 || otherReason > 0 {
		t.Errorf("%d refused at admission, %d of them without a retry delay, %d errors of other kinds", refused, noDelay, otherReason)
	}
	if served < 20 || served*sent < (sent-refused)*calls {
		t.Errorf("%d of %d calls of the other client were served, and %d of %d of the flooding client", served, calls, sent-refused, sent)
	}
}

// TestClientThatDoesNotRead: the streamed answer of a client that does not read ends after the stall time, and its
// node connection is free again. Slow clients that do read are not affected.
func TestClientThatDoesNotRead(t *testing.T) {
	f := newFleet(t, lab.Spec{ExtraSettings: "admission {\n    stall 300ms\n}\n"})
	readsInFlight := func() (n int) {
		for _, s := range f.Trace.Statements() {
			if s.Kind == standin.KindRead && s.Ran && s.Ended.IsZero() {
				n++
			}
		}
		return n
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var streams []pb.Driver_ExecuteStreamClient
	for range 5 {
		until(t, "a stream begins", func() bool { // a refusal is allowed: nothing ran
			s, err := f.Drivers[0].Client().ExecuteStream(ctx, seriesReq(400000))
			if err != nil {
				t.Fatal(err)
			}
			if _, err = s.Recv(); err == nil {
				streams = append(streams, s)
			} else if c := status.Code(err); c != codes.Unavailable && c != codes.ResourceExhausted {
				t.Fatal(err)
			}
			return err == nil
		})
	}
	if readsInFlight() == 0 {
		t.Error("no read is in flight at the nodes")
	}
	until(t, "the nodes are free of clients that do not read", func() bool { return readsInFlight() == 0 })
	for _, s := range streams {
		var err error
		for err == nil {
			_, err = s.Recv()
		}
		if status.Code(err) != codes.ResourceExhausted {
			t.Errorf("a stream ended with: %v", err)
		}
	}
	slow, err := f.Drivers[0].Client().ExecuteStream(t.Context(), seriesReq(30000))
	if err != nil {
		t.Fatal(err)
	}
	for rows := 0; ; rows++ {
		if _, err := slow.Recv(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatalf("after %d rows: %v", rows, err)
		}
		if rows%10000 == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func seriesReq(rows int64) *pb.ExecuteRequest {
	return &pb.ExecuteRequest{Slice: "slice0", Class: "stats", Statement: "select n from generate_series(1, $1) where $2 <> ''",
		Parameters: []*pb.Value{{Kind: &pb.Value_IntValue{IntValue: rows}}, text("m")}}
}
