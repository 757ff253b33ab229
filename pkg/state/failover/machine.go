package failover

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// Machine is the failover state machine of one instance. It is not safe for
// concurrent use: one goroutine must make all calls. All times are offsets on
// the instance's monotonic clock.
type Machine struct {
	cfg  Config
	self model.InstanceID
	now  time.Duration
	// pausedUntil is when the last pause of the process ended.
	pausedUntil time.Duration
	// started is set by the first event.
	started bool
	// startedAt is the time of that event.
	startedAt time.Duration
	// head is the newest known head row, which must not be modified; nil before
	// the first read.
	head *model.Head
	// groupIndex maps the ID of a group to its index in head.Groups.
	groupIndex map[model.GroupID]int
	// headReadAt is the start of the newest request to the table that returned
	// head; zero if head came from a peer and the table has not returned it
	// yet.
	headReadAt       time.Duration
	headConfirmation headConfirmation
	// cutOff holds the other members' Observed.CutOff.
	cutOff     map[model.InstanceID]bool
	reads      reads
	writes     writes
	promises   promises
	membership membership
	tracker    *members.Tracker
	// groups holds the configured groups, ordered by ID.
	groups []*group
	// groupByID also holds groups that the configuration does not name, or no
	// longer.
	groupByID map[model.GroupID]*group
	// observedAt is when the last Observed was sent, and observeNow asks for
	// one before the interval has passed.
	observedAt time.Duration
	observeNow bool
	// permitsHeld is true if the last report said that permits for all groups
	// are held.
	permitsHeld bool
	// actions collects the result of the Handle that is running.
	actions []Action
}

// New returns a Machine that has read nothing yet. The settings must have
// passed Check.
func New(cfg Config) *Machine {
	full := cfg.withDefaults()
	return &Machine{
		cfg:  full,
		self: full.Self.ID,
		tracker: members.New(members.Config{
			Self:         full.Self.ID,
			SuspectAfter: full.SuspectAfter,
			GoneAfter:    full.EvictAfter,
		}),
		groupByID: map[model.GroupID]*group{},
		cutOff:    map[model.InstanceID]bool{},
	}
}

// Handle applies an event at the time now and returns the actions to carry out,
// in order. now must never decrease. The caller owns the returned slice.
func (m *Machine) Handle(now time.Duration, ev Event) []Action {
	m.actions = nil
	m.advance(now)
	m.apply(ev)
	if probe, isProbe := ev.(Probed); isProbe && !m.decideProbed(probe.Group) {
		return m.actions
	}
	m.decide()
	return m.actions
}

// decideProbed takes only the decisions of the probed group, so that the cost
// of a probe does not grow with the number of groups. It reports whether all
// other decisions are due too: the group has a change to write, or an Observed
// must be sent at once.
func (m *Machine) decideProbed(id model.GroupID) bool {
	g := m.groupByID[id]
	if g == nil || m.head == nil {
		return false
	}
	var changes edits
	m.decideGroup(g, &changes)
	return len(changes.list) > 0 || m.observeNow
}

func (m *Machine) apply(ev Event) {
	switch event := ev.(type) {
	case Tick:
	case HeadRead:
		m.headRead(event)
	case HeadWritten:
		m.headWritten(event)
	case Probed:
		m.probed(event)
	case Promoted:
		m.promoted(event)
	case PeerReceived:
		m.peerReceived(event)
	case SwitchRequested:
		m.switchRequested(event)
	case WritesDrained:
		m.writesDrained(event)
	case BundleAdopted:
		m.bundleAdopted(event)
	case InstancesListed:
		m.instancesListed(event)
	case MembersReported:
		m.membership.reported = true
		m.membership.usable = event.Usable
	case StopRequested:
		m.membership.stopping = true
	case StopFinished:
		m.membership.finished = true
	}
}

// decide takes every decision that is due in the present state.
func (m *Machine) decide() {
	if m.head != nil {
		m.updateVacancy()
	}
	m.decideReads()
	if m.head == nil {
		return
	}
	m.expirePermits()
	var changes edits
	m.decideMembership(&changes)
	for _, g := range m.groups {
		m.decideGroup(g, &changes)
	}
	m.decidePromises()
	m.decideObserved()
	m.writeHead(changes)
}

