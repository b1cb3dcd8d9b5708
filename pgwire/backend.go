package pgwire

import "fmt"

// AppendAuthOK appends the end of authentication.
func AppendAuthOK(b []byte) []byte { return appendAuth(b, AuthOK, nil) }

// AppendAuthCleartext appends the request for a password as it is.
func AppendAuthCleartext(b []byte) []byte { return appendAuth(b, AuthCleartext, nil) }

// AppendAuthSASL appends the offer of SASL mechanisms.
func AppendAuthSASL(b []byte, mechanisms ...string) []byte {
	var names []byte
	for _, m := range mechanisms {
		names = str(names, m)
	}
	return appendAuth(b, AuthSASL, append(names, 0))
}

// AppendAuthSASLContinue appends a step of a SASL exchange.
func AppendAuthSASLContinue(b, data []byte) []byte { return appendAuth(b, AuthSASLContinue, data) }

// AppendAuthSASLFinal appends the last step of a SASL exchange.
func AppendAuthSASLFinal(b, data []byte) []byte { return appendAuth(b, AuthSASLFinal, data) }

func appendAuth(b []byte, code uint32, data []byte) []byte {
	b, at := begin(b, MsgAuthentication)
	return end(append(u32(b, code), data...), at)
}

// AppendParameterStatus appends the value of a parameter.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, at := begin(b, MsgParameterStatus)
	return end(str(str(b, name), value), at)
}

// AppendBackendKeyData appends what a cancel request must name.
func AppendBackendKeyData(b []byte, pid, key uint32) []byte {
	b, at := begin(b, MsgBackendKeyData)
	return end(u32(u32(b, pid), key), at)
}

// AppendReadyForQuery appends the end of a group with the session's state.
func AppendReadyForQuery(b []byte, state byte) []byte {
	b, at := begin(b, MsgReadyForQuery)
	return end(append(b, state), at)
}

// Column is one column of a result.
type Column struct {
	Name   string
	Table  uint32 // 0 if it is none of a table
	Attr   int
	Type   uint32 // its object identifier
	Size   int16
	Mod    int32
	Format int // 0 text, 1 binary
}

// AppendRowDescription appends the columns of the rows to come.
func AppendRowDescription(b []byte, columns []Column) []byte {
	b, at := begin(b, MsgRowDescription)
	b = u16(b, len(columns))
	for _, c := range columns {
		b = u16(u32(str(b, c.Name), c.Table), c.Attr)
		b = u16(u32(b, c.Type), int(c.Size))
		b = u16(u32(b, uint32(c.Mod)), c.Format)
	}
	return end(b, at)
}

// AppendDataRow appends one row; nil is NULL.
func AppendDataRow(b []byte, values [][]byte) []byte {
	b, at := begin(b, MsgDataRow)
	return end(appendValues(b, values), at)
}

// AppendCommandComplete appends the end of a statement.
func AppendCommandComplete(b []byte, tag string) []byte {
	b, at := begin(b, MsgCommandComplete)
	return end(str(b, tag), at)
}

// AppendParameterDescription appends the types of a statement's parameters.
func AppendParameterDescription(b []byte, types []uint32) []byte {
	b, at := begin(b, MsgParameterDescription)
	b = u16(b, len(types))
	for _, t := range types {
		b = u32(b, t)
	}
	return end(b, at)
}

// AppendEmpty appends a message that has no body: ParseComplete, BindComplete, CloseComplete, NoData,
// EmptyQueryResponse or PortalSuspended.
func AppendEmpty(b []byte, typ byte) []byte { return empty(b, typ) }

// AppendErrorResponse appends an error.
func AppendErrorResponse(b []byte, e *Error) []byte { return appendNotice(b, MsgErrorResponse, e) }

// AppendNoticeResponse appends a notice.
func AppendNoticeResponse(b []byte, e *Error) []byte { return appendNotice(b, MsgNoticeResponse, e) }

func appendNotice(b []byte, typ byte, e *Error) []byte {
	b, at := begin(b, typ)
	for _, f := range []struct {
		code byte
		text string
	}{{'S', e.Severity}, {'V', e.Severity}, {'C', e.Code}, {'M', e.Message}, {'D', e.Detail}, {'H', e.Hint}} {
		if f.text != "" {
			b = str(append(b, f.code), f.text)
		}
	}
	return end(append(b, 0), at)
}

