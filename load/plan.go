// Package load takes a plan, which names drivers, classes of requests, a rate and goals, and sends requests to the
// drivers' gRPC front ends, in an open loop or, if the plan sets callers, in a closed loop. It returns latencies and
// outcomes by class, and whether the goals were met; an open loop does not wait for answers and measures each request from
// the time at which it was due, so that a slow driver does not slow the load and hide its latency (coordinated omission).
// The command "umberladder load" calls it.
package load

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberladder/internal/conffile"
)

// Plan describes the requests of a run and its goals.
type Plan struct {
	Drivers  []string // addresses, host:port
	Slices   []string // drawn uniformly for each request
	Shape    Shape
	Rate     float64       // requests per second of the open loop, on average before Shape is applied
	Callers  int           // callers of a closed loop; 0 for an open loop
	Duration time.Duration // length of the run after the warm-up
	WarmUp   time.Duration // length of the warm-up, whose requests are not counted
	Sessions int           // client sessions; each sends the token of its last answer
	Keys     int           // number of keys that parameters are drawn from
	Conns    int           // gRPC connections to each driver
	MaxOpen  int           // maximum of calls in flight; requests due beyond it count as not sent
	Client   string        // client name sent to drivers; "" for none, so that they use the address
	Seed     uint64        // of all random draws
	Classes  []Class
	Goals    []Goal
}

// Class is one class of requests.
type Class struct {
	Name           string
	Share          float64 // of all requests, above 0 up to 1
	Statement      string
	Parameters     []Parameter
	Timeout        time.Duration // of each request; 0 for the class's deadline at the driver
	Stream         bool          // requests use ExecuteStream
	IdempotencyKey bool          // each request carries a unique idempotency key
}

// Parameter is a statement parameter.
type Parameter struct {
	Kind ParameterKind
	Text string // of ParameterText
	Int  int64  // of ParameterInt
}

// ParameterKind is the way a parameter's value is generated.
type ParameterKind uint8

// The kinds of parameters.
const (
	ParameterText ParameterKind = iota // a constant text
	ParameterInt                       // a constant integer
	ParameterKey                       // a key drawn uniformly from the plan's keys
	ParameterMark                      // a text unique to the request
)

// Shape is the course of the rate over time.
type Shape struct {
	Kind     ShapeKind
	Multiple float64       // peak rate as a multiple of the plan's rate; ramp reaches it at the end of the run
	Period   time.Duration // of a burst or wave
	Fraction float64       // length of a burst as a fraction of the period, above 0 up to 1
}

// ShapeKind is the kind of a shape.
type ShapeKind uint8

// The kinds of shapes.
const (
	Steady ShapeKind = iota // constant rate
	Ramp                    // linear, from the rate to its multiple
	Burst                   // the multiple during the first fraction of each period, else the rate
	Wave                    // sinusoidal between the rate and its multiple
)

// Defaults returns a plan with default values and without drivers, slices and classes.
func Defaults() *Plan {
	return &Plan{Rate: 100, Duration: 30 * time.Second, WarmUp: 5 * time.Second, Sessions: 100, Keys: 1000, Conns: 1, MaxOpen: 20000, Seed: 1}
}

// Read reads and parses the plan file at a path. Errors are those of reading the file and of Parse.
func Read(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return Parse(path, string(text))
}

// Parse parses a plan in the syntax of settings files; file is its name in errors. The error lists every mistake with file,
// line and column. The plan may lack drivers and slices; see Plan.Check.
func Parse(file, text string) (*Plan, error) {
	b := &binder{Parser: conffile.NewParser(file, text), plan: Defaults(), seen: map[string]bool{}}
	for _, d := range b.Tree() {
		b.topLevel(d)
	}
	if b.Err() == nil {
		b.checkPlan()
	}
	if err := b.Err(); err != nil {
		return nil, err
	}
	return b.plan, nil
}

type binder struct {
	*conffile.Parser
	plan *Plan
	seen map[string]bool
}

var planDirectives = []string{"driver", "slice", "rate", "callers", "shape", "for", "warm-up", "sessions", "keys", "connections", "most-open", "client", "seed", "class", "require"}

