package grants

import "time"

// rowRead takes a row, unless a newer version is known.
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
	if u.unsettled {
		m.settle(u)
	}
	m.noteMissing(now, row)
}

// settle ends a write of unknown outcome once the row has moved on from the
// version at which the write was conditional. Until then it may still be
// applied, and plan puts the same row again, so that one of the two fails.
func (m *Machine) settle(u *upstream) {
	if u.version != u.pending.IfVersion {
		u.pending, u.unsettled, u.shrinking = nil, false, false
	}
}

// rowWritten takes the outcome of a write.
func (m *Machine) rowWritten(e RowWritten) {
	u := m.upstream(e.Upstream)
	if u == nil || u.pending == nil || u.pending.Op != e.Op {
		return
	}
	if e.Outcome == WriteUnknown {
		u.unsettled = true
		m.settle(u)
		return
	}
	u.pending, u.unsettled, u.shrinking = nil, false, false
	if e.Version >= u.version {
		u.known, u.version, u.row = true, e.Version, e.Row
		if u.row == nil {
			u.row = &Row{}
		}
	}
}

// write returns the action that puts row, and holds it as pending.
func (m *Machine) write(now time.Duration, u *upstream, row *Row) []Action {
	m.nextOp++
	action := WriteRow{Op: m.nextOp, Upstream: u.spec.ID, IfVersion: u.version, Row: row}
	u.pending = &action
	u.wrote, u.wroteAt = true, now
	return []Action{action}
}

// read returns the action that reads the row, unless a read is pending.
func (m *Machine) read(now time.Duration, u *upstream) []Action {
	if u.reading && now < u.readAt+m.config.LeaseLifetime {
		return nil
	}
	u.reading, u.hinted = true, false
	u.readAt = now
	return []Action{ReadRow{Upstream: u.spec.ID}}
}

// repeat puts a row of unknown outcome again.
func (m *Machine) repeat(now time.Duration, u *upstream) []Action {
	if now < u.wroteAt+m.config.MinWriteInterval {
		return nil
	}
	u.unsettled = false
	return m.write(now, u, u.pending.Row)
}
