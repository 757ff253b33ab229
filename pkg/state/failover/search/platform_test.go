package search_test

import (
	"time"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// table simulates the head row in the platform's table.
type table struct {
	w        *world
	head     *model.Head
	down     bool
	delayMax time.Duration
	// answerLoss is the probability with which an answer is lost.
	answerLoss float64
	// startedAt is when the newest generation started.
	startedAt time.Duration
	reads     int
	writes    int
	// onRead, if not nil, is called once, when the next read is executed.
	onRead func(*node)
	// onSeal, if not nil, is called once, when the group is next sealed.
	onSeal func(*world)
}

func (t *table) group() model.GroupHead {
	if t.head == nil {
		return model.GroupHead{}
	}
	group, _ := t.head.Group(groupID)
	return group
}

func (t *table) delay() time.Duration { return t.w.between(t.delayMax/4, t.delayMax) }

func (t *table) answers(n *node) bool { return !t.down && !n.noTable }

func (t *table) read(n *node) {
	t.reads++
	result := failover.HeadRead{StartedAt: n.clock()}
	fail := func() {
		result.Failed = true
		n.deliver(func() { n.handle(result) })
	}
	t.w.after(t.delay(), func() {
		if !t.answers(n) || t.w.chance(t.answerLoss) {
			t.w.after(readTimeout, fail)
			return
		}
		result.Head = t.head
		if t.onRead != nil {
			t.onRead(n)
			t.onRead = nil
		}
		t.w.after(t.delay(), func() { n.deliver(func() { n.handle(result) }) })
	})
}

func (t *table) write(n *node, a failover.WriteHead) {
	t.writes++
	unknown := failover.HeadWritten{Op: a.Op, Outcome: failover.WriteUnknown}
	lost := func() { n.deliver(func() { n.handle(unknown) }) }
	t.w.after(t.delay(), func() {
		if !t.answers(n) {
			t.w.after(readTimeout, lost)
			if t.w.chance(0.3) && !n.noTable {
				t.w.after(t.w.between(0, 4*time.Second), func() { t.put(a) })
			}
			return
		}
		outcome := t.put(a)
		if t.w.chance(t.answerLoss) {
			t.w.after(readTimeout, lost)
			return
		}
		answer := failover.HeadWritten{Op: a.Op, Outcome: outcome, Head: t.head}
		t.w.after(t.delay(), func() { n.deliver(func() { n.handle(answer) }) })
	})
}

// put executes a conditional write and checks the invariants between the old
// and the new row.
func (t *table) put(a failover.WriteHead) failover.WriteOutcome {
	version := model.RowVersion(0)
	if t.head != nil {
		version = t.head.Version
	}
	if version != a.IfVersion {
		return failover.WriteConflict
	}
	before := t.group()
	next := a.Head.Clone()
	next.Version = version + 1
	after, found := next.Group(groupID)
	if before.Generation != 0 && found {
		t.w.checkStart(before, after)
	}
	if before.Generation != 0 && !found {
		t.w.violate("the group was lost from the head row")
	}
	if t.head != nil && next.MembersVersion < t.head.MembersVersion {
		t.w.violate("the members version went back")
	}
	if after.Generation != before.Generation {
		t.startedAt = t.w.now
	}
	t.head = next
	if t.onSeal != nil && after.Seal != nil {
		t.onSeal(t.w)
		t.onSeal = nil
	}
	return failover.WriteApplied
}

// network simulates the mesh between the instances.
type network struct {
	w        *world
	delayMax time.Duration
	// loss and repeat are the probabilities with which a message is lost or
	// delivered twice.
	loss   float64
	repeat float64
	// cut holds the directed links between instances that lose all messages.
	cut map[model.InstanceID]map[model.InstanceID]bool
	// cutDC holds the pairs of data centres between which upstreams cannot be
	// reached.
	cutDC map[model.DataCentre]map[model.DataCentre]bool
	// drop, if not nil, returns true for messages that are to be lost.
	drop func(failover.PeerMessage) bool
	// listedOnly loses the messages to instances that the sender's newest row does
	// not list, to which it has no connection in the mesh.
	listedOnly bool
}

func (c *network) delay() time.Duration { return c.w.between(c.delayMax/4, c.delayMax) }

func (c *network) isLost() bool { return c.loss > 0 && c.w.chance(c.loss) }

func (c *network) send(from *node, to model.InstanceID, message failover.PeerMessage) {
	if c.drop != nil && c.drop(message) {
		return
	}
	if c.listedOnly && !from.lists(to) {
		return
	}
	copies := 1
	if c.repeat > 0 && c.w.chance(c.repeat) {
		copies = 2
	}
	for range copies {
		if c.isLost() || c.cut[from.id][to] {
			continue
		}
		c.w.after(c.delay(), func() { c.arrive(from.id, to, message) })
	}
}

func (c *network) arrive(from, to model.InstanceID, message failover.PeerMessage) {
	for _, n := range c.w.nodes {
		if n.id == to {
			n.deliver(func() { n.handle(failover.PeerReceived{From: from, Message: message}) })
		}
	}
}

// isolate cuts both directions between the nodes in side and all others.
func (c *network) isolate(side map[model.InstanceID]bool) {
	c.cut = map[model.InstanceID]map[model.InstanceID]bool{}
	for _, a := range c.w.nodes {
		c.cut[a.id] = map[model.InstanceID]bool{}
		for _, b := range c.w.nodes {
			c.cut[a.id][b.id] = side[a.id] != side[b.id]
		}
	}
}
