// Package pgprobe asks upstreams for their role, timeline and log position,
// and promotes replicas, with PostgreSQL's published functions.
package pgprobe

import (
	"context"
	"fmt"
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
	queryReceiver   = "SELECT sender_host, sender_port, received_tli FROM pg_stat_wal_receiver"
	receiverFields  = 3
	queryPromote    = "SELECT pg_promote()"
	valueTrue       = "t"

	queryTerminate   = "SELECT pg_terminate_backend(pid) FROM pg_stat_activity"
	queryCount       = "SELECT count(*) FROM pg_stat_activity"
	whereApplication = " WHERE application_name = '%s'"
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

// Prober keeps one connection to each upstream. It is safe for concurrent use;
// the questions to one upstream wait for each other.
type Prober struct {
	application string
	// mu guards lanes.
	mu    sync.Mutex
	lanes map[model.UpstreamID]*lane
}

// New returns a Prober without connections. application is the name that its
// connections give to upstreams.
func New(application string) *Prober {
	return &Prober{application: application, lanes: make(map[model.UpstreamID]*lane)}
}

// Probe asks upstream for its state. On any error its connection is closed.
func (p *Prober) Probe(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error) {
	return onLane(ctx, p.lane(upstream.ID), group, upstream, ask)
}

// Promote makes upstream a primary and returns its state afterwards, with the
// position at which its recovery ended. It is idempotent: an upstream that was
// promoted before answers likewise. An error leaves open whether the promotion
// happened.
func (p *Prober) Promote(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error) {
	return onLane(ctx, p.lane(upstream.ID), group, upstream, promote)
}

// Current returns the position of a primary.
func (p *Prober) Current(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (model.LSN, error) {
	return onLane(ctx, p.lane(upstream.ID), group, upstream, func(ctx context.Context, conn *pgconn.PgConn) (model.LSN, error) {
		return position(ctx, conn, queryCurrent)
	})
}

// Replayed returns the position that a replica has applied.
func (p *Prober) Replayed(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (model.LSN, error) {
	return onLane(ctx, p.lane(upstream.ID), group, upstream, func(ctx context.Context, conn *pgconn.PgConn) (model.LSN, error) {
		return position(ctx, conn, queryReplayed)
	})
}

// IsReplica reports whether an upstream is a replica.
func (p *Prober) IsReplica(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (bool, error) {
	return onLane(ctx, p.lane(upstream.ID), group, upstream, func(ctx context.Context, conn *pgconn.PgConn) (bool, error) {
		answer, err := value(ctx, conn, queryRecovering)
		return answer == valueTrue, err
	})
}

// TerminateConnections ends the connections to upstream that were opened under the name
// application, and returns how many there still are.
func (p *Prober) TerminateConnections(
	ctx context.Context, group *bundle.Group, upstream *bundle.Upstream, application string,
) (int, error) {
	return onLane(ctx, p.lane(upstream.ID), group, upstream, func(ctx context.Context, conn *pgconn.PgConn) (int, error) {
		return endAndCount(ctx, conn, application)
	})
}

func endAndCount(ctx context.Context, conn *pgconn.PgConn, application string) (int, error) {
	name, err := conn.EscapeString(application)
	if err != nil {
		return 0, errors.Wrap(err, "application name")
	}
	where := fmt.Sprintf(whereApplication, name)
	if _, err := query(ctx, conn, queryTerminate+where); err != nil {
		return 0, err
	}
	text, err := value(ctx, conn, queryCount+where)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(text)
}

// Close closes all connections. Questions under way end with an error.
func (p *Prober) Close() {
	p.mu.Lock()
	lanes := p.lanes
	p.lanes = make(map[model.UpstreamID]*lane)
	p.mu.Unlock()
	for _, l := range lanes {
		l.close()
	}
}

func (p *Prober) lane(id model.UpstreamID) *lane {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, exists := p.lanes[id]
	if !exists {
		found = newLane(p.application)
		p.lanes[id] = found
	}
	return found
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
	if err = sample.addReceiver(ctx, conn); err != nil {
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
	return parseTimeline(text)
}

func parseTimeline(text string) (uint32, error) {
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

// addReceiver takes the address that a replica streams from, and the timeline
// that it receives. That of the control file lags behind until the replica's
// next restart point. A replica that streams from nothing keeps what is known.
func (s *Sample) addReceiver(ctx context.Context, conn *pgconn.PgConn) error {
	rows, err := query(ctx, conn, queryReceiver)
	if err != nil {
		return err
	}
	if len(rows) != 1 || len(rows[0]) != receiverFields {
		return nil
	}
	host, err := netip.ParseAddr(string(rows[0][0]))
	if err != nil {
		return nil
	}
	port, err := strconv.ParseUint(string(rows[0][1]), 10, 16)
	if err != nil {
		return errors.Wrap(err, "sender port")
	}
	received, err := parseTimeline(string(rows[0][2]))
	if err != nil {
		return err
	}
	s.Follows = netip.AddrPortFrom(host, uint16(port))
	s.Timeline = max(s.Timeline, received)
	return nil
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
