package members

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// State is what is known of a member.
type State uint8

// The states of a member.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

// String returns the state as it stands in logs.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Config holds the times after which silence counts.
type Config struct {
	// Self is never suspect.
	Self model.InstanceID
	// SuspectAfter is the silence that makes a member suspect.
	SuspectAfter time.Duration
	// GoneAfter is the silence after which a member is gone although the
	// platform still lists it.
	GoneAfter time.Duration
}

// Tracker follows the registered members. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	members []*record
	byID    map[model.InstanceID]*record
	// listKnown is false until the platform's list has been seen.
	listKnown bool
	listed    map[model.InstanceID]bool
}

type record struct {
	member model.Member
	// heardAt is when the last message came, or when the member was first seen.
	heardAt time.Duration
}

// New returns a Tracker without members.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:    cfg,
		byID:   map[model.InstanceID]*record{},
		listed: map[model.InstanceID]bool{},
	}
}

// SetMembers replaces the registered members. A new one counts as heard now.
func (t *Tracker) SetMembers(now time.Duration, registered []model.Member) {
	byID := make(map[model.InstanceID]*record, len(registered))
	records := make([]*record, 0, len(registered))
	for _, member := range registered {
		entry := t.byID[member.ID]
		if entry == nil {
			entry = &record{heardAt: now}
		}
		entry.member = member
		byID[member.ID] = entry
		records = append(records, entry)
	}
	t.byID = byID
	t.members = records
}

// MessageReceived records a message from the member named id.
func (t *Tracker) MessageReceived(now time.Duration, id model.InstanceID) {
	entry := t.byID[id]
	if entry != nil {
		entry.heardAt = now
	}
}

// RestartTimeouts grants every member a new SuspectAfter. It is called when the process
// itself was paused and cannot have heard anyone.
func (t *Tracker) RestartTimeouts(now time.Duration) {
	for _, entry := range t.members {
		entry.heardAt = now
	}
}

// PlatformInstance is an entry of the platform's list.
type PlatformInstance struct {
	ID      model.InstanceID
	Leaving bool
}

// SetPlatformList replaces the platform's list.
func (t *Tracker) SetPlatformList(list []PlatformInstance) {
	t.listKnown = true
	t.listed = make(map[model.InstanceID]bool, len(list))
	for _, entry := range list {
		t.listed[entry.ID] = entry.Leaving
	}
}

// State returns the state of the member named id, and Gone for one that is not
// registered.
func (t *Tracker) State(now time.Duration, id model.InstanceID) State {
	entry := t.byID[id]
	if entry == nil {
		return Gone
	}
	if id == t.cfg.Self {
		return t.announced(entry)
	}
	silence := now - entry.heardAt
	if silence < t.cfg.SuspectAfter {
		return t.announced(entry)
	}
	if t.listKnown && !t.inList(id) {
		return Gone
	}
	if silence >= t.cfg.GoneAfter && t.hearsHalf(now) {
		return Gone
	}
	return Suspect
}

// IsResponsive reports whether the member has not been silent for SuspectAfter.
func (t *Tracker) IsResponsive(now time.Duration, id model.InstanceID) bool {
	state := t.State(now, id)
	return state == Live || state == Leaving
}

func (t *Tracker) inList(id model.InstanceID) bool {
	_, found := t.listed[id]
	return found
}

func (t *Tracker) announced(entry *record) State {
	if entry.member.Leaving || t.listed[entry.member.ID] {
		return Leaving
	}
	return Live
}

// hearsHalf guards against an instance that is cut off itself: it must hear at
// least half of the other members.
func (t *Tracker) hearsHalf(now time.Duration) bool {
	others := 0
	heard := 0
	for _, entry := range t.members {
		if entry.member.ID == t.cfg.Self {
			continue
		}
		others++
		if now-entry.heardAt < t.cfg.SuspectAfter {
			heard++
		}
	}
	return heard > 0 && heard*2 >= others
}
