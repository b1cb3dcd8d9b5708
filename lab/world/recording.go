package world

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"umberladder/driver"
	"umberladder/lab/record"
	"umberladder/position"
)

// attempt is the recorded execution of a request at a node.
type attempt struct {
	node        *node
	sent, ended time.Duration
	outcome     string
	facts       driver.Facts
}

// beginAttempt adds an attempt to a request; it returns nil when nothing is recorded.
func (w *World) beginAttempt(q *request, n *node) *attempt {
	if w.cfg.Record == nil {
		return nil
	}
	a := &attempt{node: n, sent: w.now, outcome: "no answer"}
	q.attempts = append(q.attempts, a)
	return a
}

// finish sets the outcome of an attempt.
func (a *attempt) finish(now time.Duration, r *driver.Result) {
	if a == nil {
		return
	}
	a.ended, a.facts = now, r.Facts
	switch {
	case r.Done:
		a.outcome = "served"
	case r.Err != nil:
		a.outcome = "error " + r.Err.Code
	default:
		a.outcome = "failed"
	}
}

// recordRows records a finished request and its attempts.
func (w *World) recordRows(q *request, a *driver.Answer, cause string, value float64) {
	if w.cfg.Record == nil {
		return
	}
	row := record.Row{Kind: record.KindRequest, Request: q.name(), Attempt: int32(len(q.attempts)), Class: w.cfg.Engine.Router.Classes[q.class].Name, Slice: q.slice.name,
		Session: q.session.name, Driver: fmt.Sprintf("driver%d", q.host.number), ClientTry: int32(q.try), Sent: int64(q.arrived - start), Ended: int64(w.now - start),
		Outcome: a.Status.String(), Cause: cause, Value: value, Trouble: w.troublesSince(q.arrived), Broken: q.brokenRule}
	if q.try == 0 {
		row.RequestedValue = w.cfg.Engine.Router.Classes[q.class].Value
	}
	row.NeedTimeline, row.NeedLSN = positionColumns(q.need)
	if n := w.nodes[a.Node]; n != nil && a.Status == driver.Served {
		row.Node, row.Zone, row.Role = n.name, n.zone, roleName(a.Facts)
		row.Timeline, row.LSN = positionColumns(a.Facts.Position)
	}
	w.cfg.Record(&row)
	for i, at := range q.attempts {
		one := row
		one.Kind, one.Attempt, one.Node, one.Zone, one.Outcome, one.Role = record.KindAttempt, int32(i+1), at.node.name, at.node.zone, at.outcome, roleName(at.facts)
		one.Sent, one.Ended, one.Value, one.RequestedValue, one.Cause, one.Broken = int64(at.sent-start), record.NoEnd, 0, 0, "", ""
		if at.ended > 0 {
			one.Ended = int64(at.ended - start)
		}
		one.Timeline, one.LSN = positionColumns(at.facts.Position)
		w.cfg.Record(&one)
	}
}

func roleName(f driver.Facts) string {
	switch {
	case !f.Known:
		return ""
	case f.Replica:
		return "replica"
	}
	return "primary"
}

func positionColumns(p position.Position) (timeline int32, lsn int64) {
	if p.LSN == position.UnknownLSN {
		return int32(p.Timeline), 0
	}
	return int32(p.Timeline), int64(p.LSN)
}

// troublesSince names the kinds of trouble that were active between a time and now.
func (w *World) troublesSince(from time.Duration) string {
	var kinds []string
	for i := range w.cfg.Troubles {
		t := &w.cfg.Troubles[i]
		if begin, end := start+t.At, start+t.At+t.For; begin <= w.now && end >= from && !slices.Contains(kinds, t.Kind.String()) {
			kinds = append(kinds, t.Kind.String())
		}
	}
	slices.Sort(kinds)
	return strings.Join(kinds, "+")
}
