package failover

import (
	"fmt"
	"sort"
	"time"

	"gypsumdock/pkg/state/model"
)

// group is the volatile state that an instance keeps of one group.
type group struct {
	id        model.GroupID
	specKnown bool
	sync      int
	// upstreams is ordered by ID.
	upstreams []*upstream
	permit    permit
	// stopped is the highest generation that this instance has given up; it
	// never holds a permit for it again.
	stopped model.Generation
	seal    sealRecord
	promote promoteRecord
	votes   map[model.InstanceID]vote
	// lostSince is when the primary was first found lost by the shared view.
	lostSince time.Duration
	lost      bool
	// ownLost is true while this instance's own probes have lost the primary.
	ownLost bool
	planned plannedSwitch
	// leavingSince is when the primary was first found to be leaving.
	leavingSince time.Duration
	// leftAt is when this instance last ordered a switch away from a leaving
	// primary.
	leftAt time.Duration
	// deposed holds the upstreams that were found to take writes in this
	// generation although they are not its primary.
	deposed map[model.UpstreamID]bool
	// probeAskedAt is when a probe was last asked for.
	probeAskedAt time.Duration
	// twin is true once one of them was found on the head's timeline.
	twin bool
}

// upstream is the newest result of the probes of an upstream.
type upstream struct {
	spec  UpstreamSpec
	probe Probed
	// probedAt is when the result arrived.
	probedAt time.Duration
	known    bool
	// healthyAt is the start of the last probe that found it reachable, and,
	// for the head's primary, serving as such.
	healthyAt time.Duration
	failures  int
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
	g.sync = spec.SyncReplicas
}

func (g *group) upstream(id model.UpstreamID) *upstream {
	for _, up := range g.upstreams {
		if up.spec.ID == id {
			return up
		}
	}
	return nil
}

// resumed forgets the failures of probes that were under way during a pause.
func (g *group) resumed(now time.Duration) {
	for _, up := range g.upstreams {
		up.failures = 0
		up.healthyAt = now
	}
	g.lost = false
}

// followGroup brings g in line with gh, the group's newest known state.
func (m *Machine) followGroup(g *group, gh model.GroupHead) {
	g.permit.follow(gh.Generation)
	if g.seal.generation < gh.Generation {
		m.reportStart(g, gh)
		g.startGeneration(m.now, gh.Generation)
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
		g.seal.takenOver = g.seal.takenOver || g.seal.content.By != "" && g.seal.content.By != gh.Seal.By
		g.seal.content = *gh.Seal
		g.seal.contentAt = m.now
		g.promote.ordered = false
	}
	m.stopFor(g, gh.Generation, gh.Seal.Planned)
}

// reportStart reports a generation that follows one that this instance knew.
func (m *Machine) reportStart(g *group, gh model.GroupHead) {
	if g.seal.generation != 0 {
		m.report(ReportGenerationStarted, g.id, fmt.Sprintf("generation %d on %s", gh.Generation, gh.Primary))
	}
}

// startGeneration forgets what belonged to older generations.
func (g *group) startGeneration(now time.Duration, generation model.Generation) {
	g.seal = sealRecord{generation: generation, confirmed: map[model.InstanceID]bool{}}
	g.promote = promoteRecord{}
	g.lost = false
	g.planned = plannedSwitch{}
	g.deposed = map[model.UpstreamID]bool{}
	g.twin = false
	for _, up := range g.upstreams {
		up.failures = 0
		up.healthyAt = now
	}
}

func (m *Machine) decideGroup(g *group, changes *edits) {
	gh, found := m.groupHead(g.id)
	if !found {
		m.decideStart(g, changes)
		return
	}
	m.followGroup(g, gh)
	m.detect(g, gh)
	if gh.Seal == nil {
		m.decideSeal(g, gh, changes)
		return
	}
	if gh.Seal.By == m.self {
		m.decidePromotion(g, gh, changes)
		return
	}
	m.decideTakeOver(g, gh, changes)
}
