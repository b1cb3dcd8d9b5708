package catalog

import (
	"errors"
	"fmt"
	"time"

	"umberladder/pgwire"
)

// AppendStartup appends the startup message that clients of the shared platform send.
func AppendStartup(b []byte) []byte {
	return pgwire.AppendStartup(b, map[string]string{"user": "worker", "database": "catalog"})
}

// ReadQuery returns the text of a read of the given class with its request id. wait is the client's deadline, sent in whole
// milliseconds.
func ReadQuery(id, class string, wait time.Duration) string {
	return fmt.Sprintf(`SELECT body FROM objects WHERE oid = '7f3a' /* id=%s,c=%s,d=%d,cluster=%d */`, id, class, wait.Milliseconds(), PodGroup)
}

// WriteQuery returns the text of a write with its request id. wait is the client's deadline, sent in whole milliseconds.
func WriteQuery(id string, wait time.Duration) string {
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('7f3a', '\x9f03') RETURNING body /* id=%s,c=write,d=%d,cluster=%d */`,
		id, wait.Milliseconds(), PodGroup)
}

// Reply is the content of a reply up to ReadyForQuery, or up to the end of the connection.
type Reply struct {
	Value  string // of the last row; "" if there was none
	Code   string // SQLSTATE of the error; "" if there was none
	Detail string // of the error
	Types  string // message types in order of arrival
}

// ErrMalformed means that a message of a reply can't be parsed or violates the platform's protocol.
var ErrMalformed = errors.New("malformed reply")

// ReadReply blocks until it has read a reply up to ReadyForQuery. On an error of the connection it also returns what it read
// before, for example the SQLSTATE of a refused connection. An error or row that can't be parsed gives ErrMalformed.
func ReadReply(r *pgwire.Reader) (reply Reply, err error) {
	for {
		typ, body, err := r.Next()
		if err != nil {
			return reply, err
		}
		reply.Types += string(typ)
		switch typ {
		case pgwire.MsgErrorResponse:
			e, err := pgwire.ParseError(typ, body)
			if err != nil {
				return reply, fmt.Errorf("%w: error: %w", ErrMalformed, err)
			}
			reply.Code, reply.Detail = e.Code, e.Detail
		case pgwire.MsgDataRow:
			values, err := pgwire.ParseDataRow(body, nil)
			if err != nil || len(values) != 1 {
				return reply, fmt.Errorf("%w: row of %d values: %w", ErrMalformed, len(values), err)
			}
			reply.Value = string(values[0])
		case pgwire.MsgReadyForQuery:
			return reply, nil
		}
	}
}
