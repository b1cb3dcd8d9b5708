package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberladder/balance"
	"umberladder/internal/conffile"
)

// bind builds Settings from directives, over the defaults, and records every problem in p.
func bind(p *conffile.Parser, tree []directive) *Settings {
	s := Defaults()
	b := &binder{Parser: p, s: s, seen: map[string]word{}}
	for _, d := range tree {
		b.top(d)
	}
	b.check()
	return s
}

type binder struct {
	*conffile.Parser
	s           *Settings
	seen        map[string]word // single-value directives set so far, by full name such as "drain grace"
	classes     []word          // name of each class, in the order of s.Classes
	nodes       []word          // likewise of each node
	zones       []word          // likewise of each zone
	inventoryAt word            // the inventory directive
}

func topNames() []string {
	names := []string{"hall", "class", "node", "inventory"}
	for _, bl := range blocks {
		if bl.name != "" {
			names = append(names, bl.name)
			continue
		}
		for _, f := range bl.fields {
			names = append(names, f.name)
		}
	}
	return names
}

func (b *binder) top(d directive) {
	switch d.Name.Text {
	case "hall":
		b.zone(d)
		return
	case "class":
		b.class(d)
		return
	case "node":
		b.node(d)
		return
	case "inventory":
		b.inventory(d)
		return
	}
	for _, bl := range blocks {
		switch {
		case bl.name == "":
			for _, f := range bl.fields {
				if f.name == d.Name.Text {
					b.field(b.s, "", f, d)
					return
				}
			}
		case bl.name == d.Name.Text:
			b.block(bl, d)
			return
		}
	}
	b.UnknownDirective(d.Name, topNames())
}

// block binds both forms: a block of directives, or one of its directives on the same line, as in "drain grace 500ms".
func (b *binder) block(bl block, d directive) {
	all := d.Block
	if !d.HasBlock {
		if len(d.Args) == 0 {
			b.AddProblem(d.Name, "%s needs a block or one of its directives on the same line", d.Name.Text)
			return
		}
		all = []directive{{Name: d.Args[0], Args: d.Args[1:]}}
	} else if len(d.Args) > 0 {
		b.AddProblem(d.Args[0], "%s takes no argument before its block", d.Name.Text)
	}
	for _, line := range all {
		i := slices.IndexFunc(bl.fields, func(f field) bool { return f.name == line.Name.Text })
		if i < 0 {
			b.UnknownDirective(line.Name, fieldNames(bl.fields))
			continue
		}
		b.field(b.s, bl.name+" ", bl.fields[i], line)
	}
}

func fieldNames(fields []field) []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return names
}

func (b *binder) field(s *Settings, prefix string, f field, d directive) {
	full := prefix + f.name
	if first, repeated := b.seen[full]; repeated {
		b.AddProblem(d.Name, "%s is already set on line %d", full, first.Line)
		return
	}
	b.seen[full] = d.Name
	if arg, ok := b.SingleArg(d); ok {
		if err := f.set(s, arg.Text); err != nil {
			b.AddProblem(arg, "%s: %v", full, err)
		}
	}
}

func (b *binder) zone(d directive) {
	if len(d.Args) == 0 || d.HasBlock {
		b.AddProblem(d.Name, "hall needs one or more names")
		return
	}
	for _, w := range d.Args {
		if slices.Contains(b.s.Zones, w.Text) {
			b.AddProblem(w, "hall %q is listed twice", w.Text)
			continue
		}
		b.s.Zones, b.zones = append(b.s.Zones, w.Text), append(b.zones, w)
	}
}

func (b *binder) inventory(d directive) {
	if len(d.Args) == 0 || d.HasBlock {
		b.AddProblem(d.Name, "inventory needs one or more files or directories")
		return
	}
	b.inventoryAt = d.Name
	for _, w := range d.Args {
		b.s.Inventory = append(b.s.Inventory, w.Text)
	}
}

var classFields = []string{"effect", "scope", "need", "target", "deadline", "window", "worth", "late-worth", "without-token"}

func (b *binder) class(d directive) {
	if len(d.Args) != 1 || !d.HasBlock {
		b.AddProblem(d.Name, "class needs a name and a block, as in: class article-read {")
		return
	}
	name := d.Args[0]
	if i := slices.IndexFunc(b.classes, func(w word) bool { return w.Text == name.Text }); i >= 0 {
		b.AddProblem(name, "class %q is already defined on line %d", name.Text, b.classes[i].Line)
	}
	c := Class{Name: name.Text, Value: 1}
	seen := map[string]bool{}
	for _, line := range d.Block {
		if seen[line.Name.Text] {
			b.AddProblem(line.Name, "%s of class %q is already set", line.Name.Text, c.Name)
			continue
		}
		seen[line.Name.Text] = true
		b.classLine(&c, line)
	}
	for _, required := range []string{"effect", "need", "target", "deadline"} {
		if !seen[required] {
			b.AddProblem(name, "class %q has no %s", c.Name, required)
		}
	}
	b.checkClass(name, c, seen)
	b.s.Classes, b.classes = append(b.s.Classes, c), append(b.classes, name)
}

