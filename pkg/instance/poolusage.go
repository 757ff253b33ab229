package instance

import (
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgback"
)

// poolUse tells the control state how the connections to upstreams are used.
type poolUse struct{ *pgback.Pools }

// Usage returns the use of an upstream's connections.
func (p poolUse) Usage(upstream model.UpstreamID) grants.Usage {
	stats := p.StatsOf(upstream)
	return grants.Usage{
		Upstream: upstream,
		Open:     stats.Open,
		Busy:     max(stats.Open-stats.Idle, 0),
		Waiting:  stats.Waiting,
	}
}
