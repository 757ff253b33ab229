package failover_test

import (
	"container/heap"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/serving"
)

// The fleet that is replayed: 15 of 78 instances have more resources than the
// others.
const (
	fleetSize   = 78
	fleetStrong = 15
	fleetGroups = 20
)

func fleetMachine(index int) serving.Machine {
	if index < fleetStrong {
		return serving.Machine{Cores: 0.8, LinkMbps: 200}
	}
	return serving.Machine{Cores: 0.46, LinkMbps: 20}
}

// joinFleet completes the settings of an instance of the fleet.
func joinFleet(index int, config *failover.Config) {
	policy := serving.NewJoinPolicy(config.Self.ID, fleetMachine(index))
	config.MinMembers = policy.MinMembers
	config.MaxMembers = policy.MaxMembers
	config.JoinDelay = policy.JoinDelay
	config.UrgentJoinDelay = policy.UrgentJoinDelay
	config.FirstReadDelay = policy.FirstReadDelay
}

// newFleet returns a simulation of the fleet's first start, without a head row.
func newFleet(seed uint64, configure func(int, *failover.Config)) *startSimulation {
	s := newStartSimulation(fleetSize, seed, configure)
	s.head = &model.Head{}
	var specs []failover.GroupSpec
	for i := range fleetGroups {
		specs = append(specs, failover.GroupSpec{ID: model.GroupID(fmt.Sprintf("group-%d", i))})
	}
	for _, machine := range s.machines {
		s.carryOut(machine, 0, machine.Handle(0, failover.BundleAdopted{Groups: specs}))
	}
	return s
}

// advance continues until the virtual time until.
func (s *startSimulation) advance(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(startEvent)
		next.run(next.at)
	}
}

var _ = Describe("the start of a large fleet", func() {
	// 78 instances that all registered sent each other 12,000 messages a second
	// and one head row of 12 KB in answer to each query. Before any caller came,
	// the link of the instance that answered was full for half a minute.
	It("leaves few members, which exchange few messages", func() {
		for seed := range uint64(10) {
			s := newFleet(seed, joinFleet)
			s.advance(10 * time.Second)
			Expect(len(s.head.Members)).To(BeNumerically("<=", 12), "seed %d", seed)
			Expect(len(s.head.Members)).To(BeNumerically(">=", serving.ServersPerGroup), "seed %d", seed)
			Expect(s.writes).To(BeNumerically("<=", 24), "seed %d", seed)
			before, reads := s.messages, s.reads
			s.advance(11 * time.Second)
			Expect(s.messages-before).To(BeNumerically("<", 400), "seed %d", seed)
			Expect(s.reads-reads).To(BeNumerically("<=", 24), "seed %d", seed)
		}
	})

	It("would send a message from each instance to each without a bound on members", func() {
		s := newFleet(1, nil)
		s.advance(10 * time.Second)
		before := s.messages
		s.advance(11 * time.Second)
		Expect(s.head.Members).To(HaveLen(fleetSize))
		Expect(s.messages - before).To(BeNumerically(">", 10000))
	})

	It("prefers the instances with more resources", func() {
		s := newFleet(3, joinFleet)
		s.advance(10 * time.Second)
		for _, member := range s.head.Members {
			var index int
			_, err := fmt.Sscanf(string(member.ID), "machine-%d/", &index)
			Expect(err).NotTo(HaveOccurred())
			Expect(index).To(BeNumerically("<", fleetStrong))
		}
	})
})

// observer returns a machine that knows a row with this many other members.
func observer(members int, now time.Duration) *failover.Machine {
	config := failover.Config{Self: model.Member{ID: "observer", DataCentre: "centre-0", Machine: "observer"}}
	config.MinMembers, config.MaxMembers = 4, 6
	config.JoinDelay, config.UrgentJoinDelay = 800*time.Millisecond, 100*time.Millisecond
	machine := failover.New(config)
	machine.Handle(now, failover.HeadRead{StartedAt: now, Head: fullRow(members)})
	return machine
}

