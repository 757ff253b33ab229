package dispatcher

import (
	"slices"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/loadshare"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

// loads guards the loadshare.Share of this instance. mu may be locked while the
// mutex of a group is held, but not the other way round.
type loads struct {
	mu    sync.Mutex
	share *loadshare.Share
	// groups holds the group of each shared upstream.
	groups map[model.UpstreamID]model.GroupID
	// limits holds the last values of the metric telemetry.UpstreamLimit.
	limits map[model.UpstreamID]int
}

// LoadReport holds the counts to send to another server.
type LoadReport struct {
	To     model.InstanceID
	Counts []loadshare.Count
}

// sharedUpstream is an upstream with its group.
type sharedUpstream struct {
	loadshare.Upstream
	group model.GroupID
}

func newLoads() *loads {
	return &loads{share: loadshare.New(), limits: make(map[model.UpstreamID]int)}
}

// sharedUpstreams returns the upstreams of the groups of which the instance is a
// server.
func sharedUpstreams(snapshot *region.Snapshot, self model.InstanceID) []sharedUpstream {
	var shared []sharedUpstream
	for _, upstream := range snapshot.Upstreams {
		servers := snapshot.Serving[upstream.Group].Servers
		isSelf := func(server model.Member) bool { return server.ID == self }
		configured, found := snapshot.Catalog.Group(upstream.Group)
		if !found || !slices.ContainsFunc(servers, isSelf) {
			continue
		}
		var others []model.InstanceID
		for _, server := range servers {
			if !isSelf(server) {
				others = append(others, server.ID)
			}
		}
		shared = append(shared, sharedUpstream{group: upstream.Group, Upstream: loadshare.Upstream{
			ID: upstream.ID, Slots: upstream.Slots, MaxConnections: configured.MaxConnections, Others: others,
		}})
	}
	return shared
}

func (l *loads) setUpstreams(shared []sharedUpstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	upstreams := make([]loadshare.Upstream, 0, len(shared))
	l.groups = make(map[model.UpstreamID]model.GroupID, len(shared))
	for _, upstream := range shared {
		upstreams = append(upstreams, upstream.Upstream)
		l.groups[upstream.ID] = upstream.group
	}
	l.share.SetUpstreams(upstreams)
	for id := range l.limits {
		if _, found := l.groups[id]; !found {
			telemetry.UpstreamLimit.Forget(string(id))
			delete(l.limits, id)
		}
	}
}

// limit returns the limit for an upstream; zero for one that is not shared.
func (l *loads) limit(now time.Duration, id model.UpstreamID) dispatch.OutstandingLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, found := l.share.Limit(now, id)
	if !found {
		return dispatch.OutstandingLimit{}
	}
	if l.limits[id] != limit.Outstanding {
		l.limits[id] = limit.Outstanding
		telemetry.UpstreamLimit.With(string(id)).Set(float64(limit.Outstanding))
	}
	return dispatch.OutstandingLimit{Max: limit.Outstanding, Others: limit.Others, OthersKnown: limit.Known}
}

// upstreams returns the shared upstreams by group.
func (l *loads) upstreams() map[model.GroupID][]model.UpstreamID {
	l.mu.Lock()
	defer l.mu.Unlock()
	byGroup := make(map[model.GroupID][]model.UpstreamID)
	for id, group := range l.groups {
		byGroup[group] = append(byGroup[group], id)
	}
	return byGroup
}

// due returns the reports that are due, given what this instance has.
func (l *loads) due(now time.Duration, own []loadshare.Count) []LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []LoadReport
	for _, id := range l.share.Others() {
		if counts := l.share.Due(now, id, own); len(counts) > 0 {
			reports = append(reports, LoadReport{To: id, Counts: counts})
		}
	}
	return reports
}

// PeerHeard records that any message of a peer has arrived.
func (d *Dispatcher) PeerHeard(from model.InstanceID) {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	d.loads.share.Heard(d.Now(), from)
}

// LoadReported uses the report of another server. An error means that it is
// invalid and was not used.
func (d *Dispatcher) LoadReported(from model.InstanceID, counts []loadshare.Count) error {
	d.loads.mu.Lock()
	err := d.loads.share.Reported(d.Now(), from, counts)
	d.loads.mu.Unlock()
	if err != nil {
		return err
	}
	reported := make(map[model.UpstreamID]bool, len(counts))
	for _, count := range counts {
		reported[count.Upstream] = true
	}
	for group, upstreams := range d.loads.upstreams() {
		if slices.ContainsFunc(upstreams, func(id model.UpstreamID) bool { return reported[id] }) {
			d.applyLimits(group, upstreams)
		}
	}
	return nil
}

// LoadNotSent records that a report could not be sent.
func (d *Dispatcher) LoadNotSent(to model.InstanceID) {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	d.loads.share.NotSent(to)
}

// LoadReports updates the limits of all upstreams, as reports lose their validity
// with time, and returns the reports that are due to other servers.
func (d *Dispatcher) LoadReports() []LoadReport {
	var own []loadshare.Count
	for group, upstreams := range d.loads.upstreams() {
		own = append(own, d.applyLimits(group, upstreams)...)
	}
	return d.loads.due(d.Now(), own)
}

// applyLimits sets the limits of upstreams, and returns what this instance has
// outstanding at them.
func (d *Dispatcher) applyLimits(id model.GroupID, upstreams []model.UpstreamID) []loadshare.Count {
	own := make([]loadshare.Count, 0, len(upstreams))
	d.update(id, func(now time.Duration, g *group) {
		for _, upstream := range upstreams {
			g.decisions.LimitOutstanding(upstream, d.loads.limit(now, upstream))
			own = append(own, loadshare.Count{Upstream: upstream, Outstanding: g.decisions.OutstandingAt(upstream)})
		}
	})
	return own
}
