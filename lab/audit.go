package lab

import (
	"fmt"
	"time"

	"umberladder/balance"
	"umberladder/lab/history"
	"umberladder/position"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/standin"
	"umberladder/token"
)

// History returns the operations that clients made and the values in the order in which they entered each slice's
// log.
func (f *Fleet) History(calls []Call) *history.History {
	h := &history.History{}
	for _, g := range f.Groups {
		kept, lost := g.Log()
		for _, c := range kept {
			h.Versions = append(h.Versions, history.Version{Slice: g.Name, Key: c.Key, Value: c.Value})
		}
		for _, c := range lost {
			h.Versions = append(h.Versions, history.Version{Slice: g.Name, Key: c.Key, Value: c.Value, Lost: true})
		}
	}
	statements := map[string][]standin.Statement{}
	for _, s := range f.Trace.Statements() {
		if s.Tag != "" {
			statements[s.Tag] = append(statements[s.Tag], s)
		}
	}
	var begin time.Time
	for i := range calls {
		if c := &calls[i]; begin.IsZero() || c.Sent.Before(begin) {
			begin = c.Sent
		}
	}
	for i := range calls {
		if op, ok := f.operation(&calls[i], begin); ok {
			op.Source = sourceOf(&calls[i], statements[op.ID])
			h.Ops = append(h.Ops, op)
		}
	}
	return h
}

// sourceOf describes who served a call: the node, its role and log position as the driver reported them, the
// position in the token that came with the answer and, for each read that ran, the node's position and lowest
// unfinished transaction.
func sourceOf(c *Call, statements []standin.Statement) string {
	if c.Served == nil {
		return ""
	}
	role := "replica"
	if c.Served.Role == pb.Role_ROLE_PRIMARY {
		role = "primary"
	}
	text := fmt.Sprintf("%s %s by %s at %v", role, c.Served.Node, c.Driver, position.Position{Timeline: c.Served.Timeline, LSN: c.Served.Lsn})
	if tok, err := token.Parse(c.Token); err == nil {
		if at, ok := tok.Position(c.Slice); ok {
			text += fmt.Sprintf(", token %v with transactions below %d", at, at.Transactions.Below)
		}
	}
	for _, s := range statements {
		if s.Ran && s.Kind == standin.KindRead {
			text += fmt.Sprintf(", ran at %s with log up to %v and all transactions below %d over", s.Node, s.Position, s.XIDWatermark)
		}
	}
	return text
}

// operation converts a call to an operation on a key. It returns false for streams and for reads that were not
// served.
func (f *Fleet) operation(c *Call, begin time.Time) (history.Op, bool) {
	op := history.Op{ID: c.Tag, Session: c.Session, Slice: c.Slice, Key: c.Key, Begin: c.Sent.Sub(begin), End: c.Answered.Sub(begin),
		Covered: c.Carries}
	if c.Class.Need == balance.NeedWrite {
		op.Kind, op.Value, op.Outcome = history.Write, c.Tag, history.Unknown
		switch c.Verdict {
		case Served:
			op.Outcome = history.Served
		case Refused:
			op.Outcome = history.Refused
		}
		return op, true
	}
	if c.Verdict != Served || c.Class.Stream || c.Served == nil {
		return op, false
	}
	op.Value, op.Fresh = c.Value, c.Class.Need == balance.NeedFresh
	if c.Class.Need == balance.NeedBounded {
		op.Bound = c.Class.Bound
	}
	op.Excused = c.Served.Role == pb.Role_ROLE_PRIMARY && c.Served.Timeline < f.timelineAt(c.Slice, c.Answered)
	return op, true
}

func (f *Fleet) timelineAt(slice string, when time.Time) uint32 {
	for _, g := range f.Groups {
		if g.Name == slice {
			return g.TimelineAt(when)
		}
	}
	return 0
}

// judgeValues judges the values that clients saw: session guarantees, causal order, ages and linearizability.
func (f *Fleet) judgeValues(calls []Call) *Rule {
	all := &Rule{Name: "what clients saw"}
	for _, r := range history.Check(f.History(calls)) {
		one := ruleOf(r)
		all.Chances += one.Chances
		all.Excused += one.Excused
		all.Broken = append(all.Broken, one.Broken...)
	}
	return all
}

func ruleOf(r *history.Rule) *Rule {
	out := &Rule{Name: r.Name, Chances: r.Chances, Excused: r.Excused}
	for i := range r.Broken {
		out.Break("%s: %s", r.Name, &r.Broken[i])
	}
	return out
}
