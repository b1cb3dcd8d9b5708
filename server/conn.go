package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"umberladder/balance"
	"umberladder/driver"
	"umberladder/internal/inbox"
	"umberladder/internal/sock"
	"umberladder/pgwire"
)

// login holds what connections use to log in to database nodes.
type login struct {
	user, password, database string
	maxMessage               int
	history                  bool            // polls ask for the timeline history
	buffers                  *pgwire.Buffers // shared by idle connections
}

// job is one exchange to be carried out on a connection.
type job struct {
	kind   exchangeKind
	stmt   *statement
	guard  driver.Guard // for a write
	sink   rowSink
	stream *stream // nil unless the answer is streamed
}

// conn is one connection to a database node. Its goroutine opens it and reads; the loop writes. It reports events to
// the loop: exactly one result for each exchange, and nothing after its last event (EventClosed, a failed dial, or a
// result with EndBroken or EndNotSent).
type conn struct {
	id      driver.ConnID
	address string
	inbox   *inbox.Inbox[driver.Event]
	cancel  context.CancelFunc
	ctx     context.Context
	warn    func(format string, args ...any)
	stream  *stream // receives the rows of the current exchange, nil unless streamed; owned by the loop

	writes sync.WaitGroup // pending writes that the socket did not accept at once

	mu         sync.Mutex
	nc         *sock.Socket // nil until the connection is open
	pending    job          // exchange whose answer is pending, if hasPending
	hasPending bool
	ended      bool
	unsent     bool // no byte of pending was accepted by the system
	cancelKey  pgwire.Cancel
	byParams   bool   // the node reports its facts as parameters
	systemID   uint64 // system identifier of the cluster as reported on this connection; owned by the reader
}

func newConn(ctx context.Context, id driver.ConnID, address string, in *inbox.Inbox[driver.Event], warn func(string, ...any)) *conn {
	c := &conn{id: id, address: address, inbox: in, warn: warn}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// dial opens the connection and reports the outcome to the loop. It returns nil if that failed. Otherwise run must
// follow in a new goroutine, because dialing and logging in leave a large stack.
func (c *conn) dial(l *login) *readState {
	nc, err := (&net.Dialer{}).DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		c.cancel()
		c.report(driver.Event{Kind: driver.EventDialed, Conn: c.id, Dial: &driver.DialError{Err: err}})
		return nil
	}
	s := sock.New(nc)
	rd := &readState{r: pgwire.NewPooledReader(s, l.buffers, l.maxMessage), params: map[string]string{}}
	rd.stop = context.AfterFunc(c.ctx, func() { nc.Close() })
	if failure := c.startup(s, rd.r, l, rd.params); failure != nil {
		rd.stop()
		c.cancel()
		nc.Close()
		c.report(driver.Event{Kind: driver.EventDialed, Conn: c.id, Dial: failure})
		return nil
	}
	rd.r.OnLongMessage(c.reserveRow)
	c.mu.Lock()
	c.nc = s
	c.mu.Unlock()
	c.report(driver.Event{Kind: driver.EventDialed, Conn: c.id})
	return rd
}

// readState holds the state of a connection's reader goroutine.
type readState struct {
	r      *pgwire.Reader
	params map[string]string
	stop   func() bool
}

// run reads from the connection until it ends, then closes it.
func (c *conn) run(rd *readState) {
	c.reportEnd(c.read(rd.r, rd.params))
	rd.stop()
	c.cancel()
	c.nc.Close()
	c.writes.Wait()
}

func (c *conn) report(ev driver.Event) { c.inbox.Put(ev) }