func (b *binder) topLevel(d conffile.Directive) {
	p, name := b.plan, d.Name.Text
	if b.seen[name] && name != "class" && name != "require" {
		b.AddProblem(d.Name, "%s is set twice", name)
		return
	}
	b.seen[name] = true
	switch name {
	case "driver":
		for _, w := range b.values(d) {
			if _, _, err := net.SplitHostPort(w.Text); err != nil {
				b.AddProblem(w, "driver: %q is not of the form host:port", w.Text)
			}
			p.Drivers = append(p.Drivers, w.Text)
		}
	case "slice":
		for _, w := range b.values(d) {
			p.Slices = append(p.Slices, w.Text)
		}
	case "rate":
		b.FloatArg(d, &p.Rate, 0.001, 1e6)
	case "callers":
		b.IntArg(d, &p.Callers, 1, 1e6)
	case "shape":
		b.shape(d)
	case "for":
		b.durationArg(d, &p.Duration, time.Millisecond)
	case "warm-up":
		b.durationArg(d, &p.WarmUp, 0)
	case "sessions":
		b.IntArg(d, &p.Sessions, 1, 1e7)
	case "keys":
		b.IntArg(d, &p.Keys, 1, 1e9)
	case "connections":
		b.IntArg(d, &p.Conns, 1, 10000)
	case "most-open":
		b.IntArg(d, &p.MaxOpen, 1, 1e6)
	case "client":
		if w, ok := b.SingleArg(d); ok {
			p.Client = w.Text
		}
	case "seed":
		seed := 0
		if b.IntArg(d, &seed, 0, 1<<62); true {
			p.Seed = uint64(seed)
		}
	case "class":
		b.class(d)
	case "require":
		if w, ok := b.SingleArg(d); ok {
			b.goal(w)
		}
	default:
		b.UnknownDirective(d.Name, planDirectives)
	}
}

func (b *binder) values(d conffile.Directive) []conffile.Word {
	if len(d.Args) == 0 || d.HasBlock {
		b.AddProblem(d.Name, "%s takes one or more values", d.Name.Text)
		return nil
	}
	return d.Args
}

func (b *binder) durationArg(d conffile.Directive, target *time.Duration, least time.Duration) {
	if w, ok := b.SingleArg(d); ok {
		b.duration(w, target, least)
	}
}

func (b *binder) duration(w conffile.Word, target *time.Duration, least time.Duration) {
	v, err := time.ParseDuration(w.Text)
	if err != nil || v < least {
		b.AddProblem(w, "%q is not a duration of at least %v; write one like 500ms or 30s", w.Text, least)
		return
	}
	*target = v
}

// shape reads "steady", "ramp TIMES", "burst TIMES PERIOD PART%" or "wave TIMES PERIOD".
func (b *binder) shape(d conffile.Directive) {
	if len(d.Args) == 0 {
		b.AddProblem(d.Name, "shape takes steady, ramp, burst or wave")
		return
	}
	forms := map[string]struct {
		kind ShapeKind
		args string
	}{"steady": {Steady, ""}, "ramp": {Ramp, "TIMES"}, "burst": {Burst, "TIMES PERIOD PART%"}, "wave": {Wave, "TIMES PERIOD"}}
	form, ok := forms[d.Args[0].Text]
	args := d.Args[1:]
	if !ok || len(args) != len(strings.Fields(form.args)) {
		b.AddProblem(d.Args[0], "shape is one of: steady; ramp TIMES; burst TIMES PERIOD PART%%; wave TIMES PERIOD")
		return
	}
	s := Shape{Kind: form.kind}
	for i, w := range args {
		var err error
		switch i {
		case 0:
			s.Multiple, err = strconv.ParseFloat(w.Text, 64)
			if err != nil || s.Multiple <= 0 || s.Multiple > 1000 {
				b.AddProblem(w, "shape: %q is not a multiple of the rate, above 0 up to 1000", w.Text)
			}
		case 1:
			b.duration(w, &s.Period, time.Millisecond)
		case 2:
			if s.Fraction, err = percent(w.Text); err != nil {
				b.AddProblem(w, "shape: %v", err)
			}
		}
	}
	b.plan.Shape = s
}

func percent(text string) (float64, error) {
	digits, ok := strings.CutSuffix(text, "%")
	v, err := strconv.ParseFloat(digits, 64)
	if !ok || err != nil || !(v > 0 && v <= 100) {
		return 0, fmt.Errorf("%q is not a share; write one like 25%%", text)
	}
	return v / 100, nil
}

var classDirectives = []string{"share", "statement", "parameter", "timeout", "stream", "keyed"}

