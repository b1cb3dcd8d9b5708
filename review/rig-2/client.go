package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"umberladder/pgwire"
)

// client is one connection of a client to a driver.
type client struct {
	net.Conn
	reader *pgwire.Reader
}

// answer is the answer to one request.
type answer struct {
	value string
	code  string // SQLSTATE of the error
	err   error  // of the connection
}

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.code != "":
		return "error " + a.code
	}
	return "served " + short(a.value)
}

// short shortens a value for the record.
func short(value string) string {
	if len(value) > 40 {
		return fmt.Sprintf("%s... (%d bytes)", value[:20], len(value))
	}
	return value
}

// startup returns the startup message.
func startup() []byte {
	return pgwire.AppendStartup(nil, map[string]string{"user": "worker", "database": "catalog"})
}

// dial opens a connection and completes the startup.
func dial(address string) (*client, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{Conn: nc, reader: pgwire.NewReader(nc, 1<<20)}
	nc.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err = nc.Write(startup()); err == nil {
		err = c.read().err
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	return c, nil
}

func (c *client) close() { c.Close() }

// read reads one answer up to ReadyForQuery, or a fatal error.
func (c *client) read() (a answer) {
	for {
		typ, body, err := c.reader.Next()
		if err != nil {
			a.err = err
			return a
		}
		switch typ {
		case pgwire.MsgErrorResponse:
			e, err := pgwire.ParseError(typ, body)
			if err != nil {
				a.err = err
				return a
			}
			if a.code = e.Code; e.Fatal() {
				return a
			}
		case pgwire.MsgDataRow:
			values, err := pgwire.ParseDataRow(body, nil)
			if err != nil || len(values) != 1 {
				a.err = fmt.Errorf("row of %d values: %v", len(values), err)
				return a
			}
			a.value = string(values[0])
		case pgwire.MsgReadyForQuery:
			return a
		}
	}
}

// ask sends a query and waits for its answer, up to wait and one second more.
func (c *client) ask(query string, wait time.Duration) answer {
	c.SetDeadline(time.Now().Add(wait + time.Second))
	defer c.SetDeadline(time.Time{})
	if _, err := c.Write(pgwire.AppendQuery(nil, query)); err != nil {
		return answer{err: err}
	}
	return c.read()
}

var lastID atomic.Uint64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), lastID.Add(1)) }

// selectQuery returns the text of a read; more are further pairs of its comment, each with a comma before it.
func selectQuery(id, key, class string, wait time.Duration, more string) string {
	return fmt.Sprintf("SELECT body FROM objects WHERE oid = '%s' /* id=%s,c=%s,d=%d,cluster=%d%s */", key, id, class, wait.Milliseconds(), group, more)
}

// insertQuery returns the text of a write.
func insertQuery(id, key, class, value string, wait time.Duration, more string) string {
	var hex strings.Builder
	fmt.Fprintf(&hex, "%x", value)
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('%s', '\x%s') RETURNING body /* id=%s,c=%s,d=%d,cluster=%d%s */`,
		key, hex.String(), id, class, wait.Milliseconds(), group, more)
}

// queryMessage returns the message of a query.
func queryMessage(text string) []byte { return pgwire.AppendQuery(nil, text) }
