// Package experiment reads experiment files, written in the syntax of the settings: an installation, its load and its
// troubles, and arms that change some of these. It runs every arm with several seeds, in simulated time (lab/world) or on
// sockets (package lab), and gives the figures of each arm, the broken rules and whether arms differ significantly; figures
// of simulated runs are those of the model. The commands lab run, lab sweep and lab hunt call it, and lab/report uses its
// confidence intervals.
package experiment

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberladder/internal/conffile"
	"umberladder/lab/record"
	"umberladder/lab/world"
)

// Experiment is a parsed experiment file.
type Experiment struct {
	Name    string
	Repeats int
	Arms    []Arm
	Text    string // content of the file
}

// Arm is one of the configurations that are compared. Each repeat has its own seed, which is the same in all arms.
type Arm struct {
	Name  string
	World world.Config
}

// setup holds the parameters that a file sets for all arms and that an arm may change. They are documented in world.Config.
type setup struct {
	drivers, slices, members, cores, maxTries, sessions, keys, slicesPerSession, maxConnections int
	rate, workSpread, workTail, jitter, retryBudget                                             float64
	length, work, oneWayDelay, crossZoneDelay, shipDelay, applyDelay, electionTime, noticeDelay time.Duration
	retryPause, eventCost, connectionCost, thinkTime                                            time.Duration
	replay                                                                                      []record.Arrival
	zones                                                                                       []string
	classes                                                                                     []class
	gate                                                                                        string
	checkSessions                                                                               bool
	troubles                                                                                    []world.Trouble
}

func defaults() setup {
	return setup{drivers: 5, slices: 10, members: 6, cores: 4, maxTries: 1, sessions: 50, keys: 20, slicesPerSession: 3, rate: 500, workSpread: 0.7, length: 10 * time.Second,
		work: 50 * time.Millisecond, oneWayDelay: 500 * time.Microsecond, crossZoneDelay: 500 * time.Microsecond, shipDelay: 6 * time.Millisecond, applyDelay: 3 * time.Millisecond,
		electionTime: 2 * time.Second, noticeDelay: time.Second, zones: []string{"a"}, gate: "on"}
}

// intFields, floatFields and durationFields map the directives that take a single value to the fields that they set.
func (s *setup) intFields() map[string]*int {
	return map[string]*int{"drivers": &s.drivers, "slices": &s.slices, "members": &s.members, "cores": &s.cores, "tries": &s.maxTries, "sessions": &s.sessions, "keys": &s.keys, "visits": &s.slicesPerSession, "connections": &s.maxConnections}
}

func (s *setup) floatFields() map[string]*float64 {
	return map[string]*float64{"rate": &s.rate, "spread": &s.workSpread, "tail": &s.workTail, "jitter": &s.jitter, "retry-budget": &s.retryBudget}
}

func (s *setup) durationFields() map[string]*time.Duration {
	return map[string]*time.Duration{"for": &s.length, "work": &s.work, "way": &s.oneWayDelay, "cross": &s.crossZoneDelay, "ship": &s.shipDelay, "apply": &s.applyDelay, "elect": &s.electionTime,
		"notice": &s.noticeDelay, "retry-pause": &s.retryPause, "event-cost": &s.eventCost, "greet": &s.connectionCost, "think": &s.thinkTime}
}