// startup logs in and prepares the statements for facts and guard.
func (c *conn) startup(nc net.Conn, r *pgwire.Reader, l *login, params map[string]string) *driver.DialError {
	auth := pgwire.NewAuthenticator(l.user, l.password)
	b := pgwire.AppendStartup(nil, map[string]string{"user": l.user, "database": l.database,
		"application_name": "umberladder", "client_encoding": "UTF8", "bytea_output": "hex", "DateStyle": "ISO",
		"default_transaction_isolation": isolation})
	prepared := false
	for {
		if len(b) > 0 {
			if _, err := nc.Write(b); err != nil {
				return &driver.DialError{Err: err}
			}
		}
		b = b[:0]
		typ, body, err := r.Next()
		if err != nil {
			return &driver.DialError{Err: fmt.Errorf("while opening the connection: %w", err)}
		}
		switch typ {
		case pgwire.MsgAuthentication:
			var req pgwire.Auth
			if req, err = pgwire.ParseAuth(body); err == nil {
				b, _, err = auth.Answer(b, req)
			}
		case pgwire.MsgParameterStatus:
			err = storeParam(params, body)
		case pgwire.MsgBackendKeyData:
			var secret pgwire.Cancel
			secret, err = pgwire.ParseBackendKeyData(body)
			c.mu.Lock()
			c.cancelKey = secret
			c.mu.Unlock()
		case pgwire.MsgErrorResponse:
			return startupError(body)
		case pgwire.MsgNoticeResponse, pgwire.MsgParseComplete, pgwire.MsgNegotiateVersion:
		case pgwire.MsgReadyForQuery:
			if prepared {
				return nil
			}
			prepared = true
			if c.byParams = factsOfParams(params).Known; !c.byParams {
				b = pgwire.AppendParse(pgwire.AppendParse(b, factsStatement, factsSQL, nil), pollStatement, pollSQL(l.history), nil)
			}
			b = pgwire.AppendSync(pgwire.AppendParse(b, guardStatement, guardSQL, nil))
		default:
			err = fmt.Errorf("message %q while opening the connection", typ)
		}
		if err != nil {
			return &driver.DialError{Err: err}
		}
	}
}

func startupError(body []byte) *driver.DialError {
	e, err := pgwire.ParseError(pgwire.MsgErrorResponse, body)
	if err != nil {
		return &driver.DialError{Err: err}
	}
	return &driver.DialError{Full: driver.Classify(&driver.Result{Err: e}).Outcome == balance.OutcomeFull, Err: e}
}

// startExchange sends an exchange. The loop calls it, so it makes one non-blocking write; a goroutine writes what the
// socket does not accept at once. On a connection that has ended it does nothing, as the loop is notified of the end
// anyway.
//
// It encodes the exchange in buf and returns the buffer for the next one.
func (c *conn) startExchange(j job, buf []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.nc == nil {
		return buf
	}
	c.pending, c.hasPending = j, true
	buf = appendExchange(buf[:0], j.kind, c.byParams, j.stmt, j.guard)
	n, err := c.nc.TryWrite(buf)
	switch {
	case err != nil:
		c.unsent = n == 0
		c.nc.Close() // the reader then fails and reports to the loop
	case n < len(buf):
		c.writeRemaining(append([]byte(nil), buf[n:]...), n == 0)
	}
	if cap(buf) > 1<<16 {
		return nil // do not retain the memory of a long statement
	}
	return buf
}

// writeRemaining writes the rest of an exchange in a goroutine, which may block. nothingSent says that the socket has
// accepted no byte of the exchange yet.
func (c *conn) writeRemaining(b []byte, nothingSent bool) {
	c.writes.Go(func() {
		if n, err := c.nc.Write(b); err != nil {
			c.mu.Lock()
			c.unsent = nothingSent && n == 0
			c.mu.Unlock()
			c.nc.Close()
		}
	})
}

