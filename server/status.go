package server

import (
	"fmt"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"umberladder/driver"
	"umberladder/pgwire"
)

// errorDomain is the domain of each google.rpc.ErrorInfo that the driver sends.
const errorDomain = "umberladder"

// Reasons of google.rpc.ErrorInfo. REFUSED guarantees that nothing ran, or that the statement is safe to repeat.
const (
	reasonRefused = "REFUSED"
	reasonFailed  = "FAILED"
	reasonSQL     = "SQL_ERROR"
	reasonSize    = "RESULT_TOO_LARGE"
	reasonStalled = "NOT_READ"
)

// tokenReasons holds the reasons of refusals for which a retry with the same token is of no use.
var tokenReasons = map[driver.Cause]string{driver.CauseTokenMissing: "TOKEN_MISSING", driver.CauseTokenLost: "TOKEN_LOST",
	driver.CauseTokenAhead: "TOKEN_AHEAD"}

// statusOf returns the gRPC status of a refused or failed answer, nil for a served one. docs/outcomes.md has the
// table.
func statusOf(a *driver.Answer) error {
	switch a.Status {
	case driver.Refused:
		code, reason := codes.Unavailable, reasonRefused
		switch a.Cause {
		case driver.CauseMaxOpen, driver.CauseConcurrencyLimit, driver.CauseClientShare, driver.CauseRequestBytes, driver.CauseMemory, driver.CauseOverload, driver.CauseRetryBudget:
			code = codes.ResourceExhausted
		case driver.CauseSlice:
			code = codes.NotFound
		case driver.CauseClass, driver.CauseForeignToken:
			code = codes.InvalidArgument
		case driver.CauseTokenMissing, driver.CauseTokenLost, driver.CauseTokenAhead:
			code, reason = codes.FailedPrecondition, tokenReasons[a.Cause]
		}
		details := []protoadapt.MessageV1{info(reason, nil)}
		if a.Cause == driver.CauseForeignToken {
			details = append(details, &errdetails.BadRequest{FieldViolations: []*errdetails.BadRequest_FieldViolation{{
				Field: "token", Description: a.Cause.String()}}})
		}
		if a.RetryAfter > 0 {
			details = append(details, &errdetails.RetryInfo{RetryDelay: durationpb.New(a.RetryAfter)})
		}
		return detailed(code, "refused, nothing ran: "+a.Cause.String(), details...)
	case driver.Failed:
		return detailed(codes.Unknown, "failed, it may have run: "+a.Cause.String(), info(reasonFailed, nil))
	}
	return nil
}

// sqlStatus returns the gRPC status of the statement's own error. Its transaction was rolled back.
func sqlStatus(e *pgwire.Error) error {
	code := codes.Internal
	switch e.Code[:2] {
	case "22", "42", "0A", "25", "34", "26", "2F":
		code = codes.InvalidArgument
	case "23":
		code = codes.FailedPrecondition
	case "28":
		code = codes.PermissionDenied
	case "40":
		code = codes.Aborted
	case "55":
		code = codes.FailedPrecondition
	}
	switch e.Code {
	case "23505", "42P07", "42710":
		code = codes.AlreadyExists
	case "42P01", "42704", "42883", "3D000", "3F000":
		code = codes.NotFound
	case "42501":
		code = codes.PermissionDenied
	}
	return detailed(code, fmt.Sprintf("the database node answered: %s", e.Error()), info(reasonSQL,
		map[string]string{"sqlstate": e.Code, "detail": e.Detail, "hint": e.Hint}))
}

func info(reason string, meta map[string]string) *errdetails.ErrorInfo {
	for k, v := range meta {
		if v == "" {
			delete(meta, k)
		}
	}
	return &errdetails.ErrorInfo{Domain: errorDomain, Reason: reason, Metadata: meta}
}

func detailed(code codes.Code, text string, details ...protoadapt.MessageV1) error {
	st := status.New(code, text)
	if with, err := st.WithDetails(details...); err == nil {
		st = with
	}
	return st.Err()
}

func badRequest(field, format string, args ...any) error {
	why := fmt.Sprintf(format, args...)
	return detailed(codes.InvalidArgument, field+": "+why, &errdetails.BadRequest{
		FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: field, Description: why}}})
}
