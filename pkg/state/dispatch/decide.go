package dispatch

import (
	"cmp"
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// guaranteedShare is the part of the slot time that each priority but the
	// highest is guaranteed while it has units waiting: one in guaranteedShare.
	guaranteedShare = 8
	// maxOwed bounds the slot time that a priority may be behind its share, so
	// that it does not hold the slots for long after a time in which its units
	// could not run anyway.
	maxOwed = 200 * time.Millisecond
	// laggingRecheckInterval is the interval at which a queued read is checked
	// for a replica that has caught up.
	laggingRecheckInterval = 20 * time.Millisecond
	// maxRechecks bounds the checks of one call of DecideWaiting.
	maxRechecks = 16
	// maxSetAside bounds the units of a lane that one call of DecideWaiting tries
	// in vain, because the upstreams with room are not usable for them.
	maxSetAside = 16
)

// Decision ends the wait of a queued unit. Either Placement or Refusal is set.
type Decision struct {
	Unit      *Unit
	Placement *Placement
	Refusal   *Refusal
}

// DecideWaiting places the queued units that can run now, and refuses those
// that can no longer be served in time. The others stay in the queue.
func (g *Group) DecideWaiting(now time.Duration) []Decision {
	if len(g.waiting) == 0 {
		return nil
	}
	g.recordIdle(now)
	decisions := g.refuseWaiting(now, nil)
	moved := g.moveOverdue(now)
	g.recheckLagging(now)
	decisions = g.placeWaiting(now, decisions)
	return g.refuseOverdue(now, moved, decisions)
}

// recheckLagging finds the reads for which a replica has caught up.
func (g *Group) recheckLagging(now time.Duration) {
	for range maxRechecks {
		first := g.rechecks.first()
		if first == nil || now < first.recheckAt {
			return
		}
		g.checkLagging(now, first)
	}
}

// placementPass is the state of one call of placeWaiting.
type placementPass struct {
	group *Group
	now   time.Duration
	// setAside holds the units that could not be placed, in the order in which
	// they were taken from the queue.
	setAside []*waitingUnit
}

// placeWaiting places the queued units that can run now.
func (g *Group) placeWaiting(now time.Duration, decisions []Decision) []Decision {
	if len(g.waiting) == 0 || !g.anyHasRoomFor(now, "") {
		return decisions
	}
	pass := placementPass{group: g, now: now}
	for _, l := range g.lines {
		l.failures = [laneCount]int{}
	}
	for {
		item, guaranteed := pass.next()
		if item == nil {
			break
		}
		w := item.Value
		late := w.isLate()
		w.line.units.Take(item)
		placement := g.place(now, w.unit)
		if placement == nil {
			pass.fail(w)
			continue
		}
		g.chargeWaiting(now, w, placement, guaranteed)
		if late {
			g.lateServed(w.unit.NeedsPrimary).count(now)
		}
		g.forget(w)
		decisions = append(decisions, Decision{Unit: w.unit, Placement: placement})
	}
	for i := len(pass.setAside) - 1; i >= 0; i-- {
		w := pass.setAside[i]
		w.line.units.Restore(w.item)
		g.checkLagging(now, w)
	}
	return decisions
}

// fail sets a unit aside until the end of the pass.
func (p *placementPass) fail(w *waitingUnit) {
	p.setAside = append(p.setAside, w)
	w.line.failures[w.item.Lane()]++
}

// next returns the next unit to place, and whether it is taken because of the
// guaranteed share of its priority. Late units come after all others.
func (p *placementPass) next() (item *queuedUnit, guaranteed bool) {
	if item, guaranteed = p.nextOf(laneOnTime, laneLagging); item != nil {
		return item, guaranteed
	}
	return p.nextOf(laneLate, laneLateLagging)
}

// rank orders the units that could be placed next; the lowest comes first.
type rank int

const (
	// rankGuaranteed is that of a priority that is behind its guaranteed share.
	rankGuaranteed rank = iota
	rankUsual
	// rankExcess is that of a caller that uses more than its share of the slots
	// with this priority and higher ones.
	rankExcess
)

// nextOf returns the next unit of two lanes. Ranks and priorities order the units
// of a kind, and only priorities the two kinds: a caller whose writes take much
// of the primary is not put behind reads that could run elsewhere.
func (p *placementPass) nextOf(ready, lagging int) (best *queuedUnit, guaranteed bool) {
	for _, needsPrimary := range [...]bool{true, false} {
		item, first := p.nextOfKind(needsPrimary, ready, lagging)
		if item != nil && (best == nil || comparePriority(item.Value, best.Value) < 0) {
			best, guaranteed = item, first == rankGuaranteed
		}
	}
	return best, guaranteed
}

// nextOfKind returns the next unit of a kind in two lanes, by rank and priority.
func (p *placementPass) nextOfKind(needsPrimary bool, ready, lagging int) (best *queuedUnit, bestRank rank) {
	for _, l := range p.group.lines {
		for _, lane := range [...]int{ready, lagging} {
			if l.needsPrimary != needsPrimary || l.units.QueuedIn(lane) == 0 || l.failures[lane] >= maxSetAside {
				continue
			}
			item := p.firstWithRoom(l, lane)
			if item == nil {
				continue
			}
			rank := p.rankOf(l, item.Value.unit)
			if best == nil || rank < bestRank || rank == bestRank && comparePriority(item.Value, best.Value) < 0 {
				best, bestRank = item, rank
			}
		}
	}
	return best, bestRank
}

