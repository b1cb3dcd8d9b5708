package pgwire

import (
	"bytes"
	"encoding/binary"
)

// begin appends the type of a message and four zero bytes for its length, and returns the offset of the length. end then
// writes the length there.
func begin(b []byte, typ byte) ([]byte, int) {
	if typ != msgUntyped {
		b = append(b, typ)
	}
	return append(b, 0, 0, 0, 0), len(b)
}

func end(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

func u16(b []byte, v int) []byte    { return binary.BigEndian.AppendUint16(b, uint16(v)) }
func u32(b []byte, v uint32) []byte { return binary.BigEndian.AppendUint32(b, v) }
func str(b []byte, s string) []byte { return append(append(b, s...), 0) }

// appendEmpty appends a message without a body.
func appendEmpty(b []byte, typ byte) []byte { return append(b, typ, 0, 0, 0, 4) }

// cursor decodes the fields of a body in order. It keeps the first error, after which it returns zero values.
type cursor struct {
	typ byte
	b   []byte
	err error
}

func (c *cursor) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errorf(c.typ, format, args...)
	}
	c.b = nil
}

func (c *cursor) bytes(n int, what string) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || n > len(c.b) {
		c.fail("%s needs %d bytes, but %d are left", what, n, len(c.b))
		return nil
	}
	v := c.b[:n:n]
	c.b = c.b[n:]
	return v
}

func (c *cursor) u8(what string) byte {
	if v := c.bytes(1, what); v != nil {
		return v[0]
	}
	return 0
}

func (c *cursor) u16(what string) int {
	if v := c.bytes(2, what); v != nil {
		return int(binary.BigEndian.Uint16(v))
	}
	return 0
}

func (c *cursor) u32(what string) uint32 {
	if v := c.bytes(4, what); v != nil {
		return binary.BigEndian.Uint32(v)
	}
	return 0
}

func (c *cursor) str(what string) string {
	if c.err != nil {
		return ""
	}
	if i := bytes.IndexByte(c.b, 0); i >= 0 {
		v := string(c.b[:i])
		c.b = c.b[i+1:]
		return v
	}
	c.fail("%s is not terminated by a zero byte", what)
	return ""
}

// count decodes a number of items, each of minSize bytes or more. It fails if they cannot fit into the rest of the body,
// so that a caller does not allocate memory for items that were not sent.
func (c *cursor) count(minSize int, what string) int {
	n := c.u16(what)
	if c.err == nil && n*minSize > len(c.b) {
		c.fail("%d %s do not fit into the remaining %d bytes", n, what, len(c.b))
		return 0
	}
	return n
}

// value decodes a length and that many bytes; a length of -1 is NULL, returned as nil.
func (c *cursor) value(what string) []byte {
	n := int32(c.u32(what))
	if n == -1 {
		return nil
	}
	v := c.bytes(int(n), what)
	if c.err == nil && v == nil {
		v = []byte{}
	}
	return v
}

func (c *cursor) end() error {
	if c.err == nil && len(c.b) > 0 {
		c.fail("%d surplus bytes after the last field", len(c.b))
	}
	return c.err
}

func appendValues(b []byte, values [][]byte) []byte {
	b = u16(b, len(values))
	for _, v := range values {
		if v == nil {
			b = u32(b, 0xffffffff)
			continue
		}
		b = append(u32(b, uint32(len(v))), v...)
	}
	return b
}

// AppendMessage appends a message of the given type and body.
func AppendMessage(b []byte, typ byte, body []byte) []byte {
	b, at := begin(b, typ)
	return end(append(b, body...), at)
}
