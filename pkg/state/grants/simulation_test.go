package grants_test

import (
	"fmt"
	"time"

	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

const (
	db       = model.UpstreamID("hire-a")
	capacity = 7
	reserve  = 1
)

// chooser returns a number from 0 to n-1. It makes all choices of a simulation.
type chooser func(n int) int

// instance is an instance under test: a real Machine, on a clock that runs at
// its own rate.
type instance struct {
	id model.InstanceID
	// clockRate is the speed of the clock in percent of the simulated time.
	clockRate time.Duration
	machine   *grants.Machine
	open      int
	busy      int
	waiting   int
	// stopped is true after a crash. The upstream may still count the
	// connections of the instance.
	stopped bool
}

func (n *instance) clock(now time.Duration) time.Duration { return now * n.clockRate / 100 }

// simulation consists of one upstream, the table and the instances. Messages
// are delivered in any order, late or never.
type simulation struct {
	pick           chooser
	config         grants.Config
	capacity       int
	now            time.Duration
	version        model.RowVersion
	row            *grants.Row
	members        []model.InstanceID
	membersVersion uint64
	tableDown      bool
	instances      []*instance
	inFlight       []func()
	writes         int
	maxOpen        int
	violation      error
}

// newSimulation returns a simulation of three instances with short timeouts.
func newSimulation(pick chooser, rules grants.Rules) *simulation {
	config := grants.Config{
		LeaseLifetime: 200 * time.Millisecond, Drift: 30 * time.Millisecond, IdleTimeout: 100 * time.Millisecond,
		ReadInterval: 100 * time.Millisecond, ShortageReadInterval: 50 * time.Millisecond, SpareConnections: 1, Rules: rules,
	}
	s := &simulation{pick: pick, config: config, capacity: capacity, membersVersion: 1}
	for range 3 {
		s.join()
	}
	return s
}

func (s *simulation) join() {
	n := &instance{id: model.InstanceID(fmt.Sprintf("i%d", len(s.instances)+1)), clockRate: time.Duration(96 + s.pick(9))}
	config := s.config
	config.Self = n.id
	n.machine = grants.New(config)
	s.instances = append(s.instances, n)
	s.members = append(append([]model.InstanceID{}, s.members...), n.id)
	s.membersVersion++
	s.handle(n, grants.UpstreamsAdopted{Upstreams: []grants.UpstreamCapacity{{ID: db, Connections: s.capacity, Reserve: reserve}}})
}

// handle passes an event to an instance and executes the actions returned.
func (s *simulation) handle(n *instance, event grants.Event) {
	if n.stopped {
		return
	}
	for _, action := range n.machine.Handle(n.clock(s.now), event) {
		s.execute(n, action)
	}
}

func (s *simulation) send(deliver func()) { s.inFlight = append(s.inFlight, deliver) }

func (s *simulation) execute(n *instance, action grants.Action) {
	switch a := action.(type) {
	case grants.ReadRow:
		asked := n.clock(s.now)
		s.send(func() {
			read := grants.RowRead{Upstream: db, AskedAt: asked, Version: s.version, Row: s.row, Failed: s.tableDown}
			s.send(func() { s.handle(n, read) })
		})
	case grants.WriteRow:
		s.send(func() { s.write(n, a) })
	case grants.CloseConnections:
		n.open = min(n.open, max(a.Keep, n.busy))
		s.send(func() { s.report(n) })
	case grants.CountConnections:
		s.count(n, a)
	case grants.HintPeer:
		s.send(func() { s.handle(s.find(a.To), grants.HintReceived{Upstream: db}) })
	}
}

func (s *simulation) write(n *instance, a grants.WriteRow) {
	answer := grants.RowWritten{Op: a.Op, Upstream: db}
	switch {
	case s.tableDown && s.pick(2) == 0:
	case a.IfVersion != s.version:
		answer.Outcome = grants.WriteConflict
	default:
		s.version++
		s.writes++
		s.row = a.Row
		answer.Outcome = grants.WriteApplied
	}
	if s.tableDown {
		answer.Outcome = grants.WriteUnknown
	}
	if answer.Outcome != grants.WriteUnknown {
		answer.Version, answer.Row = s.version, s.row
	}
	s.send(func() { s.handle(n, answer) })
}

func (s *simulation) count(n *instance, a grants.CountConnections) {
	asked := n.clock(s.now)
	s.send(func() {
		gone := s.find(a.Instance)
		if s.pick(2) == 0 {
			gone.open, gone.busy = 0, 0
		}
		answer := grants.ConnectionsCounted{Upstream: db, Instance: a.Instance, AskedAt: asked, Count: gone.open}
		s.send(func() { s.handle(n, answer) })
	})
}

func (s *simulation) find(id model.InstanceID) *instance {
	for _, n := range s.instances {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *simulation) report(n *instance) {
	s.handle(n, grants.Usage{Upstream: db, Open: n.open, Busy: n.busy, Waiting: n.waiting})
}

// confirm reads the member list for an instance; the answer may arrive late.
func (s *simulation) confirm(n *instance) {
	asked := n.clock(s.now)
	s.send(func() {
		if s.tableDown {
			return
		}
		event := grants.MembershipConfirmed{AskedAt: asked, Version: s.membersVersion, Members: s.members}
		s.send(func() { s.handle(n, event) })
	})
}

// openOne opens a connection if the limit of the instance permits it.
func (s *simulation) openOne(n *instance) {
	if n.stopped || n.open >= n.machine.Limit(n.clock(s.now), db) {
		return
	}
	n.open++
}

// changeMembers removes a member, which may go on running, adds a removed
// instance again, or adds a new one.
func (s *simulation) changeMembers() {
	n := s.instances[s.pick(len(s.instances))]
	var rest []model.InstanceID
	for _, id := range s.members {
		if id != n.id {
			rest = append(rest, id)
		}
	}
	switch {
	case len(rest) == len(s.members) && !n.stopped:
		s.members = append(append([]model.InstanceID{}, s.members...), n.id)
		s.membersVersion++
	case len(rest) < len(s.members) && len(rest) > 1:
		s.members = rest
		s.membersVersion++
		n.stopped = n.stopped || s.pick(3) == 0
	case len(s.instances) < 6:
		s.join()
	}
}

// check records a violation if more connections are open or granted than the
// limit less the reserve.
func (s *simulation) check() {
	open := 0
	for _, n := range s.instances {
		open += n.open
	}
	s.maxOpen = max(s.maxOpen, open)
	if open > s.capacity-reserve {
		s.violation = fmt.Errorf("%d connections open, limit %d", open, s.capacity-reserve)
	}
	if s.row != nil && s.row.Sum() > s.capacity-reserve {
		s.violation = fmt.Errorf("%d connections granted, limit %d", s.row.Sum(), s.capacity-reserve)
	}
}

// step makes one random choice: an event at an instance, a fault, or the
// delivery or loss of a message.
func (s *simulation) step() {
	s.now += time.Duration(s.pick(4)) * time.Millisecond
	n := s.instances[s.pick(len(s.instances))]
	action := s.pick(64)
	switch {
	case action < 6:
		s.confirm(n)
	case action < 12:
		s.openOne(n)
	case action < 15:
		n.busy, n.waiting = s.pick(n.open+1), s.pick(4)
		s.report(n)
	case action < 20:
		s.handle(n, grants.Tick{})
	case action < 21 && s.pick(8) == 0:
		s.changeMembers()
	case action < 22 && s.pick(8) == 0:
		s.tableDown = !s.tableDown
	case action < 23 && s.pick(3) == 0:
		s.now += s.config.LeaseLifetime
	case action < 24 && len(s.inFlight) > 0 && s.pick(3) == 0:
		i := s.pick(len(s.inFlight)) // lost
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	case len(s.inFlight) > 0:
		i := s.pick(min(len(s.inFlight), 6))
		deliver := s.inFlight[i]
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
		deliver()
	}
	s.check()
}

// run makes the given number of steps and returns the first violation.
func (s *simulation) run(steps int) error {
	for range steps {
		s.step()
		if s.violation != nil {
			return s.violation
		}
	}
	return nil
}
