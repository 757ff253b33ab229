// Package balance chooses the server to which a unit of work is forwarded, by
// the time in which each is expected to answer.
//
// The package is deterministic: times and random values are arguments. It is not
// safe for concurrent use.
package balance

import (
	"math"
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/trial"
)

const (
	// initialReference is the assumed time of an answer of a route before the
	// first one.
	initialReference = 20 * time.Millisecond
	// referenceWeight is the weight of an answer in the average of its route.
	// maxReferenceRatio bounds the ratio with which it counts, so that answers of
	// a server that fails do not raise the average for all.
	referenceWeight   = 0.05
	maxReferenceRatio = 3
	// maxRoutes bounds the number of routes that are remembered.
	maxRoutes = 256
	// halfLife is the time in which an answer or a reported load loses half of its
	// weight. It spans several answers at a few units a second for each server.
	halfLife = time.Second
	// priorWeight is the weight, in answers, of the assumption that a server is as
	// fast as the average.
	priorWeight = 0.5
	// maxSlowness bounds the slowness that one answer contributes.
	maxSlowness = 20
	// loadPerOutstanding is the expected delay by each unit that this instance has
	// outstanding at a server, as a part of an answer's time. A server is assumed
	// to run four units of a group at once.
	loadPerOutstanding = 0.25
	// busyFrom is the use of the processor share from which answers are delayed,
	// and busyFactor the slowness at full use.
	busyFrom   = 0.7
	busyFactor = 3
	// avoidFactor is the ratio of a server's slowness to that of the fastest other
	// from which it is avoided, if the difference is at least minAvoidExcess.
	avoidFactor    = 3
	minAvoidExcess = 20 * time.Millisecond
	// keepFactor is the ratio of the expected times from which a unit of a caller
	// with a home goes elsewhere. Opening a connection there takes about as long as
	// an answer.
	keepFactor = 2
	// remoteDelay is the expected additional time of a server in another data
	// centre: a round trip for the request and one for the opening of the stream.
	remoteDelay = 8 * time.Millisecond
)

// Candidate is a server of the unit's group.
type Candidate struct {
	Server model.InstanceID
	// Near is set for a server in the data centre of this instance.
	Near bool
}

// Unit describes a unit of work to Choose.
type Unit struct {
	Route string
	// HasHome is set if the first candidate is preferred to all others.
	HasHome bool
	// TimeToTarget is the time in which the caller wants the answer; zero if no
	// target is set.
	TimeToTarget time.Duration
}

// Load is what a server reports with an answer.
type Load struct {
	Running int
	Waiting int
	// Busy is the part of its processor share that it uses; zero if unknown.
	Busy float64
}

// Balance holds the observed answer times and loads of the servers, and the
// average answer times of the routes.
type Balance struct {
	servers    map[model.InstanceID]*server
	references map[string]time.Duration
}

// server is the state of one server as seen by this instance.
type server struct {
	trial trial.Trial
	// slownessSum and slownessWeight give the average ratio of its answer times to
	// those of their routes, as of slownessAt.
	slownessSum    float64
	slownessWeight float64
	slownessAt     time.Duration
	load           Load
	loadAt         time.Duration
	// outstanding counts the units without an answer, and awaited those of them
	// that need no primary. silentSince is when the first of the latter was sent
	// or the last answer arrived, whichever is later, and silentReference is the
	// longest of the average times of their routes.
	outstanding     int
	awaited         int
	silentSince     time.Duration
	silentReference time.Duration
}

// New returns a Balance that knows no server.
func New() *Balance {
	return &Balance{servers: make(map[model.InstanceID]*server), references: make(map[string]time.Duration)}
}

// Keep forgets all servers for which keep returns false.
func (b *Balance) Keep(keep func(model.InstanceID) bool) {
	for id := range b.servers {
		if !keep(id) {
			delete(b.servers, id)
		}
	}
}

func (b *Balance) server(id model.InstanceID) *server {
	known := b.servers[id]
	if known == nil {
		known = &server{}
		b.servers[id] = known
	}
	return known
}

func (b *Balance) reference(route string) time.Duration {
	if known, found := b.references[route]; found {
		return known
	}
	return initialReference
}

// Request is a unit that was sent to a server, or a further statement of one.
type Request struct {
	Route string
	// NeedsPrimary is set if the server may have to wait for a new primary. A long
	// wait then says nothing about the server, and would make it avoided for its
	// other groups.
	NeedsPrimary bool
}

// Sent records that a request was sent to a server.
func (b *Balance) Sent(now time.Duration, id model.InstanceID, request Request) {
	s := b.server(id)
	s.outstanding++
	if request.NeedsPrimary {
		return
	}
	if s.awaited == 0 {
		s.silentSince = now
		s.silentReference = 0
	}
	s.silentReference = max(s.silentReference, b.reference(request.Route))
	s.awaited++
}

