package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/lag"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/routing"
)

// shareScenario is a group of three databases behind four instances.
type shareScenario struct {
	slots   int
	oneWay  time.Duration
	lag     time.Duration
	stuck   bool // one replica stops following after a second
	roaming bool
	rules   routing.Rules
	seconds int
	// from is the start of the part of the run that is counted.
	from time.Duration
}

const (
	shareService  = 8 * time.Millisecond
	shareLoad     = 0.9 // of the primary's own capacity
	shareWrites   = 0.1
	shareSessions = 60
	shareProbe    = 50 * time.Millisecond
	shareAge      = 500 * time.Millisecond
	shareNodes    = 4
)

type shareResult struct {
	replicaShare float64
	p50, p99     time.Duration
	reads        int
	violations   int
	refused      int
	marksHeld    int
}

type shareEvent struct {
	at  time.Duration
	seq int
	run func()
}

type shareEvents []shareEvent

func (e shareEvents) Len() int { return len(e) }
func (e shareEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e shareEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *shareEvents) Push(x any)   { *e = append(*e, x.(shareEvent)) }
func (e *shareEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// shareDB is a database: a queue before its slots.
type shareDB struct {
	id      model.UpstreamID
	dc      model.DataCentre
	busy    int
	backlog []func()
	primary bool
	stuck   bool
}

type shareNode struct {
	id      model.InstanceID
	dc      model.DataCentre
	tracker *lag.Tracker
	edges   *routing.AgeHysteresis
	delays  map[model.UpstreamID]time.Duration
	home    *marks.Home
	running []int
}

type shareRead struct {
	node     *shareNode
	session  model.SessionID
	route    *bundle.Route
	arrived  time.Duration
	required model.LSN // of the session's own writes, or of all
	floor    model.Mark
	kind     routing.FloorKind
	exclude  model.UpstreamID
}

type shareSim struct {
	shareScenario
	random    *rand.Rand
	now       time.Duration
	seq       int
	events    shareEvents
	dbs       []*shareDB
	nodes     []*shareNode
	view      *marks.MembershipView
	committed []time.Duration // time of commit by position
	acked     map[model.SessionID]model.LSN
	ackedAll  model.LSN
	latencies []time.Duration
	replicas  int
	result    shareResult
}

func (s *shareSim) after(wait time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, shareEvent{at: s.now + wait, seq: s.seq, run: run})
}

func simulateShare(sc shareScenario) shareResult {
	s := &shareSim{
		shareScenario: sc, random: rand.New(rand.NewPCG(11, 3)), committed: []time.Duration{0},
		acked: make(map[model.SessionID]model.LSN),
	}
	s.build()
	for _, n := range s.nodes {
		s.probe(n)
	}
	s.after(time.Second, s.arrive)
	end := time.Duration(sc.seconds) * time.Second
	for len(s.events) > 0 && s.events[0].at < end {
		next := heap.Pop(&s.events).(shareEvent)
		s.now = next.at
		next.run()
	}
	return s.finish()
}

func (s *shareSim) build() {
	dcs := []model.DataCentre{"colombo", "gampaha", "kalutara"}
	for i, dc := range dcs {
		s.dbs = append(s.dbs, &shareDB{id: model.UpstreamID(fmt.Sprintf("hire-%c", 'a'+i)), dc: dc, primary: i == 0})
	}
	head := &model.Head{Version: 1, MembersVersion: 1, Groups: []model.GroupHead{{ID: group, Generation: 3}}}
	for i := range shareNodes {
		id := model.InstanceID(fmt.Sprintf("i%d", i))
		head.Members = append(head.Members, model.Member{ID: id})
		n := &shareNode{
			id: id, dc: dcs[i%len(dcs)], tracker: lag.New(lag.DefaultMaxSamples), edges: routing.NewAgeHysteresis(2 * time.Second),
			delays: make(map[model.UpstreamID]time.Duration), running: make([]int, len(s.dbs)),
			home: marks.NewHome(marks.HomeConfig{Self: id, MaxMarks: 1000, MaxLost: 10}),
		}
		for _, db := range s.dbs[1:] {
			n.tracker.AddReplica(db.id, 0)
		}
		s.nodes = append(s.nodes, n)
	}
	set := marks.NewMemberSet(1, head.Members)
	s.view = marks.NewMembershipView(marks.Lease{Lifetime: time.Hour * 10000}, marks.Rules{})
	s.view.Confirm(0, -time.Hour*20000, set)
	for _, n := range s.nodes {
		n.home.ApplyHead(0, head, set)
		for _, other := range s.nodes {
			n.home.HandedOver(0, other.id, 1)
		}
		n.home.SetFloor(0, group, at(1))
	}
}

// position is what a database has of the log.
func (s *shareSim) position(db *shareDB) model.LSN {
	if db.primary {
		return model.LSN(len(s.committed))
	}
	until := s.now - s.lag
	if db.stuck {
		until = min(until, time.Second)
	}
	count, _ := slices.BinarySearchFunc(s.committed, until, func(c, t time.Duration) int {
		if c <= t {
			return -1
		}
		return 1
	})
	return model.LSN(max(count, 1))
}

// probe samples all databases of a node, each shareProbe.
func (s *shareSim) probe(n *shareNode) {
	asked := s.now
	for _, db := range s.dbs {
		s.after(s.oneWay, func() {
			seen := at(s.position(db))
			s.after(s.oneWay, func() { s.probed(n, db, asked, seen) })
		})
	}
	s.after(shareProbe, func() { s.probe(n) })
}

func (s *shareSim) probed(n *shareNode, db *shareDB, asked time.Duration, seen model.Mark) {
	if db.primary {
		n.tracker.AddPrimarySample(lag.PrimarySample{Group: group, AskedAt: asked, Position: seen})
		return
	}
	n.tracker.AddReplicaSample(lag.ReplicaSample{Group: group, Upstream: db.id, AskedAt: asked, Applied: seen})
	status := n.tracker.Status(db.id)
	n.delays[db.id], _ = status.Age(s.now)
	if newest, _, known := n.tracker.NewestSample(group); known && !status.Applied.Before(newest) {
		n.delays[db.id] = 0
	}
	n.home.AllReplicasApplied(group, s.passed(n))
}

func (s *shareSim) passed(n *shareNode) model.Mark {
	lowest := n.tracker.Applied(s.dbs[1].id)
	if other := n.tracker.Applied(s.dbs[2].id); other.Before(lowest) {
		lowest = other
	}
	return lowest
}

func (s *shareSim) snapshot(n *shareNode) *routing.Snapshot {
	g := routing.Group{ID: group, Generation: 3, PermitUntil: s.now + time.Second}
	for _, db := range s.dbs {
		status := n.tracker.Status(db.id)
		age, known := status.Age(s.now)
		g.Upstreams = append(g.Upstreams, routing.Upstream{
			ID: db.id, DataCentre: db.dc, Primary: db.primary, Usable: db.primary || status.CaughtUp,
			Applied: status.Applied, FreshAt: status.FreshAt, FreshKnown: status.FreshKnown,
			ApplyDelay: n.delays[db.id], Latency: shareService, Slots: s.slots,
			AdmittedAges: n.edges.Update(s.now, db.id, age, known, []time.Duration{shareAge}),
		})
	}
	options := routing.DefaultOptions()
	options.Rules = s.rules
	return &routing.Snapshot{Groups: []routing.Group{g}, DataCentre: n.dc, Options: options}
}
