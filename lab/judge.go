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

// Rule is the outcome of one rule in a run.
type Rule struct {
	Name    string
	Chances int      // occasions on which the rule could have been broken
	Excused int      // occasions that the rule itself excuses
	Broken  []string // one line for each break
}

// Break records a break of the rule as one line.
func (r *Rule) Break(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// Report is the result of a run.
type Report struct {
	Name    string
	Seed    uint64
	Rules   []*Rule
	Counts  map[Verdict]int
	Faults  []string
	Slack   time.Duration // for comparing times: 30 ms plus four times the longest delay of a ready goroutine
	Leaks   []string
	Missing []string // evidence that the run had to produce and did not
	Notes   []string // figures, one line each
}

// Broken returns the number of breaks of rules, leaks and entries of Missing.
func (r *Report) Broken() int {
	n := len(r.Leaks) + len(r.Missing)
	for _, rule := range r.Rules {
		n += len(rule.Broken)
	}
	return n
}

// judge holds the records of a run, with indexes.
type judge struct {
	fleet   *Fleet
	calls   []Call
	byTag   map[string][]standin.Statement
	byNode  map[string][]standin.Statement
	groups  map[string]*standin.Group
	commits map[string]standin.Commit // by tag
	slack   time.Duration
}

// Judge judges a run by what reached the stand-ins and the clients. Slack is the tolerance for comparing times
// taken in different goroutines, which this machine may run late.
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
	return []*Rule{j.oneAnswer(), j.noSecondEffect(), j.drainsKept(), j.coldSpared(), j.noStaleRead(), f.judgeValues(calls)}
}

// oneAnswer checks that each request to a running driver is answered in time, and that nothing is sent to a node
// for it afterwards.
func (j *judge) oneAnswer() *Rule {
	r := &Rule{Name: "one final answer"}
	for i := range j.calls {
		c := &j.calls[i]
		if !j.fleet.driverNamed(c.Driver).ranThroughout(c.Sent, c.Answered) {
			r.Excused++
			continue
		}
		r.Chances++
		if c.Verdict == Unanswered {
			r.Break("%s %s at %s: no answer (%s)", c.Class.Name, c.Tag, c.Driver, c.Text)
		}
		if late := c.Answered.Sub(c.Sent) - c.Timeout; c.Verdict != Canceled && late > j.slack {
			r.Break("%s %s at %s: answered %v after the client's timeout", c.Class.Name, c.Tag, c.Driver, late)
		}
		for _, s := range j.byTag[c.Tag] {
			if after := s.Arrived.Sub(c.Answered); after > j.slack {
				r.Break("%s %s: sent to %s %v after its final answer (%v)", c.Class.Name, c.Tag, s.Node, after, c.Verdict)
			}
		}
	}
	return r
}

// noSecondEffect checks that a request that may have run is sent again only as its class allows, and never while an
// earlier attempt is in flight unless the site allows that.
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
				j.judgeRepeat(r, c, &all[k-1], &all[k])
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

// judgeRepeat judges two consecutive attempts of one request.
func (j *judge) judgeRepeat(r *Rule, c *Call, first, next *standin.Statement) {
	notRun := first.Code != "" // the node reported that nothing ran
	switch age := next.Arrived.Sub(first.Arrived); {
	case notRun:
	case c.Class.Effect == balance.Unsafe:
		r.Break("%s %s was sent to %s and again to %s although it may have run", c.Class.Name, c.Tag, first.Node, next.Node)
	case c.Class.Effect == balance.Keyed && age > c.Class.Window:
		r.Break("%s %s was sent again after %v, outside its idempotency window", c.Class.Name, c.Tag, age)
	}
	ended := !first.Ended.IsZero() && first.Ended.Sub(next.Arrived) <= j.slack
	canceled := !first.Canceled.IsZero() && first.Canceled.Sub(next.Arrived) <= j.slack
	if !ended && !canceled && !j.fleet.Spec.Site.ParallelAttempts {
		r.Break("%s %s was in flight at %s and at %s at once", c.Class.Name, c.Tag, first.Node, next.Node)
	}
}

