// Package pgprobe asks upstreams for their role, timeline and log position,
// and promotes replicas, with PostgreSQL's published functions.
package pgprobe

import (
	"context"
	"net/netip"
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
	queryReceiver   = "SELECT sender_host, sender_port FROM pg_stat_wal_receiver"
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
	// Follows is the address of the server that a replica streams from, or
	// invalid if there is none.
	Follows netip.AddrPort
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

// Promote makes upstream a primary and returns its state afterwards, with the
// position at which its recovery ended. It is idempotent: an upstream that was
// promoted before answers likewise. An error leaves open whether the promotion
// happened.
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
	before, err := value(ctx, conn, queryRecovering)
	if err != nil {
		return Sample{}, err
	}
	if before == valueTrue {
		if err := orderPromotion(ctx, conn); err != nil {
			return Sample{}, err
		}
	}
	sample, err := ask(ctx, conn)
	if err != nil {
		return Sample{}, err
	}
	sample.LSN, err = position(ctx, conn, queryReplayed)
	return sample, err
}

func orderPromotion(ctx context.Context, conn *pgconn.PgConn) error {
	promoted, err := value(ctx, conn, queryPromote)
	if err != nil {
		return err
	}
	if promoted != valueTrue {
		return errors.New("promotion did not complete")
	}
	return nil
}

func ask(ctx context.Context, conn *pgconn.PgConn) (Sample, error) {
	recovering, err := value(ctx, conn, queryRecovering)
	if err != nil {
		return Sample{}, err
	}
	sample := Sample{Recovering: recovering == valueTrue}
	if sample.Timeline, err = timeline(ctx, conn); err != nil {
		return Sample{}, err
	}
	if !sample.Recovering {
		sample.LSN, err = position(ctx, conn, queryCurrent)
		return sample, err
	}
	if sample.Follows, err = receiver(ctx, conn); err != nil {
		return Sample{}, err
	}
	sample.LSN, err = position(ctx, conn, queryReplayed)
	return sample, err
}

func timeline(ctx context.Context, conn *pgconn.PgConn) (uint32, error) {
	text, err := value(ctx, conn, queryTimeline)
	if err != nil {
		return 0, err
	}
	parsed, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, errors.Wrap(err, "timeline")
	}
	return uint32(parsed), nil
}

func position(ctx context.Context, conn *pgconn.PgConn, query string) (model.LSN, error) {
	text, err := value(ctx, conn, query)
	if err != nil {
		return 0, err
	}
	return model.ParseLSN(text)
}

// receiver returns the address that a replica streams from, or an invalid one
// while it streams from none.
func receiver(ctx context.Context, conn *pgconn.PgConn) (netip.AddrPort, error) {
	rows, err := query(ctx, conn, queryReceiver)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if len(rows) != 1 || len(rows[0]) != 2 {
		return netip.AddrPort{}, nil
	}
	host, err := netip.ParseAddr(string(rows[0][0]))
	if err != nil {
		return netip.AddrPort{}, nil
	}
	port, err := strconv.ParseUint(string(rows[0][1]), 10, 16)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "sender port")
	}
	return netip.AddrPortFrom(host, uint16(port)), nil
}

// value runs a statement that returns one value.
func value(ctx context.Context, conn *pgconn.PgConn, statement string) (string, error) {
	rows, err := query(ctx, conn, statement)
	if err != nil {
		return "", err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return "", errors.Errorf("%s: not one value", statement)
	}
	return string(rows[0][0]), nil
}

func query(ctx context.Context, conn *pgconn.PgConn, statement string) ([][][]byte, error) {
	results, err := conn.Exec(ctx, statement).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, statement)
	}
	if len(results) != 1 {
		return nil, errors.Errorf("%s: not one result", statement)
	}
	return results[0].Rows, nil
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
