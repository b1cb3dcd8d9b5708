package driver

import (
	"umberladder/balance"
)

// SQLSTATEs that say more than that the statement failed. docs/outcomes.md has the whole table.
const (
	codeReadOnlyTransaction  = "25006" // read_only_sql_transaction: a write at a replica
	codeTooManyConnections   = "53300" // too_many_connections
	codeCannotConnectNow     = "57P03" // cannot_connect_now: starting up, shutting down, in recovery
	codeAdminShutdown        = "57P01" // admin_shutdown
	codeCrashShutdown        = "57P02" // crash_shutdown
	codeQueryCanceled        = "57014" // query_canceled
	codeSerializationFailure = "40001" // serialization_failure; on a replica also a conflict with recovery
	codeDeadlockDetected     = "40P01" // deadlock_detected; on a replica likewise
	codeDatabaseDropped      = "57P04" // database_dropped
	codeIdleSessionTimeout   = "57P05" // idle_session_timeout
)

// Classification is the router's view of an exchange's result.
type Classification struct {
	Outcome balance.Outcome
	Answers bool // the node's reply, rows or its error, is the answer to the client
}

// Classify maps the result of an exchange to the router's outcome. No other code decides this:
//
//	not written                            ConnectFailed   nothing ran
//	broken before the node started it,
//	  by a shutdown that it announced      ConnectFailed   nothing ran
//	broken otherwise, answer incomplete    Reset           may have run
//	broken after the commit was answered   OK              the answer is valid, only its position is missing
//	the guard before a write               Miss            not primary, or too late; nothing ran
//	25006                                  Miss            a write sent to a replica; nothing ran
//	53300, 57P03                           Full            no connections accepted; nothing ran
//	57014                                  Cancelled       canceled on request
//	40001, 40P01 of a replica              Error           conflict with recovery; reads may go to another node
//	any other to the driver's own query    Error           the node can't report its facts; nothing ran
//	classes 53, 57, 58, XX                 Error           the node is in trouble
//	any other error                        OK              the statement's own; its transaction was rolled back
//	none                                   OK
func Classify(r *Result) Classification {
	if r.Done {
		return Classification{balance.OutcomeOK, true}
	}
	if r.GuardFailed && !r.Started {
		return Classification{Outcome: balance.OutcomeMiss}
	}
	if r.Err == nil {
		switch r.End {
		case EndNotSent:
			return Classification{Outcome: balance.OutcomeConnectFailed}
		case EndBroken:
			return Classification{Outcome: balance.OutcomeReset}
		}
		return Classification{balance.OutcomeOK, true}
	}
	return classifyError(r)
}

func classifyError(r *Result) Classification {
	switch code := r.Err.Code; code {
	case codeReadOnlyTransaction:
		return Classification{Outcome: balance.OutcomeMiss}
	case codeTooManyConnections, codeCannotConnectNow:
		return Classification{Outcome: balance.OutcomeFull}
	case codeAdminShutdown, codeCrashShutdown, codeDatabaseDropped, codeIdleSessionTimeout:
		if !r.Started {
			return Classification{Outcome: balance.OutcomeConnectFailed}
		}
		return Classification{Outcome: balance.OutcomeReset}
	case codeQueryCanceled:
		return Classification{Outcome: balance.OutcomeCancelled}
	case codeSerializationFailure, codeDeadlockDetected:
		if r.InFactsQuery || r.Facts.Known && r.Facts.Replica {
			return Classification{Outcome: balance.OutcomeError}
		}
	default:
		if r.InFactsQuery {
			return Classification{Outcome: balance.OutcomeError}
		}
		switch code[:2] {
		case "53", "57", "58", "XX":
			return Classification{Outcome: balance.OutcomeError}
		}
	}
	if r.End == EndBroken {
		return Classification{Outcome: balance.OutcomeReset}
	}
	return Classification{balance.OutcomeOK, true}
}
