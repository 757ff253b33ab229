package pgfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/verdict"
)

// refusedQuery is invalid SQL that every upstream refuses. It is sent to abort a
// transaction when the proxy refuses one of its statements.
const refusedQuery = "refused"

// handleQuery handles a Query message of the simple protocol.
func (s *session) handleQuery(message *pgproto3.Query) {
	s.server.counters.requests.Add(1)
	s.discardBatch()
	s.unnamed = nil
	class := pgwire.Classify(message.String)
	switch {
	case class.Empty():
		s.answerLocally(&pgproto3.EmptyQueryResponse{})
	case s.abortCause != nil:
		s.handleQueryInAborted(&class)
	case class.Unsupported != "":
		s.refuseQuery(unsupported(class.Unsupported))
	case s.deallocateLocally(&class):
		s.answerLocally(&pgproto3.CommandComplete{CommandTag: []byte("DEALLOCATE")})
	case class.BeginsTransaction && s.unit == nil && s.deferredBegin == nil:
		s.deferredBegin = &deferredBegin{text: message.String, readOnly: class.ReadOnly, tags: class.Tags, arrived: time.Now()}
		s.answerLocally(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case s.deferredBegin != nil && class.PlainEnd:
		s.deferredBegin = nil
		s.answerLocally(endCommandComplete(class.MayCommit))
	default:
		s.runQuery(message, &class)
	}
}

// deallocateLocally removes the prepared statement that a DEALLOCATE names, and
// reports whether it did. The command can't be sent as it is, because upstreams
// know the statement by another name.
func (s *session) deallocateLocally(class *pgwire.Class) bool {
	name := class.DeallocatedName
	if name == "" || s.statements[name] == nil || s.status() == statusFailed {
		return false
	}
	delete(s.statements, name)
	return true
}

func endCommandComplete(commits bool) *pgproto3.CommandComplete {
	if commits {
		return &pgproto3.CommandComplete{CommandTag: []byte("COMMIT")}
	}
	return &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}
}

// answerLocally sends an answer that needs no upstream.
func (s *session) answerLocally(message pgproto3.BackendMessage) {
	s.output.send(message)
	s.finishRequest()
}

// finishRequest sends the end of the answer to a request and counts the request.
func (s *session) finishRequest() {
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	s.sendReady()
	if s.mustClose {
		s.server.counters.abandoned.Add(1)
		return
	}
	s.server.counters.answered.Add(1)
}

// handleQueryInAborted answers a query in a transaction that the proxy has aborted.
func (s *session) handleQueryInAborted(class *pgwire.Class) {
	if class.PlainEnd {
		s.abortCause = nil
		s.answerLocally(endCommandComplete(false))
		return
	}
	s.sendError(s.abortCause)
	s.finishRequest()
}

// refuseSimple answers a message outside the extended protocol that the proxy does
// not support.
func (s *session) refuseSimple(e *verdict.Error) {
	s.server.counters.requests.Add(1)
	s.discardBatch()
	if s.abortCause != nil {
		e = s.abortCause
	}
	s.refuseQuery(e)
}

// refuseQuery answers a query that is not run. It aborts a transaction in progress,
// as other errors do.
func (s *session) refuseQuery(e *verdict.Error) {
	if s.unit == nil {
		if s.deferredBegin != nil {
			s.deferredBegin = nil
			s.abortCause = abortedError()
		}
		s.sendError(e)
		s.finishRequest()
		return
	}
	b := newBatch()
	b.complete = true
	s.addMessage(b, entry{kind: entryQuery, refusal: errorResponseFor(e)}, &pgproto3.Query{String: refusedQuery})
	s.runBatch(b)
}

func abortedError() *verdict.Error {
	return verdict.New(verdict.TransactionAborted, verdict.NotRun,
		"the transaction is aborted, commands are ignored until its end")
}

func (s *session) runQuery(message *pgproto3.Query, class *pgwire.Class) {
	b := newBatch()
	b.complete = true
	b.mergeClass(class)
	s.addMessage(b, entry{kind: entryQuery}, message)
	s.runBatch(b)
}

// addMessage adds a message to b. Encoding fails only above the protocol's length
// limit, which is far above MaxMessageBytes.
func (s *session) addMessage(b *batch, e entry, message pgproto3.FrontendMessage) {
	if err := b.add(e, message); err != nil {
		s.mustClose = true
	}
}

func (s *session) discardBatch() {
	if s.batch == nil {
		return
	}
	s.batch.release()
	s.batch = nil
}
