package reuse_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/reuse"
	"gypsumdock/pkg/state/serving"
)

const (
	warmUp      = 30 * time.Second
	length      = 90 * time.Second
	openingWork = 12 * time.Millisecond
	slots       = 4
	// rareFrom is the name of the first of the ten rarest callers.
	rareFrom = "caller-64"
)

var centres = []model.DataCentre{"d0", "d1", "d2"}

// load describes units of work at a group of three upstreams and four servers,
// one of each in a data centre of its own and the fourth server in the first one.
// The units come from instances in the three data centres.
type load struct {
	perSecond      float64
	maxConnections int
	// home tells which callers have a home: all small ones, or, to show what homes
	// are worth, none; or each has one in the data centre where a unit arrives.
	home homeRule
	// oldest closes the longest unused connection instead of the least reused.
	oldest bool
	// local is the share of the units that arrive at a server and are run there.
	local float64
	// lost is when the first server is lost; zero if it is not.
	lost time.Duration
}

type homeRule int

const (
	oneHome homeRule = iota
	noHome
	homeInCentre
)

// server is one of the group's servers with its idle connections, by the name of
// their caller.
type server struct {
	member  model.Member
	group   *dispatch.Group
	idle    map[model.UpstreamID][]model.CallerName
	open    map[model.UpstreamID]int
	callers map[model.UpstreamID]*reuse.Tracker
	waiting map[*dispatch.Unit]*job
}