// config returns the configuration of a run, without its seed.
func (s *setup) config() world.Config {
	cfg := world.NewsroomConfig(s.drivers, s.slices, s.members, s.rate, s.length)
	cfg.Cores, cfg.Work, cfg.WorkSigma, cfg.LinkDelay, cfg.CrossZoneDelay, cfg.ReplicationDelay, cfg.ReplayTime = s.cores, s.work, s.workSpread, s.oneWayDelay, s.crossZoneDelay, s.shipDelay, s.applyDelay
	cfg.ElectionTime, cfg.ListDelay, cfg.MaxTries, cfg.RetryPause, cfg.RetryBudget, cfg.EventCost = s.electionTime, s.noticeDelay, s.maxTries, s.retryPause, s.retryBudget, s.eventCost
	cfg.Sessions, cfg.KeysPerSlice, cfg.SlicesPerSession, cfg.CheckSessions, cfg.Troubles, cfg.Engine.Zones = s.sessions, s.keys, s.slicesPerSession, s.checkSessions, s.troubles, s.zones
	cfg.TailIndex, cfg.Jitter, cfg.MaxConnections, cfg.ConnectTime, cfg.ThinkTime, cfg.Arrivals = s.workTail, s.jitter, s.maxConnections, s.connectionCost, s.thinkTime, s.replay
	cfg.Engine.Router.Classes = slices.Clone(cfg.Engine.Router.Classes)
	if len(s.classes) > 0 {
		cfg.Engine.Router.Classes, cfg.Shares = nil, nil
		for _, c := range s.classes {
			cfg.Engine.Router.Classes, cfg.Shares = append(cfg.Engine.Router.Classes, c.Class), append(cfg.Shares, c.share)
		}
	}
	if s.gate != "off" {
		cfg.Gate = cfg.Admission()
		cfg.Gate.FixedLimit = s.gate == "fixed"
	}
	return cfg
}

// Read reads and parses the experiment file at path.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, string(text))
}

// Parse parses the text of an experiment file. The error lists every mistake with file, line and column; paths in
// it are relative to the directory of file.
func Parse(file, text string) (*Experiment, error) { return parseAs(file, text, false) }

func parseAs(file, text string, grid bool) (*Experiment, error) {
	p := &fileParser{Parser: conffile.NewParser(file, text), file: file, x: &Experiment{Name: file, Repeats: 5, Text: text}, base: defaults(), seen: map[string]bool{}}
	tree := p.Tree()
	for _, d := range tree {
		if d.Name.Text != "arm" && d.Name.Text != "vary" {
			p.parseTopLevel(d)
		}
	}
	var varies []conffile.Directive
	for _, d := range tree { // arms come last, as the directives of the whole file apply to arms above them too
		switch {
		case d.Name.Text == "arm":
			p.parseArm(d)
		case d.Name.Text == "vary" && grid:
			varies = append(varies, d)
		case d.Name.Text == "vary":
			p.expandVary(d)
		}
	}
	if len(varies) > 0 {
		p.expandGrid(varies)
	}
	if len(p.x.Arms) == 0 {
		p.addArm(conffile.Word{Text: "as the file says", Line: 1, Column: 1}, p.base)
	}
	if err := p.Err(); err != nil {
		return nil, err
	}
	return p.x, nil
}

type fileParser struct {
	*conffile.Parser
	file         string
	x            *Experiment
	base         setup
	seen         map[string]bool
	troubleWords []conffile.Word // the directives of the base's troubles, for messages
}

func (p *fileParser) parseTopLevel(d conffile.Directive) {
	switch d.Name.Text {
	case "experiment":
		if w, ok := p.SingleArg(d); ok {
			p.x.Name = w.Text
		}
	case "repeats":
		p.IntArg(d, &p.x.Repeats, 1, 1000)
	default:
		p.parseDirective(&p.base, d, p.seen)
	}
}

