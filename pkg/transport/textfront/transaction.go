package textfront

import (
	"time"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// transaction is the unit of work of a caller's transaction. It obtains a
// connection with its first statement and keeps it until it ends.
type transaction struct {
	*unit
	idleTimer
	readOnly bool
	// wrote is set once a writing statement has run.
	wrote bool
}

func newTransaction(s *session, route *catalog.Route, readOnly bool) *transaction {
	tx := &transaction{unit: newUnit(s, route, !readOnly), readOnly: readOnly}
	tx.restart(tx.dispatch().Catalog().Limits.TransactionIdle)
	return tx
}

// run answers a statement of the transaction.
func (tx *transaction) run(stmt boundStatement, arrived time.Duration) {
	defer tx.restart(tx.dispatch().Catalog().Limits.TransactionIdle)
	tx.setDeadlines(arrived)
	s := tx.session
	if tx.rolledBack {
		tx.abort(stmt.request, statement.FailAborted, "the transaction was idle for too long")
		return
	}
	if stmt.writes && tx.readOnly {
		tx.abort(stmt.request, statement.FailReadOnly, "the transaction only reads")
		return
	}
	if !tx.ensureBegun(stmt) {
		return
	}
	answer := tx.execute(stmt)
	if answer == nil {
		return
	}
	tx.wrote = tx.wrote || stmt.writes
	s.server.recorder.served(tx.unit, stmt.request, answer)
	for _, row := range answer.Rows {
		s.out = append(s.out, row...)
		s.out = append(s.out, '\r', '\n')
	}
	s.complete(answer.Signature)
}

// maxPrepares bounds the attempts at a statement that the upstream says it has not
// prepared.
const maxPrepares = 2

// execute sends a statement on the transaction's connection. It returns nil if
// the transaction failed; the caller has been told then.
func (tx *transaction) execute(stmt boundStatement) *statement.Answer {
	for prepares := 0; ; {
		tx.conn.RequireValues(tx.session.values)
		tx.requirePrepared(stmt)
		if err := tx.confirm(); err != nil {
			tx.abort(stmt.request, statement.FailAborted, "connection lost")
			return nil
		}
		answer, err := tx.exchange(tx.encode(stmt, model.Position{}), tx.deadline)
		if err != nil {
			tx.abort(stmt.request, statement.FailAborted, "connection lost")
			return nil
		}
		switch {
		case answer.Reason == statement.Succeeded:
			return answer
		case answer.Reason == statement.NotPrepared && answer.State == statement.InTransaction && prepares < maxPrepares:
			prepares++
			tx.conn.ForgetPrepared(stmt.prepared.upstreamName)
		case answer.Reason == statement.Busy && answer.State == statement.InTransaction && !tx.isPastDeadline():
			sleep(tx.session.server.ctx, busyRetryDelay)
		default:
			tx.abortOnAnswer(stmt.request, answer)
			return nil
		}
	}
}

// abortOnAnswer aborts the transaction after an error of the upstream. As
// nothing was committed, the code is FailAborted, which states that nothing is
// kept, unless the statement itself is at fault.
func (tx *transaction) abortOnAnswer(request statement.Request, answer *statement.Answer) {
	code := statement.FailAborted
	switch answer.Reason {
	case statement.StatementFailed:
		code = statement.FailStatement
	case statement.Malformed:
		code = statement.FailMalformed
	}
	tx.abort(request, code, answer.Reason.String()+" "+answer.Detail)
}

// abort rolls back the transaction and tells the caller.
func (tx *transaction) abort(request statement.Request, code statement.FailureCode, text string) {
	s := tx.session
	s.server.recorder.aborted(tx.unit, request, code, text)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: code, Text: text})
	s.failTransaction()
}

// ensureBegun obtains a connection and begins the transaction on it, unless
// that was done before. It returns false on failure; the caller has been told
// then.
func (tx *transaction) ensureBegun(stmt boundStatement) bool {
	if tx.conn != nil {
		return true
	}
	for {
		if !tx.acquire(!tx.readOnly) {
			break
		}
		if tx.begin(stmt) {
			return true
		}
		if tx.isPastDeadline() || tx.attempts >= maxAttempts {
			break
		}
	}
	tx.refundRate()
	s := tx.session
	s.noPermit = tx.lacksPermit()
	s.server.recorder.refused(tx.unit, stmt.request)
	s.out = s.codec().AppendFailure(s.out, refusalFailure(tx.unit))
	s.failTransaction()
	return false
}

