package standin

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"umberladder/pgwire"
)

// session is one connection that a node serves.
type session struct {
	node   *Node
	run    *run
	nc     net.Conn
	id     uint64
	ending string // the SQLSTATE with which it ends, "" for none
	secret uint32
	user   string

	reader     *pgwire.Reader
	out        []byte
	sent       int
	statements map[string]pgwire.ParseMsg
	portals    map[string]portal
	failed     bool // an error came: all up to Sync is void
	tx         byte
	repeatable bool       // transactions are repeatable read unless they say otherwise
	snap       *snapshot  // of the transaction, where it is repeatable read
	running    *Statement // what is being run or was last
	told       string     // the position last told by parameter

	heard time.Time // when the last message came
	deaf  bool      // it was lost unseen
	due   time.Time // when the link lets the last through

	current *Statement // what arrived last, under the trace's lock: cancel requests hit it
}

// queued is one message with when it arrived. A node that hangs has received it all the same.
type queued struct {
	typ  byte
	body []byte
	st   *Statement // for what runs a statement
	due  time.Time  // when a slow link lets it through
}

// receive reads messages as they arrive, whatever the node is doing, and notes the statements among them.
func (s *session) receive(queue chan<- queued) {
	defer close(queue)
	statements, portals := map[string]pgwire.ParseMsg{}, map[string]portal{}
	for {
		typ, body, err := s.reader.Next()
		if err != nil || typ == pgwire.MsgTerminate {
			return
		}
		m := queued{typ: typ, body: append([]byte(nil), body...)}
		switch typ {
		case pgwire.MsgParse:
			if p, err := pgwire.ParseParse(m.body); err == nil {
				statements[p.Name] = p
			}
		case pgwire.MsgBind:
			if b, err := pgwire.ParseBind(m.body); err == nil {
				portals[b.Portal] = portalOf(statements[b.Statement], b)
			}
		case pgwire.MsgExecute:
			if e, err := pgwire.ParseExecute(m.body); err == nil {
				m.st = s.arrived(portals[e.Portal])
			}
		case pgwire.MsgQuery:
			if sql, err := pgwire.ParseString(typ, m.body); err == nil {
				m.st = s.arrived(portal{sql: sql})
			}
		}
		if !s.dropped() { // else as if it had been lost on the way
			m.due = s.due
			queue <- m
		}
	}
}

// dropped tells whether the connection was lost unseen, and sets when the link lets through what came.
func (s *session) dropped() bool {
	n := s.node
	n.mu.Lock()
	reap, link := n.reap, n.link
	n.mu.Unlock()
	now := time.Now()
	if reap > 0 && !s.heard.IsZero() && now.Sub(s.heard) > reap {
		s.deaf = true
	}
	if idle := now.Sub(s.heard); link != nil && !s.deaf && idle > time.Millisecond {
		delay, lost := link(s.user) // once for what comes together
		s.deaf = rand.Float64() < lost
		s.due = now.Add(delay)
	}
	s.heard = time.Now()
	return s.deaf
}

func (s *session) arrived(p portal) *Statement {
	st := &Statement{Node: s.node.Name, Driver: s.user, Conn: s.id, Kind: KindOther, Key: p.arg(0), Tag: p.arg(1)}
	if f := formOf(p.sql); f != nil {
		st.Kind = f.kind
	}
	s.node.group.trace.arrived(st)
	if st.Kind != KindFacts && st.Kind != KindGuard {
		s.note(st, func(st *Statement) { s.current = st })
	}
	return st
}

type portal struct {
	sql     string
	values  []string
	formats []int
}

// cutError ends a session whose connection was to be cut.
type cutError struct{}

func (cutError) Error() string { return "cut" }

func (s *session) serve() {
	defer s.nc.Close()
	defer s.finish()
	s.reader = pgwire.NewReader(s.nc, 1<<20)
	s.statements, s.portals, s.tx = map[string]pgwire.ParseMsg{}, map[string]portal{}, pgwire.TxIdle
	if !s.startup() || s.flush() != nil {
		return
	}
	queue := make(chan queued, 256)
	s.run.done.Add(1)
	go func() {
		defer s.run.done.Done()
		s.receive(queue)
	}()
	defer func() {
		s.nc.Close()
		for m := range queue {
			if s.unrun(m.st); m.st != nil && s.ending != "" {
				s.note(m.st, func(st *Statement) { st.Code = s.ending }) // its client was told before that nothing more runs
			}
		}
	}()
	for m := range queue {
		pause(s.run.ctx, time.Until(m.due))
		if s.message(m) != nil {
			return
		}
	}
}

// unrun notes that a statement will never run: its session is over.
func (s *session) unrun(st *Statement) {
	if st != nil {
		s.note(st, func(st *Statement) { st.Ended = time.Now() })
	}
}

// finish notes that what was running has nobody left to answer.
func (s *session) finish() {
	if c := s.running; c != nil {
		s.node.group.trace.change(c, func(c *Statement) {
			if c.Ended.IsZero() {
				c.Ended = time.Now()
			}
		})
	}
}

