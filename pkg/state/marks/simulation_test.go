package marks_test

import (
	"fmt"
	"time"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

const (
	testGroup = model.GroupID("hire")
	lifetime  = 80 * time.Millisecond
	drift     = 8 * time.Millisecond
	maxNodes  = 6
)

var sessions = []model.SessionID{"desk", "van", "clinic"}

// picker returns a number below n; it drives the schedule of a simulation.
type picker func(n int) int

// node is an instance: the types under test with a clock that drifts.
type node struct {
	id     model.InstanceID
	rate   time.Duration // percent
	offset time.Duration
	// removed is true once the node is no longer a member. It may still run
	// without knowing that.
	removed bool
	dead    bool
	head    *model.Head
	set     *marks.MemberSet
	view    *marks.MembershipView
	home    *marks.Home
	ledger  *marks.Ledger
}

func (n *node) clock(now time.Duration) time.Duration { return n.offset + now*n.rate/100 }

// replica follows the primary's log and serves reads.
type replica struct{ applied model.Mark }

// write is a session's newest acknowledged write.
type write struct {
	mark   model.Mark
	writer *node
	// home is the current home, which stored the mark, or nil if the write was
	// acknowledged because all replicas had applied it.
	home *node
}

// isMarkKept reports whether the mark still has a holder that is a member. A
// home that overflowed has merged marks into its floor, which is not handed
// over.
func (w write) isMarkKept() bool {
	atHome := w.home != nil && !w.home.removed && w.home.home.Size().Overflowed == 0
	return !w.writer.removed || atHome
}

// simulation is a group with two replicas, instances that join and leave, and
// messages that are delivered in any order or never.
type simulation struct {
	pick     picker
	rules    marks.Rules
	maxMarks int
	now      time.Duration
	head     *model.Head
	// starts holds the position at which each generation starts.
	starts map[model.Generation]model.LSN
	// position is the primary's position.
	position model.LSN
	replicas [2]*replica
	nodes    []*node
	// created counts the nodes, including those that are no longer members.
	created  int
	inFlight []func()
	// acked holds the newest acknowledged write of each session.
	acked map[model.SessionID]write
	// reported holds the mark up to which each session was told of a loss.
	reported  map[model.SessionID]model.Mark
	violation error
	// promisedAt is when a member last promised not to remove a member or seal
	// a group.
	promisedAt   time.Duration
	readsChecked int
	lossReports  int
}

// newSimulation returns a simulation of three members that have joined and have
// a floor.
func newSimulation(pick picker, rules marks.Rules, maxMarks int) *simulation {
	s := &simulation{
		pick: pick, rules: rules, maxMarks: maxMarks, position: 100,
		starts:   map[model.Generation]model.LSN{1: 0},
		replicas: [2]*replica{{model.Mark{Generation: 1, LSN: 100}}, {model.Mark{Generation: 1, LSN: 100}}},
		acked:    make(map[model.SessionID]write),
		reported: make(map[model.SessionID]model.Mark),
		head:     &model.Head{Version: 1, Groups: []model.GroupHead{{ID: testGroup, Generation: 1}}},
	}
	for range 3 {
		s.nodes = append(s.nodes, s.newNode())
	}
	s.setMembers(s.nodes)
	for _, n := range s.nodes {
		s.learn(n, n.clock(s.now), s.head)
	}
	for range 2 {
		for _, n := range s.nodes {
			s.sampleFloor(n)
			s.handOver(n)
		}
		s.deliverAll()
		s.now += 2 * lifetime
	}
	return s
}

func (s *simulation) newNode() *node {
	s.created++
	id := model.InstanceID(fmt.Sprintf("i%d", s.created))
	lease := marks.Lease{Lifetime: lifetime, Drift: drift}
	return &node{
		id: id, rate: time.Duration(97 + s.pick(7)), offset: time.Duration(s.pick(50)) * time.Millisecond,
		view: marks.NewMembershipView(lease, s.rules),
		home: marks.NewHome(marks.HomeConfig{
			Self: id, Lease: lease, MaxMarks: s.maxMarks, MaxLost: 8, Rules: s.rules,
		}),
		ledger: marks.NewLedger(id, 8, 8),
	}
}

// setMembers commits a head row whose members are nodes.
func (s *simulation) setMembers(nodes []*node) {
	next := *s.head
	next.Version++
	next.MembersVersion++
	next.Members = nil
	for _, n := range nodes {
		next.Members = append(next.Members, model.Member{ID: n.id})
	}
	s.head = &next
}

// learn gives a node the head row that it asked for at askedAt.
func (s *simulation) learn(n *node, askedAt time.Duration, head *model.Head) {
	if n.dead || n.head != nil && head.Version < n.head.Version {
		return
	}
	if n.head == nil || head.MembersVersion != n.head.MembersVersion {
		n.set = marks.NewMemberSet(head.MembersVersion, head.Members)
	}
	n.head = head
	n.view.Confirm(askedAt, n.clock(s.now), n.set)
	n.home.ApplyHead(n.clock(s.now), head, n.set)
	n.ledger.SetGroups(head.Groups)
}

func (s *simulation) send(deliver func()) { s.inFlight = append(s.inFlight, deliver) }

func (s *simulation) deliver(i int) {
	deliver := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	deliver()
}

func (s *simulation) deliverAll() {
	for len(s.inFlight) > 0 {
		s.deliver(0)
	}
}

// find returns the running node named id, or nil.
func (s *simulation) find(id model.InstanceID) *node {
	for _, n := range s.nodes {
		if n.id == id && !n.dead {
			return n
		}
	}
	return nil
}

// call delivers a request to the instance to and its answer to answered.
func call[T any](s *simulation, to model.InstanceID, ask func(*node) T, answered func(T)) {
	s.send(func() {
		n := s.find(to)
		if n == nil {
			return
		}
		answer := ask(n)
		s.send(func() { answered(answer) })
	})
}

// readHead sends a request for the head row; the answer may arrive late.
func (s *simulation) readHead(n *node) {
	askedAt := n.clock(s.now)
	s.send(func() {
		head := s.head
		s.send(func() { s.learn(n, askedAt, head) })
	})
}

// renewFromPeers renews the node's lease without the platform's table: each
// member that knows no newer head row promises not to remove a member or seal a
// group until the lease has expired.
func (s *simulation) renewFromPeers(n *node) {
	askedAt, row, set := n.clock(s.now), n.head.Version, n.set
	missing := len(n.head.Members)
	for _, member := range n.head.Members {
		call(s, member.ID, func(to *node) bool {
			given := to.head.Version == row
			if given {
				s.promisedAt = s.now
			}
			return given
		}, func(given bool) {
			if given {
				missing--
			}
			if missing == 0 && !n.dead {
				n.view.Confirm(askedAt, n.clock(s.now), set)
			}
		})
	}
}

// isChangeAllowed reports whether no promise forbids the removal of a member or
// a change of primary.
func (s *simulation) isChangeAllowed() bool {
	return s.promisedAt == 0 || s.now > s.promisedAt+lifetime+drift
}

// sampleFloor queries the primary; the sample is proven if the node's
// generation is the current one.
func (s *simulation) sampleFloor(n *node) {
	askedAt := n.clock(s.now)
	if n.home.NeedsFloor(askedAt, testGroup) && n.generation() == s.generation() {
		n.home.SetFloor(askedAt, testGroup, s.primaryMark())
	}
}

func (s *simulation) generation() model.Generation { return s.head.Groups[0].Generation }
func (n *node) generation() model.Generation       { return n.head.Groups[0].Generation }

// primaryMark returns the primary's current position.
func (s *simulation) primaryMark() model.Mark {
	return model.Mark{Generation: s.generation(), LSN: s.position}
}

// handOver sends lost marks to their homes, or tells all members that none are
// left.
func (s *simulation) handOver(n *node) {
	fromHome, fromLedger := n.home.PendingHandover(), n.ledger.PendingHandover(n.set)
	for _, lost := range fromHome {
		s.sendLost(lost, func() { n.home.LossReported(lost.Key, lost.Mark) })
	}
	for _, lost := range fromLedger {
		s.sendLost(lost, func() { n.ledger.HandoverAccepted(lost) })
	}
	if len(fromHome)+len(fromLedger) > 0 {
		return
	}
	row := n.head.Version
	for _, member := range n.head.Members {
		call(s, member.ID, func(to *node) bool { to.home.HandedOver(to.clock(s.now), n.id, row); return true }, func(bool) {})
	}
}

func (s *simulation) sendLost(lost marks.LostMark, taken func()) {
	call(s, lost.Target.Home, func(to *node) marks.StoreStatus {
		return to.home.AcceptLostMark(lost.Key, lost.Mark, lost.Target.Version)
	}, func(status marks.StoreStatus) {
		if status == marks.StoreDone {
			taken()
		}
	})
}

// sendWatermark tells the node the position that all replicas have applied.
func (s *simulation) sendWatermark(n *node) {
	at := s.replicas[0].applied
	if s.replicas[1].applied.Before(at) {
		at = s.replicas[1].applied
	}
	n.home.AllReplicasApplied(testGroup, at)
	n.ledger.AllReplicasApplied(testGroup, at)
}

// hasWrite reports whether the replica has applied the write.
func (s *simulation) hasWrite(r *replica, mark model.Mark) bool {
	if r.applied.Generation == mark.Generation {
		return mark.LSN <= r.applied.LSN
	}
	return r.applied.Generation > mark.Generation && s.survives(mark)
}

// survives reports whether the write is part of the current generation's
// history.
func (s *simulation) survives(mark model.Mark) bool {
	for g := mark.Generation + 1; g <= s.generation(); g++ {
		if mark.LSN > s.starts[g] {
			return false
		}
	}
	return true
}