// Answer describes the answer of a server, or the end of the wait for one.
type Answer struct {
	Request
	SentAt time.Duration
	// Lost is set if there was no answer.
	Lost bool
	// Untimed is set for a statement whose time says nothing about the server.
	Untimed bool
}

// Answered records an answer. It must be called once for each call of Sent.
func (b *Balance) Answered(now time.Duration, id model.InstanceID, answer Answer) {
	s := b.server(id)
	s.outstanding = max(0, s.outstanding-1)
	if !answer.NeedsPrimary {
		s.awaited = max(0, s.awaited-1)
	}
	if !answer.Lost {
		s.silentSince = now
	}
	if answer.Untimed || s.trial.Active() && answer.SentAt < s.trial.StartedAt() {
		return
	}
	reference := b.reference(answer.Route)
	elapsed := now - answer.SentAt
	if answer.NeedsPrimary && elapsed > avoidFactor*reference {
		return
	}
	if !answer.Lost {
		b.updateReference(answer.Route, min(elapsed, maxReferenceRatio*reference))
	}
	ratio := min(float64(elapsed)/float64(max(reference, time.Millisecond)), maxSlowness)
	if !s.trial.Active() {
		s.addSlowness(now, ratio)
		return
	}
	if answer.Lost || b.isSlow(now, s, ratio, reference) {
		s.trial.Failed(now)
		return
	}
	if s.trial.Passed(now) {
		s.slownessSum, s.slownessWeight = 0, 0
		s.addSlowness(now, ratio)
	}
}

func (b *Balance) updateReference(route string, elapsed time.Duration) {
	if _, known := b.references[route]; !known && len(b.references) >= maxRoutes {
		return
	}
	reference := b.reference(route)
	b.references[route] = reference + time.Duration(referenceWeight*float64(elapsed-reference))
}

// Reported records the load that came with an answer.
func (b *Balance) Reported(now time.Duration, id model.InstanceID, load Load) {
	s := b.server(id)
	s.load = load
	s.loadAt = now
}

// Avoided reports whether a server is avoided.
func (b *Balance) Avoided(id model.InstanceID) bool {
	s := b.servers[id]
	return s != nil && s.trial.Active()
}

// Slowness returns the ratio of a server's answer times to the average.
func (b *Balance) Slowness(now time.Duration, id model.InstanceID) float64 {
	if s := b.servers[id]; s != nil {
		return s.slowness(now)
	}
	return 1
}

// isSlow reports whether a slowness is clearly above that of the fastest other
// server that is in use.
func (b *Balance) isSlow(now time.Duration, s *server, slowness float64, reference time.Duration) bool {
	fastest := math.Inf(1)
	for _, other := range b.servers {
		if other != s && !other.trial.Active() && other.currentWeight(now) > 0 {
			fastest = min(fastest, other.slowness(now))
		}
	}
	return isClearlyAbove(slowness, fastest, reference)
}

func isClearlyAbove(slowness, fastest float64, reference time.Duration) bool {
	excess := time.Duration((slowness - fastest) * float64(reference))
	return slowness > avoidFactor*fastest && excess > minAvoidExcess
}

func (s *server) addSlowness(now time.Duration, ratio float64) {
	decay := ageWeight(now - s.slownessAt)
	s.slownessSum = s.slownessSum*decay + ratio
	s.slownessWeight = s.slownessWeight*decay + 1
	s.slownessAt = now
}

func (s *server) currentWeight(now time.Duration) float64 {
	return s.slownessWeight * ageWeight(now-s.slownessAt)
}

// slowness returns the ratio of the server's answer times to the average. An
// answer that is outstanding counts with the time that has passed without any.
func (s *server) slowness(now time.Duration) float64 {
	decay := ageWeight(now - s.slownessAt)
	answered := (s.slownessSum*decay + priorWeight) / (s.slownessWeight*decay + priorWeight)
	if s.awaited == 0 {
		return answered
	}
	return max(answered, min(float64(now-s.silentSince)/float64(max(s.silentReference, time.Millisecond)), maxSlowness))
}

// delay returns the expected wait at the server in answer times.
func (s *server) delay(now time.Duration) float64 {
	age := ageWeight(now - s.loadAt)
	waiting := float64(s.load.Waiting) / float64(max(1, s.load.Running))
	busy := max(0, s.load.Busy-busyFrom) / (1 - busyFrom) * busyFactor
	return age*(waiting+busy) + loadPerOutstanding*float64(s.outstanding)
}

// expected returns the time in which the server is expected to answer.
func (s *server) expected(now, reference time.Duration) time.Duration {
	return time.Duration((s.slowness(now) + s.delay(now)) * float64(reference))
}

// ageWeight returns the weight of a value of the given age: 1 for a new one, 1/2
// at halfLife. It is a rational function, because it is called often and
// math.Exp2 is slower.
func ageWeight(age time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+max(age, 0))
}

// LoadOf returns the load that a server reported last.
func (b *Balance) LoadOf(id model.InstanceID) Load {
	if s := b.servers[id]; s != nil {
		return s.load
	}
	return Load{}
}
