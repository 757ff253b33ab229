package failover

import (
	"time"

	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// Machine is the state of one instance. It is not safe for concurrent use: one
// goroutine calls it.
type Machine struct {
	cfg  Config
	self model.InstanceID
	now  time.Duration
	// pausedUntil is when the last pause of the process ended.
	pausedUntil time.Duration
	started     bool
	// head is the newest known row. It is immutable; nil before the first read.
	head *model.Head
	// groupIndex holds the place of each group in head.
	groupIndex map[model.GroupID]int
	// headFresh is the start of the newest table read that found head.
	headFresh time.Duration
	confirmed confirmation
	reads     reads
	writes    writes
	promises  promises
	member    membership
	tracker   *members.Tracker
	// groups is ordered by ID.
	groups     []*group
	groupByID  map[model.GroupID]*group
	observedAt time.Duration
	observeNow bool
	// permitsHeld is the last reported state of the permits.
	permitsHeld bool
	actions     []Action
}

// New returns a Machine that knows nothing yet. The settings must have passed
// Check.
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
	}
}

// Handle applies an event at the time now, which never goes back, and returns
// the actions to carry out, in order. The slice belongs to the caller.
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

// decideProbed takes the decisions of one group after a probe, so that the cost
// of a probe does not grow with the number of groups. It reports whether other
// decisions are called for.
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
		m.switchAsked(event)
	case WritesDrained:
		m.writesDrained(event)
	case BundleAdopted:
		m.bundleAdopted(event)
	case InstancesListed:
		m.instancesListed(event)
	case StopRequested:
		m.member.stopping = true
	case StopFinished:
		m.member.finished = true
	}
}

// decide takes every decision that the present state calls for.
func (m *Machine) decide() {
	m.decideReads()
	if m.head == nil {
		return
	}
	m.settlePermits()
	var edits edits
	m.decideMembership(&edits)
	for _, g := range m.groups {
		m.decideGroup(g, &edits)
	}
	m.decidePromises()
	m.decideObserved()
	m.write(edits)
}

func (m *Machine) emit(action Action) {
	m.actions = append(m.actions, action)
}

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

// advance sets the time. A gap of many ticks means that the process was paused:
// nothing that was due during it says anything about the others.
func (m *Machine) advance(now time.Duration) {
	paused := m.started && now-m.now > m.cfg.SuspectAfter/2
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
		m.adopt(message.Head)
	case HeadChanged:
		m.headChanged(message)
	case AdoptionAsked:
		m.adoptionAsked(event.From, message)
	case AdoptionConfirmed:
		m.adoptionConfirmed(message)
	}
}

// record returns the record of a group, also for one that the configuration in
// force does not name: what was confirmed for it must not be forgotten.
func (m *Machine) record(id model.GroupID) *group {
	g := m.groupByID[id]
	if g == nil {
		g = newGroup(id)
		m.groupByID[id] = g
	}
	return g
}

// bundleAdopted takes the groups of a new configuration. A group that it no
// longer names loses its permit.
func (m *Machine) bundleAdopted(event BundleAdopted) {
	old := m.groups
	groups := make([]*group, 0, len(event.Groups))
	for _, spec := range event.Groups {
		g := m.record(spec.ID)
		g.setSpec(spec)
		groups = append(groups, g)
	}
	sortGroups(groups)
	m.groups = groups
	dropPermits(old, groups)
	if m.head != nil {
		m.followHead()
	}
}

func (m *Machine) instancesListed(event InstancesListed) {
	list := make([]members.PlatformInstance, 0, len(event.Instances))
	for _, entry := range event.Instances {
		list = append(list, members.PlatformInstance{ID: entry.ID, Leaving: entry.Leaving})
	}
	m.tracker.SetPlatformList(list)
}

// dropPermits drops the permits of the old groups that are not among current.
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
