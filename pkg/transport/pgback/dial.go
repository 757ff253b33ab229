package pgback

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/lines"
)

// baseConnString sets everything that pgconn would otherwise take from the
// environment of the process. Address and login are replaced for each upstream.
const baseConnString = "host=127.0.0.1 port=5432 user=unset password=unset dbname=unset sslmode=disable " +
	"passfile=/dev/null target_session_attrs=any " +
	"require_auth=scram-sha-256,password,none"

// dialer opens connections and logs in.
type dialer struct {
	base       *pgconn.Config
	timeout    time.Duration
	maxMessage int
	statements int
}

// newDialer returns a dialer with the settings of config.
func newDialer(config Config) (*dialer, error) {
	base, err := pgconn.ParseConfig(baseConnString)
	if err != nil {
		return nil, errors.Wrap(err, "parse base connection settings")
	}
	base.Fallbacks = nil
	base.TLSConfig = config.TLS
	base.RuntimeParams["application_name"] = config.ApplicationName
	return &dialer{
		base:       base,
		timeout:    config.DialTimeout,
		maxMessage: config.MaxMessageBytes,
		statements: config.MaxStatements,
	}, nil
}

// dial opens a connection to upstream with the login of group. It ends with ctx
// or after the dialer's timeout, whichever is earlier.
func (d *dialer) dial(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	config, err := d.config(group, upstream)
	if err != nil {
		return nil, err
	}
	session, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", upstream.ID)
	}
	hijacked, err := session.Hijack()
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", upstream.ID)
	}
	if err := endBackgroundRead(hijacked); err != nil {
		_ = hijacked.Conn.Close()
		return nil, errors.Wrapf(err, "connect to %s", upstream.ID)
	}
	return d.newConn(hijacked, upstream), nil
}

// errUnexpectedMessage means that an upstream sent a message after the login that
// answers no request.
var errUnexpectedMessage = errors.New("unexpected message of the upstream after login, before any request")

// endBackgroundRead ends a read that package pgconn may have left running. pgconn
// reads in the background during a slow write of the login; that read would
// consume the answer to the connection's first request. The deadline in the past
// makes it return, and the next read of pgconn's frontend waits for that.
func endBackgroundRead(hijacked *pgconn.HijackedConn) error {
	if err := hijacked.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "set read deadline")
	}
	_, err := hijacked.Frontend.Receive()
	if err == nil {
		return errUnexpectedMessage
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrap(err, "end background read after login")
	}
	return hijacked.Conn.SetReadDeadline(time.Time{})
}

// config returns the settings of a connection to upstream.
func (d *dialer) config(group *bundle.Group, upstream *bundle.Upstream) (*pgconn.Config, error) {
	address, err := netip.ParseAddrPort(upstream.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "parse address of %s", upstream.ID)
	}
	config := d.base.Copy()
	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.User = group.User
	config.Password = group.Password
	config.Database = group.Database
	return config, nil
}

// newConn returns the conn on a socket that pgconn has logged in.
func (d *dialer) newConn(hijacked *pgconn.HijackedConn, upstream *bundle.Upstream) *conn {
	frontend := pgproto3.NewFrontend(hijacked.Conn, hijacked.Conn)
	frontend.SetMaxBodyLen(d.maxMessage)
	return &conn{
		socket:     hijacked.Conn,
		frontend:   frontend,
		pid:        hijacked.PID,
		secret:     hijacked.SecretKey,
		address:    upstream.Address,
		probe:      lines.NewInputProbe(hijacked.Conn),
		statements: newStatementCache(d.statements),
	}
}

// sendCancel sends a cancel request on a connection of its own and waits until the
// upstream has closed it, which it does after it has processed the request.
func sendCancel(ctx context.Context, address string, request *pgproto3.CancelRequest) error {
	dialer := net.Dialer{}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	defer connection.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := connection.SetDeadline(deadline); err != nil {
			return errors.Wrap(err, "cancel")
		}
	}
	packet, err := request.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	if _, err := connection.Write(packet); err != nil {
		return errors.Wrap(err, "cancel")
	}
	return waitForClose(connection)
}

// waitForClose waits until the other side closes connection. Any end except a
// timeout counts as closed.
func waitForClose(connection net.Conn) error {
	one := make([]byte, 1)
	_, err := connection.Read(one)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Wrap(err, "cancel")
	}
	return nil
}

// connectionKey is the login, upstream and generation for which a connection was
// opened or is requested.
type connectionKey struct {
	group      *bundle.Group
	upstream   *bundle.Upstream
	generation model.Generation
}

// canServe reports whether a connection opened for k can serve a request for
// other: its login is the same and its generation not older.
func (k connectionKey) canServe(other connectionKey) bool {
	if k.generation < other.generation {
		return false
	}
	return k.group.Login(k.upstream) == other.group.Login(other.upstream)
}