func fullRow(members int) *model.Head {
	head := &model.Head{Version: 5, MembersVersion: uint64(members), Groups: []model.GroupHead{{ID: "g", Generation: 1, Primary: "u"}}}
	for i := range members {
		head.Members = append(head.Members, startMember(i, "now"))
	}
	return head
}

// writesHead reports whether an action writes the head row.
func writesHead(actions []failover.Action) bool {
	for _, action := range actions {
		if _, is := action.(failover.WriteHead); is {
			return true
		}
	}
	return false
}

// tickUntil ticks from one time to another, answers each read with head, and
// reports whether the machine has written the row.
func tickUntil(machine *failover.Machine, from, until time.Duration, head *model.Head) bool {
	for now := from; now <= until; now += startTick {
		for _, action := range machine.Handle(now, failover.Tick{}) {
			switch action.(type) {
			case failover.ReadHead:
				if writesHead(machine.Handle(now, failover.HeadRead{StartedAt: now, Head: head})) {
					return true
				}
			case failover.WriteHead:
				return true
			}
		}
	}
	return false
}

var _ = Describe("an observer", func() {
	It("neither registers nor reads the table while the row is full", func() {
		machine := observer(6, time.Second)
		Expect(machine.View().Observer).To(BeTrue())
		for now := time.Second; now < 20*time.Second; now += startTick {
			Expect(machine.Handle(now, failover.Tick{})).To(BeEmpty())
		}
	})

	It("holds no permit, whatever it reads", func() {
		machine := observer(6, time.Second)
		machine.Handle(time.Second, failover.BundleAdopted{Groups: []failover.GroupSpec{{ID: "g"}}})
		machine.Handle(2*time.Second, failover.HeadRead{StartedAt: 2 * time.Second, Head: fullRow(6)})
		view := machine.View()
		state, found := view.Group("g")
		Expect(found).To(BeTrue())
		Expect(state.PermitUntil).To(BeZero())
	})

	It("registers after its delay once the row has a vacancy", func() {
		machine := observer(6, time.Second)
		fewer := fullRow(5)
		fewer.Version = 6
		machine.Handle(2*time.Second, failover.PeerReceived{Message: failover.HeadSent{Head: fewer}})
		Expect(tickUntil(machine, 2*time.Second, 2700*time.Millisecond, fewer)).To(BeFalse())
		Expect(tickUntil(machine, 2750*time.Millisecond, 4*time.Second, fewer)).To(BeTrue())
	})

	It("registers soon where there are too few members", func() {
		machine := observer(3, time.Second)
		Expect(tickUntil(machine, time.Second, 1050*time.Millisecond, fullRow(3))).To(BeFalse())
		Expect(tickUntil(machine, 1100*time.Millisecond, 1200*time.Millisecond, fullRow(3))).To(BeTrue())
	})

	// All members were turned away by the store, which served the others: the
	// groups had no primary for as long as that lasted.
	It("registers although the row is full if too few members are able to serve", func() {
		machine := observer(6, time.Second)
		machine.Handle(2*time.Second, failover.MembersReported{Usable: 1})
		Expect(tickUntil(machine, 2*time.Second, 3*time.Second, fullRow(6))).To(BeTrue())
	})

	// At the end of an outage of the table all members are cut off for a moment
	// longer, and all observers would take their places at once.
	It("takes no place of a member while the table does not answer, or just answers again", func() {
		machine := observer(6, time.Second)
		machine.Handle(2*time.Second, failover.MembersReported{Usable: 0})
		now := 2 * time.Second
		for ; now < 8*time.Second; now += startTick {
			for _, action := range machine.Handle(now, failover.Tick{}) {
				Expect(writesHead([]failover.Action{action})).To(BeFalse())
				if _, is := action.(failover.ReadHead); is {
					Expect(writesHead(machine.Handle(now, failover.HeadRead{StartedAt: now, Failed: true}))).To(BeFalse())
				}
			}
		}
		Expect(tickUntil(machine, now, now+400*time.Millisecond, fullRow(6))).To(BeFalse())
		machine.Handle(now+400*time.Millisecond, failover.MembersReported{Usable: 6})
		Expect(tickUntil(machine, now+450*time.Millisecond, now+10*time.Second, fullRow(6))).To(BeFalse())
	})

	It("stays an observer if enough members are able to serve again", func() {
		machine := observer(6, time.Second)
		machine.Handle(2*time.Second, failover.MembersReported{Usable: 1})
		machine.Handle(2050*time.Millisecond, failover.MembersReported{Usable: 4})
		Expect(tickUntil(machine, 2100*time.Millisecond, 10*time.Second, fullRow(6))).To(BeFalse())
	})

	It("replaces an earlier process of its machine in a full row", func() {
		row := fullRow(6)
		row.Members[0].Machine = "observer"
		machine := failover.New(failover.Config{
			Self: model.Member{ID: "observer", DataCentre: "centre-0", Machine: "observer"}, MaxMembers: 6, JoinDelay: time.Hour,
		})
		Expect(tickUntil(machine, time.Second, 1100*time.Millisecond, row)).To(BeTrue())
	})
})

