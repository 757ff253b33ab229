package grants

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

// Config configures a machine.
type Config struct {
	Self model.InstanceID
	// LeaseLifetime and Drift are those of the lease that a confirmation of the
	// members gives.
	LeaseLifetime time.Duration
	Drift         time.Duration
	// IdleTimeout is how long a grant stays unused before it is given back.
	IdleTimeout time.Duration
	// MinWriteInterval is the least time between two writes of one row.
	MinWriteInterval time.Duration
	// ReadInterval is the time between two reads of a row in use.
	ReadInterval time.Duration
	// ShortageReadInterval is the time between two reads while others have to shrink
	// for this instance.
	ShortageReadInterval time.Duration
	// SpareConnections is the number of connections held beyond those in use.
	SpareConnections int
	Rules            Rules
}

// Rules switches single rules off, for tests. The zero value has all on.
type Rules struct {
	// NoLease opens connections also when the lease ran out.
	NoLease bool
	// NoLeaseWait takes a removed member's grant without waiting for its lease.
	NoLeaseWait bool
	// NoCount takes a removed member's grant without asking the upstream.
	NoCount bool
	// NoRenewal uses a grant again after a lapse without writing the entry.
	NoRenewal bool
	// NoShrinkBound writes a smaller grant without bounding the connections first.
	NoShrinkBound bool
	// UseBeforeAnswer counts a write as applied before it is answered.
	UseBeforeAnswer bool
}

// DefaultConfig returns the configuration in use.
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

// Machine holds the grants of one instance.
type Machine struct {
	config Config
	// members is the newest version confirmed.
	version     uint64
	members     []model.InstanceID
	confirmedAt time.Duration
	confirmed   bool
	// since is the version under which the present lease began.
	since uint64
	// removed holds the instances that are named in a row and are no members.
	removed map[model.InstanceID]removal
	// upstreams is ordered by ID.
	upstreams []*upstream
	nextOp    uint64
}

// removal is when an instance was first seen to be no member, and under which
// version.
type removal struct {
	at      time.Duration
	version uint64
}

// upstream is the state of one upstream's row.
type upstream struct {
	spec    UpstreamCapacity
	known   bool
	version model.RowVersion
	row     *Row
	// reading is true while a read is pending; readAt is when the last one
	// was asked for or answered.
	reading bool
	readAt  time.Duration
	// pending is the write whose outcome is awaited or, if unsettled, unknown.
	pending   *WriteRow
	unsettled bool
	wrote     bool
	wroteAt   time.Duration
	used      Usage
	// ceiling bounds the connections while the grant is to shrink to it;
	// reported is true once the use was reported under it.
	shrinking bool
	ceiling   int
	reported  bool
	// neededAt is when the whole grant was last needed.
	neededAt time.Duration
	// countedAt is when a count was last asked for.
	counted   bool
	countedAt time.Duration
	hinted    bool
}

// New returns a machine that holds nothing.
func New(config Config) *Machine {
	return &Machine{config: config, removed: make(map[model.InstanceID]removal)}
}

// Handle takes an event and returns what has to be done.
func (m *Machine) Handle(now time.Duration, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case MembershipConfirmed:
		m.confirm(now, e)
	case UpstreamsAdopted:
		m.adopt(e.Upstreams)
	case RowRead:
		m.rowRead(now, e)
		actions = m.hints(m.upstream(e.Upstream), false)
	case RowWritten:
		m.rowWritten(e)
		actions = m.hints(m.upstream(e.Upstream), e.Outcome != WriteUnknown)
	case Usage:
		return m.withUpstream(now, e.Upstream, func(u *upstream) {
			u.used = e
			u.reported = true
		})
	case HintReceived:
		return m.withUpstream(now, e.Upstream, func(u *upstream) { u.hinted = true })
	case ConnectionsCounted:
		return m.counted(now, e)
	}
	for _, u := range m.upstreams {
		actions = append(actions, m.plan(now, u)...)
	}
	return actions
}

