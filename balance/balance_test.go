package balance

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness feeds events to a router and records its actions.
type harness struct {
	t        *testing.T
	r        *Router
	now      time.Duration
	last     []Action
	final    map[RequestID]ActionKind
	attempts map[RequestID][]ServerID
	polled   map[ServerID]int
	timers   []Action
	timerAt  []time.Duration
}

func baseConfig() Config {
	return Config{
		Classes: []Class{
			{Name: "w", Effect: Unsafe, Need: NeedWrite, Target: 500 * ms, Deadline: 5 * time.Second, Value: 6, LateValue: 0.5},
			{Name: "b", Need: NeedBounded, Bound: 200 * ms, Target: 400 * ms, Deadline: time.Second, Value: 2},
			{Name: "s", Need: NeedSession, Target: 400 * ms, Deadline: time.Second, Value: 1},
			{Name: "f", Need: NeedFresh, Target: 400 * ms, Deadline: time.Second, Value: 1},
			{Name: "a", Need: NeedAny, Target: 400 * ms, Deadline: time.Second, Value: 1},
			{Name: "k", Effect: Keyed, Need: NeedWrite, Target: 500 * ms, Deadline: 3 * time.Second, Window: time.Second,
				Value: 6, LateValue: 0.5},
		},
		MinBatchInterval: 5 * ms, Origin: time.Second, Positions: true, DrainGrace: 500 * ms, AnswerSlack: 20 * ms,
		ColdFrom: 0.2, RampTime: 10 * time.Second, ColdOverloadMultiple: 3, ColdOverloadWindow: time.Second, Cancel: true, Probing: true,
		AttemptLimit: 6, RetryAfter: true, MaxRetryAfter: time.Second, DialTimeout: 250 * ms,
	}
}

const (
	write = iota
	bounded
	session
	fresh
	anyRead
	keyed
)

func newHarness(t *testing.T, cfg Config, servers int) *harness {
	t.Helper()
	r, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t: t, r: r, now: 100 * time.Second, final: map[RequestID]ActionKind{},
		attempts: map[RequestID][]ServerID{}, polled: map[ServerID]int{}}
	list := Event{Kind: EventList, List: ListCached}
	for i := range servers {
		list.Entries = append(list.Entries, Entry{Server: ServerID(i + 1)})
	}
	g.step(list)
	return g
}

func (g *harness) step(events ...Event) {
	g.last = g.r.Step(g.now, events, nil)
	for _, a := range g.last {
		switch a.Kind {
		case ActionSend:
			if _, ok := g.final[a.Request]; ok {
				g.t.Errorf("attempt of %d after its final answer", a.Request)
			}
			g.attempts[a.Request] = append(g.attempts[a.Request], a.Server)
		case ActionReject, ActionFail:
			if _, ok := g.final[a.Request]; ok {
				g.t.Errorf("second final answer of %d", a.Request)
			}
			g.final[a.Request] = a.Kind
		case ActionPoll:
			g.polled[a.Server]++
		case ActionTimer:
			g.timers = append(g.timers, a)
			g.timerAt = append(g.timerAt, g.now+a.After)
		}
	}
}

// run advances the clock by d and delivers the router's timers.
func (g *harness) run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += g.r.cfg.MinBatchInterval
		var due []Event
		for i := 0; i < len(g.timers); i++ {
			if g.timerAt[i] <= g.now {
				due = append(due, Event{Kind: EventTimer, Token: g.timers[i].Token})
				g.timers = append(g.timers[:i], g.timers[i+1:]...)
				g.timerAt = append(g.timerAt[:i], g.timerAt[i+1:]...)
				i--
			}
		}
		if len(due) > 0 {
			g.step(due...)
		}
	}
}

// report answers a poll of server s, whose data has the given age.
func (g *harness) report(s ServerID, primary bool, age time.Duration) {
	g.step(Event{Kind: EventPoll, Server: s, Outcome: OutcomeOK, Age: ms, Report: Report{Valid: true,
		HasPosition: true, HasRole: true, Primary: primary, Position: g.now - age - g.r.cfg.Origin}})
}

