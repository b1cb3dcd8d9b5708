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

const mostMessage = 1 << 20

// clientKind is how a client behaves.
type clientKind uint8

// The kinds of clients.
const (
	clientSteady    clientKind = iota // asks, awaits the answer, and asks again
	clientPipelined                   // sends several requests at once
	clientIdle                        // asks once, rests, and asks again now and then
	clientPieces                      // writes its requests in pieces
	clientLeaves                      // goes away in the midst of requests
	clientKinds
)

// ending is how a request's wait ended.
type ending uint8

const (
	endingNone   ending = iota // nothing came while the driver lived
	endingValue                // served
	endingError                // refused or failed
	endingClosed               // the connection was closed
	endingReset                // the connection was reset
	endingLeft                 // the client went away
)

var endingNames = [...]string{"nothing", "a value", "an error", "a close", "a reset", "its client left"}

// request is one request as its client saw it.
type request struct {
	id       string
	write    bool
	driver   string
	deadline time.Duration
	first    bool      // of its connection
	sent     time.Time // when its last byte was written
	unsent   bool      // its last byte never was
	behind   time.Time // when the answer before it came on its connection; answers keep the order of requests
	end      ending
	at       time.Time // of the end
	code     string
	value    string
}

// book collects the requests of all clients.
type book struct {
	mu       sync.Mutex
	requests []*request
	extra    []string // answers that nobody asked for
	open     int      // connections to drivers
}

func (b *book) add(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

// all is a copy of all requests.
func (b *book) all() []request {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]request, len(b.requests))
	for i, r := range b.requests {
		out[i] = *r
	}
	return out
}

func (b *book) note(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// client is one client of a driver. It makes a new connection when its old one ended, while it may.
type client struct {
	run     *run
	kind    clientKind
	driver  *process
	name    string
	rng     *rand.Rand
	number  int
	current *connection
}

// connection is a client's connection with the requests that wait on it.
type connection struct {
	net.Conn
	book  *book
	over  chan struct{} // closed when the driver ended it
	mu    sync.Mutex
	queue []*request
	asked bool
	done  bool      // its end was read: what is sent from then on counts as not sent
	last  time.Time // when the last answer came
}

// dial opens a connection and starts to read it.
func (c *client) dial() (*connection, error) {
	nc, err := net.DialTimeout("tcp", c.driver.config.Listen, time.Second)
	if err != nil {
		return nil, err
	}
	k := &connection{Conn: nc, book: c.run.book, over: make(chan struct{})}
	k.book.note(func() { k.book.open++ })
	if _, err := nc.Write(catalog.AppendStartup(nil)); err != nil {
		nc.Close()
		k.book.note(func() { k.book.open-- })
		return nil, err
	}
	c.run.readers.Go(k.read)
	return k, nil
}

// read takes answers until the connection ends. The first reply is that to the startup.
func (k *connection) read() {
	defer close(k.over)
	defer k.book.note(func() { k.book.open-- })
	defer k.Close()
	r := pgwire.NewReader(k.Conn, mostMessage)
	for started := false; ; started = true {
		reply, err := catalog.ReadReply(r)
		if err != nil {
			k.ended(err, reply.Code)
			return
		}
		if started {
			k.answered(reply.Value, reply.Code)
		}
	}
}

// answered gives the oldest request that waits its answer.
func (k *connection) answered(value, code string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.note(func() {
		if len(k.queue) == 0 {
			k.book.extra = append(k.book.extra, fmt.Sprintf("value %q, code %q on a connection where nothing waited", value, code))
			return
		}
		r := k.queue[0]
		r.behind, k.last = k.last, time.Now()
		r.at, r.code, r.value, r.end = time.Now(), code, value, endingValue
		if code != "" {
			r.end = endingError
		}
	})
	if len(k.queue) > 0 {
		k.queue = k.queue[1:]
	}
}

// ended ends the requests that wait: by the error that came before the end, as one that refuses the connection is, or
// without an answer.
func (k *connection) ended(err error, code string) {
	end := endingClosed
	switch {
	case code != "":
		end = endingError
	case errors.Is(err, syscall.ECONNRESET):
		end = endingReset
	case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
		end = endingLeft
	case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		end = endingReset
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.note(func() {
		for _, r := range k.queue {
			r.at, r.code, r.end = time.Now(), code, end
		}
	})
	k.queue, k.done = nil, true
}

// await has a request that is about to be sent wait for its answer. It tells whether the connection still is there; else the request
// is marked as not sent.
func (k *connection) await(r *request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.note(func() { r.sent, r.unsent = time.Now(), k.done })
	if !k.done {
		k.queue = append(k.queue, r)
	}
	return !k.done
}

// live makes requests until ctx ends.
func (c *client) live(ctx context.Context) {
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
		case clientPieces:
			c.exchange(ctx, 1, true)
			c.pause(ctx, 60*time.Millisecond)
		case clientLeaves:
			c.leave(ctx)
			c.pause(ctx, 60*time.Millisecond)
		}
	}
}

