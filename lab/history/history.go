// Package history judges what clients saw. It takes their operations, by key and value, and the order in which the
// values of each slice entered its log, and looks for what the session guarantees, causal order, the bound of an age
// and linearizability forbid. It does no I/O and believes no place, token or claim of the driver: values alone count.
//
// docs/guarantees.md says what is promised; the rules here are its rows.
package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind tells reads from writes.
type Kind uint8

// The kinds of operation.
const (
	Read Kind = iota
	Write
)

// End is how an operation ended for its client.
type End uint8

// The ends of an operation.
const (
	Served  End = iota
	Refused     // the driver said that nothing was done
	Unknown     // it may have taken effect, or may yet
)

// Op is one operation as its client saw it. Times are on one clock.
type Op struct {
	ID      string
	Session string
	Kind    Kind
	Slice   string
	Key     string
	Value   string // of a write what it writes, of a read what it returned, "" for nothing
	Begin   time.Duration
	End     time.Duration // when its client had the answer
	Ended   End
	// Carries are the operations whose tokens its own token covers: of its session, or handed over by others.
	Carries []string
	Fresh   bool          // it must see the present
	Bound   time.Duration // its data may be so old at the most; 0 for any age
	Excused bool          // of a read: a node that had been primary answered, and nobody had been told that it no longer is
	Source  string        // who answered and what the client was told of it; only printed, never judged
}

// Version is one value in a slice's log. Values are unique.
type Version struct {
	Slice, Key, Value string
	Lost              bool // a promotion left it out
}

// History is what a run left behind. Versions that are not lost stand in the order of their slice's log.
type History struct {
	Ops      []Op
	Versions []Version
}

// Rule is one guarantee as a history kept it.
type Rule struct {
	Name    string
	Chances int // occasions on which it could have been broken
	Excused int
	Broken  []Violation
}

// Violation is one break of a guarantee.
type Violation struct {
	Text string
	Part []Op // the shortest part of the history that shows it, in order of time
}

// String is the text with the part that shows it, a line each.
func (v *Violation) String() string {
	var b strings.Builder
	b.WriteString(v.Text)
	for _, op := range v.Part {
		b.WriteString("\n      " + op.String())
	}
	return b.String()
}

// String is one line about an operation.
func (o *Op) String() string {
	what := fmt.Sprintf("read %s/%s -> %q", o.Slice, o.Key, o.Value)
	if o.Kind == Write {
		what = fmt.Sprintf("write %s/%s = %q, %s", o.Slice, o.Key, o.Value, [...]string{"served", "refused", "end unknown"}[o.Ended])
	}
	line := fmt.Sprintf("%8.3f to %8.3f  %s %s: %s", o.Begin.Seconds(), o.End.Seconds(), o.Session, o.ID, what)
	if o.Source != "" {
		line += "  [" + o.Source + "]"
	}
	return line
}

// The rules, by their places in the result of Check.
const (
	ReadYourWrites = iota
	MonotonicReads
	MonotonicWrites
	WritesFollowReads
	CausalOrder
	BoundedAge
	Linearizable
	AnswersKept
	rules
)

var ruleNames = [rules]string{"read your writes", "monotonic reads", "monotonic writes", "writes follow reads", "causal order",
	"bounded age", "linearizable", "answers kept"}

// Check judges a history.
func Check(h *History) []*Rule {
	c := newChecker(h)
	c.sessions()
	c.ages()
	c.answers()
	c.linearize()
	return c.rules
}

// Broken counts the breaks of all rules.
func Broken(rules []*Rule) (n int) {
	for _, r := range rules {
		n += len(r.Broken)
	}
	return n
}

// place is a key of a slice.
type place struct{ slice, key string }

// version is a Version with its order in the slice's log.
type version struct {
	Version
	order int
	by    int // the operation that wrote it, -1 if none is known
}

type checker struct {
	h        *History
	rules    []*Rule
	byID     map[string]int
	versions map[string]*version // by value
	byPlace  map[place][]*version
	after    []*front // by operation: what its client has seen and done with it
	before   []*front
	state    []uint8 // of the walk over operations
}

