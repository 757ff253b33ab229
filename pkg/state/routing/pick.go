package routing

import "time"

// pick chooses among upstreams that may all serve the unit. It takes the less
// loaded of two random candidates, and prefers the instance's own data centre
// unless the expected wait there is longer.
func (c *chooser) pick(candidates []int) int {
	local := c.inLocalDataCentre(candidates)
	best := c.lessLoadedOfTwo(candidates)
	if len(local) == 0 {
		return best
	}
	bestLocal := c.lessLoadedOfTwo(local)
	if c.queueWait(bestLocal) <= c.queueWait(best) {
		return bestLocal
	}
	return best
}

func (c *chooser) inLocalDataCentre(candidates []int) []int {
	return c.filter(candidates, func(u *Upstream) bool {
		return u.DataCentre == c.snapshot.DataCentre
	})
}

// lessLoadedOfTwo selects two candidates by the request's random number and
// returns the one with the shorter expected wait.
func (c *chooser) lessLoadedOfTwo(candidates []int) int {
	count := uint64(len(candidates))
	if count == 1 {
		return candidates[0]
	}
	first := c.request.Rand % count
	second := c.request.Rand / count % (count - 1)
	if second >= first {
		second++
	}
	a, b := candidates[first], candidates[second]
	if c.queueWait(b) < c.queueWait(a) {
		return b
	}
	return a
}

func (c *chooser) outstanding(i int) int {
	if c.request.Outstanding != nil {
		return c.request.Outstanding[i]
	}
	return c.group.Upstreams[i].Outstanding
}

// queueWait estimates the wait for a slot as the latency times the number of
// outstanding statements for each slot. It is positive even while a slot is
// free, so that upstreams without a queue are compared by their load.
func (c *chooser) queueWait(i int) time.Duration {
	u := &c.group.Upstreams[i]
	slots := max(u.Slots, 1)
	return time.Duration(c.outstanding(i)) * u.Latency / time.Duration(slots)
}

// waitLimit returns the longest acceptable wait for a replica. It is the time
// that the primary would cost, or Options.MaxWait if there is no primary to fall
// back on, but no more than half of the route's deadline.
func (c *chooser) waitLimit(noPrimary bool) time.Duration {
	options := c.snapshot.Options
	if options.Rules.NoWait {
		return 0
	}
	limit := options.MaxWait
	if !noPrimary {
		if i, found := c.findPrimary(); found {
			limit = min(limit, options.OffloadWait+c.queueWait(i))
		}
	}
	if deadline := c.request.Route.Deadline; deadline > 0 {
		limit = min(limit, deadline/2)
	}
	return limit
}

// waitForReplica returns the replica with the least expected wait until it has
// reached the floor and has a free slot, unless that exceeds waitLimit.
func (c *chooser) waitForReplica(candidates []int, noPrimary bool) (Decision, bool) {
	limit := c.waitLimit(noPrimary)
	best := -1
	bestCost := limit
	for _, i := range candidates {
		u := &c.group.Upstreams[i]
		cost := u.ApplyDelay + c.queueWait(i)
		if u.FreshKnown && u.ApplyDelay <= limit && cost <= bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Decision{}, false
	}
	decision := c.decisionFor(best)
	decision.WaitFor = c.request.Floor
	decision.MaxWait = limit
	return decision, true
}
