package textfront

import (
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
)

// transaction is a caller's transaction. It gets a connection with its first
// statement, and keeps it to the end.
type transaction struct {
	*unit
	readOnly bool
	// wrote is set once a statement that writes has run.
	wrote bool
	// idleUntil is when the transaction is rolled back if the caller sends
	// nothing; zero for never.
	idleUntil time.Time
	// lost is set once it was rolled back without the caller's knowledge.
	lost bool
}

func newTransaction(s *session, route *catalog.Route, readOnly bool) *transaction {
	tx := &transaction{unit: newUnit(s, route, !readOnly), readOnly: readOnly}
	tx.rest()
	return tx
}

// rest starts the time that the caller has for its next statement.
func (tx *transaction) rest() {
	if idle := tx.dispatch().Catalog().Limits.TransactionIdle; idle > 0 {
		tx.idleUntil = time.Now().Add(idle)
	}
}

// run answers a statement of the transaction.
func (tx *transaction) run(w work, arrived time.Duration) {
	defer tx.rest()
	tx.arrive(arrived)
	s := tx.session
	if tx.lost {
		tx.abort(w.request, statement.FailAborted, "the transaction was idle for too long")
		return
	}
	if w.writes && tx.readOnly {
		tx.abort(w.request, statement.FailReadOnly, "the transaction only reads")
		return
	}
	if !tx.open(w.request) {
		return
	}
	answer := tx.carryOut(w)
	if answer == nil {
		return
	}
	tx.wrote = tx.wrote || w.writes
	s.server.record.served(tx.unit, w.request, answer)
	for _, row := range answer.Rows {
		s.out = append(s.out, row...)
		s.out = append(s.out, '\r', '\n')
	}
	s.complete(answer.Signature)
}

// carryOut sends a statement on the transaction's connection. It returns nil
// if the transaction has failed, which the caller has then been told.
func (tx *transaction) carryOut(w work) *statement.Answer {
	for {
		if err := tx.conn.SetSessionValues(tx.session.values, tx.until(tx.deadline)); err != nil {
			tx.abort(w.request, statement.FailAborted, "connection lost")
			return nil
		}
		if err := tx.prepare(w); err != nil {
			tx.abort(w.request, statement.FailAborted, "connection lost")
			return nil
		}
		answer, err := tx.exchange(tx.message(w, model.Position{}), tx.deadline)
		if err != nil {
			tx.abort(w.request, statement.FailAborted, "connection lost")
			return nil
		}
		switch {
		case answer.Reason == statement.Succeeded:
			return answer
		case answer.Reason == statement.NotPrepared && answer.State == statement.InTransaction && !tx.isLate():
			tx.conn.ForgetPrepared(w.prepared.name)
		case answer.Reason == statement.Busy && answer.State == statement.InTransaction && !tx.isLate():
			sleep(tx.session.server.ctx, busyPause)
		default:
			tx.failed(w.request, answer)
			return nil
		}
	}
}

// failed tells the caller of an answer that fails the transaction. As nothing
// was committed, it is a promise unless the statement itself has failed.
func (tx *transaction) failed(request statement.Request, answer *statement.Answer) {
	code := statement.FailAborted
	switch answer.Reason {
	case statement.Faulted:
		code = statement.FailStatement
	case statement.Malformed:
		code = statement.FailMalformed
	}
	tx.abort(request, code, answer.Reason.String()+" "+answer.Detail)
}

// abort rolls the transaction back and tells the caller.
func (tx *transaction) abort(request statement.Request, code statement.FailureCode, text string) {
	s := tx.session
	s.server.record.aborted(tx.unit, request, code, text)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: code, Text: text})
	s.abort()
}

// open gives the transaction its connection, if it has none yet. It returns
// false if that failed, which the caller has then been told.
func (tx *transaction) open(request statement.Request) bool {
	if tx.conn != nil {
		return true
	}
	for {
		if !tx.acquire(!tx.readOnly) {
			break
		}
		if tx.begin(request) {
			return true
		}
		if tx.isLate() || tx.tries >= maxTries {
			break
		}
	}
	s := tx.session
	s.server.record.refused(tx.unit, request)
	s.out = s.codec().AppendFailure(s.out, refused(tx.unit))
	s.abort()
	return false
}

