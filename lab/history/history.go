// Package history checks recorded operations of clients for violations of session guarantees, causal order, bounded
// staleness and linearizability. Its input is a History: the operations, by key and value, and the order of the values
// in each slice's log; its output is one Rule per guarantee, with its violations. Packages lab and world call it; it
// does no I/O and compares values only, never positions, tokens or other statements of the driver.
//
// The rules are the rows of docs/guarantees.md.
package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of an operation.
type Kind uint8

// The kinds of operation.
const (
	Read Kind = iota
	Write
)

// Outcome is the outcome of an operation for its client.
type Outcome uint8

// The outcomes of an operation.
const (
	Served  Outcome = iota
	Refused         // the driver answered that it had no effect
	Unknown         // it may have taken effect, or may take effect later
)

// Op is one operation as its client observed it. All times are on one clock.
type Op struct {
	ID      string
	Session string
	Kind    Kind
	Slice   string
	Key     string
	Value   string // value written, or value a read returned; "" for none
	Begin   time.Duration
	End     time.Duration // when its client received the answer
	Outcome Outcome
	// Covered lists the operations that its token covers: those of its own session, and those of other sessions that
	// passed their tokens on.
	Covered []string
	Fresh   bool          // a read that must return the latest value
	Bound   time.Duration // most staleness allowed; 0 for any
	Excused bool          // of a read: served by a former primary before any driver was notified of its demotion
	Source  string        // answering node and its reported state; printed only, never judged
}

// Version is one value in a slice's log. Values are unique.
type Version struct {
	Slice, Key, Value string
	Lost              bool // lost by a promotion
}

// History is the record of a run. Versions that are not lost are in the order of their slice's log.
type History struct {
	Ops      []Op
	Versions []Version
}

// Rule is one guarantee and its violations in a history.
type Rule struct {
	Name    string
	Chances int // occasions on which it could have been broken
	Excused int // reads not judged because their Op is excused
	Broken  []Violation
}

// Violation is one violation of a guarantee.
type Violation struct {
	Text string
	Ops  []Op // the operations that prove it, by begin time
}

// String returns the text, followed by one line per operation.
func (v *Violation) String() string {
	var b strings.Builder
	b.WriteString(v.Text)
	for _, op := range v.Ops {
		b.WriteString("\n      " + op.String())
	}
	return b.String()
}

// String describes the operation in one line.
func (o *Op) String() string {
	what := fmt.Sprintf("read %s/%s -> %q", o.Slice, o.Key, o.Value)
	if o.Kind == Write {
		what = fmt.Sprintf("write %s/%s = %q, %s", o.Slice, o.Key, o.Value, [...]string{"served", "refused", "end unknown"}[o.Outcome])
	}
	line := fmt.Sprintf("%8.3f to %8.3f  %s %s: %s", o.Begin.Seconds(), o.End.Seconds(), o.Session, o.ID, what)
	if o.Source != "" {
		line += "  [" + o.Source + "]"
	}
	return line
}

// Indexes of the rules in the result of Check.
const (
	ReadYourWrites = iota
	MonotonicReads
	MonotonicWrites
	WritesFollowReads
	CausalOrder
	BoundedStaleness
	Linearizable
	AnswersKept
	rules
)

var ruleNames = [rules]string{"read your writes", "monotonic reads", "monotonic writes", "writes follow reads", "causal order",
	"bounded age", "linearizable", "answers kept"}

// Check checks a history and returns all rules, in the order of their indexes, such as ReadYourWrites. It takes up to
// 20 s per key to check linearizability, and longer to shorten a violation.
func Check(h *History) []*Rule {
	c := newChecker(h)
	c.checkSessions()
	c.checkStaleness()
	c.checkAnswers()
	c.checkLinearizable()
	return c.rules
}

// Broken returns the number of violations of all rules.
func Broken(rules []*Rule) (n int) {
	for _, r := range rules {
		n += len(r.Broken)
	}
	return n
}

// key is a key of a slice.
type key struct{ slice, key string }

// version is a Version with its index in History.Versions.
type version struct {
	Version
	order  int
	writer int // index of the operation that wrote it, -1 if unknown
}

type checker struct {
	h        *History
	rules    []*Rule
	byID     map[string]int
	versions map[string]*version // by value
	byKey    map[key][]*version
	after    []*past // by operation: its client's causal past including the operation
	before   []*past // by operation: its client's causal past without the operation
	state    []uint8 // by operation, the state of its visit
}

