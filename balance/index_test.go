package balance

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// attempt is a simulated attempt in flight.
type attempt struct {
	id  RequestID
	n   int
	s   ServerID
	at  time.Duration
	end time.Duration
	o   Outcome
}

// pendingPoll is a simulated poll in flight.
type pendingPoll struct {
	s       ServerID
	at, end time.Duration
	ok      bool
}

func drawConfig(rng *rand.Rand) Config {
	b := func() bool { return rng.IntN(2) == 0 }
	c := Config{Routers: rng.IntN(30), MinBatchInterval: time.Duration(1+rng.IntN(5)) * ms, Origin: time.Second, Positions: true,
		LagPolicy: LagPolicy(0), CatchUpWait: 50 * ms, DriverSessions: rng.IntN(4) == 0, SubscribeToList: rng.IntN(6) == 0, SubscribeWithin: time.Second, DrainGrace: 500 * ms,
		SoftRemoval: rng.IntN(5) == 0, AnswerSlack: 20 * ms, ColdFrom: 0.2, RampTime: time.Duration(rng.IntN(2)) * 5 * time.Second, ColdOverloadMultiple: 3, ColdOverloadWindow: time.Second, Cancel: b(),
		Probing: rng.IntN(6) > 0, ParallelAttempts: rng.IntN(4) == 0, AttemptLimit: 1 + rng.IntN(10), RetryAfter: b(), MaxRetryAfter: time.Second, DialTimeout: 250 * ms}
	if rng.IntN(4) == 0 {
		c.LagPolicy = LagPolicy(rng.IntN(3))
	}
	c.Classes = []Class{
		{Name: "a", Need: NeedBounded, Bound: 200 * ms, Target: 400 * ms, Deadline: time.Second, Value: 2},
		{Name: "o", Need: NeedSession, Target: 250 * ms, Deadline: time.Second, Value: 1},
		{Name: "w", Need: NeedWrite, Effect: Unsafe, Target: 500 * ms, Deadline: 3 * time.Second, Value: 6, LateValue: 0.5},
		{Name: "k", Need: NeedWrite, Effect: Keyed, Window: 2 * time.Second, Target: 500 * ms, Deadline: 2 * time.Second, Value: 6},
		{Name: "f", Need: NeedFresh, Target: 400 * ms, Deadline: time.Second, Value: 1},
		{Name: "y", Need: NeedAny, Target: time.Second, Deadline: 2 * time.Second, Value: 1},
	}
	return c
}

// TestSweepOfDueGroupsActsLikeFullSweep: sweeping only groups that may have changed must give the same actions as
// sweeping all of them.
// Random events include servers that fail, lag, answer late and start cold, changing lists, aborted requests and
// long gaps between batches.
func TestSweepOfDueGroupsActsLikeFullSweep(t *testing.T) {
	events, actions := 0, 0
	for seed := range uint64(12) {
		e, a := compareSweeps(t, seed+1)
		events, actions = events+e, actions+a
	}
	if events < 50_000 || actions < 30_000 {
		t.Errorf("only %d events and %d actions", events, actions)
	}
}

// checkTimers checks that each member without a poll in flight is in the index with the time of its next poll.
func checkTimers(t *testing.T, r *Router) {
	n := 0
	for _, g := range r.order {
		for _, s := range g.members {
			if s.polling {
				continue
			}
			if n++; s.timer.place == 0 || s.timer.at != s.nextPoll || r.cfg.Probing && s.nextPoll <= r.now {
				t.Fatalf("server %x: in the index at %v, place %d; next poll %v, now %v", uint64(s.id), s.timer.at, s.timer.place, s.nextPoll, r.now)
			}
		}
	}
	if n != len(r.polls.heap) {
		t.Fatalf("%d in the index, %d members", len(r.polls.heap), n)
	}
}

