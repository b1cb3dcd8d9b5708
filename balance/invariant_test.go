package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// checker checks a router's actions against the rules under random events.
type checker struct {
	t        *testing.T
	cfg      Config
	now      time.Duration
	open     map[RequestID]*tracked
	drained  map[ServerID]time.Duration
	position map[ServerID]time.Duration
	primary  map[ServerID]bool // servers that were ever reported to the router as primary
}

type tracked struct {
	class      *Class
	pending    map[int]ServerID
	sends      int
	mayHaveRun bool
	first      time.Duration
	final      bool
	end        time.Duration
}

func (l *checker) check(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case ActionSend:
			l.checkAttempt(a)
		case ActionReject, ActionFail:
			e := l.open[a.Request]
			if e == nil || e.final {
				l.t.Fatalf("second final answer of %d", a.Request)
			}
			if a.Kind == ActionReject && e.class.Effect != Safe && (e.mayHaveRun || len(e.pending) > 0) {
				l.t.Errorf("reject of %d that may have run", a.Request)
			}
			e.final = true
		}
	}
}

func (l *checker) checkAttempt(a Action) {
	e := l.open[a.Request]
	if e == nil || e.final {
		l.t.Fatalf("attempt of %d, which is finished", a.Request)
	}
	if len(e.pending) > 0 && !l.cfg.ParallelAttempts {
		l.t.Errorf("two attempts of %d in flight at once", a.Request)
	}
	if e.mayHaveRun || len(e.pending) > 0 {
		if e.class.Effect == Unsafe || e.class.Effect == Keyed && l.now-e.first >= e.class.Window {
			l.t.Errorf("resend of %d, which may have run", a.Request)
		}
		if e.class.Effect == Keyed && (a.WriteWithin <= 0 || l.now+a.WriteWithin > e.first+e.class.Window) {
			l.t.Errorf("resend of %d may be written within %v, its window ends in %v", a.Request, a.WriteWithin, e.first+e.class.Window-l.now)
		}
	} else {
		e.first = l.now
	}
	if at, ok := l.drained[a.Server]; ok && l.now-at > l.cfg.DrainGrace {
		l.t.Errorf("send to a server drained for %v", l.now-at)
	}
	if e.class.Need == NeedBounded && l.cfg.LagPolicy == LagServe && !l.primary[a.Server] &&
		l.position[a.Server] < l.now-e.class.Bound {
		l.t.Errorf("bounded read of %d sent to a server not known to be within the bound", a.Request)
	}
	e.pending[e.sends] = a.Server
	e.sends++
}

// runRandom feeds random events to a router and returns all its actions as text.
func runRandom(t *testing.T, cfg Config, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 1))
	r, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	l := &checker{t: t, cfg: cfg, now: 50 * time.Second, open: map[RequestID]*tracked{}, drained: map[ServerID]time.Duration{},
		position: map[ServerID]time.Duration{}, primary: map[ServerID]bool{}}
	list := Event{Kind: EventList, List: ListCached}
	for i := range 5 {
		list.Entries = append(list.Entries, Entry{Server: ServerID(i + 1)})
	}
	events, text, next := []Event{list}, "", RequestID(1)
	token := uint64(0)
	for range 1500 {
		acts := r.Step(l.now, events, nil)
		l.check(acts)
		text += fmt.Sprintln(acts)
		polls := []ServerID{}
		for _, a := range acts {
			if a.Kind == ActionPoll {
				polls = append(polls, a.Server)
			} else if a.Kind == ActionTimer {
				token = a.Token
			}
		}
		l.now += cfg.MinBatchInterval
		events = append(l.randomEvents(rng, polls), Event{Kind: EventTimer, Token: token})
		for range rng.IntN(3) {
			class := rng.IntN(len(cfg.Classes))
			c := &cfg.Classes[class]
			e := &tracked{class: c, pending: map[int]ServerID{}, end: l.now + time.Duration(rng.Int64N(int64(c.Deadline)))}
			l.open[next] = e
			events = append(events, Event{Kind: EventRequest, Request: next, Class: class, Key: rng.Uint64N(9), Deadline: e.end})
			next++
		}
	}
	return text
}

