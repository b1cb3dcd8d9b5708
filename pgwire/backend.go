package pgwire

import "fmt"

// AppendAuthOK appends an AuthenticationOk message, which ends authentication.
func AppendAuthOK(b []byte) []byte { return appendAuth(b, AuthOK, nil) }

// AppendAuthCleartext appends an AuthenticationCleartextPassword message, which requests the password in clear text.
func AppendAuthCleartext(b []byte) []byte { return appendAuth(b, AuthCleartext, nil) }

// AppendAuthSASL appends an AuthenticationSASL message, which offers the given mechanisms.
func AppendAuthSASL(b []byte, mechanisms ...string) []byte {
	var names []byte
	for _, m := range mechanisms {
		names = str(names, m)
	}
	return appendAuth(b, AuthSASL, append(names, 0))
}

// AppendAuthSASLContinue appends an AuthenticationSASLContinue message, the server's challenge in a SASL exchange.
func AppendAuthSASLContinue(b, data []byte) []byte { return appendAuth(b, AuthSASLContinue, data) }

// AppendAuthSASLFinal appends an AuthenticationSASLFinal message, the server's last message of a SASL exchange.
func AppendAuthSASLFinal(b, data []byte) []byte { return appendAuth(b, AuthSASLFinal, data) }

func appendAuth(b []byte, code uint32, data []byte) []byte {
	b, at := begin(b, MsgAuthentication)
	return end(append(u32(b, code), data...), at)
}

// AppendParameterStatus appends a ParameterStatus message, which reports the value of a run-time parameter.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, at := begin(b, MsgParameterStatus)
	return end(str(str(b, name), value), at)
}

// AppendBackendKeyData appends a BackendKeyData message with the process id and the secret key that a cancel request for
// this session must contain.
func AppendBackendKeyData(b []byte, pid, key uint32) []byte {
	b, at := begin(b, MsgBackendKeyData)
	return end(u32(u32(b, pid), key), at)
}

// AppendReadyForQuery appends a ReadyForQuery message with the transaction state: TxIdle, TxOpen or TxFailed.
func AppendReadyForQuery(b []byte, state byte) []byte {
	b, at := begin(b, MsgReadyForQuery)
	return end(append(b, state), at)
}

// Column describes one column of a result, with the fields of RowDescription.
type Column struct {
	Name   string
	Table  uint32 // object identifier of the table, 0 if the column is not from a table
	Attr   int    // number of the column in the table, 0 if the column is not from a table
	Type   uint32 // object identifier of the data type
	Size   int16  // bytes of the data type, negative for a variable size
	Mod    int32  // type modifier, -1 for none
	Format int    // 0 text, 1 binary
}

// AppendRowDescription appends a RowDescription message, which describes the columns of the rows that follow.
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

// AppendDataRow appends a DataRow message with the values of one row; nil is NULL.
func AppendDataRow(b []byte, values [][]byte) []byte {
	b, at := begin(b, MsgDataRow)
	return end(appendValues(b, values), at)
}

// AppendCommandComplete appends a CommandComplete message with a command tag such as "SELECT 1".
func AppendCommandComplete(b []byte, tag string) []byte {
	b, at := begin(b, MsgCommandComplete)
	return end(str(b, tag), at)
}

// AppendParameterDescription appends a ParameterDescription message with the types of a statement's parameters.
func AppendParameterDescription(b []byte, types []uint32) []byte {
	b, at := begin(b, MsgParameterDescription)
	b = u16(b, len(types))
	for _, t := range types {
		b = u32(b, t)
	}
	return end(b, at)
}

// AppendEmpty appends a message without a body: ParseComplete, BindComplete, CloseComplete, NoData,
// EmptyQueryResponse or PortalSuspended.
func AppendEmpty(b []byte, typ byte) []byte { return appendEmpty(b, typ) }

// AppendErrorResponse appends an ErrorResponse message. Empty fields are left out.
func AppendErrorResponse(b []byte, e *Error) []byte { return appendNotice(b, MsgErrorResponse, e) }

// AppendNoticeResponse appends a NoticeResponse message. Empty fields are left out.
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

// Error is the content of an ErrorResponse or NoticeResponse message.
type Error struct {
	Severity string // ERROR, FATAL or PANIC; for notices WARNING, NOTICE, DEBUG, INFO or LOG
	Code     string // SQLSTATE, five characters
	Message  string
	Detail   string
	Hint     string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (SQLSTATE %s)", e.Severity, e.Message, e.Code)
}

// Fatal reports whether the backend closes the session after this error.
func (e *Error) Fatal() bool { return e.Severity == "FATAL" || e.Severity == "PANIC" }

// ParseError parses the body of an ErrorResponse or NoticeResponse, as given by typ. Unknown fields are ignored.
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
		return nil, errorf(typ, "SQLSTATE %q does not have five characters", e.Code)
	}
	return e, nil
}

// Auth is an authentication request of a backend.
type Auth struct {
	Code       uint32   // AuthOK, AuthCleartext, AuthMD5, AuthSASL, AuthSASLContinue or AuthSASLFinal
	Mechanisms []string // offered mechanisms, for AuthSASL
	// Data is the SASL data for AuthSASLContinue and AuthSASLFinal, and the salt of 4 bytes for AuthMD5. It shares memory
	// with the body.
	Data []byte
}

// ParseAuth parses the body of an authentication request. A code that is not among the Auth constants is an error.
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
			c.fail("authentication method %d is not supported; use scram-sha-256 or password", a.Code)
		}
	}
	return a, c.end()
}

// ParseParameterStatus parses the body of a ParameterStatus message.
func ParseParameterStatus(body []byte) (name, value string, err error) {
	c := cursor{typ: MsgParameterStatus, b: body}
	name, value = c.str("the name"), c.str("the value")
	return name, value, c.end()
}

// ParseBackendKeyData parses the body of a BackendKeyData message and returns the ids that a cancel request must contain.
func ParseBackendKeyData(body []byte) (Cancel, error) {
	c := cursor{typ: MsgBackendKeyData, b: body}
	k := Cancel{PID: c.u32("the process"), Key: c.u32("the key")}
	return k, c.end()
}

// ParseReadyForQuery parses the body of a ReadyForQuery message and returns TxIdle, TxOpen or TxFailed.
func ParseReadyForQuery(body []byte) (byte, error) {
	c := cursor{typ: MsgReadyForQuery, b: body}
	state := c.u8("the state")
	if c.err == nil && state != TxIdle && state != TxOpen && state != TxFailed {
		c.fail("transaction state %q is unknown", state)
	}
	return state, c.end()
}

// ParseRowDescription parses the body of a RowDescription message.
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

// ParseDataRow parses the body of a DataRow message into values, whose memory it reuses. The values returned share memory
// with the body; nil is NULL.
func ParseDataRow(body []byte, values [][]byte) ([][]byte, error) {
	c := cursor{typ: MsgDataRow, b: body}
	values = values[:0]
	for range c.count(4, "values") {
		values = append(values, c.value("a value"))
	}
	return values, c.end()
}

// ParseParameterDescription parses the body of a ParameterDescription message and returns the types of the parameters.
func ParseParameterDescription(body []byte) ([]uint32, error) {
	c := cursor{typ: MsgParameterDescription, b: body}
	var types []uint32
	for range c.count(4, "types") {
		types = append(types, c.u32("a type"))
	}
	return types, c.end()
}
