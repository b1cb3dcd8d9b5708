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

// session is one connection to a node.
type session struct {
	node      *Node
	process   *process
	nc        net.Conn
	id        uint64
	endCode   string // SQLSTATE of the fatal error that ended the session; "" for none
	cancelKey uint32
	user      string

	reader         *pgwire.Reader
	out            []byte // not yet sent
	sent           int    // bytes sent
	statements     map[string]pgwire.ParseMsg
	portals        map[string]portal
	failed         bool // after an error: messages up to Sync are ignored
	txStatus       byte
	repeatableRead bool       // transactions are repeatable read by default
	snap           *snapshot  // of the transaction if it is repeatable read
	executing      *Statement // the statement being run or run last, facts and guards excepted
	reportedFacts  string     // facts last reported by ParameterStatus

	lastReceived time.Time // time of the last received message
	lost         bool      // the connection was silently lost
	deliverAt    time.Time // when the link delivers the last message

	// lastArrived is the last statement received, facts and guards excepted. A cancel request applies to it. It is guarded
	// by the trace's lock.
	lastArrived *Statement
}

// queuedMessage is one message that was received and waits to be handled; a hung node receives messages too.
type queuedMessage struct {
	typ       byte
	body      []byte
	st        *Statement // of a message that runs a statement, else nil
	deliverAt time.Time  // when the link delivers it
}

// receive queues messages as they arrive, even while the node hangs, and records the statements among them.
func (s *session) receive(queue chan<- queuedMessage) {
	defer close(queue)
	statements, portals := map[string]pgwire.ParseMsg{}, map[string]portal{}
	for {
		typ, body, err := s.reader.Next()
		if err != nil || typ == pgwire.MsgTerminate {
			return
		}
		m := queuedMessage{typ: typ, body: append([]byte(nil), body...)}
		switch typ {
		case pgwire.MsgParse:
			if p, err := pgwire.ParseParse(m.body); err == nil {
				statements[p.Name] = p
			}
		case pgwire.MsgBind:
			if b, err := pgwire.ParseBind(m.body); err == nil {
				portals[b.Portal] = bindPortal(statements[b.Statement], b)
			}
		case pgwire.MsgExecute:
			if e, err := pgwire.ParseExecute(m.body); err == nil {
				m.st = s.recordArrival(portals[e.Portal])
			}
		case pgwire.MsgQuery:
			if sql, err := pgwire.ParseString(typ, m.body); err == nil {
				m.st = s.recordArrival(portal{sql: sql})
			}
		}
		if !s.updateLink() { // a message on a lost connection is discarded
			m.deliverAt = s.deliverAt
			queue <- m
		}
	}
}

// updateLink applies idle loss and the simulated link to a message just received. It sets the message's delivery time and
// reports whether the connection is lost.
func (s *session) updateLink() bool {
	n := s.node
	n.mu.Lock()
	idleLimit, link := n.idleLimit, n.link
	n.mu.Unlock()
	now := time.Now()
	if idleLimit > 0 && !s.lastReceived.IsZero() && now.Sub(s.lastReceived) > idleLimit {
		s.lost = true
	}
	if idle := now.Sub(s.lastReceived); link != nil && !s.lost && idle > time.Millisecond {
		delay, loss := link(s.user) // drawn once for messages that arrive together
		s.lost = rand.Float64() < loss
		s.deliverAt = now.Add(delay)
	}
	s.lastReceived = time.Now()
	return s.lost
}

func (s *session) recordArrival(p portal) *Statement {
	st := &Statement{Node: s.node.Name, Driver: s.user, Conn: s.id, Kind: KindOther, Key: p.arg(0), Tag: p.arg(1)}
	if f := formOf(p.sql); f != nil {
		st.Kind = f.kind
	}
	s.node.group.trace.recordArrival(st)
	if st.Kind != KindFacts && st.Kind != KindGuard {
		s.updateStatement(st, func(st *Statement) { s.lastArrived = st })
	}
	return st
}

