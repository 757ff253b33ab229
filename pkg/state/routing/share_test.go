package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
	edges   *routing.Edges
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
	view      *marks.View
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
			id: id, dc: dcs[i%len(dcs)], tracker: lag.New(lag.DefaultHistory), edges: routing.NewEdges(2 * time.Second),
			delays: make(map[model.UpstreamID]time.Duration), running: make([]int, len(s.dbs)),
			home: marks.NewHome(marks.HomeConfig{Self: id, MaxMarks: 1000, MaxLost: 10}),
		}
		for _, db := range s.dbs[1:] {
			n.tracker.Join(db.id, 0)
		}
		s.nodes = append(s.nodes, n)
	}
	set := marks.NewSet(1, head.Members)
	s.view = marks.NewView(marks.Lease{Lifetime: time.Hour * 10000}, marks.Rules{})
	s.view.Confirm(0, -time.Hour*20000, set)
	for _, n := range s.nodes {
		n.home.Learn(0, head, set)
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
		n.tracker.PrimarySampled(lag.PrimarySample{Group: group, AskedAt: asked, At: seen})
		return
	}
	n.tracker.ReplicaSampled(lag.ReplicaSample{Group: group, Upstream: db.id, AskedAt: asked, Applied: seen})
	status := n.tracker.Status(db.id)
	n.delays[db.id], _ = status.Age(s.now)
	if newest, _, known := n.tracker.Newest(group); known && !status.Applied.Before(newest) {
		n.delays[db.id] = 0
	}
	n.home.Passed(group, s.passed(n))
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
			ID: db.id, DataCentre: db.dc, Primary: db.primary, Usable: db.primary || status.Joined,
			Applied: status.Applied, FreshAt: status.FreshAt, FreshKnown: status.FreshKnown,
			Delay: n.delays[db.id], Latency: shareService, Slots: s.slots,
			Edges: n.edges.Update(s.now, db.id, age, known, []time.Duration{shareAge}),
		})
	}
	options := routing.DefaultOptions()
	options.Rules = s.rules
	return &routing.Snapshot{Groups: []routing.Group{g}, DataCentre: n.dc, Options: options}
}

func (s *shareSim) arrive() {
	rate := shareLoad * float64(s.slots) / shareService.Seconds()
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/rate), s.arrive)
	number := s.random.IntN(shareSessions)
	n := s.nodes[number%shareNodes]
	if s.roaming {
		n = s.nodes[s.random.IntN(shareNodes)]
	}
	session := model.SessionID(fmt.Sprint(number))
	s.dbs[2].stuck = s.stuck
	if s.random.Float64() < shareWrites {
		s.execute(n, 0, func() { s.commit(n, session) })
		return
	}
	r := &shareRead{node: n, session: session, route: &bundle.Route{Group: group, ReadOnly: true}, arrived: s.now}
	r.required = s.ackedAll
	if s.random.IntN(2) == 0 {
		r.route.MaxAge = shareAge
		r.required = s.acked[session]
	}
	s.choose(r)
}

// commit stores the mark and then acknowledges the write.
func (s *shareSim) commit(n *shareNode, session model.SessionID) {
	s.committed = append(s.committed, s.now)
	position := model.LSN(len(s.committed))
	s.after(s.oneWay, func() {
		home := s.home(session)
		s.after(s.hop(n, home), func() {
			home.home.Store(marks.Key{Session: session, Group: group}, at(position), 1)
			s.after(s.hop(n, home), func() {
				s.acked[session] = max(s.acked[session], position)
				s.ackedAll = max(s.ackedAll, position)
			})
		})
	})
}

func (s *shareSim) home(session model.SessionID) *shareNode {
	target, _ := s.view.ReadFrom(0, session)
	i := slices.IndexFunc(s.nodes, func(n *shareNode) bool { return n.id == target.Home })
	return s.nodes[i]
}

func (s *shareSim) hop(a, b *shareNode) time.Duration {
	if a == b {
		return 0
	}
	return s.oneWay
}

// choose routes a read as an instance does.
func (s *shareSim) choose(r *shareRead) {
	decision, refusal := routing.Choose(s.now, s.snapshot(r.node), routing.Request{
		Route: r.route, ReadOnly: true, Floor: r.floor, Kind: r.kind, Rand: s.random.Uint64(),
		Outstanding: r.node.running, Exclude: r.exclude,
	})
	switch {
	case refusal != nil:
		s.result.refused++
	case decision.Need == routing.NeedMarks:
		s.askHome(r)
	case decision.Need == routing.NeedSample:
		s.after(s.oneWay, func() {
			r.floor, r.kind = at(s.position(s.dbs[0])), routing.FloorSample
			s.after(s.oneWay, func() { s.choose(r) })
		})
	case !decision.WaitFor.IsZero():
		s.wait(r, decision, s.now+decision.MaxWait)
	default:
		s.read(r, decision)
	}
}

func (s *shareSim) askHome(r *shareRead) {
	home := s.home(r.session)
	s.after(s.hop(r.node, home), func() {
		answer := home.home.Ask(marks.Key{Session: r.session, Group: group}, 1)
		r.floor, r.kind = answer.Mark, routing.FloorMarks
		s.after(s.hop(r.node, home), func() { s.choose(r) })
	})
}

