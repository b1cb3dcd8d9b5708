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

// login is how connections present themselves to db nodes.
type login struct {
	user, password, database string
	maxMessage               int
	history                  bool            // polls ask where timelines began
	buffers                  *pgwire.Buffers // shared by connections that wait
}

// job is one exchange for a connection to carry out.
type job struct {
	kind   exchangeKind
	st     *statement
	guard  driver.Guard // of a write
	sink   rowSink
	stream *stream // nil unless its rows go out as they come
}

// conn is one connection to a db node. A goroutine of its own opens it and reads; the loop writes. It tells the loop what happens, each
// exchange exactly one result, and after its last word (closed, or a broken result) nothing more.
type conn struct {
	id      driver.ConnID
	address string
	inbox   *inbox.Inbox[driver.Event]
	cancel  context.CancelFunc
	ctx     context.Context
	warn    func(format string, args ...any)
	stream  *stream // the loop's: where the rows of the present exchange go, nil unless streamed

	writes sync.WaitGroup // of what a socket did not take at once

	mu       sync.Mutex
	nc       *sock.Socket // nil while it opens
	out      job          // what is awaited
	awaits   bool         // whether anything is
	ended    bool
	unsent   bool // not a byte of out was taken by the system
	secret   pgwire.Cancel
	byParams bool
	system   uint64 // the reader's: the cluster, as it was told on this connection
}

func newConn(ctx context.Context, id driver.ConnID, address string, in *inbox.Inbox[driver.Event], warn func(string, ...any)) *conn {
	c := &conn{id: id, address: address, inbox: in, warn: warn}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// dial opens the connection. It returns no error: whatever ends a connection is told to the loop, which goes on without
// it. What is nil has ended; else run must follow, in a goroutine of its own, as what it takes to dial and to log in
// leaves a large stack.
func (c *conn) dial(l *login) *reading {
	nc, err := (&net.Dialer{}).DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		c.cancel()
		c.tell(driver.Event{Kind: driver.EventDialed, Conn: c.id, Dial: &driver.DialError{Err: err}})
		return nil
	}
	s := sock.New(nc)
	rd := &reading{r: pgwire.NewPatientReader(s, l.buffers, l.maxMessage), params: map[string]string{}}
	rd.stop = context.AfterFunc(c.ctx, func() { nc.Close() })
	if failure := c.open(s, rd.r, l, rd.params); failure != nil {
		rd.stop()
		c.cancel()
		nc.Close()
		c.tell(driver.Event{Kind: driver.EventDialed, Conn: c.id, Dial: failure})
		return nil
	}
	rd.r.BeforeLong(c.reserve)
	c.mu.Lock()
	c.nc = s
	c.mu.Unlock()
	c.tell(driver.Event{Kind: driver.EventDialed, Conn: c.id})
	return rd
}

// reading is what a connection's goroutine holds.
type reading struct {
	r      *pgwire.Reader
	params map[string]string
	stop   func() bool
}

// run follows the connection to its end.
func (c *conn) run(rd *reading) {
	c.finish(c.read(rd.r, rd.params))
	rd.stop()
	c.cancel()
	c.nc.Close()
	c.writes.Wait()
}

func (c *conn) tell(ev driver.Event) { c.inbox.Put(ev) }

// open goes through startup and authentication and prepares the question for facts.
func (c *conn) open(nc net.Conn, r *pgwire.Reader, l *login, params map[string]string) *driver.DialError {
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
			return &driver.DialError{Err: fmt.Errorf("while it opened: %w", err)}
		}
		switch typ {
		case pgwire.MsgAuthentication:
			var req pgwire.Auth
			if req, err = pgwire.ParseAuth(body); err == nil {
				b, _, err = auth.Answer(b, req)
			}
		case pgwire.MsgParameterStatus:
			err = takeParam(params, body)
		case pgwire.MsgBackendKeyData:
			var secret pgwire.Cancel
			secret, err = pgwire.ParseBackendKeyData(body)
			c.mu.Lock()
			c.secret = secret
			c.mu.Unlock()
		case pgwire.MsgErrorResponse:
			return dialFault(body)
		case pgwire.MsgNoticeResponse, pgwire.MsgParseComplete, pgwire.MsgNegotiateVersion:
		case pgwire.MsgReadyForQuery:
			if prepared {
				return nil
			}
			prepared = true
			if c.byParams = factsOfParams(params).Known; !c.byParams {
				b = pgwire.AppendParse(pgwire.AppendParse(b, factsName, factsSQL, nil), askName, askSQL(l.history), nil)
			}
			b = pgwire.AppendSync(pgwire.AppendParse(b, guardName, guardSQL, nil))
		default:
			err = fmt.Errorf("message %q while it opened", typ)
		}
		if err != nil {
			return &driver.DialError{Err: err}
		}
	}
}

func dialFault(body []byte) *driver.DialError {
	e, err := pgwire.ParseError(pgwire.MsgErrorResponse, body)
	if err != nil {
		return &driver.DialError{Err: err}
	}
	return &driver.DialError{Full: driver.Judge(&driver.Result{Err: e}).Outcome == balance.OutcomeFull, Err: e}
}

