package pgwire

import (
	"encoding/binary"
	"errors"
	"io"
	"sync"
)

// DefaultMaxMessage is the longest message that a Reader takes unless told otherwise, in bytes.
const DefaultMaxMessage = 16 << 20

// maxStartup is the longest startup packet, as in PostgreSQL itself.
const maxStartup = 10000

// bufferSize is what a Reader begins with, in bytes.
const bufferSize = 4096

// Buffers are what idle Readers share: one that waits for its peer's next message holds none. The zero value is ready
// for use, by many goroutines.
type Buffers struct{ pool sync.Pool }

// Get is a buffer that may hold anything.
func (b *Buffers) Get() []byte {
	if p, ok := b.pool.Get().(*[bufferSize]byte); ok {
		return p[:]
	}
	return make([]byte, bufferSize)
}

// Put gives back what Get gave. Buffers of another size are left to the garbage collector.
func (b *Buffers) Put(buf []byte) {
	if cap(buf) == bufferSize {
		b.pool.Put((*[bufferSize]byte)(buf[:bufferSize]))
	}
}

// PatientReader is a source that takes a buffer only once there is something to read. What it returns with n bytes in
// it is the caller's; without any it keeps none.
type PatientReader interface {
	io.Reader
	ReadPatiently(*Buffers) (buf []byte, n int, err error)
}

// Reader yields the messages of one direction of a connection. It is not safe for concurrent use.
type Reader struct {
	src     io.Reader
	patient PatientReader // src, if it is one
	shared  *Buffers
	buf     []byte // nil while a patient source waits
	r, w    int    // unread bytes are buf[r:w]
	max     int
	long    func(n int) error
}

// BeforeLong has f called before a body longer than a first buffer is read, with its length in bytes. An error of it
// ends the reading.
func (r *Reader) BeforeLong(f func(n int) error) { r.long = f }

// NewReader reads from src and refuses messages whose body is longer than maxMessage bytes
// (DefaultMaxMessage if it is not positive).
func NewReader(src io.Reader, maxMessage int) *Reader {
	if maxMessage <= 0 {
		maxMessage = DefaultMaxMessage
	}
	return &Reader{src: src, buf: make([]byte, bufferSize), max: maxMessage}
}

// NewPatientReader is NewReader for a source of many: while it waits for a message, its buffer is others'.
func NewPatientReader(src PatientReader, shared *Buffers, maxMessage int) *Reader {
	r := NewReader(nil, maxMessage)
	r.src, r.patient, r.shared, r.buf = src, src, shared, nil
	return r
}

// Buffered is how many bytes have been read from the source and not yet handed out.
func (r *Reader) Buffered() int { return r.w - r.r }

// Next reads one typed message. The body is valid until the next call. io.EOF means that the peer closed
// between messages, io.ErrUnexpectedEOF within one; a *ProtocolError names a length that cannot be.
func (r *Reader) Next() (typ byte, body []byte, err error) {
	head, err := r.take(5)
	if err != nil {
		return 0, nil, err
	}
	typ = head[0]
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 {
		return 0, nil, bad(typ, "length %d is less than its own 4 bytes", n)
	}
	if uint64(n)-4 > uint64(r.max) {
		return 0, nil, bad(typ, "length %d is over the limit of %d bytes", n, r.max)
	}
	if n > bufferSize && r.long != nil {
		if err := r.long(int(n) - 4); err != nil {
			return 0, nil, err
		}
	}
	body, err = r.take(int(n) - 4)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return typ, body, err
}

// NextStartup reads one untyped packet, as a frontend sends before anything else.
func (r *Reader) NextStartup() ([]byte, error) {
	head, err := r.take(4)
	if err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head)
	if n < 8 || n > maxStartup {
		return nil, bad(msgUntyped, "length %d is not within 8 and %d", n, maxStartup)
	}
	body, err := r.take(int(n) - 4)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// NextByte reads the single byte that answers a TLS request.
func (r *Reader) NextByte() (byte, error) {
	b, err := r.take(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// Wait returns once there is something to read, or why there will not be.
func (r *Reader) Wait() error {
	for r.w == r.r {
		if err := r.fill(1); err != nil {
			return err
		}
	}
	return nil
}

// Whole tells whether the next message is at hand without reading.
func (r *Reader) Whole() bool {
	return r.w-r.r >= 5 && uint64(r.w-r.r) >= 1+uint64(binary.BigEndian.Uint32(r.buf[r.r+1:]))
}

// take returns the next n bytes. It grows its buffer only as far as bytes really come in, so that a length
// alone costs a peer's victim nothing.
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
	if r.patient != nil && r.r == r.w {
		return r.wait()
	}
	if r.r > 0 && r.r == r.w {
		r.r, r.w = 0, 0
		if len(r.buf) > 1<<16 && n < 1<<12 {
			r.buf = make([]byte, bufferSize) // one long message must not keep its memory for good
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

// wait gives the buffer back, of which nothing is unread, and takes one again when something has come.
func (r *Reader) wait() (err error) {
	if r.buf != nil {
		r.shared.Put(r.buf)
	}
	r.r = 0
	if r.buf, r.w, err = r.patient.ReadPatiently(r.shared); r.w > 0 {
		return nil
	}
	if r.buf = nil; err == nil {
		err = io.ErrNoProgress
	}
	return err
}
