package server

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"

	pb "umberladder/proto/umberladder/v1"
)

// answerMemory bounds the memory of all answers in flight from nodes to clients. Unstreamed and streamed answers have
// separate budgets, so that slow readers of streams do not use up the memory for short answers.
type answerMemory struct {
	size   int64
	budget *semaphore.Weighted
	leases *semaphore.Weighted // memory for the longest row of each stream, held until the stream ends
}

// splitAnswerMemory divides size bytes: a half for unstreamed answers, a quarter for rows in flight, a quarter for
// leases.
func splitAnswerMemory(size int) (unstreamed, streamed *answerMemory) {
	return newAnswerMemory(size / 2), newAnswerMemory(size / 4)
}

func newAnswerMemory(size int) *answerMemory {
	return &answerMemory{int64(size), semaphore.NewWeighted(int64(size)), semaphore.NewWeighted(int64(size))}
}

const (
	memoryStep     = 4 << 10   // bytes: increment of an answer's reservation; smaller answers reserve none
	maxQueuedBytes = 256 << 10 // bytes of rows queued for a client that reads slowly
	maxQueuedRows  = 64        // rows queued, likewise
	longRowBytes   = 64 << 10  // bytes: what gRPC's transport queues for a stream before it blocks the sender
)

// grow reserves memory for an unstreamed answer of the current size and reports whether it was available. It does not
// wait: answers that each hold a part and wait for more would deadlock.
func (r *reply) grow() bool {
	if r.memory == nil || int64(r.size) <= r.reserved+memoryStep {
		return true
	}
	step := max(memoryStep, int64(r.size)-r.reserved)
	if !r.memory.budget.TryAcquire(step) {
		return false
	}
	r.reserved += step
	return true
}

// releaseMemory releases the memory of an answer that is complete or dropped.
func (r *reply) releaseMemory() {
	if r.reserved > 0 {
		r.memory.budget.Release(r.reserved)
		r.reserved = 0
	}
}

// stream forwards rows as they arrive, once the loop has permitted it. Memory for a row and its copies is reserved, for
// a long row before it is read, and released when the client's transport has accepted the row. Readers wait for memory
// in order and reserve nothing for a row until all its memory is available, so that every stream makes progress as long
// as clients read or are disconnected.
type stream struct {
	reply
	ctx         context.Context // ends with the client's call
	opened      chan struct{}   // closed when the loop permits the answer
	rowsCh      chan queuedRow
	queueBudget *semaphore.Weighted

	full chan struct{} // closed if no lease is available

	rowReserved int64 // bytes reserved for the row being read; owned by the reader

	mu          sync.Mutex
	outstanding int64 // bytes reserved for rows that are not yet sent
	leased      int64 // bytes leased, for the longest row so far; 0 if none is long
	ended       bool  // the call is over and its memory released
}

// queuedRow is a row and the memory that it holds: bytes of the stream's queue, and bytes reserved in the answer
// memory.
type queuedRow struct {
	row              *pb.Row
	queued, reserved int64
}

func newStream(ctx context.Context, memory *answerMemory) *stream {
	s := &stream{ctx: ctx, opened: make(chan struct{}), full: make(chan struct{}), rowsCh: make(chan queuedRow, maxQueuedRows), queueBudget: semaphore.NewWeighted(maxQueuedBytes)}
	s.memory = memory
	context.AfterFunc(ctx, s.endCall)
	return s
}

// rowCopies is the number of copies of a row between node and client: as read, as a message, and as sent.
const rowCopies = 3

// reserve reserves memory for a message before it is read. It blocks until memory is available; an error means that
// the call is over.
func (s *stream) reserve(bytes int64) error {
	if err := s.ctx.Err(); err != nil {
		return err // further messages of an ended call are discarded
	}
	if s.rowReserved > 0 {
		return nil // still reserved: the last message was not a row
	}
	if bytes > longRowBytes && !s.extendLease(min(bytes, s.memory.size)) {
		close(s.full)
		<-s.ctx.Done()
		return s.ctx.Err()
	}
	want := min(rowCopies*bytes, s.memory.size)
	if err := s.memory.budget.Acquire(s.ctx, want); err != nil {
		return err
	}
	if !s.addReserved(want) {
		return s.ctx.Err()
	}
	s.rowReserved = want
	return nil
}

// extendLease enlarges the stream's lease and reports whether memory was available. gRPC's transport queues a message
// of any length before it blocks a sender, and does not report when it has sent it.
func (s *stream) extendLease(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || bytes <= s.leased {
		return true // reserve detects an ended call
	}
	if !s.memory.leases.TryAcquire(bytes - s.leased) {
		return false
	}
	s.leased = bytes
	return true
}

func (s *stream) row(values [][]byte) {
	size := rowSize(values)
	if s.reserve(size) != nil {
		return // the loop closes the connection when notified that the call ended
	}
	a := queuedRow{queued: min(size, maxQueuedBytes), reserved: s.rowReserved}
	s.rowReserved = 0
	if s.queueBudget.Acquire(s.ctx, a.queued) != nil {
		return
	}
	a.row = rowOf(s.cols, values)
	select {
	case s.rowsCh <- a:
	case <-s.ctx.Done():
	}
}

// addReserved adds to the stream's reservation, or releases the bytes and returns false if the call has ended.
func (s *stream) addReserved(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		s.memory.budget.Release(bytes)
		return false
	}
	s.outstanding += bytes
	return true
}

// rowSent releases the memory of a row that was sent to the client.
func (s *stream) rowSent(a *queuedRow) {
	s.queueBudget.Release(a.queued)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended && a.reserved > 0 {
		s.outstanding -= a.reserved
		s.memory.budget.Release(a.reserved)
	}
}

// endCall releases the memory of all rows that will not be sent.
func (s *stream) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.memory.budget.Release(s.outstanding)
	s.memory.leases.Release(s.leased)
	s.outstanding, s.leased = 0, 0
}

// rowSize estimates the memory of a row, in bytes.
func rowSize(values [][]byte) int64 {
	n := 48
	for _, v := range values {
		n += len(v) + 64
	}
	return int64(n)
}
