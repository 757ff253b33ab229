package region

import (
	"context"
	"log/slog"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

// A read of the head row goes to the reader first. If that is cut off from this
// instance or from the store, the other sources follow while there is still time
// to renew the permits.
const (
	// readerAnswerTime is the time without an answer of the reader after which
	// the next source is used too. It exceeds minHeadReadInterval.
	readerAnswerTime = 500 * time.Millisecond
	// nextSourceDelay is the time between the start of two further sources.
	nextSourceDelay = 200 * time.Millisecond
	// maxOtherReaders bounds the members that are queried besides the reader.
	maxOtherReaders = 2
)

// readHead requests the head row from the reader, and from other sources if that
// does not answer.
func (l *Loop) readHead() {
	if l.headReadsInFlight.Add(1) > maxConcurrentHeadReads {
		l.headReadsInFlight.Add(-1)
		return
	}
	query := StateQuery{Head: l.view.Head, UpstreamsVersion: l.upstreamsVersion, Urgent: l.isUrgent(), TakesOffers: true}
	if l.catalog != nil {
		query.CatalogVersion = l.catalog.Version
	}
	started := l.now()
	sources := l.headSources(started)
	l.tasks.Go(func() {
		defer l.headReadsInFlight.Add(-1)
		if !l.readFromSources(sources, query) {
			l.post(func() { l.step(failover.HeadRead{StartedAt: started, Failed: true}) })
		}
	})
}

// headSources returns the instances to ask for the head row, in order: the
// reader, this instance, which reads the store, and other members.
func (l *Loop) headSources(now time.Duration) []model.InstanceID {
	self := l.config.Self.ID
	reader := l.currentReader(now)
	if l.view.Head == nil {
		return []model.InstanceID{self}
	}
	sources := []model.InstanceID{reader}
	if reader != self {
		sources = append(sources, self)
	}
	others := 0
	for _, member := range l.view.Members {
		id := member.Member.ID
		usable := member.State == members.Live && !member.CutOff && !l.hasReaderFailed(id, now)
		if usable && id != self && id != reader && others < maxOtherReaders {
			sources = append(sources, id)
			others++
		}
	}
	return sources
}

// readFromSources asks one source after the other, without ending the earlier
// ones, and applies the first answer. It reports whether there was one.
func (l *Loop) readFromSources(sources []model.InstanceID, query StateQuery) bool {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	answers := make(chan bool, len(sources))
	next := time.NewTimer(readerAnswerTime)
	defer next.Stop()
	started, ended := 0, 0
	startNext := func() {
		if started < len(sources) {
			source := sources[started]
			started++
			go func() { answers <- l.readFrom(ctx, source, query) }()
		}
	}
	startNext()
	for {
		select {
		case answered := <-answers:
			ended++
			if answered {
				return true
			}
			startNext()
			if ended == started {
				return false
			}
		case <-next.C:
			startNext()
			next.Reset(nextSourceDelay)
		case <-ctx.Done():
			return false
		}
	}
}

// readFrom asks one source for the head row, and reports whether it has
// answered.
func (l *Loop) readFrom(ctx context.Context, source model.InstanceID, query StateQuery) bool {
	started := l.now()
	if source == l.config.Self.ID {
		answered := l.readFromStore(ctx, query, started)
		countHeadRead("store", answered)
		return answered
	}
	answered := l.queryReader(ctx, source, query, started)
	countHeadRead("member", answered)
	return answered
}

// countHeadRead counts a read of the head row from a source.
func countHeadRead(source string, answered bool) {
	outcome := "failed"
	if answered {
		outcome = "answered"
	}
	telemetry.HeadReads.With(source, outcome).Inc()
}

// readFromStore reads the head row from the store, and reports whether that has
// answered.
func (l *Loop) readFromStore(ctx context.Context, query StateQuery, started time.Duration) bool {
	read, answered := l.readHeadShared(ctx, query.Urgent)
	if !answered || read.err != nil {
		return false
	}
	l.post(func() { l.step(failover.HeadRead{StartedAt: started, Head: read.head}) })
	return true
}

// queryReader queries a member that reads the store, and reports whether it has
// answered.
func (l *Loop) queryReader(ctx context.Context, reader model.InstanceID, query StateQuery, started time.Duration) bool {
	queryCtx, cancel := context.WithTimeout(ctx, stateQueryTimeout)
	defer cancel()
	reply, err := l.config.Peers.QueryState(queryCtx, reader, query)
	if err == nil {
		l.post(func() { l.handleReply(started, reader, reply) })
		return true
	}
	if ctx.Err() == nil {
		events.Log(l.ctx, l.config.Logger, events.ReaderFailed,
			slog.String("reader", string(reader)), slog.Any("error", err))
		l.post(func() { l.readerFailedAt[reader] = l.now() })
	}
	return false
}

// hasReaderFailed reports whether a member has failed to answer recently.
func (l *Loop) hasReaderFailed(id model.InstanceID, now time.Duration) bool {
	failedAt, failed := l.readerFailedAt[id]
	return failed && now-failedAt <= readerRetryDelay
}
