package server

import (
	"context"

	"umberladder/driver"
	"umberladder/internal/waiting"
	pb "umberladder/proto/umberladder/v1"
)

// call is one client's call while it has no final answer.
type call struct {
	st     statement
	most   int             // bytes of a whole result
	ctx    context.Context // of a call that wants its rows as they come; nil for one that wants them whole
	opened chan opening
	from   *stream // whose rows the handler passes on
	final  chan driver.Answer
}

// passing hands on how a streamed answer begins, or a row of it.
type passing func(*opening, *pb.Row, func()) error

// take passes a row on. What it takes up is given back once it was sent.
func (c *call) take(row *aheadRow, pass passing) error {
	from := c.from
	return pass(nil, row.row, func() { from.passed(row) })
}

// opening is how a streamed answer begins. Its rows are those of one attempt.
type opening struct {
	answer driver.Answer
	stream *stream
}

// callTable finds calls by their request. Handlers add, the loop answers.
type callTable struct{ waiting.Table[*call] }

// answer hands over the final answer; the channels hold one each, so it never blocks.
func (t *callTable) answer(id driver.RequestID, a driver.Answer) {
	if c := t.Drop(id); c != nil {
		c.final <- a
	}
}

func (t *callTable) open(id driver.RequestID, a driver.Answer, st *stream) {
	if c := t.Get(id); c != nil && st != nil {
		c.opened <- opening{a, st}
		close(st.opened)
	}
}

// failAll ends every call without a promise: the loop is gone.
func (t *callTable) failAll() {
	for _, c := range t.End() {
		c.final <- driver.Answer{Status: driver.Failed, Cause: driver.CauseStopping}
	}
}
