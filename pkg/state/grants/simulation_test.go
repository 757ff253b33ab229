package grants_test

import (
	"fmt"
	"time"

	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

const (
	db       = model.UpstreamID("hire-a")
	capacity = 7
	reserve  = 1
)

// chooser returns a number below n; it drives the schedule of a world.
type chooser func(n int) int

// node is an instance: the real machine under a clock of its own rate.
type node struct {
	id      model.InstanceID
	rate    time.Duration // percent
	machine *grants.Machine
	open    int
	busy    int
	waiting int
	dead    bool
}

func (n *node) clock(now time.Duration) time.Duration { return now * n.rate / 100 }

// world is one upstream, the table and the instances. Messages are delivered
// in any order, late or never.
type world struct {
	pick     chooser
	config   grants.Config
	capacity int
	now      time.Duration
	version  model.RowVersion
	row      *grants.Row
	members  []model.InstanceID
	head     uint64
	down     bool
	nodes    []*node
	flight   []func()
	writes   int
	mostOpen int
	broken   error
}

// newWorld returns a world of three instances with short times.
func newWorld(pick chooser, rules grants.Rules) *world {
	config := grants.Config{
		LeaseLifetime: 200 * time.Millisecond, Drift: 30 * time.Millisecond, IdleTimeout: 100 * time.Millisecond,
		ReadInterval: 100 * time.Millisecond, ShortageReadInterval: 50 * time.Millisecond, SpareConnections: 1, Rules: rules,
	}
	w := &world{pick: pick, config: config, capacity: capacity, head: 1}
	for range 3 {
		w.join()
	}
	return w
}

func (w *world) join() {
	n := &node{id: model.InstanceID(fmt.Sprintf("i%d", len(w.nodes)+1)), rate: time.Duration(96 + w.pick(9))}
	config := w.config
	config.Self = n.id
	n.machine = grants.New(config)
	w.nodes = append(w.nodes, n)
	w.members = append(append([]model.InstanceID{}, w.members...), n.id)
	w.head++
	w.handle(n, grants.UpstreamsAdopted{Upstreams: []grants.UpstreamCapacity{{ID: db, Connections: w.capacity, Reserve: reserve}}})
}

// handle gives an event to a node and carries out its actions.
func (w *world) handle(n *node, event grants.Event) {
	if n.dead {
		return
	}
	for _, action := range n.machine.Handle(n.clock(w.now), event) {
		w.carryOut(n, action)
	}
}

func (w *world) send(deliver func()) { w.flight = append(w.flight, deliver) }

func (w *world) carryOut(n *node, action grants.Action) {
	switch a := action.(type) {
	case grants.ReadRow:
		asked := n.clock(w.now)
		w.send(func() {
			read := grants.RowRead{Upstream: db, AskedAt: asked, Version: w.version, Row: w.row, Failed: w.down}
			w.send(func() { w.handle(n, read) })
		})
	case grants.WriteRow:
		w.send(func() { w.write(n, a) })
	case grants.CloseConnections:
		n.open = min(n.open, max(a.Keep, n.busy))
		w.send(func() { w.report(n) })
	case grants.CountConnections:
		w.count(n, a)
	case grants.HintPeer:
		w.send(func() { w.handle(w.find(a.To), grants.HintReceived{Upstream: db}) })
	}
}

func (w *world) write(n *node, a grants.WriteRow) {
	answer := grants.RowWritten{Op: a.Op, Upstream: db}
	switch {
	case w.down && w.pick(2) == 0:
	case a.IfVersion != w.version:
		answer.Outcome = grants.WriteConflict
	default:
		w.version++
		w.writes++
		w.row = a.Row
		answer.Outcome = grants.WriteApplied
	}
	if w.down {
		answer.Outcome = grants.WriteUnknown
	}
	if answer.Outcome != grants.WriteUnknown {
		answer.Version, answer.Row = w.version, w.row
	}
	w.send(func() { w.handle(n, answer) })
}

func (w *world) count(n *node, a grants.CountConnections) {
	asked := n.clock(w.now)
	w.send(func() {
		gone := w.find(a.Instance)
		if w.pick(2) == 0 {
			gone.open, gone.busy = 0, 0
		}
		answer := grants.ConnectionsCounted{Upstream: db, Instance: a.Instance, AskedAt: asked, Count: gone.open}
		w.send(func() { w.handle(n, answer) })
	})
}

func (w *world) find(id model.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) report(n *node) {
	w.handle(n, grants.Usage{Upstream: db, Open: n.open, Busy: n.busy, Waiting: n.waiting})
}

// confirm reads the members; the answer may arrive late.
func (w *world) confirm(n *node) {
	asked := n.clock(w.now)
	w.send(func() {
		if w.down {
			return
		}
		event := grants.MembershipConfirmed{AskedAt: asked, Version: w.head, Members: w.members}
		w.send(func() { w.handle(n, event) })
	})
}

// openOne opens a connection if the node may.
func (w *world) openOne(n *node) {
	if n.dead || n.open >= n.machine.Limit(n.clock(w.now), db) {
		return
	}
	n.open++
}

// changeMembers removes a member, which may be alive, or lets a removed one or
// a new one in.
func (w *world) changeMembers() {
	n := w.nodes[w.pick(len(w.nodes))]
	var rest []model.InstanceID
	for _, id := range w.members {
		if id != n.id {
			rest = append(rest, id)
		}
	}
	switch {
	case len(rest) == len(w.members) && !n.dead:
		w.members = append(append([]model.InstanceID{}, w.members...), n.id)
		w.head++
	case len(rest) < len(w.members) && len(rest) > 1:
		w.members = rest
		w.head++
		n.dead = n.dead || w.pick(3) == 0
	case len(w.nodes) < 6:
		w.join()
	}
}

// check verifies that the sum of open connections and that of the grants stay
// within the limit.
func (w *world) check() {
	open := 0
	for _, n := range w.nodes {
		open += n.open
	}
	w.mostOpen = max(w.mostOpen, open)
	if open > w.capacity-reserve {
		w.broken = fmt.Errorf("%d connections open of %d", open, w.capacity-reserve)
	}
	if w.row != nil && w.row.Sum() > w.capacity-reserve {
		w.broken = fmt.Errorf("%d connections granted of %d", w.row.Sum(), w.capacity-reserve)
	}
}

func (w *world) step() {
	w.now += time.Duration(w.pick(4)) * time.Millisecond
	n := w.nodes[w.pick(len(w.nodes))]
	action := w.pick(64)
	switch {
	case action < 6:
		w.confirm(n)
	case action < 12:
		w.openOne(n)
	case action < 15:
		n.busy, n.waiting = w.pick(n.open+1), w.pick(4)
		w.report(n)
	case action < 20:
		w.handle(n, grants.Tick{})
	case action < 21 && w.pick(8) == 0:
		w.changeMembers()
	case action < 22 && w.pick(8) == 0:
		w.down = !w.down
	case action < 23 && w.pick(3) == 0:
		w.now += w.config.LeaseLifetime
	case action < 24 && len(w.flight) > 0 && w.pick(3) == 0:
		i := w.pick(len(w.flight)) // the message is lost
		w.flight = append(w.flight[:i], w.flight[i+1:]...)
	case len(w.flight) > 0:
		i := w.pick(min(len(w.flight), 6))
		deliver := w.flight[i]
		w.flight = append(w.flight[:i], w.flight[i+1:]...)
		deliver()
	}
	w.check()
}

func (w *world) run(steps int) error {
	for range steps {
		w.step()
		if w.broken != nil {
			return w.broken
		}
	}
	return nil
}
