package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"umberladder/balance"
	"umberladder/lab/history"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/standin"
)

// mixedSite has a class for each guarantee, with targets and deadlines long enough for slow reads.
func mixedSite() Site {
	const second = time.Second
	return Site{Grace: 500 * time.Millisecond, ColdOverloadWindow: second, ColdOverloadMultiple: 3, Margin: 50 * time.Millisecond, Classes: []Class{
		{Name: "own-read", Need: balance.NeedSession, Share: 0.45, Target: 400 * time.Millisecond, Deadline: 2 * second, Value: 1},
		{Name: "article-read", Need: balance.NeedBounded, Bound: 300 * time.Millisecond, Share: 0.18, Target: 400 * time.Millisecond, Deadline: 2 * second, Value: 2},
		{Name: "desk-check", Need: balance.NeedFresh, Share: 0.15, Target: 400 * time.Millisecond, Deadline: 2 * second, Value: 1},
		{Name: "write", Need: balance.NeedWrite, Effect: balance.Unsafe, Share: 0.16, Target: 500 * time.Millisecond, Deadline: 3 * second, Value: 6},
		{Name: "post", Need: balance.NeedWrite, Effect: balance.Keyed, Window: 2 * second, Share: 0.06, Target: 500 * time.Millisecond, Deadline: 2 * second, Value: 6},
	}}
}

// mixedNode draws the nodes' configuration: isolation level, parameters on facts, synchronous standbys, and delayed
// or asynchronous commits.
func mixedNode(rng *rand.Rand) standin.Config {
	cfg := standin.Config{Cores: 8, Read: time.Millisecond, MaxRead: 100 * time.Millisecond, Write: 3 * time.Millisecond, ShipDelay: 4 * time.Millisecond,
		ReplayTime: 300 * time.Microsecond, MaxConns: 400, ColdFrom: 0.3, RampTime: time.Second}
	cfg.RepeatableRead, cfg.ReportParameters = rng.IntN(2) == 0, rng.IntN(3) == 0
	cfg.RemoteApply = max(0, rng.IntN(4)-2) // one synchronous standby for one seed in four
	if rng.IntN(2) == 0 {
		cfg.CommitDelay = time.Duration(rng.IntN(15)) * time.Millisecond
	}
	if cfg.RemoteApply == 0 && rng.IntN(3) == 0 {
		cfg.FlushDelay = time.Duration(rng.IntN(60)) * time.Millisecond
	}
	return cfg
}

