package server

import (
	"fmt"
	"strconv"

	"umberladder/driver"
	"umberladder/pgwire"
)

// guardName is the prepared statement that stands before a write in its transaction. It fails, and with it the write
// before anything of it ran, on a replica, on a primary of an older timeline than $1, where the node's own clock is
// beyond $2, microseconds since 1970, or NULL for any time, and in another cluster than $3, or NULL for any: a node that
// stood still, or queued the write, must not run it once another may have taken its place.
const guardName = "umberladder_guard"

const guardSQL = `SELECT 1/(CASE WHEN NOT pg_is_in_recovery()
 AND ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int >= $1::int
 AND ($3::bigint IS NULL OR (SELECT system_identifier FROM pg_control_system()) = $3::bigint)
 AND ($2::bigint IS NULL OR (extract(epoch FROM clock_timestamp()) * 1000000)::bigint <= $2::bigint) THEN 1 ELSE 0 END)`

// SQLSTATEs by which the guard fails: its own division, and what a replica says to a question about its log's end.
var guardFails = map[string]bool{"22012": true, "55000": true, "25006": true}

// Kinds of exchange.
type exchangeKind uint8

const (
	exchangeAsk exchangeKind = iota
	exchangeRead
	exchangeWrite
)

// phase is what the node's next messages belong to.
type phase uint8

const (
	phaseFacts phase = iota
	phaseStatement
	phaseReady
	phaseGuard
)

// phases says in which order a node answers. A write has its guard before it. Before a read the facts bound its data from below, after it from
// above; after a write they bound its commit from above. Where the node tells facts by parameters, a ReadyForQuery
// brings them.
//
// What comes up to one ReadyForQuery is one transaction. With read committed each statement in it has a snapshot of
// its own, so that a read's is taken after the facts before it were told. A repeatable read or serializable one
// would have but one snapshot, older than those facts; that is ruled out when the connection opens, and each answer
// is checked for it.
var phases = map[bool]map[exchangeKind][]phase{
	false: {exchangeAsk: {phaseFacts, phaseReady}, exchangeRead: {phaseFacts, phaseStatement, phaseFacts, phaseReady},
		exchangeWrite: {phaseGuard, phaseStatement, phaseReady, phaseFacts, phaseReady}},
	true: {exchangeAsk: {phaseReady}, exchangeRead: {phaseReady, phaseStatement, phaseReady},
		exchangeWrite: {phaseGuard, phaseStatement, phaseReady}},
}

// statement is what a client wants run.
type statement struct {
	sql    string
	types  []uint32
	values [][]byte
}

