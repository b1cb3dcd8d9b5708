package server

import (
	"context"

	"umberladder/driver"
	"umberladder/internal/pending"
	pb "umberladder/proto/umberladder/v1"
)

// call is a client's call that waits for its final answer.
type call struct {
	stmt           statement
	maxResultBytes int             // bytes of an unstreamed result
	ctx            context.Context // for a streamed answer; nil otherwise
	opened         chan opening
	stream         *stream // source of the rows that the handler forwards
	final          chan driver.Answer
}

// forwardFunc forwards the opening of a streamed answer, or one of its rows, to the client. The function that it gets
// is called when the row was sent.
type forwardFunc func(*opening, *pb.Row, func()) error

// forwardRow forwards a row and releases its memory once it was sent.
func (c *call) forwardRow(row *queuedRow, forward forwardFunc) error {
	from := c.stream
	return forward(nil, row.row, func() { from.rowSent(row) })
}

// opening is the start of a streamed answer. All rows of an answer are from one attempt.
type opening struct {
	answer driver.Answer
	stream *stream
}

// callTable maps requests to pending calls. Handlers add calls, the loop answers them.
type callTable struct{ pending.Table[*call] }

// answer delivers the final answer. It does not block, as each call has buffered channels.
func (t *callTable) answer(id driver.RequestID, a driver.Answer) {
	if c := t.Remove(id); c != nil {
		c.final <- a
	}
}

func (t *callTable) open(id driver.RequestID, a driver.Answer, st *stream) {
	if c := t.Get(id); c != nil && st != nil {
		c.opened <- opening{a, st}
		close(st.opened)
	}
}

// failAll answers every pending call as failed, because the loop has stopped.
func (t *callTable) failAll() {
	for _, c := range t.Close() {
		c.final <- driver.Answer{Status: driver.Failed, Cause: driver.CauseStopping}
	}
}
