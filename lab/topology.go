package lab

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"umberladder/balance"
	"umberladder/settings"
	"umberladder/standin"
)

// Topology plays random promotions for about ten seconds and judges them by what reached the nodes. Old primaries
// crash, or hang and continue with writes in their buffers, or never notice the promotion. Two promotions come
// within a second, two nodes claim one timeline, a node of another cluster answers at a listed address, a clock
// jumps, the link of one zone loses polls, and the list lacks the new primary.
func Topology(seed uint64) (*Report, error) {
	log := &topologyLog{}
	d, err := startDay("topology", Spec{Slices: 3, Members: 4, Drivers: 3, Node: SmallNode, Seed: seed, Log: log.logger(), ExtraSettings: "tokens history on\n"}, 0x746f70)
	if err != nil {
		return nil, err
	}
	p := &promotions{day: d, log: log, rejoinedAt: map[string][]time.Time{}}
	for i := range 36 {
		s := newSession(d.fleet, d.callLog, i, 0.01)
		d.clients.Go(func() { s.run(d.ctx, 30*time.Millisecond) })
	}
	for _, g := range d.fleet.Groups {
		p.script(g)
	}
	time.Sleep(10 * time.Second)
	r := d.finish()
	r.Missing = slices.DeleteFunc(r.Missing, func(m string) bool { return m == "no chance to break: drains kept" })
	p.judge(r)
	return r, nil
}

// promotions records the promotions of a day.
type promotions struct {
	*day
	mu          sync.Mutex
	performed   []promotion
	rejoinedAt  map[string][]time.Time // by node, when it became a replica again
	falseClaims []falseClaim
	log         *topologyLog
}

// topologyLog collects the drivers' log messages on topology.
type topologyLog struct {
	mu    sync.Mutex
	lines []string
}

func (j *topologyLog) logger() *zap.Logger {
	return hookedLogger(func(e zapcore.Entry) {
		if strings.HasPrefix(e.Message, "topology of slice") || strings.HasPrefix(e.Message, "primary of slice") {
			j.mu.Lock()
			defer j.mu.Unlock()
			j.lines = append(j.lines, e.Time.Format("05.000 ")+e.LoggerName+": "+e.Message)
		}
	})
}

// rejoin makes an old primary a replica.
func (p *promotions) rejoin(g *standin.Group, n *standin.Node) {
	g.Rejoin(n)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejoinedAt[n.Name] = append(p.rejoinedAt[n.Name], time.Now())
}

// promotion is one change of a slice's primary.
type promotion struct {
	group        *standin.Group
	at           time.Time
	old, next    string
	timeline     uint32
	oldContinues bool // the old primary kept running
	newUnlisted  bool // the list lacked the new primary
}

// falseClaim is a period in which a node claimed a timeline or a cluster that is not its own.
type falseClaim struct {
	group    *standin.Group
	from, to time.Time
	node     string
}

// script schedules the events of a slice, one after the other.
func (p *promotions) script(g *standin.Group) {
	kinds := []func(*standin.Group, time.Duration){p.oldCrashes, p.oldHangs, p.oldContinues, p.promotedTwice, p.newPrimaryUnlisted, p.clockJumps}
	p.rng.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
	peers := []func(*standin.Group, time.Duration){p.duplicateClaim, p.otherCluster, p.lossyLink}
	peer := peers[p.rng.IntN(len(peers))]
	at := p.randomDuration(700*time.Millisecond, 1400*time.Millisecond)
	for i, kind := range kinds[:3] {
		duration := p.randomDuration(200*time.Millisecond, 900*time.Millisecond)
		p.schedule(at, "promotion planned", func(context.Context) { p.exclusively(g, func() { kind(g, duration) }) })
		if at += p.randomDuration(2200*time.Millisecond, 2600*time.Millisecond); i == 0 {
			duration := p.randomDuration(500*time.Millisecond, 900*time.Millisecond)
			p.schedule(at-800*time.Millisecond, "odd peer planned", func(context.Context) { p.exclusively(g, func() { peer(g, duration) }) })
		}
	}
}

// exclusively runs one event at a time for a slice.
func (p *promotions) exclusively(g *standin.Group, do func()) {
	p.promotionLocks[g].Lock()
	defer p.promotionLocks[g].Unlock()
	if p.ctx.Err() == nil {
		do()
	}
}

// promote makes the most advanced replica primary and records it. It returns false if no replica runs.
func (p *promotions) promote(g *standin.Group, oldContinues bool) bool {
	old, next := g.Primary(), g.MostAdvanced()
	if next == nil {
		return false
	}
	g.Promote(next)
	p.countFault("promotion")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.performed = append(p.performed, promotion{g, time.Now(), old.Name, next.Name, next.Position().Timeline, oldContinues, false})
	return true
}