// randomEvents ends some attempts and polls, aborts requests, and drains and restores servers.
func (l *checker) randomEvents(rng *rand.Rand, polls []ServerID) (events []Event) {
	for _, s := range polls {
		o := OutcomeOK
		if rng.IntN(10) == 0 {
			o = OutcomeTimeout
		}
		rep := Report{Valid: true, HasPosition: true, HasRole: true, Primary: s == 1 || rng.IntN(20) == 0,
			Position: l.now - l.cfg.Origin - time.Duration(rng.Int64N(int64(400*ms)))}
		if o == OutcomeOK {
			l.observe(s, rep.Position, rep.Primary)
		} else {
			rep = Report{}
		}
		events = append(events, Event{Kind: EventPoll, Server: s, Outcome: o, Age: ms, Report: rep})
	}
	for id := RequestID(1); id <= RequestID(len(l.open)); id++ {
		e := l.open[id]
		if !e.final && l.now > e.end+l.cfg.AnswerSlack {
			l.t.Fatalf("request %d got no final answer in its time", id)
		}
		if !e.final && rng.IntN(500) == 0 {
			e.final = true
			events = append(events, Event{Kind: EventAborted, Request: id})
		}
		for n := range e.sends {
			s, ok := e.pending[n]
			if ok && (rng.IntN(20) == 0 || l.now >= e.end) {
				events = append(events, l.endAttempt(rng, id, e, n, s))
			}
		}
	}
	if s := ServerID(rng.IntN(5) + 1); rng.IntN(400) == 0 {
		if _, ok := l.drained[s]; ok {
			delete(l.drained, s)
			events = append(events, Event{Kind: EventList, Entries: []Entry{{Server: s}}})
		} else {
			l.drained[s] = l.now
			events = append(events, Event{Kind: EventList, Entries: []Entry{{Server: s, Life: LifeDraining}}})
		}
	}
	return events
}

func (l *checker) observe(s ServerID, position time.Duration, primary bool) {
	l.position[s] = max(l.position[s], l.cfg.Origin+position)
	l.primary[s] = l.primary[s] || primary
}

func (l *checker) endAttempt(rng *rand.Rand, id RequestID, e *tracked, n int, s ServerID) Event {
	delete(e.pending, n)
	o := []Outcome{OutcomeOK, OutcomeOK, OutcomeError, OutcomeFull, OutcomeConnectFailed, OutcomeReset, OutcomeMiss,
		OutcomeCancelled}[rng.IntN(8)]
	if l.now >= e.end {
		o = OutcomeTimeout
	}
	ev := Event{Kind: EventOutcome, Request: id, Attempt: n, Server: s, Outcome: o, Age: 20 * ms}
	switch o {
	case OutcomeOK, OutcomeMiss, OutcomeFull, OutcomeError:
		ev.Role, ev.Position = RoleReplica, l.now-l.cfg.Origin-time.Duration(rng.Int64N(int64(300*ms)))
		if s == 1 && o != OutcomeMiss {
			ev.Role = RolePrimary
		}
		l.observe(s, ev.Position, ev.Role == RolePrimary)
	}
	switch o {
	case OutcomeOK:
		e.final = true
	case OutcomeFull, OutcomeConnectFailed, OutcomeMiss:
	default:
		e.mayHaveRun = true
	}
	ev.Settled = e.final
	return ev
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		cfg := baseConfig()
		cfg.ParallelAttempts = seed%2 == 1
		cfg.DriverSessions = seed%3 == 1
		cfg.SubscribeToList = seed%4 == 3
		if seed%5 == 2 {
			cfg.LagPolicy, cfg.CatchUpWait = LagWait, 100*ms
		}
		first := runRandom(t, cfg, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		if !reflect.DeepEqual(first, runRandom(t, cfg, seed)) {
			t.Errorf("seed %d: the same events gave other actions", seed)
		}
	}
}
