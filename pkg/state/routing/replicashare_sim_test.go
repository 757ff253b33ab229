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

// shareScenario describes a group of three databases behind four instances.
type shareScenario struct {
	slots   int           // slots of each database
	oneWay  time.Duration // network latency
	lag     time.Duration // replication lag
	stuck   bool          // one replica stops applying writes after a second
	roaming bool          // each statement of a session uses a random instance
	rules   routing.Rules
	seconds int // simulated time
	// from is the time from which reads are counted.
	from time.Duration
}

const (
	shareServiceTime   = 8 * time.Millisecond
	shareLoadFactor    = 0.9 // total load relative to the capacity of the primary
	shareWriteFraction = 0.1
	shareSessions      = 60
	shareProbeInterval = 50 * time.Millisecond
	shareAge           = 500 * time.Millisecond // maximum age of half of the reads
	shareInstances     = 4
)

type shareResult struct {
	replicaShare float64       // share of the reads that replicas served
	p50, p99     time.Duration // latencies of reads
	reads        int
	violations   int // reads that missed a write that they had to see
	refused      int
	marksHeld    int // marks stored at the end
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

// shareDatabase is a database that queues statements while its slots are busy.
type shareDatabase struct {
	id        model.UpstreamID
	dc        model.DataCentre
	busySlots int
	backlog   []func()
	primary   bool
	stuck     bool
}

type shareInstance struct {
	id          model.InstanceID
	dc          model.DataCentre
	tracker     *lag.Tracker
	hysteresis  *routing.AgeHysteresis
	delays      map[model.UpstreamID]time.Duration // apply delays of the replicas
	home        *marks.Home
	outstanding []int
}

type shareRead struct {
	instance *shareInstance
	session  model.SessionID
	route    *bundle.Route
	arrived  time.Duration
	required model.LSN // last acknowledged write of the session or, without a maximum age, of all sessions
	floor    model.Mark
	kind     routing.FloorKind
	exclude  model.UpstreamID
}

// shareSimulation runs a scenario in virtual time.
type shareSimulation struct {
	shareScenario
	random           *rand.Rand
	now              time.Duration
	seq              int
	events           shareEvents
	dbs              []*shareDatabase
	instances        []*shareInstance
	view             *marks.MembershipView
	committed        []time.Duration // commit times by position
	acknowledged     map[model.SessionID]model.LSN
	lastAcknowledged model.LSN // of all sessions
	latencies        []time.Duration
	replicas         int // reads that replicas served
	result           shareResult
}

func (s *shareSimulation) after(wait time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, shareEvent{at: s.now + wait, seq: s.seq, run: run})
}

func simulateShare(sc shareScenario) shareResult {
	s := &shareSimulation{
		shareScenario: sc, random: rand.New(rand.NewPCG(11, 3)), committed: []time.Duration{0},
		acknowledged: make(map[model.SessionID]model.LSN),
	}
	s.build()
	for _, inst := range s.instances {
		s.probe(inst)
	}
	s.after(time.Second, s.generateLoad)
	end := time.Duration(sc.seconds) * time.Second
	for len(s.events) > 0 && s.events[0].at < end {
		next := heap.Pop(&s.events).(shareEvent)
		s.now = next.at
		next.run()
	}
	return s.finish()
}

func (s *shareSimulation) build() {
	dcs := []model.DataCentre{"colombo", "gampaha", "kalutara"}
	for i, dc := range dcs {
		s.dbs = append(s.dbs, &shareDatabase{id: model.UpstreamID(fmt.Sprintf("hire-%c", 'a'+i)), dc: dc, primary: i == 0})
	}
	head := &model.Head{Version: 1, MembersVersion: 1, Groups: []model.GroupHead{{ID: group, Generation: 3}}}
	for i := range shareInstances {
		id := model.InstanceID(fmt.Sprintf("i%d", i))
		head.Members = append(head.Members, model.Member{ID: id})
		inst := &shareInstance{
			id: id, dc: dcs[i%len(dcs)], tracker: lag.New(lag.DefaultMaxSamples), hysteresis: routing.NewAgeHysteresis(2 * time.Second),
			delays: make(map[model.UpstreamID]time.Duration), outstanding: make([]int, len(s.dbs)),
			home: marks.NewHome(marks.HomeConfig{Self: id, MaxMarks: 1000, MaxLost: 10}),
		}
		for _, db := range s.dbs[1:] {
			inst.tracker.AddReplica(db.id, 0)
		}
		s.instances = append(s.instances, inst)
	}
	set := marks.NewMemberSet(1, head.Members)
	s.view = marks.NewMembershipView(marks.Lease{Lifetime: time.Hour * 10000}, marks.Rules{})
	s.view.Confirm(0, -time.Hour*20000, set)
	for _, inst := range s.instances {
		inst.home.ApplyHead(0, head, set)
		for _, other := range s.instances {
			inst.home.HandedOver(0, other.id, 1)
		}
		inst.home.SetFloor(0, group, at(1))
	}
}

// position returns the log position that a database has applied.
func (s *shareSimulation) position(db *shareDatabase) model.LSN {
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

// probe lets an instance sample the positions of all databases, once in each
// shareProbeInterval.
func (s *shareSimulation) probe(inst *shareInstance) {
	asked := s.now
	for _, db := range s.dbs {
		s.after(s.oneWay, func() {
			seen := at(s.position(db))
			s.after(s.oneWay, func() { s.recordProbe(inst, db, asked, seen) })
		})
	}
	s.after(shareProbeInterval, func() { s.probe(inst) })
}

func (s *shareSimulation) recordProbe(inst *shareInstance, db *shareDatabase, asked time.Duration, seen model.Mark) {
	if db.primary {
		inst.tracker.AddPrimarySample(lag.PrimarySample{Group: group, AskedAt: asked, Position: seen})
		return
	}
	inst.tracker.AddReplicaSample(lag.ReplicaSample{Group: group, Upstream: db.id, AskedAt: asked, Applied: seen})
	status := inst.tracker.Status(db.id)
	inst.delays[db.id], _ = status.Age(s.now)
	if newest, _, known := inst.tracker.NewestSample(group); known && !status.Applied.Before(newest) {
		inst.delays[db.id] = 0
	}
	inst.home.AllReplicasApplied(group, s.lowestApplied(inst))
}

// lowestApplied returns the position that both replicas have applied, as known
// to the instance.
func (s *shareSimulation) lowestApplied(inst *shareInstance) model.Mark {
	lowest := inst.tracker.Applied(s.dbs[1].id)
	if other := inst.tracker.Applied(s.dbs[2].id); other.Before(lowest) {
		lowest = other
	}
	return lowest
}

func (s *shareSimulation) snapshot(inst *shareInstance) *routing.Snapshot {
	g := routing.Group{ID: group, Generation: 3, PermitUntil: s.now + time.Second}
	for _, db := range s.dbs {
		status := inst.tracker.Status(db.id)
		age, known := status.Age(s.now)
		g.Upstreams = append(g.Upstreams, routing.Upstream{
			ID: db.id, DataCentre: db.dc, Primary: db.primary, Usable: db.primary || status.CaughtUp,
			Applied: status.Applied, FreshAt: status.FreshAt, FreshKnown: status.FreshKnown,
			ApplyDelay: inst.delays[db.id], Latency: shareServiceTime, Slots: s.slots,
			AdmittedAges: inst.hysteresis.Update(s.now, db.id, age, known, []time.Duration{shareAge}),
		})
	}
	options := routing.DefaultOptions()
	options.Rules = s.rules
	return &routing.Snapshot{Groups: []routing.Group{g}, DataCentre: inst.dc, Options: options}
}
