package server

import (
	"time"

	"google.golang.org/grpc/codes"

	pb "umberladder/proto/umberladder/v1"
)

// chunkSender sends the chunks of a streamed answer, and fails if the client takes none within the stall time.
// Without that limit gRPC's flow control would block the stream, and with it a node connection, until the client
// disconnects.
type chunkSender struct {
	chunks chan chunk
	result chan error // of the sending goroutine: its first error, or nil at its end
	stall  time.Duration
	timer  *time.Timer
}

// chunk is a part of an answer and a function to call once the transport has accepted it.
type chunk struct {
	part   *pb.ExecuteChunk
	onSent func()
}

func newChunkSender(out pb.Driver_ExecuteStreamServer, stall time.Duration) *chunkSender {
	p := &chunkSender{chunks: make(chan chunk), result: make(chan error, 1), stall: stall, timer: time.NewTimer(stall)}
	go func() { // ends with the call: a blocked send fails when the handler has returned
		for c := range p.chunks {
			err := out.Send(c.part)
			if c.onSent != nil {
				c.onSent()
			}
			if err != nil {
				p.result <- err
				return
			}
		}
		p.result <- nil
	}()
	return p
}

// send passes a chunk to the sending goroutine, which must have sent the one before. It blocks for up to the stall
// time.
func (p *chunkSender) send(part *pb.ExecuteChunk, onSent func()) error {
	p.timer.Reset(p.stall)
	select {
	case p.chunks <- chunk{part, onSent}:
		return nil
	case err := <-p.result:
		p.result <- err // again, for end
		return err
	case <-p.timer.C:
		return p.stallError()
	}
}

func (p *chunkSender) stallError() error {
	return detailed(codes.ResourceExhausted, "the client read nothing for "+p.stall.String()+"; read faster, or request less", info(reasonStalled, nil))
}

// end waits until all chunks are sent, for up to the stall time.
func (p *chunkSender) end() error {
	close(p.chunks)
	p.timer.Reset(p.stall)
	select {
	case err := <-p.result:
		return err
	case <-p.timer.C:
		return p.stallError()
	}
}
