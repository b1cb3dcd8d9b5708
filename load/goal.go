package load

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"umberladder/internal/conffile"
)

// All is the name for all classes together in goals and results.
const All = "all"

// Goal is a bound on a measure of a run, as "p99(own-read) < 50ms" or "served(write) > 99%".
type Goal struct {
	Text    string
	Measure string  // pNN, max, mean, served, refused, failed, rate
	Class   string  // class name or All
	Below   bool    // the measure must be below Bound, otherwise above it
	Bound   float64 // nanoseconds, a share from 0 to 1, or served requests per second
}

var goalForm = regexp.MustCompile(`^\s*(p\d+(?:\.\d+)?|max|mean|served|refused|failed|rate)\(([^()]+)\)\s*([<>])\s*(\S+)\s*$`)

// ParseGoal parses a goal of the form MEASURE(CLASS) < BOUND or > BOUND. pNN (percentile, up to p100), max and mean of the
// latencies of served requests take a duration, served, refused and failed a percentage, and rate, of served requests, a
// number per second. An error quotes the text and names what was expected.
func ParseGoal(text string) (Goal, error) {
	m := goalForm.FindStringSubmatch(text)
	if m == nil {
		return Goal{}, fmt.Errorf(`%q is not a goal; write one like "p99(own-read) < 50ms", "served(all) > 99%%" or "rate(all) > 400"`, text)
	}
	g := Goal{Text: strings.TrimSpace(text), Measure: m[1], Class: strings.TrimSpace(m[2]), Below: m[3] == "<"}
	var err error
	switch g.Measure {
	case "served", "refused", "failed":
		var digits string
		var ok bool
		if digits, ok = strings.CutSuffix(m[4], "%"); ok {
			g.Bound, err = strconv.ParseFloat(digits, 64)
			g.Bound /= 100
		}
		if !ok || err != nil {
			err = fmt.Errorf("%q: the bound of %s must be a percentage, like 99%%", text, g.Measure)
		}
	case "rate":
		if g.Bound, err = strconv.ParseFloat(m[4], 64); err != nil {
			err = fmt.Errorf("%q: the bound of rate must be a number per second", text)
		}
	default:
		var d time.Duration
		if d, err = time.ParseDuration(m[4]); err != nil {
			err = fmt.Errorf("%q: the bound of %s must be a duration, like 50ms", text, g.Measure)
		}
		if q, qerr := strconv.ParseFloat(strings.TrimPrefix(g.Measure, "p"), 64); qerr == nil && q > 100 {
			err = fmt.Errorf("%q: percentiles end at 100", text)
		}
		g.Bound = float64(d)
	}
	return g, err
}

func (b *binder) goal(w conffile.Word) {
	g, err := ParseGoal(w.Text)
	if err != nil {
		b.AddProblem(w, "require: %v", err)
		return
	}
	b.plan.Goals = append(b.plan.Goals, g)
}

// Evaluate returns the goal's measure of a run as text and whether the goal is met. A goal on latencies is not met if
// nothing was served. The goal's class must be in the result.
func (g *Goal) Evaluate(r *Result) (got string, met bool) {
	t := r.Tally(g.Class)
	v := 0.0
	switch g.Measure {
	case "served":
		v = t.share(Served)
	case "refused":
		v = t.share(Refused)
	case "failed":
		v = t.share(Failed) + t.share(Unanswered) + t.share(NotSent)
	case "rate":
		v = float64(t.Counts[Served]) / r.Elapsed.Seconds()
	default:
		if t.Counts[Served] == 0 {
			return "nothing was served", false
		}
		v = t.latency(g.Measure)
	}
	met = v > g.Bound
	if g.Below {
		met = v < g.Bound
	}
	switch g.Measure {
	case "served", "refused", "failed":
		return fmt.Sprintf("%.2f%%", 100*v), met
	case "rate":
		return fmt.Sprintf("%.1f a second", v), met
	}
	return time.Duration(v).Round(10 * time.Microsecond).String(), met
}
