package lab

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"umberladder/balance"
	"umberladder/position"
	"umberladder/standin"
)

// Rule is one of the five rules as a run kept it.
type Rule struct {
	Name    string
	Chances int      // occasions on which it could have been broken
	Excused int      // occasions that the rule itself excuses
	Broken  []string // one line each
}

// Break notes a break of the rule, in one line.
func (r *Rule) Break(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// Report is the judgement of a run.
type Report struct {
	Name    string
	Seed    uint64
	Rules   []*Rule
	Counts  map[Verdict]int
	Faults  []string
	Slack   time.Duration // how long this machine kept a ready goroutine waiting at the most
	Leaks   []string
	Missing []string // what a run must show and this one did not
	Notes   []string // figures, a line each
}

// Broken is how many times a rule was broken, leaks and missing proofs included.
func (r *Report) Broken() int {
	n := len(r.Leaks) + len(r.Missing)
	for _, rule := range r.Rules {
		n += len(rule.Broken)
	}
	return n
}

// judge holds what a run left behind, arranged for looking up.
type judge struct {
	fleet   *Fleet
	calls   []Call
	byTag   map[string][]standin.Statement
	byNode  map[string][]standin.Statement
	groups  map[string]*standin.Group
	commits map[string]standin.Commit // by tag
	slack   time.Duration
}

// Judge judges a run by what reached the stand-ins and the clients. Times of different goroutines are
// compared with the slack: how late this machine was seen to run one that was ready.
func Judge(f *Fleet, calls []Call, slack time.Duration) []*Rule {
	j := &judge{fleet: f, calls: calls, byTag: map[string][]standin.Statement{}, byNode: map[string][]standin.Statement{},
		groups: map[string]*standin.Group{}, commits: map[string]standin.Commit{}, slack: slack}
	for _, s := range f.Trace.Statements() {
		if s.Kind == standin.KindRead || s.Kind == standin.KindWrite {
			j.byTag[s.Tag] = append(j.byTag[s.Tag], s)
			j.byNode[s.Node] = append(j.byNode[s.Node], s)
		}
	}
	for _, g := range f.Groups {
		j.groups[g.Name] = g
		for _, c := range g.Commits() {
			j.commits[c.Value] = c
		}
	}
	return []*Rule{j.oneAnswer(), j.noSecondEffect(), j.drainsKept(), j.coldSpared(), j.noStaleRead(), f.seen(calls)}
}

// oneAnswer: whatever a running driver took is answered once, in time, and nothing is sent for it after.
func (j *judge) oneAnswer() *Rule {
	r := &Rule{Name: "one final answer"}
	for i := range j.calls {
		c := &j.calls[i]
		if !j.fleet.named(c.Driver).aliveDuring(c.Sent, c.Answered) {
			r.Excused++
			continue
		}
		r.Chances++
		if c.Verdict == Unanswered {
			r.Break("%s %s at %s: no answer (%s)", c.Class.Name, c.Tag, c.Driver, c.Text)
		}
		if late := c.Answered.Sub(c.Sent) - c.Wait; c.Verdict != Left && late > j.slack {
			r.Break("%s %s at %s: answered %v after the client gave up", c.Class.Name, c.Tag, c.Driver, late)
		}
		for _, s := range j.byTag[c.Tag] {
			if after := s.Arrived.Sub(c.Answered); after > j.slack {
				r.Break("%s %s: sent to %s %v after its final answer (%v)", c.Class.Name, c.Tag, s.Node, after, c.Verdict)
			}
		}
	}
	return r
}

// noSecondEffect: what may have run goes out again only as its class allows, and never while it is out.
func (j *judge) noSecondEffect() *Rule {
	r := &Rule{Name: "no second effect"}
	for i := range j.calls {
		c := &j.calls[i]
		all := j.byTag[c.Tag]
		ran := 0
		for k := range all {
			if all[k].Ran {
				ran++
			}
			if k > 0 {
				r.Chances++
				j.again(r, c, &all[k-1], &all[k])
			}
		}
		write := c.Class.Need == balance.NeedWrite
		if write && len(all) > 0 {
			r.Chances++
		}
		if write && ran > 1 {
			r.Break("%s %s ran %d times", c.Class.Name, c.Tag, ran)
		}
	}
	return r
}

// again judges two attempts of one request that followed each other.
func (j *judge) again(r *Rule, c *Call, first, next *standin.Statement) {
	unrun := first.Code != "" // the node said that nothing ran
	switch age := next.Arrived.Sub(first.Arrived); {
	case unrun:
	case c.Class.Effect == balance.Unsafe:
		r.Break("%s %s went to %s and again to %s though it may have run", c.Class.Name, c.Tag, first.Node, next.Node)
	case c.Class.Effect == balance.Keyed && age > c.Class.Window:
		r.Break("%s %s went out again after %v, outside its window", c.Class.Name, c.Tag, age)
	}
	over := !first.Ended.IsZero() && first.Ended.Sub(next.Arrived) <= j.slack
	called := !first.Canceled.IsZero() && first.Canceled.Sub(next.Arrived) <= j.slack
	if !over && !called && !j.fleet.Spec.Site.Copies {
		r.Break("%s %s was at %s and at %s together", c.Class.Name, c.Tag, first.Node, next.Node)
	}
}

// drainsKept: nothing new to a node later than the grace after the driver was told.
func (j *judge) drainsKept() *Rule {
	r := &Rule{Name: "drains kept"}
	type pair struct{ driver, node string }
	last := map[pair]Notice{}
	var bound []struct{ from, to Notice }
	for _, n := range j.fleet.Notices() {
		p := pair{n.Driver, n.Node}
		was, known := last[p]
		if known && was.Life != balance.LifeReady && n.Life == balance.LifeReady {
			bound = append(bound, struct{ from, to Notice }{was, n})
		}
		if !known || was.Life == balance.LifeReady || n.Life == balance.LifeReady {
			last[p] = n // a drain binds from when it was told first
		}
	}
	for _, n := range last {
		if n.Life != balance.LifeReady {
			bound = append(bound, struct{ from, to Notice }{n, Notice{At: n.At.Add(time.Hour)}})
		}
	}
	for _, b := range bound {
		r.Chances++
		for _, s := range j.byNode[b.from.Node] {
			if s.Driver == b.from.Driver && s.Arrived.After(b.from.At.Add(j.fleet.Spec.Site.Grace+j.slack)) && s.Arrived.Before(b.to.At) {
				r.Break("%s sent %s to %s %v after it was told that it drains", s.Driver, s.Tag, s.Node, s.Arrived.Sub(b.from.At))
			}
		}
	}
	return r
}

// coldSpared: over the fall time, a node that started anew gets no more than the tip multiple of what it can
// do by then.
func (j *judge) coldSpared() *Rule {
	r := &Rule{Name: "cold nodes spared"}
	cfg := j.fleet.Spec.Node
	for _, start := range j.fleet.Trace.Starts() {
		all := j.byNode[start.Node]
		from := sort.Search(len(all), func(i int) bool { return all[i].Arrived.After(start.At) })
		for i := from; i < len(all) && all[i].Arrived.Sub(start.At) < cfg.Ramp; i++ {
			r.Chances++
			k := i
			for k < len(all) && all[k].Arrived.Sub(all[i].Arrived) < j.fleet.Spec.Site.Fall {
				k++
			}
			age := min(1, all[k-1].Arrived.Sub(start.At).Seconds()/cfg.Ramp.Seconds())
			can := cfg.Capacity() * j.fleet.Spec.Site.Fall.Seconds() * (cfg.ColdFrom + (1-cfg.ColdFrom)*age)
			if float64(k-i) > j.fleet.Spec.Site.Tip*can {
				r.Break("%s got %d in %v, %v after its start, and could do %.0f", start.Node, k-i, j.fleet.Spec.Site.Fall, all[i].Arrived.Sub(start.At), can)
				break
			}
		}
	}
	return r
}

// noStaleRead: no answer comes from data older than its class allows. A node that says it is primary is
// believed until another is known, so what it serves from a timeline that was left is excused.
func (j *judge) noStaleRead() *Rule {
	r := &Rule{Name: "no stale read"}
	for i := range j.calls {
		c := &j.calls[i]
		s := j.servedBy(c)
		if s == nil {
			continue
		}
		g := j.groups[c.Slice]
		switch c.Class.Need {
		case balance.NeedBounded:
			r.Chances++
			j.reaches(r, c, s, g, s.Arrived.Add(-c.Class.Bound-j.slack))
		case balance.NeedFresh:
			r.Chances++
			j.reaches(r, c, s, g, c.Sent)
		case balance.NeedSession:
			r.Chances++
			for _, tag := range c.After {
				w, ok := j.commits[tag]
				if ok && g.Survives(w.Position, s.Position.Timeline) && w.Position.LSN > s.Position.LSN {
					r.Break("%s %s at %s saw %v, its session's write %s is at %v", c.Class.Name, c.Tag, s.Node, s.Position, tag, w.Position)
				}
			}
		}
	}
	return r
}

// servedBy is the statement whose answer the client got.
func (j *judge) servedBy(c *Call) *standin.Statement {
	if c.Verdict != Served || c.Served == nil {
		return nil
	}
	all := j.byTag[c.Tag]
	for k := len(all) - 1; k >= 0; k-- {
		if all[k].Ran && all[k].Node == c.Served.Node {
			return &all[k]
		}
	}
	return nil
}

// reaches looks for a commit from before a time that the answer's data lacks.
func (j *judge) reaches(r *Rule, c *Call, s *standin.Statement, g *standin.Group, before time.Time) {
	for _, w := range g.Commits() {
		if w.At.Before(before) && j.lacks(g, s.Position, w.Position) {
			if !s.Replica {
				r.Excused++
				return
			}
			r.Break("%s %s at %s saw %v, %s of %v before is at %v", c.Class.Name, c.Tag, s.Node, s.Position, w.Value,
				s.Arrived.Sub(w.At), w.Position)
			return
		}
	}
}

// lacks tells whether data at a place lacks a commit that is part of the slice's present history.
func (j *judge) lacks(g *standin.Group, at, commit position.Position) bool {
	if commit.Timeline > at.Timeline {
		return true
	}
	return g.Survives(commit, at.Timeline) && commit.LSN > at.LSN
}

// Write writes the report; its last line is "rules broken: N".
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d\n", r.Name, r.Seed)
	fmt.Fprintf(w, "  faults: %s\n", strings.Join(r.Faults, ", "))
	fmt.Fprintf(w, "  calls:")
	for v, name := range verdictNames {
		fmt.Fprintf(w, " %s %d", name, r.Counts[Verdict(v)])
	}
	fmt.Fprintf(w, "\n  times are compared within %v, what this machine needed\n", r.Slack.Round(time.Millisecond))
	for _, rule := range r.Rules {
		fmt.Fprintf(w, "  %-18s chances %6d, excused %4d, broken %d\n", rule.Name, rule.Chances, rule.Excused, len(rule.Broken))
		for i, b := range rule.Broken {
			if i == 5 {
				fmt.Fprintf(w, "    and %d more\n", len(rule.Broken)-i)
				break
			}
			fmt.Fprintf(w, "    %s\n", b)
		}
	}
	for _, n := range r.Notes {
		fmt.Fprintf(w, "  %s\n", n)
	}
	for _, l := range r.Leaks {
		fmt.Fprintf(w, "  leak: %s\n", l)
	}
	for _, m := range r.Missing {
		fmt.Fprintf(w, "  not shown: %s\n", m)
	}
	fmt.Fprintf(w, "rules broken: %d\n", r.Broken())
}
