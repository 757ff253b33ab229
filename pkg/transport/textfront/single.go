package textfront

import (
	"time"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
)

// single is the unit of work of a statement outside a transaction.
type single struct {
	*unit
	stmt boundStatement
	// faultRetries counts the retries after an upstream failed to execute the
	// statement.
	faultRetries int
}

// maxFaultRetries bounds the retries of a read that upstreams fail to execute.
// One that fails everywhere is probably wrong itself.
const maxFaultRetries = 2

// mayRetryFault reports whether a read is retried after the upstream failed to
// execute it.
func (u *single) mayRetryFault(reason statement.Reason) bool {
	failed := reason == statement.StatementFailed || reason == statement.TimedOut
	return failed && !u.stmt.writes && u.faultRetries < maxFaultRetries && !u.isPastDeadline()
}

// runSingle answers a statement outside a transaction. A statement is retried
// only if it just reads, or if it certainly did not run.
func runSingle(s *session, route *catalog.Route, bound boundStatement, arrived time.Duration) {
	u := &single{unit: newUnit(s, route, bound.writes), stmt: bound}
	u.setDeadlines(arrived)
	for {
		if !u.acquire(bound.writes) {
			u.refuse()
			return
		}
		if u.try() {
			return
		}
		if u.isPastDeadline() || u.attempts >= maxAttempts {
			u.refuse()
			return
		}
	}
}

// refuse answers a statement that could not be placed on an upstream, or whose
// attempts all failed. Nothing of it is kept.
func (u *single) refuse() {
	u.refundRate()
	s := u.session
	s.out = s.codec().AppendFailure(s.out, refusalFailure(u.unit))
	s.noPermit = u.lacksPermit()
	s.server.recorder.refused(u.unit, u.stmt.request)
}

// try sends the statement once. It returns false if it may be retried; the
// placement has been released then.
func (u *single) try() bool {
	u.requirePrepared(u.stmt)
	if err := u.confirm(); err != nil {
		u.avoidUpstream(statement.Other)
		u.discardConn()
		return false
	}
	if !u.keyStillValid() {
		u.refuse()
		return true
	}
	positionChecked := !u.placement.RequiredPosition.IsZero()
	if u.placement.Primary && !positionChecked && !u.dispatch().MaySend(u.route.Group, u.placement) {
		u.returnConn()
		return false
	}
	deadline := u.deadline
	if !u.stmt.writes {
		deadline = u.answerDeadline()
	}
	answer, err := u.exchange(u.encode(u.stmt, u.placement.RequiredPosition), deadline)
	if err != nil {
		return u.handleLostAnswer(err)
	}
	return u.handleAnswer(answer, positionChecked)
}

// handleLostAnswer handles a statement that was sent but not answered. A read
// is retried; the outcome of a write is unknown.
func (u *single) handleLostAnswer(err error) bool {
	if !u.stmt.writes {
		u.session.server.recorder.retried(u.unit, u.stmt.request, err.Error())
		u.answerLost = true
		u.avoidUpstream(statement.Other)
		u.discardConn()
		return false
	}
	s := u.session
	s.server.recorder.unknown(u.unit, u.stmt.request, err.Error())
	u.discardConn()
	s.out = s.codec().AppendFailure(s.out, statement.Failure{
		Code: statement.FailUnknown, Text: "no answer from the upstream",
	})
	return true
}

// handleAnswer handles the answer of the upstream. positionChecked is set for a
// read with a required position, which the upstream checks, so that its answer
// is fresh enough wherever it ran.
func (u *single) handleAnswer(answer *statement.Answer, positionChecked bool) bool {
	switch answer.Reason {
	case statement.Succeeded:
		return u.acknowledge(answer, positionChecked)
	case statement.Busy, statement.Lagging, statement.NotWritable, statement.NotPrepared:
		return u.retry(answer)
	}
	if u.mayRetryFault(answer.Reason) {
		u.faultRetries++
		return u.retry(answer)
	}
	s := u.session
	code := failureCode(answer.Reason, u.stmt.writes)
	s.server.recorder.upstreamFailed(u.unit, u.stmt.request, code, answer)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: code, Text: answer.Detail})
	u.returnOrDiscardConn(answer)
	return true
}

// returnOrDiscardConn returns the connection for reuse if no transaction is
// open on it, and closes it otherwise.
func (u *unit) returnOrDiscardConn(answer *statement.Answer) {
	if answer.State == statement.Idle {
		u.returnConn()
		return
	}
	u.discardConn()
}

// retry prepares a retry of a statement that the upstream did not execute, or
// of a read that failed.
func (u *single) retry(answer *statement.Answer) bool {
	u.session.server.recorder.retried(u.unit, u.stmt.request, answer.Reason.String())
	switch answer.Reason {
	case statement.NotPrepared:
		u.conn.ForgetPrepared(u.stmt.prepared.upstreamName)
	case statement.NotWritable:
		u.dispatch().ConnectFailed(u.route.Group, u.placement)
	default:
		u.avoidUpstream(answer.Reason)
	}
	delay := answer.Reason == statement.Busy && u.spec.NeedsPrimary || answer.Reason == statement.NotWritable
	u.returnOrDiscardConn(answer)
	if delay {
		sleep(u.session.server.ctx, busyRetryDelay)
	}
	return false
}

// acknowledge passes the answer on to the caller, provided that the permit of
// the primary's generation still holds.
func (u *single) acknowledge(answer *statement.Answer, positionChecked bool) bool {
	s := u.session
	if u.placement.Primary && !positionChecked && !u.dispatch().MayAcknowledge(u.route.Group, u.placement) {
		return u.permitExpired(answer)
	}
	if u.stmt.writes {
		s.recordWrite(answer.Position)
	}
	s.server.recorder.served(u.unit, u.stmt.request, answer)
	u.returnOrDiscardConn(answer)
	for _, row := range answer.Rows {
		s.out = append(s.out, row...)
		s.out = append(s.out, '\r', '\n')
	}
	s.complete(answer.Signature)
	return true
}

// permitExpired handles the answer of an upstream that may no longer be the
// primary. A read is retried; the outcome of a write is unknown.
func (u *single) permitExpired(answer *statement.Answer) bool {
	s := u.session
	if !u.stmt.writes {
		s.server.recorder.retried(u.unit, u.stmt.request, "permit ended")
		u.returnOrDiscardConn(answer)
		return false
	}
	s.server.recorder.unknown(u.unit, u.stmt.request, "permit ended before the acknowledgement")
	u.returnOrDiscardConn(answer)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{
		Code: statement.FailUnknown, Text: "the primary was replaced",
	})
	return true
}
