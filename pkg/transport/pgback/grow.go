package pgback

import (
	"context"
	"log/slog"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"gypsumdock/pkg/events"
)

// grow starts to open connections for units of work that wait, or, if none wait,
// one at a time until minIdle are idle. The caller holds mu.
func (p *pool) grow() {
	for p.opening < p.targetDials() && p.open < p.limit && !p.closed {
		p.opening++
		p.open++
		go p.openOne(p.nextKey())
	}
}

// targetDials returns how many connections should be in the course of being
// opened.
func (p *pool) targetDials() int {
	if len(p.waiters) > 0 {
		return min(len(p.waiters), maxDials)
	}
	hasTooFewIdle := p.newestKey.upstream != nil && len(p.idle) < p.minIdle
	if hasTooFewIdle {
		return 1
	}
	return 0
}

// nextKey returns the key for which the next connection is opened.
func (p *pool) nextKey() connectionKey {
	if len(p.waiters) > 0 {
		return p.waiters[0].want
	}
	return p.newestKey
}

// openOne opens a connection that p.open and p.opening already count, and gives it
// to the unit of work that has waited longest.
func (p *pool) openOne(want connectionKey) {
	c, err := p.dialer.dial(context.Background(), want.group, want.upstream)
	if err != nil {
		p.logConnectFailed(err)
		p.stats.failed.Add(1)
		p.dialFailed(err)
		return
	}
	p.stats.opened.Add(1)
	events.Log(context.Background(), p.logger, events.UpstreamConnected)
	c.pool = p
	c.key = want
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	p.putLocked(c)
	p.grow()
}

// dialFailed uncounts a connection that could not be opened. If no other
// connection is left that may serve the waiting units of work, they fail with err.
// The next use of the pool tries again.
func (p *pool) dialFailed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	p.open--
	if p.open > 0 {
		return
	}
	for len(p.waiters) > 0 {
		p.popWaiter().result <- acquireResult{err: err}
	}
}

// SQLSTATE codes of a refused login.
const (
	invalidPassword      = "28P01"
	invalidAuthorization = "28000"
)

// logConnectFailed logs a failed connection attempt; a refused login has its own
// event.
func (p *pool) logConnectFailed(err error) {
	event := events.UpstreamConnectFailed
	var refused *pgconn.PgError
	if errors.As(err, &refused) && (refused.Code == invalidPassword || refused.Code == invalidAuthorization) {
		event = events.UpstreamAuthFailed
	}
	events.Log(context.Background(), p.logger, event, slog.String("reason", err.Error()))
}