func (b *binder) class(d conffile.Directive) {
	if len(d.Args) != 1 || !d.HasBlock {
		b.AddProblem(d.Name, "class takes a name and a block")
		return
	}
	c := Class{Name: d.Args[0].Text}
	for _, line := range d.Block {
		switch line.Name.Text {
		case "share":
			if w, ok := b.SingleArg(line); ok {
				var err error
				if c.Share, err = percent(w.Text); err != nil {
					b.AddProblem(w, "share: %v", err)
				}
			}
		case "statement":
			if w, ok := b.SingleArg(line); ok {
				c.Statement = w.Text
			}
		case "parameter":
			b.parameter(&c, line)
		case "timeout":
			b.durationArg(line, &c.Timeout, time.Millisecond)
		case "stream", "keyed":
			if len(line.Args) > 0 || line.HasBlock {
				b.AddProblem(line.Name, "%s takes no arguments", line.Name.Text)
			}
			c.Stream, c.IdempotencyKey = c.Stream || line.Name.Text == "stream", c.IdempotencyKey || line.Name.Text == "keyed"
		default:
			b.UnknownDirective(line.Name, classDirectives)
		}
	}
	for _, o := range b.plan.Classes {
		if o.Name == c.Name {
			b.AddProblem(d.Args[0], "class %s is defined twice", c.Name)
		}
	}
	if c.Statement == "" || c.Share == 0 {
		b.AddProblem(d.Name, "class %s needs a share and a statement", c.Name)
	}
	b.plan.Classes = append(b.plan.Classes, c)
}

func (b *binder) parameter(c *Class, d conffile.Directive) {
	if len(d.Args) == 0 || len(d.Args) > 2 || d.HasBlock {
		b.AddProblem(d.Name, "parameter is one of: key; mark; text VALUE; int N")
		return
	}
	kind, value := d.Args[0], ""
	if len(d.Args) == 2 {
		value = d.Args[1].Text
	}
	p := Parameter{Text: value}
	var err error
	switch {
	case kind.Text == "key" && value == "":
		p.Kind = ParameterKey
	case kind.Text == "mark" && value == "":
		p.Kind = ParameterMark
	case kind.Text == "text":
	case kind.Text == "int":
		p.Kind = ParameterInt
		p.Int, err = strconv.ParseInt(value, 10, 64)
	default:
		err = strconv.ErrSyntax
	}
	if err != nil {
		b.AddProblem(kind, "parameter is one of: key; mark; text VALUE; int N")
	}
	c.Parameters = append(c.Parameters, p)
}

// checkPlan checks the plan as a whole. Drivers and slices may be added later, from the command line.
func (b *binder) checkPlan() {
	p, end := b.plan, conffile.Word{Line: b.LineCount(), Column: 1}
	sum := 0.0
	for _, c := range p.Classes {
		sum += c.Share
	}
	switch {
	case len(p.Classes) == 0:
		b.AddProblem(end, "no class is set")
	case sum < 0.999 || sum > 1.001:
		b.AddProblem(end, "the classes' shares add up to %.1f%%, not to 100%%", 100*sum)
	case p.Callers > 0 && p.Shape.Kind != Steady:
		b.AddProblem(end, "a shape applies only to a rate, not to callers")
	}
	if err := p.checkGoals(); err != nil {
		b.AddProblem(end, "%v", err)
	}
}

// Check returns an error if Run can't run the plan: it has no driver or no slice, neither a positive rate nor callers, a
// length that is not positive, a negative warm-up, or a goal for a class that it does not define.
func (p *Plan) Check() error {
	switch {
	case len(p.Drivers) == 0:
		return fmt.Errorf("load: no driver is set, neither in the plan nor by --driver")
	case len(p.Slices) == 0:
		return fmt.Errorf("load: no slice is set, neither in the plan nor by --slice")
	case !(p.Rate > 0) && p.Callers <= 0 || p.Duration <= 0 || p.WarmUp < 0:
		return fmt.Errorf("load: rate or callers, and the length of the run after the warm-up, must be above zero")
	}
	return p.checkGoals()
}

func (p *Plan) checkGoals() error {
	for _, g := range p.Goals {
		if g.Class != All && !slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Name == g.Class }) {
			return fmt.Errorf("require %q: class %q is not in the plan", g.Text, g.Class)
		}
	}
	return nil
}
