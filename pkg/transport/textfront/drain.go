package textfront

import "time"

// drain is a period in which idle sessions are closed so that their callers
// reconnect to other instances: during a graceful stop, or while this instance
// cannot serve.
type drain struct {
	startedAt time.Time
	// stopping is set for a graceful stop, which no other drain replaces.
	stopping bool
}

// closeTime returns when a session that started at sessionStart is closed if it is
// idle then. share, from 0 to 1, spreads the times, so that callers do not reconnect
// all at once.
//
// A session that started after the drain did has as much time as one that was open.
// It answers the load of a long drain: callers that have no other instance connect
// again and again, and if their sessions were closed at once, they would not know
// whether the statements that they send meanwhile have run.
func (d *drain) closeTime(times StopTimes, sessionStart time.Time, share float64) time.Time {
	window := times.IdleCloseEnd - times.IdleCloseStart
	delay := times.IdleCloseStart + time.Duration(share*float64(window))
	if !sessionStart.After(d.startedAt) {
		return d.startedAt.Add(delay)
	}
	at := sessionStart.Add(delay)
	end := d.startedAt.Add(times.IdleCloseEnd)
	if d.stopping && end.Before(at) {
		return end
	}
	return at
}

// SetDraining starts or ends a drain. Idle sessions are closed as in a stop,
// but new ones are still accepted.
func (s *Server) SetDraining(draining bool) {
	current := s.drain.Load()
	switch {
	case current != nil && current.stopping:
	case draining && current == nil:
		s.startDrain(&drain{startedAt: time.Now()})
	case !draining && current != nil:
		s.drain.Store(nil)
	}
}

// startDrain starts a drain, and wakes the sessions that wait for a statement.
func (s *Server) startDrain(started *drain) {
	s.drain.Store(started)
	s.mu.Lock()
	defer s.mu.Unlock()
	answerBy := s.boundByStop(time.Time{})
	for open := range s.sessions {
		open.wake(answerBy)
	}
	for unit := range s.units {
		unit.wake(answerBy)
	}
}

// rollbackTime returns when open transactions are rolled back. It returns false
// unless a stop is in progress.
func (s *Server) rollbackTime() (time.Time, bool) {
	current := s.drain.Load()
	if current == nil || !current.stopping {
		return time.Time{}, false
	}
	return current.startedAt.Add(s.config.Stop.RollbackAfter), true
}

// boundByStop limits the deadline of a statement to StopTimes.AnswerBy, so that
// it is answered before its session is closed. A zero deadline means none.
func (s *Server) boundByStop(deadline time.Time) time.Time {
	current := s.drain.Load()
	if current == nil || !current.stopping || s.config.Stop.AnswerBy == 0 {
		return deadline
	}
	end := current.startedAt.Add(s.config.Stop.AnswerBy)
	if deadline.IsZero() || end.Before(deadline) {
		return end
	}
	return deadline
}

// closesIdleSessions reports whether a session is closed as soon as a unit of work
// has ended.
func (s *Server) closesIdleSessions() bool {
	current := s.drain.Load()
	return current != nil && time.Since(current.startedAt) >= s.config.Stop.IdleCloseStart
}
