package adoption_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/model"
)

const (
	fleetSize = 4
	// settleRounds is enough for a fetch that times out at each source.
	settleRounds = 200
)

// delivery is an event on its way to an instance.
type delivery struct {
	to    model.InstanceID
	event adoption.Event
}

type member struct {
	id      model.InstanceID
	machine *adoption.StateMachine
	data    []byte
	highest model.Revision
}

// fleet is a set of instances, a head row, an object store and a network that
// reorders, drops and doubles.
type fleet struct {
	options  adoption.Options
	now      time.Duration
	members  []*member
	started  int
	history  []adoption.BundleRef
	objects  map[string][]byte
	down     bool
	inFlight []delivery
}

func newFleet(t *rapid.T, options adoption.Options) *fleet {
	f := &fleet{options: options, objects: map[string][]byte{}}
	for range fleetSize {
		f.members = append(f.members, f.start())
	}
	f.apply(t)
	return f
}

func (f *fleet) start() *member {
	f.started++
	return &member{id: model.InstanceID(fmt.Sprintf("i%d", f.started)), machine: adoption.New(f.options)}
}

func (f *fleet) head() adoption.BundleRef { return f.history[len(f.history)-1] }

// apply commits the next revision to the head row.
func (f *fleet) apply(*rapid.T) {
	if f.down {
		return
	}
	next := len(f.history) + 1
	ref, data := refOf(model.Revision(next), next)
	f.objects[ref.Digest] = data
	f.history = append(f.history, ref)
}

// race lets two operators apply on the same revision; the loser's bundle is
// in the object store, but no head row names it.
func (f *fleet) race(t *rapid.T) {
	loser, data := refOf(f.head().Revision+1, 1000+len(f.history))
	f.objects[loser.Digest] = data
	f.apply(t)
}

func (f *fleet) pick(t *rapid.T) *member {
	return f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
}

// read lets an instance read the head row; the answer may arrive late.
func (f *fleet) read(t *rapid.T) {
	if !f.down {
		f.inFlight = append(f.inFlight, delivery{f.pick(t).id, adoption.RevisionSeen{Ref: f.head()}})
	}
}

func (f *fleet) tick(t *rapid.T) {
	f.now += adoption.TickInterval * time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks"))
	f.step(f.pick(t), adoption.Tick{})
}

func (f *fleet) take(t *rapid.T) (delivery, bool) {
	if len(f.inFlight) == 0 {
		return delivery{}, false
	}
	at := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "delivery")
	taken := f.inFlight[at]
	f.inFlight = append(f.inFlight[:at:at], f.inFlight[at+1:]...)
	return taken, true
}

func (f *fleet) deliver(t *rapid.T) {
	if taken, ok := f.take(t); ok {
		f.hand(taken)
	}
}

func (f *fleet) drop(t *rapid.T) { f.take(t) }

func (f *fleet) double(t *rapid.T) {
	if taken, ok := f.take(t); ok {
		f.inFlight = append(f.inFlight, taken, taken)
	}
}

func (f *fleet) replace(t *rapid.T) {
	f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "replaced")] = f.start()
}

func (f *fleet) outage(*rapid.T) { f.down = !f.down }

func (f *fleet) hand(d delivery) {
	if to, ok := f.member(d.to); ok {
		f.step(to, d.event)
	}
}

func (f *fleet) member(id model.InstanceID) (*member, bool) {
	for _, m := range f.members {
		if m.id == id {
			return m, true
		}
	}
	return nil, false
}

func (f *fleet) step(m *member, event adoption.Event) {
	for _, action := range m.machine.Step(f.now, event) {
		switch a := action.(type) {
		case adoption.Adopt:
			m.data = a.Data
		case adoption.Announce:
			f.broadcast(m.id, a.Ref)
		case adoption.Fetch:
			f.inFlight = append(f.inFlight, delivery{m.id, f.answer(a)})
		}
	}
}

func (f *fleet) broadcast(from model.InstanceID, ref adoption.BundleRef) {
	for _, to := range f.members {
		if to.id != from {
			f.inFlight = append(f.inFlight, delivery{to.id, adoption.RevisionSeen{Ref: ref, From: from}})
		}
	}
}

func (f *fleet) answer(fetch adoption.Fetch) adoption.Fetched {
	answer := adoption.Fetched{Ref: fetch.Ref, From: fetch.From, Failed: true}
	if fetch.From == "" {
		data, ok := f.objects[fetch.Ref.Digest]
		if !f.down && ok {
			answer.Data, answer.Failed = data, false
		}
		return answer
	}
	peer, ok := f.member(fetch.From)
	if !ok {
		return answer
	}
	if inForce, _ := peer.machine.Active(); inForce == fetch.Ref {
		answer.Data, answer.Failed = peer.data, false
	}
	return answer
}

// invariant: an instance never goes back, and runs only what a head row named.
func (f *fleet) invariant(t *rapid.T) {
	for _, m := range f.members {
		inForce, _ := m.machine.Active()
		if inForce.Revision < m.highest {
			t.Fatalf("%s went back from revision %d to %d", m.id, m.highest, inForce.Revision)
		}
		m.highest = inForce.Revision
		if inForce.Revision > 0 && f.history[inForce.Revision-1] != inForce {
			t.Fatalf("%s runs %v, which was never the head", m.id, inForce)
		}
	}
}

// settle ends the faults of the network. One instance has read the head row;
// if the platform is down, the others learn from it alone.
func (f *fleet) settle(t *rapid.T) {
	wasDown := f.down
	f.down = false
	f.inFlight = append(f.inFlight, delivery{f.members[0].id, adoption.RevisionSeen{Ref: f.head()}})
	f.rounds()
	f.down = wasDown
	f.members[1] = f.start()
	f.rounds()
	f.invariant(t)
	for _, m := range f.members {
		if inForce, _ := m.machine.Active(); inForce != f.head() {
			t.Fatalf("%s settled on %v, not on %v", m.id, inForce, f.head())
		}
	}
}

func (f *fleet) rounds() {
	for range settleRounds {
		f.now += adoption.TickInterval
		pending := f.inFlight
		f.inFlight = nil
		for _, d := range pending {
			f.hand(d)
		}
		for _, m := range f.members {
			f.step(m, adoption.Tick{})
		}
	}
}
