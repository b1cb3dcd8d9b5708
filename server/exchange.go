package server

import (
	"fmt"
	"strconv"

	"umberladder/driver"
	"umberladder/pgwire"
)

// guardStatement is the prepared statement that runs before a write in the same transaction. It fails, so that
// nothing of the write runs, if the node is a replica, its timeline is older than $1, its clock is beyond $2
// (microseconds since 1970, NULL for no bound), or its cluster is not $3 (NULL for any). A node that was suspended or
// queued the write must not run it after another node may have become primary.
const guardStatement = "umberladder_guard"

const guardSQL = `SELECT 1/(CASE WHEN NOT pg_is_in_recovery()
 AND ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int >= $1::int
 AND ($3::bigint IS NULL OR (SELECT system_identifier FROM pg_control_system()) = $3::bigint)
 AND ($2::bigint IS NULL OR (extract(epoch FROM clock_timestamp()) * 1000000)::bigint <= $2::bigint) THEN 1 ELSE 0 END)`

// SQLSTATEs of a failed guard: its division by zero, and a replica's errors for a query of the end of its log.
var guardSQLStates = map[string]bool{"22012": true, "55000": true, "25006": true}

// exchangeKind is the kind of an exchange.
type exchangeKind uint8

const (
	exchangePoll exchangeKind = iota
	exchangeRead
	exchangeWrite
)

// phase is the part of an exchange to which the node's next messages belong.
type phase uint8

const (
	phaseFacts phase = iota
	phaseStatement
	phaseReady
	phaseGuard
)

// phases lists the parts of a node's answer in order, by whether facts come as parameters and by kind. Facts before a
// read bound its data from below and facts after it from above; facts after a write bound its commit from above. A
// node that reports facts as parameters sends them with ReadyForQuery.
//
// Everything up to one ReadyForQuery is one transaction. With read committed, each statement in it has its own
// snapshot, so that a read's snapshot is taken after the facts before it. With repeatable read or serializable there
// would be one snapshot, older than those facts; the connection's startup parameters rule that out, and each answer
// is checked for it.
var phases = map[bool]map[exchangeKind][]phase{
	false: {exchangePoll: {phaseFacts, phaseReady}, exchangeRead: {phaseFacts, phaseStatement, phaseFacts, phaseReady},
		exchangeWrite: {phaseGuard, phaseStatement, phaseReady, phaseFacts, phaseReady}},
	true: {exchangePoll: {phaseReady}, exchangeRead: {phaseReady, phaseStatement, phaseReady},
		exchangeWrite: {phaseGuard, phaseStatement, phaseReady}},
}

// statement is a client's SQL text with its parameters.
type statement struct {
	sql    string
	types  []uint32
	values [][]byte
}

// appendExchange appends all messages of an exchange, to be sent as one pipeline.
func appendExchange(b []byte, kind exchangeKind, byParams bool, st *statement, g driver.Guard) []byte {
	for _, p := range phases[byParams][kind] {
		switch p {
		case phaseFacts:
			name := factsStatement
			if kind == exchangePoll {
				name = pollStatement
			}
			b = pgwire.AppendExecute(pgwire.AppendBind(b, "", name, nil), "", 0)
		case phaseGuard:
			values := [][]byte{strconv.AppendUint(nil, uint64(g.Timeline), 10), nil, nil}
			if g.System > 0 {
				values[2] = strconv.AppendUint(nil, g.System, 10)
			}
			if g.Until > 0 {
				values[1] = strconv.AppendInt(nil, g.Until, 10)
			}
			b = pgwire.AppendExecute(pgwire.AppendBind(b, "", guardStatement, values), "", 0)
		case phaseStatement:
			b = pgwire.AppendParse(b, "", st.sql, st.types)
			b = pgwire.AppendBind(b, "", "", st.values)
			b = pgwire.AppendExecute(pgwire.AppendDescribe(b, 'P', ""), "", 0)
		case phaseReady:
			b = pgwire.AppendSync(b)
		}
	}
	return b
}

// rowSink receives the columns, rows and command tag of one answer.
type rowSink interface {
	columns(c []pgwire.Column)
	// row receives one row. The values are valid during the call only.
	row(values [][]byte)
	tag(text string)
}

// exchange is one pipeline sent to a node and its pending answer. It does no I/O: handle is called with each message.
type exchange struct {
	kind        exchangeKind
	remaining   []phase
	byParams    bool
	params      map[string]string
	sink        rowSink
	result      driver.Result
	skipping    bool // after an error: the node skips all up to the next ReadyForQuery
	columnsRead bool // the message just handled was the statement's RowDescription
	columnCount int
	values      [][]byte
	systemID    uint64 // system identifier of the cluster as reported on this connection
	unusable    string // why the connection can't be used again although the answer is complete; "" if it can
}

func newExchange(kind exchangeKind, byParams bool, params map[string]string, sink rowSink) *exchange {
	return &exchange{kind: kind, remaining: phases[byParams][kind], byParams: byParams, params: params, sink: sink}
}

// handle handles one message. done reports that the answer is complete; an error means that the node violated the
// protocol.
func (x *exchange) handle(typ byte, body []byte) (done bool, err error) {
	x.columnsRead = false
	switch typ {
	case pgwire.MsgNoticeResponse, pgwire.MsgNotificationResponse:
		return false, nil
	case pgwire.MsgParameterStatus:
		return false, storeParam(x.params, body)
	case pgwire.MsgErrorResponse:
		return false, x.handleError(body)
	case pgwire.MsgReadyForQuery:
		return x.handleReady(body)
	case pgwire.MsgCopyInResponse, pgwire.MsgCopyOutResponse, pgwire.MsgCopyBothResponse:
		// Closing the connection makes the node roll back; nothing else ends a COPY as reliably.
		x.reject("0A000", "COPY is not supported; use INSERT or SELECT")
		return true, nil
	}
	if x.skipping || len(x.remaining) == 0 {
		return false, x.unexpected(typ)
	}
	switch x.remaining[0] {
	case phaseFacts:
		return false, x.handleFacts(typ, body)
	case phaseStatement:
		return false, x.handleStatement(typ, body)
	case phaseGuard:
		return false, x.handleGuard(typ)
	}
	return false, x.unexpected(typ)
}