// appendExchange appends the whole pipeline of an exchange.
func appendExchange(b []byte, kind exchangeKind, byParams bool, st *statement, g driver.Guard) []byte {
	for _, p := range phases[byParams][kind] {
		switch p {
		case phaseFacts:
			name := factsName
			if kind == exchangeAsk {
				name = askName
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
			b = pgwire.AppendExecute(pgwire.AppendBind(b, "", guardName, values), "", 0)
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

// rowSink takes the rows of one answer.
type rowSink interface {
	columns(c []pgwire.Column)
	// row takes one row, which is valid during the call only.
	row(values [][]byte)
	tag(text string)
}

// exchange follows the answer to one pipeline. It does no I/O: take gets one message at a time.
type exchange struct {
	kind     exchangeKind
	left     []phase
	byParams bool
	params   map[string]string
	sink     rowSink
	result   driver.Result
	skipping bool // an error came: all up to the next ReadyForQuery is void
	opens    bool // the statement's columns were heard, its rows come next
	fields   int
	values   [][]byte
	system   uint64 // the cluster, as it was told on this connection
	spoilt   string // why the connection can't be used again though the answer is whole
}

func newExchange(kind exchangeKind, byParams bool, params map[string]string, sink rowSink) *exchange {
	return &exchange{kind: kind, left: phases[byParams][kind], byParams: byParams, params: params, sink: sink}
}

// take follows one message. done says that the answer is whole; an error that the peer broke the protocol.
func (x *exchange) take(typ byte, body []byte) (done bool, err error) {
	x.opens = false
	switch typ {
	case pgwire.MsgNoticeResponse, pgwire.MsgNotificationResponse:
		return false, nil
	case pgwire.MsgParameterStatus:
		return false, takeParam(x.params, body)
	case pgwire.MsgErrorResponse:
		return false, x.fault(body)
	case pgwire.MsgReadyForQuery:
		return x.ready(body)
	case pgwire.MsgCopyInResponse, pgwire.MsgCopyOutResponse, pgwire.MsgCopyBothResponse:
		// The node rolls back when the connection ends; nothing else ends a COPY as surely.
		x.refuse("0A000", "COPY is not carried; use INSERT or SELECT")
		return true, nil
	}
	if x.skipping || len(x.left) == 0 {
		return false, x.unexpected(typ)
	}
	switch x.left[0] {
	case phaseFacts:
		return false, x.facts(typ, body)
	case phaseStatement:
		return false, x.statement(typ, body)
	case phaseGuard:
		return false, x.guard(typ)
	}
	return false, x.unexpected(typ)
}

func takeParam(params map[string]string, body []byte) error {
	name, value, err := pgwire.ParseParameterStatus(body)
	if err != nil {
		return err
	}
	switch name {
	case paramStandby, paramPosition, paramXID, paramReceived: // of what else a node tells nothing is kept
		params[name] = value
	}
	return nil
}

// refuse ends the answer with an error of this side and gives the connection up.
func (x *exchange) refuse(code, why string) {
	x.spoilt = why
	x.result.Done, x.result.Err = false, &pgwire.Error{Severity: "ERROR", Code: code, Message: why}
}

func (x *exchange) unexpected(typ byte) error {
	where := "after the end"
	if len(x.left) > 0 {
		where = [...]string{"in the answer to the facts", "in the answer to the statement", "before ReadyForQuery", "in the answer to the guard"}[x.left[0]]
	}
	return fmt.Errorf("message %q %s", typ, where)
}

func (x *exchange) fault(body []byte) error {
	e, err := pgwire.ParseError(pgwire.MsgErrorResponse, body)
	if err != nil {
		return err
	}
	x.skipping = true
	if x.result.Done || x.result.Err != nil {
		return nil // what was answered stands; only its position is missing
	}
	x.result.Err, x.result.Asking = e, len(x.left) > 0 && (x.left[0] == phaseFacts || x.left[0] == phaseGuard)
	x.result.Guarded = len(x.left) > 0 && x.left[0] == phaseGuard && guardFails[e.Code]
	return nil
}

// guard follows the answer to the guard, whose row says nothing.
func (x *exchange) guard(typ byte) error {
	switch typ {
	case pgwire.MsgBindComplete, pgwire.MsgDataRow:
		return nil
	case pgwire.MsgCommandComplete:
		x.left = x.left[1:]
		return nil
	}
	return x.unexpected(typ)
}

func (x *exchange) ready(body []byte) (bool, error) {
	state, err := pgwire.ParseReadyForQuery(body)
	if err != nil {
		return false, err
	}
	for len(x.left) > 0 && x.left[0] != phaseReady {
		if !x.skipping {
			return false, x.unexpected(pgwire.MsgReadyForQuery)
		}
		x.left = x.left[1:]
	}
	if len(x.left) == 0 {
		return false, x.unexpected(pgwire.MsgReadyForQuery)
	}
	x.left, x.skipping = x.left[1:], false
	if x.byParams {
		*x.place() = factsOfParams(x.params)
	}
	if state != pgwire.TxIdle {
		x.refuse("25001", "the statement left a transaction open; send one statement that stands alone")
		return true, nil
	}
	if x.result.Began && x.result.Err == nil {
		x.result.Done = true
	}
	return len(x.left) == 0, nil
}

// place is where the facts go that come now: before a read, after one, or the only ones.
func (x *exchange) place() *driver.Facts {
	if x.kind == exchangeRead && x.result.Began {
		return &x.result.After
	}
	return &x.result.Facts
}

func (x *exchange) facts(typ byte, body []byte) (err error) {
	switch typ {
	case pgwire.MsgBindComplete:
		return nil
	case pgwire.MsgDataRow:
		if x.values, err = pgwire.ParseDataRow(body, x.values); err != nil {
			return err
		}
		f, err := parseFacts(x.values)
		if f.System == 0 {
			f.System = x.system
		}
		x.system, *x.place() = f.System, f
		return err
	case pgwire.MsgCommandComplete:
		if !x.place().Known {
			return fmt.Errorf("no row in the answer to the facts")
		}
		x.left = x.left[1:]
		return nil
	}
	return x.unexpected(typ)
}

func (x *exchange) statement(typ byte, body []byte) (err error) {
	switch typ {
	case pgwire.MsgParseComplete:
		x.result.Began = true
	case pgwire.MsgBindComplete, pgwire.MsgNoData, pgwire.MsgPortalSuspended:
	case pgwire.MsgRowDescription:
		columns, err := pgwire.ParseRowDescription(body)
		if err != nil {
			return err
		}
		x.fields, x.opens = len(columns), true
		x.sink.columns(columns)
	case pgwire.MsgDataRow:
		if x.values, err = pgwire.ParseDataRow(body, x.values); err != nil {
			return err
		}
		if len(x.values) != x.fields {
			return fmt.Errorf("a row of %d values under %d columns", len(x.values), x.fields)
		}
		x.sink.row(x.values)
	case pgwire.MsgCommandComplete:
		tag, err := pgwire.ParseString(typ, body)
		if err != nil {
			return err
		}
		x.sink.tag(tag)
		x.left = x.left[1:]
	case pgwire.MsgEmptyQueryResponse:
		x.left = x.left[1:]
	default:
		return x.unexpected(typ)
	}
	return nil
}
