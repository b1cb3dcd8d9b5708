package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"umberladder/pgwire"
	"umberladder/standin/catalog"
)

const maxMessageBytes = 1 << 20 // largest message accepted from a driver

// clientKind is the behaviour of a client.
type clientKind uint8

// The kinds of clients.
const (
	clientSteady      clientKind = iota // sends one request at a time
	clientPipelined                     // sends several requests at once
	clientIdle                          // sends single requests with long pauses
	clientFragmented                    // writes each request in two pieces
	clientDisconnects                   // disconnects with requests pending
	clientBursts                        // sends hundreds of requests at once and disconnects
	clientKinds
)

// outcome is the result of a request for its client.
type outcome uint8

const (
	outcomeNone   outcome = iota // no answer and no end of the connection
	outcomeValue                 // served
	outcomeError                 // refused or failed
	outcomeClosed                // the connection was closed
	outcomeReset                 // the connection was reset
	outcomeLeft                  // the client disconnected
)

var outcomeNames = [...]string{"nothing", "a value", "an error", "a close", "a reset", "its client left"}

// request is one request as its client observed it.
type request struct {
	id          string
	write       bool
	driver      string
	deadline    time.Duration
	firstOnConn bool      // first request of its connection
	sent        time.Time // just before its last byte was written; zero if that was not tried
	unsent      bool      // its last byte was not written, or only after the end of its connection was read
	notAwaited  bool      // its client leaves in any case
	prevAnswer  time.Time // time of the previous answer on its connection; answers are in the order of requests
	outcome     outcome
	endedAt     time.Time // time of the outcome
	code        string    // SQLSTATE of an error
	value       string
}

// requestLog collects the requests of all clients.
type requestLog struct {
	mu         sync.Mutex
	requests   []*request
	unexpected []string // answers without a request
	openConns  int      // connections to drivers
}

func (l *requestLog) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// all returns a copy of all requests.
func (l *requestLog) all() []request {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]request, len(l.requests))
	for i, r := range l.requests {
		out[i] = *r
	}
	return out
}

