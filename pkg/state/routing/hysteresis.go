package routing

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

// AgeSet is an immutable set of the maximum ages of routes, in ascending order.
type AgeSet []time.Duration

// Has reports whether age is in the set.
func (s AgeSet) Has(age time.Duration) bool {
	_, found := slices.BinarySearch(s, age)
	return found
}

// AgeHysteresis decides which replicas are admitted to the reads of which
// routes. It keeps a replica whose data is about as old as a route's maximum age
// from being admitted and excluded in quick succession: a replica whose data
// exceeded the maximum age is admitted again only after its data has stayed
// within half of the maximum age for HoldTime. It is owned by the control
// goroutine.
type AgeHysteresis struct {
	// HoldTime is the time for which the data of an excluded replica must stay
	// within half of the maximum age.
	HoldTime time.Duration
	states   map[hysteresisKey]hysteresisState
}

// hysteresisKey identifies the state of an upstream for a maximum age.
type hysteresisKey struct {
	upstream model.UpstreamID
	age      time.Duration
}

// hysteresisState is the state of an upstream for a maximum age.
type hysteresisState struct {
	admitted bool
	// belowHalf is set while the data is within half of the maximum age, and
	// belowHalfSince is when that began.
	belowHalf      bool
	belowHalfSince time.Duration
}

// NewAgeHysteresis returns an AgeHysteresis without upstreams.
func NewAgeHysteresis(holdTime time.Duration) *AgeHysteresis {
	return &AgeHysteresis{HoldTime: holdTime, states: make(map[hysteresisKey]hysteresisState)}
}

// Update records the age of a replica's data, if known, and returns those of
// the maximum ages for which the replica is admitted. ages must be ascending. A
// replica that is seen for the first time does not have to wait for HoldTime.
func (h *AgeHysteresis) Update(now time.Duration, upstream model.UpstreamID, age time.Duration, known bool, ages []time.Duration) AgeSet {
	var admitted AgeSet
	for _, limit := range ages {
		key := hysteresisKey{upstream: upstream, age: limit}
		state, seen := h.states[key]
		state = h.nextState(now, state, seen, known && age <= limit, known && age <= limit/2)
		h.states[key] = state
		if state.admitted {
			admitted = append(admitted, limit)
		}
	}
	return admitted
}

// nextState returns the state that follows s for data that is within the maximum
// age, and within half of it. seen is false if there is no state s yet.
func (h *AgeHysteresis) nextState(now time.Duration, s hysteresisState, seen, within, withinHalf bool) hysteresisState {
	if !within {
		return hysteresisState{}
	}
	if !seen {
		return hysteresisState{admitted: true, belowHalf: withinHalf, belowHalfSince: now}
	}
	if !withinHalf {
		s.belowHalf = false
		return s
	}
	if !s.belowHalf {
		s.belowHalf = true
		s.belowHalfSince = now
	}
	s.admitted = s.admitted || now-s.belowHalfSince >= h.HoldTime
	return s
}

// Forget removes the state of an upstream.
func (h *AgeHysteresis) Forget(upstream model.UpstreamID) {
	for key := range h.states {
		if key.upstream == upstream {
			delete(h.states, key)
		}
	}
}

// Size returns the number of pairs of upstream and maximum age with a state.
func (h *AgeHysteresis) Size() int { return len(h.states) }
