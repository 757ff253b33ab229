package marks_test

import (
	"fmt"
	"time"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

const (
	hire     = model.GroupID("hire")
	lifetime = 80 * time.Millisecond
	drift    = 8 * time.Millisecond
	maxSlots = 6
)

var sessions = []model.SessionID{"desk", "van", "clinic"}

// chooser returns a number below n; it drives the schedule of a world.
type chooser func(n int) int

// node is an instance: the real machines under a clock of its own rate.
type node struct {
	id     model.InstanceID
	rate   time.Duration // percent
	offset time.Duration
	// removed is true once the node is no longer a member; it may still run
	// and not know.
	removed bool
	dead    bool
	head    *model.Head
	set     *marks.MemberSet
	view    *marks.MembershipView
	home    *marks.Home
	ledger  *marks.Ledger
}

func (n *node) clock(now time.Duration) time.Duration { return n.offset + now*n.rate/100 }

// replica follows the primary's log, and serves reads.
type replica struct{ applied model.Mark }

// write is an acknowledged write, the session's newest.
type write struct {
	mark   model.Mark
	writer *node
	// home is the present home that stored the mark; nil if the write was
	// acknowledged because all replicas had applied it.
	home *node
}

// isKept reports whether the mark has not gone with the instances that kept it.
// A home that overflowed has merged marks into its floor, which is not handed
// over.
func (w write) isKept() bool {
	atHome := w.home != nil && !w.home.removed && w.home.home.Size().Overflowed == 0
	return !w.writer.removed || atHome
}

// world is a group with two replicas, instances that come and go, and messages
// that are delivered in any order or never.
type world struct {
	pick      chooser
	rules     marks.Rules
	maxMarks  int
	now       time.Duration
	head      *model.Head
	starts    map[model.Generation]model.LSN
	position  model.LSN
	replicas  [2]*replica
	nodes     []*node
	created   int
	flight    []func()
	acked     map[model.SessionID]write
	told      map[model.SessionID]model.Mark
	violation error
	// promisedAt is when a member last promised to remove nobody.
	promisedAt time.Duration
	served     int
	warned     int
}

func newWorld(pick chooser, rules marks.Rules, maxMarks int) *world {
	w := &world{
		pick: pick, rules: rules, maxMarks: maxMarks, position: 100,
		starts:   map[model.Generation]model.LSN{1: 0},
		replicas: [2]*replica{{model.Mark{Generation: 1, LSN: 100}}, {model.Mark{Generation: 1, LSN: 100}}},
		acked:    make(map[model.SessionID]write),
		told:     make(map[model.SessionID]model.Mark),
		head:     &model.Head{Version: 1, Groups: []model.GroupHead{{ID: hire, Generation: 1}}},
	}
	for range 3 {
		w.nodes = append(w.nodes, w.newNode())
	}
	w.setMembers(w.nodes)
	for _, n := range w.nodes {
		w.learn(n, n.clock(w.now), w.head)
	}
	for range 2 {
		for _, n := range w.nodes {
			w.sampleFloor(n)
			w.handOver(n)
		}
		w.deliverAll()
		w.now += 2 * lifetime
	}
	return w
}

func (w *world) newNode() *node {
	w.created++
	id := model.InstanceID(fmt.Sprintf("i%d", w.created))
	lease := marks.Lease{Lifetime: lifetime, Drift: drift}
	return &node{
		id: id, rate: time.Duration(97 + w.pick(7)), offset: time.Duration(w.pick(50)) * time.Millisecond,
		view: marks.NewMembershipView(lease, w.rules),
		home: marks.NewHome(marks.HomeConfig{
			Self: id, Lease: lease, MaxMarks: w.maxMarks, MaxLost: 8, Rules: w.rules,
		}),
		ledger: marks.NewLedger(id, 8, 8),
	}
}

// setMembers commits a head row whose members are nodes.
func (w *world) setMembers(nodes []*node) {
	next := *w.head
	next.Version++
	next.MembersVersion++
	next.Members = nil
	for _, n := range nodes {
		next.Members = append(next.Members, model.Member{ID: n.id})
	}
	w.head = &next
}

func (w *world) learn(n *node, askedAt time.Duration, head *model.Head) {
	if n.dead || n.head != nil && head.Version < n.head.Version {
		return
	}
	if n.head == nil || head.MembersVersion != n.head.MembersVersion {
		n.set = marks.NewMemberSet(head.MembersVersion, head.Members)
	}
	n.head = head
	n.view.Confirm(askedAt, n.clock(w.now), n.set)
	n.home.ApplyHead(n.clock(w.now), head, n.set)
	n.ledger.SetGroups(head.Groups)
}

func (w *world) send(deliver func()) { w.flight = append(w.flight, deliver) }

func (w *world) deliver(i int) {
	deliver := w.flight[i]
	w.flight = append(w.flight[:i], w.flight[i+1:]...)
	deliver()
}

func (w *world) deliverAll() {
	for len(w.flight) > 0 {
		w.deliver(0)
	}
}

func (w *world) find(id model.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id && !n.dead {
			return n
		}
	}
	return nil
}

