package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumdock/pkg/state/admission"
	"gypsumdock/pkg/state/model"
)

// policy says who hands out the slots of a database.
type policy int

const (
	direct   policy = iota // no queue in the proxy, only its connections
	perShare               // each instance has its share of the slots, at least one
	adaptive               // each instance has a limit that follows the latency
	orderer                // one instance hands out all slots
)

// scenario is a database behind instances, under an open load.
type scenario struct {
	policy      policy
	rules       admission.Rules
	slots       int
	connections int
	oneWay      time.Duration
	service     time.Duration
	load        float64 // offered work relative to the capacity
	greedyOn    int     // instances that the greedy caller uses
	seconds     int
	// hasty clients come back after a millisecond, whatever they are told.
	hasty bool
}

const (
	instances  = 4
	modest     = 4
	modestLoad = 0.4 // of the capacity, all modest callers together
	deadline   = 250 * time.Millisecond
	patience   = time.Second
	attempts   = 5
	queueSize  = 64
)

type result struct {
	goodput     float64 // answers within the deadline, relative to capacity
	modestP50   time.Duration
	modestP99   time.Duration
	modestShare float64 // modest requests answered
	attempts    float64
}

type request struct {
	caller   int // 0 is greedy
	instance int
	conn     admission.ConnectionID
	first    time.Duration
	arrived  time.Duration
	tries    int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	scenario
	random   *rand.Rand
	now      time.Duration
	seq      int
	events   events
	queues   []*admission.Queue
	limits   []float64
	fastest  time.Duration
	requests map[admission.UnitID]*request
	nextID   admission.UnitID
	busy     int
	backlog  []func()
	distinct int
	tried    int
	good     int
	waits    []time.Duration
	modests  int
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + wait, seq: s.seq, run: run})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func simulate(sc scenario) result {
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(7, 7)), fastest: time.Hour,
		requests: make(map[admission.UnitID]*request),
	}
	s.makeQueues()
	capacity := float64(sc.slots) / sc.service.Seconds()
	for caller := 1; caller <= modest; caller++ {
		s.startCaller(caller, capacity*modestLoad/modest)
	}
	s.startCaller(0, capacity*(sc.load-modestLoad))
	end := time.Duration(sc.seconds) * time.Second
	for len(s.events) > 0 && s.events[0].at < end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s.result(capacity * end.Seconds())
}

func (s *simulation) makeQueues() {
	count, limit := instances, max(1, (s.slots+instances-1)/instances)
	switch s.policy {
	case direct:
		limit = s.connections / instances
	case orderer:
		held := s.service + 4*s.oneWay
		count, limit = 1, 1+int((time.Duration(s.slots)*held+s.service-1)/s.service)
	}
	for range count {
		config := admission.DefaultConfig(limit)
		config.MaxQueued = queueSize * instances / count
		config.Rules = s.rules
		s.queues = append(s.queues, admission.New(config))
		s.limits = append(s.limits, float64(limit))
	}
}

// startCaller offers requests at the rate per second.
func (s *simulation) startCaller(caller int, rate float64) {
	var arrive func()
	arrive = func() {
		r := &request{caller: caller, instance: s.random.IntN(instances), first: s.now}
		r.conn = admission.ConnectionID(caller*1000 + s.random.IntN(3))
		if caller == 0 {
			r.instance = s.random.IntN(s.greedyOn)
			r.conn = admission.ConnectionID(s.random.IntN(100))
		} else {
			s.modests++
		}
		s.distinct++
		s.try(r)
		s.after(s.exponential(time.Duration(float64(time.Second)/rate)), arrive)
	}
	s.after(0, arrive)
}

func (s *simulation) try(r *request) {
	r.tries++
	s.tried++
	r.arrived = s.now
	s.nextID++
	id := s.nextID
	s.requests[id] = r
	queue, hop := r.instance, time.Duration(0)
	if s.policy == orderer {
		queue, hop = 0, s.hop(r)
	}
	s.after(hop, func() {
		unit := admission.Unit{
			ID: id, Caller: callerName(r.caller), Connection: r.conn, Weight: 1,
			Arrived: r.arrived, Deadline: r.arrived + deadline,
		}
		s.apply(queue, s.queues[queue].Submit(s.now, unit, s.random.Uint64()))
	})
	s.after(deadline, func() {
		s.apply(queue, s.queues[queue].Expire(s.now, s.random.Uint64()))
	})
}

func callerName(caller int) model.CallerName {
	return model.CallerName(rune('a' + caller))
}

// hop is the way from an instance to the one that hands out slots.
func (s *simulation) hop(r *request) time.Duration {
	if s.policy != orderer || r.instance == 0 {
		return 0
	}
	return s.oneWay
}

func (s *simulation) apply(queue int, outcomes []admission.Decision) {
	for _, outcome := range outcomes {
		r := s.requests[outcome.ID]
		delete(s.requests, outcome.ID)
		hop := s.hop(r)
		if outcome.Admitted() {
			s.after(hop+s.oneWay, func() { s.execute(queue, outcome.ID, r, s.now-hop-s.oneWay) })
			continue
		}
		s.after(hop, func() { s.refused(r, outcome.Refusal.RetryAfter) })
	}
}

func (s *simulation) refused(r *request, wait time.Duration) {
	if s.hasty {
		wait = time.Millisecond
	}
	if r.tries >= attempts || s.now+wait > r.first+patience {
		return
	}
	s.after(wait, func() { s.try(r) })
}

// execute runs a statement in the database, behind those that wait there.
func (s *simulation) execute(queue int, id admission.UnitID, r *request, sent time.Duration) {
	if s.busy >= s.slots {
		s.backlog = append(s.backlog, func() { s.execute(queue, id, r, sent) })
		return
	}
	s.busy++
	s.after(s.exponential(s.service), func() {
		s.busy--
		if len(s.backlog) > 0 {
			next := s.backlog[0]
			s.backlog = s.backlog[1:]
			next()
		}
		s.after(s.oneWay, func() { s.answered(queue, id, r, sent) })
	})
}

func (s *simulation) answered(queue int, id admission.UnitID, r *request, sent time.Duration) {
	if s.now <= r.arrived+deadline {
		s.good++
		if r.caller != 0 {
			s.waits = append(s.waits, s.now-r.first)
		}
	}
	s.adapt(queue, s.now-sent)
	s.after(s.hop(r), func() {
		s.apply(queue, s.queues[queue].Release(s.now, id, s.random.Uint64()))
	})
}

// adapt raises the limit by one a round and lowers it by a tenth when the
// latency is twice the expected one.
func (s *simulation) adapt(queue int, latency time.Duration) {
	if s.policy != adaptive {
		return
	}
	limit := &s.limits[queue]
	*limit += 1 / *limit
	if latency > 2*(s.service+2*s.oneWay) {
		*limit *= 0.9
	}
	*limit = max(1, min(*limit, float64(s.connections/instances)))
	s.queues[queue].SetLimit(int(*limit))
}

func (s *simulation) result(capacity float64) result {
	slices.Sort(s.waits)
	at := func(q float64) time.Duration {
		if len(s.waits) == 0 {
			return 0
		}
		return s.waits[int(q*float64(len(s.waits)-1))]
	}
	return result{
		goodput: float64(s.good) / capacity, modestP50: at(0.5), modestP99: at(0.99),
		modestShare: float64(len(s.waits)) / float64(s.modests),
		attempts:    float64(s.tried) / float64(s.distinct),
	}
}