// oldCrashes: the old primary has crashed before the promotion and restarts as a replica.
func (p *promotions) oldCrashes(g *standin.Group, duration time.Duration) {
	old := g.Primary()
	old.Crash()
	p.sleep(duration)
	p.promote(g, false)
	p.sleep(duration)
	p.restart(old)
}

// oldHangs: the old primary hangs with writes in its buffers, a replica is promoted, and the old primary continues
// as primary of the superseded timeline.
func (p *promotions) oldHangs(g *standin.Group, duration time.Duration) {
	old := g.Primary()
	old.Hang(true)
	p.countFault("primary stood still")
	p.sleep(duration + 800*time.Millisecond)
	p.promote(g, true)
	p.sleep(duration / 4)
	old.Hang(false)
	p.countFault("old primary woke")
	p.sleep(500 * time.Millisecond)
	p.rejoin(g, old)
}

// oldContinues: the old primary does not notice the promotion until it is made a replica.
func (p *promotions) oldContinues(g *standin.Group, duration time.Duration) {
	old := g.Primary()
	if p.promote(g, true) {
		p.countFault("old primary went on")
	}
	p.sleep(duration + 300*time.Millisecond)
	p.rejoin(g, old)
}

// promotedTwice: two promotions follow within a second.
func (p *promotions) promotedTwice(g *standin.Group, duration time.Duration) {
	first := g.Primary()
	p.promote(g, true)
	p.sleep(duration / 2)
	second := g.Primary()
	p.promote(g, true)
	p.countFault("promotions within a second")
	p.sleep(duration)
	p.rejoin(g, first)
	p.rejoin(g, second)
}

// newPrimaryUnlisted: the list lacks the new primary for a while.
func (p *promotions) newPrimaryUnlisted(g *standin.Group, duration time.Duration) {
	old := g.Primary()
	old.Crash()
	p.sleep(duration / 2)
	p.promote(g, false)
	next := g.Primary()
	p.setLife(next.Name, balance.LifeRemoved)
	p.countFault("list without the new primary")
	p.mu.Lock()
	if n := len(p.performed); n > 0 && p.performed[n-1].next == next.Name {
		p.performed[n-1].newUnlisted = true
	}
	p.mu.Unlock()
	p.sleep(duration)
	p.setLife(next.Name, balance.LifeReady)
	p.restart(old)
}

func (p *promotions) setLife(name string, life balance.Life) {
	p.fleet.UpdateNodes(func(n *settings.Node) {
		if n.Name == name {
			n.Life = life
		}
	})
}

// clockJumps: the clock of the primary jumps forward, and back after a promotion that it does not notice.
func (p *promotions) clockJumps(g *standin.Group, duration time.Duration) {
	old := g.Primary()
	old.ShiftClock(time.Hour)
	p.countFault("clock jumped")
	p.sleep(duration / 2)
	p.promote(g, true)
	old.ShiftClock(-time.Hour)
	p.sleep(duration)
	p.rejoin(g, old)
}

// duplicateClaim: a replica claims for a while to be the primary of the present timeline.
func (p *promotions) duplicateClaim(g *standin.Group, duration time.Duration) {
	p.impersonate(g, duration, "two claimed one timeline", g.PromoteOnSameTimeline)
}

// otherCluster: a node of another cluster answers at a replica's address.
func (p *promotions) otherCluster(g *standin.Group, duration time.Duration) {
	p.impersonate(g, duration, "node of another cluster", func(n *standin.Node) { n.SwitchCluster(8, 99) })
}

// impersonate makes a replica claim a role for a while and records the claim.
func (p *promotions) impersonate(g *standin.Group, duration time.Duration, fault string, become func(*standin.Node)) {
	n := p.runningReplica(g)
	if n == nil {
		return
	}
	s := falseClaim{group: g, from: time.Now(), node: n.Name}
	become(n)
	p.countFault(fault)
	p.sleep(duration)
	p.rejoin(g, n)
	s.to = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.falseClaims = append(p.falseClaims, s)
}

// lossyLink: messages between drivers and nodes of different zones are delayed and lost for a while, during which a
// replica is promoted.
func (p *promotions) lossyLink(g *standin.Group, duration time.Duration) {
	for _, n := range g.Nodes() {
		n.SetLink(func(driver string) (time.Duration, float64) {
			if d := p.fleet.driverNamed(driver); d != nil && d.Zone != n.Zone {
				return 30 * time.Millisecond, 0.3
			}
			return 0, 0
		})
	}
	p.countFault("link lost messages")
	p.sleep(duration / 2)
	old := g.Primary()
	p.promote(g, true)
	p.sleep(duration)
	for _, n := range g.Nodes() {
		n.SetLink(nil)
	}
	p.rejoin(g, old)
}

