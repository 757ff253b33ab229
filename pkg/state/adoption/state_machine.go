package adoption

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// TickInterval is the time between ticks.
const TickInterval = 100 * time.Millisecond

// maxSources bounds the peers that are remembered as holders of a bundle.
const maxSources = 8

// Options are the machine's times and rules.
type Options struct {
	// FetchTimeout is how long a fetch may take before another source is
	// asked.
	FetchTimeout time.Duration
	// AnnounceInterval is the time between announcements to peers.
	AnnounceInterval time.Duration
	// BehindAfter is the time after which a known but missing bundle is
	// reported.
	BehindAfter time.Duration
	// AcceptOlder drops the rule that only a higher revision is adopted. Only
	// tests set it, to show what the rule prevents.
	AcceptOlder bool
}

// DefaultOptions returns the options for use.
func DefaultOptions() Options {
	return Options{
		FetchTimeout:     time.Second,
		AnnounceInterval: time.Second,
		BehindAfter:      3 * time.Second,
	}
}

// StateMachine holds the configuration state of one instance. It is not safe for
// concurrent use.
type StateMachine struct {
	options Options

	// inForce is the zero Ref before the first adoption.
	inForce  BundleRef
	bundle   *bundle.Bundle
	announce time.Duration

	// target is the highest revision known; it equals inForce when nothing is
	// missing.
	target      BundleRef
	targetSince time.Duration
	reported    bool
	// sources are the peers that have target in force, ordered by ID.
	sources []model.InstanceID
	// attempt counts the fetches of target.
	attempt      int
	fetching     bool
	fetchStarted time.Duration
}

// New returns a machine of an instance that has no configuration.
func New(options Options) *StateMachine {
	return &StateMachine{options: options}
}

// Active returns the bundle in force and its name; the bundle is nil before
// the first adoption.
func (m *StateMachine) Active() (BundleRef, *bundle.Bundle) { return m.inForce, m.bundle }

// Target returns the highest revision known.
func (m *StateMachine) Target() BundleRef { return m.target }

// Step takes an event at the time now and returns what to do.
func (m *StateMachine) Step(now time.Duration, event Event) []Action {
	switch e := event.(type) {
	case RevisionSeen:
		return m.seen(now, e)
	case Fetched:
		return m.fetched(now, e)
	default:
		return m.tick(now)
	}
}

func (m *StateMachine) seen(now time.Duration, e RevisionSeen) []Action {
	switch {
	case e.Ref.Revision == m.target.Revision && e.Ref.Digest != m.target.Digest:
		return []Action{Report{ReportRefused, e.Ref, "the revision is known with another digest"}}
	case e.Ref.Revision <= m.inForce.Revision:
		return nil
	case e.Ref.Revision < m.target.Revision:
		return nil
	case e.Ref.Revision > m.target.Revision:
		m.aim(now, e.Ref)
	}
	m.addSource(e.From)
	if m.fetching {
		return nil
	}
	return []Action{m.fetch(now)}
}

// aim makes ref the target. A fetch of an older one may still be answered.
func (m *StateMachine) aim(now time.Duration, ref BundleRef) {
	m.target = ref
	m.targetSince = now
	m.reported = false
	m.sources = nil
	m.attempt = 0
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

// fetch asks the next source: the object store first, then each peer in turn.
func (m *StateMachine) fetch(now time.Duration) Fetch {
	turn := m.attempt % (len(m.sources) + 1)
	m.attempt++
	m.fetching = true
	m.fetchStarted = now
	if turn == 0 {
		return Fetch{Ref: m.target}
	}
	return Fetch{Ref: m.target, From: m.sources[turn-1]}
}

func (m *StateMachine) fetched(now time.Duration, e Fetched) []Action {
	if e.Ref == m.target {
		m.fetching = false
	}
	if e.Failed || (e.Ref.Revision <= m.inForce.Revision && !m.options.AcceptOlder) {
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
	m.inForce, m.bundle = e.Ref, adopted
	m.announce = now
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

// removedRoutes names the routes of before that after does not have.
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
	if m.inForce.Revision > 0 && now >= m.announce+m.options.AnnounceInterval {
		m.announce = now
		actions = append(actions, Announce{Ref: m.inForce})
	}
	if m.target.Revision <= m.inForce.Revision {
		return actions
	}
	if !m.fetching || now >= m.fetchStarted+m.options.FetchTimeout {
		actions = append(actions, m.fetch(now))
	}
	if !m.reported && now >= m.targetSince+m.options.BehindAfter {
		m.reported = true
		actions = append(actions, Report{ReportBehind, m.target, ""})
	}
	return actions
}