// Error is an ErrorResponse or NoticeResponse.
type Error struct {
	Severity string // ERROR, FATAL, PANIC; WARNING, NOTICE ...
	Code     string // SQLSTATE, five characters
	Message  string
	Detail   string
	Hint     string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (SQLSTATE %s)", e.Severity, e.Message, e.Code)
}

// Fatal tells whether the backend ends the session with it.
func (e *Error) Fatal() bool { return e.Severity == "FATAL" || e.Severity == "PANIC" }

// ParseError parses the body of an ErrorResponse or NoticeResponse, by the type given.
func ParseError(typ byte, body []byte) (*Error, error) {
	c := cursor{typ: typ, b: body}
	e := &Error{}
	for c.err == nil {
		code := c.u8("a field")
		if code == 0 {
			break
		}
		text := c.str("a field")
		switch code {
		case 'V':
			e.Severity = text
		case 'S':
			if e.Severity == "" {
				e.Severity = text
			}
		case 'C':
			e.Code = text
		case 'M':
			e.Message = text
		case 'D':
			e.Detail = text
		case 'H':
			e.Hint = text
		}
	}
	if err := c.end(); err != nil {
		return nil, err
	}
	if len(e.Code) != 5 {
		return nil, bad(typ, "SQLSTATE %q has not five characters", e.Code)
	}
	return e, nil
}

// Auth is an authentication request.
type Auth struct {
	Code       uint32
	Mechanisms []string // for AuthSASL
	Data       []byte   // for AuthSASLContinue and AuthSASLFinal; for AuthMD5 the salt
}

// ParseAuth parses the body of an authentication request.
func ParseAuth(body []byte) (Auth, error) {
	c := cursor{typ: MsgAuthentication, b: body}
	a := Auth{Code: c.u32("the code")}
	switch a.Code {
	case AuthOK, AuthCleartext:
	case AuthMD5:
		a.Data = c.bytes(4, "the salt")
	case AuthSASL:
		for c.err == nil {
			m := c.str("a mechanism")
			if m == "" {
				break
			}
			a.Mechanisms = append(a.Mechanisms, m)
		}
	case AuthSASLContinue, AuthSASLFinal:
		a.Data = c.bytes(len(c.b), "the data")
	default:
		if c.err == nil {
			c.fail("authentication method %d is not spoken here; use scram-sha-256 or password", a.Code)
		}
	}
	return a, c.end()
}

// ParseParameterStatus parses a parameter's name and value.
func ParseParameterStatus(body []byte) (name, value string, err error) {
	c := cursor{typ: MsgParameterStatus, b: body}
	name, value = c.str("the name"), c.str("the value")
	return name, value, c.end()
}

// ParseBackendKeyData parses what a cancel request must name.
func ParseBackendKeyData(body []byte) (Cancel, error) {
	c := cursor{typ: MsgBackendKeyData, b: body}
	k := Cancel{PID: c.u32("the process"), Key: c.u32("the key")}
	return k, c.end()
}

// ParseReadyForQuery parses a session's state: TxIdle, TxOpen or TxFailed.
func ParseReadyForQuery(body []byte) (byte, error) {
	c := cursor{typ: MsgReadyForQuery, b: body}
	state := c.u8("the state")
	if c.err == nil && state != TxIdle && state != TxOpen && state != TxFailed {
		c.fail("state %q is unknown", state)
	}
	return state, c.end()
}

// ParseRowDescription parses the columns of a result.
func ParseRowDescription(body []byte) ([]Column, error) {
	c := cursor{typ: MsgRowDescription, b: body}
	columns := make([]Column, 0, 8)
	for range c.count(19, "columns") {
		columns = append(columns, Column{Name: c.str("a column's name"), Table: c.u32("a column's table"),
			Attr: c.u16("a column's number"), Type: c.u32("a column's type"), Size: int16(c.u16("a column's size")),
			Mod: int32(c.u32("a column's modifier")), Format: c.u16("a column's format")})
	}
	return columns, c.end()
}

// ParseDataRow parses a row, reusing values; the values share memory with the body, nil is NULL.
func ParseDataRow(body []byte, values [][]byte) ([][]byte, error) {
	c := cursor{typ: MsgDataRow, b: body}
	values = values[:0]
	for range c.count(4, "values") {
		values = append(values, c.value("a value"))
	}
	return values, c.end()
}

// ParseParameterDescription parses the types of a statement's parameters.
func ParseParameterDescription(body []byte) ([]uint32, error) {
	c := cursor{typ: MsgParameterDescription, b: body}
	var types []uint32
	for range c.count(4, "types") {
		types = append(types, c.u32("a type"))
	}
	return types, c.end()
}
