package region

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// Intervals and timeouts of an observer, an instance that is no member of the
// region. It learns the configuration and the members from any member, without a
// read of the store.
const (
	observeInterval = time.Second
	observeTimeout  = 500 * time.Millisecond
	// quickObserveInterval applies while too few members are able to serve, or one
	// of those that seem to be cannot be reached.
	quickObserveInterval = 250 * time.Millisecond
	// headRefreshInterval is the time between two reads of the head row by an
	// observer that can query no member.
	headRefreshInterval = 300 * time.Millisecond
	// observerLossTimeout is the time without an answer of any member after
	// which an observer follows the tables itself and becomes a member.
	observerLossTimeout = 3 * time.Second
)

// observe queries a member for the state of the region, if a query is due.
func (l *Loop) observe(now time.Duration) {
	l.trackObserver(now)
	if !l.view.Observer || l.observing || now-l.observedAt < l.observerInterval() {
		return
	}
	member, found := l.memberToQuery(now)
	if !found {
		l.refreshHead(now)
		return
	}
	l.observing = true
	query := StateQuery{Head: l.view.Head, UpstreamsVersion: l.upstreamsVersion, Observer: true, TakesOffers: true}
	if l.catalog != nil {
		query.CatalogVersion = l.catalog.Version
	}
	l.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, observeTimeout)
		defer cancel()
		reply, err := l.config.Peers.QueryState(ctx, member, query)
		l.post(func() { l.observed(now, member, reply, err) })
	})
}

// observerInterval returns the time between two queries of a member.
func (l *Loop) observerInterval() time.Duration {
	if l.reportedUsable >= 0 && l.reportedUsable < l.config.Failover.MinMembers {
		return quickObserveInterval
	}
	usable, _ := l.membersByUse()
	return observeIntervalFor(usable, l.config.Peers.Peers())
}

// observeIntervalFor returns the time between two queries of an observer that has
// sessions with the connected peers. It answers the start of all instances: a usable
// member without a session may be an earlier process of its machine, whose successor
// is about to register.
func observeIntervalFor(usable []model.Member, connected []model.InstanceID) time.Duration {
	for _, member := range usable {
		if !slices.Contains(connected, member.ID) {
			return quickObserveInterval
		}
	}
	return observeInterval
}

// trackObserver records since when this instance has been no member, and tells
// the failover machine how many members are able to serve.
func (l *Loop) trackObserver(now time.Duration) {
	if l.view.Registered || l.view.Head == nil {
		l.observerSince = 0
		return
	}
	if l.observerSince == 0 {
		l.observerSince = now
		l.reportedUsable = -1
	}
	usable, cutOff := l.membersByUse()
	count := len(usable)
	if now-max(l.membersAnsweredAt, l.observerSince, l.membersChangedAt) > observerLossTimeout {
		count = 0
	}
	if count == l.reportedUsable {
		return
	}
	l.reportedUsable = count
	events.Log(l.ctx, l.config.Logger, events.MembersReported, slog.Int("usable", count),
		slog.Int("cut_off", len(cutOff)), slog.Int("registered", len(l.view.Members)))
	l.step(failover.MembersReported{Usable: count})
}

// refreshHead reads the head row from the store while no member can be queried:
// all members may have restarted, so that the known row lists only processes
// that have ended.
func (l *Loop) refreshHead(now time.Duration) {
	if now-l.headRefreshedAt < headRefreshInterval {
		return
	}
	l.headRefreshedAt = now
	l.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		defer cancel()
		read, answered := l.readHeadShared(ctx, false)
		if !answered || read.err != nil || read.head == nil {
			return
		}
		l.post(func() { l.step(failover.PeerReceived{Message: failover.HeadSent{Head: read.head}}) })
	})
}

// memberToQuery returns the member that this observer queries: the first in an
// order of its own that is connected and has not failed recently.
func (l *Loop) memberToQuery(now time.Duration) (model.InstanceID, bool) {
	var chosen model.InstanceID
	var lowest uint64
	connected := l.config.Peers.Peers()
	for _, member := range l.view.Members {
		id := member.Member.ID
		if member.Member.Evicted != 0 || !slices.Contains(connected, id) || l.hasReaderFailed(id, now) {
			continue
		}
		hash := xxhash.Sum64String(string(l.config.Self.ID) + "/" + string(id))
		if chosen == "" || hash < lowest {
			chosen, lowest = id, hash
		}
	}
	return chosen, chosen != ""
}

// observed applies the reply of a member to a query that was sent at sentAt.
func (l *Loop) observed(sentAt time.Duration, member model.InstanceID, reply *StateReply, err error) {
	l.observing = false
	if err != nil {
		events.Log(l.ctx, l.config.Logger, events.ReaderFailed,
			slog.String("reader", string(member)), slog.Any("error", err))
		l.readerFailedAt[member] = l.now()
		return
	}
	l.observedAt = sentAt
	if !slices.Contains(reply.CutOff, member) {
		l.membersAnsweredAt = sentAt
	}
	l.peerSuspects = reply.Suspects
	l.peerCutOff = reply.CutOff
	l.applyTables(sentAt, member, reply)
	l.step(failover.PeerReceived{From: member, Message: failover.HeadSent{Head: reply.Head}})
}

// answerObserver answers the query of an observer with what this instance knows.
func (l *Loop) answerObserver(known StateQuery) (*StateReply, error) {
	snapshot := l.latest.Load()
	if snapshot.View.Head == nil {
		return nil, errNoAnswer
	}
	reply := &StateReply{Head: snapshot.View.Head, Current: snapshot.Current}
	l.addConfirmation(reply, snapshot)
	if !snapshot.View.Registered {
		return reply, l.addTables(reply, known)
	}
	for _, member := range snapshot.View.Members {
		if member.State != members.Live {
			reply.Suspects = append(reply.Suspects, member.Member.ID)
		}
		if member.CutOff {
			reply.CutOff = append(reply.CutOff, member.Member.ID)
		}
	}
	return reply, l.addTables(reply, known)
}