// rankOf returns the rank of a unit of the line.
func (p *placementPass) rankOf(l *line, unit *Unit) rank {
	switch {
	case l.owed > 0 && l.owed >= p.group.averageLatency(unit.Route):
		return rankGuaranteed
	case p.group.isExcessive(p.now, unit.Caller, l):
		return rankExcess
	default:
		return rankUsual
	}
}

// comparePriority orders units by priority, deadline and arrival.
func comparePriority(a, b *waitingUnit) int {
	return cmp.Or(
		cmp.Compare(a.unit.Priority, b.unit.Priority),
		cmp.Compare(a.unit.Deadline, b.unit.Deadline),
		cmp.Compare(a.unit.sequence, b.unit.sequence),
	)
}

// firstWithRoom returns the next unit of the lane, of those whose callers have
// room at an upstream that could run them, or nil. The units of a caller that
// holds all the connections that it may are not tried one by one, as there may
// be more of them than maxSetAside.
func (p *placementPass) firstWithRoom(l *line, lane int) *queuedUnit {
	if !p.hasRoomFor(l, lane, "") {
		return nil
	}
	return l.units.NextOf(lane, func(caller model.CallerName) bool { return p.hasRoomFor(l, lane, caller) })
}

// hasRoomFor reports whether an upstream that could run the units of the lane
// has room for the caller.
func (p *placementPass) hasRoomFor(l *line, lane int, caller model.CallerName) bool {
	if l.needsPrimary {
		return p.group.primaryHasRoomFor(p.now, caller)
	}
	if lane == laneLagging || lane == laneLateLagging {
		return p.group.primaryTakesLagging(p.now, caller)
	}
	return p.group.anyHasRoomFor(p.now, caller)
}

func (g *Group) anyHasRoomFor(now time.Duration, caller model.CallerName) bool {
	return g.primaryHasRoomFor(now, caller) || g.replicaHasRoomFor(now, caller)
}

func (g *Group) primaryHasRoomFor(now time.Duration, caller model.CallerName) bool {
	primary := g.upstream(g.leadership.Primary)
	return primary != nil && g.leadership.acceptsWork(now) && primary.hasRoomFor(now, caller) && primary.isReachable(now)
}

func (g *Group) replicaHasRoomFor(now time.Duration, caller model.CallerName) bool {
	for _, candidate := range g.upstreams {
		if candidate.spec.ID != g.leadership.Primary && !candidate.spec.Draining && candidate.hasRoomFor(now, caller) && candidate.isReachable(now) {
			return true
		}
	}
	return false
}

// chargeWaiting charges a caller for a unit that was taken from the queue, and
// credits the other priorities with their guaranteed shares.
func (g *Group) chargeWaiting(now time.Duration, w *waitingUnit, placement *Placement, guaranteed bool) {
	cost := g.averageLatency(w.unit.Route)
	placement.meter = newMeter(now, w.unit, w.line, w.line.units.Start(w.item.Flow(), cost))
	g.creditOthers(w.line, cost)
	w.line.owed -= cost
	if !guaranteed {
		w.line.owed = max(0, w.line.owed)
	}
}

// chargeDirect charges a caller for a unit that was placed without waiting.
func (g *Group) chargeDirect(now time.Duration, unit *Unit, placement *Placement) {
	cost := g.averageLatency(unit.Route)
	l := g.line(unit.Priority, unit.NeedsPrimary)
	placement.meter = newMeter(now, unit, l, l.units.StartUnqueued(l.flow(unit), cost))
	g.creditOthers(l, cost)
}

// creditOthers credits the other waiting lines of the same kind with their
// guaranteed shares of a slot time that the line used.
func (g *Group) creditOthers(used *line, cost time.Duration) {
	for _, l := range g.lines {
		waiting := l.units.QueuedIn(laneOnTime)+l.units.QueuedIn(laneLagging) > 0
		if l != used && l.needsPrimary == used.needsPrimary && l.priority > 0 && waiting {
			l.owed = min(maxOwed, l.owed+cost/(guaranteedShare-1))
		}
	}
}

// meter measures the time for which a unit occupies a slot.
type meter struct {
	line        *line
	caller      model.CallerName
	weight      int
	charge      unitCharge
	occupied    time.Duration
	active      bool
	activeSince time.Duration
}

// newMeter returns the meter of a unit that was placed now.
func newMeter(now time.Duration, unit *Unit, l *line, charge unitCharge) meter {
	l.running++
	return meter{line: l, caller: unit.Caller, weight: unit.Weight, charge: charge, activeSince: now, active: true}
}

// start records that a statement occupies a slot.
func (m *meter) start(now time.Duration) {
	if !m.active {
		m.active, m.activeSince = true, now
	}
}

// stop records that no statement occupies a slot.
func (m *meter) stop(now time.Duration) {
	if m.active {
		m.active = false
		m.occupied += now - m.activeSince
	}
}

// settle corrects the charge of a unit's caller by the time for which the unit
// has occupied a slot.
func (g *Group) settle(now time.Duration, m *meter) {
	if m.line == nil {
		return
	}
	m.stop(now)
	m.line.running--
	m.line.units.End(m.charge, m.occupied)
	g.usageOf(m.line).charge(now, g.capacity(m.line.needsPrimary), m.caller, m.line.priority, m.weight, m.occupied)
	m.line = nil
}