// drainsKept checks that a driver sends nothing new to a draining node once the grace after its notification has
// passed.
func (j *judge) drainsKept() *Rule {
	r := &Rule{Name: "drains kept"}
	type pair struct{ driver, node string }
	last := map[pair]Notice{}
	var drains []struct{ from, to Notice }
	for _, n := range j.fleet.Notices() {
		p := pair{n.Driver, n.Node}
		previous, known := last[p]
		if known && previous.Life != balance.LifeReady && n.Life == balance.LifeReady {
			drains = append(drains, struct{ from, to Notice }{previous, n})
		}
		if !known || previous.Life == balance.LifeReady || n.Life == balance.LifeReady {
			last[p] = n // the grace starts with the first notification of a drain
		}
	}
	for _, n := range last {
		if n.Life != balance.LifeReady {
			drains = append(drains, struct{ from, to Notice }{n, Notice{At: n.At.Add(time.Hour)}})
		}
	}
	for _, b := range drains {
		r.Chances++
		for _, s := range j.byNode[b.from.Node] {
			if s.Driver == b.from.Driver && s.Arrived.After(b.from.At.Add(j.fleet.Spec.Site.Grace+j.slack)) && s.Arrived.Before(b.to.At) {
				r.Break("%s sent %s to %s %v after it was notified that the node drains", s.Driver, s.Tag, s.Node, s.Arrived.Sub(b.from.At))
			}
		}
	}
	return r
}

// coldSpared checks that, within any Site.ColdOverloadWindow, a node that has just started gets no more requests than
// Site.ColdOverloadMultiple times what it can serve in this time at its speed at the end of the window.
func (j *judge) coldSpared() *Rule {
	r := &Rule{Name: "cold nodes spared"}
	cfg := j.fleet.Spec.Node
	for _, start := range j.fleet.Trace.Starts() {
		all := j.byNode[start.Node]
		from := sort.Search(len(all), func(i int) bool { return all[i].Arrived.After(start.At) })
		for i := from; i < len(all) && all[i].Arrived.Sub(start.At) < cfg.RampTime; i++ {
			r.Chances++
			k := i
			for k < len(all) && all[k].Arrived.Sub(all[i].Arrived) < j.fleet.Spec.Site.ColdOverloadWindow {
				k++
			}
			age := min(1, all[k-1].Arrived.Sub(start.At).Seconds()/cfg.RampTime.Seconds())
			capacity := cfg.Capacity() * j.fleet.Spec.Site.ColdOverloadWindow.Seconds() * (cfg.ColdFrom + (1-cfg.ColdFrom)*age)
			if float64(k-i) > j.fleet.Spec.Site.ColdOverloadMultiple*capacity {
				r.Break("%s got %d requests in %v, %v after its start, and could serve %.0f", start.Node, k-i, j.fleet.Spec.Site.ColdOverloadWindow, all[i].Arrived.Sub(start.At), capacity)
				break
			}
		}
	}
	return r
}

// noStaleRead checks that no answer comes from data older than its class allows. Drivers believe a node that claims
// to be the primary until they observe another one, so what it serves from a superseded timeline is excused.
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
			j.checkFreshness(r, c, s, g, s.Arrived.Add(-c.Class.Bound-j.slack))
		case balance.NeedFresh:
			r.Chances++
			j.checkFreshness(r, c, s, g, c.Sent)
		case balance.NeedSession:
			r.Chances++
			for _, tag := range c.PriorWrites {
				w, ok := j.commits[tag]
				if ok && g.Survives(w.Position, s.Position.Timeline) && w.Position.LSN > s.Position.LSN {
					r.Break("%s %s at %s saw %v, its session's write %s is at %v", c.Class.Name, c.Tag, s.Node, s.Position, tag, w.Position)
				}
			}
		}
	}
	return r
}

// servedBy returns the statement whose answer the client got, nil if the call was not served.
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

// checkFreshness reports a break if the data of an answer lacks a commit from before the given time.
func (j *judge) checkFreshness(r *Rule, c *Call, s *standin.Statement, g *standin.Group, before time.Time) {
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

// lacks reports whether data at position at lacks a commit that is part of the slice's present history.
func (j *judge) lacks(g *standin.Group, at, commit position.Position) bool {
	if commit.Timeline > at.Timeline {
		return true
	}
	return g.Survives(commit, at.Timeline) && commit.LSN > at.LSN
}

// Write prints the report. Its last line is "rules broken: N".
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