func storeParam(params map[string]string, body []byte) error {
	name, value, err := pgwire.ParseParameterStatus(body)
	if err != nil {
		return err
	}
	switch name {
	case paramStandby, paramPosition, paramXID, paramReceived: // other parameters are not used
		params[name] = value
	}
	return nil
}

// reject ends the answer with an error of the driver and marks the connection as unusable.
func (x *exchange) reject(code, reason string) {
	x.unusable = reason
	x.result.Done, x.result.Err = false, &pgwire.Error{Severity: "ERROR", Code: code, Message: reason}
}

func (x *exchange) unexpected(typ byte) error {
	where := "after the end"
	if len(x.remaining) > 0 {
		where = [...]string{"in the answer to the facts query", "in the answer to the statement", "before ReadyForQuery", "in the answer to the guard"}[x.remaining[0]]
	}
	return fmt.Errorf("message %q %s", typ, where)
}

func (x *exchange) handleError(body []byte) error {
	e, err := pgwire.ParseError(pgwire.MsgErrorResponse, body)
	if err != nil {
		return err
	}
	x.skipping = true
	if x.result.Done || x.result.Err != nil {
		return nil // the answer is valid; only its position is missing
	}
	x.result.Err, x.result.InFactsQuery = e, len(x.remaining) > 0 && (x.remaining[0] == phaseFacts || x.remaining[0] == phaseGuard)
	x.result.GuardFailed = len(x.remaining) > 0 && x.remaining[0] == phaseGuard && guardSQLStates[e.Code]
	return nil
}

// handleGuard handles the answer to the guard. Its row carries no information.
func (x *exchange) handleGuard(typ byte) error {
	switch typ {
	case pgwire.MsgBindComplete, pgwire.MsgDataRow:
		return nil
	case pgwire.MsgCommandComplete:
		x.remaining = x.remaining[1:]
		return nil
	}
	return x.unexpected(typ)
}

func (x *exchange) handleReady(body []byte) (bool, error) {
	state, err := pgwire.ParseReadyForQuery(body)
	if err != nil {
		return false, err
	}
	for len(x.remaining) > 0 && x.remaining[0] != phaseReady {
		if !x.skipping {
			return false, x.unexpected(pgwire.MsgReadyForQuery)
		}
		x.remaining = x.remaining[1:]
	}
	if len(x.remaining) == 0 {
		return false, x.unexpected(pgwire.MsgReadyForQuery)
	}
	x.remaining, x.skipping = x.remaining[1:], false
	if x.byParams {
		*x.currentFacts() = factsOfParams(x.params)
	}
	if state != pgwire.TxIdle {
		x.reject("25001", "the statement left a transaction open; send a single, self-contained statement")
		return true, nil
	}
	if x.result.Started && x.result.Err == nil {
		x.result.Done = true
	}
	return len(x.remaining) == 0, nil
}

// currentFacts returns the destination of the next facts: those before a read, those after it, or the only ones.
func (x *exchange) currentFacts() *driver.Facts {
	if x.kind == exchangeRead && x.result.Started {
		return &x.result.After
	}
	return &x.result.Facts
}

func (x *exchange) handleFacts(typ byte, body []byte) (err error) {
	switch typ {
	case pgwire.MsgBindComplete:
		return nil
	case pgwire.MsgDataRow:
		if x.values, err = pgwire.ParseDataRow(body, x.values); err != nil {
			return err
		}
		f, err := parseFacts(x.values)
		if f.System == 0 {
			f.System = x.systemID
		}
		x.systemID, *x.currentFacts() = f.System, f
		return err
	case pgwire.MsgCommandComplete:
		if !x.currentFacts().Known {
			return fmt.Errorf("no row in the answer to the facts query")
		}
		x.remaining = x.remaining[1:]
		return nil
	}
	return x.unexpected(typ)
}

func (x *exchange) handleStatement(typ byte, body []byte) (err error) {
	switch typ {
	case pgwire.MsgParseComplete:
		x.result.Started = true
	case pgwire.MsgBindComplete, pgwire.MsgNoData, pgwire.MsgPortalSuspended:
	case pgwire.MsgRowDescription:
		columns, err := pgwire.ParseRowDescription(body)
		if err != nil {
			return err
		}
		x.columnCount, x.columnsRead = len(columns), true
		x.sink.columns(columns)
	case pgwire.MsgDataRow:
		if x.values, err = pgwire.ParseDataRow(body, x.values); err != nil {
			return err
		}
		if len(x.values) != x.columnCount {
			return fmt.Errorf("row of %d values, but %d columns were described", len(x.values), x.columnCount)
		}
		x.sink.row(x.values)
	case pgwire.MsgCommandComplete:
		tag, err := pgwire.ParseString(typ, body)
		if err != nil {
			return err
		}
		x.sink.tag(tag)
		x.remaining = x.remaining[1:]
	case pgwire.MsgEmptyQueryResponse:
		x.remaining = x.remaining[1:]
	default:
		return x.unexpected(typ)
	}
	return nil
}
