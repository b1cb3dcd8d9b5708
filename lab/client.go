package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"umberladder/balance"
	"umberladder/position"
	"umberladder/propagation"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/token"
)

// Verdict is the outcome of a call for its client.
type Verdict uint8

// Outcomes of a call.
const (
	Served     Verdict = iota
	Refused            // the driver reported that nothing ran, so that a retry is harmless
	Failed             // the driver did not rule out that the request ran
	Canceled           // by the client
	Unanswered         // no answer arrived from the driver: its process ended, or it broke the rule "one final answer"
)

var verdictNames = [...]string{"served", "refused", "failed", "left", "unanswered"}

func (v Verdict) String() string { return verdictNames[v] }

// Call is one request as its client observed it.
type Call struct {
	Tag         string
	Class       *Class
	Slice       string
	Session     string
	Key         string
	Driver      string
	Sent        time.Time
	Answered    time.Time
	Timeout     time.Duration // stated in the request
	Verdict     Verdict
	Text        string        // error message of a refusal or failure
	RetryDelay  time.Duration // advised by a refusal
	Try         int           // 0 for the first, counts the client's retries
	BrokenRule  string        // unused
	PriorWrites []string      // tags of the session's writes that were served before
	Served      *pb.Served
	Token       string   // of the answer
	Value       string   // that a read returned
	Carries     []string // tags of the calls that the request's token covers
}

// CallLog collects the calls of all clients.
type CallLog struct {
	mu    sync.Mutex
	calls []Call
}

func (b *CallLog) add(c Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, c)
}

// Calls returns a copy of all calls so far.
func (b *CallLog) Calls() []Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Call(nil), b.calls...)
}

// extraWait is the time that a client waits beyond its stated timeout. It separates answers that never arrive from
// answers that are late on a busy machine.
const extraWait = 4 * time.Second

// session is one client session.
type session struct {
	name               string
	fleet              *Fleet
	callLog            *CallLog
	rng                *rand.Rand
	badShare           *atomic.Int64 // share of its calls that fail on every node, in thousandths; nil for none
	hotShare           *atomic.Int64 // share of its calls that go to the first driver, in thousandths; nil for none
	cancelShare        float64       // share of its calls that it cancels in flight
	seq                int
	tokens             map[string]string // by slice
	inbox              chan tokenHandover
	covered            map[string][]string // by slice, tags of the calls that the token covers
	writes             map[string][]string // tags of the writes that were served, by slice
	alwaysCarriesToken bool                // with every call, not only where the class requires a token
	plant              Plant
	clientName         string  // sent as metadata, "" for none
	quietSlice         string  // a slice where most of its writes are replaced by reads of the first class
	lateReadShare      float64 // share of reads by kv_late, which reads the table as it ends

	home                int  // index of the first slice that it uses
	tokenOnlyIfRequired bool // the session sends no token with other classes
}

// Plant is a fault planted to check that the judges find it.
type Plant uint8

// Planted faults.
const (
	NoPlant     Plant = iota
	LowerTokens       // after a read, clients keep a token for the position before it
	NoTokens          // reads carry no token but are recorded as if they did
	LostAnswers       // a tenth of the answers arrive long after the client's timeout
)

func newSession(f *Fleet, b *CallLog, n int, cancelShare float64) *session {
	return &session{name: fmt.Sprintf("s%d", n), fleet: f, callLog: b, cancelShare: cancelShare,
		rng: rand.New(rand.NewPCG(f.Spec.Seed, uint64(n))), tokens: map[string]string{},
		inbox: make(chan tokenHandover, 4), covered: map[string][]string{}, writes: map[string][]string{}}
}