func (b *binder) checkClass(name word, c Class, seen map[string]bool) {
	if seen["target"] && seen["deadline"] && c.Deadline < c.Target {
		b.AddProblem(name, "class %q: deadline %v is shorter than its target %v", c.Name, c.Deadline, c.Target)
	}
	if c.Effect == balance.Keyed && !seen["window"] {
		b.AddProblem(name, "class %q is keyed and has no window, the time for which nodes discard repeats", c.Name)
	}
	if c.Effect != balance.Keyed && (seen["window"] || seen["scope"]) {
		b.AddProblem(name, "class %q: window and scope are only for classes with 'effect keyed'", c.Name)
	}
	if c.Need != balance.NeedSession && seen["without-token"] {
		b.AddProblem(name, "class %q: without-token is only for classes with 'need session'", c.Name)
	}
	if c.Effect == balance.Safe && c.Need == balance.NeedWrite && seen["need"] {
		b.AddProblem(name, "class %q: 'need write' goes with 'effect keyed' or 'effect unsafe', not with 'effect safe'", c.Name)
	}
}

func (b *binder) classLine(c *Class, d directive) {
	if d.Name.Text == "need" {
		b.need(c, d)
		return
	}
	if !slices.Contains(classFields, d.Name.Text) {
		b.UnknownDirective(d.Name, classFields)
		return
	}
	arg, ok := b.SingleArg(d)
	if !ok {
		return
	}
	var err error
	switch d.Name.Text {
	case "effect":
		err = setChoice(&c.Effect, arg.Text, "safe", "keyed", "unsafe")
	case "scope":
		err = setChoice(&c.Scope, arg.Text, "slice", "hall", "all")
	case "target":
		c.Target, err = parsePositive(arg.Text)
	case "deadline":
		c.Deadline, err = parsePositive(arg.Text)
	case "window":
		c.Window, err = parsePositive(arg.Text)
	case "worth":
		c.Value, err = parseFactor(arg.Text)
	case "late-worth":
		c.LateValue, err = parsePercentage(arg.Text)
	case "without-token":
		err = setChoice(&c.MissingToken, arg.Text, "accept", "primary", "refuse")
	}
	if err != nil {
		b.AddProblem(arg, "%s: %v", d.Name.Text, err)
	}
}

func setChoice[T ~uint8](ptr *T, v string, words ...string) error {
	i, err := oneOf(v, words)
	*ptr = T(i)
	return err
}

func parsePositive(v string) (time.Duration, error) {
	d, err := parseDuration(v)
	if err == nil && d == 0 {
		err = fmt.Errorf("must be longer than 0s")
	}
	return d, err
}

func parseFactor(v string) (float64, error) {
	var s Settings
	err := factor("", "", func(s *Settings) *float64 { return &s.ColdOverloadMultiple }).set(&s, v)
	return s.ColdOverloadMultiple, err
}

func parsePercentage(v string) (float64, error) {
	var s Settings
	err := percentage("", "", func(s *Settings) *float64 { return &s.ColdFrom }).set(&s, v)
	return s.ColdFrom, err
}

var needNames = []string{"write", "fresh", "session", "bounded", "any"}

func (b *binder) need(c *Class, d directive) {
	if len(d.Args) == 0 || d.HasBlock {
		b.AddProblem(d.Name, "need requires one of %s", strings.Join(needNames, ", "))
		return
	}
	if err := setChoice(&c.Need, d.Args[0].Text, needNames...); err != nil {
		b.AddProblem(d.Args[0], "need: %v", err)
		return
	}
	switch {
	case c.Need == balance.NeedBounded && len(d.Args) != 2:
		b.AddProblem(d.Args[0], "need bounded requires a maximum age, as in: need bounded 200ms")
	case c.Need == balance.NeedBounded:
		bound, err := parsePositive(d.Args[1].Text)
		if err != nil {
			b.AddProblem(d.Args[1], "need bounded: %v", err)
		}
		c.Bound = bound
	case len(d.Args) > 1:
		b.AddProblem(d.Args[1], "need %s takes no further argument", d.Args[0].Text)
	}
}

