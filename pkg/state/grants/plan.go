package grants

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// plan returns what to do next about one upstream's row: at most one write is
// pending at any time.
func (m *Machine) plan(now time.Duration, u *upstream) []Action {
	actions := m.closeExcess(now, u)
	switch {
	case u.pending != nil && u.unsettled:
		return append(actions, m.repeat(now, u)...)
	case u.pending != nil:
		return actions
	case !m.leased(now):
		return actions
	case m.wantsRead(now, u):
		actions = append(actions, m.read(now, u)...)
	}
	if !u.known || u.wrote && now < u.wroteAt+m.config.MinWriteInterval {
		return actions
	}
	if id, found := m.takeable(now, u); found {
		actions = append(actions, m.count(now, u, id)...)
	}
	return append(actions, m.adjust(now, u)...)
}

func (m *Machine) wantsRead(now time.Duration, u *upstream) bool {
	if u.hinted || !u.known && m.desired(u) > 0 {
		return true
	}
	if !u.known || u.row.entry(m.config.Self) == nil {
		return false
	}
	interval := m.config.ReadInterval
	if m.isOwed(u) {
		interval = m.config.ShortageReadInterval
	}
	return now >= u.readAt+interval
}

// isOwed reports whether this instance waits for others to shrink. Where
// there are more claimants than connections, units are forwarded instead.
func (m *Machine) isOwed(u *upstream) bool {
	own := u.row.entry(m.config.Self)
	if own == nil || m.claimants(u.row) > m.usable(u) {
		return false
	}
	return own.Grant < min(m.desired(u), m.fairShare(u, u.row))
}

// hints tells holders that they are asked to shrink and, after a write of this
// instance, claimants that connections are free.
func (m *Machine) hints(u *upstream, wrote bool) []Action {
	if u == nil || !u.known || !wrote && !m.isOwed(u) {
		return nil
	}
	fair := m.fairShare(u, u.row)
	free := wrote && u.row.Sum() < m.usable(u) && m.claimants(u.row) <= m.usable(u)
	var actions []Action
	for _, e := range u.row.Entries {
		asked := e.Target < e.Grant
		if e.Instance != m.config.Self && (asked || free && e.Grant < min(e.Wanted, fair)) {
			actions = append(actions, HintPeer{To: e.Instance, Upstream: u.spec.ID})
		}
	}
	return actions
}

// closeExcess asks to close connections beyond what may be open. When the
// lease ran out, the connections stay.
func (m *Machine) closeExcess(now time.Duration, u *upstream) []Action {
	if !m.leased(now) || !u.known || u.row.entry(m.config.Self) == nil {
		return nil
	}
	keep := m.Limit(now, u.spec.ID)
	if u.row.entry(m.config.Self).Since < m.since || u.used.Open <= keep {
		return nil
	}
	return []Action{CloseConnections{Upstream: u.spec.ID, Keep: keep}}
}

// desired returns the number of connections that this instance could use.
func (m *Machine) desired(u *upstream) int {
	needed := u.used.Busy + u.used.Waiting
	if needed == 0 {
		return 0
	}
	return min(needed+m.config.SpareConnections, m.usable(u))
}

// adjust writes the row if this instance's own part should change, or if
// others have to shrink for it.
func (m *Machine) adjust(now time.Duration, u *upstream) []Action {
	own := Entry{Instance: m.config.Self}
	entry := u.row.entry(m.config.Self)
	if entry != nil {
		own = *entry
	}
	wanted := m.desired(u)
	if wanted >= own.Grant {
		u.neededAt = now
	}
	idle := now >= u.neededAt+m.config.IdleTimeout
	next, mine := u.row.withEntry(m.config.Self)
	switch {
	case entry != nil && own.Since < m.since:
		return m.renew(now, u, next, mine)
	case own.Target < own.Grant:
		return m.shrink(now, u, next, mine, own.Target)
	case u.row.Sum() > m.usable(u) && own.Grant > m.fairShare(u, u.row):
		return m.shrink(now, u, next, mine, m.fairShare(u, u.row))
	case wanted > own.Grant:
		u.shrinking = false
		return m.grow(now, u, next, mine, wanted)
	case wanted < own.Grant && idle:
		return m.shrink(now, u, next, mine, wanted)
	}
	u.shrinking = false
	return nil
}

// renew takes up an entry under a new lease. It was written by an earlier
// lease of this instance, or by a member that counted its connections.
func (m *Machine) renew(now time.Duration, u *upstream, next *Row, mine *Entry) []Action {
	mine.Since = m.since
	mine.Target = mine.Grant
	return m.write(now, u, next)
}

