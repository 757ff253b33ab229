package grants

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// plan returns the next actions for one upstream. At most one write of a row is
// pending at any time.
func (m *Machine) plan(now time.Duration, u *upstream) []Action {
	actions := m.closeExcess(now, u)
	switch {
	case u.pending != nil && u.outcomeUnknown:
		return append(actions, m.retryWrite(now, u)...)
	case u.pending != nil:
		return actions
	case !m.leaseValid(now):
		return actions
	case m.needsRead(now, u):
		actions = append(actions, m.read(now, u)...)
	}
	if !u.known || u.written && now < u.wroteAt+m.config.MinWriteInterval {
		return actions
	}
	if id, found := m.reclaimable(now, u); found {
		actions = append(actions, m.countConnections(now, u, id)...)
	}
	return append(actions, m.adjust(now, u)...)
}

func (m *Machine) needsRead(now time.Duration, u *upstream) bool {
	if u.hinted || !u.known && m.wanted(u) > 0 {
		return true
	}
	if !u.known || u.row.entry(m.config.Self) == nil {
		return false
	}
	interval := m.config.ReadInterval
	if m.hasShortage(u) {
		interval = m.config.ShortageReadInterval
	}
	return now >= u.readAt+interval
}

// hasShortage reports whether this instance has less than its fair share and
// waits for others to shrink. If there are more claimants than connections it
// does not wait: its units of work are forwarded to peers instead.
func (m *Machine) hasShortage(u *upstream) bool {
	own := u.row.entry(m.config.Self)
	if own == nil || m.claimants(u.row) > m.grantable(u) {
		return false
	}
	return own.Grant < min(m.wanted(u), m.fairShare(u, u.row))
}

// hints returns hints to the holders that are asked to shrink and, if this
// instance has just written the row, to claimants for which connections are
// free.
func (m *Machine) hints(u *upstream, wrote bool) []Action {
	if u == nil || !u.known || !wrote && !m.hasShortage(u) {
		return nil
	}
	fair := m.fairShare(u, u.row)
	free := wrote && u.row.Sum() < m.grantable(u) && m.claimants(u.row) <= m.grantable(u)
	var actions []Action
	for _, e := range u.row.Entries {
		asked := e.Target < e.Grant
		if e.Instance != m.config.Self && (asked || free && e.Grant < min(e.Wanted, fair)) {
			actions = append(actions, HintPeer{To: e.Instance, Upstream: u.capacity.ID})
		}
	}
	return actions
}

// closeExcess returns the action that closes the connections above the limit.
// While the lease is expired or the entry is not renewed, the connections stay
// open.
func (m *Machine) closeExcess(now time.Duration, u *upstream) []Action {
	if !m.leaseValid(now) || !u.known || u.row.entry(m.config.Self) == nil {
		return nil
	}
	keep := m.Limit(now, u.capacity.ID)
	if u.row.entry(m.config.Self).Since < m.leaseVersion || u.usage.Open <= keep {
		return nil
	}
	return []Action{CloseConnections{Upstream: u.capacity.ID, Keep: keep}}
}

// wanted returns the number of connections that this instance could use now.
func (m *Machine) wanted(u *upstream) int {
	needed := u.usage.Busy + u.usage.Waiting
	if needed == 0 {
		return 0
	}
	return min(needed+m.config.SpareConnections, m.grantable(u))
}

