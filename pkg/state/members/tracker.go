package members

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// State is the state of a member; the package comment defines the states.
type State uint8

// The values of State.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

// String returns the state as written in logs.
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

// Config configures a Tracker.
type Config struct {
	// Self is this instance, which is always Live or Leaving.
	Self model.InstanceID
	// SuspectAfter is the time without a message after which a member is suspect.
	SuspectAfter time.Duration
	// GoneAfter is the time without a message after which a member is gone
	// although the platform still lists it.
	GoneAfter time.Duration
}

// Tracker holds the state of the registered members. It is not safe for
// concurrent use.
type Tracker struct {
	cfg     Config
	members []*record
	byID    map[model.InstanceID]*record
	// listKnown is false until the platform's list has been set.
	listKnown bool
	// listed maps the instances in the platform's list to whether they are
	// leaving.
	listed map[model.InstanceID]bool
}

// record is the state of a registered member.
type record struct {
	member model.Member
	// heardAt is when the last message arrived, or when the member was
	// registered or RestartTimeouts was called.
	heardAt time.Duration
}

// New returns a tracker without members.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:    cfg,
		byID:   map[model.InstanceID]*record{},
		listed: map[model.InstanceID]bool{},
	}
}

// SetMembers replaces the registered members. The timeouts of new ones start
// now.
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

// RestartTimeouts restarts the timeouts of all members. It is called after this
// process was paused, because it could not receive messages during the pause.
func (t *Tracker) RestartTimeouts(now time.Duration) {
	for _, entry := range t.members {
		entry.heardAt = now
	}
}

// PlatformInstance is an entry of the platform's list of instances.
type PlatformInstance struct {
	ID      model.InstanceID
	Leaving bool
}

// SetPlatformList replaces the platform's list of instances.
func (t *Tracker) SetPlatformList(list []PlatformInstance) {
	t.listKnown = true
	t.listed = make(map[model.InstanceID]bool, len(list))
	for _, entry := range list {
		t.listed[entry.ID] = entry.Leaving
	}
}

// State returns the state of the member named id, or Gone if it is not
// registered.
func (t *Tracker) State(now time.Duration, id model.InstanceID) State {
	entry := t.byID[id]
	if entry == nil {
		return Gone
	}
	if id == t.cfg.Self {
		return t.liveOrLeaving(entry)
	}
	silence := now - entry.heardAt
	if silence < t.cfg.SuspectAfter {
		return t.liveOrLeaving(entry)
	}
	if t.listKnown && !t.isListed(id) {
		return Gone
	}
	if silence >= t.cfg.GoneAfter && t.hearsHalfOfOthers(now) {
		return Gone
	}
	return Suspect
}

// IsResponsive reports whether a message from the member arrived within
// SuspectAfter. It is true for this instance.
func (t *Tracker) IsResponsive(now time.Duration, id model.InstanceID) bool {
	state := t.State(now, id)
	return state == Live || state == Leaving
}

func (t *Tracker) isListed(id model.InstanceID) bool {
	_, found := t.listed[id]
	return found
}

// liveOrLeaving returns the state of a member that is responsive.
func (t *Tracker) liveOrLeaving(entry *record) State {
	if entry.member.Leaving || t.listed[entry.member.ID] {
		return Leaving
	}
	return Live
}

// hearsHalfOfOthers reports whether at least half of the other members, and at
// least one, are responsive. Otherwise this instance may be partitioned from the
// rest and cannot tell which members are gone.
func (t *Tracker) hearsHalfOfOthers(now time.Duration) bool {
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