// ready reports server 1 as primary and fresh positions of the others.
func (g *harness) ready(servers int) {
	for i := range servers {
		g.report(ServerID(i+1), i == 0, 10*ms)
	}
}

func (g *harness) request(id RequestID, class int) {
	c := g.r.cfg.Classes[class]
	g.step(Event{Kind: EventRequest, Request: id, Class: class, Key: 1, Deadline: g.now + c.Deadline})
}

func (g *harness) endAttempt(id RequestID, attempt int, s ServerID, o Outcome, role Role) {
	g.step(Event{Kind: EventOutcome, Request: id, Attempt: attempt, Server: s, Outcome: o, Role: role,
		Settled: o == OutcomeOK, Age: 20 * ms, Position: g.now - ms - g.r.cfg.Origin})
}

func (g *harness) wantAttempts(id RequestID, want ...ServerID) {
	g.t.Helper()
	if got := fmt.Sprint(g.attempts[id]); got != fmt.Sprint(want) {
		g.t.Errorf("request %d went to %v, want %v", id, got, want)
	}
}

func (g *harness) wantFinal(id RequestID, want ActionKind) {
	g.t.Helper()
	if got, ok := g.final[id]; !ok || got != want {
		g.t.Errorf("request %d: final answer %v (was given: %v), want %v", id, got, ok, want)
	}
}

func TestRequestWithNoTimeLeftIsAnsweredInItsOwnBatch(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.step(Event{Kind: EventRequest, Request: 1, Class: bounded, Deadline: g.now})
	g.wantFinal(1, ActionReject)
}

func TestNewRouterHoldsRequestsUntilFirstPolls(t *testing.T) {
	g := newHarness(t, baseConfig(), 3)
	g.request(1, write)
	g.request(2, bounded)
	g.wantAttempts(1)
	g.ready(3)
	g.wantAttempts(1, 1)
	if len(g.attempts[2]) != 1 || g.attempts[2][0] == 1 {
		t.Errorf("bounded read went to %v, want a replica", g.attempts[2])
	}
	h := newHarness(t, baseConfig(), 3)
	h.request(1, bounded)
	h.run(time.Second)
	h.wantFinal(1, ActionReject)
}

func TestStaleReplicaGetsNoBoundedRead(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.report(1, true, 10*ms)
	g.report(2, false, 201*ms)
	g.request(1, bounded)
	g.wantAttempts(1, 1)
}

func TestReadWithoutFreshReplicaExpeditesAPoll(t *testing.T) {
	cfg := baseConfig()
	cfg.Routers = 100
	g := newHarness(t, cfg, 3)
	g.ready(3)
	g.run(2 * time.Second)
	before := g.polled[2] + g.polled[3]
	if before > 2 {
		t.Errorf("an idle router among many sent %d polls in two seconds", before)
	}
	g.request(1, bounded)
	g.wantAttempts(1)
	if g.polled[2]+g.polled[3] == before {
		t.Error("no poll was expedited for a read without a fresh replica")
	}
	g.report(3, false, 10*ms)
	g.wantAttempts(1, 3)
}

func TestWriteWaitsAfterMissForANewerPoll(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.ready(2)
	g.request(1, write)
	g.now += 50 * ms
	g.endAttempt(1, 0, 1, OutcomeMiss, RoleReplica)
	g.wantAttempts(1, 1)
	g.now += 50 * ms
	g.report(2, true, 10*ms)
	g.wantAttempts(1, 1, 2)
}

func TestUnsafeWriteThatMayHaveRunIsNotRetried(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.ready(2)
	g.request(1, write)
	g.now += 50 * ms
	g.endAttempt(1, 0, 1, OutcomeReset, RoleUnknown)
	g.wantAttempts(1, 1)
	g.wantFinal(1, ActionFail)
}

func TestKeyedWriteIsResentInsideItsWindowOnly(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.ready(2)
	g.request(1, keyed)
	g.now += 50 * ms
	g.endAttempt(1, 0, 1, OutcomeError, RoleReplica)
	g.report(2, true, 5*ms)
	g.wantAttempts(1, 1, 2)
	g.now += time.Second
	g.endAttempt(1, 1, 2, OutcomeError, RolePrimary)
	g.wantAttempts(1, 1, 2)
	g.wantFinal(1, ActionFail)
}

