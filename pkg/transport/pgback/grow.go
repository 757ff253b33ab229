package pgback

import (
	"context"
	"log/slog"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"gypsumdock/pkg/events"
)

// grow opens connections while units of work wait, and one at a time ahead of
// need while too few are idle. The caller holds mu.
func (p *pool) grow() {
	for p.opening < p.wantedDials() && p.open < p.limit && !p.closed {
		p.opening++
		p.open++
		go p.openOne(p.nextOrigin())
	}
}

// wantedDials returns the number of connections that should be being opened.
func (p *pool) wantedDials() int {
	if len(p.waiters) > 0 {
		return min(len(p.waiters), maxDials)
	}
	isCold := p.want.upstream != nil && len(p.idle) < p.minIdle
	if isCold {
		return 1
	}
	return 0
}

func (p *pool) nextOrigin() origin {
	if len(p.waiters) > 0 {
		return p.waiters[0].want
	}
	return p.want
}

// openOne opens a connection whose place in open is already taken, for the
// unit of work that waited longest.
func (p *pool) openOne(want origin) {
	c, err := p.dialer.dial(context.Background(), want.group, want.upstream)
	if err != nil {
		p.logFailed(err)
		p.stats.failed.Add(1)
		p.dialFailed(err)
		return
	}
	p.stats.opened.Add(1)
	events.Log(context.Background(), p.logger, events.UpstreamConnected)
	c.pool = p
	c.origin = want
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	p.putLocked(c)
	p.grow()
}

// dialFailed gives back the place of a connection that could not be opened.
// Units of work wait on only where another connection may still serve them.
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
		p.popWaiter().ready <- offer{err: err}
	}
}

// SQLSTATEs of a refused login.
const (
	invalidPassword      = "28P01"
	invalidAuthorization = "28000"
)

func (p *pool) logFailed(err error) {
	event := events.UpstreamConnectFailed
	var refused *pgconn.PgError
	if errors.As(err, &refused) && (refused.Code == invalidPassword || refused.Code == invalidAuthorization) {
		event = events.UpstreamAuthFailed
	}
	events.Log(context.Background(), p.logger, event, slog.String("reason", err.Error()))
}
