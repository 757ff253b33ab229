package textback

import (
	"time"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/reuse"
	"gypsumdock/pkg/telemetry"
)

// pool holds the connections to one upstream. Pools.mu guards it.
type pool struct {
	upstream catalog.Upstream
	// idle holds the idle connections of all callers, ordered by the time of last
	// use, the latest last.
	idle []*Conn
	// open counts the connections that are idle, in use or being opened.
	open int
	// maxOpen is the number of connections above which idle ones are closed;
	// zero sets no bound.
	maxOpen int
	// callers holds the rates at which the callers use the upstream.
	callers *reuse.Tracker
	// uses is the buffer of leastReused.
	uses []*reuse.Use
}

func newPool(upstream catalog.Upstream) *pool {
	return &pool{upstream: upstream, callers: reuse.NewTracker()}
}

// now returns the time on the clock of the callers' rates.
func (p *Pools) now() time.Duration { return time.Since(p.startedAt) }

// count adds a connection for the caller to the open ones.
func (pl *pool) count(now time.Duration, caller model.CallerName) {
	pl.open++
	pl.callers.Caller(now, caller).Retain()
}

// uncount reverts count.
func (pl *pool) uncount(caller model.CallerName) {
	pl.open--
	pl.callers.Caller(0, caller).Release()
}

// own assigns a new connection, which count has counted already, to the pool.
func (pl *pool) own(now time.Duration, conn *Conn) {
	conn.pool = pl
	conn.use = pl.callers.Caller(now, conn.caller)
}

// takeIdle takes the idle connection of the caller that was used last; nil if
// there is none.
func (pl *pool) takeIdle(caller model.CallerName) *Conn {
	for i := len(pl.idle) - 1; i >= 0; i-- {
		if pl.idle[i].caller == caller {
			return pl.removeIdle(i)
		}
	}
	return nil
}

// removeIdle takes the idle connection at an index of idle.
func (pl *pool) removeIdle(index int) *Conn {
	taken := pl.idle[index]
	copy(pl.idle[index:], pl.idle[index+1:])
	pl.idle[len(pl.idle)-1] = nil
	pl.idle = pl.idle[:len(pl.idle)-1]
	return taken
}

// leastReused returns the index of the idle connection with the least expected
// reuse. There must be one.
func (pl *pool) leastReused(now time.Duration) int {
	pl.uses = pl.uses[:0]
	for _, conn := range pl.idle {
		pl.uses = append(pl.uses, conn.use)
	}
	return pl.callers.Least(now, pl.uses)
}

// closeExcessIdle closes the idle connections that exceed the bound, and returns
// how many. p.mu is held.
func (p *Pools) closeExcessIdle(pl *pool) int {
	closed := 0
	for len(pl.idle) > 0 && pl.maxOpen > 0 && pl.open > pl.maxOpen {
		conn := pl.removeIdle(pl.leastReused(p.now()))
		pl.uncount(conn.caller)
		p.closeConn(conn)
		closed++
	}
	return closed
}

// takeIdleOrReserve takes an idle connection of the caller. If there is none it
// counts one as open, which must then be opened with dialReserved, and returns
// nil. If that exceeds the bound, an idle connection of another caller is closed.
func (p *Pools) takeIdleOrReserve(pl *pool, caller model.CallerName) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle := pl.takeIdle(caller); idle != nil {
		return idle
	}
	pl.count(p.now(), caller)
	closed := p.closeExcessIdle(pl)
	telemetry.UpstreamClosedForCaller.With(string(pl.upstream.ID)).Add(closed)
	return nil
}

// IdleAt appends to ids the upstreams of a group to which a connection of the
// caller is idle.
func (p *Pools) IdleAt(ids []model.UpstreamID, group model.GroupID, caller model.CallerName) []model.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pl := range p.groups[group] {
		if pl.hasIdle(caller) {
			ids = append(ids, pl.upstream.ID)
		}
	}
	return ids
}

func (pl *pool) hasIdle(caller model.CallerName) bool {
	for _, conn := range pl.idle {
		if conn.caller == caller {
			return true
		}
	}
	return false
}

// borrowIdle takes an idle connection of any caller to this process of the
// upstream; nil if there is none. It is returned with Put.
func (p *Pools) borrowIdle(upstream catalog.Upstream) *Conn {
	for {
		conn := p.popIdle(upstream)
		if conn == nil || conn.isUsable() {
			return conn
		}
		p.Put(conn, false)
	}
}

// popIdle is borrowIdle for a single connection, which may be unusable. One
// without a caller comes first, so that no caller has to open another meanwhile.
func (p *Pools) popIdle(upstream catalog.Upstream) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[upstream.ID]
	if pl == nil || len(pl.idle) == 0 || !pl.upstream.SameProcess(upstream) {
		return nil
	}
	if conn := pl.takeIdle(""); conn != nil {
		return conn
	}
	return pl.removeIdle(len(pl.idle) - 1)
}

// addDialed adds a connection without a caller that was opened with dial to its
// pool, if the pool has none yet. It reports whether it did.
func (p *Pools) addDialed(conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[conn.upstream.ID]
	if pl == nil || pl.open > 0 || !pl.upstream.SameProcess(conn.upstream) {
		return false
	}
	conn.usedAt = time.Now()
	pl.count(p.now(), conn.caller)
	pl.own(p.now(), conn)
	pl.idle = append(pl.idle, conn)
	telemetry.UpstreamOpened.With(string(conn.upstream.ID)).Inc()
	return true
}
