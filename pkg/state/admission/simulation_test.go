package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumdock/pkg/state/admission"
	"gypsumdock/pkg/state/model"
)

// policy determines where the slots of a database are assigned.
type policy int

const (
	noQueue          policy = iota // limited only by the number of connections
	sharePerInstance               // each instance has its share of the slots, at least one
	adaptiveLimit                  // each instance adapts its limit to the latency
	singleQueue                    // one instance assigns all slots
)

// scenario describes one database behind several instances, and a load whose
// rate does not depend on the answers. One greedy caller offers all of the load
// that the modest callers do not.
type scenario struct {
	policy          policy
	rules           admission.Rules
	slots           int
	connections     int
	oneWay          time.Duration // network latency
	service         time.Duration // mean service time of a statement
	load            float64       // offered work relative to the capacity
	greedyInstances int           // number of instances that the greedy caller uses
	seconds         int           // simulated time
	// ignoreRetryAfter makes clients retry after one millisecond, whatever the
	// refusal says.
	ignoreRetryAfter bool
}

const (
	instanceCount = 4
	modestCallers = 4
	modestLoad    = 0.4 // of all modest callers together, relative to the capacity
	deadline      = 250 * time.Millisecond
	retryPeriod   = time.Second // time during which a client retries a request
	attempts      = 5           // at most, for one request
	queueSize     = 64          // queued units for each instance
)

type simulationResult struct {
	goodput     float64 // answers within the deadline, relative to the capacity
	modestP50   time.Duration
	modestP99   time.Duration
	modestShare float64 // share of the modest callers' requests that were answered in time
	attempts    float64 // mean number of attempts of a request
}

type request struct {
	caller       int // 0 is the greedy caller
	instance     int
	connection   admission.ConnectionID
	firstArrived time.Duration
	arrived      time.Duration // start of the current attempt
	attempts     int
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

// simulation runs a scenario in virtual time.
type simulation struct {
	scenario
	random          *rand.Rand
	now             time.Duration
	seq             int
	events          events
	queues          []*admission.Queue
	limits          []float64
	fastest         time.Duration
	requests        map[admission.UnitID]*request
	nextID          admission.UnitID
	busySlots       int
	backlog         []func()
	requestCount    int
	attemptCount    int
	answeredInTime  int
	modestLatencies []time.Duration
	modestCount     int
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + wait, seq: s.seq, run: run})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func simulate(sc scenario) simulationResult {
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(7, 7)), fastest: time.Hour,
		requests: make(map[admission.UnitID]*request),
	}
	s.createQueues()
	capacity := float64(sc.slots) / sc.service.Seconds()
	for caller := 1; caller <= modestCallers; caller++ {
		s.generateLoad(caller, capacity*modestLoad/modestCallers)
	}
	s.generateLoad(0, capacity*(sc.load-modestLoad))
	end := time.Duration(sc.seconds) * time.Second
	for len(s.events) > 0 && s.events[0].at < end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s.result(capacity * end.Seconds())
}

// createQueues creates the queues of the policy: one for each instance, or a
// single one.
func (s *simulation) createQueues() {
	count, limit := instanceCount, max(1, (s.slots+instanceCount-1)/instanceCount)
	switch s.policy {
	case noQueue:
		limit = s.connections / instanceCount
	case singleQueue:
		holdTime := s.service + 4*s.oneWay
		count, limit = 1, 1+int((time.Duration(s.slots)*holdTime+s.service-1)/s.service)
	}
	for range count {
		config := admission.DefaultConfig(limit)
		config.MaxQueued = queueSize * instanceCount / count
		config.Rules = s.rules
		s.queues = append(s.queues, admission.New(config))
		s.limits = append(s.limits, float64(limit))
	}
}

// generateLoad generates the caller's requests at the mean rate per second.
func (s *simulation) generateLoad(caller int, rate float64) {
	var arrive func()
	arrive = func() {
		r := &request{caller: caller, instance: s.random.IntN(instanceCount), firstArrived: s.now}
		r.connection = admission.ConnectionID(caller*1000 + s.random.IntN(3))
		if caller == 0 {
			r.instance = s.random.IntN(s.greedyInstances)
			r.connection = admission.ConnectionID(s.random.IntN(100))
		} else {
			s.modestCount++
		}
		s.requestCount++
		s.attempt(r)
		s.after(s.exponential(time.Duration(float64(time.Second)/rate)), arrive)
	}
	s.after(0, arrive)
}

