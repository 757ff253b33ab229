package textfront

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
)

// wake interrupts the wait of the session for its next statement, so that it
// notices a drain. A statement that has begun to arrive is read until answerBy; zero
// for no limit. It may be called from any goroutine.
func (s *session) wake(answerBy time.Time) { s.wait.interrupt(s.socket, answerBy) }

// awaitInput waits for the next statement. It returns false when the session
// ends.
func (s *session) awaitInput() bool {
	defer s.wait.end()
	for {
		if s.reader.Buffered() > 0 {
			return true
		}
		s.updateCloseTime()
		due := s.state == statement.Idle && s.isDueToClose()
		if due && !s.input.HasInput() {
			return false
		}
		until := s.readDeadline()
		if due {
			// A deadline in the past would prevent the read of input that has
			// already arrived.
			until = time.Now().Add(lineTimeout)
		}
		s.wait.begin(s.socket, until)
		if s.server.drain.Load() != s.closeDrain {
			continue
		}
		_, err := s.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		s.readTimedOut()
	}
}

// updateCloseTime sets closeAt when a drain has started or ended.
func (s *session) updateCloseTime() {
	current := s.server.drain.Load()
	if current == s.closeDrain {
		return
	}
	s.closeDrain = current
	s.closeAt = time.Time{}
	if current != nil {
		s.closeAt = current.closeTime(s.server.config.Stop, s.startedAt, rand.Float64())
	}
}

// idleEnd returns when the session is closed if it is idle then; zero for never.
func (s *session) idleEnd() time.Time {
	if s.closeAt.IsZero() || !s.startBy.IsZero() && s.startBy.Before(s.closeAt) {
		return s.startBy
	}
	return s.closeAt
}

// isDueToClose reports whether the session is closed now if it is idle.
func (s *session) isDueToClose() bool {
	end := s.idleEnd()
	return !end.IsZero() && !time.Now().Before(end)
}

// readDeadline returns when the wait for the next statement ends; zero for no
// bound.
func (s *session) readDeadline() time.Time {
	if s.tx == nil || s.tx.idle().rolledBack {
		return s.idleEnd()
	}
	until := s.tx.idle().expiresAt
	if end, stopping := s.server.rollbackTime(); stopping && (until.IsZero() || end.Before(until)) {
		until = end
	}
	return until
}

// readTimedOut acts on the end of a wait for a statement. It rolls back an open
// transaction whose time has run out; the caller is told in the answer to its
// next statement. A session without a transaction to roll back is closed if it
// is due.
func (s *session) readTimedOut() {
	now := time.Now()
	if s.tx == nil || s.tx.idle().rolledBack {
		if s.state != statement.Idle && s.isDueToClose() {
			_ = s.socket.Close()
		}
		return
	}
	end, stopping := s.server.rollbackTime()
	if s.tx.idle().isExpired(now) || stopping && !now.Before(end) {
		s.tx.rollBack()
		s.tx.idle().rolledBack = true
	}
}