// compareSweeps feeds the same random events to a router that sweeps all groups and to one that sweeps those due. The
// events follow from the actions of the first router.
func compareSweeps(t *testing.T, seed uint64) (events, actions int) {
	rng := rand.New(rand.NewPCG(seed, 77))
	cfg := drawConfig(rng)
	whole, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	r, _ := New(cfg, seed)
	groups, members := 1+rng.IntN(8), 2+rng.IntN(6)
	now := 50 * time.Second
	var list []Entry
	for g := range groups {
		for m := range members {
			list = append(list, Entry{Server: ServerID(g*100 + m + 1), Group: g, Zone: m % 2})
		}
	}
	primary := make([]ServerID, groups)
	for g := range primary {
		primary[g] = ServerID(g*100 + 1)
	}
	down := map[ServerID]time.Duration{}
	lag := map[ServerID]time.Duration{}
	slow := 1 + 20*rng.Float64()*rng.Float64()
	rate := rng.Float64() * rng.Float64() * 8
	evs := []Event{{Kind: EventList, List: ListCached, Entries: list}}
	var attempts []attempt
	var polls []pendingPoll
	type timer struct {
		tok uint64
		at  time.Duration
	}
	var timers []timer
	counts := map[RequestID]int{}
	over := map[RequestID]bool{}
	next := RequestID(1)
	for step := 0; step < 3000; step++ {
		for _, g := range whole.order {
			whole.markDirty(g)
		}
		a, b := whole.Step(now, evs, nil), r.Step(now, evs, nil)
		checkTimers(t, r)
		events += len(evs)
		actions += len(a)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d, step %d: %+v\nfull   %+v\ndue    %+v\nevents %+v", seed, step, cfg, a, b, evs)
		}
		for _, x := range a {
			switch x.Kind {
			case ActionSend:
				d := time.Duration(rng.ExpFloat64() * 20 * slow * float64(ms))
				o := OutcomeOK
				if over[x.Request] {
					o, d = OutcomeUnsent, 0
				} else if now < down[x.Server] {
					o = []Outcome{OutcomeTimeout, OutcomeConnectFailed, OutcomeReset, OutcomeTimeout}[rng.IntN(4)]
					if o == OutcomeTimeout {
						d = time.Duration(300+rng.IntN(900)) * ms
					}
				} else if rng.IntN(30) == 0 {
					o = Outcome(rng.IntN(9))
				}
				attempts = append(attempts, attempt{x.Request, counts[x.Request], x.Server, now, now + d, o})
				counts[x.Request]++
			case ActionWithdraw:
				for i := range attempts {
					if attempts[i].id == x.Request && attempts[i].n == x.Attempt {
						attempts[i].o, attempts[i].end = OutcomeCancelled, now
					}
				}
			case ActionReject, ActionFail:
				over[x.Request] = true
			case ActionPoll:
				polls = append(polls, pendingPoll{x.Server, now, now + time.Duration(rng.ExpFloat64()*float64(3*ms)), now >= down[x.Server] && rng.IntN(40) > 0})
			case ActionTimer:
				timers = append(timers, timer{x.Token, now + x.After})
			case ActionSubscribe:
				evs = append(evs[:0], Event{Kind: EventList, List: ListFull, Entries: list})
			}
		}
		// advance the clock
		gap := time.Duration(rng.ExpFloat64() * float64(4*ms))
		if rng.IntN(300) == 0 {
			gap = time.Duration(rng.IntN(2000)) * ms
		}
		now += max(gap, cfg.MinBatchInterval)
		evs = nil
		report := func(s ServerID) Report {
			g := int(s-1) / 100
			p := primary[g] == s
			at := now - cfg.Origin - lag[s] - time.Duration(rng.IntN(30))*ms
			if p {
				at = now - cfg.Origin - ms
			}
			return Report{Valid: true, HasRole: true, HasPosition: rng.IntN(20) > 0, Primary: p || rng.IntN(300) == 0, Position: at}
		}
		polls = slices.DeleteFunc(polls, func(p pendingPoll) bool {
			if p.end > now {
				return false
			}
			ev := Event{Kind: EventPoll, Server: p.s, Outcome: OutcomeTimeout, Age: now - p.at}
			if p.ok {
				ev.Outcome, ev.Report = OutcomeOK, report(p.s)
			}
			evs = append(evs, ev)
			return true
		})
		var remaining []attempt
		for _, x := range attempts {
			if x.end > now {
				remaining = append(remaining, x)
				continue
			}
			g := int(x.s-1) / 100
			ev := Event{Kind: EventOutcome, Request: x.id, Attempt: x.n, Server: x.s, Outcome: x.o, Age: now - x.at, Settled: over[x.id]}
			if x.o == OutcomeOK || x.o == OutcomeMiss || x.o == OutcomeFull || x.o == OutcomeError {
				r := report(x.s)
				ev.Role, ev.Position = RoleReplica, r.Position
				if primary[g] == x.s {
					ev.Role = RolePrimary
				}
				if rng.IntN(5) == 0 {
					ev.Position = 0
				}
				if rng.IntN(10) == 0 {
					ev.Report = r
				}
			}
			if x.o == OutcomeOK && !over[x.id] {
				over[x.id], ev.Settled = true, true
			}
			evs = append(evs, ev)
		}
		attempts = remaining
		timers = slices.DeleteFunc(timers, func(x timer) bool {
			if x.at <= now {
				evs = append(evs, Event{Kind: EventTimer, Token: x.tok})
			}
			return x.at <= now
		})
		k := 0
		for float64(k) < rate*rng.ExpFloat64() {
			k++
			class := rng.IntN(len(cfg.Classes))
			ev := Event{Kind: EventRequest, Request: next, Class: class, Group: rng.IntN(groups), Key: rng.Uint64N(20), Deadline: now + time.Duration(rng.Float64()*float64(cfg.Classes[class].Deadline))}
			if rng.IntN(2) == 0 {
				ev.SinceWrite = time.Duration(rng.IntN(500)) * ms
			}
			evs = append(evs, ev)
			next++
		}
		if next > 1 && rng.IntN(40) == 0 {
			id := next - 1 - RequestID(rng.IntN(int(min(next-1, 20))))
			if !over[id] {
				over[id] = rng.IntN(3) > 0
				kind := EventAborted
				if !over[id] {
					kind = EventStreaming
				}
				evs = append(evs, Event{Kind: kind, Request: id})
			}
		}
		g := rng.IntN(groups)
		any := ServerID(g*100 + 1 + rng.IntN(members))
		switch rng.IntN(400) {
		case 0:
			down[any] = now + time.Duration(rng.IntN(4000))*ms
		case 1:
			down[primary[g]] = now + time.Duration(rng.IntN(4000))*ms
			primary[g] = any
		case 2:
			lag[any] = time.Duration(rng.IntN(600)) * ms
		case 3, 4:
			for i := range list {
				if list[i].Server == any {
					list[i].Life = Life(rng.IntN(3))
					if list[i].Life == LifeReady && rng.IntN(2) == 0 {
						list[i].Started = now - time.Duration(rng.IntN(1000))*ms
					}
					evs = append(evs, Event{Kind: EventList, List: ListDelta, Entries: []Entry{list[i]}})
				}
			}
		case 5:
			evs = append(evs, Event{Kind: EventList, List: ListFull, Entries: append([]Entry(nil), list...)})
		case 6:
			evs = append(evs, Event{Kind: EventList, List: ListFailed})
		case 7:
			for m := range members { // all members of the group
				down[ServerID(g*100+m+1)] = now + time.Duration(rng.IntN(3000))*ms
			}
		case 8:
			rate = rng.Float64() * rng.Float64() * 12
		}
	}
	return
}