// begin starts the transaction on its connection. If it returns false the
// place has been given back.
func (tx *transaction) begin(request statement.Request) bool {
	since := tx.placement.RequiredPosition
	if tx.placement.Primary && since.IsZero() && !tx.dispatch().MaySend(tx.route.Group, tx.placement) {
		tx.finish()
		return false
	}
	answer, err := tx.exchange(tx.conn.Codec().AppendBegin(nil, tx.readOnly, since), tx.patience())
	if err != nil {
		tx.session.server.record.retried(tx.unit, request, err.Error())
		tx.avoid(statement.Other)
		tx.drop()
		return false
	}
	if answer.Reason != statement.Succeeded || answer.State != statement.InTransaction {
		tx.session.server.record.retried(tx.unit, request, answer.Reason.String())
		if answer.Reason == statement.NotWritable {
			tx.dispatch().ConnectFailed(tx.route.Group, tx.placement)
		} else {
			tx.avoid(answer.Reason)
		}
		tx.giveBack(answer)
		sleep(tx.session.server.ctx, busyPause)
		return false
	}
	if tx.placement.Primary && since.IsZero() && !tx.dispatch().MayAcknowledge(tx.route.Group, tx.placement) {
		tx.drop()
		return false
	}
	return true
}

// commit ends the transaction.
func (tx *transaction) commit(request statement.Request, arrived time.Duration) {
	tx.arrive(arrived)
	s := tx.session
	if tx.lost {
		s.fail(request, statement.FailAborted, "the transaction was idle for too long")
		return
	}
	if !tx.open(request) {
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
		s.server.record.unknown(tx.unit, request, "permit ended before the acknowledgement")
		tx.giveBack(answer)
		s.fail(request, statement.FailUnknown, "the primary was replaced")
		return
	}
	if tx.wrote {
		s.wrote(answer.Position)
	}
	s.server.record.served(tx.unit, request, answer)
	tx.giveBack(answer)
	s.complete(answer.Signature)
}

// sendCommit sends the commit. It returns nil if that did not succeed, which
// the caller has then been told.
func (tx *transaction) sendCommit(request statement.Request) *statement.Answer {
	s := tx.session
	for {
		answer, err := tx.exchange(tx.conn.Codec().AppendRequest(nil, request, model.Position{}), tx.deadline)
		if errors.Is(err, textback.ErrNotSent) {
			s.server.record.aborted(tx.unit, request, statement.FailAborted, err.Error())
			tx.drop()
			s.fail(request, statement.FailAborted, "connection lost before the commit")
			return nil
		}
		if err != nil {
			s.server.record.unknown(tx.unit, request, err.Error())
			tx.drop()
			s.fail(request, tx.outcomeCode(), "no answer to the commit")
			return nil
		}
		switch {
		case answer.Reason == statement.Succeeded:
			return answer
		case answer.Reason == statement.Busy && answer.State == statement.InTransaction && !tx.isLate():
			sleep(s.server.ctx, busyPause)
		default:
			tx.commitFailed(request, answer)
			return nil
		}
	}
}

// commitFailed tells the caller of a commit that was refused.
func (tx *transaction) commitFailed(request statement.Request, answer *statement.Answer) {
	s := tx.session
	code := statement.FailAborted
	switch answer.Reason {
	case statement.Faulted:
		code = statement.FailStatement
	case statement.TimedOut, statement.Other:
		code = tx.outcomeCode()
	}
	s.server.record.answered(tx.unit, request, code, answer)
	tx.giveBack(answer)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: code, Text: answer.Detail})
}

// outcomeCode is what a caller is told of a commit without an answer. One of a
// transaction that wrote nothing leaves nothing behind.
func (tx *transaction) outcomeCode() statement.FailureCode {
	if tx.wrote {
		return statement.FailUnknown
	}
	return statement.FailAborted
}

// rollbackTimeout bounds the wait for the end of a transaction that is given
// up; its connection is closed otherwise, which rolls back too.
const rollbackTimeout = 300 * time.Millisecond

// rollBack ends the transaction at its upstream.
func (tx *transaction) rollBack() {
	if tx.conn == nil {
		return
	}
	answer, err := tx.conn.Exchange(tx.conn.Codec().AppendRollback(nil), time.Now().Add(rollbackTimeout))
	if err != nil || answer.Reason != statement.Succeeded {
		tx.drop()
		return
	}
	tx.giveBack(answer)
}