func (s *session) startup() bool {
	n := s.node
	var params map[string]string
	for params == nil {
		body, err := s.reader.NextStartup()
		if err != nil {
			return false
		}
		st, err := pgwire.ParseStartup(body)
		switch {
		case err != nil:
			return false
		case st.TLS:
			if _, err := s.nc.Write([]byte{'N'}); err != nil {
				return false
			}
		case st.Cancel != nil:
			n.canceled(st.Cancel)
			return false
		default:
			params = st.Params
		}
	}
	s.user = params["user"]
	level, told := params["default_transaction_isolation"]
	s.repeatable = told && level != "read committed" || !told && n.cfg.Repeatable
	if !n.gate(s.run) {
		return false
	}
	n.mu.Lock()
	refusing, conns, most, greeting := n.refusing, len(n.conns), n.cfg.MaxConns, n.greeting
	if n.cap > 0 {
		most = n.cap
	}
	n.mu.Unlock()
	pause(s.run.ctx, greeting+n.greets())
	if most > 0 && conns > most {
		refusing = "53300"
	}
	if refusing != "" {
		s.fatal(refusing, "not accepting connections")
		return false
	}
	if n.cfg.Password != "" && !s.authenticate() {
		return false
	}
	s.out = pgwire.AppendAuthOK(s.out)
	for _, p := range [][2]string{{"server_version", "17.0"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}} {
		s.out = pgwire.AppendParameterStatus(s.out, p[0], p[1])
	}
	s.out = pgwire.AppendBackendKeyData(s.out, uint32(s.id), s.secret)
	s.ready()
	return true
}

func (s *session) fatal(code, text string) {
	s.ending = code
	s.out = pgwire.AppendErrorResponse(s.out, &pgwire.Error{Severity: "FATAL", Code: code, Message: text})
	s.flush()
}

func (s *session) authenticate() bool {
	v, err := pgwire.NewVerifier(s.node.cfg.Password)
	if err != nil {
		return false
	}
	s.out = pgwire.AppendAuthSASL(s.out, pgwire.MechanismSCRAM)
	for step := 0; ; step++ {
		if s.flush() != nil {
			return false
		}
		typ, data, err := s.reader.Next()
		if err != nil || typ != pgwire.MsgPassword {
			return false
		}
		if step == 0 {
			first, err := pgwire.ParseSASLInitial(data)
			if err != nil || first.Mechanism != pgwire.MechanismSCRAM {
				return false
			}
			data = first.Data
		}
		answer, done, err := v.Step(data)
		if err != nil {
			s.fatal("28P01", "password authentication failed")
			return false
		}
		if done {
			s.out = pgwire.AppendAuthSASLFinal(s.out, answer)
			return true
		}
		s.out = pgwire.AppendAuthSASLContinue(s.out, answer)
	}
}

// canceled notes a cancel request for what a connection runs. Stand-ins don't stop work for it.
func (n *Node) canceled(c *pgwire.Cancel) {
	n.mu.Lock()
	s := n.conns[uint64(c.PID)]
	n.mu.Unlock()
	if s == nil || s.secret != c.Key {
		return
	}
	n.group.trace.mu.Lock()
	defer n.group.trace.mu.Unlock()
	if s.current != nil && s.current.Canceled.IsZero() {
		s.current.Canceled = time.Now()
	}
}

func (s *session) flush() error {
	s.node.mu.Lock()
	cut := s.node.cut
	s.node.mu.Unlock()
	out := s.out
	s.out = s.out[:0]
	if link := s.way(); link != nil && len(out) > 0 {
		delay, _ := link(s.user)
		pause(s.run.ctx, delay)
	}
	if cut > 0 && s.sent+len(out) > cut {
		s.nc.Write(out[:max(0, min(len(out), cut-s.sent))])
		return cutError{}
	}
	s.sent += len(out)
	_, err := s.nc.Write(out)
	return err
}

func (s *session) way() Link {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.link
}

// ready appends ReadyForQuery, before it the position where the node tells it by parameter.
func (s *session) ready() {
	if s.node.cfg.Params {
		f := s.node.facts()
		if told := fmt.Sprintf("%v %s %s %d", f.replica, f.at, f.snapshot, f.received); told != s.told {
			s.told = told
			standby := map[bool]string{true: "on", false: "off"}[f.replica]
			s.out = pgwire.AppendParameterStatus(s.out, "in_hot_standby", standby)
			s.out = pgwire.AppendParameterStatus(s.out, "umberladder.position", f.at.String())
			s.out = pgwire.AppendParameterStatus(s.out, "umberladder.xid", f.snapshot)
			s.out = pgwire.AppendParameterStatus(s.out, "umberladder.received", lsnText(f.received))
		}
	}
	s.out = pgwire.AppendReadyForQuery(s.out, s.tx)
}

