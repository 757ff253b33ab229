package marks

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Lease defines for how long a version of the members may be used after the
// head row was seen to hold it.
type Lease struct {
	// Lifetime is the permit lifetime.
	Lifetime time.Duration
	// Drift is the most by which two clocks can drift apart over Lifetime.
	Drift time.Duration
}

// window returns the longest time for which a version may still be in use after
// it was replaced.
func (l Lease) window() time.Duration { return l.Lifetime + l.Drift }

// Target identifies a home and the version of the members under which it was
// chosen.
type Target struct {
	Home    model.InstanceID
	Version uint64
}

// MembershipView holds the versions of the members that one instance has seen
// and that may still be in use. It chooses the homes for reads and writes.
type MembershipView struct {
	lease Lease
	// epochs is in ascending order of version.
	epochs []viewEpoch
	// completeFrom is the time from which no reader uses a version that this
	// instance missed.
	completeFrom time.Duration
	rules        Rules
}

// viewEpoch is a version of the members that the instance has seen.
type viewEpoch struct {
	set       *MemberSet
	learnedAt time.Duration
	// confirmedAt is when the newest request was sent whose answer named this
	// version.
	confirmedAt time.Duration
}

// NewMembershipView returns a view without versions.
func NewMembershipView(lease Lease, rules Rules) *MembershipView {
	return &MembershipView{lease: lease, rules: rules}
}

// Confirm applies the members of a head row that was read. askedAt is the time
// before the request was sent, and now the time of the answer.
func (v *MembershipView) Confirm(askedAt, now time.Duration, set *MemberSet) {
	v.prune(now)
	last := v.newest()
	switch {
	case last != nil && set.version < last.set.version:
		return
	case last != nil && set.version == last.set.version:
		last.confirmedAt = max(last.confirmedAt, askedAt)
		return
	case last == nil || set.version > last.set.version+1:
		v.completeFrom = now + v.lease.window()
	}
	v.epochs = append(v.epochs, viewEpoch{set: set, learnedAt: now, confirmedAt: askedAt})
}

func (v *MembershipView) newest() *viewEpoch {
	if len(v.epochs) == 0 {
		return nil
	}
	return &v.epochs[len(v.epochs)-1]
}

// prune drops the versions that are no longer in use.
func (v *MembershipView) prune(now time.Duration) {
	for len(v.epochs) > 1 && now >= v.epochs[1].learnedAt+v.lease.window() {
		v.epochs = v.epochs[1:]
	}
}

// ReadTarget returns the home to ask for a session's marks. It returns false if
// the lease of the newest version has expired or there is no home.
func (v *MembershipView) ReadTarget(now time.Duration, session model.SessionID) (Target, bool) {
	last := v.newest()
	if last == nil || now >= last.confirmedAt+v.lease.Lifetime {
		return Target{}, false
	}
	return homeTarget(last.set, session)
}

// PlaceMark returns the homes at which to store the mark of a write. It must be
// called after the write has committed. It returns false if the lease of the
// newest version has expired or there is no home; the mark cannot be stored
// then.
func (v *MembershipView) PlaceMark(now time.Duration, session model.SessionID) (Placement, bool) {
	current, confirmed := v.ReadTarget(now, session)
	if !confirmed {
		return Placement{}, false
	}
	placement := Placement{Targets: []Target{current}, Complete: now >= v.completeFrom}
	for i := len(v.epochs) - 2; i >= 0; i-- {
		if now >= v.epochs[i+1].learnedAt+v.lease.window() || v.rules.NoEarlierHomes {
			break
		}
		placement.addTarget(v.epochs[i].set, session)
	}
	return placement, true
}

// addTarget adds the session's home in an earlier set unless it is a target
// already.
func (p *Placement) addTarget(set *MemberSet, session model.SessionID) {
	earlier, found := homeTarget(set, session)
	if !found {
		return
	}
	for _, known := range p.Targets {
		if known.Home == earlier.Home {
			return
		}
	}
	p.Targets = append(p.Targets, earlier)
}

// homeTarget returns the session's home in the set, or false if it has none.
func homeTarget(set *MemberSet, session model.SessionID) (Target, bool) {
	home := set.Home(session)
	return Target{Home: home, Version: set.version}, home != ""
}
