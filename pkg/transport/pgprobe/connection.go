package pgprobe

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"gypsumdock/pkg/state/bundle"
)

// connection is the connection to one upstream. The goroutine that has received the
// token from the channel owns the other fields and sends the token back after use;
// conn is nil until the first use and after an error.
type connection struct {
	token chan struct{}
	conn  *pgconn.PgConn
	login bundle.Login
	// application is the application_name of the connection.
	application string
}

func newConnection(application string) *connection {
	l := &connection{token: make(chan struct{}, 1), application: application}
	l.token <- struct{}{}
	return l
}

// withConnection runs query on the connection l, which it opens if needed. It waits
// for other queries on l until ctx ends. On any error the connection is closed.
func withConnection[T any](
	ctx context.Context, l *connection, group *bundle.Group, upstream *bundle.Upstream,
	query func(context.Context, *pgconn.PgConn) (T, error),
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
	answer, err := query(ctx, l.conn)
	if err != nil {
		l.discard()
		return none, err
	}
	return answer, nil
}

// connect opens the connection unless it is already open with the group's login.
func (l *connection) connect(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) error {
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

// discard closes the connection, if any, without waiting for the upstream.
func (l *connection) discard() {
	if l.conn == nil {
		return
	}
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.conn.Close(expired)
	l.conn = nil
}

// close waits for the query that is running and closes the connection.
func (l *connection) close() {
	<-l.token
	l.discard()
	l.token <- struct{}{}
}

// open returns a new connection with the login of group.
func (l *connection) open(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "parse connection settings")
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
