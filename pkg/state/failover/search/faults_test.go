package search_test

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

const (
	// Faults begin between faultsFrom and faultsTo. healBound is how long a run
	// continues after heal; it must take writes at the end.
	faultsFrom = 4 * time.Second
	faultsTo   = 16 * time.Second
	healBound  = 22 * time.Second

	// maxPromotionTime bounds the time after a seal at which killCandidate
	// kills the candidate. longestFailover is added to a fault that must
	// outlast a failover.
	maxPromotionTime = 120 * time.Millisecond
	longestFailover  = 5 * time.Second
)

// fault injects a fault into the world. Most faults end after lasts.
type fault func(w *world, lasts time.Duration)

// allFaults holds the faults of the search. One that is listed twice is drawn
// twice as often.
var allFaults = []fault{
	killPrimary, killPrimary, killAnyServer, pauseNode, pauseNode, cutNode, cutNode, cutTable, tableDown, tableSlow,
	badNetwork, killNode, joinNode, partition, partition, stallReplica, requestSwitch, pausePromoter, pausePromoter,
	cutPrimary, killCandidate, killCandidate, unlistNode, pauseInRead, cutAtSeal, leaveServer, moveGroup, moveGroup,
}

// schedule plans a few random faults, the heal that ends them, and in half of
// the runs repeated changes of the configuration.
func (w *world) schedule(faults []fault) {
	w.reportFollows = w.chance(0.5)
	for range 2 + w.rng.IntN(5) {
		chosen := faults[w.rng.IntN(len(faults))]
		lasts := w.between(300*time.Millisecond, 9*time.Second)
		w.after(w.between(faultsFrom, faultsTo), func() { chosen(w, lasts) })
	}
	w.after(faultsTo+4*time.Second, w.heal)
	if w.chance(0.5) {
		w.every(w.between(time.Second, 4*time.Second), w.configure)
	}
}

// configure publishes a configuration, which raises the revision in the head
// row and so conflicts with the instances' writes.
func (w *world) configure() {
	if w.table.down || w.table.head == nil {
		return
	}
	head := w.table.head.Clone()
	head.Revision++
	w.table.put(failover.WriteHead{IfVersion: w.table.head.Version, Head: head})
}

// heal ends all faults and starts new instances until four are alive.
func (w *world) heal() {
	w.healed = true
	w.table.down = false
	w.table.answerLoss = 0
	w.table.delayMax = 4 * time.Millisecond
	w.net.loss = 0
	w.net.repeat = 0
	w.net.delayMax = 3 * time.Millisecond
	w.net.cut = nil
	w.net.cutDC = nil
	for _, up := range w.ups {
		up.alive = true
		up.stalled = false
		up.lag = 0
	}
	alive := 0
	for _, n := range w.nodes {
		n.noTable = false
		n.unlisted = false
		n.noUpstream = map[model.UpstreamID]bool{}
		n.pausedUntil = min(n.pausedUntil, w.now)
		if !n.dead {
			alive++
		}
	}
	for range 4 - alive {
		w.join()
	}
}

func (w *world) anyNode() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

func killPrimary(w *world, lasts time.Duration) {
	up := w.server(w.table.group().Primary)
	up.alive = false
	if w.chance(0.5) {
		w.after(lasts, func() { up.alive = true })
	}
}

func killAnyServer(w *world, lasts time.Duration) {
	up := w.ups[w.rng.IntN(len(w.ups))]
	up.alive = false
	w.after(lasts, func() { up.alive = true })
}

func (n *node) pause(lasts time.Duration) { n.pausedUntil = max(n.pausedUntil, n.w.now+lasts) }

func pauseNode(w *world, lasts time.Duration) { w.anyNode().pause(lasts) }

// pausePromoter kills the primary and, after a random delay, pauses the
// promoter if there is one.
func pausePromoter(w *world, lasts time.Duration) {
	w.server(w.table.group().Primary).alive = false
	delay := w.between(0, 5*time.Second)
	w.after(delay, func() {
		for _, n := range w.nodes {
			seal := w.table.group().Seal
			if seal != nil && seal.By == n.id {
				n.pause(lasts)
			}
		}
	})
}

// killCandidate kills the primary, and the candidate before, during or after
// its promotion.
func killCandidate(w *world, lasts time.Duration) {
	if w.table.onSeal != nil || len(w.started) > 0 {
		return
	}
	w.server(w.table.group().Primary).alive = false
	w.table.onSeal = func(*world) {
		up := w.server(w.table.group().Seal.Candidate)
		w.after(w.between(0, maxPromotionTime), func() { up.alive = false })
		w.after(lasts, func() { up.alive = true })
	}
}

// pauseInRead kills the primary and pauses the next node whose read the table
// executes, before the answer arrives.
func pauseInRead(w *world, lasts time.Duration) {
	killPrimary(w, lasts)
	w.table.onRead = func(n *node) { n.pause(longestFailover + lasts) }
}

// cutAtSeal kills the primary, and isolates a node as soon as the group is
// sealed.
func cutAtSeal(w *world, lasts time.Duration) {
	if w.table.onSeal != nil {
		return
	}
	killPrimary(w, lasts)
	w.table.onSeal = func(*world) { cutNode(w, longestFailover+lasts) }
}

// unlistNode isolates a node and removes it from the platform's list of
// instances, then kills the primary.
func unlistNode(w *world, lasts time.Duration) {
	n := w.anyNode()
	n.unlisted = true
	n.noTable = true
	w.net.isolate(map[model.InstanceID]bool{n.id: true})
	w.after(w.between(0, 2*time.Second), func() { killPrimary(w, lasts) })
	w.after(lasts, func() {
		n.unlisted = false
		n.noTable = false
		w.net.cut = nil
	})
}