// adjust renews, shrinks or grows this instance's entry, or asks others to
// shrink, if the row needs a change.
func (m *Machine) adjust(now time.Duration, u *upstream) []Action {
	own := Entry{Instance: m.config.Self}
	entry := u.row.entry(m.config.Self)
	if entry != nil {
		own = *entry
	}
	wanted := m.wanted(u)
	if wanted >= own.Grant {
		u.neededAt = now
	}
	idle := now >= u.neededAt+m.config.IdleTimeout
	next, mine := u.row.withEntry(m.config.Self)
	switch {
	case entry != nil && own.Since < m.leaseVersion:
		return m.renew(now, u, next, mine)
	case own.Target < own.Grant:
		return m.shrink(now, u, next, mine, own.Target)
	case u.row.Sum() > m.grantable(u) && own.Grant > m.fairShare(u, u.row):
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

// renew rewrites this instance's entry under its new lease. The entry was
// written under an earlier lease, and may since have been lowered by a member
// that counted the connections.
func (m *Machine) renew(now time.Duration, u *upstream, next *Row, mine *Entry) []Action {
	mine.Since = m.leaseVersion
	mine.Target = mine.Grant
	return m.write(now, u, next)
}

// shrink first limits the connections to the smaller grant. It writes that
// grant once a later report of the usage shows that no more are open.
func (m *Machine) shrink(now time.Duration, u *upstream, next *Row, mine *Entry, to int) []Action {
	if !m.config.Rules.NoShrinkBound && (!u.shrinking || u.shrinkTo != to) {
		u.shrinking, u.shrinkTo, u.usageReported = true, to, false
		return []Action{CloseConnections{Upstream: u.capacity.ID, Keep: to}}
	}
	if u.usage.Open > to || !u.usageReported {
		return nil
	}
	mine.Grant, mine.Target, mine.Wanted = to, to, m.wanted(u)
	if to == 0 && mine.Wanted == 0 {
		next = next.without(m.config.Self)
	}
	return m.write(now, u, next)
}

// grow claims free connections, and asks others to shrink for the rest of the
// fair share.
func (m *Machine) grow(now time.Duration, u *upstream, next *Row, mine *Entry, wanted int) []Action {
	before := *mine
	mine.Since = m.leaseVersion
	mine.Wanted = wanted
	fair := m.fairShare(u, next)
	mine.Grant += m.claimFree(u, next, mine.Grant, wanted, fair)
	mine.Target = mine.Grant
	asked := m.askToShrink(next, min(wanted, fair)-mine.Grant)
	if *mine == before && !asked {
		return nil
	}
	return m.write(now, u, next)
}

// claimFree returns how many of the free connections to claim: up to the fair
// share, and beyond it only those that others do not need for their own fair
// shares.
func (m *Machine) claimFree(u *upstream, row *Row, held, wanted, fair int) int {
	free := max(m.grantable(u)-row.Sum(), 0)
	taken := min(free, max(min(wanted, fair)-held, 0))
	surplus := max(free-taken-m.shortageOfOthers(row, fair), 0)
	return taken + min(surplus, wanted-held-taken)
}

// fairShare returns the number of connections that each claimant may have if
// all want more; it is at least 1.
func (m *Machine) fairShare(u *upstream, row *Row) int {
	return max(m.grantable(u)/max(m.claimants(row), 1), 1)
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

// shortageOfOthers returns how many connections the other instances want in
// total to reach the fair share.
func (m *Machine) shortageOfOthers(row *Row, fair int) int {
	shortage := 0
	for _, e := range row.Entries {
		if e.Instance != m.config.Self {
			shortage += max(min(e.Wanted, fair)-e.Grant, 0)
		}
	}
	return shortage
}

// askToShrink lowers the targets of the largest holders until the missing
// number of connections will become free, and reports whether it lowered any.
// It counts what was already asked for. No holder is asked to shrink to this
// instance's own grant or below it.
func (m *Machine) askToShrink(row *Row, missing int) bool {
	for _, e := range row.Entries {
		missing -= e.Grant - e.Target
	}
	asked := false
	for missing > 0 {
		largest := m.largestOther(row)
		if largest == nil || largest.Target-1 <= row.entry(m.config.Self).Grant {
			break
		}
		asked = true
		largest.Target--
		missing--
	}
	return asked
}

// largestOther returns the entry of another instance with the highest target,
// or nil.
func (m *Machine) largestOther(row *Row) *Entry {
	var largest *Entry
	for i := range row.Entries {
		e := &row.Entries[i]
		if e.Instance != m.config.Self && (largest == nil || e.Target > largest.Target) {
			largest = e
		}
	}
	return largest
}

// reclaimable returns an instance with an entry in the row that was removed and
// whose lease has certainly expired.
func (m *Machine) reclaimable(now time.Duration, u *upstream) (model.InstanceID, bool) {
	for _, e := range u.row.Entries {
		if m.leaseExpired(now, e) {
			return e.Instance, true
		}
	}
	return "", false
}

// leaseExpired reports whether the instance of the entry was removed so long ago
// that the lease under which it wrote the entry has expired.
func (m *Machine) leaseExpired(now time.Duration, e Entry) bool {
	recorded, found := m.removed[e.Instance]
	if !found || e.Since > recorded.version {
		return false
	}
	wait := m.config.LeaseLifetime + m.config.Drift
	if m.config.Rules.NoLeaseWait {
		wait = 0
	}
	return now >= recorded.at+wait
}

// countConnections returns the action that counts the connections of a removed
// instance, at most once a second. All members may do so; the conditional write
// lets only one of them change the row.
func (m *Machine) countConnections(now time.Duration, u *upstream, id model.InstanceID) []Action {
	if u.counted && now < u.countedAt+time.Second {
		return nil
	}
	u.counted, u.countedAt = true, now
	return []Action{CountConnections{Upstream: u.capacity.ID, Instance: id}}
}

// connectionsCounted lowers the grant of a removed instance to the connections
// that it still has open, and deletes its entry if there are none.
func (m *Machine) connectionsCounted(now time.Duration, e ConnectionsCounted) []Action {
	u := m.upstream(e.Upstream)
	if u == nil || !u.known || e.Failed || u.pending != nil || !m.leaseValid(now) {
		return nil
	}
	entry := u.row.entry(e.Instance)
	if entry == nil || !m.leaseExpired(e.AskedAt, *entry) {
		return nil
	}
	remaining := min(e.Count, entry.Grant)
	if m.config.Rules.NoCount {
		remaining = 0
	}
	if remaining == entry.Grant && remaining > 0 {
		return nil
	}
	if remaining == 0 {
		return m.write(now, u, u.row.without(e.Instance))
	}
	next, theirs := u.row.withEntry(e.Instance)
	theirs.Grant, theirs.Target, theirs.Wanted = remaining, remaining, 0
	return m.write(now, u, next)
}
