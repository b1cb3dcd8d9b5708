// Package pgwire reads and writes PostgreSQL's frontend/backend protocol, version 3.0, as published in the
// chapter "Frontend/Backend Protocol" of PostgreSQL's documentation. It holds both sides: what a driver sends
// and hears, and what a stand-in db node does.
//
// Writing is by Append functions that add one whole message to a byte slice. Reading is by a Reader that
// yields one message at a time with a bounded size, and by Parse functions for the bodies. A body that does
// not hold what its type promises is a *ProtocolError; none of its parts is guessed.
package pgwire

import "fmt"

// Protocol numbers of a startup packet.
const (
	ProtocolVersion = 3 << 16 // version 3.0
	cancelCode      = 80877102
	sslCode         = 80877103
	gssCode         = 80877104
)

// Types of the messages that a frontend sends.
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

// Types of the messages that a backend sends.
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

// Authentication requests.
const (
	AuthOK           = 0
	AuthCleartext    = 3
	AuthMD5          = 5
	AuthSASL         = 10
	AuthSASLContinue = 11
	AuthSASLFinal    = 12
)

// States that ReadyForQuery tells.
const (
	TxIdle   = 'I'
	TxOpen   = 'T'
	TxFailed = 'E'
)

// Object identifiers of the types that values are decoded for; pg_type lists them all.
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

// ProtocolError says that a peer broke the protocol. The connection is of no further use.
type ProtocolError struct {
	Type byte   // the message's type, 0 for an untyped one
	Why  string // what was wrong with it
}

func (e *ProtocolError) Error() string {
	if e.Type == msgUntyped {
		return "pgwire: startup packet: " + e.Why
	}
	return fmt.Sprintf("pgwire: message %q: %s", e.Type, e.Why)
}

func bad(typ byte, format string, args ...any) error {
	return &ProtocolError{Type: typ, Why: fmt.Sprintf(format, args...)}
}
