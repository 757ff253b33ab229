package region

import (
	"time"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// RemovalGrace exports removalGrace to the tests.
const RemovalGrace = removalGrace

// Registry exports registry and its methods to the tests.
type Registry struct{ inner *registry }

// NewRegistry returns an empty registry.
func NewRegistry() Registry { return Registry{newRegistry()} }

// Put calls put.
func (r Registry) Put(upstream catalog.Upstream) bool { return r.inner.put(upstream) }

// Remove calls remove.
func (r Registry) Remove(now time.Duration, id model.UpstreamID) { r.inner.remove(now, id) }

// Replace calls replace.
func (r Registry) Replace(now time.Duration, all []catalog.Upstream) bool {
	return r.inner.replace(now, all)
}

// Expire calls expire.
func (r Registry) Expire(now time.Duration) []model.UpstreamID { return r.inner.expire(now) }

// ByGroup calls byGroup.
func (r Registry) ByGroup(group model.GroupID) []catalog.Upstream { return r.inner.byGroup(group) }

// Present calls present.
func (r Registry) Present() []catalog.Upstream { return r.inner.present() }

// IsPromoted exports isPromoted to the tests.
var IsPromoted = isPromoted

// SeeksPrimary exports seeksPrimary to the tests.
var SeeksPrimary = seeksPrimary

// ProberCount and ProbeIntervalFor export proberCount and probeIntervalFor to
// the tests.
var (
	ProberCount      = proberCount
	ProbeIntervalFor = probeIntervalFor
)

// ObserveIntervalFor exports observeIntervalFor, and ObserveInterval and
// QuickObserveInterval what it returns, to the tests.
var ObserveIntervalFor = observeIntervalFor

const (
	ObserveInterval      = observeInterval
	QuickObserveInterval = quickObserveInterval
)