// connect opens a connection as soon as the driver takes one; false once no new ones come any more.
func (c *client) connect(ctx context.Context) bool {
	for ctx.Err() == nil && c.run.dialing.Err() == nil {
		if k, err := c.dial(); err == nil {
			c.current = k
			return true
		}
		c.pause(ctx, 20*time.Millisecond)
	}
	return false
}

// pause waits for up to twice a time, or until ctx or the connection ends.
func (c *client) pause(ctx context.Context, mean time.Duration) {
	var over chan struct{}
	if c.current != nil {
		over = c.current.over
	}
	select {
	case <-time.After(time.Duration(2 * c.rng.Float64() * float64(mean))):
	case <-over:
		c.current = nil
	case <-ctx.Done():
	}
}

// next makes a request and its query.
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

// exchange sends some requests and awaits their answers.
func (c *client) exchange(ctx context.Context, count int, inPieces bool) {
	for range count {
		r, query := c.next()
		c.send(r, query, inPieces)
	}
	c.await(ctx)
}

// send writes a request and books it. A request is booked as sent before its last byte goes, as its answer may come
// before the write returns.
func (c *client) send(r *request, query []byte, inPieces bool) {
	k := c.current
	k.mu.Lock()
	r.first = !k.asked
	k.asked = true
	k.mu.Unlock()
	c.run.book.add(r)
	if inPieces {
		cut := 1 + c.rng.IntN(len(query)-1)
		if _, err := k.Write(query[:cut]); err != nil {
			c.run.book.note(func() { r.unsent = true })
			return
		}
		time.Sleep(time.Duration(5+c.rng.IntN(45)) * time.Millisecond)
		query = query[cut:]
	}
	if !k.await(r) {
		return
	}
	if _, err := k.Write(query); err != nil {
		c.run.book.note(func() { r.unsent = true })
	}
}

// await returns once nothing waits on the connection, the driver ended it, or ctx ends.
func (c *client) await(ctx context.Context) {
	k := c.current
	for ctx.Err() == nil {
		k.mu.Lock()
		waiting := len(k.queue)
		k.mu.Unlock()
		select {
		case <-k.over:
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

// leave sends some requests and goes away before their answers, at times in the midst of one.
func (c *client) leave(ctx context.Context) {
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
	k.Close() // its reader ends what waits as left
	<-k.over
	c.current = nil
}

// crowd holds idle connections to a driver, as many as it can get, until ctx ends.
func (r *run) crowd(ctx context.Context, p *process) {
	var held []net.Conn
	defer func() {
		for _, nc := range held {
			nc.Close()
		}
	}()
	for ctx.Err() == nil {
		for len(held) < 2*sockets && r.dialing.Err() == nil {
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

// stillOpen closes the connections that the driver has ended, and returns the others.
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
