package driver

import (
	"fmt"
	"testing"
	"time"

	"umberladder/balance"
	"umberladder/pgwire"
	"umberladder/position"
	"umberladder/token"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{
		Router: balance.Config{
			Classes: []balance.Class{
				{Name: "article-read", Effect: balance.Safe, Need: balance.NeedBounded, Bound: 200 * ms, Target: 400 * ms, Deadline: time.Second, Value: 2},
				{Name: "own-read", Effect: balance.Safe, Need: balance.NeedSession, Target: 250 * ms, Deadline: time.Second, Value: 1},
				{Name: "write", Effect: balance.Unsafe, Need: balance.NeedWrite, Target: 500 * ms, Deadline: 2 * time.Second, Value: 6, LateValue: 0.5},
				{Name: "desk-check", Effect: balance.Safe, Need: balance.NeedFresh, Target: 400 * ms, Deadline: time.Second, Value: 1},
				{Name: "post", Effect: balance.Keyed, Need: balance.NeedWrite, Window: time.Second, Target: 500 * ms, Deadline: 2 * time.Second, Value: 6},
				{Name: "stats", Effect: balance.Safe, Need: balance.NeedAny, Target: 500 * ms, Deadline: 2 * time.Second, Value: 1},
			},
			Routers: 1, MinBatchInterval: ms, Positions: true, DrainGrace: 500 * ms, AnswerSlack: 20 * ms, ColdFrom: 0.2,
			RampTime: 10 * time.Second, ColdOverloadMultiple: 3, ColdOverloadWindow: time.Second, Cancel: true, Probing: true, AttemptLimit: 10,
			RetryAfter: true, MaxRetryAfter: time.Second, DialTimeout: 250 * ms,
		},
		Zones: []string{"a"}, MaxOpen: 1000, PoolSize: 8, IdleClose: 30 * time.Second, Linger: 5 * time.Second,
		PollTimeout: 250 * ms, ClockAge: 50 * ms, AnswerMargin: 20 * ms,
	}
}

const (
	classArticle = iota
	classOwn
	classWrite
	classDesk
	classPost
	classStats
)

// fakeNode is a node in a harness: dials succeed at once, polls are answered at once, and requests wait for the
// test to answer them.
type fakeNode struct {
	facts       Facts
	silent      bool // polls are not answered
	unreachable bool // dials are not answered
	maxConns    int  // connections accepted; more are refused as full; 0 for no limit
}

// harness drives an engine step by step in virtual time.
type harness struct {
	t        *testing.T
	e        *Engine
	now      time.Duration
	nodes    map[string]*fakeNode
	connAt   map[ConnID]string
	sends    []Command // exchanges of requests without a result yet
	answers  map[RequestID][]Answer
	commands []string
	logLines []string // texts of CommandLog
	lastReq  RequestID
	pending  []Event
	stopped  bool
	closed   map[ConnID]bool // connections that CommandClose closed
}

func newHarness(t *testing.T, cfg Config, nodes map[string]Facts) *harness {
	t.Helper()
	e, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, e: e, now: time.Hour, nodes: map[string]*fakeNode{}, connAt: map[ConnID]string{}, answers: map[RequestID][]Answer{}, closed: map[ConnID]bool{}}
	var list []Node
	for _, name := range []string{"p", "r1", "r2"} {
		if f, ok := nodes[name]; ok {
			r.nodes[name] = &fakeNode{facts: f}
			list = append(list, Node{Name: name, Address: name + ":1", Slice: "news", Zone: "a"})
		}
	}
	r.step(Event{Kind: EventNodeList, List: balance.ListCached, Nodes: list})
	r.run(50 * ms)
	return r
}

func at(tl uint32, lsn uint64) position.Position { return position.Position{Timeline: tl, LSN: lsn} }

func primary(p position.Position) Facts { return Facts{Known: true, Position: p} }
func replica(p position.Position) Facts { return Facts{Known: true, Replica: true, Position: p} }

func (r *harness) step(events ...Event) {
	r.execute(r.e.Step(r.now, append(r.pending, events...), nil))
	for len(r.pending) > 0 {
		events := r.pending
		r.pending = nil
		r.execute(r.e.Step(r.now, events, nil))
	}
}