// cutNode isolates a node from its peers and the table, at times from the
// upstreams too.
func cutNode(w *world, lasts time.Duration) {
	n := w.anyNode()
	n.noTable = true
	w.net.isolate(map[model.InstanceID]bool{n.id: true})
	upstreams := w.chance(0.3)
	for _, up := range w.ups {
		n.noUpstream[up.id] = upstreams
	}
	w.after(lasts, func() { w.net.cut = nil })
	w.after(w.between(lasts/2, 2*lasts), func() {
		n.noTable = false
		n.noUpstream = map[model.UpstreamID]bool{}
	})
}

func cutTable(w *world, lasts time.Duration) {
	n := w.anyNode()
	n.noTable = true
	w.after(lasts, func() { n.noTable = false })
}

func tableDown(w *world, lasts time.Duration) {
	w.table.down = true
	w.after(lasts, func() { w.table.down = false })
}

func tableSlow(w *world, lasts time.Duration) {
	w.table.delayMax = w.between(100*time.Millisecond, 2*time.Second)
	w.table.answerLoss = 0.2 * w.rng.Float64()
	w.after(lasts, func() {
		w.table.delayMax = 4 * time.Millisecond
		w.table.answerLoss = 0
	})
}

func badNetwork(w *world, lasts time.Duration) {
	w.net.loss = 0.5 * w.rng.Float64()
	w.net.repeat = 0.2
	w.net.delayMax = w.between(20*time.Millisecond, time.Second)
	w.after(lasts, func() {
		w.net.loss = 0
		w.net.repeat = 0
		w.net.delayMax = 3 * time.Millisecond
	})
}

func killNode(w *world, lasts time.Duration) {
	w.anyNode().dead = true
	if w.chance(0.7) {
		w.after(lasts, func() { w.join() })
	}
}

func joinNode(w *world, _ time.Duration) {
	w.join()
	if w.chance(0.5) {
		w.join()
	}
}

// partition splits the instances into two sides: one cannot reach the table,
// the other cannot reach the primary.
func partition(w *world, lasts time.Duration) {
	side := map[model.InstanceID]bool{}
	primary := w.table.group().Primary
	for range w.rng.IntN(3) {
		w.join()
	}
	for _, n := range w.nodes {
		if w.chance(0.5) {
			side[n.id] = true
			n.noTable = true
			continue
		}
		n.noUpstream[primary] = true
	}
	w.net.isolate(side)
	w.after(lasts, func() {
		w.net.cut = nil
		for _, n := range w.nodes {
			n.noTable = false
			n.noUpstream = map[model.UpstreamID]bool{}
		}
	})
}

// cutPrimary cuts the primary's data centre off from the others.
func cutPrimary(w *world, lasts time.Duration) {
	cut := w.server(w.table.group().Primary).dc
	w.net.cutDC = map[model.DataCentre]map[model.DataCentre]bool{}
	for i := range 3 {
		w.net.cutDC[dataCentre(i)] = map[model.DataCentre]bool{}
		for j := range 3 {
			w.net.cutDC[dataCentre(i)][dataCentre(j)] = i != j && (dataCentre(i) == cut || dataCentre(j) == cut)
		}
	}
	w.after(lasts, func() { w.net.cutDC = nil })
}

// leaveServer marks an upstream as leaving. The instances learn of it at
// different times.
func leaveServer(w *world, lasts time.Duration) {
	up := w.ups[w.rng.IntN(len(w.ups))]
	w.setLeaving(up, true)
	w.after(lasts, func() { w.setLeaving(up, false) })
}

func (w *world) setLeaving(up *server, leaving bool) {
	up.leaving = leaving
	for _, n := range w.nodes {
		w.after(w.between(0, 2*time.Second), func() {
			n.deliver(func() { n.handle(w.bundle(0)) })
		})
	}
}

func stallReplica(w *world, lasts time.Duration) {
	up := w.ups[w.rng.IntN(len(w.ups))]
	up.stalled = true
	w.after(lasts, func() { up.stalled = false })
}

func requestSwitch(w *world, _ time.Duration) {
	target := w.ups[w.rng.IntN(len(w.ups))].id
	n := w.anyNode()
	n.deliver(func() { n.handle(failover.SwitchRequested{Group: groupID, Target: target}) })
}

// moveGroup hands the group over to some of the nodes, and back to all of them
// later. The nodes learn of either at different times.
func moveGroup(w *world, lasts time.Duration) {
	var servers []model.InstanceID
	for _, n := range w.nodes {
		if w.chance(0.6) {
			servers = append(servers, n.id)
		}
	}
	if len(servers) == 0 {
		servers = append(servers, w.anyNode().id)
	}
	w.tellServers(servers)
	w.after(lasts, func() { w.tellServers(nil) })
}

// tellServers tells all nodes who serves the group; nil means all of them. A
// node that does not serve it no longer knows the group.
func (w *world) tellServers(servers []model.InstanceID) {
	for _, n := range w.nodes {
		event := w.bundle(0)
		event.Groups[0].Servers = servers
		if servers != nil && !slices.Contains(servers, n.id) {
			event = failover.BundleAdopted{}
		}
		w.after(w.between(0, 2*time.Second), func() {
			n.deliver(func() { n.handle(event) })
		})
	}
}
