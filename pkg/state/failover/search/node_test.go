package search_test

import (
	"fmt"
	"time"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// node is a simulated instance: a real failover.Machine with its own clock, and
// traffic that writes.
type node struct {
	w  *world
	id model.InstanceID
	dc model.DataCentre
	// hardware is the number of the machine on which it runs.
	hardware int
	machine  *failover.Machine
	view     failover.View
	bootedAt time.Duration
	// rate is the speed of its clock relative to the world's time.
	rate        float64
	pausedUntil time.Duration
	dead        bool
	// noTable cuts the node off from the table, and unlisted removes it from
	// the platform's list.
	noTable  bool
	unlisted bool
	// inFlight counts the writes that wait for an answer of the upstream.
	inFlight int
	// promoting is true while the platform carries out an order of the node.
	promoting bool
	// noUpstream holds the upstreams that the node cannot reach.
	noUpstream map[model.UpstreamID]bool
}

const (
	// maxClockError is the largest deviation of a clock's rate from 1. Two
	// clocks diverge by less than the default failover.Config.Drift in a permit
	// lifetime.
	maxClockError       = 0.03
	searchMaxPromise    = 8 * time.Second
	searchEvictAfter    = 6 * time.Second
	timeBeforeFirstTick = 10 * time.Millisecond
)

// join starts a new instance on a machine of its own.
func (w *world) join() *node { return w.joinOn(len(w.nodes)) }

// joinOn starts a new instance on the machine with this number.
func (w *world) joinOn(hardware int) *node {
	n := &node{
		w: w, id: model.InstanceID(fmt.Sprintf("i%02d", len(w.nodes)+1)), hardware: hardware, dc: dataCentre(hardware), bootedAt: w.now - time.Second,
		rate: 1 + maxClockError*(2*w.rng.Float64()-1), noUpstream: map[model.UpstreamID]bool{},
	}
	config := failover.Config{
		Self: model.Member{
			ID: n.id, DataCentre: n.dc, Address: "127.0.0.1:0", Machine: fmt.Sprintf("machine-%d", hardware),
		},
		MaxPromiseTime: searchMaxPromise,
		EvictAfter:     searchEvictAfter,
		Rules:          w.rules,
	}
	if w.hosted != nil {
		w.hosted.configure(&config)
	}
	n.machine = failover.New(config)
	w.nodes = append(w.nodes, n)
	start := w.between(timeBeforeFirstTick, 10*timeBeforeFirstTick)
	w.after(start, func() { n.handle(w.bundle(0)) })
	n.every(start, tickInterval, func() { n.handle(failover.Tick{}) })
	n.every(start, probeInterval, n.probeAll)
	n.every(start, w.writeEvery, n.write)
	n.every(start, listEvery, n.list)
	return n
}

// bundle returns the configuration of the group, in which routes wait for up to
// sync replicas before they acknowledge a write.
func (w *world) bundle(sync int) failover.BundleAdopted {
	spec := failover.GroupSpec{ID: groupID, SyncReplicas: sync}
	for _, up := range w.ups {
		spec.Upstreams = append(spec.Upstreams, failover.UpstreamSpec{ID: up.id, DataCentre: up.dc, Leaving: up.leaving})
	}
	return failover.BundleAdopted{Groups: []failover.GroupSpec{spec}}
}

// every repeats run while the node lives. A pause of the node delays it.
func (n *node) every(start, interval time.Duration, run func()) {
	n.w.after(start, func() {
		if n.dead {
			return
		}
		n.deliver(run)
		n.every(max(interval, n.pausedUntil-n.w.now), interval, run)
	})
}

// deliver calls run now, or at the end of the node's pause.
func (n *node) deliver(run func()) {
	if n.dead {
		return
	}
	if n.w.now < n.pausedUntil {
		n.w.after(n.pausedUntil-n.w.now, func() { n.deliver(run) })
		return
	}
	run()
}

// lists reports whether the newest row that the node knows lists the instance.
func (n *node) lists(id model.InstanceID) bool {
	if n.view.Head == nil {
		return false
	}
	_, found := n.view.Head.Member(id)
	return found
}

// clock returns the node's monotonic time.
func (n *node) clock() time.Duration {
	return time.Duration(float64(n.w.now-n.bootedAt) * n.rate)
}

// permit returns the generation of the node's permit, and whether the permit is
// valid.
func (n *node) permit() (model.Generation, bool) {
	if n.dead {
		return 0, false
	}
	view, found := n.view.Group(groupID)
	return view.Generation, found && n.clock() < view.PermitUntil
}

func (n *node) handle(event failover.Event) {
	actions := n.machine.Handle(n.clock(), event)
	n.view = n.machine.View()
	n.w.checkOnePrimary(n)
	n.w.checkReplicas(n)
	for _, action := range actions {
		n.carryOut(action)
	}
	n.reportDrained()
}

func (n *node) carryOut(action failover.Action) {
	switch a := action.(type) {
	case failover.ReadHead:
		n.w.table.read(n)
	case failover.WriteHead:
		n.w.table.write(n, a)
	case failover.SendPeer:
		n.w.net.send(n, a.To, a.Message)
	case failover.ProbeNow:
		n.probeAll()
	case failover.Promote:
		n.promote(a)
	case failover.Report:
		n.w.log = append(n.w.log, logEntry{at: n.w.now, node: n.id, report: a})
	}
}

func (n *node) list() {
	listed := failover.InstancesListed{}
	for _, other := range n.w.nodes {
		if !other.dead && !other.unlisted {
			listed.Instances = append(listed.Instances, failover.ListedInstance{ID: other.id})
		}
	}
	n.w.after(n.w.between(0, 2*listEvery), func() { n.deliver(func() { n.handle(listed) }) })
}

func (n *node) reaches(up *server) bool {
	return up.alive && !n.noUpstream[up.id] && !n.w.net.cutDC[n.dc][up.dc]
}

func (n *node) probeAll() {
	for _, up := range n.w.ups {
		n.probe(up)
	}
}

func (n *node) probe(up *server) {
	result := failover.Probed{Group: groupID, Upstream: up.id, StartedAt: n.clock()}
	n.w.after(n.w.net.delay(), func() {
		back := n.w.net.delay()
		if n.reaches(up) && up.busy {
			return
		}
		if n.reaches(up) {
			result.Reachable = true
			result.Timeline = up.timeline
			result.Recovering = up.recovering
			result.LSN = up.lsn
			if up.recovering && n.w.reportFollows && up.follows != nil {
				result.Follows = up.follows.id
			}
		} else {
			back = probeTimeout
		}
		n.w.after(back, func() { n.deliver(func() { n.handle(result) }) })
	})
}

func (n *node) promote(a failover.Promote) {
	current := n.w.table.group()
	if current.Seal != nil && current.Seal.By == n.id && current.Seal.Candidate == a.Upstream {
		n.w.checkNoPermitBelow(current.Seal.Next, "its successor is promoted")
	}
	if n.w.hosted != nil {
		n.orderPromotion(a)
		return
	}
	up := n.w.server(a.Upstream)
	answer := failover.Promoted{Group: a.Group, Upstream: a.Upstream, Next: a.Next}
	n.w.after(n.w.net.delay(), func() {
		if !n.reaches(up) {
			n.w.after(probeTimeout, func() { n.deliver(func() { n.handle(answer) }) })
			return
		}
		n.w.after(n.w.between(20*time.Millisecond, 60*time.Millisecond), func() {
			n.w.promoteServer(up)
			answer.OK = true
			answer.Timeline = up.timeline
			answer.StartLSN = up.startLSN
			if n.w.net.isLost() {
				return
			}
			n.w.after(n.w.net.delay(), func() { n.deliver(func() { n.handle(answer) }) })
		})
	})
}

// write sends a write if the node has a valid permit. The answer leads to
// acknowledge.
func (n *node) write() {
	view, found := n.view.Group(groupID)
	if !found || view.Sealed || n.clock() >= view.PermitUntil {
		return
	}
	up := n.w.server(view.Primary)
	n.inFlight++
	n.w.after(n.w.net.delay(), func() {
		if !n.reaches(up) || up.recovering {
			n.w.after(probeTimeout, func() { n.deliver(n.writeEnded) })
			return
		}
		up.lsn += 10
		done := ack{generation: view.Generation, branch: up.branch, lsn: up.lsn, deposed: n.w.isDeposed(up)}
		n.w.after(n.w.net.delay(), func() {
			n.deliver(func() { n.acknowledge(up, done) })
		})
	})
}

// writeEnded records that a write is no longer in flight.
func (n *node) writeEnded() {
	n.inFlight--
	n.reportDrained()
}

func (n *node) reportDrained() {
	view, _ := n.view.Group(groupID)
	if view.Draining && n.inFlight == 0 {
		n.handle(failover.WritesDrained{Group: groupID, Generation: view.Generation})
	}
}

// acknowledge ends a write that the upstream has answered. The caller gets the
// acknowledgement only if the node still has a valid permit of the write's
// generation.
func (n *node) acknowledge(up *server, done ack) {
	defer n.writeEnded()
	generation, held := n.permit()
	if !held || generation != done.generation || !n.reaches(up) {
		return
	}
	done.at = n.w.now
	n.w.checkAck(n, done)
}