var _ = Describe("reads of the head row", func() {
	// A table that turns an instance away answers at once. An instance with a
	// decision pending asked it again with each event.
	It("wait after a failure", func() {
		machine := failover.New(failover.Config{Self: startMember(0, "now")})
		reads := 0
		for now := time.Second; now < 2*time.Second; now += 10 * time.Millisecond {
			for _, action := range machine.Handle(now, failover.PeerReceived{Message: failover.HeadChanged{Version: 9}}) {
				if _, is := action.(failover.ReadHead); is {
					reads++
					machine.Handle(now, failover.HeadRead{StartedAt: now, Failed: true})
				}
			}
		}
		Expect(reads).To(BeNumerically("<=", 5))
		Expect(reads).To(BeNumerically(">=", 3))
	})
})

var _ = Describe("the servers of a group", func() {
	// servers returns a member that serves g with two others, and what it does
	// when it loses the primary.
	newServer := func(servers ...model.InstanceID) *failover.Machine {
		config := failover.Config{Self: startMember(0, "now")}
		machine := failover.New(config)
		machine.Handle(time.Second, failover.BundleAdopted{Groups: []failover.GroupSpec{{
			ID: "g", Servers: servers, Upstreams: []failover.UpstreamSpec{{ID: "u"}, {ID: "v"}},
		}}})
		machine.Handle(time.Second, failover.HeadRead{StartedAt: time.Second, Head: fullRow(6)})
		return machine
	}
	rank := func(machine *failover.Machine) int {
		view := machine.View()
		state, _ := view.Group("g")
		return state.SealRank
	}

	It("act in their order", func() {
		first, second, third := startMember(0, "now").ID, startMember(1, "now").ID, startMember(2, "now").ID
		Expect(rank(newServer(first, second, third))).To(Equal(0))
		Expect(rank(newServer(second, third, first))).To(Equal(2))
	})

	It("pass over those that are not heard from", func() {
		first, second := startMember(0, "now").ID, startMember(1, "now").ID
		machine := newServer(second, first)
		for now := time.Second; now < 5*time.Second; now += startTick {
			machine.Handle(now, failover.Tick{})
		}
		Expect(rank(machine)).To(Equal(0))
	})

	It("tell the others if they cannot renew their permits", func() {
		machine := newServer(startMember(0, "now").ID)
		var last failover.Observed
		for now := time.Second; now < 5*time.Second; now += startTick {
			for _, action := range machine.Handle(now, failover.Tick{}) {
				sent, is := action.(failover.SendPeer)
				if message, observed := sent.Message.(failover.Observed); is && observed {
					last = message
				}
			}
		}
		Expect(last.CutOff).To(BeTrue())
		Expect(machine.View().Members[0].CutOff).To(BeTrue())
	})
})