type portal struct {
	sql     string
	values  []string
	formats []int
}

// disconnectError ends a session whose connection is closed on purpose or whose process has ended.
type disconnectError struct{}

func (disconnectError) Error() string { return "cut" }

func (s *session) serve() {
	defer s.nc.Close()
	defer s.endExecuting()
	s.reader = pgwire.NewReader(s.nc, 1<<20)
	s.statements, s.portals, s.txStatus = map[string]pgwire.ParseMsg{}, map[string]portal{}, pgwire.TxIdle
	if !s.startup() || s.flush() != nil {
		return
	}
	queue := make(chan queuedMessage, 256)
	s.process.goroutines.Add(1)
	go func() {
		defer s.process.goroutines.Done()
		s.receive(queue)
	}()
	defer func() {
		s.nc.Close()
		for m := range queue {
			if s.markNotRun(m.st); m.st != nil && s.endCode != "" {
				// The client learned from the fatal error that nothing more runs.
				s.updateStatement(m.st, func(st *Statement) { st.Code = s.endCode })
			}
		}
	}()
	for m := range queue {
		sleep(s.process.ctx, time.Until(m.deliverAt))
		if s.handleMessage(m) != nil {
			return
		}
	}
}

// markNotRun records the end of a statement that was received but will never run.
func (s *session) markNotRun(st *Statement) {
	if st != nil {
		s.updateStatement(st, func(st *Statement) { st.Ended = time.Now() })
	}
}

// endExecuting records the end of the last run statement: it was answered, or its session has ended.
func (s *session) endExecuting() {
	if c := s.executing; c != nil {
		s.node.group.trace.update(c, func(c *Statement) {
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
			n.recordCancel(st.Cancel)
			return false
		default:
			params = st.Params
		}
	}
	s.user = params["user"]
	level, isSet := params["default_transaction_isolation"]
	s.repeatableRead = isSet && level != "read committed" || !isSet && n.cfg.RepeatableRead
	if !n.waitResponsive(s.process) {
		return false
	}
	n.mu.Lock()
	code, conns, maxConns, delay := n.refusalCode, len(n.conns), n.cfg.MaxConns, n.connectDelay
	if n.cap > 0 {
		maxConns = n.cap
	}
	n.mu.Unlock()
	sleep(s.process.ctx, delay+n.connectWait())
	if maxConns > 0 && conns > maxConns {
		code = "53300"
	}
	if code != "" {
		s.sendFatal(code, "not accepting connections")
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
	s.out = pgwire.AppendBackendKeyData(s.out, uint32(s.id), s.cancelKey)
	s.appendReady()
	return true
}

func (s *session) sendFatal(code, text string) {
	s.endCode = code
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
			s.sendFatal("28P01", "password authentication failed")
			return false
		}
		if done {
			s.out = pgwire.AppendAuthSASLFinal(s.out, answer)
			return true
		}
		s.out = pgwire.AppendAuthSASLContinue(s.out, answer)
	}
}

// recordCancel records a cancel request for the statement that a connection runs. The statement runs on.
func (n *Node) recordCancel(c *pgwire.Cancel) {
	n.mu.Lock()
	s := n.conns[uint64(c.PID)]
	n.mu.Unlock()
	if s == nil || s.cancelKey != c.Key {
		return
	}
	n.group.trace.mu.Lock()
	defer n.group.trace.mu.Unlock()
	if s.lastArrived != nil && s.lastArrived.Canceled.IsZero() {
		s.lastArrived.Canceled = time.Now()
	}
}

func (s *session) flush() error {
	s.node.mu.Lock()
	limit := s.node.disconnectAfter
	s.node.mu.Unlock()
	out := s.out
	s.out = s.out[:0]
	if link := s.link(); link != nil && len(out) > 0 {
		delay, _ := link(s.user)
		sleep(s.process.ctx, delay)
	}
	if limit > 0 && s.sent+len(out) > limit {
		s.nc.Write(out[:max(0, min(len(out), limit-s.sent))])
		return disconnectError{}
	}
	s.sent += len(out)
	_, err := s.nc.Write(out)
	return err
}