func (m *Machine) withUpstream(now time.Duration, id model.UpstreamID, change func(*upstream)) []Action {
	u := m.upstream(id)
	if u == nil {
		return nil
	}
	change(u)
	return m.plan(now, u)
}

func (m *Machine) upstream(id model.UpstreamID) *upstream {
	for _, u := range m.upstreams {
		if u.spec.ID == id {
			return u
		}
	}
	return nil
}

// adopt keeps the rows of upstreams that stay in the configuration.
func (m *Machine) adopt(specs []UpstreamCapacity) {
	var next []*upstream
	for _, spec := range specs {
		u := m.upstream(spec.ID)
		if u == nil {
			u = &upstream{}
		}
		u.spec = spec
		next = append(next, u)
	}
	m.upstreams = next
}

// confirm renews the lease. A lease that had run out, or a version that was
// missed, begins a new one.
func (m *Machine) confirm(now time.Duration, e MembershipConfirmed) {
	if m.confirmed && e.Version < m.version {
		return
	}
	lasted := m.leased(now) && e.Version <= m.version+1
	m.version, m.members = e.Version, e.Members
	m.noteRemoved(now)
	if !slices.Contains(e.Members, m.config.Self) {
		m.confirmed = false
		return
	}
	if !lasted {
		m.since = e.Version
		m.confirmedAt = e.AskedAt
	}
	m.confirmed = true
	m.confirmedAt = max(m.confirmedAt, e.AskedAt)
}

// noteRemoved notes the holders that are no members, for later take-over.
func (m *Machine) noteRemoved(now time.Duration) {
	for _, id := range m.members {
		delete(m.removed, id)
	}
	for _, u := range m.upstreams {
		m.noteMissing(now, u.row)
	}
}

// noteMissing notes the holders named in a row that are no members. One that
// took up its entry under a version newer than the removal counts as removed
// only from now on.
func (m *Machine) noteMissing(now time.Duration, row *Row) {
	if row == nil || m.version == 0 {
		return
	}
	for _, e := range row.Entries {
		if slices.Contains(m.members, e.Instance) || e.Since > m.version {
			continue
		}
		known, found := m.removed[e.Instance]
		if !found || e.Since > known.version {
			m.removed[e.Instance] = removal{at: now, version: m.version}
		}
	}
}

// leased reports whether the lease lasts.
func (m *Machine) leased(now time.Duration) bool {
	if m.config.Rules.NoLease {
		return m.version > 0
	}
	return m.confirmed && now < m.confirmedAt+m.config.LeaseLifetime
}

// Limit returns the number of connections to the upstream that this instance
// may have open. When the lease ran out, or the grant shrank, it may be below
// the number that are open: none may then be opened.
func (m *Machine) Limit(now time.Duration, id model.UpstreamID) int {
	u := m.upstream(id)
	if u == nil || !u.known || !m.leased(now) {
		return 0
	}
	own := m.own(u, u.row)
	if u.pending != nil {
		own = m.smaller(own, m.own(u, u.pending.Row))
	}
	return u.below(own)
}

// below applies the ceiling.
func (u *upstream) below(limit int) int {
	if u.shrinking {
		return min(limit, u.ceiling)
	}
	return limit
}

// own returns what this instance may use of a row's grants.
func (m *Machine) own(u *upstream, row *Row) int {
	entry := row.entry(m.config.Self)
	if entry == nil || entry.Since < m.since && !m.config.Rules.NoRenewal {
		return 0
	}
	return min(entry.Grant, entry.Target, m.usable(u))
}

func (m *Machine) smaller(held, asked int) int {
	if m.config.Rules.UseBeforeAnswer {
		return asked
	}
	return min(held, asked)
}

// usable is the number of connections that can be granted.
func (m *Machine) usable(u *upstream) int {
	return max(u.spec.Connections-u.spec.Reserve, 0)
}

// TotalGranted returns the sum of the grants in the upstream's row as last seen.
func (m *Machine) TotalGranted(id model.UpstreamID) int {
	u := m.upstream(id)
	if u == nil || u.row == nil {
		return 0
	}
	return u.row.Sum()
}
