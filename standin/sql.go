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

// sqlForm is one of the statements that nodes understand, recognized by its prefix.
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
	// Guard before a write: $1 is the lowest timeline allowed, $2 the deadline by the node's clock in Unix microseconds,
	// $3 the system identifier of the cluster.
	{"select 1/(case when not pg_is_in_recovery()", KindGuard, []pgwire.Column{column("x", pgwire.OIDInt4, 4)}, []uint32{pgwire.OIDInt4, pgwire.OIDInt8, pgwire.OIDInt8}},
	// Reads by a volatile function that reads the table at its end: with read committed, the snapshot is taken then.
	{"select value, lsn from kv_late(", KindRead, []pgwire.Column{column("value", pgwire.OIDText, -1),
		column("lsn", pgwire.OIDInt8, 8)}, []uint32{pgwire.OIDText, pgwire.OIDText}},
	// Reads: $1 is the key, $2 the client's tag. The snapshot is taken as the statement begins.
	{"select value, lsn from kv", KindRead, []pgwire.Column{column("value", pgwire.OIDText, -1),
		column("lsn", pgwire.OIDInt8, 8)}, []uint32{pgwire.OIDText, pgwire.OIDText}},
	// Writes: $1 is the key, $2 the value, which is also the tag, $3 the idempotency key if there is one.
	{"insert into kv", KindWrite, nil, []uint32{pgwire.OIDText, pgwire.OIDText}},
	// Many rows: $1 is the number of rows, $2 the tag.
	{"select n from generate_series", KindRead, []pgwire.Column{column("n", pgwire.OIDInt8, 8)},
		[]uint32{pgwire.OIDInt8, pgwire.OIDText}},
	// Long rows: $1 is the number of rows, each of which is the tag $2 repeated $3 times.
	{"select repeat($2, $3) from generate_series", KindRead, []pgwire.Column{column("long", pgwire.OIDText, -1)},
		[]uint32{pgwire.OIDInt8, pgwire.OIDText, pgwire.OIDInt8}},
	{"select 1/0", KindOther, []pgwire.Column{column("x", pgwire.OIDInt4, 4)}, nil},
	{"begin", KindOther, nil, nil},
	{"copy", KindOther, nil, nil},
	{"set default_transaction_isolation to 'repeatable read'", KindOther, nil, nil},
}

// formCache maps statement texts to their forms, as most texts recur.
var formCache sync.Map

