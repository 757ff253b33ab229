package pgfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/verdict"
)

// refusedQuery is a text that no upstream accepts. It makes a transaction
// fail when the proxy refuses one of its statements.
const refusedQuery = "refused"

// simple carries out a Query message.
func (s *session) simple(message *pgproto3.Query) {
	s.server.counters.requests.Add(1)
	s.dropBatch()
	s.unnamed = nil
	class := pgwire.Classify(message.String)
	switch {
	case class.Empty():
		s.answerLocally(&pgproto3.EmptyQueryResponse{})
	case s.failed != nil:
		s.simpleInFailed(&class)
	case class.Unsupported != "":
		s.refuseQuery(unsupported(class.Unsupported))
	case s.deallocates(&class):
		s.answerLocally(&pgproto3.CommandComplete{CommandTag: []byte("DEALLOCATE")})
	case class.Begins && s.unit == nil && s.begin == nil:
		s.begin = &pendingBegin{text: message.String, readOnly: class.ReadOnly, tags: class.Tags, arrived: time.Now()}
		s.answerLocally(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case s.begin != nil && class.PlainEnd:
		s.begin = nil
		s.answerLocally(endTag(class.Commits))
	default:
		s.runQuery(message, &class)
	}
}

// deallocates drops the prepared statement that a DEALLOCATE names, and reports
// whether there was one. Upstreams know it by another name.
func (s *session) deallocates(class *pgwire.Class) bool {
	name := class.Deallocates
	if name == "" || s.statements[name] == nil || s.status() == statusFailed {
		return false
	}
	delete(s.statements, name)
	return true
}

func endTag(commits bool) *pgproto3.CommandComplete {
	if commits {
		return &pgproto3.CommandComplete{CommandTag: []byte("COMMIT")}
	}
	return &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}
}

// answerLocally gives an answer that needs no upstream.
func (s *session) answerLocally(message pgproto3.BackendMessage) {
	s.output.send(message)
	s.finishRequest()
}

// finishRequest ends the answer to a request.
func (s *session) finishRequest() {
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	s.sendReady()
	if s.broken {
		s.server.counters.abandoned.Add(1)
		return
	}
	s.server.counters.answered.Add(1)
}

// simpleInFailed answers a query in a transaction that the proxy has given up.
func (s *session) simpleInFailed(class *pgwire.Class) {
	if class.PlainEnd {
		s.failed = nil
		s.answerLocally(endTag(false))
		return
	}
	s.sendError(s.failed)
	s.finishRequest()
}

// refuseSimple answers a message that the proxy does not serve.
func (s *session) refuseSimple(e *verdict.Error) {
	s.server.counters.requests.Add(1)
	s.dropBatch()
	if s.failed != nil {
		e = s.failed
	}
	s.refuseQuery(e)
}

// refuseQuery answers a query that is not run. A transaction in progress
// fails, as it does for any other error.
func (s *session) refuseQuery(e *verdict.Error) {
	if s.unit == nil {
		if s.begin != nil {
			s.begin = nil
			s.failed = abortedError()
		}
		s.sendError(e)
		s.finishRequest()
		return
	}
	b := newBatch()
	b.complete = true
	s.mustAdd(b, entry{kind: entryQuery, refusal: errorOf(e)}, &pgproto3.Query{String: refusedQuery})
	s.runBatch(b)
}

func abortedError() *verdict.Error {
	return verdict.New(verdict.TransactionAborted, verdict.NotRun,
		"the transaction is aborted, commands are ignored until its end")
}

func (s *session) runQuery(message *pgproto3.Query, class *pgwire.Class) {
	b := newBatch()
	b.complete = true
	b.note(class)
	s.mustAdd(b, entry{kind: entryQuery}, message)
	s.runBatch(b)
}

// mustAdd adds a message whose encoding fails only above the protocol's limit
// of length, which is far above that of a caller's message.
func (s *session) mustAdd(b *batch, e entry, message pgproto3.FrontendMessage) {
	if err := b.add(e, message); err != nil {
		s.broken = true
	}
}

func (s *session) dropBatch() {
	if s.batch == nil {
		return
	}
	s.batch.release()
	s.batch = nil
}
