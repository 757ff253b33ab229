package adoption_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/model"
)

const (
	clusterSize = 4
	// finalRounds is enough for fetches that time out at every source.
	finalRounds = 200
)

// delivery is an event on its way to an instance.
type delivery struct {
	to    model.InstanceID
	event adoption.Event
}

type member struct {
	id      model.InstanceID
	machine *adoption.StateMachine
	// data holds the bytes of the active bundle.
	data []byte
	// highest is the active revision at the last check.
	highest model.Revision
}

// cluster simulates instances, a head row, an object store and a network that
// reorders, drops and duplicates messages.
type cluster struct {
	options adoption.Options
	now     time.Duration
	members []*member
	// started counts the instances, including those that were replaced.
	started int
	// history lists the bundles that the head row has named, by revision.
	history []adoption.BundleRef
	// objects is the object store, by digest.
	objects map[string][]byte
	// platformDown makes the head row and the object store unreachable.
	platformDown bool
	inFlight     []delivery
}

func newCluster(t *rapid.T, options adoption.Options) *cluster {
	c := &cluster{options: options, objects: map[string][]byte{}}
	for range clusterSize {
		c.members = append(c.members, c.start())
	}
	c.apply(t)
	return c
}

func (c *cluster) start() *member {
	c.started++
	return &member{id: model.InstanceID(fmt.Sprintf("i%d", c.started)), machine: adoption.New(c.options)}
}

func (c *cluster) head() adoption.BundleRef { return c.history[len(c.history)-1] }

// apply commits the next revision to the head row.
func (c *cluster) apply(*rapid.T) {
	if c.platformDown {
		return
	}
	next := len(c.history) + 1
	ref, data := refOf(model.Revision(next), next)
	c.objects[ref.Digest] = data
	c.history = append(c.history, ref)
}

// applyConcurrently simulates two operators who publish the same revision. The
// loser's bundle is in the object store, but no head row names it.
func (c *cluster) applyConcurrently(t *rapid.T) {
	loser, data := refOf(c.head().Revision+1, 1000+len(c.history))
	c.objects[loser.Digest] = data
	c.apply(t)
}

func (c *cluster) pick(t *rapid.T) *member {
	return c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
}

// read lets an instance read the head row; the answer may arrive late.
func (c *cluster) read(t *rapid.T) {
	if !c.platformDown {
		c.inFlight = append(c.inFlight, delivery{c.pick(t).id, adoption.RevisionSeen{Ref: c.head()}})
	}
}

func (c *cluster) tick(t *rapid.T) {
	c.now += adoption.TickInterval * time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks"))
	c.step(c.pick(t), adoption.Tick{})
}

func (c *cluster) removeDelivery(t *rapid.T) (delivery, bool) {
	if len(c.inFlight) == 0 {
		return delivery{}, false
	}
	at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "delivery")
	removed := c.inFlight[at]
	c.inFlight = append(c.inFlight[:at:at], c.inFlight[at+1:]...)
	return removed, true
}

func (c *cluster) deliver(t *rapid.T) {
	if removed, ok := c.removeDelivery(t); ok {
		c.handle(removed)
	}
}

func (c *cluster) drop(t *rapid.T) { c.removeDelivery(t) }

func (c *cluster) duplicate(t *rapid.T) {
	if removed, ok := c.removeDelivery(t); ok {
		c.inFlight = append(c.inFlight, removed, removed)
	}
}

func (c *cluster) replace(t *rapid.T) {
	c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "replaced")] = c.start()
}

func (c *cluster) outage(*rapid.T) { c.platformDown = !c.platformDown }

func (c *cluster) handle(d delivery) {
	if to, ok := c.member(d.to); ok {
		c.step(to, d.event)
	}
}

func (c *cluster) member(id model.InstanceID) (*member, bool) {
	for _, m := range c.members {
		if m.id == id {
			return m, true
		}
	}
	return nil, false
}

// step passes an event to a member and carries out the resulting actions.
func (c *cluster) step(m *member, event adoption.Event) {
	for _, action := range m.machine.Step(c.now, event) {
		switch a := action.(type) {
		case adoption.Adopt:
			m.data = a.Data
		case adoption.Announce:
			c.broadcast(m.id, a.Ref)
		case adoption.Fetch:
			c.inFlight = append(c.inFlight, delivery{m.id, c.answer(a)})
		}
	}
}

func (c *cluster) broadcast(from model.InstanceID, ref adoption.BundleRef) {
	for _, to := range c.members {
		if to.id != from {
			c.inFlight = append(c.inFlight, delivery{to.id, adoption.RevisionSeen{Ref: ref, From: from}})
		}
	}
}

// answer returns the result of a fetch at the time when it is sent.
func (c *cluster) answer(fetch adoption.Fetch) adoption.Fetched {
	answer := adoption.Fetched{Ref: fetch.Ref, From: fetch.From, Failed: true}
	if fetch.From == "" {
		data, ok := c.objects[fetch.Ref.Digest]
		if !c.platformDown && ok {
			answer.Data, answer.Failed = data, false
		}
		return answer
	}
	peer, ok := c.member(fetch.From)
	if !ok {
		return answer
	}
	if active, _ := peer.machine.Active(); active == fetch.Ref {
		answer.Data, answer.Failed = peer.data, false
	}
	return answer
}

// checkInvariants checks that no instance returned to an older revision, and
// that only bundles that a head row named are active.
func (c *cluster) checkInvariants(t *rapid.T) {
	for _, m := range c.members {
		active, _ := m.machine.Active()
		if active.Revision < m.highest {
			t.Fatalf("%s returned from revision %d to the older %d", m.id, m.highest, active.Revision)
		}
		m.highest = active.Revision
		if active.Revision > 0 && c.history[active.Revision-1] != active {
			t.Fatalf("active bundle of %s is %v, which no head row named", m.id, active)
		}
	}
}

// checkConverges checks that all instances adopt the bundle in the head row once
// the network has no faults. One instance reads the head row. If the platform is
// down after that, the others, one of them newly started, can get the bundle
// only from their peers.
func (c *cluster) checkConverges(t *rapid.T) {
	platformWasDown := c.platformDown
	c.platformDown = false
	c.inFlight = append(c.inFlight, delivery{c.members[0].id, adoption.RevisionSeen{Ref: c.head()}})
	c.runRounds()
	c.platformDown = platformWasDown
	c.members[1] = c.start()
	c.runRounds()
	c.checkInvariants(t)
	for _, m := range c.members {
		if active, _ := m.machine.Active(); active != c.head() {
			t.Fatalf("active bundle of %s is %v, want %v", m.id, active, c.head())
		}
	}
}

func (c *cluster) runRounds() {
	for range finalRounds {
		c.now += adoption.TickInterval
		pending := c.inFlight
		c.inFlight = nil
		for _, d := range pending {
			c.handle(d)
		}
		for _, m := range c.members {
			c.step(m, adoption.Tick{})
		}
	}
}
