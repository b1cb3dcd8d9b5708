package catalog

import (
	"errors"
	"fmt"
	"time"

	"umberladder/pgwire"
)

// AppendStartup appends the startup message of the shared platform's clients.
func AppendStartup(b []byte) []byte {
	return pgwire.AppendStartup(b, map[string]string{"user": "worker", "database": "catalog"})
}

// ReadText is the statement of a read of a class whose client waits for so long.
func ReadText(id, class string, wait time.Duration) string {
	return fmt.Sprintf(`SELECT body FROM objects WHERE oid = '7f3a' /* id=%s,c=%s,d=%d,cluster=%d */`, id, class, wait.Milliseconds(), Group)
}

// WriteText is the statement of a write whose client waits for so long.
func WriteText(id string, wait time.Duration) string {
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('7f3a', '\x9f03') RETURNING body /* id=%s,c=write,d=%d,cluster=%d */`,
		id, wait.Milliseconds(), Group)
}

// Reply is all that came up to a ReadyForQuery, or to the connection's end.
type Reply struct {
	Value  string // of the row, if one came
	Code   string // SQLSTATE of the error, if one came
	Detail string // of the error
	Types  string // of the messages, in order
}

// ErrMalformed says that a message of a reply can't be read, or is not what the platform's protocol has there.
var ErrMalformed = errors.New("malformed reply")

// ReadReply reads a reply. On an error of the connection the reply holds what came before, as the code of one that was
// refused.
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
