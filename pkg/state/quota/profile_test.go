package quota_test

import (
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

// event is a kind of failure or change.
type event int

const (
	cutOneWay event = iota
	cutBothWays
	isolate
	splitInTwo
	heal
	freeze
	lose
	joinOne
	cutFromStore
	slowDown
	newLimit
	moveDemand
	rest
	surge
	restartAll
	replaceOne
	changeDemand
)

// profile is a kind of schedule.
type profile struct {
	name string
	// events holds the events, and every the mean number of steps between two.
	events []event
	every  int
	// limit and members are chosen at random if they are zero.
	limit   quota.Limit
	members int
	// evictAfter is how long after a loss a member is removed.
	evictAfter time.Duration
}

var (
	mixed = profile{
		name: "mixed", every: 15, evictAfter: 4 * time.Second,
		events: []event{
			cutOneWay, cutBothWays, isolate, splitInTwo, heal, heal, freeze, lose, joinOne, cutFromStore, slowDown, newLimit,
			moveDemand, moveDemand, rest, changeDemand, changeDemand,
		},
	}
	links = profile{
		name: "links", every: 60, evictAfter: 4 * time.Second, limit: quota.Limit{Caller: hot, Rate: 100, Burst: 2},
		events: []event{cutOneWay, cutBothWays, isolate, splitInTwo, splitInTwo, heal, freeze, slowDown, changeDemand},
	}
	demands = profile{
		name: "demand", every: 4, evictAfter: 4 * time.Second, limit: quota.Limit{Caller: hot, Rate: 20, Burst: 150}, members: 4,
		events: []event{moveDemand, moveDemand, moveDemand, surge, rest},
	}
	membership = profile{
		name: "membership", every: 30, evictAfter: 500 * time.Millisecond, limit: quota.Limit{Caller: hot, Rate: 100, Burst: 2}, members: 2,
		events: []event{isolate, lose, joinOne, cutFromStore, heal, changeDemand, changeDemand},
	}
	bursts = profile{
		name: "bursts", every: 15, evictAfter: 4 * time.Second, limit: quota.Limit{Caller: hot, Rate: 20, Burst: 150},
		events: []event{cutOneWay, cutBothWays, isolate, splitInTwo, heal, heal, freeze, slowDown, moveDemand, rest},
	}
	restarts = profile{
		name: "restarts", every: 60, evictAfter: 500 * time.Millisecond, limit: quota.Limit{Caller: hot, Rate: 20, Burst: 150}, members: 3,
		events: []event{restartAll, surge, surge, rest},
	}
	replacements = profile{
		name: "replacements", every: 30, evictAfter: 4 * time.Second, limit: quota.Limit{Caller: hot, Rate: 100, Burst: 20}, members: 3,
		events: []event{replaceOne, replaceOne, isolate, cutFromStore, heal, changeDemand, changeDemand, moveDemand},
	}
)

// event brings about one failure, or ends one.
func (s *simulation) event() {
	n := s.live()
	if n == nil {
		return
	}
	other := s.members[s.pick(len(s.members))]
	switch s.profile.events[s.pick(len(s.profile.events))] {
	case cutOneWay:
		s.cut[[2]model.InstanceID{n.id, other.id}] = true
	case cutBothWays:
		s.cut[[2]model.InstanceID{n.id, other.id}] = true
		s.cut[[2]model.InstanceID{other.id, n.id}] = true
	case isolate:
		for _, m := range s.members {
			s.cut[[2]model.InstanceID{n.id, m.id}] = true
			s.cut[[2]model.InstanceID{m.id, n.id}] = true
		}
		n.storeCut = s.pick(2) == 0
	case splitInTwo:
		s.split()
	case heal:
		clear(s.cut)
		clear(s.slow)
		for _, m := range s.members {
			m.storeCut = false
		}
	case freeze:
		n.frozenUntil = s.now + time.Duration(s.pick(60))*100*time.Millisecond
	case lose:
		s.loseMember(n)
		if s.pick(2) == 0 {
			s.join()
		}
	case joinOne:
		if len(s.listed) < 8 {
			s.join()
		}
	case cutFromStore:
		n.storeCut = !n.storeCut
	case slowDown:
		s.slow[[2]model.InstanceID{n.id, other.id}] = time.Duration(s.pick(30)) * 100 * time.Millisecond
	case newLimit:
		s.changeLimit()
	case moveDemand:
		s.moveDemand(n)
	case rest:
		s.rest()
	case restartAll:
		s.restartAll()
	case replaceOne:
		s.replace(n)
	case surge:
		s.surge()
	default:
		n.demand = []int{0, 20, 100, 400}[s.pick(4)]
	}
}

// moveDemand moves all demand to one member, or ends it.
func (s *simulation) moveDemand(n *member) {
	for _, m := range s.members {
		m.demand = 0
	}
	if s.pick(3) != 0 {
		n.demand = 4000
	}
}

// rest ends all demand until the buckets are full. Then one member has a demand
// just below the rate for a window, so that a surge after it finds a full bucket at
// the end of a window that was used.
func (s *simulation) rest() {
	for _, m := range s.members {
		m.demand = 0
	}
	s.steadyAt = s.now + 9*time.Second
	s.restUntil = s.steadyAt + 4500*time.Millisecond
}

// surge gives a large demand to all members at once.
func (s *simulation) surge() {
	for _, m := range s.members {
		m.demand = 4000
	}
}

// split cuts the members into two parts.
func (s *simulation) split() {
	for i, a := range s.members {
		for j, b := range s.members {
			if i%2 != j%2 {
				s.cut[[2]model.InstanceID{a.id, b.id}] = true
			}
		}
	}
}

func (s *simulation) changeLimit() {
	factors := []float64{0.25, 0.5, 2, 4}
	s.limit.Rate = min(max(s.limit.Rate*factors[s.pick(4)], 2), 200)
	s.limit.Burst = min(max(s.limit.Burst*factors[s.pick(4)], 2), 200)
	for _, m := range s.members {
		m.limitAt = s.now + time.Duration(s.pick(40))*100*time.Millisecond
	}
}
