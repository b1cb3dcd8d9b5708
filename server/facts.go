package server

import (
	"fmt"
	"strconv"
	"strings"

	"umberladder/driver"
	"umberladder/position"
)

// factsStatement is the prepared statement that queries a node's role and position.
const factsStatement = "umberladder_facts"

// pollStatement is the prepared statement of polls, which queries more than factsStatement.
const pollStatement = "umberladder_ask"

// pollSQL queries, beside the facts, the connected standbys, the system identifier, a replica's upstream and, if
// history is set, the history of the current timeline. The history needs the role pg_read_server_files; without
// pg_monitor the standbys are missing.
func pollSQL(history bool) string {
	historyColumn := "NULL"
	if history {
		historyColumn = historySQL
	}
	return factsSQL + ", " + historyColumn + ", " + standbysSQL + ", " + systemSQL + ", " + upstreamSQL
}

// systemSQL queries the identifier of the node's cluster; upstreamSQL the host and port from which a replica receives
// its log.
const (
	systemSQL   = `(SELECT system_identifier FROM pg_control_system())`
	upstreamSQL = `(SELECT sender_host || ':' || sender_port FROM pg_stat_wal_receiver WHERE status = 'streaming')`
)

const standbysSQL = `(SELECT string_agg(host(client_addr) || ' ' || application_name, ',') FROM pg_stat_replication WHERE client_addr IS NOT NULL)`

const historySQL = `pg_read_file('pg_wal/' || lpad(to_hex(
 CASE WHEN pg_is_in_recovery()
  THEN coalesce((SELECT received_tli FROM pg_stat_wal_receiver), (SELECT timeline_id FROM pg_control_checkpoint()))
  ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END), 8, '0') || '.history', true)`

// factsSQL queries an unmodified server for whether it is in recovery, its log position and timeline, the finished
// transactions, how much log a replica has received, the isolation of transactions, and the node's clock.
//
// A primary reports the insert position of its log, written or not, because commits with synchronous_commit off are
// visible before they are written. Its timeline is part of the name of its current log file. A replica's timeline is
// the one it receives or, while it receives nothing, that of its last restart point. The snapshot shows which
// transactions are finished: a replica may show a commit before its primary has ended the transaction. The received
// position is queried after the replayed one, so that a record being replayed counts as received.
const factsSQL = `SELECT pg_is_in_recovery(),
 CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_insert_lsn() END,
 CASE WHEN pg_is_in_recovery()
  THEN coalesce((SELECT received_tli FROM pg_stat_wal_receiver), (SELECT timeline_id FROM pg_control_checkpoint()))
  ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END,
 pg_current_snapshot(),
 CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() END, current_setting('transaction_isolation'),
 (extract(epoch FROM clock_timestamp()) * 1000000)::bigint`

// isolation is the required isolation level of transactions. It is set when a connection opens, which overrides the
// settings of role, database and server, and reported with every answer.
const isolation = "read committed"

// Parameters in which a node may report the same facts without a query, with every ReadyForQuery after a change.
// PostgreSQL reports paramStandby by itself; the others need an extension that marks them for reporting.
const (
	paramStandby  = "in_hot_standby"
	paramPosition = "umberladder.position" // a primary's written or a replica's replayed position, as TIMELINE:LSN
	paramXID      = "umberladder.xid"      // the snapshot of factsSQL, or a transaction ID; see parseSnapshot
	paramReceived = "umberladder.received" // a replica's end of the record being replayed or, if unknown, of its received log
)

// Columns of the row that factsSQL returns; pollSQL adds the last four.
const (
	colReplica = iota
	colLSN
	colTimeline
	colSnapshot
	colReceived
	colIsolation
	colClock
	factsColumns
	colHistory  = factsColumns
	colStandbys = factsColumns + 1
	colSystem   = factsColumns + 2
	colUpstream = factsColumns + 3
	pollColumns = factsColumns + 4
)