// parseDirective parses a directive that may be used at the top level and in an arm.
func (p *fileParser) parseDirective(s *setup, d conffile.Directive, seen map[string]bool) {
	name := d.Name.Text
	if seen[name] && name != "trouble" && name != "class" {
		p.AddProblem(d.Name, "%s is already set", name)
		return
	}
	seen[name] = true
	if field := s.intFields()[name]; field != nil {
		p.IntArg(d, field, 1, 1_000_000)
		return
	}
	if field := s.floatFields()[name]; field != nil {
		if p.FloatArg(d, field, 0, 1e7); name == "tail" && *field > 0 && *field <= 1 {
			p.AddProblem(d.Name, "tail: a Pareto index up to 1 has no mean; want one above 1, or 0 for lognormal work")
		}
		return
	}
	if field := s.durationFields()[name]; field != nil {
		if w, ok := p.SingleArg(d); ok {
			p.parseDuration(w, field)
		}
		return
	}
	switch name {
	case "halls":
		if s.zones = nil; len(d.Args) == 0 {
			p.AddProblem(d.Name, "halls needs one or more names")
		}
		for _, w := range d.Args {
			if slices.Contains(s.zones, w.Text) {
				p.AddProblem(w, "hall %s is listed twice", w.Text)
			}
			s.zones = append(s.zones, w.Text)
		}
	case "gate":
		if w, ok := p.SingleArg(d); ok {
			if s.gate = w.Text; !slices.Contains([]string{"on", "off", "fixed"}, w.Text) {
				p.AddProblem(w, "gate must be on, off or fixed")
			}
		}
	case "judge":
		if w, ok := p.SingleArg(d); ok {
			if s.checkSessions = w.Text == "on"; w.Text != "on" && w.Text != "off" {
				p.AddProblem(w, "judge must be on or off")
			}
		}
	case "trouble":
		p.parseTrouble(s, d)
	case "arrivals":
		p.parseArrivals(s, d)
	case "class":
		p.parseClass(s, d)
	default:
		known := []string{"experiment", "repeats", "arm", "vary", "halls", "gate", "judge", "trouble", "arrivals", "class"}
		known = slices.AppendSeq(slices.AppendSeq(slices.AppendSeq(known, maps.Keys(s.intFields())), maps.Keys(s.floatFields())), maps.Keys(s.durationFields()))
		slices.Sort(known)
		p.UnknownDirective(d.Name, known)
	}
}

// parseArrivals loads a recording, whose requests are replayed in place of random arrivals.
func (p *fileParser) parseArrivals(s *setup, d conffile.Directive) {
	w, ok := p.SingleArg(d)
	if !ok {
		return
	}
	path := w.Text
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(p.file), path)
	}
	r, err := record.Open(path)
	if err == nil {
		s.replay, err = r.Arrivals("", 0)
	}
	if err != nil {
		p.AddProblem(w, "%v", err)
	}
}

func (p *fileParser) parseDuration(w conffile.Word, field *time.Duration) {
	v, err := time.ParseDuration(w.Text)
	if err != nil || v < 0 || v > time.Hour {
		p.AddProblem(w, "%q is not a time from 0s to 1h; want one like 500ms or 30s", w.Text)
		return
	}
	*field = v
}

var troubleDirectives = []string{"at", "for", "size", "slice", "member", "driver", "hall", "all"}

// parseTrouble parses a trouble block.
func (p *fileParser) parseTrouble(s *setup, d conffile.Directive) {
	if len(d.Args) != 1 || !d.HasBlock {
		p.AddProblem(d.Name, "trouble needs a kind and a block; kinds: %s", strings.Join(world.TroubleNames(), ", "))
		return
	}
	kind, ok := world.ParseTroubleKind(d.Args[0].Text)
	if !ok {
		p.AddProblem(d.Args[0], "unknown trouble %q; kinds: %s", d.Args[0].Text, strings.Join(world.TroubleNames(), ", "))
		return
	}
	t := world.Trouble{Kind: kind, Place: world.Anywhere, For: time.Second}
	seen := map[string]bool{}
	for _, line := range d.Block {
		w, ok := p.SingleArg(line)
		if !ok {
			continue
		}
		if seen[line.Name.Text] {
			p.AddProblem(line.Name, "%s is already set", line.Name.Text)
		}
		seen[line.Name.Text] = true
		p.parseTroubleDirective(&t, line.Name, w)
	}
	switch {
	case !seen["at"]:
		p.AddProblem(d.Name, "trouble %s needs a time, as in: at 5s", kind)
	case kind.HasSize() && !seen["size"]:
		p.AddProblem(d.Name, "trouble %s needs a size", kind)
	case !kind.HasSize() && seen["size"]:
		p.AddProblem(d.Name, "trouble %s takes no size", kind)
	}
	p.troubleWords = append(p.troubleWords, d.Name)
	s.troubles = append(slices.Clone(s.troubles), t)
}