func formOf(sql string) *sqlForm {
	if f, ok := formCache.Load(sql); ok {
		return f.(*sqlForm)
	}
	f := findForm(sql)
	if len(sql) < 4096 {
		formCache.Store(strings.Clone(sql), f)
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

// facts is a node's report of its role and log position.
type facts struct {
	replica  bool
	at       position.Position
	snapshot string
	received uint64 // LSN at the end of the log that a replica has received; 0 for a primary
}

func (n *Node) facts() facts {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	f := facts{replica: !n.actsAsPrimary, at: n.branch.position(n.applied), snapshot: n.currentSnapshot()}
	if f.replica {
		f.received = n.receivedLSN()
	}
	return f
}

// runStatement runs a portal's statement and appends its answer.
func (s *session) runStatement(p portal, st *Statement) error {
	f := formOf(p.sql)
	if f == nil {
		return s.appendError("42601", "statement not supported by this simulated node")
	}
	if f.kind != KindFacts && f.kind != KindGuard {
		s.endExecuting()
		s.executing = st
	}
	if s.repeatableRead && s.snap == nil {
		snap := s.node.takeSnapshot() // taken by the transaction's first statement, of any kind
		s.snap = &snap
	}
	if !s.node.waitResponsive(s.process) {
		return disconnectError{}
	}
	s.node.mu.Lock()
	code := s.node.refusalCode
	s.node.mu.Unlock()
	if code != "" {
		s.updateStatement(st, func(st *Statement) { st.Code = code })
		if strings.HasPrefix(code, "57P0") && code != "57P03" {
			s.sendFatal(code, "terminating connection due to administrator command")
			return disconnectError{}
		}
		return s.appendError(code, "refused")
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
		s.txStatus = pgwire.TxOpen
		s.out = pgwire.AppendCommandComplete(s.out, "BEGIN")
	case "set default_transaction_isolation to 'repeatable read'":
		s.repeatableRead = true
		s.out = pgwire.AppendCommandComplete(s.out, "SET")
	case "copy":
		s.out = append(s.out, pgwire.MsgCopyInResponse, 0, 0, 0, 7, 0, 0, 0)
		return s.flush()
	default:
		return s.appendError("22012", "division by zero")
	}
	return nil
}

func (s *session) updateStatement(st *Statement, change func(*Statement)) {
	s.node.group.trace.update(st, change)
}

// runGuard fails unless the node is a primary of the given cluster, on a timeline no lower than the given one, and its
// clock has not passed the deadline.
func (s *session) runGuard(p portal, st *Statement) error {
	f := s.node.facts()
	timeline, _ := strconv.ParseUint(p.arg(0), 10, 32)
	until, err := strconv.ParseInt(p.arg(1), 10, 64)
	switch {
	case f.replica:
		s.updateStatement(st, func(st *Statement) { st.Code = "55000" })
		return s.appendError("55000", "recovery is in progress")
	case uint64(f.at.Timeline) < timeline, p.arg(2) != "" && p.arg(2) != strconv.FormatUint(s.node.systemIdentifier(), 10), err == nil && s.node.clock().UnixMicro() > until:
		s.updateStatement(st, func(st *Statement) { st.Code = "22012" })
		return s.appendError("22012", "division by zero")
	}
	s.updateStatement(st, func(st *Statement) { st.Ran, st.Ended = true, time.Now() })
	s.row(p, []pgwire.Column{{}}, "1")
	s.out = pgwire.AppendCommandComplete(s.out, "SELECT 1")
	return nil
}

func (s *session) runFacts(p portal, st *Statement, extended, withHistory bool) error {
	f := s.node.facts()
	replica := "f"
	if f.replica {
		replica = "t"
	}
	lsn := lsnText(f.at.LSN)
	values := []string{replica, lsn, strconv.FormatUint(uint64(f.at.Timeline), 10), f.snapshot, null, map[bool]string{true: "repeatable read", false: "read committed"}[s.snap != nil],
		strconv.FormatInt(s.node.clock().UnixMicro(), 10)}
	s.updateStatement(st, func(st *Statement) { st.Position, st.Replica, st.Ended = f.at, f.replica, time.Now() })
	if f.replica {
		values[4] = lsnText(f.received)
	}
	if extended {
		past := null
		if withHistory {
			past = s.node.history(f.at.Timeline)
		}
		values = append(values, past, s.node.standbys(), strconv.FormatUint(s.node.systemIdentifier(), 10), cmp.Or(s.node.upstream(), null))
	}
	s.row(p, make([]pgwire.Column, len(values)), values...)
	s.out = pgwire.AppendCommandComplete(s.out, "SELECT 1")
	return nil
}

// null represents NULL among text values.
const null = "\x00"

// lsnText formats an LSN as PostgreSQL does.
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
		return disconnectError{}
	}
	value, lsn, found := snap.value(p.arg(0))
	s.updateStatement(st, func(st *Statement) {
		st.Ran, st.Position, st.Replica, st.XIDWatermark = true, snap.position(), snap.replica, snap.xidWatermark
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

// read spends a read's core time and returns its snapshot: taken at the read's start, at its end if late is set, or by the
// first statement of a repeatable read transaction. It returns false if the process has ended.
func (s *session) read(late bool) (snap snapshot, ok bool) {
	n := s.node
	if !n.acquireCore(s.process) {
		return snap, false
	}
	defer n.releaseCore()
	if snap = n.takeSnapshot(); s.snap != nil {
		snap = *s.snap
	}
	if !n.spendOnCore(s.process, n.cfg.readCost()) {
		return snap, false
	}
	if late && s.snap == nil {
		snap = n.takeSnapshot()
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
		s.updateStatement(st, func(st *Statement) { st.Code, st.Replica = "25006", true })
		return s.appendError("25006", "cannot execute INSERT in a read-only transaction")
	}
	if !n.useCore(s.process, n.cfg.drawCost(n.cfg.Write)) {
		return disconnectError{}
	}
	if n.facts().replica {
		s.updateStatement(st, func(st *Statement) { st.Code, st.Replica = "25006", true })
		return s.appendError("25006", "cannot execute INSERT in a read-only transaction")
	}
	xid := n.beginTransaction()
	at, ran := n.group.write(n, xid, p.arg(0), p.arg(1), p.arg(2))
	s.updateStatement(st, func(st *Statement) { st.Ran, st.Position = ran, at })
	if ran && !n.waitVisible(s.process, at) {
		return disconnectError{}
	}
	n.endTransaction(xid, at)
	s.out = pgwire.AppendCommandComplete(s.out, "INSERT 0 1")
	return nil
}
