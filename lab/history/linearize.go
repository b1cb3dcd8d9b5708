package history

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is the input of the model: a fresh read, or a write with its value.
type operation struct {
	write bool
	value string
}

var model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(operation); in.write {
			return true, in.value
		}
		return state.(string) == output.(string), state
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}

// maxCheckTime is the time limit for the check of one key. A check that reaches it has no verdict.
const maxCheckTime = 20 * time.Second

// checkLinearizable checks that the fresh reads and the writes of each key are linearizable. A write with an unknown
// outcome may take effect at any time after its begin, or never. Versions lost by a promotion are ignored.
func (c *checker) checkLinearizable() {
	byKey := map[key][]int{}
	var order []key
	for i := range c.h.Ops {
		op := &c.h.Ops[i]
		v := c.versions[op.Value]
		switch {
		case op.Outcome == Refused, v != nil && v.Lost:
			continue
		case op.Kind == Read && (op.Outcome != Served || !op.Fresh):
			continue
		case op.Kind == Read && op.Excused:
			c.rules[Linearizable].Excused++
			continue
		}
		if op.Kind == Read {
			c.rules[Linearizable].Chances++
		}
		k := key{op.Slice, op.Key}
		if byKey[k] == nil {
			order = append(order, k)
		}
		byKey[k] = append(byKey[k], i)
	}
	for _, k := range order {
		switch c.check(byKey[k]) {
		case porcupine.Unknown:
			c.addViolation(Linearizable, fmt.Sprintf("%s/%s: no verdict on %d operations within %v", k.slice, k.key, len(byKey[k]), maxCheckTime))
		case porcupine.Illegal:
			part := c.shrink(byKey[k])
			c.addViolation(Linearizable, fmt.Sprintf("no order of the writes and fresh reads of %s/%s explains these", k.slice, k.key), part...)
		}
	}
}

// check checks whether operations on one key are linearizable.
func (c *checker) check(ops []int) porcupine.CheckResult {
	all := make([]porcupine.Operation, 0, len(ops))
	for _, i := range ops {
		op := &c.h.Ops[i]
		o := porcupine.Operation{ClientId: i, Call: int64(op.Begin), Return: int64(op.End), Output: op.Value}
		if o.Input = (operation{op.Kind == Write, op.Value}); op.Kind == Read {
			o.Input = operation{}
		}
		if op.Outcome == Unknown {
			o.Return = math.MaxInt64
		}
		all = append(all, o)
	}
	return porcupine.CheckOperationsTimeout(model, all, maxCheckTime)
}

// shrink removes operations, in chunks of decreasing size, as long as the rest is not linearizable. A write is removed
// only if no remaining read returned its value, as a read of a value without a write proves nothing.
func (c *checker) shrink(ops []int) []int {
	if cut := c.shortestPrefix(ops); c.check(cut) == porcupine.Illegal {
		ops = cut
	}
	for size := max(1, len(ops)/2); ; {
		before := len(ops)
		for from := 0; from < len(ops); {
			rest := c.without(ops, from, min(from+size, len(ops)))
			if len(rest) < len(ops) && c.check(rest) == porcupine.Illegal {
				ops = rest
			} else {
				from += size
			}
		}
		if size == 1 && len(ops) == before {
			return ops
		}
		size = max(1, size/2)
	}
}

// shortestPrefix returns the shortest prefix, by begin time, that is not linearizable, with the writes whose values it
// read. It returns ops if none is found.
func (c *checker) shortestPrefix(ops []int) []int {
	sorted := slices.Clone(ops)
	slices.SortFunc(sorted, func(a, b int) int { return int(c.h.Ops[a].Begin - c.h.Ops[b].Begin) })
	n, _ := slices.BinarySearchFunc(seq(len(sorted)), porcupine.Illegal, func(n int, _ porcupine.CheckResult) int {
		if c.check(c.withWriters(sorted[:n+1], ops)) == porcupine.Illegal {
			return 1
		}
		return -1
	})
	return c.withWriters(sorted[:min(n+1, len(sorted))], ops)
}

func seq(n int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = i
	}
	return s
}

// withWriters returns the operations of all that are in some or wrote a value read by some.
func (c *checker) withWriters(some, all []int) []int {
	in := map[int]bool{}
	for _, i := range some {
		in[i] = true
	}
	for _, i := range some {
		if w := c.writer(&c.h.Ops[i]); w >= 0 && slices.Contains(all, w) {
			in[w] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(all), func(i int) bool { return !in[i] })
}

// without returns ops less ops[from:to], but keeps writes whose values a remaining read returned.
func (c *checker) without(ops []int, from, to int) []int {
	needed := map[int]bool{}
	for k, i := range ops {
		if (k < from || k >= to) && c.h.Ops[i].Kind == Read {
			needed[c.writer(&c.h.Ops[i])] = true
		}
	}
	var rest []int
	for k, i := range ops {
		if k < from || k >= to || needed[i] {
			rest = append(rest, i)
		}
	}
	return rest
}