func (s *session) link() Link {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.link
}

// appendReady appends ReadyForQuery, preceded by the node's facts if it reports them by ParameterStatus and they changed.
func (s *session) appendReady() {
	if s.node.cfg.ReportParameters {
		f := s.node.facts()
		if text := fmt.Sprintf("%v %s %s %d", f.replica, f.at, f.snapshot, f.received); text != s.reportedFacts {
			s.reportedFacts = text
			standby := map[bool]string{true: "on", false: "off"}[f.replica]
			s.out = pgwire.AppendParameterStatus(s.out, "in_hot_standby", standby)
			s.out = pgwire.AppendParameterStatus(s.out, "umberladder.position", f.at.String())
			s.out = pgwire.AppendParameterStatus(s.out, "umberladder.xid", f.snapshot)
			s.out = pgwire.AppendParameterStatus(s.out, "umberladder.received", lsnText(f.received))
		}
	}
	s.out = pgwire.AppendReadyForQuery(s.out, s.txStatus)
}

// handleMessage handles one message. An error ends the session.
func (s *session) handleMessage(m queuedMessage) error {
	typ, body := m.typ, m.body
	if s.failed && typ != pgwire.MsgSync {
		if s.markNotRun(m.st); m.st != nil {
			s.updateStatement(m.st, func(st *Statement) { st.Code = "25P02" }) // an earlier error aborted the batch
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
		s.appendReady()
		err := s.flush()
		s.endExecuting()
		return err
	case pgwire.MsgQuery:
		return s.query(body, m.st)
	default:
		s.sendFatal("08P01", fmt.Sprintf("unsupported message type %q", typ))
		return disconnectError{}
	}
	return nil
}

// appendError appends an ErrorResponse; further messages are ignored up to Sync.
func (s *session) appendError(code, text string) error {
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
		return s.appendError("26000", fmt.Sprintf("prepared statement %q does not exist", m.Statement))
	}
	s.portals[m.Portal] = bindPortal(st, m)
	s.out = pgwire.AppendEmpty(s.out, pgwire.MsgBindComplete)
	return nil
}

func bindPortal(st pgwire.ParseMsg, m pgwire.BindMsg) portal {
	p := portal{sql: st.SQL, formats: m.ResultFormats}
	for i, v := range m.Values {
		p.values = append(p.values, textOf(v, formatAt(m.Formats, i), st.Types, i))
	}
	return p
}

// arg returns the text of parameter i, counted from 0, or "" if there is none.
func (p *portal) arg(i int) string {
	if i < len(p.values) {
		return p.values[i]
	}
	return ""
}

// formatAt returns the format code of item i. No codes mean text for all items; a single code applies to all items.
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

// textOf returns the text of a parameter value in text or binary format; i is its index in types.
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
			return s.appendError("26000", fmt.Sprintf("prepared statement %q does not exist", m.Name))
		}
		sql = st.SQL
		s.out = pgwire.AppendParameterDescription(s.out, paramTypes(sql))
	} else {
		p, ok := s.portals[m.Name]
		if !ok {
			return s.appendError("34000", fmt.Sprintf("portal %q does not exist", m.Name))
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
		return s.appendError("34000", fmt.Sprintf("portal %q does not exist", m.Portal))
	}
	return s.runStatement(p, st)
}

// query handles a message of the simple query protocol: one statement without parameters.
func (s *session) query(body []byte, st *Statement) error {
	sql, err := pgwire.ParseString(pgwire.MsgQuery, body)
	if err != nil {
		return err
	}
	if columns := columnsOf(sql); columns != nil {
		s.out = pgwire.AppendRowDescription(s.out, columns)
	}
	if err := s.runStatement(portal{sql: sql}, st); err != nil {
		return err
	}
	s.failed, s.snap = false, nil
	s.appendReady()
	err = s.flush()
	s.endExecuting()
	return err
}