func (r *harness) execute(cmds []Command) {
	r.pending = nil
	for _, c := range cmds {
		switch c.Kind {
		case CommandDial:
			n := r.nodes[c.Node]
			if n.maxConns > 0 && r.openConns(c.Node) >= n.maxConns {
				r.pending = append(r.pending, Event{Kind: EventDialed, Conn: c.Conn, Dial: &DialError{Err: errFull{}, Full: true}})
				break
			}
			r.connAt[c.Conn] = c.Node
			if !n.unreachable {
				r.pending = append(r.pending, Event{Kind: EventDialed, Conn: c.Conn})
			}
		case CommandReadFacts:
			if n := r.nodes[r.connAt[c.Conn]]; !n.silent {
				r.pending = append(r.pending, Event{Kind: EventResult, Conn: c.Conn, Result: Result{Facts: n.facts}})
			}
		case CommandSend:
			if len(r.answers[c.Request]) > 0 {
				r.t.Errorf("request %d was sent to %s after its final answer", c.Request, c.Node)
			}
			r.sends = append(r.sends, c)
		case CommandAnswer:
			r.answers[c.Request] = append(r.answers[c.Request], c.Answer)
			if n := len(r.answers[c.Request]); n > 1 {
				r.t.Errorf("request %d has %d final answers", c.Request, n)
			}
		case CommandLog:
			r.logLines = append(r.logLines, c.Text)
		case CommandClose:
			r.closed[c.Conn] = true
		case CommandStopped:
			r.stopped = true
		}
		r.commands = append(r.commands, fmt.Sprintf("%v kind %d conn %d request %d node %s", r.now, c.Kind, c.Conn, c.Request, c.Node))
	}
}

// openConns returns the number of a node's connections that are not closed.
func (r *harness) openConns(node string) (n int) {
	for id, at := range r.connAt {
		if at == node && !r.closed[id] {
			n++
		}
	}
	return n
}

// run advances the time by d and calls Step at each timer of the engine.
func (r *harness) run(d time.Duration) {
	for end := r.now + d; ; {
		at, ok := r.e.NextTimer()
		if !ok || at > end {
			r.now = end
			return
		}
		r.now = max(r.now, at)
		r.step()
	}
}

func (r *harness) request(class int, tok token.Token) RequestID {
	r.lastReq++
	r.step(Event{Kind: EventRequest, Request: r.lastReq, Params: RequestParams{Class: class, Slice: "news", Session: "s",
		Token: tok, Deadline: r.now + r.e.cfg.Router.Classes[class].Deadline}})
	return r.lastReq
}

// sent removes and returns a request's exchange without a result yet; it fails the test if there is none.
func (r *harness) sent(id RequestID) Command {
	r.t.Helper()
	for i, c := range r.sends {
		if c.Request == id {
			r.sends = append(r.sends[:i], r.sends[i+1:]...)
			return c
		}
	}
	r.t.Fatalf("request %d was not sent", id)
	return Command{}
}

func (r *harness) isSent(id RequestID) bool {
	for _, c := range r.sends {
		if c.Request == id {
			return true
		}
	}
	return false
}

func (r *harness) result(c Command, res Result) {
	r.step(Event{Kind: EventResult, Conn: c.Conn, Result: res})
}

// reply ends an exchange successfully, with its node's facts.
func (r *harness) reply(c Command) {
	r.result(c, Result{Started: true, Done: true, Facts: r.nodes[c.Node].facts, After: r.nodes[c.Node].facts})
}

func (r *harness) answer(id RequestID) Answer {
	r.t.Helper()
	if len(r.answers[id]) != 1 {
		r.t.Fatalf("request %d has %d final answers", id, len(r.answers[id]))
	}
	return r.answers[id][0]
}

// checkIdle ends all exchanges, advances the time by a minute, and checks that no request or connection is still
// counted as in use.
func (r *harness) checkIdle() {
	r.t.Helper()
	for _, c := range r.sends {
		r.result(c, Result{End: EndBroken})
	}
	r.sends = nil
	r.run(time.Minute)
	if len(r.e.requests) > 0 || r.e.held != 0 {
		r.t.Errorf("%d requests known, %d held after everything ended", len(r.e.requests), r.e.held)
	}
	for _, n := range r.e.nodes {
		if n.Busy != 0 || n.Dialing != 0 || len(n.queue) != 0 || len(n.Idle) != 0 {
			r.t.Errorf("node %s: %d busy, %d dials, %d queued, %d idle after everything ended", n.entry.Name, n.Busy, n.Dialing, len(n.queue), len(n.Idle))
		}
	}
}

func fleetFacts() map[string]Facts {
	return map[string]Facts{"p": primary(at(1, 1000)), "r1": replica(at(1, 1000)), "r2": replica(at(1, 1000))}
}

func broken(began bool, code string) Result {
	r := Result{End: EndBroken, Started: began}
	if code != "" {
		r.Err = &pgwire.Error{Severity: "FATAL", Code: code, Message: "m"}
	}
	return r
}
