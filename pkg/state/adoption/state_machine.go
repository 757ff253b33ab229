package adoption

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// maxSources bounds the peers that are kept as sources of a bundle.
const maxSources = 8

// Options configures a StateMachine.
type Options struct {
	// FetchTimeout is how long a fetch may take before another source is
	// asked.
	FetchTimeout time.Duration
	// AnnounceInterval is the time between two announcements to peers.
	AnnounceInterval time.Duration
	// BehindAfter is the time without the bundle of the target revision after
	// which the instance is reported as behind.
	BehindAfter time.Duration
	// AcceptOlder switches off the rule that only a higher revision is adopted.
	// Only tests set it, to show what the rule prevents.
	AcceptOlder bool
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		FetchTimeout:     time.Second,
		AnnounceInterval: time.Second,
		BehindAfter:      3 * time.Second,
	}
}

// StateMachine holds the configuration state of one instance. It is not safe
// for concurrent use.
type StateMachine struct {
	options Options

	// active is the zero BundleRef before the first adoption.
	active      BundleRef
	bundle      *bundle.Bundle
	announcedAt time.Duration

	// target is the highest revision known. It equals active unless its bundle
	// has yet to be fetched.
	target         BundleRef
	targetSince    time.Duration
	behindReported bool
	// sources lists the peers where target is active, ordered by ID.
	sources []model.InstanceID
	// fetches counts the fetches of target.
	fetches      int
	fetching     bool
	fetchStarted time.Duration
}

// New returns the state machine of an instance without a configuration.
func New(options Options) *StateMachine {
	return &StateMachine{options: options}
}

// Active returns the active bundle and its reference. The bundle is nil before
// the first adoption. Event names, JSON fields and the command line call the
// active bundle "in force".
func (m *StateMachine) Active() (BundleRef, *bundle.Bundle) { return m.active, m.bundle }

// Target returns the reference of the highest revision known.
func (m *StateMachine) Target() BundleRef { return m.target }

// Step handles an event at the time now and returns the actions to carry out.
func (m *StateMachine) Step(now time.Duration, event Event) []Action {
	switch e := event.(type) {
	case RevisionSeen:
		return m.revisionSeen(now, e)
	case Fetched:
		return m.fetchAnswered(now, e)
	default:
		return m.tick(now)
	}
}

func (m *StateMachine) revisionSeen(now time.Duration, e RevisionSeen) []Action {
	switch {
	case e.Ref.Revision == m.target.Revision && e.Ref.Digest != m.target.Digest:
		return []Action{Report{ReportRefused, e.Ref, "revision was seen before with a different digest"}}
	case e.Ref.Revision <= m.active.Revision:
		return nil
	case e.Ref.Revision < m.target.Revision:
		return nil
	case e.Ref.Revision > m.target.Revision:
		m.setTarget(now, e.Ref)
	}
	m.addSource(e.From)
	if m.fetching {
		return nil
	}
	return []Action{m.fetch(now)}
}

// setTarget makes ref the target. A fetch of the previous target may still be
// answered.
func (m *StateMachine) setTarget(now time.Duration, ref BundleRef) {
	m.target = ref
	m.targetSince = now
	m.behindReported = false
	m.sources = nil
	m.fetches = 0
	m.fetching = false
}

func (m *StateMachine) addSource(id model.InstanceID) {
	if id == "" || len(m.sources) >= maxSources {
		return
	}
	at, found := slices.BinarySearch(m.sources, id)
	if !found {
		m.sources = slices.Insert(m.sources, at, id)
	}
}

// fetch returns a fetch of target from the next source: the object store first,
// then each peer in turn.
func (m *StateMachine) fetch(now time.Duration) Fetch {
	source := m.fetches % (len(m.sources) + 1)
	m.fetches++
	m.fetching = true
	m.fetchStarted = now
	if source == 0 {
		return Fetch{Ref: m.target}
	}
	return Fetch{Ref: m.target, From: m.sources[source-1]}
}

func (m *StateMachine) fetchAnswered(now time.Duration, e Fetched) []Action {
	if e.Ref == m.target {
		m.fetching = false
	}
	if e.Failed || (e.Ref.Revision <= m.active.Revision && !m.options.AcceptOlder) {
		return nil
	}
	adopted, err := bundle.Decode(e.Data, e.Ref.Digest)
	if err != nil {
		return []Action{Report{ReportRefused, e.Ref, err.Error()}}
	}
	return m.adopt(now, e, adopted)
}

func (m *StateMachine) adopt(now time.Duration, e Fetched, adopted *bundle.Bundle) []Action {
	draining := removedRoutes(m.bundle, adopted)
	m.active, m.bundle = e.Ref, adopted
	m.announcedAt = now
	actions := []Action{
		Adopt{Ref: e.Ref, Bundle: adopted, Data: e.Data, DrainingRoutes: draining},
		Announce{Ref: e.Ref},
		Report{ReportAdopted, e.Ref, ""},
	}
	for _, route := range draining {
		actions = append(actions, Report{ReportRouteDraining, e.Ref, route})
	}
	return actions
}

// removedRoutes returns the names of the routes that are in before but not in
// after.
func removedRoutes(before, after *bundle.Bundle) []string {
	if before == nil {
		return nil
	}
	var removed []string
	for i := range before.Routes {
		name := before.Routes[i].Name
		kept := slices.ContainsFunc(after.Routes, func(r bundle.Route) bool { return r.Name == name })
		if !kept {
			removed = append(removed, name)
		}
	}
	return removed
}

func (m *StateMachine) tick(now time.Duration) []Action {
	var actions []Action
	if m.active.Revision > 0 && now >= m.announcedAt+m.options.AnnounceInterval {
		m.announcedAt = now
		actions = append(actions, Announce{Ref: m.active})
	}
	if m.target.Revision <= m.active.Revision {
		return actions
	}
	if !m.fetching || now >= m.fetchStarted+m.options.FetchTimeout {
		actions = append(actions, m.fetch(now))
	}
	if !m.behindReported && now >= m.targetSince+m.options.BehindAfter {
		m.behindReported = true
		actions = append(actions, Report{ReportBehind, m.target, ""})
	}
	return actions
}
