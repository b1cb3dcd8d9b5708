package history

import (
	"fmt"
	"maps"
)

// source is how a version entered a client's causal past.
type source uint8

const (
	ownWrite   source = iota // written by the client
	ownRead                  // read by the client
	viaWriter                // in the causal past of the writer of a version that the client read
	viaToken                 // through a token passed on by another session
	numSources int    = iota
)

// entry is the oldest version of a key that a client may read from now on, and the operations from which that follows.
type entry struct {
	v      *version
	source source
	chain  *step
}

// step is an operation in a chain, linked to the operation before it. len is the length of the chain up to the step.
type step struct {
	op   int
	prev *step
	len  int
}

func (s *step) extend(op int) *step {
	if s != nil && s.op == op {
		return s
	}
	n := 1
	if s != nil {
		n = s.len + 1
	}
	return &step{op, s, n}
}

func (s *step) list() (ops []int) {
	for ; s != nil; s = s.prev {
		ops = append(ops, s.op)
	}
	return ops
}

// past is a client's causal past: the newest version seen of each key. It is immutable once assigned to an operation.
type past struct{ seen map[key]entry }

var emptyPast = &past{}

func (p *past) at(k key) (entry, bool) {
	e, ok := p.seen[k]
	return e, ok
}

// merge returns the past merged with entries, each passed through convert, which may reject it. An entry replaces the
// one of the same key if its version is newer, or the same with a shorter chain.
func (p *past) merge(entries map[key]entry, convert func(key, entry) (entry, bool)) *past {
	var out *past
	for k, e := range entries {
		known, ok := p.seen[k]
		if ok && (known.v.order > e.v.order || known.v.order == e.v.order && known.chain.len <= e.chain.len) {
			continue
		}
		if e, ok = convert(k, e); !ok || known.v == e.v && known.chain.len <= e.chain.len {
			continue
		}
		if out == nil {
			if out = (&past{maps.Clone(p.seen)}); out.seen == nil {
				out.seen = map[key]entry{}
			}
		}
		out.seen[k] = e
	}
	if out == nil {
		return p
	}
	return out
}

func unchanged(_ key, e entry) (entry, bool) { return e, true }

// States of visit.
const (
	unvisited uint8 = iota
	visiting
	visited
)

// checkSessions checks that each session reads the versions covered by its tokens, or newer ones.
func (c *checker) checkSessions() {
	for i := range c.h.Ops {
		c.visit(i)
	}
	for i := range c.h.Ops {
		c.checkOp(i)
	}
}

// visit computes the causal past before and after an operation. Its predecessors ended before it began, or are the
// write whose value it read, so the recursion ends; in an invalid history, a cycle ends at the operation being
// visited.
func (c *checker) visit(i int) {
	if c.state[i] != unvisited {
		return
	}
	c.state[i] = visiting
	op := &c.h.Ops[i]
	before := emptyPast
	for _, id := range op.Covered {
		j, ok := c.byID[id]
		if !ok {
			continue
		}
		c.visit(j)
		if c.after[j] == nil {
			continue
		}
		if from := c.h.Ops[j].Session; from == op.Session {
			before = before.merge(c.after[j].seen, unchanged)
		} else {
			before = before.merge(c.after[j].seen, func(_ key, e entry) (entry, bool) { return entry{e.v, viaToken, e.chain.extend(j)}, true })
		}
	}
	c.before[i] = before
	c.after[i] = c.pastAfter(i, before)
	c.state[i] = visited
}

// pastAfter returns the causal past after an operation: p, the version that it wrote or read, and the causal past of
// that version's writer in the same slice.
func (c *checker) pastAfter(i int, p *past) *past {
	op := &c.h.Ops[i]
	v := c.versions[op.Value]
	if op.Outcome != Served || op.Value == "" || v == nil || v.Lost {
		return p
	}
	at, source := key{v.Slice, v.Key}, ownWrite
	if op.Kind == Read {
		source = ownRead
		p = c.mergeWriterPast(i, v, p)
	}
	return p.merge(map[key]entry{at: {v, source, (*step)(nil).extend(i)}}, unchanged)
}

// mergeWriterPast returns p merged with the causal past of the writer of v, which operation i read.
func (c *checker) mergeWriterPast(i int, v *version, p *past) *past {
	if v.writer < 0 {
		return p
	}
	c.visit(v.writer)
	past := c.before[v.writer]
	if past == nil {
		return p
	}
	return p.merge(past.seen, func(k key, e entry) (entry, bool) {
		return entry{e.v, viaWriter, e.chain.extend(v.writer).extend(i)}, k.slice == v.Slice && k.key != v.Key
	})
}

// checkOp compares the version that an operation read or wrote with the version of the key in its causal past.
func (c *checker) checkOp(i int) {
	op := &c.h.Ops[i]
	if op.Outcome != Served {
		return
	}
	required, ok := c.before[i].at(key{op.Slice, op.Key})
	if !ok {
		return
	}
	rule := [numSources]int{ownWrite: ReadYourWrites, ownRead: MonotonicReads, viaWriter: WritesFollowReads, viaToken: CausalOrder}[required.source]
	if op.Kind == Write {
		if rule = WritesFollowReads; required.source == ownWrite {
			rule = MonotonicWrites
		}
	}
	got, known := c.orderOf(op)
	if op.Kind == Write && !known {
		return // lost by a promotion
	}
	c.rules[rule].Chances++
	if !known || got >= required.v.order {
		return
	}
	text := fmt.Sprintf("%s read %q of %s/%s, and had seen %q", op.Session, op.Value, op.Slice, op.Key, required.v.Value)
	if op.Kind == Write {
		text = fmt.Sprintf("%s's write %q of %s/%s came before %q, which it had seen", op.Session, op.Value, op.Slice, op.Key, required.v.Value)
	}
	ops := append(required.chain.list(), i, required.v.writer)
	if op.Kind == Read {
		ops = append(ops, c.writer(op))
	}
	c.addViolation(rule, text, ops...)
}