func (p *fileParser) parseTroubleDirective(t *world.Trouble, name, w conffile.Word) {
	const maxIndex = 1 << 20
	switch name.Text {
	case "at":
		p.parseDuration(w, &t.At)
	case "for":
		p.parseDuration(w, &t.For)
	case "size":
		v, err := strconv.ParseFloat(strings.TrimSuffix(w.Text, "%"), 64)
		if strings.HasSuffix(w.Text, "%") {
			v /= 100
		}
		if t.Size = v; err != nil || !(v > 0 && v <= 1000) || t.Kind == world.TroubleConnLimit && v < 1 || (t.Kind == world.TroubleLoss || t.Kind == world.TroubleErrors || t.Kind == world.TroubleHotDriver) && v > 1 {
			p.AddProblem(w, "size: %q is not valid for this trouble; want a multiple like 4 or a share like 10%%", w.Text)
		}
	case "slice":
		p.ParseInt(w, "slice", &t.Place.Slice, 0, maxIndex)
	case "member":
		if t.Place.Primary = w.Text == "primary"; !t.Place.Primary {
			p.ParseInt(w, "member", &t.Place.Member, 0, maxIndex)
		}
	case "driver":
		p.ParseInt(w, "driver", &t.Place.Driver, 0, maxIndex)
	case "hall":
		t.Place.Zone = w.Text
	case "all":
		if t.Place.All = w.Text == "on"; w.Text != "on" && w.Text != "off" {
			p.AddProblem(w, "all must be on or off")
		}
	default:
		p.UnknownDirective(name, troubleDirectives)
	}
}

// parseArm adds an arm: the parameters of the file with the changes of the block.
func (p *fileParser) parseArm(d conffile.Directive) {
	if len(d.Args) != 1 || !d.HasBlock {
		p.AddProblem(d.Name, "arm needs a name and a block, which may be empty")
		return
	}
	s, seen := p.base, map[string]bool{}
	for _, line := range d.Block {
		p.parseDirective(&s, line, seen)
	}
	p.addArm(d.Args[0], s)
}

// expandVary adds an arm for each value of a directive.
func (p *fileParser) expandVary(d conffile.Directive) {
	if !p.checkVary(d) {
		return
	}
	for _, w := range d.Args[1:] {
		s := p.base
		p.parseDirective(&s, conffile.Directive{Name: d.Args[0], Args: []conffile.Word{w}}, map[string]bool{})
		p.addArm(conffile.Word{Text: d.Args[0].Text + " " + w.Text, Line: w.Line, Column: w.Column}, s)
	}
}

func (p *fileParser) checkVary(d conffile.Directive) bool {
	if len(d.Args) < 2 || d.HasBlock {
		p.AddProblem(d.Name, "vary needs a directive and its values, as in: vary drivers 3 10 50")
		return false
	}
	return true
}

// addArm checks the parameters of an arm against each other and adds the arm.
func (p *fileParser) addArm(name conffile.Word, s setup) {
	for _, a := range p.x.Arms {
		if a.Name == name.Text {
			p.AddProblem(name, "arm %q is defined twice", name.Text)
		}
	}
	sum := 0.0
	for _, c := range s.classes {
		sum += c.share
	}
	if len(s.classes) > 0 && (sum < 0.999 || sum > 1.001) {
		p.AddProblem(name, "the shares of the classes add up to %.1f%%, not 100%%", 100*sum)
	}
	for i, t := range s.troubles {
		w := name
		if i < len(p.troubleWords) {
			w = p.troubleWords[i]
		}
		switch {
		case t.At >= s.length:
			p.AddProblem(w, "trouble %s starts at %v, but the run ends at %v", t.Kind, t.At, s.length)
		case t.Place.Slice >= s.slices || t.Place.Member >= s.members || t.Place.Driver >= s.drivers:
			p.AddProblem(w, "trouble %s names a slice, member or driver that arm %q does not have", t.Kind, name.Text)
		case t.Place.Zone != "" && !slices.Contains(s.zones, t.Place.Zone):
			p.AddProblem(w, "trouble %s: hall %q is not listed in halls", t.Kind, t.Place.Zone)
		}
	}
	p.x.Arms = append(p.x.Arms, Arm{name.Text, s.config()})
}
