package grants

import "time"

// rowRead stores the row that was read, unless a newer version is known.
func (m *Machine) rowRead(now time.Duration, e RowRead) {
	u := m.upstream(e.Upstream)
	if u == nil {
		return
	}
	u.reading = false
	if e.Failed {
		return
	}
	if u.known && e.Version < u.version {
		return
	}
	row := e.Row
	if row == nil {
		row = &Row{}
	}
	u.known, u.version, u.row = true, e.Version, row
	u.readAt = now
	if u.outcomeUnknown {
		m.resolvePending(u)
	}
	m.recordRemovalsIn(now, row)
}

// resolvePending drops a write of unknown outcome once the row's version differs
// from the one that the write requires: it was applied, or can no longer be.
// Until then it may still be applied, and plan retries the same write, so that
// at most one of the two succeeds.
func (m *Machine) resolvePending(u *upstream) {
	if u.version != u.pending.IfVersion {
		u.pending, u.outcomeUnknown, u.shrinking = nil, false, false
	}
}

// rowWritten processes the result of a write.
func (m *Machine) rowWritten(e RowWritten) {
	u := m.upstream(e.Upstream)
	if u == nil || u.pending == nil || u.pending.Op != e.Op {
		return
	}
	if e.Outcome == WriteUnknown {
		u.outcomeUnknown = true
		m.resolvePending(u)
		return
	}
	u.pending, u.outcomeUnknown, u.shrinking = nil, false, false
	if e.Version >= u.version {
		u.known, u.version, u.row = true, e.Version, e.Row
		if u.row == nil {
			u.row = &Row{}
		}
	}
}

// write returns the action that writes row, and records it as pending.
func (m *Machine) write(now time.Duration, u *upstream, row *Row) []Action {
	m.nextOp++
	action := WriteRow{Op: m.nextOp, Upstream: u.capacity.ID, IfVersion: u.version, Row: row}
	u.pending = &action
	u.written, u.wroteAt = true, now
	return []Action{action}
}

// read returns the action that reads the row, unless a read is pending. A read
// without an answer is repeated after LeaseLifetime.
func (m *Machine) read(now time.Duration, u *upstream) []Action {
	if u.reading && now < u.readAt+m.config.LeaseLifetime {
		return nil
	}
	u.reading, u.hinted = true, false
	u.readAt = now
	return []Action{ReadRow{Upstream: u.capacity.ID}}
}

// retryWrite repeats the pending write of unknown outcome.
func (m *Machine) retryWrite(now time.Duration, u *upstream) []Action {
	if now < u.wroteAt+m.config.MinWriteInterval {
		return nil
	}
	u.outcomeUnknown = false
	return m.write(now, u, u.pending.Row)
}