// message handles one message; an error ends the session.
func (s *session) message(m queued) error {
	typ, body := m.typ, m.body
	if s.failed && typ != pgwire.MsgSync {
		if s.unrun(m.st); m.st != nil {
			s.note(m.st, func(st *Statement) { st.Code = "25P02" }) // an error stands before it
		}
		return nil
	}
	switch typ {
	case pgwire.MsgParse:
		return s.parse(body)
	case pgwire.MsgBind:
		return s.bind(body)
	case pgwire.MsgDescribe:
		return s.describe(body)
	case pgwire.MsgExecute:
		return s.execute(body, m.st)
	case pgwire.MsgClose:
		s.out = pgwire.AppendEmpty(s.out, pgwire.MsgCloseComplete)
	case pgwire.MsgFlush:
		return s.flush()
	case pgwire.MsgSync:
		s.failed, s.snap = false, nil
		s.ready()
		err := s.flush()
		s.finish()
		return err
	case pgwire.MsgQuery:
		return s.query(body, m.st)
	default:
		s.fatal("08P01", fmt.Sprintf("message %q is not understood", typ))
		return cutError{}
	}
	return nil
}

// fault answers with an error; what follows is void up to Sync.
func (s *session) fault(code, text string) error {
	s.out = pgwire.AppendErrorResponse(s.out, &pgwire.Error{Severity: "ERROR", Code: code, Message: text})
	s.failed = true
	return nil
}

func (s *session) parse(body []byte) error {
	m, err := pgwire.ParseParse(body)
	if err != nil {
		return err
	}
	s.statements[m.Name] = m
	s.out = pgwire.AppendEmpty(s.out, pgwire.MsgParseComplete)
	return nil
}

func (s *session) bind(body []byte) error {
	m, err := pgwire.ParseBind(body)
	if err != nil {
		return err
	}
	st, ok := s.statements[m.Statement]
	if !ok {
		return s.fault("26000", fmt.Sprintf("prepared statement %q does not exist", m.Statement))
	}
	s.portals[m.Portal] = portalOf(st, m)
	s.out = pgwire.AppendEmpty(s.out, pgwire.MsgBindComplete)
	return nil
}

func portalOf(st pgwire.ParseMsg, m pgwire.BindMsg) portal {
	p := portal{sql: st.SQL, formats: m.ResultFormats}
	for i, v := range m.Values {
		p.values = append(p.values, textOf(v, formatAt(m.Formats, i), st.Types, i))
	}
	return p
}

// arg is a parameter's text, "" if there is none.
func (p *portal) arg(i int) string {
	if i < len(p.values) {
		return p.values[i]
	}
	return ""
}

// formatAt is the format of item i: none told is text, one told holds for all.
func formatAt(formats []int, i int) int {
	switch len(formats) {
	case 0:
		return 0
	case 1:
		return formats[0]
	}
	if i < len(formats) {
		return formats[i]
	}
	return 0
}

// textOf is a value's text, whatever form it came in.
func textOf(v []byte, format int, types []uint32, i int) string {
	if format == 1 && len(v) == 8 && (i >= len(types) || types[i] != pgwire.OIDText) {
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(v)), 10)
	}
	return string(v)
}

func (s *session) describe(body []byte) error {
	m, err := pgwire.ParseTarget(pgwire.MsgDescribe, body)
	if err != nil {
		return err
	}
	sql, formats := "", []int(nil)
	if m.Kind == 'S' {
		st, ok := s.statements[m.Name]
		if !ok {
			return s.fault("26000", fmt.Sprintf("prepared statement %q does not exist", m.Name))
		}
		sql = st.SQL
		s.out = pgwire.AppendParameterDescription(s.out, paramTypes(sql))
	} else {
		p, ok := s.portals[m.Name]
		if !ok {
			return s.fault("34000", fmt.Sprintf("portal %q does not exist", m.Name))
		}
		sql, formats = p.sql, p.formats
	}
	columns := columnsOf(sql)
	if columns == nil {
		s.out = pgwire.AppendEmpty(s.out, pgwire.MsgNoData)
		return nil
	}
	for i := range columns {
		columns[i].Format = formatAt(formats, i)
	}
	s.out = pgwire.AppendRowDescription(s.out, columns)
	return nil
}

func (s *session) execute(body []byte, st *Statement) error {
	m, err := pgwire.ParseExecute(body)
	if err != nil {
		return err
	}
	p, ok := s.portals[m.Portal]
	if !ok {
		return s.fault("34000", fmt.Sprintf("portal %q does not exist", m.Portal))
	}
	return s.statement(p, st)
}

// query is the simple protocol: one statement without parameters.
func (s *session) query(body []byte, st *Statement) error {
	sql, err := pgwire.ParseString(pgwire.MsgQuery, body)
	if err != nil {
		return err
	}
	if columns := columnsOf(sql); columns != nil {
		s.out = pgwire.AppendRowDescription(s.out, columns)
	}
	if err := s.statement(portal{sql: sql}, st); err != nil {
		return err
	}
	s.failed, s.snap = false, nil
	s.ready()
	err = s.flush()
	s.finish()
	return err
}
