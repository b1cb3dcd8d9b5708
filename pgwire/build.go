package pgwire

import "encoding/binary"

// begin appends a message's type and room for its length; end fills the length in.
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

// empty appends a message without a body.
func empty(b []byte, typ byte) []byte { return append(b, typ, 0, 0, 0, 4) }

// cursor reads the parts of a body; the first that is missing is kept as the error.
type cursor struct {
	typ byte
	b   []byte
	err error
}

func (c *cursor) fail(format string, args ...any) {
	if c.err == nil {
		c.err = bad(c.typ, format, args...)
	}
	c.b = nil
}

func (c *cursor) bytes(n int, what string) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || n > len(c.b) {
		c.fail("%s wants %d bytes, %d are left", what, n, len(c.b))
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
	for i, ch := range c.b {
		if ch == 0 {
			v := string(c.b[:i])
			c.b = c.b[i+1:]
			return v
		}
	}
	c.fail("%s has no end", what)
	return ""
}

// count reads a number of items of at least each bytes, so that a number alone reserves no memory.
func (c *cursor) count(each int, what string) int {
	n := c.u16(what)
	if c.err == nil && n*each > len(c.b) {
		c.fail("%d of %s do not fit into %d bytes", n, what, len(c.b))
		return 0
	}
	return n
}

// value reads a length and that many bytes; a length of -1 is NULL.
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
		c.fail("%d bytes too many", len(c.b))
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

// AppendMessage appends a whole message of a body that is at hand.
func AppendMessage(b []byte, typ byte, body []byte) []byte {
	b, at := begin(b, typ)
	return end(append(b, body...), at)
}
