package routing

import "time"

// pick chooses among upstreams that may all serve the unit: those in the
// instance's own data centre first, unless their queue is longer, and the
// less loaded of two taken at random.
func (c *chooser) pick(candidates []int) int {
	near := c.nearOnes(candidates)
	best := c.twoChoices(candidates)
	if len(near) == 0 {
		return best
	}
	nearest := c.twoChoices(near)
	if c.queueWait(nearest) <= c.queueWait(best) {
		return nearest
	}
	return best
}

func (c *chooser) nearOnes(candidates []int) []int {
	return c.filter(candidates, func(u *Upstream) bool {
		return u.DataCentre == c.snapshot.DataCentre
	})
}

// twoChoices takes two candidates by the request's random number and returns
// the one with less work.
func (c *chooser) twoChoices(candidates []int) int {
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

// queueWait returns the expected wait for a slot, plus a share of the latency
// for each busy slot, so that idle upstreams compare by their load.
func (c *chooser) queueWait(i int) time.Duration {
	u := &c.group.Upstreams[i]
	slots := max(u.Slots, 1)
	return time.Duration(c.outstanding(i)) * u.Latency / time.Duration(slots)
}

// waitLimit returns the longest wait for a replica. Without a primary to fall
// back on the full bound applies.
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

// waitFor returns the replica that is expected to reach the floor first, if
// waiting for it beats the primary's queue.
func (c *chooser) waitFor(candidates []int, noPrimary bool) (Decision, bool) {
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
	decision := c.decide(best)
	decision.WaitFor = c.request.Floor
	decision.MaxWait = limit
	return decision, true
}
