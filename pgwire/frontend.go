package pgwire

import "sort"

// AppendStartup appends a StartupMessage, which opens a session. Parameters are sorted by name.
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

// AppendCancel appends a CancelRequest for the running statement of a session. It is sent on a connection of its own; pid
// and key are those of the session's BackendKeyData.
func AppendCancel(b []byte, pid, key uint32) []byte {
	b, at := begin(b, msgUntyped)
	return end(u32(u32(u32(b, cancelCode), pid), key), at)
}

// AppendSSLRequest appends an SSLRequest, to which the backend answers with one byte: 'S' to accept TLS, 'N' to decline.
func AppendSSLRequest(b []byte) []byte {
	b, at := begin(b, msgUntyped)
	return end(u32(b, sslCode), at)
}

// AppendPassword appends a PasswordMessage.
func AppendPassword(b []byte, password string) []byte {
	b, at := begin(b, MsgPassword)
	return end(str(b, password), at)
}

// AppendSASLInitial appends a SASLInitialResponse, the first message of the frontend in a SASL exchange.
func AppendSASLInitial(b []byte, mechanism string, data []byte) []byte {
	b, at := begin(b, MsgPassword)
	b = u32(str(b, mechanism), uint32(len(data)))
	return end(append(b, data...), at)
}

// AppendSASLResponse appends a SASLResponse, a later message of the frontend in a SASL exchange.
func AppendSASLResponse(b []byte, data []byte) []byte {
	b, at := begin(b, MsgPassword)
	return end(append(b, data...), at)
}

// AppendQuery appends a Query message, a simple query.
func AppendQuery(b []byte, sql string) []byte {
	b, at := begin(b, MsgQuery)
	return end(str(b, sql), at)
}

// AppendQueryFunc appends a Query message whose text the function text appends.
func AppendQueryFunc(b []byte, text func(b []byte) []byte) []byte {
	b, at := begin(b, MsgQuery)
	return end(append(text(b), 0), at)
}

// AppendParse appends a Parse message, which prepares a statement. The backend infers the type of each parameter for
// which types has 0 or no element.
func AppendParse(b []byte, name, sql string, types []uint32) []byte {
	b, at := begin(b, MsgParse)
	b = u16(str(str(b, name), sql), len(types))
	for _, t := range types {
		b = u32(b, t)
	}
	return end(b, at)
}

// AppendBind appends a Bind message, which creates a portal from a statement and parameter values. Values and results are
// in text format; nil is NULL.
func AppendBind(b []byte, portal, statement string, values [][]byte) []byte {
	b, at := begin(b, MsgBind)
	b = u16(str(str(b, portal), statement), 0)
	return end(u16(appendValues(b, values), 0), at)
}

// AppendDescribe appends a Describe message for a statement (kind 'S') or a portal ('P').
func AppendDescribe(b []byte, kind byte, name string) []byte {
	b, at := begin(b, MsgDescribe)
	return end(str(append(b, kind), name), at)
}

// AppendClose appends a Close message for a statement (kind 'S') or a portal ('P').
func AppendClose(b []byte, kind byte, name string) []byte {
	b, at := begin(b, MsgClose)
	return end(str(append(b, kind), name), at)
}

// AppendExecute appends an Execute message for a portal. maxRows limits the rows returned; 0 means no limit.
func AppendExecute(b []byte, portal string, maxRows uint32) []byte {
	b, at := begin(b, MsgExecute)
	return end(u32(str(b, portal), maxRows), at)
}

// AppendSync appends a Sync message, which ends a pipelined group; the backend answers it with ReadyForQuery.
func AppendSync(b []byte) []byte { return appendEmpty(b, MsgSync) }

// AppendFlush appends a Flush message, which has the backend send all pending output.
func AppendFlush(b []byte) []byte { return appendEmpty(b, MsgFlush) }

// AppendTerminate appends a Terminate message, which closes the session.
func AppendTerminate(b []byte) []byte { return appendEmpty(b, MsgTerminate) }