// shrink bounds the connections first. It writes the smaller grant once a
// later report of the use shows that no more are open.
func (m *Machine) shrink(now time.Duration, u *upstream, next *Row, mine *Entry, to int) []Action {
	if !m.config.Rules.NoShrinkBound && (!u.shrinking || u.ceiling != to) {
		u.shrinking, u.ceiling, u.reported = true, to, false
		return []Action{CloseConnections{Upstream: u.spec.ID, Keep: to}}
	}
	if u.used.Open > to || !u.reported {
		return nil
	}
	mine.Grant, mine.Target, mine.Wanted = to, to, m.desired(u)
	if to == 0 && mine.Wanted == 0 {
		next = next.without(m.config.Self)
	}
	return m.write(now, u, next)
}

// grow takes what is free, and asks others to shrink for the rest.
func (m *Machine) grow(now time.Duration, u *upstream, next *Row, mine *Entry, wanted int) []Action {
	before := *mine
	mine.Since = m.since
	mine.Wanted = wanted
	fair := m.fairShare(u, next)
	mine.Grant += m.takeFree(u, next, mine.Grant, wanted, fair)
	mine.Target = mine.Grant
	asked := m.askToShrink(next, min(wanted, fair)-mine.Grant)
	if *mine == before && !asked {
		return nil
	}
	return m.write(now, u, next)
}

// takeFree returns how many of the free connections to take: up to the fair
// share first, and beyond it what others do not need for theirs.
func (m *Machine) takeFree(u *upstream, row *Row, held, wanted, fair int) int {
	free := max(m.usable(u)-row.Sum(), 0)
	taken := min(free, max(min(wanted, fair)-held, 0))
	spare := max(free-taken-m.owed(row, fair), 0)
	return taken + min(spare, wanted-held-taken)
}

// fairShare is what each instance may claim where all want more.
func (m *Machine) fairShare(u *upstream, row *Row) int {
	return max(m.usable(u)/max(m.claimants(row), 1), 1)
}

// claimants counts the instances that hold or want connections.
func (m *Machine) claimants(row *Row) int {
	count := 0
	for _, e := range row.Entries {
		if e.Grant > 0 || e.Wanted > 0 {
			count++
		}
	}
	return count
}

// owed returns what instances below the fair share still want.
func (m *Machine) owed(row *Row, fair int) int {
	owed := 0
	for _, e := range row.Entries {
		if e.Instance != m.config.Self {
			owed += max(min(e.Wanted, fair)-e.Grant, 0)
		}
	}
	return owed
}

// askToShrink lowers the targets of the largest holders until missing
// connections will become free, and reports whether any was lowered. No holder
// is asked to go below this instance's own grant.
func (m *Machine) askToShrink(row *Row, missing int) bool {
	for _, e := range row.Entries {
		missing -= e.Grant - e.Target
	}
	asked := false
	for missing > 0 {
		largest := m.largest(row)
		if largest == nil || largest.Target-1 <= row.entry(m.config.Self).Grant {
			break
		}
		asked = true
		largest.Target--
		missing--
	}
	return asked
}

func (m *Machine) largest(row *Row) *Entry {
	var largest *Entry
	for i := range row.Entries {
		e := &row.Entries[i]
		if e.Instance != m.config.Self && (largest == nil || e.Target > largest.Target) {
			largest = e
		}
	}
	return largest
}

// takeable returns a removed instance whose lease has certainly run out.
func (m *Machine) takeable(now time.Duration, u *upstream) (model.InstanceID, bool) {
	for _, e := range u.row.Entries {
		if m.hasLapsed(now, e) {
			return e.Instance, true
		}
	}
	return "", false
}

func (m *Machine) hasLapsed(now time.Duration, e Entry) bool {
	gone, found := m.removed[e.Instance]
	if !found || e.Since > gone.version {
		return false
	}
	window := m.config.LeaseLifetime + m.config.Drift
	if m.config.Rules.NoLeaseWait {
		window = 0
	}
	return now >= gone.at+window
}

// count asks for the connections of a removed instance. All members may do so;
// the conditional write lets one of them take the grant.
func (m *Machine) count(now time.Duration, u *upstream, id model.InstanceID) []Action {
	if u.counted && now < u.countedAt+time.Second {
		return nil
	}
	u.counted, u.countedAt = true, now
	return []Action{CountConnections{Upstream: u.spec.ID, Instance: id}}
}

// counted takes the grant of a removed instance down to what it still has open.
func (m *Machine) counted(now time.Duration, e ConnectionsCounted) []Action {
	u := m.upstream(e.Upstream)
	if u == nil || !u.known || e.Failed || u.pending != nil || !m.leased(now) {
		return nil
	}
	entry := u.row.entry(e.Instance)
	if entry == nil || !m.hasLapsed(e.AskedAt, *entry) {
		return nil
	}
	left := min(e.Count, entry.Grant)
	if m.config.Rules.NoCount {
		left = 0
	}
	if left == entry.Grant && left > 0 {
		return nil
	}
	if left == 0 {
		return m.write(now, u, u.row.without(e.Instance))
	}
	next, mine := u.row.withEntry(e.Instance)
	mine.Grant, mine.Target, mine.Wanted = left, left, 0
	return m.write(now, u, next)
}
