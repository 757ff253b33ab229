package pgfront

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/verdict"
)

// completeRequest ends a request for which all upstream answers were read. It
// sends the held part of the answer and, outside a transaction, ends the unit.
func (s *session) completeRequest() {
	u := s.unit
	u.requests++
	lateCancel := s.cancellation.detach()
	refused := s.ensurePosition()
	if refused != nil {
		u.request.reset()
		s.failHeldAnswer(refused)
		return
	}
	ended := u.status == statusIdle
	reuse := u.reuse(lateCancel)
	if ended && reuse == pgback.ReuseClean {
		// Others can use the connection while the engine decides.
		u.backend.Release(reuse)
		u.backend = nil
		s.server.releaseSlot(u.ticket)
	}
	s.acknowledgeHeld()
	u.request.reset()
	if lateCancel && !ended {
		s.dropUnit(verdict.MayHaveRun, false)
		s.abortCause = abortedError()
		s.finishRequest()
		return
	}
	s.finishAndRelease(ended, reuse)
}

// releaseSlot returns the unit's statement slot early if the engine supports it.
func (s *Server) releaseSlot(t *traffic.Ticket) {
	if engine, ok := s.config.Engine.(traffic.SlotReleaser); ok {
		engine.ReleaseSlot(t)
	}
}

// finishAndRelease finishes the request and, if the unit has ended, releases it with
// its connection.
func (s *session) finishAndRelease(ended bool, reuse pgback.Reuse) {
	if !ended {
		s.finishRequest()
		return
	}
	u := s.unit
	s.unit = nil
	// The engine gets the slot back before a slow caller has read its answer.
	s.server.config.Engine.Done(u.ticket, traffic.Result{Outcome: verdict.Ran, Latency: u.latency})
	s.finishRequest()
	if u.backend != nil {
		u.backend.Release(reuse)
	}
	u.release()
}

// ensurePosition queries the log position if a part of the answer is held back and
// the position was not queried with the batch, because no commit was foreseen.
func (s *session) ensurePosition() *verdict.Error {
	u := s.unit
	if len(u.request.held) == 0 || u.request.positionKnown {
		return nil
	}
	if u.status == statusFailed {
		return verdict.New(verdict.MarkNotStored, verdict.MayHaveRun, "the position of the write is not known")
	}
	u.backend.Send(&pgproto3.Query{String: positionQuery})
	u.unnamed = nil
	u.request.expect(expectedAnswer{kind: entryQuery, discard: true, position: true})
	if err := u.backend.Flush(); err != nil {
		return s.connectionLost(err).Error
	}
	if failed := s.relayAnswers(); failed != nil {
		return failed.Error
	}
	if !u.request.positionKnown {
		return verdict.New(verdict.MarkNotStored, verdict.MayHaveRun, "the position of the write is not known")
	}
	return nil
}

// failHeldAnswer sends e in place of the held part of the answer and closes the
// upstream connection.
func (s *session) failHeldAnswer(e *verdict.Error) {
	s.dropUnit(e.Outcome, isUpstreamFailure(e))
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	s.sendError(e)
	s.finishRequest()
}

// acknowledgeHeld asks the engine whether the write may be acknowledged, and sends
// the held part of the answer or the engine's error.
func (s *session) acknowledgeHeld() {
	u := s.unit
	if len(u.request.held) == 0 {
		return
	}
	ctx, endSpan := s.startChildSpan("acknowledge")
	defer endSpan()
	ctx, stop := context.WithDeadline(ctx, u.ticket.Deadline)
	defer stop()
	refused := s.server.config.Engine.MayAcknowledge(ctx, u.ticket, u.request.position)
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	if refused != nil {
		s.sendError(refused)
		return
	}
	s.server.counters.acknowledged.Add(1)
	s.output.sendEncoded(u.request.held)
}