// call carries a question to the instance to, and its answer back.
func call[T any](w *world, to model.InstanceID, ask func(*node) T, answered func(T)) {
	w.send(func() {
		n := w.find(to)
		if n == nil {
			return
		}
		answer := ask(n)
		w.send(func() { answered(answer) })
	})
}

// readHead reads the head row; the answer may arrive late.
func (w *world) readHead(n *node) {
	askedAt := n.clock(w.now)
	w.send(func() {
		head := w.head
		w.send(func() { w.learn(n, askedAt, head) })
	})
}

// askPromises renews the node's lease without the table: each member that
// knows no newer row promises to remove nobody and to seal nothing.
func (w *world) askPromises(n *node) {
	askedAt, row, set := n.clock(w.now), n.head.Version, n.set
	missing := len(n.head.Members)
	for _, member := range n.head.Members {
		call(w, member.ID, func(to *node) bool {
			given := to.head.Version == row
			if given {
				w.promisedAt = w.now
			}
			return given
		}, func(given bool) {
			if given {
				missing--
			}
			if missing == 0 && !n.dead {
				n.view.Confirm(askedAt, n.clock(w.now), set)
			}
		})
	}
}

// mayChange reports whether no promise forbids a removal or a change of primary.
func (w *world) mayChange() bool {
	return w.promisedAt == 0 || w.now > w.promisedAt+lifetime+drift
}

// sampleFloor asks the primary; the sample is proven if the node's generation
// is the present one.
func (w *world) sampleFloor(n *node) {
	askedAt := n.clock(w.now)
	if n.home.NeedsFloor(askedAt, hire) && n.generation() == w.generation() {
		n.home.SetFloor(askedAt, hire, w.present())
	}
}

func (w *world) generation() model.Generation { return w.head.Groups[0].Generation }
func (n *node) generation() model.Generation  { return n.head.Groups[0].Generation }

func (w *world) present() model.Mark {
	return model.Mark{Generation: w.generation(), LSN: w.position}
}

// handOver sends marks of lost writes, or the notice that none are left.
func (w *world) handOver(n *node) {
	fromHome, fromLedger := n.home.PendingHandover(), n.ledger.PendingHandover(n.set)
	for _, lost := range fromHome {
		w.sendLost(lost, func() { n.home.LossReported(lost.Key, lost.Mark) })
	}
	for _, lost := range fromLedger {
		w.sendLost(lost, func() { n.ledger.HandoverAccepted(lost) })
	}
	if len(fromHome)+len(fromLedger) > 0 {
		return
	}
	row := n.head.Version
	for _, member := range n.head.Members {
		call(w, member.ID, func(to *node) bool { to.home.HandedOver(to.clock(w.now), n.id, row); return true }, func(bool) {})
	}
}

func (w *world) sendLost(lost marks.LostMark, taken func()) {
	call(w, lost.Home.Home, func(to *node) marks.StoreStatus {
		return to.home.AcceptLostMark(lost.Key, lost.Mark, lost.Home.Version)
	}, func(status marks.StoreStatus) {
		if status == marks.StoreDone {
			taken()
		}
	})
}

// passed tells the node what all replicas have applied.
func (w *world) passed(n *node) {
	at := w.replicas[0].applied
	if w.replicas[1].applied.Before(at) {
		at = w.replicas[1].applied
	}
	n.home.AllReplicasApplied(hire, at)
	n.ledger.AllReplicasApplied(hire, at)
}

func (w *world) hasWrite(r *replica, mark model.Mark) bool {
	if r.applied.Generation == mark.Generation {
		return mark.LSN <= r.applied.LSN
	}
	return r.applied.Generation > mark.Generation && w.survives(mark)
}

// survives reports whether the write is part of the present history.
func (w *world) survives(mark model.Mark) bool {
	for g := mark.Generation + 1; g <= w.generation(); g++ {
		if mark.LSN > w.starts[g] {
			return false
		}
	}
	return true
}