func (p *promotions) runningReplica(g *standin.Group) *standin.Node {
	for _, n := range g.Nodes() {
		if n != g.Primary() && n.Running() {
			return n
		}
	}
	return nil
}

// stopSendingWithin is the time after a driver has observed a new timeline from which it must send nothing new to
// the old primary.
const stopSendingWithin = 500 * time.Millisecond

// judge adds the rules on promotions to the report.
func (p *promotions) judge(r *Report) {
	all := p.fleet.Trace.Statements()
	commits := map[string][]standin.Commit{}
	for _, g := range p.fleet.Groups {
		for _, c := range g.Commits() {
			commits[c.Value] = append(commits[c.Value], c)
		}
	}
	once := &Rule{Name: "no write at two primaries"}
	for tag, cs := range commits {
		if once.Chances++; len(cs) > 1 {
			once.Break("%s was committed at %s and at %s", tag, cs[0].Node, cs[1].Node)
		}
	}
	stopped, late := p.judgeStopped(all, r.Slack)
	falseWrites := p.judgeFalseClaims(all)
	writable, outages := p.judgeWritable(r.Slack)
	r.Rules = append(r.Rules, once, stopped, late, falseWrites, writable)
	slices.Sort(outages)
	claimants, guardRefusals := 0, 0
	for _, m := range p.performed {
		if m.oldContinues {
			claimants++
		}
	}
	for _, s := range all {
		if s.Kind == standin.KindGuard && s.Code != "" {
			guardRefusals++
		}
	}
	r.Notes = append(r.Notes, fmt.Sprintf("%d promotions, %d of them with an old primary that went on, %d odd peers; %d writes that a guard kept from running", len(p.performed), claimants, len(p.falseClaims), guardRefusals))
	if n := len(outages); n > 0 {
		r.Notes = append(r.Notes, fmt.Sprintf("first write at the new primary after its promotion: median %v, 99th of 100 %v", outages[n/2].Round(time.Millisecond), outages[n*99/100].Round(time.Millisecond)))
	}
	if r.Broken() > 0 {
		r.Notes = append(r.Notes, p.log.lines...)
	}
	if len(p.performed) < 3 || claimants == 0 {
		r.Missing = append(r.Missing, fmt.Sprintf("%d promotions, %d with two claimants", len(p.performed), claimants))
	}
}

// firstObserved returns when a node of a slice first answered a driver's poll with the given timeline or a newer one.
// Timeline 99, which a node claims in otherCluster, is excluded.
func (p *promotions) firstObserved(all []standin.Statement, g *standin.Group, timeline uint32, driver string) (time.Time, bool) {
	for i := range all {
		s := &all[i]
		if s.Driver == driver && s.Kind == standin.KindFacts && s.Position.Timeline >= timeline && s.Position.Timeline < 99 && !s.Ended.IsZero() && p.groupOf(s.Node) == g {
			return s.Ended, true
		}
	}
	return time.Time{}, false
}

func (p *promotions) groupOf(node string) *standin.Group {
	for _, g := range p.fleet.Groups {
		for _, n := range g.Nodes() {
			if n.Name == node {
				return g
			}
		}
	}
	return nil
}

// judgeStopped judges two rules: a driver that has observed a newer timeline sends nothing new to the old primary
// after stopSendingWithin, and no write begins there more than StartWithin of the settings after it was sent.
func (p *promotions) judgeStopped(all []standin.Statement, slack time.Duration) (stopped, late *Rule) {
	stopped, late = &Rule{Name: "old primary left alone"}, &Rule{Name: "no late write at an old primary"}
	startWithin := settings.Defaults().StartWithin
	for _, m := range p.performed {
		if !m.oldContinues {
			continue
		}
		until := p.claimEnd(m)
		for _, d := range p.fleet.Drivers {
			observed, ok := p.firstObserved(all, m.group, m.timeline, d.Name)
			if !ok {
				continue
			}
			stopped.Chances++
			// last holds, by connection, the arrival of the last poll or guard, which is sent together with the request that
			// follows it.
			last := map[uint64]time.Time{}
			for i := range all {
				s := &all[i]
				if s.Node == m.old && (s.Kind == standin.KindFacts || s.Kind == standin.KindGuard) {
					last[s.Conn] = s.Arrived
				}
				if s.Node != m.old || s.Driver != d.Name || s.Kind != standin.KindRead && s.Kind != standin.KindWrite || s.Arrived.Before(m.at) || !s.Arrived.Before(until) {
					continue
				}
				if last[s.Conn].After(observed.Add(stopSendingWithin + slack)) {
					stopped.Break("%s sent %s to %s %v after it had observed timeline %d", d.Name, s.Tag, s.Node, last[s.Conn].Sub(observed), m.timeline)
				}
			}
		}
		for _, c := range m.group.Commits() {
			if c.Node != m.old || c.At.Before(m.at) || !c.At.Before(until) {
				continue
			}
			late.Chances++
			if sent, began, ok := guardTimes(all, m.old, c.Value); ok && began.Sub(sent) > startWithin+slack {
				late.Break("%s began at %s %v after it was sent there, %v after %s was promoted", c.Value, m.old, began.Sub(sent), began.Sub(m.at), m.next)
			}
		}
		late.Chances++ // for the writes that the guard refused
	}
	return stopped, late
}

