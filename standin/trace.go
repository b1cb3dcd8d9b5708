package standin

import (
	"sync"
	"time"

	"umberladder/position"
)

// Kind is what a recorded statement was.
type Kind uint8

// The kinds of statement.
const (
	KindFacts Kind = iota
	KindRead
	KindWrite
	KindOther
	KindGuard // before a write
)

// Statement is one statement that reached a node. Its tag is the client's own mark for the request.
type Statement struct {
	Node     string
	Driver   string // the user that the connection presented itself as
	Conn     uint64
	Kind     Kind
	Tag      string
	Key      string
	Arrived  time.Time
	Ended    time.Time // when its answer was written or its connection ended; zero while it is out
	Canceled time.Time // when a cancel request for its connection came; zero for none
	Ran      bool      // it took effect, or read
	Code     string    // SQLSTATE of a refusal
	Position position.Position
	Replica  bool
	Over     uint64 // of a read: every transaction below it is over and shown on the node; 0 for other statements
}

// Start is one start of a node's process.
type Start struct {
	Node string
	At   time.Time
	Cold bool
}

// Trace is everything that reached the nodes of a run, in order of arrival.
type Trace struct {
	mu         sync.Mutex
	statements []*Statement
	starts     []Start
	conns      map[string]int // open connections by node
	opened     int
	opens      []Open
}

// Open is one connection that a node took.
type Open struct {
	Node string
	At   time.Time
}

// Opens lists all connections that there have been, in order.
func (t *Trace) Opens() []Open {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Open(nil), t.opens...)
}

// NewTrace begins an empty record.
func NewTrace() *Trace { return &Trace{conns: map[string]int{}} }

// Statements is a copy of what came so far.
func (t *Trace) Statements() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Statement, len(t.statements))
	for i, s := range t.statements {
		all[i] = *s
	}
	return all
}

// Starts lists the starts of nodes after their first.
func (t *Trace) Starts() []Start {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Start(nil), t.starts...)
}

// Open is how many connections are open, to all nodes.
func (t *Trace) Open() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		n += c
	}
	return n
}

// Opened is how many connections there have been.
func (t *Trace) Opened() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened
}

func (t *Trace) connected(node string, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[node] += by
	if by > 0 {
		t.opened++
		t.opens = append(t.opens, Open{node, time.Now()})
	}
}

func (t *Trace) arrived(s *Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Arrived = time.Now() // under the lock, so that the record is in order of arrival
	t.statements = append(t.statements, s)
}

// change alters a recorded statement.
func (t *Trace) change(s *Statement, how func(*Statement)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	how(s)
}

func (t *Trace) started(s Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts = append(t.starts, s)
}

// Replace puts statements and starts in the place of what was recorded, for tests of what judges a trace.
func (t *Trace) Replace(statements []Statement, starts []Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statements, t.starts = nil, starts
	for i := range statements {
		t.statements = append(t.statements, &statements[i])
	}
}