// start sends an exchange. The loop calls it, so it makes one attempt that can't block; what the socket does
// not take at once goes out in a goroutine of its own. On a connection that has ended it does nothing: the
// loop hears, or has heard, that it closed before this went out.
//
// The words are the loop's room to put the exchange together, given back for the next one.
func (c *conn) start(j job, words []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.nc == nil {
		return words
	}
	c.out, c.awaits = j, true
	words = appendExchange(words[:0], j.kind, c.byParams, j.st, j.guard)
	n, err := c.nc.TryWrite(words)
	switch {
	case err != nil:
		c.unsent = n == 0
		c.nc.Close() // the reader tells the loop
	case n < len(words):
		c.rest(append([]byte(nil), words[n:]...), n == 0)
	}
	if cap(words) > 1<<16 {
		return nil // one long statement must not keep its memory for good
	}
	return words
}

// rest sends what is left of an exchange, waiting for the socket.
func (c *conn) rest(b []byte, first bool) {
	c.writes.Go(func() {
		if n, err := c.nc.Write(b); err != nil {
			c.mu.Lock()
			c.unsent = first && n == 0
			c.mu.Unlock()
			c.nc.Close()
		}
	})
}

// read follows the node's messages until the connection ends, and returns why it did.
func (c *conn) read(r *pgwire.Reader, params map[string]string) (*exchange, error) {
	var x *exchange
	for {
		typ, body, err := r.Next()
		if err != nil {
			return x, err
		}
		if x == nil {
			j, ok := c.awaited()
			if !ok {
				if err := idleMessage(typ, body, params); err != nil {
					return nil, err
				}
				continue
			}
			x = newExchange(j.kind, c.byParams, params, j.sink)
			x.system = c.system
		}
		done, err := x.take(typ, body)
		if err != nil {
			return x, err
		}
		if x.opens {
			if err := c.begin(x); err != nil {
				return x, err
			}
		}
		if done {
			spoilt := x.spoilt
			c.system = x.system
			c.mu.Lock()
			c.out, c.awaits = job{}, false
			c.ended = spoilt != ""
			c.mu.Unlock()
			c.tell(driver.Event{Kind: driver.EventResult, Conn: c.id, Result: x.closing(driver.EndAnswered)})
			x = nil
			if spoilt != "" {
				c.tell(driver.Event{Kind: driver.EventClosed, Conn: c.id})
				return nil, nil
			}
		}
	}
}

func (c *conn) awaited() (job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out, c.awaits
}

// reserve takes room for a long row of a streamed answer before it is read.
func (c *conn) reserve(n int) error {
	if j, _ := c.awaited(); j.stream != nil {
		return j.stream.reserve(int64(n))
	}
	return nil
}

// idleMessage takes what a node may say unasked.
func idleMessage(typ byte, body []byte, params map[string]string) error {
	switch typ {
	case pgwire.MsgNoticeResponse, pgwire.MsgNotificationResponse:
		return nil
	case pgwire.MsgParameterStatus:
		return takeParam(params, body)
	case pgwire.MsgErrorResponse:
		e, err := pgwire.ParseError(typ, body)
		if err != nil {
			return err
		}
		return e
	}
	return fmt.Errorf("message %q though nothing was asked", typ)
}

// begin asks the loop whether a streamed answer may go to its client, and waits for the word.
func (c *conn) begin(x *exchange) error {
	j, _ := c.awaited()
	if j.stream == nil {
		return nil
	}
	c.tell(driver.Event{Kind: driver.EventOpened, Conn: c.id, Result: x.result})
	select {
	case <-j.stream.opened:
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// closing is the result of an exchange with how it ended.
func (x *exchange) closing(end driver.End) driver.Result {
	r := x.result
	r.End = end
	switch sink := x.sink.(type) {
	case *reply:
		sink.fault = r.Err
		sink.end()
	case *stream:
		sink.fault = r.Err
	}
	r.Payload = x.sink
	return r
}

// finish is the connection's last word.
func (c *conn) finish(x *exchange, err error) {
	c.mu.Lock()
	already, awaits, unsent := c.ended, c.awaits, c.unsent
	c.ended = true
	c.mu.Unlock()
	if already {
		return
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && c.ctx.Err() == nil {
		c.warn("connection broke off: %v", err)
	}
	switch {
	case !awaits:
		c.tell(driver.Event{Kind: driver.EventClosed, Conn: c.id})
	case x == nil:
		end := driver.EndBroken
		if unsent {
			end = driver.EndNotSent
		}
		c.tell(driver.Event{Kind: driver.EventResult, Conn: c.id, Result: driver.Result{End: end}})
	default:
		c.tell(driver.Event{Kind: driver.EventResult, Conn: c.id, Result: x.closing(driver.EndBroken)})
	}
}

// cancelWork asks the node, on a connection of its own, to end what this one runs.
func (c *conn) cancelWork(timeout time.Duration) {
	c.mu.Lock()
	secret := c.secret
	c.mu.Unlock()
	if secret == (pgwire.Cancel{}) {
		return
	}
	nc, err := (&net.Dialer{Timeout: timeout}).DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		return // the work goes on; its connection is not used again either way
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(timeout))
	if _, err := nc.Write(pgwire.AppendCancel(nil, secret.PID, secret.Key)); err == nil {
		io.Copy(io.Discard, nc) // the node closes once it has passed the wish on
	}
}

// plainText tells whether a text can be sent as a value or statement: zero bytes end it in the protocol.
func plainText(s string) bool { return strings.IndexByte(s, 0) < 0 }
