package textfront

import (
	"time"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/transport/textforward"
)

// forwardedTransaction is a caller's transaction that a server of its group
// executes. It obtains the server with its first statement and keeps it until it
// ends.
type forwardedTransaction struct {
	*forwarding
	idleTimer
	readOnly bool
	// wrote is set once a writing statement has run.
	wrote bool
	// stream is nil before the first statement.
	stream *textforward.Stream
}

func newForwardedTransaction(s *session, route *catalog.Route, readOnly bool) *forwardedTransaction {
	tx := &forwardedTransaction{forwarding: newForwarding(s, route), readOnly: readOnly}
	tx.restart(s.server.config.Dispatch.Catalog().Limits.TransactionIdle)
	return tx
}

// exchange sends a statement to the server. It returns nil if there is no reply;
// the transaction has ended then and, unless lost is set, nothing of it has run.
func (tx *forwardedTransaction) exchange(stmt boundStatement, arrived time.Duration) (reply *meshpb.UnitReply, lost bool) {
	tx.setDeadline(arrived)
	if tx.stream == nil {
		open := tx.open()
		open.Transaction = true
		open.ReadOnly = tx.readOnly
		// Nothing of the transaction is committed yet, so all of it can be
		// repeated at another server.
		tx.stream, reply, _ = tx.begin(stmt, open, true)
		return reply, false
	}
	inDoubt := tx.wrote && stmt.request.Kind == statement.Commit
	reply, err := tx.stream.Exchange(tx.request(stmt, nil), tx.deadline, !inDoubt)
	if err != nil {
		tx.rollBack()
		return nil, true
	}
	return reply, false
}

// run answers a statement of the transaction.
func (tx *forwardedTransaction) run(stmt boundStatement, arrived time.Duration) {
	s := tx.session
	defer tx.restart(s.server.config.Dispatch.Catalog().Limits.TransactionIdle)
	if tx.rolledBack {
		tx.abort(stmt.request, "the transaction was idle for too long")
		return
	}
	reply, lost := tx.exchange(stmt, arrived)
	switch {
	case lost:
		tx.abort(stmt.request, "connection lost")
	case reply == nil:
		if local, found := tx.localTransaction(); found {
			s.tx = local
			local.run(stmt, arrived)
			return
		}
		tx.refuse(stmt.request)
		s.failTransaction()
	case tx.isRefused(stmt.request, reply):
		s.failTransaction()
	default:
		tx.wrote = tx.wrote || stmt.writes
		tx.answer(stmt.request, reply)
		if reply.GetState() != uint32(statement.InTransaction) {
			s.failTransaction()
		}
	}
}

// abort ends the transaction, of which nothing is kept, and tells the caller.
func (tx *forwardedTransaction) abort(request statement.Request, text string) {
	s := tx.session
	tx.recorder().forwardFailed(tx.forwarding, request, statement.FailAborted, "not_run", text)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: statement.FailAborted, Text: text})
	s.failTransaction()
}

// commit commits the transaction and answers the caller.
func (tx *forwardedTransaction) commit(request statement.Request, arrived time.Duration) {
	s := tx.session
	if tx.rolledBack {
		s.fail(request, statement.FailAborted, "the transaction was idle for too long")
		return
	}
	reply, lost := tx.exchange(boundStatement{request: request}, arrived)
	tx.rollBack()
	switch {
	case reply != nil && tx.isRefused(request, reply):
	case reply != nil:
		tx.answer(request, reply)
	case lost && tx.wrote:
		tx.recorder().forwardFailed(tx.forwarding, request, statement.FailUnknown, "may_have_run", "no answer to the commit")
		s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: statement.FailUnknown, Text: "no answer to the commit"})
	case lost:
		tx.recorder().forwardFailed(tx.forwarding, request, statement.FailAborted, "not_run", "no answer to the commit")
		s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: statement.FailAborted, Text: "no answer to the commit"})
	default:
		if local, found := tx.localTransaction(); found {
			local.commit(request, arrived)
			return
		}
		tx.refuse(request)
	}
}

// rollBack ends the stream, upon which the server rolls back what is not
// committed.
func (tx *forwardedTransaction) rollBack() {
	if tx.stream != nil {
		tx.stream.Close()
		tx.stream = nil
	}
}