func TestBrokenConnectionIsNotTakenForARestart(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.ready(2)
	g.request(1, anyRead)
	g.wantAttempts(1, 2)
	g.endAttempt(1, 0, 2, OutcomeReset, RoleUnknown)
	g.report(2, false, 10*ms)
	if w := g.r.warmth(g.r.servers[2]); w != 1 {
		t.Errorf("a broken connection made a warm server cold: %v", w)
	}
}

// TestBriefPollFailuresAreNotTakenForARestart: a network fault that breaks connections for less than a second must
// not make a warm server cold; after a longer absence the server may have restarted.
func TestBriefPollFailuresAreNotTakenForARestart(t *testing.T) {
	for away, want := range map[time.Duration]bool{500 * ms: true, 5 * time.Second: false} {
		g := newHarness(t, baseConfig(), 2)
		g.ready(2)
		for range failureLimit {
			g.now += away / failureLimit
			g.step(Event{Kind: EventPoll, Server: 2, Outcome: OutcomeReset, Age: ms})
		}
		g.report(2, false, 10*ms)
		if warm := g.r.warmth(g.r.servers[2]) == 1; warm != want {
			t.Errorf("after %v: warm %v, want %v", away, warm, want)
		}
	}
}

func TestUnsentRequestIsHeldForHalfOfItsTime(t *testing.T) {
	g := newHarness(t, baseConfig(), 1)
	g.step(Event{Kind: EventRequest, Request: 1, Class: write, Key: 9, Deadline: g.now + 2*time.Second})
	g.run(900 * ms)
	if _, ended := g.final[1]; ended {
		t.Fatal("given up before half of its time")
	}
	g.run(100 * ms)
	if a, ended := g.final[1]; !ended || a != ActionReject {
		t.Errorf("after half of its time: ended %v, by %v", ended, a)
	}
}

// TestStuckWriteDoesNotBlockOthers: one connection dies while its server answers requests on others, which must
// neither wait for the lost request nor count it against the server.
func TestStuckWriteDoesNotBlockOthers(t *testing.T) {
	g := newHarness(t, baseConfig(), 1)
	g.ready(1)
	g.request(1, write)
	g.wantAttempts(1, 1)
	g.now += 5 * ms
	for id := RequestID(2); id < 30; id++ {
		g.request(id, write)
		g.wantAttempts(id, 1)
		g.now += 20 * ms
		g.endAttempt(id, 0, 1, OutcomeOK, RolePrimary)
		g.now += 40 * ms
		g.report(1, true, ms)
	}
	g.run(2 * time.Second) // longer than the silence time-out, with only the stuck request pending
	g.report(1, true, ms)
	s := g.r.servers[1]
	if !g.r.stuck(s, s.pending[0].sent) || g.r.silent(s) {
		t.Errorf("stuck %v, silent %v", g.r.stuck(s, s.pending[0].sent), g.r.silent(s))
	}
	limit := s.limit
	g.request(40, write)
	g.wantAttempts(40, 1)
	g.step(Event{Kind: EventOutcome, Request: 1, Server: 1, Outcome: OutcomeTimeout, Age: 3 * time.Second})
	if s.limit != limit || s.unansweredAt != 0 {
		t.Errorf("a lost connection was counted against its server: limit %v of %v, failed %v", s.limit, limit, s.unansweredAt)
	}
}

// TestStuckWritesUseNoCapacity: as many stuck writes as the limit allows must not keep further writes from a server.
func TestStuckWritesUseNoCapacity(t *testing.T) {
	g := newHarness(t, baseConfig(), 1)
	g.ready(1)
	s := g.r.servers[1]
	s.limit = 3
	g.request(1, write)
	g.request(2, write)
	g.now += 5 * ms
	g.request(3, write)
	g.now += 20 * ms
	g.endAttempt(3, 0, 1, OutcomeOK, RolePrimary)
	s.limit = 1 // capacity for two writes
	g.request(4, write)
	g.wantAttempts(4)
	g.run(time.Second)
	g.report(1, true, ms)
	g.wantAttempts(4, 1)
}

