package marks

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Lease is how long a version of the members may be used after the head row
// was seen to hold it.
type Lease struct {
	// Lifetime is the permit lifetime.
	Lifetime time.Duration
	// Drift is the most by which two clocks can differ over Lifetime.
	Drift time.Duration
}

// window is the time after which nobody uses a version that was replaced
// before the window began.
func (l Lease) window() time.Duration { return l.Lifetime + l.Drift }

// Target names a home and the version under which it is asked.
type Target struct {
	Home    model.InstanceID
	Version uint64
}

// MembershipView is what one instance knows of the versions of the members. Reading and
// writing sessions share it.
type MembershipView struct {
	lease Lease
	// epochs is in ascending order of version; the last is the newest.
	epochs []viewEpoch
	// completeFrom is when the readers of unknown versions are gone.
	completeFrom time.Duration
	rules        Rules
}

type viewEpoch struct {
	set       *MemberSet
	learnedAt time.Duration
	// confirmedAt is the time before the newest question to which the head
	// row answered with this version.
	confirmedAt time.Duration
}

// NewMembershipView returns a view that knows no version.
func NewMembershipView(lease Lease, rules Rules) *MembershipView {
	return &MembershipView{lease: lease, rules: rules}
}

// Confirm takes a head row read. askedAt is the time before the read was sent
// and now the time at which it was answered.
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

// prune drops the versions that no reader uses any more.
func (v *MembershipView) prune(now time.Duration) {
	for len(v.epochs) > 1 && now >= v.epochs[1].learnedAt+v.lease.window() {
		v.epochs = v.epochs[1:]
	}
}

// ReadTarget returns the home to ask for a session's marks; false means that no
// version is confirmed and the marks are unknown.
func (v *MembershipView) ReadTarget(now time.Duration, session model.SessionID) (Target, bool) {
	last := v.newest()
	if last == nil || now >= last.confirmedAt+v.lease.Lifetime {
		return Target{}, false
	}
	return target(last.set, session)
}

// PlaceMark returns where to store the mark of a write. It must be called after
// the write has committed. False means that no version is confirmed and the
// mark cannot be stored.
func (v *MembershipView) PlaceMark(now time.Duration, session model.SessionID) (Placement, bool) {
	present, confirmed := v.ReadTarget(now, session)
	if !confirmed {
		return Placement{}, false
	}
	placement := Placement{Targets: []Target{present}, Complete: now >= v.completeFrom}
	for i := len(v.epochs) - 2; i >= 0; i-- {
		if now >= v.epochs[i+1].learnedAt+v.lease.window() || v.rules.NoEarlierHomes {
			break
		}
		placement.add(v.epochs[i].set, session)
	}
	return placement, true
}

// add adds the session's home in an earlier set unless it is a target already.
func (p *Placement) add(set *MemberSet, session model.SessionID) {
	earlier, found := target(set, session)
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

func target(set *MemberSet, session model.SessionID) (Target, bool) {
	home := set.Home(session)
	return Target{Home: home, Version: set.version}, home != ""
}
