package serving

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/state/model"
)

// Bounds on the members of a region.
const (
	// minMembers is the number of members below which any instance becomes one.
	minMembers = ServersPerGroup
	// maxMembers is the number of members up to which an instance with enough
	// processor time and bandwidth becomes one.
	maxMembers = 12
	// sufficientCores and sufficientLinkMbps are the processor share and the
	// bandwidth with which an instance is as suitable as any other.
	sufficientCores    = 0.4
	sufficientLinkMbps = 100
	// suitabilityLead is the lead that the most suitable instances have over the
	// least suitable ones when all start at once, and when members are missing.
	suitabilityLead = 600 * time.Millisecond
	// firstReadFraction is the part of the lead that passes before the first read
	// of the members; the rest passes before the instance joins. Callers wait for
	// this read after a loss of all instances, as no peer knows the members then.
	firstReadFraction = 6
	// urgentDelaySpread spreads the instances that join while groups may have no
	// server.
	urgentDelaySpread = 300 * time.Millisecond
	// minJoinDelay and joinDelaySpread give the time for which a vacancy must
	// last before an instance takes it. An instance that restarts takes its place
	// again within it.
	minJoinDelay    = time.Second
	joinDelaySpread = 3 * time.Second
)

// Machine describes the resources of an instance. Zero values are unknown, and
// count as sufficient.
type Machine struct {
	Cores    float64
	LinkMbps float64
}

// JoinPolicy says when an instance becomes a member.
type JoinPolicy struct {
	// MinMembers and MaxMembers are the numbers of members below which the
	// instance becomes one after UrgentJoinDelay, and from which on it does not.
	MinMembers int
	MaxMembers int
	// JoinDelay is how long a vacancy between the two must have lasted.
	JoinDelay       time.Duration
	UrgentJoinDelay time.Duration
	// FirstReadDelay is how long the instance waits after its start before it
	// reads the members from the store.
	FirstReadDelay time.Duration
}

// NewJoinPolicy returns the policy of an instance. Those with little processor
// time or bandwidth become members only where there are few others.
func NewJoinPolicy(self model.InstanceID, machine Machine) JoinPolicy {
	suitability := ratio(machine.Cores, sufficientCores) * ratio(machine.LinkMbps, sufficientLinkMbps)
	lead := time.Duration((1 - suitability) * float64(suitabilityLead))
	return JoinPolicy{
		MinMembers:      minMembers,
		MaxMembers:      minMembers + int(suitability*(maxMembers-minMembers)),
		JoinDelay:       minJoinDelay + time.Duration((fraction(self)+1-suitability)*float64(joinDelaySpread)),
		UrgentJoinDelay: lead + time.Duration(fraction(self)*float64(urgentDelaySpread)),
		FirstReadDelay:  lead / firstReadFraction,
	}
}

// ratio returns value / sufficient, at most 1, and 1 for an unknown value.
func ratio(value, sufficient float64) float64 {
	if value <= 0 {
		return 1
	}
	return min(1, value/sufficient)
}

// fraction returns a pseudo-random number in [0, 1) that depends on the ID.
func fraction(id model.InstanceID) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String("join/"+string(id))%steps) / steps
}
