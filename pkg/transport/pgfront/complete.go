package pgfront

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/verdict"
)

// complete ends a request whose answer is complete but for what was held back.
func (s *session) complete() {
	u := s.unit
	u.requests++
	unsure := s.running.clear()
	refused := s.settlePosition()
	if refused != nil {
		u.x.reset()
		s.giveUpAnswer(refused)
		return
	}
	ended := u.status == statusIdle
	reuse := u.reuse(unsure)
	if ended && reuse == pgback.ReuseClean {
		// The connection is free for others while the engine decides.
		u.backend.Release(reuse)
		u.backend = nil
		s.server.answered(u.ticket)
	}
	s.answerHeld()
	u.x.reset()
	if unsure && !ended {
		s.dropUnit(verdict.MayHaveRun, false)
		s.failed = abortedError()
		s.finishRequest()
		return
	}
	s.finishComplete(ended, reuse)
}

// answered lets an engine that can do so use the unit's slot again.
func (s *Server) answered(t *traffic.Ticket) {
	if engine, ok := s.config.Engine.(traffic.SlotReleaser); ok {
		engine.ReleaseSlot(t)
	}
}

func (s *session) finishComplete(ended bool, reuse pgback.Reuse) {
	if !ended {
		s.finishRequest()
		return
	}
	u := s.unit
	s.unit = nil
	// The slot is free before a slow caller has taken its answer.
	s.server.config.Engine.Done(u.ticket, traffic.Result{Outcome: verdict.Ran, Latency: u.latency})
	s.finishRequest()
	if u.backend != nil {
		u.backend.Release(reuse)
	}
	u.release()
}

// settlePosition makes sure that the log position is known where something is
// held back. The proxy asks again where it did not foresee the commit.
func (s *session) settlePosition() *verdict.Error {
	u := s.unit
	if len(u.x.held) == 0 || u.x.positionKnown {
		return nil
	}
	if u.status == statusFailed {
		return verdict.New(verdict.MarkNotStored, verdict.MayHaveRun, "the position of the write is not known")
	}
	u.backend.Send(&pgproto3.Query{String: positionQuery})
	u.unnamed = nil
	u.x.expect(expected{kind: entryQuery, swallow: true, position: true})
	if err := u.backend.Flush(); err != nil {
		return s.lost(err).Error
	}
	if failed := s.relay(); failed != nil {
		return failed.Error
	}
	if !u.x.positionKnown {
		return verdict.New(verdict.MarkNotStored, verdict.MayHaveRun, "the position of the write is not known")
	}
	return nil
}

// giveUpAnswer gives e in place of what was held back, and closes the
// connection.
func (s *session) giveUpAnswer(e *verdict.Error) {
	s.dropUnit(e.Outcome, isLost(e))
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	s.sendError(e)
	s.finishRequest()
}

// answerHeld asks the engine for its consent and gives what was held back, or
// the engine's error in its place.
func (s *session) answerHeld() {
	u := s.unit
	if len(u.x.held) == 0 {
		return
	}
	ctx, endSpan := s.startHop("acknowledge")
	defer endSpan()
	ctx, stop := context.WithDeadline(ctx, u.ticket.Deadline)
	defer stop()
	refused := s.server.config.Engine.MayAcknowledge(ctx, u.ticket, u.x.position)
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	if refused != nil {
		s.sendError(refused)
		return
	}
	s.server.counters.acknowledge.Add(1)
	s.output.sendEncoded(u.x.held)
}