// claimEnd returns when an old primary stopped its claim or was promoted again.
func (p *promotions) claimEnd(m promotion) time.Time {
	until := time.Now()
	earlier := func(at time.Time) {
		if at.After(m.at) && at.Before(until) {
			until = at
		}
	}
	for _, at := range p.rejoinedAt[m.old] {
		earlier(at)
	}
	for _, s := range p.fleet.Trace.Starts() {
		if s.Node == m.old {
			earlier(s.At)
		}
	}
	for _, next := range p.performed {
		if next.group == m.group && next.old != m.old { // it follows the new primary then, or is the primary
			earlier(next.at)
		}
	}
	return until
}

// guardTimes returns when a write last arrived at a node, even if the node was hung, and when its guard let it
// begin.
func guardTimes(all []standin.Statement, node, tag string) (sent, began time.Time, ok bool) {
	guards := map[uint64]*standin.Statement{} // by connection, the last one
	for i := range all {
		s := &all[i]
		switch {
		case s.Node != node:
		case s.Kind == standin.KindGuard:
			guards[s.Conn] = s
		case s.Tag == tag && s.Kind == standin.KindWrite && guards[s.Conn] != nil:
			sent, began, ok = guards[s.Conn].Arrived, guards[s.Conn].Ended, true
		}
	}
	return sent, began, ok
}

// judgeFalseClaims checks that a node runs no driver's write while it claims a timeline or cluster that is not its
// own.
func (p *promotions) judgeFalseClaims(all []standin.Statement) *Rule {
	r := &Rule{Name: "no write at a usurper"}
	for _, s := range p.falseClaims {
		r.Chances++
		for i := range all {
			st := &all[i]
			if st.Node == s.node && st.Kind == standin.KindWrite && st.Ran && st.Arrived.After(s.from) && st.Arrived.Before(s.to) {
				r.Break("%s wrote %s at %s, %v after the start of the node's false claim", st.Driver, st.Tag, st.Node, st.Arrived.Sub(s.from))
			}
		}
	}
	return r
}

// judgeWritable checks that each new primary commits a write in time, unless another promotion or the end of the day
// intervenes. It also returns the time from each promotion to the first write, where there was one.
func (p *promotions) judgeWritable(slack time.Duration) (*Rule, []time.Duration) {
	r := &Rule{Name: "writable again"}
	var outages []time.Duration
	for i, m := range p.performed {
		within := 2500 * time.Millisecond
		afterFalseClaim := slices.ContainsFunc(p.falseClaims, func(s falseClaim) bool { return s.node == m.next && m.at.Sub(s.to) < p.fleet.Spec.Node.RampTime })
		if m.newUnlisted || afterFalseClaim {
			within *= 2 // the node is newly listed or was unusable, and has slow start as after a restart
		}
		end := time.Now()
		for _, next := range p.performed[i+1:] {
			if next.group == m.group {
				end = next.at
				break
			}
		}
		first := time.Time{}
		for _, c := range m.group.Commits() {
			if c.Node == m.next && c.At.After(m.at) {
				first = c.At
				break
			}
		}
		switch {
		case !first.IsZero():
			r.Chances++
			outages = append(outages, first.Sub(m.at))
			if took := first.Sub(m.at); took > within+slack {
				r.Break("%s took its first write %v after its promotion", m.next, took)
			}
		case end.Sub(m.at) > within+slack && !p.clientsEnded(m.at.Add(within)):
			r.Break("%s took no write after its promotion", m.next)
		}
	}
	return r, outages
}

// clientsEnded reports whether no client sent a call after the given time.
func (p *promotions) clientsEnded(at time.Time) bool {
	for _, c := range p.callLog.Calls() {
		if c.Sent.After(at) {
			return false
		}
	}
	return true
}
