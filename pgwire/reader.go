package pgwire

import (
	"encoding/binary"
	"errors"
	"io"
	"sync"
)

// DefaultMaxMessage is the default limit of the body of a message, in bytes.
const DefaultMaxMessage = 16 << 20

// maxStartup is the limit of a startup packet, in bytes; the same as PostgreSQL's.
const maxStartup = 10000

// bufferSize is the initial size of a Reader's buffer, in bytes.
const bufferSize = 4096

// Sizes of the buffers for long messages, in bytes, and how many unused ones are kept.
const (
	minLongBuffer  = 32 << 10 // for a shorter message, a buffer of its length is allocated
	longBufferSize = 136 << 10
	maxLongBuffers = 4
)

// Buffers is a pool of read buffers of 4096 bytes, and of some for long messages. Readers share it so that a Reader that
// waits for its peer's next message holds no buffer. The zero value is ready to use. It is safe for concurrent use.
type Buffers struct {
	pool sync.Pool

	mu   sync.Mutex
	long [][]byte
}

// getLong returns a buffer for a message of n bytes with arbitrary content.
func (b *Buffers) getLong(n int) []byte {
	if n < minLongBuffer || n > longBufferSize {
		return make([]byte, n)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.long) - 1
	if last < 0 {
		return make([]byte, n, longBufferSize)
	}
	buf := b.long[last]
	b.long = b.long[:last]
	return buf[:n]
}

// Get returns a buffer of 4096 bytes with arbitrary content. It does not block.
func (b *Buffers) Get() []byte {
	if p, ok := b.pool.Get().(*[bufferSize]byte); ok {
		return p[:]
	}
	return make([]byte, bufferSize)
}

// Put returns a buffer to the pool. A buffer of another capacity is left to the garbage collector.
func (b *Buffers) Put(buf []byte) {
	switch cap(buf) {
	case bufferSize:
		b.pool.Put((*[bufferSize]byte)(buf[:bufferSize]))
	case longBufferSize:
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.long) < maxLongBuffers {
			b.long = append(b.long, buf)
		}
	}
}

// PooledReader is a source that takes a buffer from a pool only once it has data to read. Its method blocks until then
// and returns the buffer, with n bytes of data, to the caller, which owns it. If n is 0, the caller gets no buffer.
type PooledReader interface {
	io.Reader
	ReadPooled(*Buffers) (buf []byte, n int, err error)
}

// Reader reads the messages of one direction of a connection. It is not safe for concurrent use.
type Reader struct {
	src        io.Reader
	pooled     PooledReader      // src, if it is one
	buffers    *Buffers          // for pooled
	buf        []byte            // nil while pooled waits for data
	r, w       int               // unread bytes are buf[r:w]
	max        int               // largest body, in bytes
	beforeLong func(n int) error // nil for none
}

// OnLongMessage sets a function that Next calls with the length of a body, in bytes, before it reads a body of 4093 bytes
// or more. If f returns an error, Next returns it without reading the body; otherwise it takes memory for all of it.
func (r *Reader) OnLongMessage(f func(n int) error) { r.beforeLong = f }

// NewReader returns a Reader of src that refuses messages whose body is longer than maxMessage bytes, or longer than
// DefaultMaxMessage if maxMessage is not positive.
func NewReader(src io.Reader, maxMessage int) *Reader {
	if maxMessage <= 0 {
		maxMessage = DefaultMaxMessage
	}
	return &Reader{src: src, buf: make([]byte, bufferSize), max: maxMessage}
}

// NewPooledReader returns a Reader with the limit of NewReader, which holds a buffer only from the arrival of data until
// all of it has been read, so that idle connections need little memory.
func NewPooledReader(src PooledReader, buffers *Buffers, maxMessage int) *Reader {
	r := NewReader(nil, maxMessage)
	r.src, r.pooled, r.buffers, r.buf = src, src, buffers, nil
	return r
}

// Buffered returns the number of bytes that have been read from the source but not yet returned.
func (r *Reader) Buffered() int { return r.w - r.r }

// Next returns the type and body of the next message. It blocks until the whole message has arrived. The body is valid
// until the next call of a method that reads. Next returns io.EOF if the peer closed the connection between messages,
// io.ErrUnexpectedEOF if within one, a *ProtocolError if the length is below 4 bytes or over the limit, and otherwise
// the error of the source or of the function set for long bodies.
func (r *Reader) Next() (typ byte, body []byte, err error) {
	head, err := r.take(5)
	if err != nil {
		return 0, nil, err
	}
	typ = head[0]
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 {
		return 0, nil, errorf(typ, "length %d is less than the 4 bytes of the length itself", n)
	}
	if uint64(n)-4 > uint64(r.max) {
		return 0, nil, errorf(typ, "length %d is over the limit of %d bytes", n, r.max)
	}
	if n > bufferSize && r.beforeLong != nil {
		if err := r.beforeLong(int(n) - 4); err != nil {
			return 0, nil, err
		}
		r.reserve(int(n) - 4)
	}
	body, err = r.take(int(n) - 4)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return typ, body, err
}

