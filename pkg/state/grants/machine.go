package grants

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

// Config configures a machine.
type Config struct {
	Self model.InstanceID
	// LeaseLifetime is how long after a confirmation of membership the instance
	// may open connections.
	LeaseLifetime time.Duration
	// Drift is added to LeaseLifetime before the lease of a removed instance
	// counts as expired. It covers the difference between the clocks.
	Drift time.Duration
	// IdleTimeout is how long part of the grant must be unused before the
	// instance gives that part back.
	IdleTimeout time.Duration
	// MinWriteInterval is the minimum time between two writes of one row.
	MinWriteInterval time.Duration
	// ReadInterval is the time between two reads of a row in which this
	// instance has an entry.
	ReadInterval time.Duration
	// ShortageReadInterval replaces ReadInterval while this instance waits for
	// others to shrink.
	ShortageReadInterval time.Duration
	// SpareConnections is the number of connections wanted beyond those needed
	// at the moment.
	SpareConnections int
	Rules            Rules
}

// Rules switches single rules of the protocol off. Tests use it to show that
// each rule is necessary. The zero value has all rules on.
type Rules struct {
	// NoLease opens connections even if the lease expired.
	NoLease bool
	// NoLeaseWait reclaims the grant of a removed instance without waiting for
	// its lease to expire.
	NoLeaseWait bool
	// NoCount reclaims the grant of a removed instance without regard to the
	// connections that the upstream still counts.
	NoCount bool
	// NoRenewal uses a grant again under a new lease without rewriting the
	// entry.
	NoRenewal bool
	// NoShrinkBound writes a smaller grant without limiting the connections to
	// it first.
	NoShrinkBound bool
	// UseBeforeAnswer treats a write as applied before its result is known.
	UseBeforeAnswer bool
}

// DefaultConfig returns the default configuration of the instance self.
func DefaultConfig(self model.InstanceID) Config {
	return Config{
		Self:                 self,
		LeaseLifetime:        3 * time.Second,
		Drift:                100 * time.Millisecond,
		IdleTimeout:          30 * time.Second,
		MinWriteInterval:     200 * time.Millisecond,
		ReadInterval:         30 * time.Second,
		ShortageReadInterval: time.Second,
		SpareConnections:     1,
	}
}

// Machine manages the grants of one instance. It is not safe for concurrent
// use.
type Machine struct {
	config Config
	// members is the newest confirmed member list, membersVersion its version.
	membersVersion uint64
	members        []model.InstanceID
	// confirmed is true if this instance is in members. confirmedAt is when the
	// newest confirmation of that was requested.
	confirmedAt time.Duration
	confirmed   bool
	// leaseVersion is the version of the member list under which the current
	// lease began.
	leaseVersion uint64
	// removed holds the instances that have an entry in a row but are not
	// members.
	removed map[model.InstanceID]removal
	// upstreams has the order of the last UpstreamsAdopted.
	upstreams []*upstream
	nextOp    uint64
}

// removal records when an instance was first seen not to be a member, and the
// version of the member list at that time.
type removal struct {
	at      time.Duration
	version uint64
}

// upstream is the state of one upstream and its row.
type upstream struct {
	capacity UpstreamCapacity
	// known is true once the row was read; version and row hold the newest
	// value seen.
	known   bool
	version model.RowVersion
	row     *Row
	// reading is true while a read is pending; readAt is when the last read was
	// requested or answered.
	reading bool
	readAt  time.Duration
	// pending is the write whose result is awaited or, if outcomeUnknown is
	// set, whose result could not be determined.
	pending        *WriteRow
	outcomeUnknown bool
	// wroteAt is when the last write was requested, if written is set.
	written bool
	wroteAt time.Duration
	usage   Usage
	// While shrinking is set, shrinkTo limits the open connections before the
	// smaller grant is written. usageReported is true once the usage was
	// reported under this limit.
	shrinking     bool
	shrinkTo      int
	usageReported bool
	// neededAt is when the whole grant was last needed.
	neededAt time.Duration
	// countedAt is when a count was last requested, if counted is set.
	counted   bool
	countedAt time.Duration
	// hinted is true if a peer sent a hint since the last read was requested.
	hinted bool
}

// New returns a machine that knows no upstreams and holds no grant.
func New(config Config) *Machine {
	return &Machine{config: config, removed: make(map[model.InstanceID]removal)}
}

// Handle processes an event at the time now and returns the actions to carry
// out. Times are those of a monotonic clock, from any fixed origin.
func (m *Machine) Handle(now time.Duration, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case MembershipConfirmed:
		m.confirm(now, e)
	case UpstreamsAdopted:
		m.setUpstreams(e.Upstreams)
	case RowRead:
		m.rowRead(now, e)
		actions = m.hints(m.upstream(e.Upstream), false)
	case RowWritten:
		m.rowWritten(e)
		actions = m.hints(m.upstream(e.Upstream), e.Outcome != WriteUnknown)
	case Usage:
		return m.updateUpstream(now, e.Upstream, func(u *upstream) {
			u.usage = e
			u.usageReported = true
		})
	case HintReceived:
		return m.updateUpstream(now, e.Upstream, func(u *upstream) { u.hinted = true })
	case ConnectionsCounted:
		return m.connectionsCounted(now, e)
	}
	for _, u := range m.upstreams {
		actions = append(actions, m.plan(now, u)...)
	}
	return actions
}

