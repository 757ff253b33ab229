// Package pgprobe queries upstreams for their role, timeline and log position, and
// promotes replicas, with PostgreSQL's documented functions and views.
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

// Statements and parts of statements; see "System Administration Functions" in
// PostgreSQL's documentation.
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

// Sample is the state that an upstream reports. Its fields must be those of
// control.Sample, into which it is converted.
type Sample struct {
	// Recovering is true for a replica.
	Recovering bool
	Timeline   uint32
	// LSN is the current log position of a primary, or the position up to which a
	// replica has replayed the log.
	LSN model.LSN
	// Follows is the address of the server from which a replica streams the log. It
	// is invalid if there is none.
	Follows netip.AddrPort
}

// Prober keeps one connection to each upstream. It is safe for concurrent use; the
// queries to one upstream run one after the other.
type Prober struct {
	application string
	// mu guards connections.
	mu          sync.Mutex
	connections map[model.UpstreamID]*connection
}

// New returns a Prober without connections. application is their application_name.
func New(application string) *Prober {
	return &Prober{application: application, connections: make(map[model.UpstreamID]*connection)}
}

// Probe returns the state of upstream. On any error the connection is closed.
func (p *Prober) Probe(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error) {
	return withConnection(ctx, p.connection(upstream.ID), group, upstream, readSample)
}

// Promote makes upstream a primary and returns its state afterwards; LSN is the
// position at which its recovery ended. It is idempotent: the result is the same for
// an upstream that has already been promoted. After an error the upstream may or may
// not have been promoted.
func (p *Prober) Promote(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error) {
	return withConnection(ctx, p.connection(upstream.ID), group, upstream, promote)
}

// Current returns the current log position of a primary.
func (p *Prober) Current(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (model.LSN, error) {
	return withConnection(ctx, p.connection(upstream.ID), group, upstream, func(ctx context.Context, conn *pgconn.PgConn) (model.LSN, error) {
		return position(ctx, conn, queryCurrent)
	})
}

// Replayed returns the log position up to which a replica has replayed the log.
func (p *Prober) Replayed(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (model.LSN, error) {
	return withConnection(ctx, p.connection(upstream.ID), group, upstream, func(ctx context.Context, conn *pgconn.PgConn) (model.LSN, error) {
		return position(ctx, conn, queryReplayed)
	})
}

// IsReplica reports whether an upstream is a replica.
func (p *Prober) IsReplica(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (bool, error) {
	return withConnection(ctx, p.connection(upstream.ID), group, upstream, func(ctx context.Context, conn *pgconn.PgConn) (bool, error) {
		answer, err := value(ctx, conn, queryRecovering)
		return answer == valueTrue, err
	})
}

// TerminateConnections terminates the connections to upstream whose
// application_name is application, and returns how many are still open.
func (p *Prober) TerminateConnections(
	ctx context.Context, group *bundle.Group, upstream *bundle.Upstream, application string,
) (int, error) {
	return withConnection(ctx, p.connection(upstream.ID), group, upstream, func(ctx context.Context, conn *pgconn.PgConn) (int, error) {
		return terminateAndCount(ctx, conn, application)
	})
}

func terminateAndCount(ctx context.Context, conn *pgconn.PgConn, application string) (int, error) {
	name, err := conn.EscapeString(application)
	if err != nil {
		return 0, errors.Wrap(err, "escape application name")
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

// Close closes all connections, each after the query that is running on it.
func (p *Prober) Close() {
	p.mu.Lock()
	open := p.connections
	p.connections = make(map[model.UpstreamID]*connection)
	p.mu.Unlock()
	for _, l := range open {
		l.close()
	}
}

// connection returns the connection to an upstream, which is opened on its first
// use.
func (p *Prober) connection(id model.UpstreamID) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, exists := p.connections[id]
	if !exists {
		found = newConnection(p.application)
		p.connections[id] = found
	}
	return found
}

// promote promotes the upstream unless it is already a primary.
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
	sample, err := readSample(ctx, conn)
	if err != nil {
		return Sample{}, err
	}
	sample.LSN, err = position(ctx, conn, queryReplayed)
	return sample, err
}

// orderPromotion runs pg_promote, which waits until the promotion has completed.
func orderPromotion(ctx context.Context, conn *pgconn.PgConn) error {
	promoted, err := value(ctx, conn, queryPromote)
	if err != nil {
		return err
	}
	if promoted != valueTrue {
		return errors.New("promotion did not complete: pg_promote did not return true")
	}
	return nil
}

// readSample returns the state of the upstream.
func readSample(ctx context.Context, conn *pgconn.PgConn) (Sample, error) {
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
		return 0, errors.Wrap(err, "parse timeline")
	}
	return uint32(parsed), nil
}

// position runs a statement that returns a log position.
func position(ctx context.Context, conn *pgconn.PgConn, query string) (model.LSN, error) {
	text, err := value(ctx, conn, query)
	if err != nil {
		return 0, err
	}
	return model.ParseLSN(text)
}

// addReceiver adds the address from which a replica streams the log, and the
// timeline that it receives: the timeline of the control file is out of date until
// the replica's next restart point. It changes nothing for a replica that does not
// stream, or whose sender has no IP address.
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
		return errors.Wrap(err, "parse sender port")
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
		return "", errors.Errorf("%s: expected one row with one value", statement)
	}
	return string(rows[0][0]), nil
}

// query runs a statement that returns one result, and returns its rows.
func query(ctx context.Context, conn *pgconn.PgConn, statement string) ([][][]byte, error) {
	results, err := conn.Exec(ctx, statement).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, statement)
	}
	if len(results) != 1 {
		return nil, errors.Errorf("%s: expected one result", statement)
	}
	return results[0].Rows, nil
}
