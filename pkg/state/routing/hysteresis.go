package routing

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

// AgeSet is an immutable set of ages of routes, in ascending order.
type AgeSet []time.Duration

// Has reports whether age is in the set.
func (s AgeSet) Has(age time.Duration) bool {
	_, found := slices.BinarySearch(s, age)
	return found
}

// AgeHysteresis keeps replicas at the edge of a route's age from flapping: a replica
// whose data became older than the age is admitted again only when its data
// has stayed within half the age for HoldTime. It is owned by the control
// goroutine.
type AgeHysteresis struct {
	// HoldTime is how long a replica must stay well within the age.
	HoldTime time.Duration
	states   map[edgeKey]edgeState
}

type edgeKey struct {
	upstream model.UpstreamID
	age      time.Duration
}

type edgeState struct {
	admitted bool
	// goodSince is when the data came within half the age; it is meaningful
	// while good.
	good      bool
	goodSince time.Duration
}

// NewAgeHysteresis returns an AgeHysteresis without upstreams.
func NewAgeHysteresis(holdTime time.Duration) *AgeHysteresis {
	return &AgeHysteresis{HoldTime: holdTime, states: make(map[edgeKey]edgeState)}
}

// Update takes a replica's present age and returns the set of route ages for
// which it is admitted. ages must be ascending. A replica that is seen for the
// first time needs no HoldTime.
func (e *AgeHysteresis) Update(now time.Duration, upstream model.UpstreamID, age time.Duration, known bool, ages []time.Duration) AgeSet {
	var admitted AgeSet
	for _, limit := range ages {
		key := edgeKey{upstream: upstream, age: limit}
		state, seen := e.states[key]
		state = e.next(now, state, seen, known && age <= limit, known && age <= limit/2)
		e.states[key] = state
		if state.admitted {
			admitted = append(admitted, limit)
		}
	}
	return admitted
}

func (e *AgeHysteresis) next(now time.Duration, s edgeState, seen, within, well bool) edgeState {
	if !within {
		return edgeState{}
	}
	if !seen {
		return edgeState{admitted: true, good: well, goodSince: now}
	}
	if !well {
		s.good = false
		return s
	}
	if !s.good {
		s.good = true
		s.goodSince = now
	}
	s.admitted = s.admitted || now-s.goodSince >= e.HoldTime
	return s
}

// Forget removes what is kept of an upstream.
func (e *AgeHysteresis) Forget(upstream model.UpstreamID) {
	for key := range e.states {
		if key.upstream == upstream {
			delete(e.states, key)
		}
	}
}

// Size returns the number of pairs of upstream and age that are kept.
func (e *AgeHysteresis) Size() int { return len(e.states) }