// begin begins the transaction on its connection, which also gets ready for the
// first statement. If it returns false, the placement has been released.
func (tx *transaction) begin(stmt boundStatement) bool {
	request := stmt.request
	required := tx.placement.RequiredPosition
	if tx.placement.Primary && required.IsZero() && !tx.dispatch().MaySend(tx.route.Group, tx.placement) {
		tx.returnConn()
		return false
	}
	tx.requirePrepared(stmt)
	if err := tx.conn.CheckSetup(); err != nil {
		tx.discardConn()
		return false
	}
	answer, err := tx.exchangeBy(tx.conn.ExchangeBegin, tx.conn.Codec().AppendBegin(nil, tx.readOnly, required), tx.answerDeadline())
	if err != nil {
		tx.session.server.recorder.retried(tx.unit, request, err.Error())
		tx.avoidUpstream(statement.Other)
		tx.discardConn()
		return false
	}
	if answer.Reason != statement.Succeeded || answer.State != statement.InTransaction {
		tx.session.server.recorder.retried(tx.unit, request, answer.Reason.String())
		if answer.Reason == statement.NotWritable {
			tx.dispatch().ConnectFailed(tx.route.Group, tx.placement)
		} else {
			tx.avoidUpstream(answer.Reason)
		}
		tx.returnOrDiscardConn(answer)
		sleep(tx.session.server.ctx, busyRetryDelay)
		return false
	}
	if tx.placement.Primary && required.IsZero() && !tx.dispatch().MayAcknowledge(tx.route.Group, tx.placement) {
		tx.discardConn()
		return false
	}
	return true
}

// commit commits the transaction and answers the caller.
func (tx *transaction) commit(request statement.Request, arrived time.Duration) {
	tx.setDeadlines(arrived)
	s := tx.session
	if tx.rolledBack {
		s.fail(request, statement.FailAborted, "the transaction was idle for too long")
		return
	}
	if !tx.ensureBegun(boundStatement{request: request}) {
		s.state = statement.Idle
		return
	}
	if tx.wrote && !tx.dispatch().MaySend(tx.route.Group, tx.placement) {
		tx.rollBack()
		s.fail(request, statement.FailAborted, "the primary was replaced")
		return
	}
	answer := tx.sendCommit(request)
	if answer == nil {
		return
	}
	if tx.wrote && !tx.dispatch().MayAcknowledge(tx.route.Group, tx.placement) {
		s.server.recorder.unknown(tx.unit, request, "permit ended before the acknowledgement")
		tx.returnOrDiscardConn(answer)
		s.fail(request, statement.FailUnknown, "the primary was replaced")
		return
	}
	if tx.wrote {
		s.recordWrite(answer.Position)
	}
	s.server.recorder.served(tx.unit, request, answer)
	tx.returnOrDiscardConn(answer)
	s.complete(answer.Signature)
}

// sendCommit sends the commit. It returns nil if the commit did not succeed;
// the caller has been told then.
func (tx *transaction) sendCommit(request statement.Request) *statement.Answer {
	s := tx.session
	for {
		answer, err := tx.exchange(tx.conn.Codec().AppendRequest(nil, request, model.Position{}), tx.deadline)
		if err != nil {
			s.server.recorder.unknown(tx.unit, request, err.Error())
			tx.discardConn()
			s.fail(request, tx.lostCommitCode(), "no answer to the commit")
			return nil
		}
		switch {
		case answer.Reason == statement.Succeeded:
			return answer
		case answer.Reason == statement.Busy && answer.State == statement.InTransaction && !tx.isPastDeadline():
			sleep(s.server.ctx, busyRetryDelay)
		default:
			tx.commitFailed(request, answer)
			return nil
		}
	}
}

// commitFailed tells the caller that the upstream refused the commit.
func (tx *transaction) commitFailed(request statement.Request, answer *statement.Answer) {
	s := tx.session
	code := statement.FailAborted
	switch answer.Reason {
	case statement.StatementFailed:
		code = statement.FailStatement
	case statement.TimedOut, statement.Other:
		code = tx.lostCommitCode()
	}
	s.server.recorder.upstreamFailed(tx.unit, request, code, answer)
	tx.returnOrDiscardConn(answer)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: code, Text: answer.Detail})
}

// lostCommitCode returns the failure code for a commit whose result is not
// known. A transaction that wrote nothing has the same effect either way, so
// that it counts as aborted.
func (tx *transaction) lostCommitCode() statement.FailureCode {
	if tx.wrote {
		return statement.FailUnknown
	}
	return statement.FailAborted
}

// rollbackTimeout bounds the wait for the answer to a rollback. After it the
// connection is closed, which makes the upstream roll back too.
const rollbackTimeout = 300 * time.Millisecond

// rollBack rolls back the transaction at its upstream and gives the connection
// up.
func (tx *transaction) rollBack() {
	if tx.conn == nil {
		return
	}
	answer, err := tx.conn.Exchange(tx.conn.Codec().AppendRollback(nil), time.Now().Add(rollbackTimeout))
	if err != nil || answer.Reason != statement.Succeeded {
		tx.discardConn()
		return
	}
	tx.returnOrDiscardConn(answer)
}
