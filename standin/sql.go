package standin

import (
	"cmp"
	"encoding/binary"
	"strconv"
	"strings"
	"sync"
	"time"

	"umberladder/pgwire"
	"umberladder/position"
)

// sqlForm is one of the few statements that stand-ins understand, told by how it begins.
type sqlForm struct {
	prefix  string
	kind    Kind
	columns []pgwire.Column
	params  []uint32
}

func column(name string, oid uint32, size int16) pgwire.Column {
	return pgwire.Column{Name: name, Type: oid, Size: size, Mod: -1}
}

var forms = []sqlForm{
	{"select pg_is_in_recovery", KindFacts, []pgwire.Column{column("replica", pgwire.OIDBool, 1),
		column("lsn", pgwire.OIDPgLSN, 8), column("timeline", pgwire.OIDInt4, 4), column("snapshot", pgwire.OIDText, -1),
		column("received", pgwire.OIDPgLSN, 8), column("isolation", pgwire.OIDText, -1), column("clock", pgwire.OIDInt8, 8)}, nil},
	// The guard before a write: $1 is the least timeline, $2 the node's time until which it holds, $3 the cluster.
	{"select 1/(case when not pg_is_in_recovery()", KindGuard, []pgwire.Column{column("x", pgwire.OIDInt4, 4)}, []uint32{pgwire.OIDInt4, pgwire.OIDInt8, pgwire.OIDInt8}},
	// Reads by a volatile function that looks at the table at its end: with read committed, its snapshot is then.
	{"select value, lsn from kv_late(", KindRead, []pgwire.Column{column("value", pgwire.OIDText, -1),
		column("lsn", pgwire.OIDInt8, 8)}, []uint32{pgwire.OIDText, pgwire.OIDText}},
	// Reads: $1 is the key, $2 the client's mark. The snapshot is taken as the statement begins.
	{"select value, lsn from kv", KindRead, []pgwire.Column{column("value", pgwire.OIDText, -1),
		column("lsn", pgwire.OIDInt8, 8)}, []uint32{pgwire.OIDText, pgwire.OIDText}},
	// Writes: $1 is the key, $2 the value, which is also the mark, $3 the idempotency key if there is one.
	{"insert into kv", KindWrite, nil, []uint32{pgwire.OIDText, pgwire.OIDText}},
	// Many rows: $1 is how many, $2 the mark.
	{"select n from generate_series", KindRead, []pgwire.Column{column("n", pgwire.OIDInt8, 8)},
		[]uint32{pgwire.OIDInt8, pgwire.OIDText}},
	// Long rows: $1 is how many, $2 the mark, which each repeats $3 times.
	{"select repeat($2, $3) from generate_series", KindRead, []pgwire.Column{column("long", pgwire.OIDText, -1)},
		[]uint32{pgwire.OIDInt8, pgwire.OIDText, pgwire.OIDInt8}},
	{"select 1/0", KindOther, []pgwire.Column{column("x", pgwire.OIDInt4, 4)}, nil},
	{"begin", KindOther, nil, nil},
	{"copy", KindOther, nil, nil},
	{"set default_transaction_isolation to 'repeatable read'", KindOther, nil, nil},
}

// known holds the forms of texts seen before, as the same ones come again and again.
var known sync.Map

func formOf(sql string) *sqlForm {
	if f, ok := known.Load(sql); ok {
		return f.(*sqlForm)
	}
	f := findForm(sql)
	if len(sql) < 4096 {
		known.Store(strings.Clone(sql), f)
	}
	return f
}

func findForm(sql string) *sqlForm {
	words := strings.ToLower(strings.Join(strings.Fields(sql), " "))
	for i := range forms {
		if strings.HasPrefix(words, forms[i].prefix) {
			return &forms[i]
		}
	}
	return nil
}

func columnsOf(sql string) []pgwire.Column {
	if f := formOf(sql); f != nil {
		return append([]pgwire.Column(nil), f.columns...)
	}
	return nil
}

func paramTypes(sql string) []uint32 {
	f := formOf(sql)
	if f == nil {
		return nil
	}
	types := append(append([]uint32(nil), f.params...), pgwire.OIDText)
	n := 0
	for n < len(types) && strings.Contains(sql, "$"+strconv.Itoa(n+1)) {
		n++
	}
	return types[:n]
}

