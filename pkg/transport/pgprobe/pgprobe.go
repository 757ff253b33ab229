// Package pgprobe asks upstreams for their role, timeline and log position,
// and promotes replicas, with PostgreSQL's published functions.
package pgprobe

import (
	"context"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// The statements of a probe, from PostgreSQL's "System Administration
// Functions".
const (
	queryRecovering = "SELECT pg_is_in_recovery()"
	queryTimeline   = "SELECT timeline_id FROM pg_control_checkpoint()"
	queryCurrent    = "SELECT pg_current_wal_lsn()"
	queryReplayed   = "SELECT pg_last_wal_replay_lsn()"
	queryPromote    = "SELECT pg_promote()"
	valueTrue       = "t"
)

// Sample is what an upstream says of itself.
type Sample struct {
	Recovering bool
	Timeline   uint32
	// LSN is the current position of a primary, or the replayed position of a
	// replica.
	LSN model.LSN
}

// Prober keeps one connection to each upstream that it probes. It is safe for
// concurrent use, with one probe of an upstream at a time.
type Prober struct {
	// mu guards conns.
	mu    sync.Mutex
	conns map[model.UpstreamID]*pgconn.PgConn
}

// New returns a Prober without connections.
func New() *Prober {
	return &Prober{conns: make(map[model.UpstreamID]*pgconn.PgConn)}
}

// Probe asks upstream for its state. On any error its connection is closed.
func (p *Prober) Probe(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error) {
	conn, err := p.take(ctx, group, upstream)
	if err != nil {
		return Sample{}, err
	}
	sample, err := ask(ctx, conn)
	if err != nil {
		p.discard(conn)
		return Sample{}, err
	}
	p.put(upstream.ID, conn)
	return sample, nil
}

// Promote makes upstream a primary and returns its state afterwards. An error
// leaves open whether the promotion happened.
func (p *Prober) Promote(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error) {
	conn, err := p.take(ctx, group, upstream)
	if err != nil {
		return Sample{}, err
	}
	sample, err := promote(ctx, conn)
	if err != nil {
		p.discard(conn)
		return Sample{}, err
	}
	p.put(upstream.ID, conn)
	return sample, nil
}

func promote(ctx context.Context, conn *pgconn.PgConn) (Sample, error) {
	promoted, err := value(ctx, conn, queryPromote)
	if err != nil {
		return Sample{}, err
	}
	if promoted != valueTrue {
		return Sample{}, errors.New("promotion did not complete")
	}
	return ask(ctx, conn)
}

func ask(ctx context.Context, conn *pgconn.PgConn) (Sample, error) {
	recovering, err := value(ctx, conn, queryRecovering)
	if err != nil {
		return Sample{}, err
	}
	timelineText, err := value(ctx, conn, queryTimeline)
	if err != nil {
		return Sample{}, err
	}
	timeline, err := strconv.ParseUint(timelineText, 10, 32)
	if err != nil {
		return Sample{}, errors.Wrap(err, "timeline")
	}
	sample := Sample{Recovering: recovering == valueTrue, Timeline: uint32(timeline)}
	sample.LSN, err = position(ctx, conn, sample.Recovering)
	return sample, err
}

func position(ctx context.Context, conn *pgconn.PgConn, recovering bool) (model.LSN, error) {
	query := queryCurrent
	if recovering {
		query = queryReplayed
	}
	text, err := value(ctx, conn, query)
	if err != nil {
		return 0, err
	}
	return model.ParseLSN(text)
}

// value runs a statement that returns one value.
func value(ctx context.Context, conn *pgconn.PgConn, query string) (string, error) {
	results, err := conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return "", errors.Wrap(err, query)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return "", errors.Errorf("%s: not one value", query)
	}
	return string(results[0].Rows[0][0]), nil
}

// take returns the idle connection to upstream, or opens one.
func (p *Prober) take(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (*pgconn.PgConn, error) {
	p.mu.Lock()
	conn, idle := p.conns[upstream.ID]
	delete(p.conns, upstream.ID)
	p.mu.Unlock()
	if idle && !conn.IsClosed() {
		return conn, nil
	}
	return connect(ctx, group, upstream)
}

func connect(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "probe settings")
	}
	if err := setAddress(config, upstream.Address); err != nil {
		return nil, err
	}
	config.User = group.User
	config.Password = group.Password
	config.Database = group.Database
	config.Fallbacks = nil
	return pgconn.ConnectConfig(ctx, config)
}

// put keeps conn for the next probe, or closes it if there is one already.
func (p *Prober) put(id model.UpstreamID, conn *pgconn.PgConn) {
	p.mu.Lock()
	_, occupied := p.conns[id]
	if !occupied {
		p.conns[id] = conn
	}
	p.mu.Unlock()
	if occupied {
		p.discard(conn)
	}
}

func (p *Prober) discard(conn *pgconn.PgConn) {
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = conn.Close(expired)
}

// Close closes all connections.
func (p *Prober) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[model.UpstreamID]*pgconn.PgConn)
	p.mu.Unlock()
	for _, conn := range conns {
		p.discard(conn)
	}
}
