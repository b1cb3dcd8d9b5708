// Package catalog simulates on loopback the peers of a driver on the operators' shared platform: members, the discovery
// agent and clients. The caller sets member states, scripts and faults; members answer simple queries of the PostgreSQL
// protocol with fixed values and record the requests, the agent serves the member list over HTTP, and the client functions
// return request texts and parsed replies. The tests of package platform and the package lab/soak call it.
package catalog

import (
	"fmt"
	"net"
	"regexp"
	"sync"
	"time"

	"umberladder/pgwire"
)

// maxMessageBytes is the maximum length of a message to a member.
const maxMessageBytes = 1 << 20

// Request is one request that a member received.
type Request struct {
	ID   string
	Text string
	At   time.Time // when its last byte was read
	Conn int       // number of the connection at the member, from 1
}

// Script answers a request on c in place of the member, and reports whether it did; if not, the member answers. n is the
// number of requests since the start or the last Reset, this one included. Calls may be concurrent.
type Script func(n int, id string, c net.Conn) (answered bool)

// Member is one simulated member with a listener of its own. All methods may be called from any goroutine.
type Member struct {
	UID     string
	Primary bool

	mu         sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]bool // value: a request is being answered on the connection
	opened     int
	requests   []Request
	script     Script
	hung       chan struct{} // closed when Hang ends; nil while the member does not hang
	goroutines sync.WaitGroup
}

// NewMember starts a member on a free loopback port. An error means that it could not listen.
func NewMember(uid string, primary bool) (*Member, error) {
	m := &Member{UID: uid, Primary: primary, conns: map[net.Conn]bool{}}
	return m, m.listen()
}

func (m *Member) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("stand-in member: %w", err)
	}
	m.mu.Lock()
	m.listener = l
	m.mu.Unlock()
	m.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[c] = false
			m.opened++
			number := m.opened
			m.mu.Unlock()
			m.goroutines.Go(func() { m.serve(c, number) })
		}
	})
	return nil
}

// Address returns the member's listen address, host:port. It changes with Restart.
func (m *Member) Address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener.Addr().String()
}

// Close ends the member and its connections, and returns when its goroutines have ended.
func (m *Member) Close() {
	m.Hang(false)
	m.closeSockets()
	m.goroutines.Wait()
}

// closeSockets closes the listener and all connections.
func (m *Member) closeSockets() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener.Close()
	for c := range m.conns {
		c.Close()
	}
}

// Restart closes the member's listener and connections and listens at a new address. An error means that it could not
// listen.
func (m *Member) Restart() error {
	m.closeSockets()
	return m.listen()
}

// CloseIdle closes the connections on which no request is in flight.
func (m *Member) CloseIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, busy := range m.conns {
		if !busy {
			c.Close()
		}
	}
}

// Hang makes the member, while on, accept connections and requests without answering them.
func (m *Member) Hang(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case on && m.hung == nil:
		m.hung = make(chan struct{})
	case !on && m.hung != nil:
		close(m.hung)
		m.hung = nil
	}
}

// waitWhileHung blocks while the member hangs.
func (m *Member) waitWhileHung() {
	m.mu.Lock()
	hung := m.hung
	m.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// OpenConns returns the number of open connections.
func (m *Member) OpenConns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// SetScript sets the script that answers further requests; nil for the member's own answers.
func (m *Member) SetScript(s Script) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.script = s
}

// Requests returns the requests received since the start or the last Reset, in order.
func (m *Member) Requests() []Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Request(nil), m.requests...)
}

// Reset clears the record of requests.
func (m *Member) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests = nil
}

var idPattern = regexp.MustCompile(`id=(\w+),`)

func (m *Member) serve(c net.Conn, number int) {
	defer func() {
		c.Close()
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
	}()
	r := pgwire.NewReader(c, maxMessageBytes)
	if _, err := r.NextStartup(); err != nil {
		return
	}
	m.waitWhileHung()
	c.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthOK(nil), pgwire.TxIdle))
	for {
		typ, body, err := r.Next()
		if err != nil || typ != pgwire.MsgQuery {
			return
		}
		text, err := pgwire.ParseString(typ, body)
		if err != nil {
			return
		}
		m.answerQuery(c, number, text)
	}
}

// answerQuery answers an empty query, a probe (SHOW gauges) or a request, which it also records.
func (m *Member) answerQuery(c net.Conn, number int, text string) {
	if text == "" {
		m.waitWhileHung()
		c.Write(pgwire.AppendReadyForQuery(pgwire.AppendEmpty(nil, pgwire.MsgEmptyQueryResponse), pgwire.TxIdle))
		return
	}
	if text == "SHOW gauges" {
		m.waitWhileHung()
		now := float64(time.Now().UnixMicro()) / 1e6
		c.Write(m.AppendReady(Row(fmt.Sprintf("x0=%.6f,x1=%d,util=0.1", now, bit(m.Primary)))))
		return
	}
	id := ""
	if found := idPattern.FindStringSubmatch(text); found != nil {
		id = found[1]
	}
	m.mu.Lock()
	m.requests = append(m.requests, Request{ID: id, Text: text, At: time.Now(), Conn: number})
	n, script := len(m.requests), m.script
	m.conns[c] = true
	m.mu.Unlock()
	m.waitWhileHung()
	if script == nil || !script(n, id, c) {
		c.Write(m.Answer(id))
	}
	m.mu.Lock()
	m.conns[c] = false
	m.mu.Unlock()
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

var column = []pgwire.Column{{Name: "body", Type: pgwire.OIDBytea, Size: -1, Mod: -1, Format: 1}}

// Row returns the messages of an answer with one row of one value, from RowDescription to CommandComplete.
func Row(value string) []byte {
	b := pgwire.AppendDataRow(pgwire.AppendRowDescription(nil, column), [][]byte{[]byte(value)})
	return pgwire.AppendCommandComplete(b, "SELECT 1")
}

// AppendReady appends the end of an answer: the member's role and the time up to which its data is current, as
// ParameterStatus, and ReadyForQuery.
func (m *Member) AppendReady(b []byte) []byte {
	role := "replica"
	if m.Primary {
		role = "master"
	}
	b = pgwire.AppendParameterStatus(b, "part", role)
	b = pgwire.AppendParameterStatus(b, "caught_up_to", fmt.Sprint(time.Now().UnixMilli()))
	return pgwire.AppendReadyForQuery(b, pgwire.TxIdle)
}

// Value returns the value with which members answer the request of an id.
func Value(id string) string { return "value of " + id }

// Answer returns the member's complete answer to the request of an id.
func (m *Member) Answer(id string) []byte { return m.AppendReady(Row(Value(id))) }
