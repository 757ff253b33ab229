package model

import (
	"math"
	"strings"
	"unicode"
)

// Priorities of a caller; 0 comes first.
const (
	HighestPriority = 0
	DefaultPriority = 1
	LowestPriority  = 2
)

// CallerPolicy is the rate limit and the priority of a caller. Both kinds of
// configuration, bundle and catalog, convert their callers to it.
type CallerPolicy struct {
	Name CallerName
	// Rate is the number of operations a second that the caller may run over all
	// instances. Zero sets no limit.
	Rate float64
	// Burst is the number of operations that the caller may run at once beyond
	// Rate. It has no meaning without a rate.
	Burst float64
	// Priority orders callers; 0 comes first.
	Priority int
}

// Limited reports whether the caller has a rate limit.
func (p CallerPolicy) Limited() bool { return p.Rate > 0 }

// DefaultBurst returns the burst of a caller whose configuration sets a rate but
// no burst: the operations of one second, but at least one.
func DefaultBurst(rate float64) float64 { return max(rate, 1) }

// ValidLimit reports whether value may be a rate or a burst: a finite number of
// zero or more.
func ValidLimit(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }

// FitsLine reports whether the name can be one word of a line-based protocol: it
// is not empty and has no blank, control character or line end.
func (n CallerName) FitsLine() bool {
	return n != "" && !strings.ContainsFunc(string(n), func(r rune) bool {
		return unicode.IsSpace(r) || unicode.IsControl(r)
	})
}

// CallerUsage is the use of a caller's rate limit on one instance, as the rate
// limiter of that instance reports it.
type CallerUsage struct {
	Name CallerName
	// UsedPerSecond is the recent number of operations a second.
	UsedPerSecond float64
	// Refused is the number of operations refused since the start of the
	// instance.
	Refused uint64
	// Limit is the rate over all instances that the limiter enforces. It differs
	// from the configured rate until a new configuration is active.
	Limit float64
}
