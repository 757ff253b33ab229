package quota_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

const (
	hot   = model.CallerName("hot")
	small = model.CallerName("small")
	step  = 25 * time.Millisecond
)

// chooser returns a number from 0 to n-1. It makes all choices of a simulation.
type chooser func(n int) int

// member is a member under test: a real Machine, on a clock that starts at a
// time and runs at a rate of its own.
type member struct {
	id         model.InstanceID
	host       string
	clockStart time.Duration
	// clockRate is the speed of the clock in thousandths of the simulated time.
	clockRate   time.Duration
	machine     *quota.Machine
	lost        bool
	frozenUntil time.Duration
	storeCut    bool
	nextTick    time.Duration
	limitAt     time.Duration
	limit       quota.Limit
	// demand is the operations of the hot caller in each step, in hundredths.
	demand int
	owed   int
}

// member returns the entry of the member in the list of the store.
func (n *member) member() model.Member { return model.Member{ID: n.id, Machine: n.host} }

func (n *member) clock(now time.Duration) time.Duration {
	return n.clockStart + now*n.clockRate/1000
}

// delivery is a message in flight.
type delivery struct {
	at     time.Duration
	from   model.InstanceID
	to     *member
	report quota.Report
}

// simulation consists of the members of a region, the links between them, and
// the store with the list of members.
type simulation struct {
	pick      chooser
	profile   profile
	rules     quota.Rules
	tolerance quota.Tolerance
	limit     quota.Limit
	now       time.Duration
	members   []*member
	listed    []model.Member
	// cut holds the directions in which no message arrives, and slow those with a
	// long delay.
	cut      map[[2]model.InstanceID]bool
	slow     map[[2]model.InstanceID]time.Duration
	inFlight []delivery
	// restUntil is the end of a span without events.
	restUntil time.Duration
	// steadyAt is when a steady demand begins in such a span.
	steadyAt time.Duration
	due      []delivery
	evictAt  map[model.InstanceID]time.Duration
	runs     []time.Duration
	// limits holds the highest rate and the highest burst of a member in each step
	// of the last window.
	limits []quota.Limit
	// peak is the largest number of runs in a window, as a part of the bound.
	peak float64
}

func newSimulation(pick chooser, rules quota.Rules, p profile) *simulation {
	rates := []float64{2, 20, 100}
	bursts := []float64{2, 20, 150}
	s := &simulation{
		pick: pick, rules: rules, profile: p,
		tolerance: quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 10},
		limit:     quota.Limit{Caller: hot, Rate: rates[pick(3)], Burst: bursts[pick(3)]},
		cut:       make(map[[2]model.InstanceID]bool),
		slow:      make(map[[2]model.InstanceID]time.Duration),
		evictAt:   make(map[model.InstanceID]time.Duration),
	}
	if p.limit.Rate != 0 {
		s.limit = p.limit
	}
	members := p.members
	if members == 0 {
		members = 2 + pick(4)
	}
	for range members {
		s.join()
	}
	return s
}

func (s *simulation) join() {
	n := &member{
		id:         model.InstanceID(fmt.Sprintf("i%d", len(s.members)+1)),
		clockStart: time.Duration(1+s.pick(100000)) * time.Millisecond,
		clockRate:  time.Duration(980 + s.pick(41)),
		limit:      s.limit,
	}
	n.machine = quota.New(quota.Config{Self: n.id, Tolerance: s.tolerance, Rules: s.rules})
	s.setLimit(n)
	n.host = "host of " + string(n.id)
	s.members = append(s.members, n)
	s.listed = append(slices.Clone(s.listed), n.member())
	n.demand = s.pick(200)
}

// replace ends a member and starts a new process on its machine, whose
// registration removes it from the list.
func (s *simulation) replace(n *member) {
	n.lost = true
	s.listed = slices.DeleteFunc(slices.Clone(s.listed), func(listed model.Member) bool { return listed.ID == n.id })
	s.join()
	successor := s.members[len(s.members)-1]
	successor.host = n.host
	s.listed[len(s.listed)-1] = successor.member()
}

func (s *simulation) setLimit(n *member) {
	n.machine.SetLimits(n.clock(s.now), []quota.Limit{n.limit, {Caller: small, Rate: 5, Burst: 5}})
}

// live returns a member that runs, or nil.
func (s *simulation) live() *member {
	n := s.members[s.pick(len(s.members))]
	if n.lost {
		return nil
	}
	return n
}

func (s *simulation) loseMember(n *member) {
	n.lost = true
	s.evictAt[n.id] = s.now + s.profile.evictAfter
}

// restartAll replaces all members by new ones at once.
func (s *simulation) restartAll() {
	count := 0
	for _, n := range s.members {
		if !n.lost {
			s.loseMember(n)
			count++
		}
	}
	for range count {
		s.join()
	}
	s.surge()
}

