package region

import (
	"time"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// RemovalGrace is removalGrace, for tests.
const RemovalGrace = removalGrace

// Registry is a registry, for tests.
type Registry struct{ inner *registry }

// NewRegistry returns an empty registry.
func NewRegistry() Registry { return Registry{newRegistry()} }

// Put, Remove, Replace, Expire, Of and Present are those of the registry.
func (r Registry) Put(upstream catalog.Upstream) bool { return r.inner.put(upstream) }

// Remove is remove.
func (r Registry) Remove(now time.Duration, id model.UpstreamID) { r.inner.remove(now, id) }

// Replace is replace.
func (r Registry) Replace(now time.Duration, all []catalog.Upstream) bool {
	return r.inner.replace(now, all)
}

// Expire is expire.
func (r Registry) Expire(now time.Duration) []model.UpstreamID { return r.inner.expire(now) }

// Of is of.
func (r Registry) Of(group model.GroupID) []catalog.Upstream { return r.inner.of(group) }

// Present is present.
func (r Registry) Present() []catalog.Upstream { return r.inner.present() }

// SeeksPrimary is seeksPrimary.
var SeeksPrimary = seeksPrimary

// ProbersAfter and SpacedInterval are probersAfter and spacedInterval.
var (
	ProbersAfter   = probersAfter
	SpacedInterval = spacedInterval
)
