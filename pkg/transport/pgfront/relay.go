package pgfront

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// relayAnswers relays all outstanding answers to the caller.
func (s *session) relayAnswers() *failure {
	request := &s.unit.request
	for {
		s.sendLocalAnswers()
		if !request.awaitsAnswer() {
			return nil
		}
		message, err := s.unit.backend.Receive()
		if err != nil {
			return s.connectionLost(err)
		}
		if failed := s.relayMessage(message); failed != nil {
			return failed
		}
		if s.output.err != nil {
			return &failure{Error: callerLostError(s.output.err), final: true}
		}
	}
}

func callerLostError(err error) *verdict.Error {
	return verdict.New(verdict.AnswerCut, verdict.MayHaveRun, "the caller does not read its answer").WithCause(err)
}

// sendLocalAnswers sends the next answers that the proxy itself has to give.
func (s *session) sendLocalAnswers() {
	request := &s.unit.request
	for request.awaitsAnswer() && request.next().local {
		switch request.next().kind {
		case entryParse:
			s.sendOrHold(&pgproto3.ParseComplete{})
		case entryClose:
			s.sendOrHold(&pgproto3.CloseComplete{})
		}
		request.pop()
	}
}

// sendOrHold sends message to the caller or, once an answer is held back, appends it
// to the held part.
func (s *session) sendOrHold(message pgproto3.BackendMessage) {
	request := &s.unit.request
	if !request.holding {
		s.output.send(message)
		return
	}
	held, err := message.Encode(request.held)
	if err != nil {
		s.output.err = err
		return
	}
	request.held = held
}

func (s *session) relayMessage(message pgproto3.BackendMessage) *failure {
	expected := s.unit.request.next()
	switch message := message.(type) {
	case *pgproto3.DataRow:
		return s.relayRow(message, expected)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return s.relayDescription(message, expected)
	case *pgproto3.ParameterDescription:
		s.sendOrHold(message)
	case *pgproto3.ParseComplete:
		return s.relayCompletion(message, entryParse)
	case *pgproto3.BindComplete:
		return s.relayCompletion(message, entryBind)
	case *pgproto3.CloseComplete:
		return s.relayCompletion(message, entryClose)
	case *pgproto3.CommandComplete:
		return s.relayCommandComplete(message, expected)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return s.relayStatementEnd(message, expected)
	case *pgproto3.ErrorResponse:
		return s.relayError(message, expected)
	case *pgproto3.ReadyForQuery:
		return s.relayReady(message, expected)
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		if !expected.discard {
			s.sendOrHold(message)
		}
	case *pgproto3.NotificationResponse:
		// No caller waits for notifications, since pooled connections do not support LISTEN.
	default:
		return unexpectedAnswer(message)
	}
	return s.checkHeldSize()
}

// unexpectedAnswer returns the final failure for an answer that the proxy does not
// support or that breaks the protocol.
func unexpectedAnswer(message pgproto3.BackendMessage) *failure {
	switch message.(type) {
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		e := verdict.New(verdict.Unsupported, verdict.MayHaveRun, "COPY is not supported")
		return &failure{Error: e, final: true}
	}
	reason := fmt.Sprintf("unexpected answer of the database: %T", message)
	return &failure{Error: verdict.New(verdict.AnswerCut, verdict.MayHaveRun, reason), final: true}
}

func (s *session) checkHeldSize() *failure {
	if len(s.unit.request.held) <= s.server.config.MaxHeldBytes {
		return nil
	}
	reason := "the answer after the first completed write is larger than can be held back"
	return &failure{Error: verdict.New(verdict.TooLarge, verdict.MayHaveRun, reason), final: true}
}

func (s *session) relayRow(row *pgproto3.DataRow, expected *expectedAnswer) *failure {
	switch {
	case expected.position:
		return s.readPosition(row)
	case expected.discard, expected.kind != entryExecute && expected.kind != entryQuery:
		return unexpectedAnswer(row)
	}
	s.sendOrHold(row)
	return s.checkHeldSize()
}

func (s *session) readPosition(row *pgproto3.DataRow) *failure {
	if len(row.Values) != 1 {
		return unexpectedAnswer(row)
	}
	position, err := model.ParseLSN(string(row.Values[0]))
	if err != nil {
		return unexpectedAnswer(row)
	}
	s.unit.request.position = position
	s.unit.request.positionKnown = true
	return nil
}

func (s *session) relayDescription(message pgproto3.BackendMessage, expected *expectedAnswer) *failure {
	switch {
	case expected.position:
	case expected.kind == entryDescribeStatement, expected.kind == entryDescribePortal:
		s.sendOrHold(message)
		s.unit.request.pop()
	case expected.kind == entryQuery && !expected.discard:
		s.sendOrHold(message)
	default:
		return unexpectedAnswer(message)
	}
	return s.checkHeldSize()
}

func (s *session) relayCompletion(message pgproto3.BackendMessage, kind entryKind) *failure {
	expected := s.unit.request.next()
	if expected.kind != kind {
		return unexpectedAnswer(message)
	}
	if !expected.discard {
		s.sendOrHold(message)
	}
	s.unit.request.pop()
	return s.checkHeldSize()
}

// relayCommandComplete relays the end of a statement. From here on, the answer is
// held back if the statement may have committed a write.
func (s *session) relayCommandComplete(message *pgproto3.CommandComplete, expected *expectedAnswer) *failure {
	if expected.discard {
		return nil
	}
	s.applyCommandTag(message.CommandTag)
	return s.relayStatementEnd(message, expected)
}

// applyCommandTag updates the unit's state from a command tag.
func (s *session) applyCommandTag(tag []byte) {
	u := s.unit
	switch {
	case bytes.Equal(tag, []byte("ROLLBACK")):
		return
	case bytes.Equal(tag, []byte("BEGIN")), bytes.Equal(tag, []byte("START TRANSACTION")):
		u.inTransaction = true
		return
	case bytes.Equal(tag, []byte("DISCARD ALL")), bytes.Equal(tag, []byte("DEALLOCATE ALL")):
		clear(s.statements)
	case isWriteTag(tag):
		u.readOnly = false
	}
	if u.mayCommitWrite() {
		u.request.holding = true
	}
}

var writeTags = [][]byte{[]byte("INSERT "), []byte("UPDATE "), []byte("DELETE "), []byte("MERGE ")}

func isWriteTag(tag []byte) bool {
	for _, prefix := range writeTags {
		if bytes.HasPrefix(tag, prefix) {
			return true
		}
	}
	return false
}

func (s *session) relayStatementEnd(message pgproto3.BackendMessage, expected *expectedAnswer) *failure {
	switch {
	case expected.discard:
		return unexpectedAnswer(message)
	case expected.kind == entryExecute:
		s.sendOrHold(message)
		s.unit.request.pop()
	case expected.kind == entryQuery:
		s.sendOrHold(message)
	default:
		return unexpectedAnswer(message)
	}
	return s.checkHeldSize()
}

func (s *session) relayReady(message *pgproto3.ReadyForQuery, expected *expectedAnswer) *failure {
	if expected.kind != entryQuery && expected.kind != entrySync {
		return unexpectedAnswer(message)
	}
	if !expected.position {
		s.unit.status = message.TxStatus
		s.unit.inTransaction = message.TxStatus != statusIdle
	}
	s.unit.request.pop()
	return nil
}
