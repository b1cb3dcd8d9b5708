package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberladder/balance"
)

// bind turns directives into settings and checks what one line alone can't say.
func (p *parser) bind(tree []directive) *Settings {
	s := Defaults()
	b := &binder{parser: p, s: s, seen: map[string]word{}}
	for _, d := range tree {
		b.top(d)
	}
	b.check()
	return s
}

type binder struct {
	*parser
	s       *Settings
	seen    map[string]word // where each directive with one value was set
	classes []word
	nodes   []word
	halls   []word
	listed  word // an inventory directive
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
	switch d.name.text {
	case "hall":
		b.hall(d)
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
				if f.name == d.name.text {
					b.field(b.s, "", f, d)
					return
				}
			}
		case bl.name == d.name.text:
			b.block(bl, d)
			return
		}
	}
	b.unknown(d.name, topNames())
}

// block takes both forms: a block of lines, or one of its lines written out, as in "drain grace 500ms".
func (b *binder) block(bl block, d directive) {
	lines := d.block
	if !d.open {
		if len(d.args) == 0 {
			b.problem(d.name, "%s wants a block or a directive of its own", d.name.text)
			return
		}
		lines = []directive{{name: d.args[0], args: d.args[1:]}}
	} else if len(d.args) > 0 {
		b.problem(d.args[0], "%s takes no argument before its block", d.name.text)
	}
	for _, line := range lines {
		i := slices.IndexFunc(bl.fields, func(f field) bool { return f.name == line.name.text })
		if i < 0 {
			b.unknown(line.name, fieldNames(bl.fields))
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

func (b *binder) unknown(w word, known []string) {
	if n := nearest(w.text, known); n != "" {
		b.problem(w, "unknown directive %q; did you mean %q?", w.text, n)
		return
	}
	b.problem(w, "unknown directive %q; known here: %s", w.text, strings.Join(known, ", "))
}

func (b *binder) field(s *Settings, prefix string, f field, d directive) {
	full := prefix + f.name
	if before, again := b.seen[full]; again {
		b.problem(d.name, "%s was set in line %d already", full, before.line)
		return
	}
	b.seen[full] = d.name
	if arg, ok := b.one(d); ok {
		if err := f.set(s, arg.text); err != nil {
			b.problem(arg, "%s: %v", full, err)
		}
	}
}

// one is the only argument of a directive.
func (b *binder) one(d directive) (word, bool) {
	switch {
	case d.open:
		b.problem(d.name, "%s takes a value, not a block", d.name.text)
	case len(d.args) == 0:
		b.problem(d.name, "%s wants a value", d.name.text)
	case len(d.args) > 1:
		b.problem(d.args[1], "%s takes one value; put quotes around one with blanks", d.name.text)
	default:
		return d.args[0], true
	}
	return word{}, false
}

func (b *binder) hall(d directive) {
	if len(d.args) == 0 || d.open {
		b.problem(d.name, "hall wants one or more names")
		return
	}
	for _, w := range d.args {
		if slices.Contains(b.s.Halls, w.text) {
			b.problem(w, "hall %q stands twice", w.text)
			continue
		}
		b.s.Halls, b.halls = append(b.s.Halls, w.text), append(b.halls, w)
	}
}

func (b *binder) inventory(d directive) {
	if len(d.args) == 0 || d.open {
		b.problem(d.name, "inventory wants one or more files or directories")
		return
	}
	b.listed = d.name
	for _, w := range d.args {
		b.s.Inventory = append(b.s.Inventory, w.text)
	}
}

var classFields = []string{"effect", "scope", "need", "target", "deadline", "window", "worth", "late-worth", "without-token"}

func (b *binder) class(d directive) {
	if len(d.args) != 1 || !d.open {
		b.problem(d.name, "class wants a name and a block, as in: class article-read {")
		return
	}
	name := d.args[0]
	if i := slices.IndexFunc(b.classes, func(w word) bool { return w.text == name.text }); i >= 0 {
		b.problem(name, "class %q stands in line %d already", name.text, b.classes[i].line)
	}
	c := Class{Name: name.text, Worth: 1}
	seen := map[string]bool{}
	for _, line := range d.block {
		if seen[line.name.text] {
			b.problem(line.name, "%s of class %q is set twice", line.name.text, c.Name)
			continue
		}
		seen[line.name.text] = true
		b.classLine(&c, line)
	}
	for _, must := range []string{"effect", "need", "target", "deadline"} {
		if !seen[must] {
			b.problem(name, "class %q lacks %s", c.Name, must)
		}
	}
	b.checkClass(name, c, seen)
	b.s.Classes, b.classes = append(b.s.Classes, c), append(b.classes, name)
}

func (b *binder) checkClass(name word, c Class, seen map[string]bool) {
	if seen["target"] && seen["deadline"] && c.Deadline < c.Target {
		b.problem(name, "class %q: deadline %v is before its target %v", c.Name, c.Deadline, c.Target)
	}
	if c.Effect == balance.Keyed && !seen["window"] {
		b.problem(name, "class %q is keyed and lacks window: how long nodes discard repeats", c.Name)
	}
	if c.Effect != balance.Keyed && (seen["window"] || seen["scope"]) {
		b.problem(name, "class %q: window and scope are for keyed classes", c.Name)
	}
	if c.Need != balance.NeedSession && seen["without-token"] {
		b.problem(name, "class %q: without-token is for classes that need a session", c.Name)
	}
	if c.Effect == balance.Safe && c.Need == balance.NeedWrite && seen["need"] {
		b.problem(name, "class %q: a write that is safe to repeat is 'effect keyed' or 'effect unsafe'", c.Name)
	}
}

func (b *binder) classLine(c *Class, d directive) {
	if d.name.text == "need" {
		b.need(c, d)
		return
	}
	if !slices.Contains(classFields, d.name.text) {
		b.unknown(d.name, classFields)
		return
	}
	arg, ok := b.one(d)
	if !ok {
		return
	}
	var err error
	switch d.name.text {
	case "effect":
		err = pick(&c.Effect, arg.text, "safe", "keyed", "unsafe")
	case "scope":
		err = pick(&c.Scope, arg.text, "slice", "hall", "all")
	case "target":
		c.Target, err = positive(arg.text)
	case "deadline":
		c.Deadline, err = positive(arg.text)
	case "window":
		c.Window, err = positive(arg.text)
	case "worth":
		c.Worth, err = plain(arg.text)
	case "late-worth":
		c.LateWorth, err = percent(arg.text)
	case "without-token":
		err = pick(&c.Tokenless, arg.text, "accept", "primary", "refuse")
	}
	if err != nil {
		b.problem(arg, "%s: %v", d.name.text, err)
	}
}

func pick[T ~uint8](at *T, v string, words ...string) error {
	i, err := oneOf(v, words)
	*at = T(i)
	return err
}

func positive(v string) (time.Duration, error) {
	d, err := parsePeriod(v)
	if err == nil && d == 0 {
		err = fmt.Errorf("must be more than 0")
	}
	return d, err
}

func plain(v string) (float64, error) {
	var s Settings
	err := factor("", "", func(s *Settings) *float64 { return &s.TipMultiple }).set(&s, v)
	return s.TipMultiple, err
}

func percent(v string) (float64, error) {
	var s Settings
	err := share("", "", func(s *Settings) *float64 { return &s.ColdFrom }).set(&s, v)
	return s.ColdFrom, err
}

var needs = []string{"write", "fresh", "session", "bounded", "any"}

func (b *binder) need(c *Class, d directive) {
	if len(d.args) == 0 || d.open {
		b.problem(d.name, "need wants one of %s", strings.Join(needs, ", "))
		return
	}
	if err := pick(&c.Need, d.args[0].text, needs...); err != nil {
		b.problem(d.args[0], "need: %v", err)
		return
	}
	switch {
	case c.Need == balance.NeedBounded && len(d.args) != 2:
		b.problem(d.args[0], "need bounded wants the age allowed, as in: need bounded 200ms")
	case c.Need == balance.NeedBounded:
		bound, err := positive(d.args[1].text)
		if err != nil {
			b.problem(d.args[1], "need bounded: %v", err)
		}
		c.Bound = bound
	case len(d.args) > 1:
		b.problem(d.args[1], "need %s takes nothing more", d.args[0].text)
	}
}

var nodeOptions = []string{"slice", "hall", "state", "started"}

// node reads: node NAME HOST:PORT slice=S hall=H [state=ready|draining|gone] [started=TIME].
func (b *binder) node(d directive) {
	if len(d.args) < 2 || d.open {
		b.problem(d.name, "node wants a name, HOST:PORT, slice=NAME and hall=NAME")
		return
	}
	n := Node{Name: d.args[0].text, Address: d.args[1].text, Line: d.name.line}
	if err := checkAddress(n.Address); err != nil {
		b.problem(d.args[1], "%v", err)
	}
	seen := map[string]bool{}
	for _, w := range d.args[2:] {
		key, value, ok := strings.Cut(w.text, "=")
		switch {
		case !ok:
			b.problem(w, "%q is no option; write KEY=VALUE", w.text)
		case seen[key]:
			b.problem(w, "%s stands twice", key)
		case !slices.Contains(nodeOptions, key):
			b.unknown(word{text: key, line: w.line, column: w.column}, nodeOptions)
		default:
			b.nodeOption(&n, w, key, value)
		}
		seen[key] = true
	}
	if !seen["slice"] {
		b.problem(d.args[0], "node %q lacks slice=NAME", n.Name)
	}
	for i, other := range b.s.Nodes {
		if other.Name == n.Name {
			b.problem(d.args[0], "node %q stands in line %d already", n.Name, b.nodes[i].line)
		} else if other.Address == n.Address {
			b.problem(d.args[1], "address %s is node %q's in line %d", n.Address, other.Name, b.nodes[i].line)
		}
	}
	b.s.Nodes, b.nodes = append(b.s.Nodes, n), append(b.nodes, d.args[0])
}

func (b *binder) nodeOption(n *Node, w word, key, value string) {
	var err error
	switch key {
	case "slice":
		n.Slice = value
		if value == "" || len(value) > 64 {
			err = fmt.Errorf("slice wants a name of 64 bytes at most")
		}
	case "hall":
		n.Hall = value
	case "state":
		err = pick(&n.Life, value, "ready", "draining", "gone")
	case "started":
		n.Started, err = time.Parse(time.RFC3339, value)
		if err != nil {
			err = fmt.Errorf("%q is no time; write one like 2026-03-01T06:30:00Z", value)
		}
	}
	if err != nil {
		b.problem(w, "%v", err)
	}
}

// check looks at what only the whole file tells.
func (b *binder) check() {
	s := b.s
	if len(s.Classes) == 0 {
		b.problem(word{line: len(b.lines), column: 1}, "no class is set; without one no request can be served")
	}
	if len(s.Classes) > 256 {
		b.problem(b.classes[256], "over 256 classes")
	}
	if len(s.Halls) > 0 && s.Here == "" {
		b.problem(b.halls[0], "halls are named, but not which one this driver is in: add 'here %s' or another", s.Halls[0])
	}
	if s.Here != "" && !slices.Contains(s.Halls, s.Here) {
		b.problem(b.seen["here"], "hall %q is not among the halls%s", s.Here, meant(s.Here, s.Halls))
	}
	for i, n := range s.Nodes {
		if n.Hall != "" && !slices.Contains(s.Halls, n.Hall) {
			b.problem(b.nodes[i], "node %q: hall %q is not among the halls%s", n.Name, n.Hall, meant(n.Hall, s.Halls))
		}
	}
	s.Members.Drivers = s.Routers
	if len(s.Inventory) > 0 && len(s.Nodes) > 0 {
		b.problem(b.nodes[0], "nodes come from the inventory of line %d; a node line beside it would be lost", b.listed.line)
	}
	if s.Behind == balance.BehindWait && s.CatchUpWait == 0 {
		b.problem(b.seen["replicas behind"], "with 'behind wait', set catch-up too")
	}
	for i, c := range s.Classes {
		if c.Deadline > 0 && c.Deadline <= 2*s.AnswerMargin {
			b.problem(b.classes[i], "class %q: its deadline %v leaves no time beside the answer margin %v", c.Name, c.Deadline, s.AnswerMargin)
		}
	}
}

func meant(name string, known []string) string {
	if n := nearest(name, known); n != "" {
		return "; did you mean " + strconv.Quote(n) + "?"
	}
	return ""
}
