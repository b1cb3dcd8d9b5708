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

// Topology plays promotions at random for some ten seconds: old primaries that die, that stand still and wake with writes
// in their buffers, that never notice; promotions twice within a second; two claimants of one timeline; a node of another
// cluster under a used address; a clock that jumps; a link of one hall that loses polls; a list that lacks the new
// primary. It is judged by what reached the nodes.
func Topology(seed uint64) (*Report, error) {
	journal := &journal{}
	d, err := startDay("topology", Spec{Slices: 3, Members: 4, Drivers: 3, Node: SmallNode, Seed: seed, Log: journal.logger(), Extra: "tokens history on\n"}, 0x746f70)
	if err != nil {
		return nil, err
	}
	p := &promotions{day: d, journal: journal, back: map[string][]time.Time{}}
	for i := range 36 {
		s := newSession(d.fleet, d.book, i, 0.01)
		d.clients.Go(func() { s.live(d.ctx, 30*time.Millisecond) })
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

// promotions is the day's promotions, as they were made.
type promotions struct {
	*day
	mu      sync.Mutex
	made    []promotion
	back    map[string][]time.Time // by node, when it was made a replica again
	splits  []split
	journal *journal
}

// journal keeps what drivers told their operators of topology.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) logger() *zap.Logger {
	return listening(func(e zapcore.Entry) {
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
	p.back[n.Name] = append(p.back[n.Name], time.Now())
}

// promotion is one: from when on, which node was deposed and which one took its place.
type promotion struct {
	group    *standin.Group
	at       time.Time
	old, now string
	timeline uint32
	lives    bool // the old one went on
	omitted  bool // the list lacked the new one
}

// split is a time in which two nodes claimed one timeline.
type split struct {
	group    *standin.Group
	from, to time.Time
	usurper  string
}

// script draws what happens to a slice, one after the other.
func (p *promotions) script(g *standin.Group) {
	kinds := []func(*standin.Group, time.Duration){p.dies, p.stands, p.staysOn, p.twice, p.omitted, p.jumps}
	p.rng.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
	others := []func(*standin.Group, time.Duration){p.usurped, p.stranger, p.polls}
	other := others[p.rng.IntN(len(others))]
	at := p.span(700*time.Millisecond, 1400*time.Millisecond)
	for i, kind := range kinds[:3] {
		lasts := p.span(200*time.Millisecond, 900*time.Millisecond)
		p.at(at, "promotion planned", func(context.Context) { p.alone(g, func() { kind(g, lasts) }) })
		if at += p.span(2200*time.Millisecond, 2600*time.Millisecond); i == 0 {
			lasts := p.span(500*time.Millisecond, 900*time.Millisecond)
			p.at(at-800*time.Millisecond, "odd peer planned", func(context.Context) { p.alone(g, func() { other(g, lasts) }) })
		}
	}
}

// alone has one thing at a time happen to a slice.
func (p *promotions) alone(g *standin.Group, do func()) {
	p.locks[g].Lock()
	defer p.locks[g].Unlock()
	if p.ctx.Err() == nil {
		do()
	}
}

// promote makes the most advanced replica primary and takes it down.
func (p *promotions) promote(g *standin.Group, lives bool) bool {
	old, next := g.Primary(), g.MostAdvanced()
	if next == nil {
		return false
	}
	g.Promote(next)
	p.struck("promotion")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made = append(p.made, promotion{g, time.Now(), old.Name, next.Name, next.Stands().Timeline, lives, false})
	return true
}

// dies: the old primary is gone when the new one comes, and comes back as a replica.
func (p *promotions) dies(g *standin.Group, lasts time.Duration) {
	old := g.Primary()
	old.Die()
	p.wait(lasts)
	p.promote(g, false)
	p.wait(lasts)
	p.restart(old)
}

// stands: the old primary stands still, with writes in its buffers, another is promoted, and it wakes as primary of the
// timeline that was left.
func (p *promotions) stands(g *standin.Group, lasts time.Duration) {
	old := g.Primary()
	old.Hang(true)
	p.struck("primary stood still")
	p.wait(lasts + 800*time.Millisecond)
	p.promote(g, true)
	p.wait(lasts / 4)
	old.Hang(false)
	p.struck("old primary woke")
	p.wait(500 * time.Millisecond)
	p.rejoin(g, old)
}

// staysOn: the old primary never notices, until somebody makes it a replica.
func (p *promotions) staysOn(g *standin.Group, lasts time.Duration) {
	old := g.Primary()
	if p.promote(g, true) {
		p.struck("old primary went on")
	}
	p.wait(lasts + 300*time.Millisecond)
	p.rejoin(g, old)
}

// twice: two promotions within a second.
func (p *promotions) twice(g *standin.Group, lasts time.Duration) {
	first := g.Primary()
	p.promote(g, true)
	p.wait(lasts / 2)
	second := g.Primary()
	p.promote(g, true)
	p.struck("promotions within a second")
	p.wait(lasts)
	p.rejoin(g, first)
	p.rejoin(g, second)
}

// omitted: the list lacks the new primary for a while.
func (p *promotions) omitted(g *standin.Group, lasts time.Duration) {
	old := g.Primary()
	old.Die()
	p.wait(lasts / 2)
	p.promote(g, false)
	next := g.Primary()
	p.life(next.Name, balance.LifeGone)
	p.struck("list without the new primary")
	p.mu.Lock()
	if n := len(p.made); n > 0 && p.made[n-1].now == next.Name {
		p.made[n-1].omitted = true
	}
	p.mu.Unlock()
	p.wait(lasts)
	p.life(next.Name, balance.LifeReady)
	p.restart(old)
}

func (p *promotions) life(name string, life balance.Life) {
	p.fleet.List(func(n *settings.Node) {
		if n.Name == name {
			n.Life = life
		}
	})
}

// jumps: the clock of the primary jumps forth and back around a promotion that it does not notice.
func (p *promotions) jumps(g *standin.Group, lasts time.Duration) {
	old := g.Primary()
	old.Jump(time.Hour)
	p.struck("clock jumped")
	p.wait(lasts / 2)
	p.promote(g, true)
	old.Jump(-time.Hour)
	p.wait(lasts)
	p.rejoin(g, old)
}

// usurped: a replica takes itself for the primary of the present timeline for a while.
func (p *promotions) usurped(g *standin.Group, lasts time.Duration) {
	p.odd(g, lasts, "two claimed one timeline", g.Usurp)
}

// stranger: a node of another cluster stands under a replica's address.
func (p *promotions) stranger(g *standin.Group, lasts time.Duration) {
	p.odd(g, lasts, "node of another cluster", func(n *standin.Node) { n.Strange(8, 99) })
}

// odd has a replica be what it is not for a while.
func (p *promotions) odd(g *standin.Group, lasts time.Duration, what string, become func(*standin.Node)) {
	n := p.replica(g)
	if n == nil {
		return
	}
	s := split{group: g, from: time.Now(), usurper: n.Name}
	become(n)
	p.struck(what)
	p.wait(lasts)
	p.rejoin(g, n)
	s.to = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.splits = append(p.splits, s)
}

// polls: what drivers of one hall and nodes of the other say to each other is lost for a while, and a promotion falls
// into it.
func (p *promotions) polls(g *standin.Group, lasts time.Duration) {
	for _, n := range g.Nodes() {
		n.Through(func(driver string) (time.Duration, float64) {
			if d := p.fleet.named(driver); d != nil && d.Hall != n.Hall {
				return 30 * time.Millisecond, 0.3
			}
			return 0, 0
		})
	}
	p.struck("link lost messages")
	p.wait(lasts / 2)
	old := g.Primary()
	p.promote(g, true)
	p.wait(lasts)
	for _, n := range g.Nodes() {
		n.Through(nil)
	}
	p.rejoin(g, old)
}

func (p *promotions) replica(g *standin.Group) *standin.Node {
	for _, n := range g.Nodes() {
		if n != g.Primary() && n.Running() {
			return n
		}
	}
	return nil
}

// stopWithin is the time from the first notice on after which nothing new may go to an old primary.
const stopWithin = 500 * time.Millisecond

// judge adds what promotions ask for.
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
	stopped, late := p.stopped(all, r.Slack)
	split := p.neither(all)
	writable, outages := p.writable(r.Slack)
	r.Rules = append(r.Rules, once, stopped, late, split, writable)
	slices.Sort(outages)
	claimants, near := 0, 0
	for _, m := range p.made {
		if m.lives {
			claimants++
		}
	}
	for _, s := range all {
		if s.Kind == standin.KindGuard && s.Code != "" {
			near++
		}
	}
	r.Notes = append(r.Notes, fmt.Sprintf("%d promotions, %d of them with an old primary that went on, %d odd peers; %d writes that a guard kept from running", len(p.made), claimants, len(p.splits), near))
	if n := len(outages); n > 0 {
		r.Notes = append(r.Notes, fmt.Sprintf("first write at the new primary after its promotion: median %v, 99th of 100 %v", outages[n/2].Round(time.Millisecond), outages[n*99/100].Round(time.Millisecond)))
	}
	if r.Broken() > 0 {
		r.Notes = append(r.Notes, p.journal.lines...)
	}
	if len(p.made) < 3 || claimants == 0 {
		r.Missing = append(r.Missing, fmt.Sprintf("%d promotions, %d with two claimants", len(p.made), claimants))
	}
}

// notices is when a driver was first told of a timeline of a slice, by an answer of any node of it.
func (p *promotions) notices(all []standin.Statement, g *standin.Group, timeline uint32, driver string) (time.Time, bool) {
	for i := range all {
		s := &all[i]
		if s.Driver == driver && s.Kind == standin.KindFacts && s.Position.Timeline >= timeline && s.Position.Timeline < 99 && !s.Ended.IsZero() && p.of(s.Node) == g {
			return s.Ended, true
		}
	}
	return time.Time{}, false
}

func (p *promotions) of(node string) *standin.Group {
	for _, g := range p.fleet.Groups {
		for _, n := range g.Nodes() {
			if n.Name == node {
				return g
			}
		}
	}
	return nil
}

// stopped: after a driver was told of a newer timeline, it sends an old primary nothing new within the time given; and no
// write begins there longer after it was sent than writes may take to.
func (p *promotions) stopped(all []standin.Statement, slack time.Duration) (stopped, late *Rule) {
	stopped, late = &Rule{Name: "old primary left alone"}, &Rule{Name: "no late write at an old primary"}
	begin := settings.Defaults().StartWithin
	for _, m := range p.made {
		if !m.lives {
			continue
		}
		until := p.rejoined(m)
		for _, d := range p.fleet.Drivers {
			told, ok := p.notices(all, m.group, m.timeline, d.Name)
			if !ok {
				continue
			}
			stopped.Chances++
			last := map[uint64]time.Time{} // by connection, when what stands before a request arrived: they are sent together
			for i := range all {
				s := &all[i]
				if s.Node == m.old && (s.Kind == standin.KindFacts || s.Kind == standin.KindGuard) {
					last[s.Conn] = s.Arrived
				}
				if s.Node != m.old || s.Driver != d.Name || s.Kind != standin.KindRead && s.Kind != standin.KindWrite || s.Arrived.Before(m.at) || !s.Arrived.Before(until) {
					continue
				}
				if last[s.Conn].After(told.Add(stopWithin + slack)) {
					stopped.Break("%s sent %s to %s %v after it was told of timeline %d", d.Name, s.Tag, s.Node, last[s.Conn].Sub(told), m.timeline)
				}
			}
		}
		for _, c := range m.group.Commits() {
			if c.Node != m.old || c.At.Before(m.at) || !c.At.Before(until) {
				continue
			}
			late.Chances++
			if sent, began, ok := guarded(all, m.old, c.Value); ok && began.Sub(sent) > begin+slack {
				late.Break("%s began at %s %v after it was sent there, %v after %s was promoted", c.Value, m.old, began.Sub(sent), began.Sub(m.at), m.now)
			}
		}
		late.Chances++ // those that were kept from it too
	}
	return stopped, late
}

// rejoined is when an old primary stopped claiming, or began to by right.
func (p *promotions) rejoined(m promotion) time.Time {
	until := time.Now()
	sooner := func(at time.Time) {
		if at.After(m.at) && at.Before(until) {
			until = at
		}
	}
	for _, at := range p.back[m.old] {
		sooner(at)
	}
	for _, s := range p.fleet.Trace.Starts() {
		if s.Node == m.old {
			sooner(s.At)
		}
	}
	for _, next := range p.made {
		if next.group == m.group && next.old != m.old { // it follows then, or holds office by right
			sooner(next.at)
		}
	}
	return until
}

// guarded is when a write arrived at a node last, whether or not that was at work, and when its guard let it begin.
func guarded(all []standin.Statement, node, tag string) (sent, began time.Time, ok bool) {
	guards := map[uint64]*standin.Statement{} // by connection, the one before
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

// neither: while a node claims what another has, or is of another cluster, it runs no write of a driver that was told of
// both.
func (p *promotions) neither(all []standin.Statement) *Rule {
	r := &Rule{Name: "no write at a usurper"}
	for _, s := range p.splits {
		r.Chances++
		for i := range all {
			st := &all[i]
			if st.Node == s.usurper && st.Kind == standin.KindWrite && st.Ran && st.Arrived.After(s.from) && st.Arrived.Before(s.to) {
				r.Break("%s wrote %s at %s, %v after it claimed what it is not", st.Driver, st.Tag, st.Node, st.Arrived.Sub(s.from))
			}
		}
	}
	return r
}

// writable: each new primary takes a write again, unless another promotion or the day's end comes before.
func (p *promotions) writable(slack time.Duration) (*Rule, []time.Duration) {
	r := &Rule{Name: "writable again"}
	var outages []time.Duration
	for i, m := range p.made {
		within := 2500 * time.Millisecond
		odd := slices.ContainsFunc(p.splits, func(s split) bool { return s.usurper == m.now && m.at.Sub(s.to) < p.fleet.Spec.Node.Ramp })
		if m.omitted || odd {
			within *= 2 // it is listed or answers anew, and begins as a node that was just started
		}
		end := time.Now()
		for _, next := range p.made[i+1:] {
			if next.group == m.group {
				end = next.at
				break
			}
		}
		first := time.Time{}
		for _, c := range m.group.Commits() {
			if c.Node == m.now && c.At.After(m.at) {
				first = c.At
				break
			}
		}
		switch {
		case !first.IsZero():
			r.Chances++
			outages = append(outages, first.Sub(m.at))
			if took := first.Sub(m.at); took > within+slack {
				r.Break("%s took its first write %v after its promotion", m.now, took)
			}
		case end.Sub(m.at) > within+slack && !p.calm(m.at.Add(within)):
			r.Break("%s took no write after its promotion", m.now)
		}
	}
	return r, outages
}

// calm tells whether clients had ended by a time.
func (p *promotions) calm(at time.Time) bool {
	for _, c := range p.book.Calls() {
		if c.Sent.After(at) {
			return false
		}
	}
	return true
}