// read handles messages until the connection ends, and returns the unfinished exchange, if any, and the cause.
func (c *conn) read(r *pgwire.Reader, params map[string]string) (*exchange, error) {
	var x *exchange
	for {
		typ, body, err := r.Next()
		if err != nil {
			return x, err
		}
		if x == nil {
			j, ok := c.pendingJob()
			if !ok {
				if err := handleIdleMessage(typ, body, params); err != nil {
					return nil, err
				}
				continue
			}
			x = newExchange(j.kind, c.byParams, params, j.sink)
			x.systemID = c.systemID
		}
		done, err := x.handle(typ, body)
		if err != nil {
			return x, err
		}
		if x.columnsRead {
			if err := c.awaitOpen(x); err != nil {
				return x, err
			}
		}
		if done {
			unusable := x.unusable
			c.systemID = x.systemID
			c.mu.Lock()
			c.pending, c.hasPending = job{}, false
			c.ended = unusable != ""
			c.mu.Unlock()
			c.report(driver.Event{Kind: driver.EventResult, Conn: c.id, Result: x.resultWith(driver.EndAnswered)})
			x = nil
			if unusable != "" {
				c.report(driver.Event{Kind: driver.EventClosed, Conn: c.id})
				return nil, nil
			}
		}
	}
}

func (c *conn) pendingJob() (job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending, c.hasPending
}

// reserveRow reserves memory for a long row of a streamed answer before it is read.
func (c *conn) reserveRow(n int) error {
	if j, _ := c.pendingJob(); j.stream != nil {
		return j.stream.reserve(int64(n))
	}
	return nil
}

// handleIdleMessage handles a message that arrives between exchanges.
func handleIdleMessage(typ byte, body []byte, params map[string]string) error {
	switch typ {
	case pgwire.MsgNoticeResponse, pgwire.MsgNotificationResponse:
		return nil
	case pgwire.MsgParameterStatus:
		return storeParam(params, body)
	case pgwire.MsgErrorResponse:
		e, err := pgwire.ParseError(typ, body)
		if err != nil {
			return err
		}
		return e
	}
	return fmt.Errorf("message %q while no query was pending", typ)
}

// awaitOpen asks the loop whether a streamed answer may go to its client, and waits until the loop permits it.
func (c *conn) awaitOpen(x *exchange) error {
	j, _ := c.pendingJob()
	if j.stream == nil {
		return nil
	}
	c.report(driver.Event{Kind: driver.EventStreamStarted, Conn: c.id, Result: x.result})
	select {
	case <-j.stream.opened:
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// resultWith returns the exchange's result with the given end. It stores the statement's error in the sink and releases
// the answer memory of an unstreamed answer.
func (x *exchange) resultWith(end driver.End) driver.Result {
	r := x.result
	r.End = end
	switch sink := x.sink.(type) {
	case *reply:
		sink.sqlError = r.Err
		sink.releaseMemory()
	case *stream:
		sink.sqlError = r.Err
	}
	r.Payload = x.sink
	return r
}

// reportEnd reports the connection's last event.
func (c *conn) reportEnd(x *exchange, err error) {
	c.mu.Lock()
	already, hasPending, unsent := c.ended, c.hasPending, c.unsent
	c.ended = true
	c.mu.Unlock()
	if already {
		return
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && c.ctx.Err() == nil {
		c.warn("connection lost: %v", err)
	}
	switch {
	case !hasPending:
		c.report(driver.Event{Kind: driver.EventClosed, Conn: c.id})
	case x == nil:
		end := driver.EndBroken
		if unsent {
			end = driver.EndNotSent
		}
		c.report(driver.Event{Kind: driver.EventResult, Conn: c.id, Result: driver.Result{End: end}})
	default:
		c.report(driver.Event{Kind: driver.EventResult, Conn: c.id, Result: x.resultWith(driver.EndBroken)})
	}
}

// cancelWork sends a cancel request for the running statement, on a separate connection.
func (c *conn) cancelWork(timeout time.Duration) {
	c.mu.Lock()
	secret := c.cancelKey
	c.mu.Unlock()
	if secret == (pgwire.Cancel{}) {
		return
	}
	nc, err := (&net.Dialer{Timeout: timeout}).DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		return // the statement goes on; its connection is not used again in any case
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(timeout))
	if _, err := nc.Write(pgwire.AppendCancel(nil, secret.PID, secret.Key)); err == nil {
		io.Copy(io.Discard, nc) // the node closes the connection once it has forwarded the request
	}
}

// encodable reports whether a text can be sent as a value or statement: the protocol ends strings at a NUL byte.
func encodable(s string) bool { return strings.IndexByte(s, 0) < 0 }
