package standin

import (
	"sync"
	"time"

	"umberladder/position"
)

// Kind is the kind of a recorded statement.
type Kind uint8

// The kinds of statements.
const (
	KindFacts Kind = iota // query for the node's role and log position
	KindRead
	KindWrite
	KindOther // any other statement, also one that the node does not understand
	KindGuard // check before a write
)

// Statement is one statement that reached a node.
type Statement struct {
	Node     string
	Driver   string // the user name given in the startup message
	Conn     uint64
	Kind     Kind
	Tag      string // the client's identifier of the request
	Key      string
	Arrived  time.Time
	Ended    time.Time         // when it was answered or its connection ended; zero while it is in flight
	Canceled time.Time         // when a cancel request for it was received; zero for none
	Ran      bool              // it read data or took effect
	Code     string            // SQLSTATE with which it was refused; "" if it was not
	Position position.Position // log position that a read or facts query saw, or that a write reached
	Replica  bool              // the node acted as a replica
	// XIDWatermark is set for a read: on a primary, the lowest transaction id in progress; on a replica, the lowest id above
	// every transaction visible there. It is 0 for other statements.
	XIDWatermark uint64
}

// Start is one cold start of a node's process; warm starts of new members are not recorded.
type Start struct {
	Node string
	At   time.Time
	Cold bool
}

// Trace records the statements and connections that reach the nodes of a run, in order of arrival. All methods may be
// called from any goroutine.
type Trace struct {
	mu          sync.Mutex
	statements  []*Statement
	starts      []Start
	openConns   map[string]int // number of open connections by node
	totalConns  int
	connections []Connection
}

// Connection is one connection that a node accepted.
type Connection struct {
	Node string
	At   time.Time
}

// Connections returns all connections that the nodes have accepted, in order.
func (t *Trace) Connections() []Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Connection(nil), t.connections...)
}

// NewTrace returns an empty trace.
func NewTrace() *Trace { return &Trace{openConns: map[string]int{}} }

// Statements returns a copy of the statements recorded so far.
func (t *Trace) Statements() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Statement, len(t.statements))
	for i, s := range t.statements {
		all[i] = *s
	}
	return all
}

// Starts returns the cold starts of nodes: restarts, and members added cold.
func (t *Trace) Starts() []Start {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Start(nil), t.starts...)
}

// OpenConns returns the number of connections open to all nodes.
func (t *Trace) OpenConns() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.openConns {
		n += c
	}
	return n
}

// TotalConns returns the number of connections that the nodes have accepted.
func (t *Trace) TotalConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totalConns
}

func (t *Trace) recordConns(node string, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConns[node] += by
	if by > 0 {
		t.totalConns++
		t.connections = append(t.connections, Connection{node, time.Now()})
	}
}

func (t *Trace) recordArrival(s *Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Arrived = time.Now() // under the lock, so that statements are recorded in order of arrival
	t.statements = append(t.statements, s)
}

// update modifies a recorded statement under the lock.
func (t *Trace) update(s *Statement, change func(*Statement)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(s)
}

func (t *Trace) recordStart(s Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts = append(t.starts, s)
}

// Replace replaces the recorded statements and starts, for tests of code that judges a trace.
func (t *Trace) Replace(statements []Statement, starts []Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statements, t.starts = nil, starts
	for i := range statements {
		t.statements = append(t.statements, &statements[i])
	}
}
