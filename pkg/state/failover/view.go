package failover

import (
	"time"

	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// View is an immutable snapshot of what traffic needs to know.
type View struct {
	// Head is the newest known row, nil before the first read.
	Head *model.Head
	// Groups holds the configured groups that have a primary, ordered by ID.
	Groups []GroupView
	// Members holds the registered instances, ordered by ID.
	Members           []MemberView
	PlatformReachable bool
	// HeadConfirmedAt is a time before Head was seen to be in force, by a read of
	// the table or by the promises of all members; zero if it was not.
	HeadConfirmedAt time.Duration
	// Registered is true while the newest known row lists this instance.
	Registered bool
	// Established is explained in the package documentation.
	Established bool
}

// GroupView is the state of a group.
type GroupView struct {
	ID         model.GroupID
	Generation model.Generation
	Primary    model.UpstreamID
	StartLSN   model.LSN
	Timeline   uint32
	// Sealed is true when no new write may be sent. A write that was sent
	// before may be acknowledged while PermitUntil has not passed.
	Sealed bool
	// Draining asks for a WritesDrained as soon as no write is in flight.
	Draining bool
	// PermitUntil is the time at which the write permit for Generation runs
	// out; zero without one. It must be compared with the present time before a
	// write is sent and again before it is acknowledged.
	PermitUntil time.Duration
	// PrimaryReachable is this instance's own view, and PrimaryLost what it
	// tells the others.
	PrimaryReachable bool
	PrimaryLost      bool
	// Replicas names the upstreams that reads may go to, ordered by ID.
	Replicas []ReplicaView
	// SealRank is this instance's place among those that would replace the
	// primary; 0 comes first.
	SealRank int
}

// ReplicaView is a replica that follows the generation's timeline.
type ReplicaView struct {
	ID model.UpstreamID
	// LSN is the position that it had replayed at the last probe.
	LSN model.LSN
}

// MemberView is a registered instance.
type MemberView struct {
	Member model.Member
	State  members.State
}

// View returns a snapshot of the machine at the time of the last event.
func (m *Machine) View() View {
	view := View{
		Head:              m.head,
		PlatformReachable: m.isPlatformReachable(),
		HeadConfirmedAt:   m.confirmedFrom(),
		Registered:        m.member.registered,
		Established:       m.member.established,
	}
	if m.head == nil {
		return view
	}
	for _, member := range m.head.Members {
		view.Members = append(view.Members, MemberView{Member: member, State: m.tracker.State(m.now, member.ID)})
	}
	for _, g := range m.groups {
		gh, found := m.groupHead(g.id)
		if found {
			view.Groups = append(view.Groups, m.viewGroup(g, gh))
		}
	}
	return view
}

func (m *Machine) viewGroup(g *group, gh model.GroupHead) GroupView {
	view := GroupView{
		ID:         gh.ID,
		Generation: gh.Generation,
		Primary:    gh.Primary,
		StartLSN:   gh.StartLSN,
		Timeline:   gh.Timeline,
		Sealed:     gh.Seal != nil || g.stopped >= gh.Generation || g.permit.drainUntil != 0,
		Draining:   g.permit.drainUntil != 0,
		SealRank:   m.rank("seal/"+string(g.id), ""),

		PrimaryLost: g.ownLost,
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

// AppliedMark returns the mark of what a replica of the generation has applied. One
// that receives the generation's timeline but has not yet replayed its start
// has applied the generation before.
func (g GroupView) AppliedMark(at model.LSN) model.Mark {
	if at < g.StartLSN && g.Generation > 0 {
		return model.Mark{Generation: g.Generation - 1, LSN: at}
	}
	return model.Mark{Generation: g.Generation, LSN: at}
}
