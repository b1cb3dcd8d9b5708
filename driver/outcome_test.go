package driver

import (
	"testing"

	"umberladder/balance"
	"umberladder/pgwire"
)

// TestOutcomes has a case for each row of the outcome table in outcome.go.
func TestOutcomes(t *testing.T) {
	sql := func(code string) *pgwire.Error { return &pgwire.Error{Severity: "ERROR", Code: code, Message: "m"} }
	replica := Facts{Known: true, Replica: true}
	for _, c := range []struct {
		name    string
		result  Result
		outcome balance.Outcome
		answers bool
	}{
		{"not written", Result{End: EndNotSent}, balance.OutcomeConnectFailed, false},
		{"disconnected before any reply", Result{End: EndBroken}, balance.OutcomeReset, false},
		{"disconnected during the answer", Result{End: EndBroken, Started: true}, balance.OutcomeReset, false},
		{"disconnected after the commit was answered", Result{End: EndBroken, Started: true, Done: true}, balance.OutcomeOK, true},
		{"complete", Result{Started: true, Done: true}, balance.OutcomeOK, true},
		{"a poll's answer", Result{Facts: replica}, balance.OutcomeOK, true},
		{"a write at a replica", Result{Started: true, Err: sql("25006")}, balance.OutcomeMiss, false},
		{"the guard before a write", Result{GuardFailed: true, InFactsQuery: true, Err: sql("22012")}, balance.OutcomeMiss, false},
		{"too many connections", Result{End: EndBroken, Err: sql("53300")}, balance.OutcomeFull, false},
		{"cannot connect now", Result{End: EndBroken, Err: sql("57P03")}, balance.OutcomeFull, false},
		{"shutdown before the statement began", Result{End: EndBroken, Err: sql("57P01"), InFactsQuery: true}, balance.OutcomeConnectFailed, false},
		{"shutdown after the statement began", Result{End: EndBroken, Started: true, Err: sql("57P01")}, balance.OutcomeReset, false},
		{"crash before the statement began", Result{End: EndBroken, Err: sql("57P02")}, balance.OutcomeConnectFailed, false},
		{"crash after the statement began", Result{End: EndBroken, Started: true, Err: sql("57P02")}, balance.OutcomeReset, false},
		{"canceled", Result{Started: true, Err: sql("57014")}, balance.OutcomeCancelled, false},
		{"conflict with recovery", Result{Started: true, Err: sql("40001"), Facts: replica}, balance.OutcomeError, false},
		{"serialization failure at the primary", Result{Started: true, Err: sql("40001"), Facts: Facts{Known: true}}, balance.OutcomeOK, true},
		{"deadlock with recovery", Result{Started: true, Err: sql("40P01"), Facts: replica}, balance.OutcomeError, false},
		{"disk full", Result{Started: true, Err: sql("53100")}, balance.OutcomeError, false},
		{"system error", Result{Started: true, Err: sql("58030")}, balance.OutcomeError, false},
		{"internal error", Result{Started: true, Err: sql("XX000")}, balance.OutcomeError, false},
		{"the driver's own query was refused", Result{Err: sql("42501"), InFactsQuery: true}, balance.OutcomeError, false},
		{"unique violation", Result{Started: true, Err: sql("23505")}, balance.OutcomeOK, true},
		{"syntax error", Result{Err: sql("42601")}, balance.OutcomeOK, true},
		{"an error of the statement on a connection that then broke", Result{End: EndBroken, Started: true, Err: sql("23505")}, balance.OutcomeReset, false},
	} {
		if got := Classify(&c.result); got.Outcome != c.outcome || got.Answers != c.answers {
			t.Errorf("%s: %+v, want outcome %v, answers %v", c.name, got, c.outcome, c.answers)
		}
	}
}
