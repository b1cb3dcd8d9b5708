package pgwire

import "sort"

// AppendStartup appends the packet that opens a session. Parameters go in the order of their names.
func AppendStartup(b []byte, params map[string]string) []byte {
	b, at := begin(b, msgUntyped)
	b = u32(b, ProtocolVersion)
	names := make([]string, 0, len(params))
	for name := range params {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		b = str(str(b, name), params[name])
	}
	return end(append(b, 0), at)
}

// AppendCancel appends the packet that asks, on a connection of its own, to end what a session runs.
func AppendCancel(b []byte, pid, key uint32) []byte {
	b, at := begin(b, msgUntyped)
	return end(u32(u32(u32(b, cancelCode), pid), key), at)
}

// AppendSSLRequest appends the packet that asks whether the backend speaks TLS.
func AppendSSLRequest(b []byte) []byte {
	b, at := begin(b, msgUntyped)
	return end(u32(b, sslCode), at)
}

// AppendPassword appends a password, or an answer of a SASL exchange after the first.
func AppendPassword(b []byte, password string) []byte {
	b, at := begin(b, MsgPassword)
	return end(str(b, password), at)
}

// AppendSASLInitial appends the first answer of a SASL exchange.
func AppendSASLInitial(b []byte, mechanism string, data []byte) []byte {
	b, at := begin(b, MsgPassword)
	b = u32(str(b, mechanism), uint32(len(data)))
	return end(append(b, data...), at)
}

// AppendSASLResponse appends a later answer of a SASL exchange.
func AppendSASLResponse(b []byte, data []byte) []byte {
	b, at := begin(b, MsgPassword)
	return end(append(b, data...), at)
}

// AppendQuery appends a simple query.
func AppendQuery(b []byte, sql string) []byte {
	b, at := begin(b, MsgQuery)
	return end(str(b, sql), at)
}

// AppendParse appends the preparation of a statement; types may be empty or hold 0 for "to be inferred".
func AppendParse(b []byte, name, sql string, types []uint32) []byte {
	b, at := begin(b, MsgParse)
	b = u16(str(str(b, name), sql), len(types))
	for _, t := range types {
		b = u32(b, t)
	}
	return end(b, at)
}

// AppendBind appends a binding of values in text form, results wanted in text form; nil is NULL.
func AppendBind(b []byte, portal, statement string, values [][]byte) []byte {
	b, at := begin(b, MsgBind)
	b = u16(str(str(b, portal), statement), 0)
	return end(u16(appendValues(b, values), 0), at)
}

// AppendDescribe appends a question about a statement ('S') or a portal ('P').
func AppendDescribe(b []byte, kind byte, name string) []byte {
	b, at := begin(b, MsgDescribe)
	return end(str(append(b, kind), name), at)
}

// AppendClose appends the closing of a statement ('S') or a portal ('P').
func AppendClose(b []byte, kind byte, name string) []byte {
	b, at := begin(b, MsgClose)
	return end(str(append(b, kind), name), at)
}

// AppendExecute appends the run of a portal; maxRows 0 means all.
func AppendExecute(b []byte, portal string, maxRows uint32) []byte {
	b, at := begin(b, MsgExecute)
	return end(u32(str(b, portal), maxRows), at)
}

// AppendSync appends the end of a pipelined group; the backend answers it with ReadyForQuery.
func AppendSync(b []byte) []byte { return empty(b, MsgSync) }

// AppendFlush appends the wish for answers so far.
func AppendFlush(b []byte) []byte { return empty(b, MsgFlush) }

// AppendTerminate appends the end of a session.
func AppendTerminate(b []byte) []byte { return empty(b, MsgTerminate) }

// AppendCopyFail appends the refusal to deliver COPY data.
func AppendCopyFail(b []byte, why string) []byte {
	b, at := begin(b, MsgCopyFail)
	return end(str(b, why), at)
}

// Startup is an untyped packet. Exactly one of its fields is set.
type Startup struct {
	Params map[string]string // a session with protocol 3.0
	Cancel *Cancel
	TLS    bool // a request for TLS or GSSAPI encryption; the answer is one byte, 'N' to decline
}