func (s *simulation) attempt(r *request) {
	r.attempts++
	s.attemptCount++
	r.arrived = s.now
	s.nextID++
	id := s.nextID
	s.requests[id] = r
	queue, delay := r.instance, time.Duration(0)
	if s.policy == singleQueue {
		queue, delay = 0, s.queueDelay(r)
	}
	s.after(delay, func() {
		unit := admission.Unit{
			ID: id, Caller: callerName(r.caller), Connection: r.connection, Weight: 1,
			Arrived: r.arrived, Deadline: r.arrived + deadline,
		}
		s.applyDecisions(queue, s.queues[queue].Submit(s.now, unit, s.random.Uint64()))
	})
	s.after(deadline, func() {
		s.applyDecisions(queue, s.queues[queue].Expire(s.now, s.random.Uint64()))
	})
}

func callerName(caller int) model.CallerName {
	return model.CallerName(rune('a' + caller))
}

// queueDelay returns the network latency from the request's instance to the
// queue.
func (s *simulation) queueDelay(r *request) time.Duration {
	if s.policy != singleQueue || r.instance == 0 {
		return 0
	}
	return s.oneWay
}

// applyDecisions sends the admitted units to the database, and the refusals to
// the clients.
func (s *simulation) applyDecisions(queue int, decisions []admission.Decision) {
	for _, decision := range decisions {
		r := s.requests[decision.ID]
		delete(s.requests, decision.ID)
		delay := s.queueDelay(r)
		if decision.Admitted() {
			s.after(delay+s.oneWay, func() { s.execute(queue, decision.ID, r, s.now-delay-s.oneWay) })
			continue
		}
		s.after(delay, func() { s.retryRefused(r, decision.Refusal.RetryAfter) })
	}
}

func (s *simulation) retryRefused(r *request, wait time.Duration) {
	if s.ignoreRetryAfter {
		wait = time.Millisecond
	}
	if r.attempts >= attempts || s.now+wait > r.firstArrived+retryPeriod {
		return
	}
	s.after(wait, func() { s.attempt(r) })
}

// execute runs a statement in the database as soon as a slot is free. The
// database runs waiting statements in the order of their arrival.
func (s *simulation) execute(queue int, id admission.UnitID, r *request, sent time.Duration) {
	if s.busySlots >= s.slots {
		s.backlog = append(s.backlog, func() { s.execute(queue, id, r, sent) })
		return
	}
	s.busySlots++
	s.after(s.exponential(s.service), func() {
		s.busySlots--
		if len(s.backlog) > 0 {
			next := s.backlog[0]
			s.backlog = s.backlog[1:]
			next()
		}
		s.after(s.oneWay, func() { s.recordAnswer(queue, id, r, sent) })
	})
}

func (s *simulation) recordAnswer(queue int, id admission.UnitID, r *request, sent time.Duration) {
	if s.now <= r.arrived+deadline {
		s.answeredInTime++
		if r.caller != 0 {
			s.modestLatencies = append(s.modestLatencies, s.now-r.firstArrived)
		}
	}
	s.adaptLimit(queue, s.now-sent)
	s.after(s.queueDelay(r), func() {
		s.applyDecisions(queue, s.queues[queue].Release(s.now, id, s.random.Uint64()))
	})
}

// adaptLimit raises the limit of the queue by one for each limit answers, and
// lowers it by a tenth when the latency exceeds twice the expected one.
func (s *simulation) adaptLimit(queue int, latency time.Duration) {
	if s.policy != adaptiveLimit {
		return
	}
	limit := &s.limits[queue]
	*limit += 1 / *limit
	if latency > 2*(s.service+2*s.oneWay) {
		*limit *= 0.9
	}
	*limit = max(1, min(*limit, float64(s.connections/instanceCount)))
	s.queues[queue].SetLimit(int(*limit))
}

func (s *simulation) result(capacity float64) simulationResult {
	slices.Sort(s.modestLatencies)
	quantile := func(fraction float64) time.Duration {
		if len(s.modestLatencies) == 0 {
			return 0
		}
		return s.modestLatencies[int(fraction*float64(len(s.modestLatencies)-1))]
	}
	return simulationResult{
		goodput: float64(s.answeredInTime) / capacity, modestP50: quantile(0.5), modestP99: quantile(0.99),
		modestShare: float64(len(s.modestLatencies)) / float64(s.modestCount),
		attempts:    float64(s.attemptCount) / float64(s.requestCount),
	}
}