// AppendCopyFail appends a CopyFail message, which aborts COPY FROM STDIN with the given reason.
func AppendCopyFail(b []byte, reason string) []byte {
	b, at := begin(b, MsgCopyFail)
	return end(str(b, reason), at)
}

// Startup is an untyped packet, as a frontend sends before all other messages. Exactly one of its fields is set.
type Startup struct {
	Params map[string]string // parameters of a new session with protocol 3
	Cancel *Cancel           // request to cancel a statement
	TLS    bool              // request for TLS or GSSAPI encryption; the answer is one byte, 'N' to decline
}

// maxStartupParams is the maximum number of parameters in a startup packet. Clients send a few; thousands of short ones
// fit into a packet, and each takes memory and time.
const maxStartupParams = 64

// Cancel identifies the session whose running statement is to be canceled, by the process id and the secret key of its
// BackendKeyData.
type Cancel struct{ PID, Key uint32 }

// ParseStartup parses the body of a startup packet, as returned by Reader.NextStartup. Any minor version of protocol 3 is
// accepted; other versions are an error.
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
			c.fail("protocol version %d.%d is not supported, only 3.0 is", code>>16, code&0xffff)
		}
	}
	params := map[string]string{}
	for c.err == nil {
		name := c.str("a parameter's name")
		if name == "" {
			break
		}
		if len(params) == maxStartupParams {
			c.fail("more than %d parameters", maxStartupParams)
			break
		}
		params[name] = c.str("a parameter's value")
	}
	return Startup{Params: params}, c.end()
}

// ParseMsg is a Parse message, which prepares a statement.
type ParseMsg struct {
	Name, SQL string
	Types     []uint32 // object identifiers of parameter types, 0 for a type to be inferred
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

// BindMsg is a Bind message, which creates a portal from a statement and parameter values.
type BindMsg struct {
	Portal, Statement string
	Formats           []int    // of the values, 0 text, 1 binary; none means all text, one applies to all
	Values            [][]byte // nil is NULL; share memory with the body
	ResultFormats     []int    // of the result columns, in the same form
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
			c.fail("%s: %d is neither 0 (text) nor 1 (binary)", what, f)
		}
		formats = append(formats, f)
	}
	return formats
}

// TargetMsg is a Describe or Close message for the statement (kind 'S') or portal ('P') of the given name.
type TargetMsg struct {
	Kind byte
	Name string
}

// ParseTarget parses the body of a Describe or Close message, as given by typ.
func ParseTarget(typ byte, body []byte) (TargetMsg, error) {
	c := cursor{typ: typ, b: body}
	m := TargetMsg{Kind: c.u8("the kind")}
	if c.err == nil && m.Kind != 'S' && m.Kind != 'P' {
		c.fail("kind %q is neither 'S' (statement) nor 'P' (portal)", m.Kind)
	}
	m.Name = c.str("the name")
	return m, c.end()
}

// ExecuteMsg is an Execute message, which runs a portal.
type ExecuteMsg struct {
	Portal  string
	MaxRows uint32 // 0 means no limit
}

// ParseExecute parses the body of an Execute message.
func ParseExecute(body []byte) (ExecuteMsg, error) {
	c := cursor{typ: MsgExecute, b: body}
	m := ExecuteMsg{Portal: c.str("the portal"), MaxRows: c.u32("the row limit")}
	return m, c.end()
}

// ParseString parses the body of a message that consists of one string, as given by typ: Query, PasswordMessage, CopyFail
// or CommandComplete.
func ParseString(typ byte, body []byte) (string, error) {
	c := cursor{typ: typ, b: body}
	s := c.str("the text")
	return s, c.end()
}

// SASLInitial is a SASLInitialResponse message, the first message of the frontend in a SASL exchange.
type SASLInitial struct {
	Mechanism string
	Data      []byte // nil if the message has none; shares memory with the body
}

// ParseSASLInitial parses the body of a SASLInitialResponse message.
func ParseSASLInitial(body []byte) (SASLInitial, error) {
	c := cursor{typ: MsgPassword, b: body}
	m := SASLInitial{Mechanism: c.str("the mechanism"), Data: c.value("the data")}
	return m, c.end()
}
