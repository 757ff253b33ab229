package bundle

import (
	"strconv"

	"gypsumdock/pkg/state/model"
)

// Policy returns the caller's rate limit and priority.
func (c *Caller) Policy() model.CallerPolicy {
	policy := model.CallerPolicy{Name: c.Name, Rate: c.Rate, Burst: c.Burst, Priority: model.DefaultPriority}
	if c.Priority != nil {
		policy.Priority = *c.Priority
	}
	return policy
}

// policy checks the caller's rate limit and priority.
func (c *checker) policy(at entryRef, caller *Caller) {
	policy := caller.Policy()
	c.limit(at, "rate", policy.Rate)
	c.limit(at, "burst", policy.Burst)
	if policy.Burst > 0 && policy.Rate == 0 {
		c.report(at, "burst", "is %s, but requires a rate above 0 for the same caller", formatNumber(policy.Burst))
	}
	if policy.Priority < model.HighestPriority || policy.Priority > model.LowestPriority {
		c.report(at, "priority", "must be 0, 1 or 2, where 0 comes first, not %d", policy.Priority)
	}
}

// limit checks a rate or a burst.
func (c *checker) limit(at entryRef, field string, value float64) {
	if !model.ValidLimit(value) {
		c.report(at, field, "must be a finite number of 0 or more, not %s", formatNumber(value))
	}
}

// describePolicy returns the fields of the caller's rate limit and priority.
func (c *Caller) describePolicy() []field {
	policy := c.Policy()
	return []field{
		plainField("rate", formatNumber(policy.Rate)),
		plainField("burst", formatNumber(policy.Burst)),
		plainField("priority", policy.Priority),
	}
}

// formatNumber formats a rate or a burst without an exponent.
func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

// setPolicyDefaults completes the keys that the file omits. The default priority
// is not stored, so that a folder without priorities keeps its digest and is
// accepted by instances of an earlier version.
func (s *callerSchema) setPolicyDefaults(at origin) {
	if at.has("rate") && !at.has("burst") && s.Rate > 0 && model.ValidLimit(s.Rate) {
		s.Burst = model.DefaultBurst(s.Rate)
	}
	if at.doc.HasProblem(at.key+".rate") && model.ValidLimit(s.Burst) {
		// The rate could not be read, so whether the burst lacks one is unknown.
		s.Burst = 0
	}
	if !at.has("priority") {
		s.Priority = model.DefaultPriority
	}
}

// storedPriority returns the priority as a Caller holds it.
func (s *callerSchema) storedPriority() *int {
	if s.Priority == model.DefaultPriority {
		return nil
	}
	return &s.Priority
}
