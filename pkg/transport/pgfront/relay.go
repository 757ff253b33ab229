package pgfront

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// relay passes on the answers to what has been sent.
func (s *session) relay() *failure {
	x := &s.unit.x
	for {
		s.answerLocals()
		if !x.isOpen() {
			return nil
		}
		message, err := s.unit.backend.Receive()
		if err != nil {
			return s.lost(err)
		}
		if failed := s.relayMessage(message); failed != nil {
			return failed
		}
		if s.output.err != nil {
			return &failure{Error: callerLost(s.output.err), final: true}
		}
	}
}

func callerLost(err error) *verdict.Error {
	return verdict.New(verdict.AnswerCut, verdict.MayHaveRun, "the caller does not read its answer").WithCause(err)
}

// answerLocals gives the answers that the proxy has to give next.
func (s *session) answerLocals() {
	x := &s.unit.x
	for x.isOpen() && x.next().local {
		switch x.next().kind {
		case entryParse:
			s.pass(&pgproto3.ParseComplete{})
		case entryClose:
			s.pass(&pgproto3.CloseComplete{})
		}
		x.pop()
	}
}

// pass gives message to the caller, or holds it back.
func (s *session) pass(message pgproto3.BackendMessage) {
	x := &s.unit.x
	if !x.holding {
		s.output.send(message)
		return
	}
	held, err := message.Encode(x.held)
	if err != nil {
		s.output.err = err
		return
	}
	x.held = held
}

func (s *session) relayMessage(message pgproto3.BackendMessage) *failure {
	expected := s.unit.x.next()
	switch message := message.(type) {
	case *pgproto3.DataRow:
		return s.relayRow(message, expected)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return s.relayDescription(message, expected)
	case *pgproto3.ParameterDescription:
		s.pass(message)
	case *pgproto3.ParseComplete:
		return s.relayCompletion(message, entryParse)
	case *pgproto3.BindComplete:
		return s.relayCompletion(message, entryBind)
	case *pgproto3.CloseComplete:
		return s.relayCompletion(message, entryClose)
	case *pgproto3.CommandComplete:
		return s.relayCommand(message, expected)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return s.relayEnd(message, expected)
	case *pgproto3.ErrorResponse:
		return s.relayError(message, expected)
	case *pgproto3.ReadyForQuery:
		return s.relayReady(message, expected)
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		if !expected.swallow {
			s.pass(message)
		}
	case *pgproto3.NotificationResponse:
		// A pooled connection listens for nobody.
	default:
		return refuseAnswer(message)
	}
	return s.checkHeld()
}

// refuseAnswer ends the use of a connection on which the upstream does what
// the proxy does not serve, or breaks the protocol.
func refuseAnswer(message pgproto3.BackendMessage) *failure {
	switch message.(type) {
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		e := verdict.New(verdict.Unsupported, verdict.MayHaveRun, "COPY is not supported")
		return &failure{Error: e, final: true}
	}
	reason := fmt.Sprintf("unexpected answer of the database: %T", message)
	return &failure{Error: verdict.New(verdict.AnswerCut, verdict.MayHaveRun, reason), final: true}
}

func (s *session) checkHeld() *failure {
	if len(s.unit.x.held) <= s.server.config.MaxHeldBytes {
		return nil
	}
	reason := "the answer after the first completed write is larger than can be held back"
	return &failure{Error: verdict.New(verdict.TooLarge, verdict.MayHaveRun, reason), final: true}
}

func (s *session) relayRow(row *pgproto3.DataRow, expected *expected) *failure {
	switch {
	case expected.position:
		return s.readPosition(row)
	case expected.swallow, expected.kind != entryExecute && expected.kind != entryQuery:
		return refuseAnswer(row)
	}
	s.pass(row)
	return s.checkHeld()
}

func (s *session) readPosition(row *pgproto3.DataRow) *failure {
	if len(row.Values) != 1 {
		return refuseAnswer(row)
	}
	position, err := model.ParseLSN(string(row.Values[0]))
	if err != nil {
		return refuseAnswer(row)
	}
	s.unit.x.position = position
	s.unit.x.positionKnown = true
	return nil
}

func (s *session) relayDescription(message pgproto3.BackendMessage, expected *expected) *failure {
	switch {
	case expected.position:
	case expected.kind == entryDescribeStatement, expected.kind == entryDescribePortal:
		s.pass(message)
		s.unit.x.pop()
	case expected.kind == entryQuery && !expected.swallow:
		s.pass(message)
	default:
		return refuseAnswer(message)
	}
	return s.checkHeld()
}

func (s *session) relayCompletion(message pgproto3.BackendMessage, kind entryKind) *failure {
	expected := s.unit.x.next()
	if expected.kind != kind {
		return refuseAnswer(message)
	}
	if !expected.swallow {
		s.pass(message)
	}
	s.unit.x.pop()
	return s.checkHeld()
}

// relayCommand passes on the end of a statement, or starts to hold the answer.
func (s *session) relayCommand(message *pgproto3.CommandComplete, expected *expected) *failure {
	if expected.swallow {
		return nil
	}
	s.noteTag(message.CommandTag)
	return s.relayEnd(message, expected)
}

// noteTag takes in what a command tag tells of the unit.
func (s *session) noteTag(tag []byte) {
	u := s.unit
	switch {
	case bytes.Equal(tag, []byte("ROLLBACK")):
		return
	case bytes.Equal(tag, []byte("BEGIN")), bytes.Equal(tag, []byte("START TRANSACTION")):
		u.explicit = true
		return
	case bytes.Equal(tag, []byte("DISCARD ALL")), bytes.Equal(tag, []byte("DEALLOCATE ALL")):
		clear(s.statements)
	case isWriteTag(tag):
		u.readOnly = false
	}
	if u.mustHold() {
		u.x.holding = true
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

func (s *session) relayEnd(message pgproto3.BackendMessage, expected *expected) *failure {
	switch {
	case expected.swallow:
		return refuseAnswer(message)
	case expected.kind == entryExecute:
		s.pass(message)
		s.unit.x.pop()
	case expected.kind == entryQuery:
		s.pass(message)
	default:
		return refuseAnswer(message)
	}
	return s.checkHeld()
}

func (s *session) relayReady(message *pgproto3.ReadyForQuery, expected *expected) *failure {
	if expected.kind != entryQuery && expected.kind != entrySync {
		return refuseAnswer(message)
	}
	if !expected.position {
		s.unit.status = message.TxStatus
		s.unit.explicit = message.TxStatus != statusIdle
	}
	s.unit.x.pop()
	return nil
}