// parseFacts parses the row that factsSQL or pollSQL returns.
func parseFacts(row [][]byte) (f driver.Facts, err error) {
	if len(row) == pollColumns {
		if f.Forks, err = parseHistory(string(row[colHistory])); err != nil {
			return f, err
		}
		f.Standbys = strings.FieldsFunc(string(row[colStandbys]), func(r rune) bool { return r == ',' })
		f.Upstream = string(row[colUpstream])
		if f.System, err = parseNumber(row[colSystem], "system identifier"); err != nil {
			return f, err
		}
		row = row[:factsColumns]
	}
	if len(row) != factsColumns || row[colReplica] == nil {
		return f, fmt.Errorf("facts of %d columns, %d wanted", len(row), factsColumns)
	}
	if got := string(row[colIsolation]); got != isolation {
		return f, fmt.Errorf("its transactions are %s, not %s: a statement changed default_transaction_isolation", got, isolation)
	}
	clock, err := parseNumber(row[colClock], "clock")
	if err != nil {
		return f, err
	}
	f.Known, f.Replica, f.Clock = true, string(row[colReplica]) == "t", int64(clock)
	if row[colLSN] == nil || row[colTimeline] == nil {
		return f, nil // a replica that has replayed nothing yet has no position
	}
	timeline, err := strconv.ParseUint(string(row[colTimeline]), 10, 32)
	if err != nil {
		return f, fmt.Errorf("timeline %q: %w", row[colTimeline], err)
	}
	f.Position.Timeline = uint32(timeline)
	if f.Position.LSN, err = position.ParseLSN(string(row[colLSN])); err != nil {
		return f, err
	}
	return f, parseVisibility(&f, string(row[colSnapshot]), string(row[colReceived]))
}

// parseNumber parses a value that may be NULL, which counts as 0.
func parseNumber(value []byte, what string) (uint64, error) {
	if value == nil {
		return 0, nil
	}
	v, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s %q: %w", what, value, err)
	}
	return v, nil
}

// parseHistory parses a timeline history file: one line for each older timeline with the position at which it ended.
func parseHistory(text string) (forks []position.Position, err error) {
	for _, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if len(words) < 2 {
			return nil, fmt.Errorf("timeline history %q has no log position", line)
		}
		tl, err := strconv.ParseUint(words[0], 10, 32)
		if err != nil {
			return nil, fmt.Errorf("timeline history %q: %w", line, err)
		}
		lsn, err := position.ParseLSN(words[1])
		if err != nil {
			return nil, fmt.Errorf("timeline history: %w", err)
		}
		forks = append(forks, position.Position{Timeline: uint32(tl), LSN: lsn})
	}
	return forks, nil
}

// factsOfParams parses the facts that a node reported as parameters. They are not Known if paramStandby or
// paramPosition is missing, or if any of them is malformed.
func factsOfParams(params map[string]string) driver.Facts {
	timeline, lsn, ok := strings.Cut(params[paramPosition], ":")
	standby, reported := params[paramStandby]
	if !ok || !reported {
		return driver.Facts{}
	}
	tl, err1 := strconv.ParseUint(timeline, 10, 32)
	at, err2 := position.ParseLSN(lsn)
	f := driver.Facts{Known: true, Replica: standby == "on", Position: position.Position{Timeline: uint32(tl), LSN: at}}
	if err1 != nil || err2 != nil || parseVisibility(&f, params[paramXID], params[paramReceived]) != nil {
		return driver.Facts{}
	}
	return f
}

// parseVisibility parses which transactions are finished and how much log was received; both may be empty.
func parseVisibility(f *driver.Facts, snapshot, received string) (err error) {
	if snapshot != "" {
		s, err := parseSnapshot(snapshot)
		if err != nil {
			return err
		}
		if f.Replica {
			f.MaybeVisible = s.MaybeVisible()
		} else {
			f.Position.Transactions = s.Finished()
		}
	}
	if received != "" && f.Replica {
		f.Received, err = position.ParseLSN(received)
	}
	return err
}

// parseSnapshot parses a snapshot, or, as nodes may send it in parameters, a single transaction ID: all transactions
// below it are finished on a primary, and a replica shows none at or above it.
func parseSnapshot(text string) (position.Snapshot, error) {
	if id, err := strconv.ParseUint(text, 10, 64); err == nil {
		return position.Snapshot{Oldest: id, Next: id}, nil
	}
	return position.ParseSnapshot(text)
}