// evict removes the members that were lost or cut off from the store for long.
func (s *simulation) evict() {
	for _, n := range s.members {
		_, pending := s.evictAt[n.id]
		if !pending && n.storeCut {
			s.evictAt[n.id] = s.now + s.profile.evictAfter
		}
		if pending && !n.lost && !n.storeCut {
			delete(s.evictAt, n.id)
			if !slices.Contains(s.listed, n.member()) {
				s.listed = append(slices.Clone(s.listed), n.member())
			}
		}
		if at, pending := s.evictAt[n.id]; pending && s.now >= at {
			s.listed = slices.DeleteFunc(slices.Clone(s.listed), func(listed model.Member) bool { return listed.ID == n.id })
		}
	}
}

// poll tells a member what the store lists.
func (s *simulation) poll(n *member) {
	if n.storeCut || s.pick(4) != 0 {
		return
	}
	n.machine.SetMembers(n.clock(s.now), s.listed, n.clock(s.now))
}

// tick runs the periodic work of a member.
func (s *simulation) tick(n *member) {
	s.poll(n)
	if n.limitAt != 0 && s.now >= n.limitAt {
		n.limit, n.limitAt = s.limit, 0
		s.setLimit(n)
	}
	for _, out := range n.machine.Tick(n.clock(s.now)) {
		s.send(n, out)
	}
}

// send sends a report, which may be lost or late.
func (s *simulation) send(from *member, out quota.Outgoing) {
	link := [2]model.InstanceID{from.id, out.To}
	if s.cut[link] || s.pick(50) == 0 {
		return
	}
	at := slices.IndexFunc(s.members, func(n *member) bool { return n.id == out.To })
	to := s.members[at]
	delay := s.slow[link] + time.Duration(1+s.pick(10))*time.Millisecond
	s.inFlight = append(s.inFlight, delivery{at: s.now + delay, from: from.id, to: to, report: out.Report})
}

// deliver delivers what has arrived. A frozen member finds it when it wakes up.
func (s *simulation) deliver() {
	later, due := s.inFlight[:0], s.due[:0]
	for _, message := range s.inFlight {
		switch {
		case message.at > s.now || message.to.frozenUntil > s.now:
			later = append(later, message)
		case !message.to.lost:
			due = append(due, message)
		}
	}
	s.inFlight, s.due = later, due
	slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	for _, message := range due {
		message.to.machine.Receive(message.to.clock(s.now), message.from, message.report)
	}
}

// ask asks a member for operations.
func (s *simulation) ask(n *member) {
	n.owed += int(float64(n.demand) * max(1, s.limit.Rate/20))
	for ; n.owed >= 100; n.owed -= 100 {
		if admitted, _ := n.machine.Admit(n.clock(s.now), hot); !admitted {
			continue
		}
		if s.pick(100) == 0 {
			n.machine.Refund(n.clock(s.now), hot)
			continue
		}
		s.runs = append(s.runs, s.now)
	}
	if s.pick(10) == 0 {
		n.machine.Admit(n.clock(s.now), small)
	}
}

// check compares the runs of the last window with the limit. In a window in which
// the limit changed, the highest rate and the highest burst of a member count.
func (s *simulation) check() error {
	var highest quota.Limit
	for _, n := range s.members {
		if !n.lost {
			highest.Rate, highest.Burst = max(highest.Rate, n.limit.Rate), max(highest.Burst, n.limit.Burst)
		}
	}
	s.limits = append(s.limits, highest)
	if window := int(s.tolerance.Window/step) + 1; len(s.limits) > window {
		s.limits = s.limits[1:]
	}
	for len(s.runs) > 0 && s.runs[0] <= s.now-s.tolerance.Window {
		s.runs = s.runs[1:]
	}
	for _, limit := range s.limits {
		highest.Rate, highest.Burst = max(highest.Rate, limit.Rate), max(highest.Burst, limit.Burst)
	}
	bound := (highest.Rate*s.tolerance.Window.Seconds()+highest.Burst)*(1+s.tolerance.Overage) + s.tolerance.Slack
	s.peak = max(s.peak, float64(len(s.runs))/bound)
	if float64(len(s.runs)) > bound {
		return fmt.Errorf("%d operations in a window at %v, above %.1f", len(s.runs), s.now, bound)
	}
	return nil
}

// run simulates a number of steps.
func (s *simulation) run(steps int) error {
	for range steps {
		s.now += step
		if s.pick(s.profile.every) == 0 && s.now >= s.restUntil {
			s.event()
		}
		if s.now == s.steadyAt {
			s.members[0].demand = 45
		}
		s.evict()
		s.deliver()
		for _, n := range s.members {
			if n.lost || n.frozenUntil > s.now {
				continue
			}
			s.ask(n)
			if s.now >= n.nextTick {
				n.nextTick = s.now + 100*time.Millisecond
				s.tick(n)
			}
		}
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}
