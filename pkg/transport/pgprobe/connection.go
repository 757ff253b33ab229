package pgprobe

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"gypsumdock/pkg/state/bundle"
)

// lane is the connection to one upstream. Its owner is whoever took the token
// out of the channel; conn is nil until the first use and after an error.
type lane struct {
	token chan struct{}
	conn  *pgconn.PgConn
	login bundle.Login

	application string
}

func newLane(application string) *lane {
	l := &lane{token: make(chan struct{}, 1), application: application}
	l.token <- struct{}{}
	return l
}

// onLane runs question on the lane's connection, which it opens if needed. On
// any error the connection is closed.
func onLane[T any](
	ctx context.Context, l *lane, group *bundle.Group, upstream *bundle.Upstream,
	question func(context.Context, *pgconn.PgConn) (T, error),
) (T, error) {
	var none T
	select {
	case <-l.token:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	defer func() { l.token <- struct{}{} }()
	if err := l.connect(ctx, group, upstream); err != nil {
		return none, err
	}
	answer, err := question(ctx, l.conn)
	if err != nil {
		l.discard()
		return none, err
	}
	return answer, nil
}

// connect opens the connection unless it is open with the same login.
func (l *lane) connect(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) error {
	if l.conn != nil && !l.conn.IsClosed() && l.login == group.Login(upstream) {
		return nil
	}
	l.discard()
	conn, err := l.open(ctx, group, upstream)
	if err != nil {
		return err
	}
	l.conn = conn
	l.login = group.Login(upstream)
	return nil
}

// discard closes the connection without waiting for the upstream.
func (l *lane) discard() {
	if l.conn == nil {
		return
	}
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.conn.Close(expired)
	l.conn = nil
}

func (l *lane) close() {
	<-l.token
	l.discard()
	l.token <- struct{}{}
}

func (l *lane) open(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (*pgconn.PgConn, error) {
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
	config.RuntimeParams["application_name"] = l.application
	return pgconn.ConnectConfig(ctx, config)
}
