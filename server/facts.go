package server

import (
	"fmt"
	"strconv"
	"strings"

	"umberladder/driver"
	"umberladder/position"
)

// factsName is the prepared statement that asks a node for its role and position.
const factsName = "umberladder_facts"

// askName is the one that polls use. It asks for more.
const askName = "umberladder_ask"

// askSQL asks beside the facts for the standbys that follow, and, if history is set, for the history of the present
// timeline. That one wants pg_read_server_files; without pg_monitor the standbys are not told.
func askSQL(history bool) string {
	past := "NULL"
	if history {
		past = pastSQL
	}
	return factsSQL + ", " + past + ", " + standbysSQL + ", " + systemSQL + ", " + upstreamSQL
}

// systemSQL is the cluster that the node is of; upstreamSQL whom a replica receives its log from.
const (
	systemSQL   = `(SELECT system_identifier FROM pg_control_system())`
	upstreamSQL = `(SELECT sender_host || ':' || sender_port FROM pg_stat_wal_receiver WHERE status = 'streaming')`
)

const standbysSQL = `(SELECT string_agg(host(client_addr) || ' ' || application_name, ',') FROM pg_stat_replication WHERE client_addr IS NOT NULL)`

const pastSQL = `pg_read_file('pg_wal/' || lpad(to_hex(
 CASE WHEN pg_is_in_recovery()
  THEN coalesce((SELECT received_tli FROM pg_stat_wal_receiver), (SELECT timeline_id FROM pg_control_checkpoint()))
  ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END), 8, '0') || '.history', true)`

// factsSQL asks an unmodified server whether it is in recovery, where it stands in the log and on which
// timeline, which transactions are over, how much log a replica has received, and how transactions are isolated.
//
// A primary tells the end of what was put into the log, written or not: commits with synchronous_commit off show
// before they are written. It tells its timeline by the name of its present log file; a replica by what it
// receives, or, while it receives nothing, by its last restart point. The snapshot
// tells which transactions are over: a replica may show a commit before its primary has ended the transaction. The
// log received is asked for after the place replayed, so that what is being replayed counts as received.
const factsSQL = `SELECT pg_is_in_recovery(),
 CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_insert_lsn() END,
 CASE WHEN pg_is_in_recovery()
  THEN coalesce((SELECT received_tli FROM pg_stat_wal_receiver), (SELECT timeline_id FROM pg_control_checkpoint()))
  ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END,
 pg_current_snapshot(),
 CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() END, current_setting('transaction_isolation'),
 (extract(epoch FROM clock_timestamp()) * 1000000)::bigint`

// isolation is how transactions on a connection must be isolated; it is asked for when the connection opens, which
// overrides what role, database and server say, and told with every answer.
const isolation = "read committed"

// Parameters by which a node may tell the same without being asked, with every ReadyForQuery that follows a
// change. PostgreSQL reports the first by itself; the others take an extension that marks them for reports: the
// timeline and place replayed or written as TIMELINE:LSN, the snapshot of factsSQL, and
// for a replica the end of the record being replayed or, if that is not known, of the log received.
const (
	paramStandby  = "in_hot_standby"
	paramPosition = "umberladder.position"
	paramXID      = "umberladder.xid"
	paramReceived = "umberladder.received"
)

// Columns of the row that factsSQL brings; historySQL adds one more.
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
	askColumns  = factsColumns + 4
)

// parseFacts reads the row that factsSQL or askSQL brings.
func parseFacts(row [][]byte) (f driver.Facts, err error) {
	if len(row) == askColumns {
		if f.Forks, err = parseHistory(string(row[colHistory])); err != nil {
			return f, err
		}
		f.Standbys = strings.FieldsFunc(string(row[colStandbys]), func(r rune) bool { return r == ',' })
		f.Upstream = string(row[colUpstream])
		if f.System, err = number(row[colSystem], "system identifier"); err != nil {
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
	clock, err := number(row[colClock], "clock")
	if err != nil {
		return f, err
	}
	f.Known, f.Replica, f.Clock = true, string(row[colReplica]) == "t", int64(clock)
	if row[colLSN] == nil || row[colTimeline] == nil {
		return f, nil // a replica that has replayed nothing yet stands nowhere
	}
	timeline, err := strconv.ParseUint(string(row[colTimeline]), 10, 32)
	if err != nil {
		return f, fmt.Errorf("timeline %q: %w", row[colTimeline], err)
	}
	f.Position.Timeline = uint32(timeline)
	if f.Position.LSN, err = position.ParseLSN(string(row[colLSN])); err != nil {
		return f, err
	}
	return f, takeVisible(&f, string(row[colSnapshot]), string(row[colReceived]))
}

// number reads a value that may be NULL, which counts as 0.
func number(value []byte, what string) (uint64, error) {
	if value == nil {
		return 0, nil
	}
	v, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s %q: %w", what, value, err)
	}
	return v, nil
}

// parseHistory reads a timeline history file: a line for each older timeline with the place at which it was left.
func parseHistory(text string) (forks []position.Position, err error) {
	for _, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if len(words) < 2 {
			return nil, fmt.Errorf("timeline history %q has no place", line)
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

// factsOfParams reads what a node told by parameters; not Known if it did not, or not in their form.
func factsOfParams(params map[string]string) driver.Facts {
	timeline, lsn, ok := strings.Cut(params[paramPosition], ":")
	standby, told := params[paramStandby]
	if !ok || !told {
		return driver.Facts{}
	}
	tl, err1 := strconv.ParseUint(timeline, 10, 32)
	at, err2 := position.ParseLSN(lsn)
	f := driver.Facts{Known: true, Replica: standby == "on", Position: position.Position{Timeline: uint32(tl), LSN: at}}
	if err1 != nil || err2 != nil || takeVisible(&f, params[paramXID], params[paramReceived]) != nil {
		return driver.Facts{}
	}
	return f
}

// takeVisible reads which transactions are over, and how much log was received; both may be empty.
func takeVisible(f *driver.Facts, snapshot, received string) (err error) {
	if snapshot != "" {
		s, err := parseSnapshot(snapshot)
		if err != nil {
			return err
		}
		if f.Replica {
			f.Shown = s.Shown()
		} else {
			f.Position.Transactions = s.Over()
		}
	}
	if received != "" && f.Replica {
		f.Received, err = position.ParseLSN(received)
	}
	return err
}

// parseSnapshot reads a snapshot, or, as nodes that tell by parameters may put it, one transaction id: below which
// all are over on a primary, and that a replica has shown nothing at or above.
func parseSnapshot(text string) (position.Snapshot, error) {
	if id, err := strconv.ParseUint(text, 10, 64); err == nil {
		return position.Snapshot{Oldest: id, Next: id}, nil
	}
	return position.ParseSnapshot(text)
}