// wait asks the replica for its position until it has reached the floor.
func (s *shareSim) wait(r *shareRead, decision routing.Decision, until time.Duration) {
	db := s.find(decision.Upstream)
	s.after(s.oneWay, func() {
		seen := at(s.position(s.dbs[db]))
		s.after(s.oneWay, func() {
			switch {
			case !seen.Before(decision.WaitFor):
				s.read(r, decision)
			case s.now >= until:
				r.exclude = decision.Upstream
				s.choose(r)
			default:
				s.after(2*time.Millisecond, func() { s.wait(r, decision, until) })
			}
		})
	})
}

func (s *shareSim) find(id model.UpstreamID) int {
	return slices.IndexFunc(s.dbs, func(db *shareDB) bool { return db.id == id })
}

func (s *shareSim) read(r *shareRead, decision routing.Decision) {
	i := s.find(decision.Upstream)
	// The check is made when the statement is sent: the position only grows
	// until it runs.
	if s.position(s.dbs[i]) < r.required {
		s.result.violations++
	}
	s.execute(r.node, i, func() {
		if r.arrived < s.from {
			return
		}
		s.result.reads++
		if !decision.Primary {
			s.replicas++
		}
		s.latencies = append(s.latencies, s.now+s.oneWay-r.arrived)
	})
}

// execute runs a statement on a database; done is called when it ends.
func (s *shareSim) execute(n *shareNode, i int, done func()) {
	db := s.dbs[i]
	n.running[i]++
	s.after(s.oneWay, func() { s.start(n, i, db, done) })
}

func (s *shareSim) start(n *shareNode, i int, db *shareDB, done func()) {
	if db.busy >= s.slots {
		db.backlog = append(db.backlog, func() { s.start(n, i, db, done) })
		return
	}
	db.busy++
	s.after(time.Duration(s.random.ExpFloat64()*float64(shareService)), func() {
		db.busy--
		n.running[i]--
		done()
		if len(db.backlog) > 0 {
			next := db.backlog[0]
			db.backlog = db.backlog[1:]
			next()
		}
	})
}

func (s *shareSim) finish() shareResult {
	slices.Sort(s.latencies)
	if count := len(s.latencies); count > 0 {
		s.result.p50 = s.latencies[count/2]
		s.result.p99 = s.latencies[count*99/100]
		s.result.replicaShare = float64(s.replicas) / float64(count)
	}
	for _, n := range s.nodes {
		s.result.marksHeld += n.home.Size().Marks
	}
	return s.result
}

var shareSizes = []struct {
	name   string
	slots  int
	oneWay time.Duration
}{{"Tregwynt", 2, time.Millisecond}, {"Lankapower", 5, 1500 * time.Microsecond}}

var shareRules = []struct {
	name  string
	rules routing.Rules
}{
	{"choice", routing.Rules{}},
	{"all to the primary", routing.Rules{PrimaryOnly: true}},
	{"home rule off", routing.Rules{IgnoreMarks: true}},
	{"no wait", routing.Rules{NoWait: true}},
	{"no hysteresis", routing.Rules{NoHysteresis: true}},
}

var shareLags = []struct {
	name  string
	lag   time.Duration
	stuck bool
}{
	{"0 ms", 0, false},
	{"10 ms", 10 * time.Millisecond, false},
	{"100 ms", 100 * time.Millisecond, false},
	{"1000 ms", time.Second, false},
	{"10 ms, one stuck", 10 * time.Millisecond, true},
}

// BenchmarkReplicaShare prints the figures of
// docs/measurements/replica-share.md.
func BenchmarkReplicaShare(b *testing.B) {
	for _, size := range shareSizes {
		for _, roaming := range []bool{false, true} {
			for _, l := range shareLags {
				for _, rule := range shareRules {
					b.Run(fmt.Sprintf("%s/roaming=%t/lag=%s/%s", size.name, roaming, l.name, rule.name), func(b *testing.B) {
						r := simulateShare(shareScenario{
							slots: size.slots, oneWay: size.oneWay, lag: l.lag, stuck: l.stuck, roaming: roaming,
							rules: rule.rules, seconds: 60,
						})
						b.ReportMetric(100*r.replicaShare, "%replicas")
						b.ReportMetric(r.p50.Seconds()*1000, "ms-p50")
						b.ReportMetric(r.p99.Seconds()*1000, "ms-p99")
						b.ReportMetric(float64(r.violations), "violations")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}

var _ = Describe("the share of replicas", func() {
	base := shareScenario{slots: 5, oneWay: 1500 * time.Microsecond, lag: 10 * time.Millisecond, roaming: true, seconds: 20}

	It("is high without a stale read, where the home rule off serves stale ones", func() {
		choice := simulateShare(base)
		Expect(choice.violations).To(BeZero())
		Expect(choice.replicaShare).To(BeNumerically(">", 0.5))
		off := base
		off.rules.IgnoreMarks = true
		Expect(simulateShare(off).violations).To(BeNumerically(">", 0))
	})

	It("gives no stale read with much lag or a stuck replica", func() {
		behind := base
		behind.lag = time.Second
		Expect(simulateShare(behind).violations).To(BeZero())
		stuck := base
		stuck.stuck = true
		Expect(simulateShare(stuck).violations).To(BeZero())
	})
})

func BenchmarkChoose(b *testing.B) {
	s := &shareSim{shareScenario: shareScenario{slots: 5}, committed: []time.Duration{0}}
	s.build()
	n := s.nodes[0]
	for _, db := range s.dbs {
		s.probed(n, db, 0, at(1))
	}
	snapshot := s.snapshot(n)
	request := routing.Request{
		Route: &bundle.Route{Group: group, MaxAge: shareAge}, ReadOnly: true, Floor: at(1), Kind: routing.FloorMarks,
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = routing.Choose(0, snapshot, request)
	}
}