func newChecker(h *History) *checker {
	c := &checker{h: h, byID: map[string]int{}, versions: map[string]*version{}, byPlace: map[place][]*version{},
		after: make([]*front, len(h.Ops)), before: make([]*front, len(h.Ops)), state: make([]uint8, len(h.Ops))}
	for i := range rules {
		c.rules = append(c.rules, &Rule{Name: ruleNames[i]})
	}
	for i, v := range h.Versions {
		k := &version{Version: v, order: i, by: -1}
		c.versions[v.Value] = k
		if !v.Lost {
			c.byPlace[place{v.Slice, v.Key}] = append(c.byPlace[place{v.Slice, v.Key}], k)
		}
	}
	for i := range h.Ops {
		op := &h.Ops[i]
		c.byID[op.ID] = i
		if v := c.versions[op.Value]; op.Kind == Write && v != nil {
			v.by = i
		}
	}
	return c
}

func (c *checker) broken(rule int, text string, ops ...int) {
	ops = slices.DeleteFunc(ops, func(i int) bool { return i < 0 })
	slices.Sort(ops)
	ops = slices.Compact(ops)
	slices.SortStableFunc(ops, func(a, b int) int { return int(c.h.Ops[a].Begin - c.h.Ops[b].Begin) })
	v := Violation{Text: text}
	for _, i := range ops {
		v.Part = append(v.Part, c.h.Ops[i])
	}
	c.rules[rule].Broken = append(c.rules[rule].Broken, v)
}

// ages looks for reads that lack what had been answered for longer than their bound.
func (c *checker) ages() {
	type answered struct {
		end time.Duration
		v   *version // the newest among those answered by then
	}
	byPlace := map[place][]answered{}
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		if v := c.versions[op.Value]; op.Kind == Write && op.Ended == Served && v != nil && !v.Lost {
			p := place{op.Slice, op.Key}
			byPlace[p] = append(byPlace[p], answered{op.End, v})
		}
	}
	for _, all := range byPlace {
		slices.SortFunc(all, func(a, b answered) int { return int(a.end - b.end) })
		for i := 1; i < len(all); i++ {
			if all[i-1].v.order > all[i].v.order {
				all[i].v = all[i-1].v
			}
		}
	}
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		if op.Kind != Read || op.Ended != Served || op.Bound == 0 {
			continue
		}
		all := byPlace[place{op.Slice, op.Key}]
		n, _ := slices.BinarySearchFunc(all, op.Begin-op.Bound, func(a answered, t time.Duration) int { return int(a.end - t) })
		if n == 0 {
			continue
		}
		must := all[n-1].v
		if op.Excused {
			c.rules[BoundedAge].Excused++
			continue
		}
		c.rules[BoundedAge].Chances++
		if got, known := c.orderOf(op); known && got < must.order {
			c.broken(BoundedAge, fmt.Sprintf("%s lacks %q, answered over %v before", op.ID, must.Value, op.Bound), i, must.by, c.writer(op))
		}
	}
}

// orderOf is the order of what a read returned, -1 for nothing; not known where a promotion left it out.
func (c *checker) orderOf(op *Op) (order int, known bool) {
	if op.Value == "" {
		return -1, true
	}
	v := c.versions[op.Value]
	if v == nil || v.Lost {
		return 0, false
	}
	return v.order, true
}

// writer is the operation that wrote what a read returned, -1 if none is known.
func (c *checker) writer(op *Op) int {
	if v := c.versions[op.Value]; v != nil {
		return v.by
	}
	return -1
}

// answers looks for writes that were refused, which says that nothing was done, and yet are in the log, for writes
// that were served and are not, and for reads of what nobody wrote.
func (c *checker) answers() {
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		if op.Kind != Write || op.Ended == Unknown {
			continue
		}
		c.rules[AnswersKept].Chances++
		switch done := c.versions[op.Value] != nil; {
		case done && op.Ended == Refused:
			c.broken(AnswersKept, op.ID+" was refused and yet done", i)
		case !done && op.Ended == Served:
			c.broken(AnswersKept, op.ID+" was served and never done", i)
		}
	}
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		if op.Kind == Read && op.Ended == Served && op.Value != "" && c.versions[op.Value] == nil {
			c.broken(AnswersKept, fmt.Sprintf("%s returned %q, which nobody wrote", op.ID, op.Value), i)
		}
	}
}
