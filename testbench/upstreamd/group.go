package upstreamd

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// group is a primary and its replicas. Its mutex guards the state of all.
type group struct {
	id   string
	spec GroupSpec
	// transactions numbers the transactions of the group.
	transactions atomic.Uint64

	mu    sync.Mutex
	nodes []*node
}

func newGroup(spec GroupSpec, log *execLog) *group {
	g := &group{id: spec.ID, spec: spec}
	for i, upstream := range spec.Upstreams {
		n := newNode(g, upstream, log)
		n.primary = i == 0
		g.nodes = append(g.nodes, n)
	}
	return g
}

func (g *group) node(id string) (*node, error) {
	for _, n := range g.nodes {
		if n.id == id {
			return n, nil
		}
	}
	return nil, errors.Errorf("group %s has no upstream %q", g.id, id)
}

// source returns the primary that replicas follow: the one that runs with the
// newest timeline, or nil.
func (g *group) source() *node {
	var newest *node
	for _, n := range g.nodes {
		if !n.primary || n.down || n.frozen() || n.cut {
			continue
		}
		if newest == nil || n.timeline > newest.timeline {
			newest = n
		}
	}
	return newest
}

// replicate brings the replicas up to now. It must run before anything reads a
// replica and before anything stops the primary.
func (g *group) replicate() {
	source := g.source()
	now := time.Now()
	for _, n := range g.nodes {
		if n.primary || n.down || n.frozen() {
			continue
		}
		if source != nil && !n.cut {
			n.receive(source, now)
		}
		if !n.stuck {
			n.replay()
		}
	}
}

// sender returns the node that n streams from, or nil.
func (g *group) sender(n *node) *node {
	source := g.source()
	if source == nil || n.primary || n.cut || n.diverged(source) {
		return nil
	}
	return source
}

// diverged reports whether n has records that source does not have.
func (n *node) diverged(source *node) bool {
	have := len(n.wal)
	return have > len(source.wal) || have > 0 && n.wal[have-1] != source.wal[have-1]
}

// receive takes the records that have been on their way for the lag. A log
// that diverged from the source's receives nothing.
func (n *node) receive(source *node, now time.Time) {
	if n.diverged(source) {
		return
	}
	for _, next := range source.wal[len(n.wal):] {
		if next.at.Add(n.lag).After(now) {
			return
		}
		n.wal = append(n.wal, next)
	}
}
