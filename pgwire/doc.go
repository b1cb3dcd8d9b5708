// Package pgwire encodes and decodes the messages of PostgreSQL's frontend/backend protocol, version 3.0, as described
// in the chapter "Frontend/Backend Protocol" of PostgreSQL's documentation. Append functions take the fields of one
// message and return a byte slice with the whole message appended; a Reader takes a byte stream and returns one message
// of bounded size at a time, whose body the Parse functions decode. Drivers call the frontend side for database nodes
// and the backend side for clients; simulated database nodes call the backend side.
//
// A Parse function returns a *ProtocolError if the body does not match the format of its type: if it is truncated, has
// surplus bytes or an invalid value. The other results are then without meaning.
package pgwire

import "fmt"

// Protocol numbers of a startup packet.
const (
	ProtocolVersion = 3 << 16 // version 3.0
	cancelCode      = 80877102
	sslCode         = 80877103
	gssCode         = 80877104
)

// Types of messages that a frontend sends.
const (
	MsgBind              = 'B'
	MsgClose             = 'C'
	MsgCopyData          = 'd'
	MsgCopyDone          = 'c'
	MsgCopyFail          = 'f'
	MsgDescribe          = 'D'
	MsgExecute           = 'E'
	MsgFlush             = 'H'
	MsgFunctionCall      = 'F'
	MsgParse             = 'P'
	MsgPassword          = 'p' // also both SASL responses
	MsgQuery             = 'Q'
	MsgSync              = 'S'
	MsgTerminate         = 'X'
	msgUntyped      byte = 0 // startup, cancel and TLS requests
)

// Types of messages that a backend sends.
const (
	MsgAuthentication       = 'R'
	MsgBackendKeyData       = 'K'
	MsgBindComplete         = '2'
	MsgCloseComplete        = '3'
	MsgCommandComplete      = 'C'
	MsgCopyInResponse       = 'G'
	MsgCopyOutResponse      = 'H'
	MsgCopyBothResponse     = 'W'
	MsgDataRow              = 'D'
	MsgEmptyQueryResponse   = 'I'
	MsgErrorResponse        = 'E'
	MsgNegotiateVersion     = 'v'
	MsgNoData               = 'n'
	MsgNoticeResponse       = 'N'
	MsgNotificationResponse = 'A'
	MsgParameterDescription = 't'
	MsgParameterStatus      = 'S'
	MsgParseComplete        = '1'
	MsgPortalSuspended      = 's'
	MsgReadyForQuery        = 'Z'
	MsgRowDescription       = 'T'
)

// Codes of authentication requests.
const (
	AuthOK           = 0
	AuthCleartext    = 3
	AuthMD5          = 5
	AuthSASL         = 10
	AuthSASLContinue = 11
	AuthSASLFinal    = 12
)

// Transaction states in ReadyForQuery: idle, in a transaction block, in a failed transaction block.
const (
	TxIdle   = 'I'
	TxOpen   = 'T'
	TxFailed = 'E'
)

// Object identifiers of data types, as in the catalog pg_type.
const (
	OIDBool   = 16
	OIDBytea  = 17
	OIDInt8   = 20
	OIDInt2   = 21
	OIDInt4   = 23
	OIDText   = 25
	OIDFloat4 = 700
	OIDFloat8 = 701
	OIDPgLSN  = 3220
)

// ProtocolError reports that the peer violated the protocol. The connection cannot be used any further.
type ProtocolError struct {
	Type   byte   // type of the message, 0 for an untyped one
	Reason string // description of the violation
}

func (e *ProtocolError) Error() string {
	if e.Type == msgUntyped {
		return "pgwire: startup packet: " + e.Reason
	}
	return fmt.Sprintf("pgwire: message %q: %s", e.Type, e.Reason)
}

func errorf(typ byte, format string, args ...any) error {
	return &ProtocolError{Type: typ, Reason: fmt.Sprintf(format, args...)}
}