func TestSessionReadsWriteOfAbortedRequest(t *testing.T) {
	cfg := baseConfig()
	cfg.DriverSessions = true
	g := newHarness(t, cfg, 2)
	g.ready(2)
	g.request(1, write)
	g.step(Event{Kind: EventAborted, Request: 1})
	g.now += 100 * ms
	g.endAttempt(1, 0, 1, OutcomeOK, RolePrimary)
	g.now += 50 * ms
	g.report(2, false, 60*ms)
	g.request(2, session)
	g.run(60 * ms) // a poll is expedited first
	g.wantAttempts(2, 1)
	g.report(2, false, 60*ms+40*ms)
	g.request(3, session)
	g.wantAttempts(3, 2)
}

// TestSessionReadsWriteThatMayHaveRun: a session's write is pending, or its answer is lost. It may have run, so a
// session read must not be served by a replica that is not known to have reached the write.
func TestSessionReadsWriteThatMayHaveRun(t *testing.T) {
	for name, lose := range map[string]func(g *harness){
		"pending": func(*harness) {},
		"reset":   func(g *harness) { g.endAttempt(1, 0, 1, OutcomeReset, RoleUnknown); g.report(1, true, 10*ms) },
		"timed out after its client left": func(g *harness) {
			g.step(Event{Kind: EventAborted, Request: 1})
			g.endAttempt(1, 0, 1, OutcomeTimeout, RoleUnknown)
		},
	} {
		cfg := baseConfig()
		cfg.DriverSessions = true
		g := newHarness(t, cfg, 2)
		g.ready(2)
		g.request(1, write)
		g.now += 100 * ms
		g.report(2, false, 10*ms)
		g.now += 50 * ms
		lose(g)
		lost := g.now
		g.request(2, session)
		g.run(30 * ms)
		if got := g.attempts[2]; len(got) > 0 && got[0] == 2 {
			t.Errorf("%s: the read was sent to a replica that is not known to have the write", name)
		}
		g.run(50 * ms)
		g.report(2, false, g.now-lost-ms)
		g.request(3, session)
		if name != "pending" {
			g.wantAttempts(3, 2)
		}
		if name == "timed out after its client left" && len(g.r.writes) != 0 {
			t.Errorf("%d writes count as pending", len(g.r.writes))
		}
	}
}

// TestRefusedWriteDoesNotBindSessionReads: a refused write did not run, so replicas still serve the session's reads.
func TestRefusedWriteDoesNotBindSessionReads(t *testing.T) {
	cfg := baseConfig()
	cfg.DriverSessions = true
	g := newHarness(t, cfg, 2)
	g.ready(2)
	g.request(1, write)
	g.endAttempt(1, 0, 1, OutcomeFull, RoleUnknown)
	g.request(2, session)
	g.wantAttempts(2, 2)
}

func TestAnswerAsReplicaEndsThePrimaryRole(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.ready(2)
	g.request(1, fresh)
	g.now += 30 * ms
	g.endAttempt(1, 0, 1, OutcomeOK, RoleReplica)
	g.request(2, fresh)
	g.wantAttempts(2)
}

// TestPrimaryIsDeposedByDenialAtItsClaimedPosition: a deposed primary that stops applying keeps the position of its
// last claim, so a denial with that position is not older than the claim and must end the role.
func TestPrimaryIsDeposedByDenialAtItsClaimedPosition(t *testing.T) {
	g := newHarness(t, baseConfig(), 3)
	g.ready(3)
	claimed := g.now
	g.run(time.Second) // so that no replica is known to be within the bound
	g.report(1, false, g.now-claimed+10*ms)
	g.request(1, bounded)
	g.run(50 * ms)
	g.wantAttempts(1)
	for _, v := range g.r.Views(nil) {
		if v.Primary {
			t.Errorf("server %d still counts as the primary", v.Server)
		}
	}
}

