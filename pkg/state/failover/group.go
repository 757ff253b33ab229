package failover

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"gypsumdock/pkg/state/model"
)

// group is the volatile state that an instance keeps of one group.
type group struct {
	id model.GroupID
	// specKnown is true once a configuration has named the group.
	specKnown bool
	// syncReplicas is GroupSpec.SyncReplicas.
	syncReplicas int
	// upstreams is ordered by ID.
	upstreams []*upstream
	// servers is GroupSpec.Servers.
	servers []model.InstanceID
	permit  permit
	// generationAt is when this instance learned of the present generation.
	generationAt time.Duration
	// stoppedGeneration is the highest generation for which this instance has
	// given up its permit. It never holds a permit for it, or for an older one,
	// again.
	stoppedGeneration model.Generation
	seal              sealRecord
	promotion         promotionRecord
	// votes holds the newest vote of each other member.
	votes map[model.InstanceID]vote
	// lostSince is when the primary was found lost by a majority, and lost
	// whether it still is.
	lostSince time.Duration
	lost      bool
	// locallyLost is true while this instance's own probes have lost the
	// primary.
	locallyLost bool
	// planned is a planned switch that waits for its seal.
	planned plannedSwitch
	// leaving is the primary that is leaving.
	leaving leavingPrimary
	// deposed holds the upstreams that were found to take writes during this
	// generation although they are not its primary.
	deposed map[model.UpstreamID]bool
	// probeRequestedAt is when a ProbeNow was last emitted.
	probeRequestedAt time.Duration
	// timelineConflict is true once a deposed upstream was found on the
	// timeline of the head row. A replica on that timeline may then follow
	// either of the two.
	timelineConflict bool
}

// upstream holds the newest probe of an upstream and what follows from the
// earlier ones.
type upstream struct {
	spec  UpstreamSpec
	probe Probed
	// probedAt is when the result arrived.
	probedAt time.Duration
	// known is true once a probe has ended.
	known bool
	// healthyAt is the start of the last probe that found the upstream serving
	// (see isServing). A pause of the process and a new generation reset it to
	// the present.
	healthyAt time.Duration
	// failures counts the successive failed probes since then.
	failures int
}

// idOf returns the ID of an upstream, or an empty one for nil.
func idOf(up *upstream) model.UpstreamID {
	if up == nil {
		return ""
	}
	return up.spec.ID
}

func newGroup(id model.GroupID) *group {
	return &group{
		id:      id,
		votes:   map[model.InstanceID]vote{},
		deposed: map[model.UpstreamID]bool{},
	}
}

func (g *group) setSpec(spec GroupSpec) {
	upstreams := make([]*upstream, 0, len(spec.Upstreams))
	for _, entry := range spec.Upstreams {
		up := g.upstream(entry.ID)
		if up == nil {
			up = &upstream{}
		}
		up.spec = entry
		upstreams = append(upstreams, up)
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].spec.ID < upstreams[j].spec.ID })
	g.upstreams = upstreams
	g.specKnown = true
	g.syncReplicas = spec.SyncReplicas
	g.servers = spec.Servers
}

// isServedBy reports whether a member takes part in the decisions on the group.
func (g *group) isServedBy(id model.InstanceID) bool {
	return len(g.servers) == 0 || slices.Contains(g.servers, id)
}

func (g *group) upstream(id model.UpstreamID) *upstream {
	for _, up := range g.upstreams {
		if up.spec.ID == id {
			return up
		}
	}
	return nil
}

// resumed discards failed probes after a pause of the process, during which
// their answers could not be received.
func (g *group) resumed(now time.Duration) {
	for _, up := range g.upstreams {
		up.failures = 0
		up.healthyAt = now
	}
	g.lost = false
}

// applyGroupHead updates g to gh, the group's state in the newest known head
// row.
func (m *Machine) applyGroupHead(g *group, gh model.GroupHead) {
	g.permit.dropIfOlder(gh.Generation)
	if g.seal.generation < gh.Generation {
		m.reportStart(g, gh)
		g.resetForGeneration(m.now, gh.Generation)
	}
	if gh.Seal == nil {
		return
	}
	if !g.seal.known {
		g.seal.known = true
		g.seal.learnedAt = m.now
		m.reportSeal(g, gh)
	}
	if g.seal.content != *gh.Seal {
		if g.seal.content.By != gh.Seal.By {
			g.seal.promoterAt = m.now
		}
		g.seal.content = *gh.Seal
		g.seal.contentAt = m.now
		g.promotion.restart()
	}
	m.stopWriting(g, gh.Generation, gh.Seal.Planned)
}

// reportStart reports that a generation has started, unless it is the first one
// that this instance knows of.
func (m *Machine) reportStart(g *group, gh model.GroupHead) {
	if g.seal.generation != 0 {
		m.report(ReportGenerationStarted, g.id, fmt.Sprintf("generation %d on %s", gh.Generation, gh.Primary))
	}
}

// resetForGeneration discards the state that belongs to older generations.
func (g *group) resetForGeneration(now time.Duration, generation model.Generation) {
	g.generationAt = now
	g.seal = sealRecord{generation: generation, confirmed: map[model.InstanceID]bool{}}
	g.promotion = promotionRecord{}
	g.lost = false
	g.planned = plannedSwitch{}
	g.deposed = map[model.UpstreamID]bool{}
	g.timelineConflict = false
	for _, up := range g.upstreams {
		up.failures = 0
		up.healthyAt = now
	}
}

// decideGroup takes the decisions for one group, and adds to changes what must
// be written to the head row.
func (m *Machine) decideGroup(g *group, changes *edits) {
	gh, found := m.groupHead(g.id)
	if !found {
		m.decideFirstGeneration(g, changes)
		return
	}
	m.applyGroupHead(g, gh)
	m.detect(g, gh)
	if gh.Seal == nil {
		m.decideSeal(g, gh, changes)
		return
	}
	if gh.Seal.By == m.self {
		m.decidePromotion(g, gh, changes)
		return
	}
	m.decideTakeover(g, gh, changes)
}