func newChecker(h *History) *checker {
	c := &checker{h: h, byID: map[string]int{}, versions: map[string]*version{}, byKey: map[key][]*version{},
		after: make([]*past, len(h.Ops)), before: make([]*past, len(h.Ops)), state: make([]uint8, len(h.Ops))}
	for i := range rules {
		c.rules = append(c.rules, &Rule{Name: ruleNames[i]})
	}
	for i, v := range h.Versions {
		k := &version{Version: v, order: i, writer: -1}
		c.versions[v.Value] = k
		if !v.Lost {
			c.byKey[key{v.Slice, v.Key}] = append(c.byKey[key{v.Slice, v.Key}], k)
		}
	}
	for i := range h.Ops {
		op := &h.Ops[i]
		c.byID[op.ID] = i
		if v := c.versions[op.Value]; op.Kind == Write && v != nil {
			v.writer = i
		}
	}
	return c
}

func (c *checker) addViolation(rule int, text string, ops ...int) {
	ops = slices.DeleteFunc(ops, func(i int) bool { return i < 0 })
	slices.Sort(ops)
	ops = slices.Compact(ops)
	slices.SortStableFunc(ops, func(a, b int) int { return int(c.h.Ops[a].Begin - c.h.Ops[b].Begin) })
	v := Violation{Text: text}
	for _, i := range ops {
		v.Ops = append(v.Ops, c.h.Ops[i])
	}
	c.rules[rule].Broken = append(c.rules[rule].Broken, v)
}

// checkStaleness finds reads that miss a write whose answer precedes the begin of the read by more than the read's
// bound.
func (c *checker) checkStaleness() {
	type answered struct {
		end time.Duration
		v   *version // the newest version served until end
	}
	byKey := map[key][]answered{}
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		if v := c.versions[op.Value]; op.Kind == Write && op.Outcome == Served && v != nil && !v.Lost {
			k := key{op.Slice, op.Key}
			byKey[k] = append(byKey[k], answered{op.End, v})
		}
	}
	for _, all := range byKey {
		slices.SortFunc(all, func(a, b answered) int { return int(a.end - b.end) })
		for i := 1; i < len(all); i++ {
			if all[i-1].v.order > all[i].v.order {
				all[i].v = all[i-1].v
			}
		}
	}
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		if op.Kind != Read || op.Outcome != Served || op.Bound == 0 {
			continue
		}
		all := byKey[key{op.Slice, op.Key}]
		n, _ := slices.BinarySearchFunc(all, op.Begin-op.Bound, func(a answered, t time.Duration) int { return int(a.end - t) })
		if n == 0 {
			continue
		}
		required := all[n-1].v
		if op.Excused {
			c.rules[BoundedStaleness].Excused++
			continue
		}
		c.rules[BoundedStaleness].Chances++
		if got, known := c.orderOf(op); known && got < required.order {
			c.addViolation(BoundedStaleness, fmt.Sprintf("%s lacks %q, answered over %v before", op.ID, required.Value, op.Bound), i, required.writer, c.writer(op))
		}
	}
}

// orderOf returns the order of the version that an operation read or wrote, -1 for no value. It is unknown for a version
// lost by a promotion and for a value that is not in the log.
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

// writer returns the index of the operation that wrote the value of op, -1 if unknown.
func (c *checker) writer(op *Op) int {
	if v := c.versions[op.Value]; v != nil {
		return v.writer
	}
	return -1
}

// checkAnswers finds refused writes that are in the log, served writes that are not, and reads of values that were
// never written. A refusal asserts that the write had no effect.
func (c *checker) checkAnswers() {
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		if op.Kind != Write || op.Outcome == Unknown {
			continue
		}
		c.rules[AnswersKept].Chances++
		switch done := c.versions[op.Value] != nil; {
		case done && op.Outcome == Refused:
			c.addViolation(AnswersKept, op.ID+" was refused and yet done", i)
		case !done && op.Outcome == Served:
			c.addViolation(AnswersKept, op.ID+" was served and never done", i)
		}
	}
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		if op.Kind == Read && op.Outcome == Served && op.Value != "" && c.versions[op.Value] == nil {
			c.addViolation(AnswersKept, fmt.Sprintf("%s returned %q, which nobody wrote", op.ID, op.Value), i)
		}
	}
}