func TestSingleLongRequestIsNotTakenForSilence(t *testing.T) {
	g := newHarness(t, baseConfig(), 3)
	g.ready(3)
	g.request(1, anyRead)
	withdrawn := func() bool {
		for _, a := range g.last {
			if a.Kind == ActionWithdraw {
				return true
			}
		}
		return false
	}
	for range 36 { // 180 ms: 3.6 initial mean latencies of 50 ms
		g.run(5 * ms)
		if withdrawn() {
			t.Fatal("a single long request was withdrawn")
		}
	}
	for range 150 {
		g.run(5 * ms)
		if withdrawn() {
			return
		}
	}
	t.Error("a server that never answers kept its read")
}

func TestKeyedResendStaysInItsZone(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[keyed].Scope = ScopeZone
	g := newHarness(t, cfg, 2)
	g.step(Event{Kind: EventList, Entries: []Entry{{Server: 2, Zone: 1}}})
	g.ready(2)
	g.request(1, keyed)
	g.now += 50 * ms
	g.endAttempt(1, 0, 1, OutcomeError, RoleReplica)
	g.report(2, true, 5*ms)
	g.run(100 * ms)
	g.wantAttempts(1, 1)
}

func TestWithoutPollsAWriteFindsThePrimaryByMisses(t *testing.T) {
	cfg := baseConfig()
	cfg.Probing = false
	g := newHarness(t, cfg, 2)
	g.request(1, write)
	if len(g.attempts[1]) != 1 {
		t.Fatalf("write went to %v", g.attempts[1])
	}
	guess := g.attempts[1][0]
	g.endAttempt(1, 0, guess, OutcomeMiss, RoleReplica)
	g.wantAttempts(1, guess, 3-guess)
}