// History plays a mixed load whose sessions carry every token and pass tokens to each other, before replicas with
// different lags and primaries that change with and without lost commits. It judges the session guarantees by the
// values that clients saw, in addition to the five rules. With a plant other than NoPlant, the judges must find the
// planted fault.
func History(seed uint64, plant Plant) (*Report, error) {
	node := mixedNode(rand.New(rand.NewPCG(seed, 0x6e6f6465)))
	d, err := startDay("history", Spec{Slices: 2, Members: 4, Drivers: 2, Node: node, Site: mixedSite(), Seed: seed, ExtraSettings: "tokens history on\n"}, 0x686973)
	if err != nil {
		return nil, err
	}
	f := d.fleet
	sessions := make([]*session, 24)
	for i := range sessions {
		s := newSession(f, d.callLog, i, 0.01)
		s.alwaysCarriesToken, s.plant, s.lateReadShare, s.quietSlice = true, plant, 0.5, f.Groups[1].Name
		sessions[i] = s
	}
	for _, s := range sessions {
		d.clients.Go(func() {
			for d.ctx.Err() == nil {
				s.callRandom(d.ctx)
				if s.rng.IntN(12) == 0 {
					s.sendTokens(sessions[s.rng.IntN(len(sessions))])
				}
				d.sleep(time.Duration(s.rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	d.historyScript()
	time.Sleep(9 * time.Second)
	r := d.finish()
	r.Rules = r.Rules[:len(r.Rules)-1] // replaced below by one rule for each guarantee
	calls := d.callLog.Calls()
	r.Notes = append(r.Notes, readCounts(calls))
	for _, rule := range history.Check(f.History(calls)) {
		r.Rules = append(r.Rules, ruleOf(rule))
	}
	r.requireChances(map[string]int{"read your writes": 100, "monotonic reads": 100, "causal order": 50, "bounded age": 100, "linearizable": 100})
	return r, nil
}

// readCounts reports how many reads were served, by the primary and after further attempts, and how many were
// refused.
func readCounts(calls []Call) string {
	served, refused, byPrimary, retried := 0, 0, 0, 0
	for i := range calls {
		c := &calls[i]
		if c.Class.Need == balance.NeedWrite {
			continue
		}
		if c.Verdict == Refused {
			refused++
		}
		if c.Verdict != Served || c.Served == nil {
			continue
		}
		served++
		if c.Served.Role == pb.Role_ROLE_PRIMARY {
			byPrimary++
		}
		if c.Served.Attempts > 1 {
			retried++
		}
	}
	return fmt.Sprintf("reads: served %d, of them by the primary %d and after further attempts %d; refused %d", served, byPrimary, retried, refused)
}

// requireChances adds an entry to Missing for each rule with fewer chances than required.
func (r *Report) requireChances(least map[string]int) {
	for _, rule := range r.Rules {
		if n := least[rule.Name]; rule.Chances < n {
			r.Missing = append(r.Missing, fmt.Sprintf("%s: %d chances, want %d", rule.Name, rule.Chances, n))
		}
	}
}

// historyScript schedules replicas that lag by different amounts, pause and catch up, and changes of the primary.
// The first slice is written to all the time and its replicas lag now and then. The second is hardly written to and
// its replicas always lag by some tenths of a second, so that a token that covers too little leads to stale reads.
func (d *day) historyScript() {
	for i, n := range d.fleet.Groups[0].Nodes()[1:] {
		factor := []float64{60, 900, 1500}[(i+d.rng.IntN(3))%3]
		for part := range 3 {
			from, duration := time.Duration(part)*2800*time.Millisecond+d.randomDuration(100*time.Millisecond, time.Second), d.randomDuration(500*time.Millisecond, 1700*time.Millisecond)
			d.schedule(from, "replica lagged", func(context.Context) {
				n.SlowReplay(factor)
				d.sleep(duration)
				n.SlowReplay(1)
			})
		}
	}
	d.schedule(0, "replicas lagged differently", func(ctx context.Context) { d.keepLagging(ctx, d.fleet.Groups[1]) })
	for _, g := range d.fleet.Groups {
		paused, duration := g.Nodes()[1+d.rng.IntN(3)], d.randomDuration(200*time.Millisecond, 900*time.Millisecond)
		d.schedule(d.randomDuration(500*time.Millisecond, 7*time.Second), "replay paused", func(context.Context) {
			paused.Pause(true)
			d.sleep(duration)
			paused.Pause(false)
		})
		d.schedule(d.randomDuration(2*time.Second, 3500*time.Millisecond), "promotion", func(context.Context) { d.failOver(g, false) })
		d.schedule(d.randomDuration(5*time.Second, 7*time.Second), "promotion that lost commits", func(context.Context) { d.failOver(g, true) })
	}
	d.drainReplica(d.fleet.Groups[d.rng.IntN(2)], d.randomDuration(3500*time.Millisecond, 4500*time.Millisecond))
}

// keepLagging keeps replay on a slice's nodes slow, each by another factor, and sets the factors again after
// restarts and promotions.
func (d *day) keepLagging(ctx context.Context, g *standin.Group) {
	for ctx.Err() == nil {
		if d.promotionLocks[g].TryLock() {
			for i, n := range g.Nodes() {
				n.SlowReplay([]float64{400, 60, 700, 1200}[i%4])
			}
			d.promotionLocks[g].Unlock()
		}
		d.sleep(200 * time.Millisecond)
	}
}
