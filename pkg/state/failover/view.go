package failover

import (
	"time"

	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// View is an immutable snapshot of the machine's state for the goroutines that
// handle traffic.
type View struct {
	// Head is the newest known head row; nil before the first read.
	Head *model.Head
	// Groups holds the configured groups that the head row contains, ordered by
	// ID.
	Groups []GroupView
	// Members holds the registered instances, ordered by ID.
	Members           []MemberView
	PlatformReachable bool
	// HeadConfirmedAt is the latest time at which Head is known to have been
	// the current row: the start of a request to the table that returned it, or
	// of a round of promises of all members. It is zero if there was none.
	HeadConfirmedAt time.Duration
	// Registered is true while the newest known row lists this instance.
	Registered bool
	// Established is defined in the package documentation.
	Established bool
	// Observer is true while this instance knows a head row but neither is
	// registered nor tries to register.
	Observer bool
}

// GroupView is the state of a group in a View.
type GroupView struct {
	ID         model.GroupID
	Generation model.Generation
	Primary    model.UpstreamID
	StartLSN   model.LSN
	Timeline   uint32
	// Sealed is true when no new write may be sent. A write that was sent
	// before may be acknowledged while PermitUntil has not passed.
	Sealed bool
	// Draining is true in the drain of a planned switch: the caller sends
	// WritesDrained as soon as no write is in flight.
	Draining bool
	// PermitUntil is when the permit for Generation expires; zero without one.
	// The caller must compare it with the present time before it sends a write
	// and again before it acknowledges one.
	PermitUntil time.Duration
	// PrimaryReachable is true if this instance's last probe found the primary
	// serving. PrimaryLost is true once its probes have failed for DetectAfter;
	// it is what the instance tells its peers.
	PrimaryReachable bool
	PrimaryLost      bool
	// Replicas names the upstreams that reads may go to, ordered by ID.
	Replicas []ReplicaView
	// SealRank is the number of members that would seal the group before this
	// one if the primary were lost.
	SealRank int
}

// ReplicaView is a replica that follows the history of the generation.
type ReplicaView struct {
	ID model.UpstreamID
	// LSN is the position that the replica had replayed at the last probe.
	LSN model.LSN
}

// MemberView is a member and what this instance knows of its state.
type MemberView struct {
	Member model.Member
	State  members.State
	// CutOff is true while the member gets no answer of the table.
	CutOff bool
}

// View returns a snapshot of the machine at the time of the last event.
func (m *Machine) View() View {
	view := View{
		Head:              m.head,
		PlatformReachable: m.isPlatformReachable(),
		HeadConfirmedAt:   m.headConfirmedAt(),
		Registered:        m.membership.registered,
		Established:       m.membership.established,
	}
	if m.head == nil {
		return view
	}
	view.Observer = m.isObserver()
	for _, member := range m.head.Members {
		view.Members = append(view.Members, MemberView{
			Member: member, State: m.tracker.State(m.now, member.ID), CutOff: m.isMemberCutOff(member.ID),
		})
	}
	for _, g := range m.groups {
		gh, found := m.groupHead(g.id)
		if found {
			view.Groups = append(view.Groups, m.viewGroup(g, gh))
		}
	}
	return view
}

func (m *Machine) isMemberCutOff(id model.InstanceID) bool {
	if id == m.self {
		return m.isCutOff()
	}
	return m.cutOff[id]
}

func (m *Machine) viewGroup(g *group, gh model.GroupHead) GroupView {
	view := GroupView{
		ID:         gh.ID,
		Generation: gh.Generation,
		Primary:    gh.Primary,
		StartLSN:   gh.StartLSN,
		Timeline:   gh.Timeline,
		Sealed:     gh.Seal != nil || g.stoppedGeneration >= gh.Generation || g.permit.drainUntil != 0,
		Draining:   g.permit.drainUntil != 0,
		SealRank:   m.sealRank(g, gh),

		PrimaryLost: g.locallyLost,
	}
	if g.permit.generation == gh.Generation {
		view.PermitUntil = g.permit.until
	}
	primary := g.upstream(gh.Primary)
	view.PrimaryReachable = m.isProbeFresh(primary) && m.isServing(g, primary)
	for _, up := range g.upstreams {
		if m.isUsableReplica(g, gh, up) {
			view.Replicas = append(view.Replicas, ReplicaView{ID: up.spec.ID, LSN: up.probe.LSN})
		}
	}
	return view
}

// Group returns the state of the group named id.
func (v *View) Group(id model.GroupID) (GroupView, bool) {
	for _, group := range v.Groups {
		if group.ID == id {
			return group, true
		}
	}
	return GroupView{}, false
}

// AppliedMark returns the mark of a replica that has applied the log up to at.
// Below StartLSN that is still the log of the previous generation.
func (g GroupView) AppliedMark(at model.LSN) model.Mark {
	if at < g.StartLSN && g.Generation > 0 {
		return model.Mark{Generation: g.Generation - 1, LSN: at}
	}
	return model.Mark{Generation: g.Generation, LSN: at}
}