// Cancel names the session whose work is to end.
type Cancel struct{ PID, Key uint32 }

// ParseStartup parses an untyped packet's body.
func ParseStartup(body []byte) (Startup, error) {
	c := cursor{b: body}
	switch code := c.u32("the code"); code {
	case sslCode, gssCode:
		return Startup{TLS: true}, c.end()
	case cancelCode:
		k := &Cancel{PID: c.u32("the process"), Key: c.u32("the key")}
		return Startup{Cancel: k}, c.end()
	default:
		if c.err == nil && code>>16 != 3 {
			c.fail("protocol %d.%d is not spoken here, 3.0 is", code>>16, code&0xffff)
		}
	}
	params := map[string]string{}
	for c.err == nil {
		name := c.str("a parameter's name")
		if name == "" {
			break
		}
		params[name] = c.str("a parameter's value")
	}
	return Startup{Params: params}, c.end()
}

// ParseMsg is the preparation of a statement.
type ParseMsg struct {
	Name, SQL string
	Types     []uint32
}

// ParseParse parses the body of a Parse message.
func ParseParse(body []byte) (ParseMsg, error) {
	c := cursor{typ: MsgParse, b: body}
	m := ParseMsg{Name: c.str("the name"), SQL: c.str("the statement")}
	for range c.count(4, "types") {
		m.Types = append(m.Types, c.u32("a type"))
	}
	return m, c.end()
}

// BindMsg binds values to a statement.
type BindMsg struct {
	Portal, Statement string
	Formats           []int
	Values            [][]byte // nil is NULL; they share memory with the body
	ResultFormats     []int
}

// ParseBind parses the body of a Bind message.
func ParseBind(body []byte) (BindMsg, error) {
	c := cursor{typ: MsgBind, b: body}
	m := BindMsg{Portal: c.str("the portal"), Statement: c.str("the statement")}
	m.Formats = c.formats("formats")
	for range c.count(4, "values") {
		m.Values = append(m.Values, c.value("a value"))
	}
	m.ResultFormats = c.formats("result formats")
	return m, c.end()
}

func (c *cursor) formats(what string) (formats []int) {
	for range c.count(2, what) {
		f := c.u16(what)
		if f > 1 {
			c.fail("%s: %d is neither text nor binary", what, f)
		}
		formats = append(formats, f)
	}
	return formats
}

// TargetMsg is a Describe or Close message: a statement ('S') or portal ('P') by name.
type TargetMsg struct {
	Kind byte
	Name string
}

// ParseTarget parses the body of a Describe or Close message of the type given.
func ParseTarget(typ byte, body []byte) (TargetMsg, error) {
	c := cursor{typ: typ, b: body}
	m := TargetMsg{Kind: c.u8("the kind")}
	if c.err == nil && m.Kind != 'S' && m.Kind != 'P' {
		c.fail("kind %q is neither statement nor portal", m.Kind)
	}
	m.Name = c.str("the name")
	return m, c.end()
}

// ExecuteMsg runs a portal.
type ExecuteMsg struct {
	Portal  string
	MaxRows uint32
}

// ParseExecute parses the body of an Execute message.
func ParseExecute(body []byte) (ExecuteMsg, error) {
	c := cursor{typ: MsgExecute, b: body}
	m := ExecuteMsg{Portal: c.str("the portal"), MaxRows: c.u32("the row limit")}
	return m, c.end()
}

// ParseString parses a body that is one string: Query, Password, CopyFail, and a backend's CommandComplete.
func ParseString(typ byte, body []byte) (string, error) {
	c := cursor{typ: typ, b: body}
	s := c.str("the text")
	return s, c.end()
}

// SASLInitial is the first answer of a SASL exchange.
type SASLInitial struct {
	Mechanism string
	Data      []byte // nil if none came
}

// ParseSASLInitial parses the body of the first answer of a SASL exchange.
func ParseSASLInitial(body []byte) (SASLInitial, error) {
	c := cursor{typ: MsgPassword, b: body}
	m := SASLInitial{Mechanism: c.str("the mechanism"), Data: c.value("the data")}
	return m, c.end()
}
