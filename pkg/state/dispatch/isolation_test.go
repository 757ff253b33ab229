package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

// The routes of a load with three priorities; see docs/design/15-hard-load.md.
const (
	urgent = iota
	normal
	batch
)

var routes = []struct {
	name            string
	work            time.Duration
	target, timeout time.Duration
	maxAge          time.Duration
	// perSecond is the usual load of one of the callers.
	perSecond float64
}{
	urgent: {"urgent", millis(6), millis(200), millis(800), 0, 50},
	normal: {"normal", millis(18), millis(400), millis(800), millis(1500), 28},
	batch:  {"batch", millis(30), millis(1000), millis(2000), millis(1500), 9},
}

const callerCount = 10

// newBusyGroup returns a group of a primary and two replicas with five slots
// each.
func newBusyGroup() *dispatch.Group {
	group := dispatch.NewGroup("quay-east")
	var specs []dispatch.UpstreamSpec
	for _, id := range []model.UpstreamID{primary, localReplica, remoteReplica} {
		specs = append(specs, dispatch.UpstreamSpec{ID: id, DataCentre: "quay-east", Slots: 5, MaxConnections: 70, MaxOutstanding: 5})
	}
	group.SetUpstreams(specs)
	group.SetLeadership(dispatch.Leadership{Generation: 1, Primary: primary, PermitUntil: forever, Term: 1})
	return group
}

// callerName returns the name of the caller with a number; caller 0 is the one
// that the others are to be isolated from.
func callerName(number int) model.CallerName { return model.CallerName(fmt.Sprint("caller ", number)) }

// newRouteUnit returns a unit of a route.
func newRouteUnit(route int, now time.Duration, caller model.CallerName, session uint64) *dispatch.Unit {
	r := routes[route]
	return &dispatch.Unit{
		Route: r.name, Priority: route, NeedsPrimary: route == urgent, MaxAge: r.maxAge,
		Caller: caller, Session: session,
		Arrived: now, Target: now + r.target, Deadline: now + r.timeout,
	}
}

// callerSimulation is a simulation in which callers use all routes.
type callerSimulation struct {
	*simulation
	// numbers holds the caller's number of each unit. The unit itself has no caller
	// if the rule is off.
	numbers map[*dispatch.Unit]int
	// withoutCallers leaves out the callers of the units, which switches the rule
	// off.
	withoutCallers bool
}

func newCallerSimulation(group *dispatch.Group) *callerSimulation {
	s := &callerSimulation{simulation: newSimulation(group), numbers: map[*dispatch.Unit]int{}}
	s.slots = 5
	samplePrimary(group, 0)
	s.label = func(unit *dispatch.Unit) string {
		if s.numbers[unit] == 0 {
			return "caller 0's " + unit.Route
		}
		return unit.Route
	}
	return s
}

func (s *callerSimulation) newUnit(route, number int, session uint64, now time.Duration) *dispatch.Unit {
	caller := callerName(number)
	if s.withoutCallers {
		caller, session = "", 0
	}
	unit := newRouteUnit(route, now, caller, session)
	s.numbers[unit] = number
	return unit
}

// schedule submits the units of the caller with a number at a multiple of the
// usual load.
func (s *callerSimulation) schedule(route, number int, factor float64, until time.Duration) {
	newUnit := func(now time.Duration) *dispatch.Unit {
		return s.newUnit(route, number, uint64(s.random.IntN(3)), now)
	}
	s.scheduleArrivals(routes[route].perSecond*factor, until, newUnit, routes[route].work)
}

func (s *callerSimulation) scheduleOthers(until time.Duration) {
	for number := 1; number < callerCount; number++ {
		for route := range routes {
			s.schedule(route, number, 1, until)
		}
	}
}

// onTime returns the shares of the other callers' units that were on time, in
// per cent, by route.
func (s *callerSimulation) onTime() []float64 {
	var shares []float64
	for _, route := range routes {
		shares = append(shares, 100*s.share("in time", route.name))
	}
	return shares
}

// submitFor submits a unit of caller 0 with the usual work of its route.
func (s *callerSimulation) submitFor(unit *dispatch.Unit, route int) *job {
	entry := &job{unit: unit, work: routes[route].work}
	s.jobs[unit] = entry
	s.submit(unit)
	return entry
}

// isolationLoads are the loads of caller 0.
var isolationLoads = []struct {
	name string
	// fails is set if the others lose more than is allowed where callers are not
	// told apart.
	fails bool
	add   func(s *callerSimulation, until time.Duration)
}{
	{"at seven times its usual load", true, func(s *callerSimulation, until time.Duration) {
		for route := range routes {
			s.schedule(route, 0, 7, until)
		}
	}},
	{"with hundreds of sessions that never pause", true, func(s *callerSimulation, until time.Duration) {
		var next func(route int, session uint64)
		sessions := map[*dispatch.Unit]uint64{}
		next = func(route int, session uint64) {
			if s.now >= until {
				return
			}
			unit := s.newUnit(route, 0, session, s.now)
			sessions[unit] = session
			s.submitFor(unit, route)
		}
		s.ended = func(unit *dispatch.Unit, refusal *dispatch.Refusal) {
			session, found := sessions[unit]
			if !found {
				return
			}
			delete(sessions, unit)
			delay := millis(1)
			if refusal != nil {
				delay = max(delay, refusal.RetryAfter)
			}
			s.after(delay, func() { next(unit.Priority, session) })
		}
		for session := range 400 {
			s.after(millis(session), func() { next(session%len(routes), uint64(session)) })
		}
	}},
	{"with idle transactions", false, func(s *callerSimulation, until time.Duration) {
		var next func(session uint64)
		sessions := map[*dispatch.Unit]uint64{}
		next = func(session uint64) {
			if s.now >= until {
				return
			}
			unit := s.newUnit(urgent, 0, session, s.now)
			sessions[unit] = session
			entry := &job{unit: unit, work: routes[urgent].work, statements: 11, pause: millis(150)}
			s.jobs[unit] = entry
			s.submit(unit)
		}
		s.ended = func(unit *dispatch.Unit, _ *dispatch.Refusal) {
			if session, found := sessions[unit]; found {
				delete(sessions, unit)
				s.after(millis(50), func() { next(session) })
			}
		}
		for session := range 35 {
			s.after(millis(5*session), func() { next(uint64(session)) })
		}
	}},
}

var _ = Describe("a caller", func() {
	const length = 15 * time.Second

	run := func(withoutCallers bool, add func(*callerSimulation, time.Duration)) []float64 {
		s := newCallerSimulation(newBusyGroup())
		s.withoutCallers = withoutCallers
		s.scheduleOthers(length)
		if add != nil {
			add(s, length)
		}
		s.run(length + 3*time.Second)
		GinkgoWriter.Println(s.onTime(), s.counts)
		return s.onTime()
	}

	worstLoss := func(without, with []float64) float64 {
		worst := 0.0
		for i := range without {
			worst = max(worst, without[i]-with[i])
		}
		return worst
	}

	// Guards against a caller that takes what is due to others: the share on time
	// of their units stays within 5 percentage points.
	for _, load := range isolationLoads {
		It(load.name+" takes nothing from the others", func() {
			alone := run(false, nil)
			Expect(worstLoss(alone, run(false, load.add))).To(BeNumerically("<", 5))
			if load.fails {
				Expect(worstLoss(alone, run(true, load.add))).To(BeNumerically(">", 5))
			}
		})
	}
})