// updateUpstream applies change to an upstream and plans for it alone.
func (m *Machine) updateUpstream(now time.Duration, id model.UpstreamID, change func(*upstream)) []Action {
	u := m.upstream(id)
	if u == nil {
		return nil
	}
	change(u)
	return m.plan(now, u)
}

func (m *Machine) upstream(id model.UpstreamID) *upstream {
	for _, u := range m.upstreams {
		if u.capacity.ID == id {
			return u
		}
	}
	return nil
}

// setUpstreams replaces the upstreams. Those that stay keep their state.
func (m *Machine) setUpstreams(capacities []UpstreamCapacity) {
	var next []*upstream
	for _, capacity := range capacities {
		u := m.upstream(capacity.ID)
		if u == nil {
			u = &upstream{}
		}
		u.capacity = capacity
		next = append(next, u)
	}
	m.upstreams = next
}

// confirm renews the lease. A new lease begins if the old one had expired, or
// if a version of the member list was missed: this instance may have been
// removed and added again in between.
func (m *Machine) confirm(now time.Duration, e MembershipConfirmed) {
	if m.confirmed && e.Version < m.membersVersion {
		return
	}
	unbroken := m.leaseValid(now) && e.Version <= m.membersVersion+1
	m.membersVersion, m.members = e.Version, e.Members
	m.recordRemovals(now)
	if !slices.Contains(e.Members, m.config.Self) {
		m.confirmed = false
		return
	}
	if !unbroken {
		m.leaseVersion = e.Version
		m.confirmedAt = e.AskedAt
	}
	m.confirmed = true
	m.confirmedAt = max(m.confirmedAt, e.AskedAt)
}

// recordRemovals records which holders of grants are not members, so that their
// grants can be reclaimed later.
func (m *Machine) recordRemovals(now time.Duration) {
	for _, id := range m.members {
		delete(m.removed, id)
	}
	for _, u := range m.upstreams {
		m.recordRemovalsIn(now, u.row)
	}
}

// recordRemovalsIn records which instances with an entry in the row are not
// members. If an instance wrote its entry under a newer version than that of
// its recorded removal, it was a member again in between and counts as removed
// only from now on.
func (m *Machine) recordRemovalsIn(now time.Duration, row *Row) {
	if row == nil || m.membersVersion == 0 {
		return
	}
	for _, e := range row.Entries {
		if slices.Contains(m.members, e.Instance) || e.Since > m.membersVersion {
			continue
		}
		recorded, found := m.removed[e.Instance]
		if !found || e.Since > recorded.version {
			m.removed[e.Instance] = removal{at: now, version: m.membersVersion}
		}
	}
}

func (m *Machine) leaseValid(now time.Duration) bool {
	if m.config.Rules.NoLease {
		return m.membersVersion > 0
	}
	return m.confirmed && now < m.confirmedAt+m.config.LeaseLifetime
}

// Limit returns the number of connections to the upstream that this instance
// may have open. After the lease expired or the grant shrank, it may be lower
// than the number of open connections; none may be opened then.
func (m *Machine) Limit(now time.Duration, id model.UpstreamID) int {
	u := m.upstream(id)
	if u == nil || !u.known || !m.leaseValid(now) {
		return 0
	}
	own := m.ownGrant(u, u.row)
	if u.pending != nil {
		own = m.limitWhilePending(own, m.ownGrant(u, u.pending.Row))
	}
	return u.boundByShrink(own)
}

// boundByShrink lowers the limit to the number to which the grant is being
// shrunk.
func (u *upstream) boundByShrink(limit int) int {
	if u.shrinking {
		return min(limit, u.shrinkTo)
	}
	return limit
}

// ownGrant returns the connections that the row permits this instance to have
// open under the current lease.
func (m *Machine) ownGrant(u *upstream, row *Row) int {
	entry := row.entry(m.config.Self)
	if entry == nil || entry.Since < m.leaseVersion && !m.config.Rules.NoRenewal {
		return 0
	}
	return min(entry.Grant, entry.Target, m.grantable(u))
}

// limitWhilePending returns the limit while a write is pending, given the
// limits before and after it: the smaller one is safe with either outcome.
func (m *Machine) limitWhilePending(before, after int) int {
	if m.config.Rules.UseBeforeAnswer {
		return after
	}
	return min(before, after)
}

// grantable returns the upstream's connections that can be granted.
func (m *Machine) grantable(u *upstream) int {
	return max(u.capacity.Connections-u.capacity.Reserve, 0)
}

// TotalGranted returns the sum of all instances' grants in the newest row seen,
// or 0 if none was seen.
func (m *Machine) TotalGranted(id model.UpstreamID) int {
	u := m.upstream(id)
	if u == nil || u.row == nil {
		return 0
	}
	return u.row.Sum()
}
