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

// mixedSite has a class for each guarantee, with times that leave slow reads room.
func mixedSite() Site {
	const second = time.Second
	return Site{Grace: 500 * time.Millisecond, Fall: second, Tip: 3, Margin: 50 * time.Millisecond, Classes: []Class{
		{Name: "own-read", Need: balance.NeedSession, Share: 0.45, Target: 400 * time.Millisecond, Deadline: 2 * second, Worth: 1},
		{Name: "article-read", Need: balance.NeedBounded, Bound: 300 * time.Millisecond, Share: 0.18, Target: 400 * time.Millisecond, Deadline: 2 * second, Worth: 2},
		{Name: "desk-check", Need: balance.NeedFresh, Share: 0.15, Target: 400 * time.Millisecond, Deadline: 2 * second, Worth: 1},
		{Name: "write", Need: balance.NeedWrite, Effect: balance.Unsafe, Share: 0.16, Target: 500 * time.Millisecond, Deadline: 3 * second, Worth: 6},
		{Name: "post", Need: balance.NeedWrite, Effect: balance.Keyed, Window: 2 * second, Share: 0.06, Target: 500 * time.Millisecond, Deadline: 2 * second, Worth: 6},
	}}
}

// mixedNode draws how nodes behave: what a snapshot is, when commits show, and how facts are told.
func mixedNode(rng *rand.Rand) standin.Config {
	cfg := standin.Config{Cores: 8, Read: time.Millisecond, ReadMost: 100 * time.Millisecond, Write: 3 * time.Millisecond, Ship: 4 * time.Millisecond,
		Apply: 300 * time.Microsecond, MaxConns: 400, ColdFrom: 0.3, Ramp: time.Second}
	cfg.Repeatable, cfg.Params = rng.IntN(2) == 0, rng.IntN(3) == 0
	cfg.RemoteApply = max(0, rng.IntN(4)-2) // one synchronous standby on one seed in four
	if rng.IntN(2) == 0 {
		cfg.Settle = time.Duration(rng.IntN(15)) * time.Millisecond
	}
	if cfg.RemoteApply == 0 && rng.IntN(3) == 0 {
		cfg.Async = time.Duration(rng.IntN(60)) * time.Millisecond
	}
	return cfg
}

// History plays mixed sessions that hand on every token, and hand them to each other, before replicas that lag
// differently and primaries that change with and without lost commits. It judges the session guarantees by the values
// that clients saw, beside the five rules. A plant other than NoPlant is a fault that must be found.
func History(seed uint64, plant Plant) (*Report, error) {
	node := mixedNode(rand.New(rand.NewPCG(seed, 0x6e6f6465)))
	d, err := startDay("history", Spec{Slices: 2, Members: 4, Drivers: 2, Node: node, Site: mixedSite(), Seed: seed, Extra: "tokens history on\n"}, 0x686973)
	if err != nil {
		return nil, err
	}
	f := d.fleet
	sessions := make([]*session, 24)
	for i := range sessions {
		s := newSession(f, d.book, i, 0.01)
		s.always, s.plant, s.late, s.quiet = true, plant, 0.5, f.Groups[1].Name
		sessions[i] = s
	}
	for _, s := range sessions {
		d.clients.Go(func() {
			for d.ctx.Err() == nil {
				s.once(d.ctx)
				if s.rng.IntN(12) == 0 {
					s.hand(sessions[s.rng.IntN(len(sessions))])
				}
				d.wait(time.Duration(s.rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	d.historyScript()
	time.Sleep(9 * time.Second)
	r := d.finish()
	r.Rules = r.Rules[:len(r.Rules)-1] // the values are judged one by one here
	calls := d.book.Calls()
	r.Notes = append(r.Notes, readCounts(calls))
	for _, rule := range history.Check(f.History(calls)) {
		r.Rules = append(r.Rules, ruleOf(rule))
	}
	r.need(map[string]int{"read your writes": 100, "monotonic reads": 100, "causal order": 50, "bounded age": 100, "linearizable": 100})
	return r, nil
}

// readCounts says where reads were served, and how many took more than one attempt.
func readCounts(calls []Call) string {
	served, refused, byPrimary, again := 0, 0, 0, 0
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
			again++
		}
	}
	return fmt.Sprintf("reads: served %d, of them by the primary %d and after further attempts %d; refused %d", served, byPrimary, again, refused)
}

// need says how many chances some rules must have had at the least.
func (r *Report) need(least map[string]int) {
	for _, rule := range r.Rules {
		if n := least[rule.Name]; rule.Chances < n {
			r.Missing = append(r.Missing, fmt.Sprintf("%s: %d chances, %d wanted", rule.Name, rule.Chances, n))
		}
	}
}

// historyScript makes replicas lag, each in its own way, pause and catch up, and primaries change. The first slice is
// written to all the time, and its replicas lag for a while; the second hardly, and its replicas always do, by some
// tenths of a second, which is where a token that says too little does harm.
func (d *day) historyScript() {
	for i, n := range d.fleet.Groups[0].Nodes()[1:] {
		times := []float64{60, 900, 1500}[(i+d.rng.IntN(3))%3]
		for part := range 3 {
			from, lasts := time.Duration(part)*2800*time.Millisecond+d.span(100*time.Millisecond, time.Second), d.span(500*time.Millisecond, 1700*time.Millisecond)
			d.at(from, "replica lagged", func(context.Context) {
				n.Lag(times)
				d.wait(lasts)
				n.Lag(1)
			})
		}
	}
	d.at(0, "replicas lagged differently", func(ctx context.Context) { d.lagAlways(ctx, d.fleet.Groups[1]) })
	for _, g := range d.fleet.Groups {
		paused, lasts := g.Nodes()[1+d.rng.IntN(3)], d.span(200*time.Millisecond, 900*time.Millisecond)
		d.at(d.span(500*time.Millisecond, 7*time.Second), "replay paused", func(context.Context) {
			paused.Pause(true)
			d.wait(lasts)
			paused.Pause(false)
		})
		d.at(d.span(2*time.Second, 3500*time.Millisecond), "promotion", func(context.Context) { d.handOver(g, false) })
		d.at(d.span(5*time.Second, 7*time.Second), "promotion that lost commits", func(context.Context) { d.handOver(g, true) })
	}
	d.drain(d.fleet.Groups[d.rng.IntN(2)], d.span(3500*time.Millisecond, 4500*time.Millisecond))
}

// lagAlways keeps the nodes of a slice slow to replay, each by another factor, whatever else happens to them.
func (d *day) lagAlways(ctx context.Context, g *standin.Group) {
	for ctx.Err() == nil {
		if d.locks[g].TryLock() {
			for i, n := range g.Nodes() {
				n.Lag([]float64{400, 60, 700, 1200}[i%4])
			}
			d.locks[g].Unlock()
		}
		d.wait(200 * time.Millisecond)
	}
}