// facts is what a node says of itself.
type facts struct {
	replica  bool
	at       position.Position
	snapshot string
	received uint64 // of a replica
}

func (n *Node) facts() facts {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	f := facts{replica: !n.believes, at: n.branch.at(n.applied), snapshot: n.snapshot()}
	if f.replica {
		f.received = n.received()
	}
	return f
}

// statement runs one statement of a portal and appends its answer.
func (s *session) statement(p portal, st *Statement) error {
	f := formOf(p.sql)
	if f == nil {
		return s.fault("42601", "this stand-in does not understand the statement")
	}
	if f.kind != KindFacts && f.kind != KindGuard {
		s.finish()
		s.running = st
	}
	if s.repeatable && s.snap == nil {
		snap := s.node.look() // with the transaction's first statement, whatever it is
		s.snap = &snap
	}
	if !s.node.gate(s.run) {
		return cutError{}
	}
	s.node.mu.Lock()
	refusing := s.node.refusing
	s.node.mu.Unlock()
	if refusing != "" {
		s.note(st, func(st *Statement) { st.Code = refusing })
		if strings.HasPrefix(refusing, "57P0") && refusing != "57P03" {
			s.fatal(refusing, "terminating connection due to administrator command")
			return cutError{}
		}
		return s.fault(refusing, "refused")
	}
	switch f.kind {
	case KindGuard:
		return s.runGuard(p, st)
	case KindFacts:
		return s.runFacts(p, st, strings.Contains(p.sql, "pg_stat_replication"), strings.Contains(p.sql, "pg_read_file"))
	case KindRead:
		return s.runRead(f, p, st)
	case KindWrite:
		return s.runWrite(p, st)
	}
	switch f.prefix {
	case "begin":
		s.tx = pgwire.TxOpen
		s.out = pgwire.AppendCommandComplete(s.out, "BEGIN")
	case "set default_transaction_isolation to 'repeatable read'":
		s.repeatable = true
		s.out = pgwire.AppendCommandComplete(s.out, "SET")
	case "copy":
		s.out = append(s.out, pgwire.MsgCopyInResponse, 0, 0, 0, 7, 0, 0, 0)
		return s.flush()
	default:
		return s.fault("22012", "division by zero")
	}
	return nil
}

func (s *session) note(st *Statement, how func(*Statement)) { s.node.group.trace.change(st, how) }

// runGuard fails unless the node is a primary of a timeline no older than the one given, before the time given.
func (s *session) runGuard(p portal, st *Statement) error {
	f := s.node.facts()
	timeline, _ := strconv.ParseUint(p.arg(0), 10, 32)
	until, err := strconv.ParseInt(p.arg(1), 10, 64)
	switch {
	case f.replica:
		s.note(st, func(st *Statement) { st.Code = "55000" })
		return s.fault("55000", "recovery is in progress")
	case uint64(f.at.Timeline) < timeline, p.arg(2) != "" && p.arg(2) != strconv.FormatUint(s.node.system(), 10), err == nil && s.node.clock().UnixMicro() > until:
		s.note(st, func(st *Statement) { st.Code = "22012" })
		return s.fault("22012", "division by zero")
	}
	s.note(st, func(st *Statement) { st.Ran, st.Ended = true, time.Now() })
	s.row(p, []pgwire.Column{{}}, "1")
	s.out = pgwire.AppendCommandComplete(s.out, "SELECT 1")
	return nil
}

func (s *session) runFacts(p portal, st *Statement, asks, history bool) error {
	f := s.node.facts()
	replica := "f"
	if f.replica {
		replica = "t"
	}
	lsn := lsnText(f.at.LSN)
	values := []string{replica, lsn, strconv.FormatUint(uint64(f.at.Timeline), 10), f.snapshot, null, map[bool]string{true: "repeatable read", false: "read committed"}[s.snap != nil],
		strconv.FormatInt(s.node.clock().UnixMicro(), 10)}
	s.note(st, func(st *Statement) { st.Position, st.Replica, st.Ended = f.at, f.replica, time.Now() })
	if f.replica {
		values[4] = lsnText(f.received)
	}
	if asks {
		past := null
		if history {
			past = s.node.history(f.at.Timeline)
		}
		values = append(values, past, s.node.standbys(), strconv.FormatUint(s.node.system(), 10), cmp.Or(s.node.upstream(), null))
	}
	s.row(p, make([]pgwire.Column, len(values)), values...)
	s.out = pgwire.AppendCommandComplete(s.out, "SELECT 1")
	return nil
}

