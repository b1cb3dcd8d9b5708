// Package catalog plays what a driver on the operators' shared platform speaks to: members, which answer simple queries
// of PostgreSQL's protocol, and the discovery agent, which tells the list of members over HTTP. They record what
// reaches them and fail when told to. They are stand-ins on loopback and keep no data.
package catalog

import (
	"fmt"
	"net"
	"regexp"
	"sync"
	"time"

	"umberladder/pgwire"
)

// mostMessage is how long a message to a member may be, in bytes.
const mostMessage = 1 << 20

// Request is one request as it reached a member.
type Request struct {
	ID   string
	Text string
	At   time.Time // when its last byte had been read
	Conn int       // the member's number of the connection
}

// Script answers a request in place of the member, and tells whether it did. n counts the member's requests from 1.
type Script func(n int, id string, c net.Conn) (answered bool)

// Member answers requests on a socket of its own. All methods may be called from any goroutine.
type Member struct {
	UID     string
	Primary bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool // whether a request is being answered on it
	opened   int
	seen     []Request
	script   Script
	hung     chan struct{} // closed when it no longer hangs; nil if it does not
	work     sync.WaitGroup
}

// NewMember starts a member on a free port of the loopback address.
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
	m.work.Go(func() {
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
			m.work.Go(func() { m.serve(c, number) })
		}
	})
	return nil
}

// Address is where the member listens now, host:port.
func (m *Member) Address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener.Addr().String()
}

// Close ends the member, its connections and its goroutines.
func (m *Member) Close() {
	m.Hang(false)
	m.end()
	m.work.Wait()
}

// end closes the listener and all connections.
func (m *Member) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener.Close()
	for c := range m.conns {
		c.Close()
	}
}

// Restart ends the member's process and starts it at a new address.
func (m *Member) Restart() error {
	m.end()
	return m.listen()
}

// CloseIdle closes the connections on which no request is being answered.
func (m *Member) CloseIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, busy := range m.conns {
		if !busy {
			c.Close()
		}
	}
}

// Hang makes the member take everything and answer nothing, until told otherwise.
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

// waitWhileHung returns once the member does not hang.
func (m *Member) waitWhileHung() {
	m.mu.Lock()
	hung := m.hung
	m.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// Open is how many connections the member has.
func (m *Member) Open() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// SetScript has a script answer requests from now on; nil ends that.
func (m *Member) SetScript(s Script) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.script = s
}

// Requests lists what came since the start or the last Reset.
func (m *Member) Requests() []Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Request(nil), m.seen...)
}

// Reset forgets the requests that came.
func (m *Member) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen = nil
}

var idOf = regexp.MustCompile(`id=(\w+),`)

func (m *Member) serve(c net.Conn, number int) {
	defer func() {
		c.Close()
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
	}()
	r := pgwire.NewReader(c, mostMessage)
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

// answerQuery answers an empty query, a probe or a request.
func (m *Member) answerQuery(c net.Conn, number int, text string) {
	if text == "" {
		m.waitWhileHung()
		c.Write(pgwire.AppendReadyForQuery(pgwire.AppendEmpty(nil, pgwire.MsgEmptyQueryResponse), pgwire.TxIdle))
		return
	}
	if text == "SHOW gauges" {
		m.waitWhileHung()
		now := float64(time.Now().UnixMicro()) / 1e6
		c.Write(m.Ready(Row(fmt.Sprintf("x0=%.6f,x1=%d,util=0.1", now, bit(m.Primary)))))
		return
	}
	id := ""
	if found := idOf.FindStringSubmatch(text); found != nil {
		id = found[1]
	}
	m.mu.Lock()
	m.seen = append(m.seen, Request{ID: id, Text: text, At: time.Now(), Conn: number})
	n, script := len(m.seen), m.script
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

// Row is an answer's row up to CommandComplete.
func Row(value string) []byte {
	b := pgwire.AppendDataRow(pgwire.AppendRowDescription(nil, column), [][]byte{[]byte(value)})
	return pgwire.AppendCommandComplete(b, "SELECT 1")
}

// Ready ends an answer with what the member tells of itself.
func (m *Member) Ready(b []byte) []byte {
	role := "replica"
	if m.Primary {
		role = "master"
	}
	b = pgwire.AppendParameterStatus(b, "part", role)
	b = pgwire.AppendParameterStatus(b, "caught_up_to", fmt.Sprint(time.Now().UnixMilli()))
	return pgwire.AppendReadyForQuery(b, pgwire.TxIdle)
}

// Value is the value with which members answer a request.
func Value(id string) string { return "value of " + id }

// Answer is the whole answer to a request.
func (m *Member) Answer(id string) []byte { return m.Ready(Row(Value(id))) }
