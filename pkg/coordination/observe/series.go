package observe

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/verdict"
)

// Label values of outcomes and targets.
const (
	labelRan        = "ran"
	labelNotRun     = "not_run"
	labelMayHaveRun = "may_have_run"
	labelPrimary    = "primary"
	labelReplica    = "replica"
	// labelNoGroup is the group label of units whose database no group serves.
	labelNoGroup = "none"
)

// groupSeries holds the metrics of a group. seconds measures units from arrival to
// answer, waited the time in Admit.
type groupSeries struct {
	requests, retries, shed, writesLost *metrics.Counter
	answers                             map[verdict.Outcome]*metrics.Counter
	primaryReads, replicaReads          *metrics.Counter
	seconds, waited                     *metrics.Histogram
}

func newGroupSeries(group string) *groupSeries {
	return &groupSeries{
		requests:   telemetry.Requests.With(group),
		retries:    telemetry.Retries.With(group),
		shed:       telemetry.AdmissionRefused.With(group),
		writesLost: telemetry.WritesLost.With(group),
		answers: map[verdict.Outcome]*metrics.Counter{
			verdict.Ran:        telemetry.Answers.With(group, labelRan),
			verdict.NotRun:     telemetry.Answers.With(group, labelNotRun),
			verdict.MayHaveRun: telemetry.Answers.With(group, labelMayHaveRun),
		},
		primaryReads: telemetry.Reads.With(group, labelPrimary),
		replicaReads: telemetry.Reads.With(group, labelReplica),
		seconds:      telemetry.RequestSeconds.With(group),
		waited:       telemetry.QueueSeconds.With(group),
	}
}

// cache creates values by key on first use and keeps them. Reads of known keys take
// no lock and allocate nothing. Nothing is removed: the keys come from the
// configuration, so that the cache stays small.
type cache[K comparable, V any] struct {
	values atomic.Pointer[map[K]V]
	mu     sync.Mutex
	make   func(K) V
}

func newCache[K comparable, V any](create func(K) V) *cache[K, V] {
	c := &cache[K, V]{make: create}
	c.values.Store(&map[K]V{})
	return c
}

// get returns the value of key, and creates it on first use.
func (c *cache[K, V]) get(key K) V {
	if value, ok := (*c.values.Load())[key]; ok {
		return value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := *c.values.Load()
	if value, ok := current[key]; ok {
		return value
	}
	next := maps.Clone(current)
	next[key] = c.make(key)
	c.values.Store(&next)
	return next[key]
}

// groupCache returns a cache of the metrics of groups.
func groupCache() *cache[model.GroupID, *groupSeries] {
	return newCache(func(id model.GroupID) *groupSeries { return newGroupSeries(string(id)) })
}

// upstreamCache returns a cache of the latency histograms of upstreams.
func upstreamCache() *cache[model.UpstreamID, *metrics.Histogram] {
	return newCache(func(id model.UpstreamID) *metrics.Histogram { return telemetry.UpstreamSeconds.With(string(id)) })
}