// null stands for a value that is NULL.
const null = "\x00"

// lsnText is PostgreSQL's form of an LSN.
func lsnText(lsn uint64) string {
	_, text, _ := strings.Cut(position.Position{LSN: lsn}.String(), ":")
	return text
}

func (s *session) row(p portal, columns []pgwire.Column, values ...string) {
	row := make([][]byte, len(values))
	for i, v := range values {
		if v == null {
			continue
		}
		row[i] = []byte(v)
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && formatAt(p.formats, i) == 1 && columns[i].Type == pgwire.OIDInt8 {
			row[i] = binary.BigEndian.AppendUint64(nil, uint64(n))
		}
	}
	s.out = pgwire.AppendDataRow(s.out, row)
}

func (s *session) runRead(f *sqlForm, p portal, st *Statement) error {
	snap, ok := s.read(strings.Contains(f.prefix, "kv_late"))
	if !ok {
		return cutError{}
	}
	value, lsn, found := snap.value(p.arg(0))
	s.note(st, func(st *Statement) {
		st.Ran, st.Position, st.Replica, st.Over = true, snap.at(), snap.replica, snap.over
	})
	if strings.Contains(f.prefix, "generate_series") {
		return s.series(f, p)
	}
	rows := 0
	if found {
		rows = 1
		s.row(p, f.columns, value, strconv.FormatUint(lsn, 10))
	}
	s.out = pgwire.AppendCommandComplete(s.out, "SELECT "+strconv.Itoa(rows))
	return nil
}

// read does a read's work and takes its snapshot: as it begins or ends, or with the transaction's first statement
// where that is repeatable read.
func (s *session) read(late bool) (snap snapshot, ok bool) {
	n := s.node
	if !n.hold(s.run) {
		return snap, false
	}
	defer n.free()
	if snap = n.look(); s.snap != nil {
		snap = *s.snap
	}
	if !n.toil(s.run, n.cfg.readCost()) {
		return snap, false
	}
	if late && s.snap == nil {
		snap = n.look()
	}
	return snap, true
}

func (s *session) series(f *sqlForm, p portal) error {
	count, long := p.arg(0), ""
	n, _ := strconv.Atoi(count)
	if times, err := strconv.Atoi(p.arg(2)); err == nil && strings.HasPrefix(f.prefix, "select repeat") {
		long = strings.Repeat(p.arg(1), times)
	}
	for i := range n {
		s.row(p, f.columns, cmp.Or(long, strconv.Itoa(i+1)))
		if len(s.out) > 1<<14 {
			if err := s.flush(); err != nil {
				return err
			}
		}
	}
	s.out = pgwire.AppendCommandComplete(s.out, "SELECT "+count)
	return nil
}

func (s *session) runWrite(p portal, st *Statement) error {
	n := s.node
	if n.facts().replica {
		s.note(st, func(st *Statement) { st.Code, st.Replica = "25006", true })
		return s.fault("25006", "cannot execute INSERT in a read-only transaction")
	}
	if !n.work(s.run, n.cfg.drawn(n.cfg.Write)) {
		return cutError{}
	}
	if n.facts().replica {
		s.note(st, func(st *Statement) { st.Code, st.Replica = "25006", true })
		return s.fault("25006", "cannot execute INSERT in a read-only transaction")
	}
	xid := n.begin()
	at, ran := n.group.write(n, xid, p.arg(0), p.arg(1), p.arg(2))
	s.note(st, func(st *Statement) { st.Ran, st.Position = ran, at })
	if ran && !n.settle(s.run, at) {
		return cutError{}
	}
	n.end(xid, at)
	s.out = pgwire.AppendCommandComplete(s.out, "INSERT 0 1")
	return nil
}
