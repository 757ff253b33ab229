package instance

import (
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgback"
)

// poolUse reports the use of the connections to upstreams to the control loop.
type poolUse struct{ *pgback.Pools }

// Usage returns the number of open and busy connections to an upstream, and of
// units of work that wait for one.
func (p poolUse) Usage(upstream model.UpstreamID) grants.Usage {
	stats := p.StatsOf(upstream)
	return grants.Usage{
		Upstream: upstream,
		Open:     stats.Open,
		Busy:     max(stats.Open-stats.Idle, 0),
		Waiting:  stats.Waiting,
	}
}