var nodeOptions = []string{"slice", "hall", "state", "started"}

// node binds: node NAME HOST:PORT slice=S [hall=H] [state=ready|draining|gone] [started=TIME].
func (b *binder) node(d directive) {
	if len(d.Args) < 2 || d.HasBlock {
		b.AddProblem(d.Name, "node needs a name, HOST:PORT, slice=NAME and, if there are halls, hall=NAME")
		return
	}
	n := Node{Name: d.Args[0].Text, Address: d.Args[1].Text, Line: d.Name.Line}
	if err := checkAddress(n.Address); err != nil {
		b.AddProblem(d.Args[1], "%v", err)
	}
	seen := map[string]bool{}
	for _, w := range d.Args[2:] {
		key, value, ok := strings.Cut(w.Text, "=")
		switch {
		case !ok:
			b.AddProblem(w, "%q is not an option; write KEY=VALUE", w.Text)
		case seen[key]:
			b.AddProblem(w, "%s is already set", key)
		case !slices.Contains(nodeOptions, key):
			b.UnknownDirective(word{Text: key, Line: w.Line, Column: w.Column}, nodeOptions)
		default:
			b.nodeOption(&n, w, key, value)
		}
		seen[key] = true
	}
	if !seen["slice"] {
		b.AddProblem(d.Args[0], "node %q has no slice=NAME", n.Name)
	}
	for i, other := range b.s.Nodes {
		if other.Name == n.Name {
			b.AddProblem(d.Args[0], "node %q is already defined on line %d", n.Name, b.nodes[i].Line)
		} else if other.Address == n.Address {
			b.AddProblem(d.Args[1], "address %s is already used by node %q on line %d", n.Address, other.Name, b.nodes[i].Line)
		}
	}
	b.s.Nodes, b.nodes = append(b.s.Nodes, n), append(b.nodes, d.Args[0])
}

func (b *binder) nodeOption(n *Node, w word, key, value string) {
	var err error
	switch key {
	case "slice":
		n.Slice = value
		if value == "" || len(value) > 64 {
			err = fmt.Errorf("slice must be a name of 1 to 64 bytes")
		}
	case "hall":
		n.Zone = value
	case "state":
		err = setChoice(&n.Life, value, "ready", "draining", "gone")
	case "started":
		n.Started, err = time.Parse(time.RFC3339, value)
		if err != nil {
			err = fmt.Errorf("%q is not an RFC 3339 time; write one like 2026-03-01T06:30:00Z", value)
		}
	}
	if err != nil {
		b.AddProblem(w, "%v", err)
	}
}

// check records problems that concern more than one directive.
func (b *binder) check() {
	s := b.s
	if len(s.Classes) == 0 {
		b.AddProblem(word{Line: b.LineCount(), Column: 1}, "no class is defined; without one no request can be served")
	}
	if len(s.Classes) > 256 {
		b.AddProblem(b.classes[256], "more than 256 classes")
	}
	if len(s.Zones) > 0 && s.Zone == "" {
		b.AddProblem(b.zones[0], "halls are listed, but not the one that this driver runs in; add 'here %s' or another", s.Zones[0])
	}
	if s.Zone != "" && !slices.Contains(s.Zones, s.Zone) {
		b.AddProblem(b.seen["here"], "hall %q is not listed by a hall directive%s", s.Zone, suggestion(s.Zone, s.Zones))
	}
	for i, n := range s.Nodes {
		if n.Zone != "" && !slices.Contains(s.Zones, n.Zone) {
			b.AddProblem(b.nodes[i], "node %q: hall %q is not listed by a hall directive%s", n.Name, n.Zone, suggestion(n.Zone, s.Zones))
		}
	}
	s.Members.Drivers = s.Routers
	if len(s.Inventory) > 0 && len(s.Nodes) > 0 {
		b.AddProblem(b.nodes[0], "nodes come from the inventory on line %d; remove either it or the node directives", b.inventoryAt.Line)
	}
	if s.LagPolicy == balance.LagWait && s.CatchUpWait == 0 {
		b.AddProblem(b.seen["replicas behind"], "'behind wait' also needs catch-up, the longest wait")
	}
	for i, c := range s.Classes {
		if c.Deadline > 0 && c.Deadline <= 2*s.AnswerMargin {
			b.AddProblem(b.classes[i], "class %q: deadline %v must be longer than twice the answer margin %v", c.Name, c.Deadline, s.AnswerMargin)
		}
	}
}

func suggestion(name string, known []string) string {
	if n := nearest(name, known); n != "" {
		return "; did you mean " + strconv.Quote(n) + "?"
	}
	return ""
}
