// Package loadshare decides how many statements each server of a group may have
// outstanding at an upstream, from what the servers tell each other.
//
// The package is deterministic: the time is an argument. It is not safe for
// concurrent use.
package loadshare

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

const (
	// ReportInterval is the minimum time between two reports to the same server.
	ReportInterval = 100 * time.Millisecond
	// refreshInterval is the time after which a count other than zero is sent
	// again, so that a report that was lost does not count for long.
	refreshInterval = 500 * time.Millisecond
	// raiseDivisor gives the part of the missing limit by which it is raised in one
	// step. Servers that see the same free slots would otherwise all take them at
	// once.
	raiseDivisor = 2
	// silenceTimeout is the time without a message from which a server counts as
	// using an equal part, and without a new report from which its counts other
	// than zero do not hold.
	silenceTimeout = time.Second
	// slotFactor is the number of statements outstanding for each slot. More than
	// one keeps a slot busy during the network delay of the next statement.
	slotFactor = 2
)

// Reasons for which a report is refused.
var (
	ErrUnknownUpstream  = errors.New("unknown upstream")
	ErrNotServer        = errors.New("the sender does not serve the group")
	ErrImpossibleCount  = errors.New("impossible count")
	ErrRepeatedUpstream = errors.New("an upstream is listed twice")
)

// Count is the number of statements without an answer that a server has at an
// upstream.
type Count struct {
	Upstream    model.UpstreamID
	Outstanding int
}

// Upstream is an upstream of a group that this instance serves.
type Upstream struct {
	ID    model.UpstreamID
	Slots int
	// MaxConnections is the number of connections that the upstream accepts.
	MaxConnections int
	// Others holds the other servers of the group.
	Others []model.InstanceID
}

// Share is the state of one instance.
type Share struct {
	upstreams map[model.UpstreamID]*upstream
	// others holds the other servers of all upstreams.
	others map[model.InstanceID]*other
}

// other is what is known of another server. Zero times stand for never.
type other struct {
	heard   bool
	heardAt time.Duration
	told    bool
	toldAt  time.Duration
}

type upstream struct {
	Upstream
	// limit is the newest limit, and raisedAt is when it was last raised.
	limit    int
	raisedAt time.Duration
	// reported holds the counts of the other servers.
	reported map[model.InstanceID]reported
	// sent holds the counts that were last sent to each other server.
	sent map[model.InstanceID]sent
}

type reported struct {
	Count
	at time.Duration
}

type sent struct {
	Count
	at time.Duration
}

// New returns a Share without upstreams.
func New() *Share {
	return &Share{upstreams: make(map[model.UpstreamID]*upstream), others: make(map[model.InstanceID]*other)}
}

// SetUpstreams replaces the upstreams. What is known of those that remain is
// kept.
func (s *Share) SetUpstreams(upstreams []Upstream) {
	previous := s.upstreams
	s.upstreams = make(map[model.UpstreamID]*upstream, len(upstreams))
	previousOthers := s.others
	s.others = make(map[model.InstanceID]*other)
	for _, spec := range upstreams {
		u := previous[spec.ID]
		if u == nil {
			u = &upstream{reported: make(map[model.InstanceID]reported), sent: make(map[model.InstanceID]sent)}
		}
		u.Upstream = spec
		for _, id := range spec.Others {
			s.others[id] = previousOthers[id]
			if s.others[id] == nil {
				s.others[id] = &other{}
			}
		}
		for id := range u.reported {
			if !slices.Contains(spec.Others, id) {
				delete(u.reported, id)
			}
		}
		for id := range u.sent {
			if !slices.Contains(spec.Others, id) {
				delete(u.sent, id)
			}
		}
		s.upstreams[spec.ID] = u
	}
}

// Heard records that a message of any kind has arrived from another instance.
func (s *Share) Heard(now time.Duration, from model.InstanceID) {
	if sender := s.others[from]; sender != nil {
		sender.heard, sender.heardAt = true, now
	}
}