// run makes calls until ctx ends, with random pauses around the given one.
func (s *session) run(ctx context.Context, pause time.Duration) {
	for ctx.Err() == nil {
		s.callRandom(ctx)
		wait := time.Duration((0.5 + s.rng.Float64()) * float64(pause))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (s *session) callRandom(ctx context.Context) {
	s.receiveTokens()
	classes := s.fleet.Spec.Site.Classes
	draw, i := s.rng.Float64(), 0
	for ; i < len(classes)-1 && draw >= classes[i].Share; i++ {
		draw -= classes[i].Share
	}
	g := s.fleet.Groups[s.rng.IntN(len(s.fleet.Groups))]
	d := s.fleet.Drivers[s.rng.IntN(len(s.fleet.Drivers))]
	if s.hotShare != nil && s.rng.IntN(1000) < int(s.hotShare.Load()) {
		d = s.fleet.Drivers[0]
	}
	cancelAfter := time.Duration(0)
	if s.rng.Float64() < s.cancelShare {
		cancelAfter = time.Duration(s.rng.Float64() * float64(30*time.Millisecond))
	}
	if g.Name == s.quietSlice && classes[i].Need == balance.NeedWrite && s.rng.IntN(100) < 95 {
		i = 0
	}
	s.call(ctx, d, g.Name, &classes[i], cancelAfter)
}

// call makes one call and records it. If cancelAfter is set, the client cancels the call after that time.
func (s *session) call(ctx context.Context, d *Driver, slice string, class *Class, cancelAfter time.Duration) *Call {
	return s.tryCall(ctx, d, slice, class, cancelAfter, class.Deadline, 0)
}

// tryCall makes one try of a call and records it. remaining is the time left until the client's deadline; try is 0 for
// the first try and counts the client's retries. It returns nil if the driver does not run.
func (s *session) tryCall(ctx context.Context, d *Driver, slice string, class *Class, cancelAfter, remaining time.Duration, try int) *Call {
	client := d.Client()
	if client == nil {
		return nil // the driver does not run
	}
	s.seq++
	key := s.name
	if s.rng.IntN(2) == 0 {
		key = fmt.Sprintf("shared%d", s.rng.IntN(sharedKeys))
	}
	if slice == s.quietSlice {
		key = "shared0"
	}
	c := Call{Tag: fmt.Sprintf("%s-%d", s.name, s.seq), Class: class, Slice: slice, Session: s.name, Driver: d.Name,
		Key: key, Timeout: remaining, Try: try, PriorWrites: append([]string(nil), s.writes[slice]...)}
	req := s.request(&c)
	if s.badShare != nil && s.rng.IntN(1000) < int(s.badShare.Load()) && class.Effect == balance.Safe {
		req.Statement = "select 1/0"
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining+extraWait)
	defer cancel()
	if s.clientName != "" {
		callCtx = metadata.AppendToOutgoingContext(callCtx, propagation.ClientKey, s.clientName)
	}
	if cancelAfter > 0 {
		// A cancel rather than a deadline, which gRPC would send to the driver in advance.
		var cancelCall context.CancelFunc
		callCtx, cancelCall = context.WithCancel(callCtx)
		defer time.AfterFunc(cancelAfter, cancelCall).Stop()
		defer cancelCall()
	}
	c.Sent = time.Now()
	res, err := s.do(callCtx, client, req, &c)
	if s.plant == LostAnswers && len(c.Tag) > 0 && c.Tag[len(c.Tag)-1] == '7' {
		time.Sleep(time.Until(c.Sent.Add(remaining + extraWait/2))) // delays the answer on its way to the client
	}
	c.Answered = time.Now()
	c.Verdict, c.Text = verdictOf(err)
	c.RetryDelay = retryDelayOf(err)
	if c.Verdict == Unanswered && cancelAfter > 0 && status.Code(err) == codes.Canceled {
		c.Verdict = Canceled
	}
	switch {
	case c.Verdict == Served:
		s.recordAnswer(&c, res)
	case status.Code(err) == codes.FailedPrecondition:
		s.forgetToken(slice)
	}
	s.callLog.add(c)
	return &c
}

func text(v string) *pb.Value { return &pb.Value{Kind: &pb.Value_TextValue{TextValue: v}} }

func (s *session) request(c *Call) *pb.ExecuteRequest {
	carried := s.tokens[c.Slice]
	if c.Class.Need != balance.NeedSession && !s.alwaysCarriesToken && (s.tokenOnlyIfRequired || s.rng.IntN(4) > 0) {
		carried = "" // most clients send it only where the class requires it
	}
	if carried != "" {
		c.Carries = s.covered[c.Slice]
	}
	if s.plant == NoTokens && c.Class.Need != balance.NeedWrite {
		carried = ""
	}
	req := &pb.ExecuteRequest{Slice: c.Slice, Class: c.Class.Name, Session: s.name, Token: carried,
		Timeout: durationpb.New(c.Timeout), Parameters: []*pb.Value{text(c.Key), text(c.Tag)},
		Statement: "select value, lsn from kv where key = $1 and $2 <> ''"}
	if s.rng.Float64() < s.lateReadShare {
		req.Statement = "select value, lsn from kv_late($1, $2)"
	}
	switch {
	case c.Class.Effect == balance.Keyed:
		req.Statement, req.IdempotencyKey = "insert into kv (key, value) values ($1, $2) returning idem($3)", "k-"+c.Tag
	case c.Class.Need == balance.NeedWrite:
		req.Statement = "insert into kv (key, value) values ($1, $2)"
	case c.Class.Stream:
		req.Statement = "select n from generate_series(1, $1) where $2 <> ''"
		req.Parameters[0] = &pb.Value{Kind: &pb.Value_IntValue{IntValue: 200}}
	}
	return req
}

// do sends the request. Classes with Stream use ExecuteStream.
func (s *session) do(ctx context.Context, client pb.DriverClient, req *pb.ExecuteRequest, c *Call) (*pb.ExecuteResponse, error) {
	if !c.Class.Stream {
		return client.Execute(ctx, req, grpc.WaitForReady(false))
	}
	stream, err := client.ExecuteStream(ctx, req)
	if err != nil {
		return nil, err
	}
	res := &pb.ExecuteResponse{}
	for rows := uint64(0); ; {
		chunk, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		switch p := chunk.Part.(type) {
		case *pb.ExecuteChunk_Columns_:
			res.Served = p.Columns.Served
		case *pb.ExecuteChunk_Row:
			rows++
		case *pb.ExecuteChunk_End_:
			if p.End.Rows != rows {
				return nil, fmt.Errorf("stream ended after %d of %d rows", rows, p.End.Rows)
			}
			res.Token, res.Holds = p.End.Token, p.End.Holds
			return res, nil
		}
	}
}

// recordAnswer keeps what came with an answer. It replaces the session's token after writes and session reads, or
// after every answer with alwaysCarriesToken.
func (s *session) recordAnswer(c *Call, res *pb.ExecuteResponse) {
	c.Served, c.Token = res.Served, res.Token
	if len(res.Rows) > 0 {
		c.Value = res.Rows[0].Values[0].GetTextValue()
	}
	write := c.Class.Need == balance.NeedWrite
	if write {
		s.writes[c.Slice] = append(s.writes[c.Slice], c.Tag)
	}
	if write || c.Class.Need == balance.NeedSession || s.alwaysCarriesToken {
		s.tokens[c.Slice], s.covered[c.Slice] = res.Token, []string{c.Tag}
		if s.plant == LowerTokens && !write {
			s.tokens[c.Slice] = positionToken(c.Slice, res.Holds)
		}
	}
}

// positionToken returns a token for the log position in holds without its transactions.
func positionToken(slice, holds string) string {
	tok, err := token.Parse(holds)
	at, ok := tok.Position(slice)
	if err != nil || !ok {
		return ""
	}
	at.Transactions = position.Transactions{}
	return token.Token{}.With(slice, at).String()
}

// tokenHandover is a copy of a session's tokens for another session.
type tokenHandover struct{ tokens, covers map[string][]string }

// sendTokens sends another session this one's tokens, which it keeps in addition to its own.
func (s *session) sendTokens(to *session) {
	h := tokenHandover{map[string][]string{}, map[string][]string{}}
	for slice, tok := range s.tokens {
		h.tokens[slice], h.covers[slice] = []string{tok}, s.covered[slice]
	}
	select {
	case to.inbox <- h:
	default: // its inbox is full
	}
}

// receiveTokens merges the tokens that other sessions sent.
func (s *session) receiveTokens() {
	for {
		select {
		case h := <-s.inbox:
			for slice, toks := range h.tokens {
				s.tokens[slice] = token.ParseSet(append(toks, s.tokens[slice])...).String()
				s.covered[slice] = append(slices.Clone(s.covered[slice]), h.covers[slice]...)
			}
		default:
			return
		}
	}
}

// forgetToken removes the token of a slice, as a client does after a driver reported that the token covers commits
// that no longer exist.
func (s *session) forgetToken(slice string) {
	delete(s.tokens, slice)
	delete(s.covered, slice)
	delete(s.writes, slice)
}

// sharedKeys is the number of keys of a slice that all sessions use, in addition to one key per session.
const sharedKeys = 6

// retryDelayOf returns the delay that a refusal advises, 0 without one.
func retryDelayOf(err error) time.Duration {
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok {
			return info.RetryDelay.AsDuration()
		}
	}
	return 0
}

// verdictOf classifies a status. Only answers of a driver have its ErrorInfo domain.
func verdictOf(err error) (Verdict, string) {
	if err == nil {
		return Served, ""
	}
	st := status.Convert(err)
	for _, d := range st.Details() {
		if info, ok := d.(*errdetails.ErrorInfo); ok && info.Domain == "umberladder" {
			switch info.Reason {
			case "REFUSED", "TOKEN_LOST", "TOKEN_AHEAD":
				return Refused, st.Message()
			}
			return Failed, st.Message()
		}
	}
	return Unanswered, st.Code().String() + ": " + st.Message()
}