func (m *Machine) emit(action Action) {
	m.actions = append(m.actions, action)
}

// send sends message to another instance. Nothing is sent to an empty ID or to
// this instance.
func (m *Machine) send(to model.InstanceID, message PeerMessage) {
	if to == m.self || to == "" {
		return
	}
	m.emit(SendPeer{To: to, Message: message})
}

// sendMembers sends message to every other registered member.
func (m *Machine) sendMembers(message PeerMessage) {
	for _, member := range m.head.Members {
		m.send(member.ID, message)
	}
}

func (m *Machine) report(kind ReportKind, group model.GroupID, detail string) {
	m.emit(Report{Kind: kind, Group: group, Detail: detail})
}

// advance sets the time. A gap of more than half of SuspectAfter between two
// events means that the process was paused. Silence and failed probes during a
// pause say nothing about the others, so they are discarded.
func (m *Machine) advance(now time.Duration) {
	paused := m.started && now-m.now > m.cfg.SuspectAfter/2
	if !m.started {
		m.startedAt = now
	}
	m.started = true
	m.now = now
	if !paused {
		return
	}
	m.pausedUntil = now
	m.tracker.RestartTimeouts(now)
	for _, g := range m.groups {
		g.resumed(now)
	}
}

func (m *Machine) peerReceived(event PeerReceived) {
	m.tracker.MessageReceived(m.now, event.From)
	switch message := event.Message.(type) {
	case StopWrites:
		m.stopWrites(event.From, message)
	case WritesStopped:
		m.writesStopped(event.From, message)
	case PromiseAsked:
		m.promiseAsked(event.From, message)
	case PromiseGiven:
		m.promiseGiven(event.From, message)
	case PromiseRefused:
		m.promiseRefused(event.From, message)
	case Observed:
		m.observed(event.From, message)
	case HeadSent:
		m.adoptHead(message.Head)
	case HeadChanged:
		m.headChanged(message)
	case AdoptionAsked:
		m.adoptionAsked(event.From, message)
	case AdoptionConfirmed:
		m.adoptionConfirmed(message)
	}
}

// groupRecord returns the state kept for a group. It also creates one for a
// group that the configuration does not name, since the generation that this
// instance gave up must not be forgotten.
func (m *Machine) groupRecord(id model.GroupID) *group {
	g := m.groupByID[id]
	if g == nil {
		g = newGroup(id)
		m.groupByID[id] = g
	}
	return g
}

// bundleAdopted applies the groups of a new configuration. The permits of
// groups that it no longer names are dropped. What was known of the upstreams of
// a group that it did not name before is out of date. Permits for such a group
// start at the newest confirmation of the head row: an instance learns which groups
// it serves when it registers, and the next read is due only after ReadInterval.
func (m *Machine) bundleAdopted(event BundleAdopted) {
	old := m.groups
	groups := make([]*group, 0, len(event.Groups))
	for _, spec := range event.Groups {
		g := m.groupRecord(spec.ID)
		g.setSpec(spec)
		if !slices.Contains(old, g) {
			g.resumed(m.now)
		}
		groups = append(groups, g)
	}
	sortGroups(groups)
	m.groups = groups
	dropPermits(old, groups)
	if m.head == nil {
		return
	}
	m.applyHead()
	confirmedAt := m.headConfirmedAt()
	if m.cfg.Rules.PermitFromBundle {
		confirmedAt = m.now
	}
	if confirmedAt > 0 {
		m.renewPermits(confirmedAt)
	}
}

func (m *Machine) instancesListed(event InstancesListed) {
	list := make([]members.PlatformInstance, 0, len(event.Instances))
	for _, entry := range event.Instances {
		list = append(list, members.PlatformInstance{ID: entry.ID, Leaving: entry.Leaving})
	}
	m.tracker.SetPlatformList(list)
}

// dropPermits drops the permits of the groups in old that are not in current.
func dropPermits(old, current []*group) {
	kept := make(map[model.GroupID]bool, len(current))
	for _, g := range current {
		kept[g.id] = true
	}
	for _, g := range old {
		if !kept[g.id] {
			g.permit.drop()
		}
	}
}
