package failover_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// memberFleet simulates members in virtual time. An instance can send messages only
// to the members of the newest row that it knows, as in the mesh.
type memberFleet struct {
	head     *model.Head
	silent   bool
	now      time.Duration
	machines map[model.InstanceID]*failover.Machine
	order    []model.InstanceID
	// messages are those sent since the last step.
	messages []fleetMessage
}

type fleetMessage struct {
	from, to model.InstanceID
	message  failover.PeerMessage
}

const fleetStep = 10 * time.Millisecond

// newMemberFleet returns a fleet whose row lists this many members.
func newMemberFleet(members int) *memberFleet {
	f := &memberFleet{
		head: &model.Head{
			Version: 1, Revision: 1, MembersVersion: uint64(members),
			Groups: []model.GroupHead{{ID: "group", Generation: 1, Primary: "primary", Timeline: 1}},
		},
		machines: map[model.InstanceID]*failover.Machine{},
	}
	for i := range members {
		f.head.Members = append(f.head.Members, fleetMember(i))
	}
	for i := range members {
		f.start(i)
	}
	return f
}

func fleetMember(index int) model.Member {
	return model.Member{ID: model.InstanceID(fmt.Sprintf("i%d", index)), DataCentre: model.DataCentre(fmt.Sprintf("centre-%d", index))}
}

// start starts an instance.
func (f *memberFleet) start(index int) {
	self := fleetMember(index)
	machine := failover.New(failover.Config{Self: self, TickInterval: fleetStep})
	f.machines[self.ID] = machine
	f.order = append(f.order, self.ID)
	f.handle(self.ID, failover.BundleAdopted{Groups: []failover.GroupSpec{{
		ID: "group", Upstreams: []failover.UpstreamSpec{{ID: "primary"}},
	}}})
}

// runUntil advances the time.
func (f *memberFleet) runUntil(end time.Duration) {
	for f.now < end {
		f.now += fleetStep
		arrived := f.messages
		f.messages = nil
		for _, m := range arrived {
			f.handle(m.to, failover.PeerReceived{From: m.from, Message: m.message})
		}
		for _, id := range f.order {
			f.handle(id, failover.Tick{})
		}
	}
}

func (f *memberFleet) handle(id model.InstanceID, event failover.Event) {
	machine := f.machines[id]
	for _, action := range machine.Handle(f.now, event) {
		switch a := action.(type) {
		case failover.ReadHead:
			f.handle(id, failover.HeadRead{StartedAt: f.now, Failed: f.silent, Head: f.head})
		case failover.WriteHead:
			f.write(id, a)
		case failover.SendPeer:
			f.send(id, a)
		}
	}
}

// write executes a write of the row. The table falls silent after one that adds a
// member.
func (f *memberFleet) write(id model.InstanceID, write failover.WriteHead) {
	if f.silent || write.IfVersion != f.head.Version {
		f.handle(id, failover.HeadWritten{Op: write.Op, Outcome: failover.WriteUnknown})
		return
	}
	f.silent = len(write.Head.Members) > len(f.head.Members)
	f.head = write.Head.Clone()
	f.head.Version = write.IfVersion + 1
	f.handle(id, failover.HeadWritten{Op: write.Op, Outcome: failover.WriteApplied, Head: f.head})
}

func (f *memberFleet) send(from model.InstanceID, action failover.SendPeer) {
	known := f.machines[from].View().Head
	if _, listed := known.Member(action.To); !listed || action.To == from {
		return
	}
	f.messages = append(f.messages, fleetMessage{from: from, to: action.To, message: action.Message})
}

var _ = Describe("promises of members", func() {
	// Load: the store falls silent right after an instance has registered, before
	// another one has read its registration. That instance was without a permit until
	// the store came back, and its sessions were closed.
	It("renew the permits of an instance that registered just before the store fell silent", func() {
		f := newMemberFleet(3)
		f.runUntil(time.Second)
		f.start(3)
		f.runUntil(f.now + 10*time.Second)
		Expect(f.silent).To(BeTrue())
		for _, id := range f.order {
			view := f.machines[id].View()
			Expect(view.Head.Members).To(HaveLen(4), "%s", id)
			Expect(view.Groups).To(HaveLen(1))
			Expect(view.Groups[0].PermitUntil).To(BeNumerically(">", f.now), "permit of %s", id)
		}
	})
})