// job is a unit of work: a statement, or a transaction of two with a rest.
type job struct {
	unit       *dispatch.Unit
	work, rest time.Duration
	server     *server
	placement  *dispatch.Placement
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// count plays a load in virtual time, with the decisions of serving, dispatch and
// reuse. What it counts begins after warmUp.
type count struct {
	load
	random   *rand.Rand
	now      time.Duration
	events   events
	servers  []*server
	accounts []catalog.Caller
	sum      float64
	small    map[model.CallerName]bool
	queues   map[model.UpstreamID][]func()
	busy     map[model.UpstreamID]int

	units, opened, refused, remote, inSecondAfterLoss int
	slotTime, openingTime, waited, rareWaited         time.Duration
	started, rareStarted                              int
}

func newCount(l load) *count {
	c := &count{load: l, random: rand.New(rand.NewPCG(1, 2)), queues: map[model.UpstreamID][]func(){}, busy: map[model.UpstreamID]int{}}
	for i := range 74 {
		name := model.CallerName(fmt.Sprintf("caller-%02d", i))
		rate := math.Pow(float64(i+1), -1.2)
		c.accounts = append(c.accounts, catalog.Caller{Name: name, Rate: rate})
		c.sum += rate
	}
	c.small = serving.CallersWithHome(c.accounts)
	for i := range 4 {
		member := model.Member{ID: model.InstanceID(fmt.Sprint("s", i)), DataCentre: centres[i%3]}
		s := &server{
			member: member, group: dispatch.NewGroup(member.DataCentre), idle: map[model.UpstreamID][]model.CallerName{},
			open: map[model.UpstreamID]int{}, callers: map[model.UpstreamID]*reuse.Tracker{}, waiting: map[*dispatch.Unit]*job{},
		}
		var specs []dispatch.UpstreamSpec
		for _, centre := range centres {
			id := model.UpstreamID("at-" + centre)
			s.callers[id] = reuse.NewTracker()
			specs = append(specs, dispatch.UpstreamSpec{ID: id, DataCentre: centre, Slots: slots, MaxConnections: c.limit(), MaxOutstanding: 3})
		}
		s.group.SetUpstreams(specs)
		s.group.SetLeadership(dispatch.Leadership{Generation: 1, Primary: "at-d0", PermitUntil: time.Hour, Term: 1})
		s.group.Freshness().AddPrimarySample(0, model.Position{Term: 1})
		c.servers = append(c.servers, s)
	}
	return c
}

func (c *count) limit() int { return serving.ConnectionsPerServer(c.maxConnections, 4) }

func (c *count) after(delay time.Duration, run func()) {
	heap.Push(&c.events, event{at: c.now + delay, run: run})
}

// run plays the load and returns what was counted.
func (c *count) run() *count {
	c.tick()
	c.arrive()
	for len(c.events) > 0 {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	return c
}

// tick decides the waiting units, as the control loop does in a running instance.
func (c *count) tick() {
	for _, s := range c.servers {
		c.decideWaiting(s)
	}
	if c.now < length {
		c.after(50*time.Millisecond, c.tick)
	}
}

// arrive submits a unit, and schedules the next one.
func (c *count) arrive() {
	if c.now >= length {
		return
	}
	c.after(time.Duration(c.random.ExpFloat64()*float64(time.Second)/c.perSecond), c.arrive)
	unit := &dispatch.Unit{Route: "read", Caller: c.pick(), Arrived: c.now, Deadline: c.now + 2*time.Second, MaxAge: 1500 * time.Millisecond}
	j := &job{unit: unit, work: 18 * time.Millisecond}
	if kind := c.random.Float64(); kind < 0.25 {
		unit.NeedsPrimary, unit.Route, j.work = true, "write", 6*time.Millisecond
		if kind < 0.15 {
			j.rest = time.Duration(c.random.ExpFloat64() * float64(200*time.Millisecond))
		}
	}
	j.server = c.choose(unit.Caller)
	for _, centre := range centres {
		if id := model.UpstreamID("at-" + centre); slices.Contains(j.server.idle[id], unit.Caller) {
			unit.IdleAt = append(unit.IdleAt, id)
		}
	}
	if c.now >= warmUp {
		c.units++
	}
	j.server.waiting[unit] = j
	placement, refusal := j.server.group.Submit(c.now, unit)
	if placement != nil || refusal != nil {
		c.decided(j, placement)
	}
}

// pick returns a caller by its rate.
func (c *count) pick() model.CallerName {
	at := c.random.Float64() * c.sum
	for _, account := range c.accounts {
		if at -= account.Rate; at < 0 {
			return account.Name
		}
	}
	return c.accounts[0].Name
}

// choose returns the server for a unit that arrives at a random instance.
func (c *count) choose(caller model.CallerName) *server {
	live := c.servers
	if c.lost > 0 && c.now >= c.lost {
		live = live[1:]
	}
	if c.random.Float64() < c.local {
		return live[c.random.IntN(len(live))]
	}
	self := model.Member{ID: model.InstanceID(fmt.Sprint("i", c.random.IntN(22))), DataCentre: centres[c.random.IntN(3)]}
	var members []model.Member
	for _, s := range live {
		if c.home != homeInCentre || s.member.DataCentre == self.DataCentre {
			members = append(members, s.member)
		}
	}
	first := serving.ForwardOrder(self, "g", members, caller, c.home != noHome && c.small[caller])[0]
	chosen := live[slices.IndexFunc(live, func(s *server) bool { return s.member.ID == first })]
	if c.now >= warmUp && chosen.member.DataCentre != self.DataCentre {
		c.remote++
	}
	return chosen
}

// decided runs a unit that was placed, on an idle connection of its caller or on
// a new one, the opening of which occupies a slot like a statement.
func (c *count) decided(j *job, placement *dispatch.Placement) {
	s := j.server
	delete(s.waiting, j.unit)
	if placement == nil {
		c.refused++
		return
	}
	j.placement = placement
	id := placement.Upstream
	s.callers[id].Record(c.now, j.unit.Caller)
	for at := len(s.idle[id]) - 1; at >= 0; at-- {
		if s.idle[id][at] == j.unit.Caller {
			s.idle[id] = slices.Delete(s.idle[id], at, at+1)
			c.start(j)
			return
		}
	}
	if s.open[id] >= c.limit() && len(s.idle[id]) > 0 {
		at := c.leastReused(s, id)
		s.idle[id] = slices.Delete(s.idle[id], at, at+1)
		s.open[id]--
	}
	s.open[id]++
	if c.now >= warmUp {
		c.opened++
		c.openingTime += openingWork
		if c.lost > 0 && c.now >= c.lost && c.now < c.lost+time.Second {
			c.inSecondAfterLoss++
		}
	}
	c.occupy(id, openingWork, nil, func() {
		s.group.Opened(placement, c.now-placement.PlacedAt)
		c.start(j)
	})
}

func (c *count) leastReused(s *server, id model.UpstreamID) int {
	if c.oldest {
		return 0
	}
	var uses []*reuse.Use
	for _, caller := range s.idle[id] {
		uses = append(uses, s.callers[id].Caller(c.now, caller))
	}
	return s.callers[id].Least(c.now, uses)
}

// occupy runs work in a slot of an upstream, after the work that came before.
func (c *count) occupy(id model.UpstreamID, work time.Duration, begun, done func()) {
	if c.busy[id] >= slots {
		c.queues[id] = append(c.queues[id], func() { c.occupy(id, work, begun, done) })
		return
	}
	c.busy[id]++
	if begun != nil {
		begun()
	}
	c.after(work, func() {
		c.busy[id]--
		if c.now >= warmUp {
			c.slotTime += work
		}
		done()
		if len(c.queues[id]) > 0 && c.busy[id] < slots {
			next := c.queues[id][0]
			c.queues[id] = c.queues[id][1:]
			next()
		}
	})
}

// start sends the first statement of a unit. The wait of the unit ends when it
// runs.
func (c *count) start(j *job) {
	c.send(j, func() {
		if j.unit.Arrived < warmUp {
			return
		}
		wait := c.now - j.unit.Arrived
		c.waited += wait
		c.started++
		if j.unit.Caller >= rareFrom {
			c.rareWaited += wait
			c.rareStarted++
		}
	})
}

// send sends a statement, and after its answer the next one of a transaction.
func (c *count) send(j *job, begun func()) {
	sentAt, group := c.now, j.server.group
	group.Sent(c.now, j.placement)
	c.occupy(j.placement.Upstream, j.work, begun, func() {
		group.Answered(c.now, j.placement, j.unit.Route, c.now-sentAt)
		// The position grows by one each millisecond, and replicas are 20 ms late.
		position := model.Position{Term: 1, LSN: model.LSN(sentAt / time.Millisecond)}
		if j.placement.Primary {
			group.Freshness().AddPrimarySample(sentAt, position)
		} else {
			position.LSN -= 20
			group.Freshness().AddReplicaSample(j.placement.Upstream, sentAt, position)
		}
		if rest := j.rest; rest > 0 {
			j.rest = 0
			c.after(rest, func() { c.send(j, nil) })
		} else {
			j.server.idle[j.placement.Upstream] = append(j.server.idle[j.placement.Upstream], j.unit.Caller)
			group.Release(c.now, j.placement)
		}
		c.decideWaiting(j.server)
	})
}

func (c *count) decideWaiting(s *server) {
	for _, d := range s.group.DecideWaiting(c.now) {
		c.decided(s.waiting[d.Unit], d.Placement)
	}
}

func (c *count) perThousand() float64 { return 1000 * float64(c.opened) / float64(c.units) }

// String returns the counts and averages for the test report.
func (c *count) String() string {
	return fmt.Sprintf("opened %.0f per 1,000 units; mean wait %.1f ms, of the ten rarest callers %.1f ms; slot time for openings %.1f%%; "+
		"to a server of another data centre %.0f%%; refused %d",
		c.perThousand(), float64(c.waited.Microseconds())/float64(c.started)/1000, float64(c.rareWaited.Microseconds())/float64(c.rareStarted)/1000,
		100*float64(c.openingTime)/float64(c.slotTime), 100*float64(c.remote)/float64(c.units), c.refused)
}