// NextStartup returns the body of the next untyped packet, which a frontend sends first. It blocks and returns errors as
// Next does; the packet, its length included, must have 8 to 10000 bytes.
func (r *Reader) NextStartup() ([]byte, error) {
	head, err := r.take(4)
	if err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head)
	if n < 8 || n > maxStartup {
		return nil, errorf(msgUntyped, "length %d is not between 8 and %d bytes", n, maxStartup)
	}
	body, err := r.take(int(n) - 4)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// NextByte returns the next byte, such as the answer to a TLS request. It blocks until the byte has arrived.
func (r *Reader) NextByte() (byte, error) {
	b, err := r.take(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// Wait blocks until at least one byte is buffered. It returns the error of the source if none arrives, io.EOF if the peer
// closed the connection.
func (r *Reader) Wait() error {
	for r.w == r.r {
		if err := r.fill(1); err != nil {
			return err
		}
	}
	return nil
}

// MessageBuffered reports whether the next message is buffered as a whole, so that Next does not block.
func (r *Reader) MessageBuffered() bool {
	return r.w-r.r >= 5 && uint64(r.w-r.r) >= 1+uint64(binary.BigEndian.Uint32(r.buf[r.r+1:]))
}

// Discard skips the next n bytes, such as the body of a message for which Next returned the error of the function for
// long messages. It blocks until they have arrived, and needs no more memory than a buffer.
func (r *Reader) Discard(n int) error {
	for n = r.DiscardBuffered(n); n > 0; n = r.DiscardBuffered(n) {
		if err := r.fill(1); err != nil {
			return err
		}
	}
	return nil
}

// DiscardBuffered skips the next n bytes as far as they are buffered, gives up their memory as Shrink does, and returns
// how many of them are still to be skipped. It does not block.
func (r *Reader) DiscardBuffered(n int) (left int) {
	skipped := min(n, r.w-r.r)
	r.r += skipped
	r.Shrink()
	return n - skipped
}

// Shrink gives up the memory of a long message that was read, if what is buffered behind it fits into less. The body
// of the last message is no longer valid.
func (r *Reader) Shrink() {
	switch left := r.w - r.r; {
	case r.pooled != nil && left == 0 && r.buf != nil:
		r.buffers.Put(r.buf)
		r.buf, r.r, r.w = nil, 0, 0
	case len(r.buf) > bufferSize && left <= bufferSize:
		short := make([]byte, bufferSize)
		copy(short, r.buf[r.r:r.w])
		if r.pooled != nil {
			r.buffers.Put(r.buf)
		}
		r.buf, r.r, r.w = short, 0, left
	}
}

// reserve makes the buffer long enough for the next n bytes, whose length is known to be allowed.
func (r *Reader) reserve(n int) {
	if r.r+n <= len(r.buf) {
		return
	}
	var long []byte
	if r.pooled != nil {
		long = r.buffers.getLong(n)
	} else {
		long = make([]byte, n)
	}
	r.r, r.w = 0, copy(long, r.buf[r.r:r.w])
	r.buf = long
}

// take returns the next n bytes. It grows the buffer only as bytes arrive, so that a peer cannot cause an allocation by
// sending a length alone.
func (r *Reader) take(n int) ([]byte, error) {
	for r.w-r.r < n {
		if err := r.fill(n); err != nil {
			if err == io.EOF && r.w > r.r {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	b := r.buf[r.r : r.r+n : r.r+n]
	r.r += n
	return b, nil
}

func (r *Reader) fill(n int) error {
	if r.pooled != nil && r.r == r.w {
		return r.fillPooled()
	}
	if r.r > 0 && r.r == r.w {
		r.r, r.w = 0, 0
		if len(r.buf) > 1<<16 && n < 1<<12 {
			r.buf = make([]byte, bufferSize) // do not keep the memory of one long message
		}
	}
	if len(r.buf)-r.r < n && r.r > 0 {
		copy(r.buf, r.buf[r.r:r.w])
		r.r, r.w = 0, r.w-r.r
	}
	if r.w == len(r.buf) {
		grown := make([]byte, min(2*len(r.buf), max(n, len(r.buf)+1)))
		copy(grown, r.buf[:r.w])
		r.buf = grown
	}
	m, err := r.src.Read(r.buf[r.w:])
	r.w += m
	if m > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// fillPooled returns the buffer, which has no unread bytes, to the pool and takes another one once data has arrived.
func (r *Reader) fillPooled() (err error) {
	if r.buf != nil {
		r.buffers.Put(r.buf)
	}
	r.r = 0
	if r.buf, r.w, err = r.pooled.ReadPooled(r.buffers); r.w > 0 {
		return nil
	}
	if r.buf = nil; err == nil {
		err = io.ErrNoProgress
	}
	return err
}