// Reported records the report of another server. Nothing of it is used if a part
// of it is invalid.
func (s *Share) Reported(now time.Duration, from model.InstanceID, counts []Count) error {
	for i, count := range counts {
		u := s.upstreams[count.Upstream]
		switch {
		case u == nil:
			return ErrUnknownUpstream
		case !slices.Contains(u.Others, from):
			return ErrNotServer
		case count.Outstanding < 0 || count.Outstanding > max(u.MaxConnections, 1):
			return ErrImpossibleCount
		case slices.ContainsFunc(counts[:i], func(other Count) bool { return other.Upstream == count.Upstream }):
			return ErrRepeatedUpstream
		}
	}
	s.Heard(now, from)
	for _, count := range counts {
		u := s.upstreams[count.Upstream]
		if _, known := u.reported[from]; !known {
			// The sender may have refused earlier reports, before it served the
			// group. The count is sent to it again.
			delete(u.sent, from)
		}
		u.reported[from] = reported{Count: count, at: now}
	}
	return nil
}

// Limit says what this instance may have outstanding at an upstream.
type Limit struct {
	Outstanding int
	// Others is what the other servers have outstanding. Known is set if all of
	// them have said so.
	Others int
	Known  bool
}

// Limit returns the limit for an upstream, or false for an unknown one. It is
// twice the slots less what the others have, and at least an equal part of twice
// the slots. The minimum prevents that slots idle under a changing load, as the
// counts of the others are up to ReportInterval old.
func (s *Share) Limit(now time.Duration, id model.UpstreamID) (Limit, bool) {
	u := s.upstreams[id]
	if u == nil {
		return Limit{}, false
	}
	total := slotFactor * u.Slots
	servers := len(u.Others) + 1
	equalPart := (total + servers - 1) / servers
	result := Limit{Known: true}
	silent := 0
	for _, id := range u.Others {
		count, known := s.count(now, u, id)
		if !known {
			result.Known = false
			silent++
			continue
		}
		result.Others += count.Outstanding
	}
	room := total - result.Others - silent*total/servers
	result.Outstanding = u.raise(now, equalPart, max(equalPart, room))
	return result, true
}

// raise returns the limit on the way from the previous one to the wanted one. A
// limit falls at once and rises by steps, as the others may see the same room.
func (u *upstream) raise(now time.Duration, least, wanted int) int {
	u.limit = max(u.limit, least)
	if wanted <= u.limit {
		u.limit = wanted
	} else if now-u.raisedAt >= ReportInterval {
		u.limit += (wanted - u.limit + raiseDivisor - 1) / raiseDivisor
		u.raisedAt = now
	}
	return u.limit
}

// count returns what another server has at an upstream, if it is known.
func (s *Share) count(now time.Duration, u *upstream, id model.InstanceID) (Count, bool) {
	sender := s.others[id]
	latest, found := u.reported[id]
	if sender == nil || !sender.heard || !found || now-sender.heardAt > silenceTimeout {
		return Count{}, false
	}
	if latest.Outstanding != 0 && now-latest.at > silenceTimeout {
		return Count{}, false
	}
	return latest.Count, true
}

// Due returns what another server should be told now, given what this instance
// has, and records it as sent. It is empty if nothing has changed.
func (s *Share) Due(now time.Duration, to model.InstanceID, own []Count) []Count {
	receiver := s.others[to]
	if receiver == nil || receiver.told && now-receiver.toldAt < ReportInterval {
		return nil
	}
	var due []Count
	for _, count := range own {
		u := s.upstreams[count.Upstream]
		if u == nil || !slices.Contains(u.Others, to) {
			continue
		}
		last, found := u.sent[to]
		changed := !found || last.Count != count
		if !changed && (count.Outstanding == 0 || now-last.at < refreshInterval) {
			continue
		}
		u.sent[to] = sent{Count: count, at: now}
		due = append(due, count)
	}
	if len(due) > 0 {
		receiver.told, receiver.toldAt = true, now
	}
	return due
}

// NotSent records that a report could not be sent. The next call of Due for the
// server then returns all counts.
func (s *Share) NotSent(to model.InstanceID) {
	for _, u := range s.upstreams {
		delete(u.sent, to)
	}
}

// Others returns all other servers, ordered.
func (s *Share) Others() []model.InstanceID {
	return slices.Sorted(maps.Keys(s.others))
}