func (l *requestLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// client is one client of a driver. It reconnects when its connection ends, until run.dialCtx ends.
type client struct {
	run     *run
	kind    clientKind
	driver  *driverProcess
	name    string
	rng     *rand.Rand
	number  int
	current *connection
}

// connection is a client's connection with its pending requests.
type connection struct {
	net.Conn
	log        *requestLog
	ended      chan struct{} // closed when the connection has ended
	mu         sync.Mutex
	queue      []*request // pending, oldest first
	used       bool       // a request was sent on it
	closed     bool       // its end was read; later requests count as not sent
	lastAnswer time.Time  // time of the last answer
}

// dial opens a connection and starts its reader.
func (c *client) dial() (*connection, error) {
	nc, err := net.DialTimeout("tcp", c.driver.config.Listen, time.Second)
	if err != nil {
		return nil, err
	}
	k := &connection{Conn: nc, log: c.run.log, ended: make(chan struct{})}
	k.log.update(func() { k.log.openConns++ })
	if _, err := nc.Write(catalog.AppendStartup(nil)); err != nil {
		nc.Close()
		k.log.update(func() { k.log.openConns-- })
		return nil, err
	}
	c.run.readers.Go(k.read)
	return k, nil
}

// read reads replies until the connection ends. The first reply answers the startup message.
func (k *connection) read() {
	defer close(k.ended)
	defer k.log.update(func() { k.log.openConns-- })
	defer k.Close()
	r := pgwire.NewReader(k.Conn, maxMessageBytes)
	for started := false; ; started = true {
		reply, err := catalog.ReadReply(r)
		if err != nil {
			k.onEnd(err, reply.Code)
			return
		}
		if started {
			k.onReply(reply.Value, reply.Code)
		}
	}
}

// onReply assigns a reply to the oldest pending request.
func (k *connection) onReply(value, code string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.log.update(func() {
		if len(k.queue) == 0 {
			k.log.unexpected = append(k.log.unexpected, fmt.Sprintf("value %q, code %q on a connection where nothing waited", value, code))
			return
		}
		r := k.queue[0]
		r.prevAnswer, k.lastAnswer = k.lastAnswer, time.Now()
		r.endedAt, r.code, r.value, r.outcome = time.Now(), code, value, outcomeValue
		if code != "" {
			r.outcome = outcomeError
		}
	})
	if len(k.queue) > 0 {
		k.queue = k.queue[1:]
	}
}

// onEnd completes the pending requests when the connection ends: with the error received before the end, as when the
// driver refuses the connection, or without an answer.
func (k *connection) onEnd(err error, code string) {
	end := outcomeClosed
	switch {
	case code != "":
		end = outcomeError
	case errors.Is(err, syscall.ECONNRESET):
		end = outcomeReset
	case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
		end = outcomeLeft
	case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		end = outcomeReset
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.log.update(func() {
		for _, r := range k.queue {
			r.endedAt, r.code, r.outcome = time.Now(), code, end
			if r.notAwaited {
				r.outcome = outcomeLeft
			}
		}
	})
	k.queue, k.closed = nil, true
}

// enqueue adds a request that is about to be written to the pending ones. If the connection has ended, it marks the
// request as not sent and returns false.
func (k *connection) enqueue(r *request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.log.update(func() { r.sent, r.unsent = time.Now(), k.closed })
	if !k.closed {
		k.queue = append(k.queue, r)
	}
	return !k.closed
}

// loop sends requests until ctx ends.
func (c *client) loop(ctx context.Context) {
	defer func() {
		if c.current != nil {
			c.current.Close()
		}
	}()
	for ctx.Err() == nil {
		if c.current == nil && !c.connect(ctx) {
			return
		}
		switch c.kind {
		case clientSteady:
			c.exchange(ctx, 1, false)
			c.pause(ctx, 30*time.Millisecond)
		case clientPipelined:
			c.exchange(ctx, 2+c.rng.IntN(7), false)
			c.pause(ctx, 60*time.Millisecond)
		case clientIdle:
			c.exchange(ctx, 1, false)
			c.pause(ctx, 2*time.Second)
		case clientFragmented:
			c.exchange(ctx, 1, true)
			c.pause(ctx, 60*time.Millisecond)
		case clientDisconnects:
			c.disconnect(ctx)
			c.pause(ctx, 60*time.Millisecond)
		case clientBursts:
			c.burst(ctx)
			c.pause(ctx, 300*time.Millisecond)
		}
	}
}

// connect dials until the driver accepts a connection. It returns false once ctx or run.dialCtx has ended.
func (c *client) connect(ctx context.Context) bool {
	for ctx.Err() == nil && c.run.dialCtx.Err() == nil {
		if k, err := c.dial(); err == nil {
			c.current = k
			return true
		}
		c.pause(ctx, 20*time.Millisecond)
	}
	return false
}

// pause waits for a random time with the given mean, or until ctx or the connection ends.
func (c *client) pause(ctx context.Context, mean time.Duration) {
	var ended chan struct{}
	if c.current != nil {
		ended = c.current.ended
	}
	select {
	case <-time.After(time.Duration(2 * c.rng.Float64() * float64(mean))):
	case <-ended:
		c.current = nil
	case <-ctx.Done():
	}
}

// next draws a request and returns it with its encoded query.
func (c *client) next() (*request, []byte) {
	c.number++
	r := &request{id: fmt.Sprintf("%sn%d", c.name, c.number), driver: c.driver.config.Name, deadline: c.run.plan.ReadDeadline, write: c.rng.IntN(5) == 0}
	text := catalog.ReadQuery(r.id, "article", r.deadline)
	if r.write {
		r.deadline = c.run.plan.WriteDeadline
		text = catalog.WriteQuery(r.id, r.deadline)
	}
	return r, pgwire.AppendQuery(nil, text)
}

// exchange sends count requests and waits for their answers.
func (c *client) exchange(ctx context.Context, count int, fragmented bool) {
	for range count {
		r, query := c.next()
		c.send(r, query, fragmented)
	}
	c.await(ctx)
}

// send logs a request and writes it, in two pieces if fragmented. The send time is set before the last byte is written,
// as the answer may arrive before the write returns.
func (c *client) send(r *request, query []byte, fragmented bool) {
	k := c.current
	k.mu.Lock()
	r.firstOnConn = !k.used
	k.used = true
	k.mu.Unlock()
	c.run.log.add(r)
	if fragmented {
		cut := 1 + c.rng.IntN(len(query)-1)
		if _, err := k.Write(query[:cut]); err != nil {
			c.run.log.update(func() { r.unsent = true })
			return
		}
		time.Sleep(time.Duration(5+c.rng.IntN(45)) * time.Millisecond)
		query = query[cut:]
	}
	if !k.enqueue(r) {
		return
	}
	if _, err := k.Write(query); err != nil {
		c.run.log.update(func() { r.unsent = true })
	}
}

// await returns once no request is pending, the driver has ended the connection, or ctx ends.
func (c *client) await(ctx context.Context) {
	k := c.current
	for ctx.Err() == nil {
		k.mu.Lock()
		waiting := len(k.queue)
		k.mu.Unlock()
		select {
		case <-k.ended:
			c.current = nil
			return
		default:
		}
		if waiting == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// disconnect sends some requests and closes the connection before their answers, sometimes in the middle of a request.
func (c *client) disconnect(ctx context.Context) {
	k := c.current
	for range 1 + c.rng.IntN(3) {
		r, query := c.next()
		c.send(r, query, false)
	}
	if c.rng.IntN(3) == 0 {
		_, query := c.next()
		k.Write(query[:len(query)/2])
	}
	select {
	case <-time.After(time.Duration(c.rng.IntN(20)) * time.Millisecond):
	case <-ctx.Done():
	}
	k.Close() // the reader completes pending requests with outcomeLeft
	<-k.ended
	c.current = nil
}

// burst sends hundreds of requests at once, more than the driver reads ahead of its answers or the sockets hold, and closes
// the connection before most of their answers.
func (c *client) burst(ctx context.Context) {
	k := c.current
	var all []byte
	for range 200 + c.rng.IntN(2000) {
		r, query := c.next()
		r.notAwaited = true
		c.run.log.add(r)
		if !k.enqueue(r) {
			break
		}
		all = append(all, query...)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		k.Write(all)
	}()
	select {
	case <-time.After(time.Duration(50+c.rng.IntN(250)) * time.Millisecond):
	case <-ctx.Done():
	}
	k.Close()
	<-written
	<-k.ended
	c.current = nil
}

// crowd holds as many idle connections to a driver as it can get, until ctx ends. Only every other one sends a startup
// message.
func (r *run) crowd(ctx context.Context, p *driverProcess) {
	var held []net.Conn
	defer func() {
		for _, nc := range held {
			nc.Close()
		}
	}()
	for ctx.Err() == nil {
		for len(held) < 2*maxDescriptors && r.dialCtx.Err() == nil {
			nc, err := net.DialTimeout("tcp", p.config.Listen, 100*time.Millisecond)
			if err != nil {
				break
			}
			if len(held)%2 == 0 {
				nc.Write(catalog.AppendStartup(nil))
			}
			held = append(held, nc)
		}
		held = r.stillOpen(held)
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stillOpen closes the connections that the driver has ended and returns the others.
func (r *run) stillOpen(all []net.Conn) (open []net.Conn) {
	buffer := make([]byte, 512)
	for _, nc := range all {
		nc.SetReadDeadline(time.Now().Add(10 * time.Microsecond))
		if _, err := nc.Read(buffer); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			nc.Close()
			continue
		}
		open = append(open, nc)
	}
	return open
}