// TestColdServerGetsItsPartFromManyUnequalRouters: many routers with few and unequal numbers of requests must
// together neither overload a cold server nor starve it.
func TestColdServerGetsItsPartFromManyUnequalRouters(t *testing.T) {
	cfg := baseConfig()
	cfg.Routers = 200
	cold, warm := 0, 0
	for i := range 200 {
		r, err := New(cfg, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		g := &harness{t: t, r: r, now: 100 * time.Second, final: map[RequestID]ActionKind{},
			attempts: map[RequestID][]ServerID{}, polled: map[ServerID]int{}}
		g.step(Event{Kind: EventList, List: ListCached, Entries: []Entry{{Server: 1}, {Server: 2}, {Server: 3},
			{Server: 4}, {Server: 5, Started: 99 * time.Second}}})
		g.ready(5)
		for id := range RequestID(1 + 6*(i%2)) { // one read in a second, or seven
			g.request(id, anyRead)
			for n, s := range g.attempts[id] {
				g.endAttempt(id, n, s, OutcomeOK, RoleReplica)
				if s == 5 {
					cold++
				} else {
					warm++
				}
			}
			g.now += 100 * ms
		}
	}
	// Its least warmth is 0.2 rising to 0.34; each of the three warm peers has about a third of the rest.
	if mean := float64(warm) / 3; float64(cold) > 0.5*mean || float64(cold) < 0.1*mean {
		t.Errorf("a cold server was sent %d, each of its warm peers %.0f", cold, mean)
	}
}

// newLowTrafficHarness returns one of 40 routers with three ready servers, after two reads that opened connections.
func newLowTrafficHarness(t *testing.T, parallel bool) *harness {
	cfg := baseConfig()
	cfg.Routers, cfg.ParallelAttempts = 40, parallel
	g := newHarness(t, cfg, 3)
	g.ready(3)
	for id := RequestID(900); id < 902; id++ {
		g.request(id, anyRead)
		g.now += 10 * ms
		g.endAttempt(id, 0, g.attempts[id][0], OutcomeOK, RoleReplica)
	}
	return g
}

func (g *harness) count(kind ActionKind) (n int) {
	for _, a := range g.last {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

func TestStaleConnectionsAreClosedBeforeTheNextSend(t *testing.T) {
	g := newLowTrafficHarness(t, true)
	g.now += 3 * time.Second
	g.request(1, anyRead)
	if g.count(ActionDisconnect) != 0 {
		t.Error("an idle connection was closed though nothing was lost on one")
	}
	g.run(time.Second) // no answer: the read is hedged at the other replica
	if len(g.attempts[1]) != 2 {
		t.Fatalf("lost read was sent to %v, want a hedged request to another server", g.attempts[1])
	}
	g.endAttempt(1, 1, g.attempts[1][1], OutcomeOK, RoleReplica)
	g.now += 4 * time.Second
	g.request(2, anyRead)
	if g.count(ActionDisconnect) != 1 {
		t.Error("a connection idle for longer than one that lost a read was used again")
	}
}

// TestSilenceOnCheckedConnectionsClosesNone: a server leaves a read unanswered on a connection that was idle. With
// connections checked before each use, as package platform does, the read is queued at the server, and idle
// connections must stay open.
func TestSilenceOnCheckedConnectionsClosesNone(t *testing.T) {
	g := newLowTrafficHarness(t, true)
	g.r.AssumeCheckedConns()
	g.now += 3 * time.Second
	g.request(1, anyRead)
	g.run(time.Second)
	if len(g.attempts[1]) != 2 {
		t.Fatalf("read was sent to %v, want a hedged request as the server is silent", g.attempts[1])
	}
	g.endAttempt(1, 1, g.attempts[1][1], OutcomeOK, RoleReplica)
	g.now += 4 * time.Second
	g.request(2, anyRead)
	if n := g.count(ActionDisconnect); n != 0 {
		t.Errorf("idle connections to %d servers were closed as if they were stale", n)
	}
}

func TestKeyedWriteLostWithItsConnectionIsSentAgain(t *testing.T) {
	g := newLowTrafficHarness(t, true)
	g.request(1, keyed)
	g.endAttempt(1, 0, 1, OutcomeOK, RolePrimary)
	g.now += 3 * time.Second
	g.report(1, true, 5*ms)
	g.request(2, keyed)
	g.run(800 * ms)
	g.wantAttempts(2, 1, 1)
}

func TestRouterKeepsToOpenConnectionsWhileNewOnesAreRefused(t *testing.T) {
	g := newLowTrafficHarness(t, true)
	last := g.attempts[901][0] // round robin would pick the other replica
	g.request(1, write)
	g.endAttempt(1, 0, 1, OutcomeConnectFailed, RoleUnknown)
	g.report(1, true, 5*ms) // it answers polls, so it refuses connections
	for id := RequestID(2); id < 6; id++ {
		g.request(id, anyRead)
		g.wantAttempts(id, last)
		g.endAttempt(id, 0, last, OutcomeOK, RoleReplica)
	}
}

func TestLateAnswersThrottleARouterWithFewRequests(t *testing.T) {
	g := newLowTrafficHarness(t, false)
	sent := 0
	for id := RequestID(1); id <= 60; id++ {
		g.request(id, anyRead)
		if n := len(g.attempts[id]); n > 0 {
			sent++
			g.now += 450 * ms
			g.step(Event{Kind: EventOutcome, Request: id, Server: g.attempts[id][0], Outcome: OutcomeOK, Role: RoleReplica,
				Settled: true, Age: 450 * ms, Position: g.now - ms - g.r.cfg.Origin})
		} else {
			g.run(450 * ms)
			g.wantFinal(id, ActionReject)
		}
	}
	if sent > 40 || sent < 3 {
		t.Errorf("%d of 60 reads were sent though every answer was late", sent)
	}
}

func TestLostAnswersDoNotThrottleARouterWithFewRequests(t *testing.T) {
	g := newLowTrafficHarness(t, false)
	for id := RequestID(1); id <= 30; id++ {
		g.request(id, anyRead)
		if len(g.attempts[id]) == 0 {
			t.Fatalf("read %d was held: lost answers were taken for load", id)
		}
		o := OutcomeOK
		if id%4 == 0 {
			o = OutcomeTimeout
		}
		g.now += 30 * ms
		g.step(Event{Kind: EventOutcome, Request: id, Server: g.attempts[id][0], Outcome: o, Role: RoleReplica,
			Settled: true, Age: 300 * ms, Position: g.now - ms - g.r.cfg.Origin})
		g.now += 2 * time.Second
	}
}

func TestFewReadsFallBackWhileReplicasLag(t *testing.T) {
	cfg := baseConfig()
	cfg.Routers = 100
	toPrimary := 0
	for seed := range uint64(100) {
		r, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		g := &harness{t: t, r: r, now: 100 * time.Second, final: map[RequestID]ActionKind{},
			attempts: map[RequestID][]ServerID{}, polled: map[ServerID]int{}}
		list := Event{Kind: EventList, List: ListCached}
		for i := range 5 {
			list.Entries = append(list.Entries, Entry{Server: ServerID(i + 1)})
		}
		g.step(list)
		g.report(1, true, 10*ms)
		for s := ServerID(2); s <= 5; s++ {
			g.report(s, false, 5*time.Second)
		}
		g.request(1, bounded)
		g.run(100 * ms)
		toPrimary += len(g.attempts[1])
	}
	if toPrimary > 50 || toPrimary == 0 {
		t.Errorf("%d of 100 routers sent their first unproven read to the primary, want about one member's share", toPrimary)
	}
}

func TestWithdrawsOnlyWithBudgetForAnotherAttempt(t *testing.T) {
	cfg := baseConfig()
	cfg.Routers = 400 // each router's initial part of the retry budget is below one
	g := newHarness(t, cfg, 3)
	g.ready(3)
	g.request(1, anyRead)
	for range 120 {
		g.run(5 * ms)
		if g.count(ActionWithdraw) > 0 {
			t.Fatal("a read was withdrawn though the retry budget allows no further attempt")
		}
	}
}

func TestDrainOutlivesAnOutdatedList(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.ready(2)
	list := func(kind ListKind, e ...Entry) { g.step(Event{Kind: EventList, List: kind, Entries: e}) }
	list(ListDelta, Entry{Server: 2, Life: LifeDraining})
	list(ListFull, Entry{Server: 1}, Entry{Server: 2})
	g.request(1, anyRead)
	g.wantAttempts(1, 1)
	list(ListDelta, Entry{Server: 2, Life: LifeRemoved})
	list(ListFull, Entry{Server: 1}, Entry{Server: 2})
	g.report(2, false, 5*ms)
	g.request(2, anyRead)
	g.wantAttempts(2, 1)
	list(ListDelta, Entry{Server: 2, Started: g.now})
	g.run(g.r.cfg.RampTime + time.Second)
	g.ready(2)
	g.request(3, anyRead)
	g.wantAttempts(3, 2)
}

// TestARemovedPrimaryListedAsDrainingHasNoGrace removes the primary from the list and lists it again as draining: its
// drain grace began with the removal, so it must get no write, though polls name it primary.
func TestARemovedPrimaryListedAsDrainingHasNoGrace(t *testing.T) {
	g := newHarness(t, baseConfig(), 2)
	g.ready(2)
	g.report(1, true, 5*ms)
	g.request(1, write)
	g.wantAttempts(1, 1)
	g.step(Event{Kind: EventList, Entries: []Entry{{Server: 1, Life: LifeRemoved}}})
	g.run(g.r.cfg.DrainGrace)
	g.step(Event{Kind: EventList, Entries: []Entry{{Server: 1, Life: LifeDraining}}})
	g.run(50 * ms)
	g.report(1, true, 5*ms)
	g.request(2, write)
	g.run(100 * ms)
	g.wantAttempts(2)
	g.step(Event{Kind: EventList, Entries: []Entry{{Server: 1, Life: LifeReady, Started: g.now}}})
	g.run(g.r.cfg.RampTime + time.Second)
	g.report(1, true, 5*ms)
	g.request(3, write)
	g.wantAttempts(3, 1)
}

func TestSoftRemovalKeepsServersMissingFromTheList(t *testing.T) {
	cfg := baseConfig()
	cfg.SoftRemoval = true
	g := newHarness(t, cfg, 2)
	g.ready(2)
	g.step(Event{Kind: EventList, List: ListFull}) // an empty list removes no server
	g.request(1, anyRead)
	g.wantAttempts(1, 2)
	g.step(Event{Kind: EventList, Entries: []Entry{{Server: 2, Life: LifeDraining}}})
	g.now += time.Second
	g.request(2, anyRead)
	g.wantAttempts(2, 1)
}

func TestFailedListRequestIsRepeated(t *testing.T) {
	cfg := baseConfig()
	cfg.SubscribeToList, cfg.SubscribeWithin = true, 10*time.Second
	g := newHarness(t, cfg, 2)
	if g.count(ActionSubscribe) != 1 {
		t.Fatal("no subscription to the list at the start")
	}
	g.step(Event{Kind: EventList, List: ListFailed})
	for range 1000 {
		g.run(5 * ms)
		if g.count(ActionSubscribe) > 0 {
			return
		}
	}
	t.Error("a failed list request was not repeated within five seconds")
}

func TestRoutersBeginAtDifferentServers(t *testing.T) {
	first := map[ServerID]int{}
	for seed := range uint64(60) {
		r, err := New(baseConfig(), seed)
		if err != nil {
			t.Fatal(err)
		}
		g := &harness{t: t, r: r, now: 100 * time.Second, final: map[RequestID]ActionKind{},
			attempts: map[RequestID][]ServerID{}, polled: map[ServerID]int{}}
		g.step(Event{Kind: EventList, List: ListCached, Entries: []Entry{{Server: 1}, {Server: 2}, {Server: 3}, {Server: 4}}})
		g.ready(4)
		g.request(1, anyRead)
		first[g.attempts[1][0]]++
	}
	for s := ServerID(2); s <= 4; s++ {
		if first[s] < 8 || first[s] > 35 {
			t.Errorf("%d of 60 routers sent their first read to server %d of three", first[s], s)
		}
	}
}

// TestSequentialReadsOpenFewConnections: with many servers, reads one at a time must reuse connections, as each new
// one costs a server work; concurrent reads must use every server.
func TestSequentialReadsOpenFewConnections(t *testing.T) {
	const servers = 40
	cfg := baseConfig()
	cfg.Routers = 40
	g := newHarness(t, cfg, servers)
	g.ready(servers)
	used := map[ServerID]bool{}
	read := func(id RequestID) {
		g.request(id, anyRead)
		if len(g.attempts[id]) != 1 {
			t.Fatalf("read %d went to %v", id, g.attempts[id])
		}
		used[g.attempts[id][0]] = true
	}
	for id := RequestID(1); id <= 60; id++ {
		read(id)
		g.now += ms
		g.endAttempt(id, 0, g.attempts[id][0], OutcomeOK, RoleReplica)
	}
	if len(used) > 4 {
		t.Errorf("%d servers used by 60 reads, one at a time", len(used))
	}
	for id := RequestID(100); id < 100+servers-1; id++ {
		read(id)
	}
	if len(used) != servers-1 { // all but the primary
		t.Errorf("%d servers of %d used by as many reads at once", len(used), servers-1)
	}
}

func TestServerIsPassedOverAfterATimeout(t *testing.T) {
	g := newLowTrafficHarness(t, false)
	g.request(1, anyRead)
	hung := g.attempts[1][0]
	g.now += 400 * ms
	g.step(Event{Kind: EventOutcome, Request: 1, Server: hung, Outcome: OutcomeTimeout, Settled: true, Age: 400 * ms})
	for id := RequestID(2); id < 7; id++ {
		g.request(id, anyRead)
		if len(g.attempts[id]) != 1 || g.attempts[id][0] == hung {
			t.Errorf("read %d was sent to %v, want another server than the one that timed out", id, g.attempts[id])
		}
		g.now += 100 * ms
		g.endAttempt(id, 0, g.attempts[id][0], OutcomeOK, RoleReplica)
	}
	g.now += 6 * time.Second
	g.request(8, anyRead)
	g.wantAttempts(8, hung)
}
