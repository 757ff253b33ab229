package verdict

import "fmt"

// sqlStates maps each code to its SQLSTATE from Appendix A of PostgreSQL's
// documentation. It does not apply to requests that may have run.
var sqlStates = map[Code]string{
	Internal:         "XX000",
	Overloaded:       "53300",
	Stopping:         "57P01",
	NoPermit:         "25006",
	NoUpstream:       "57P03",
	PermitLapsed:     "25006",
	UpstreamLost:     "08006",
	AnswerCut:        "08006",
	DeadlineExceeded: "57014",
	WriteLost:        "40003",
	MarkNotStored:    "08007",
	Unsupported:      "0A000",
	TooLarge:         "54000",
	BadMessage:       "08P01",
	AuthFailed:       "28P01",
	UnknownDatabase:  "3D000",
	PeerLost:         "08006",
	Cancelled:        "57014",

	TransactionAborted: "25P02",
}

// stateMayHaveRun is the SQLSTATE transaction_resolution_unknown.
const stateMayHaveRun = "08007"

// SQLState returns the SQLSTATE that is sent to the caller. A request that may
// have run always gets transaction_resolution_unknown, so that a client library
// does not retry it automatically.
func (e *Error) SQLState() string {
	if e.Outcome == MayHaveRun {
		return stateMayHaveRun
	}
	return sqlStates[e.Code]
}

// Detail returns the DETAIL field of the error that is sent to the caller: the
// outcome and, for a request that was not run, when to retry. Clients match
// these texts.
func (e *Error) Detail() string {
	detail := fmt.Sprintf("The request was %s.", e.Outcome)
	if e.Outcome == MayHaveRun {
		detail = "The request may have run."
	}
	if e.Outcome == NotRun && e.RetryAfter > 0 {
		detail += fmt.Sprintf(" Retry after %d ms.", e.RetryAfter.Milliseconds())
	}
	return detail
}
