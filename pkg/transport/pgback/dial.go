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

// baseConnString fixes every setting that pgconn would otherwise take from its
// environment. Address and login are set afterwards.
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

func newDialer(config Config) (*dialer, error) {
	base, err := pgconn.ParseConfig(baseConnString)
	if err != nil {
		return nil, errors.Wrap(err, "connection settings")
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

// dial opens a connection to upstream with the login of group. The timeout
// holds in addition to that of ctx.
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
	return d.wrap(hijacked, upstream), nil
}

// errUnexpectedMessage means that an upstream said something after its login
// that nobody asked for.
var errUnexpectedMessage = errors.New("message without a request")

// endBackgroundRead ends a read that package pgconn may have left pending. It
// starts one during a slow write of the login, which would take the answer to
// the connection's first request. The deadline in the past lets that read
// return, and the next one of the login's frontend waits for it.
func endBackgroundRead(hijacked *pgconn.HijackedConn) error {
	if err := hijacked.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	_, err := hijacked.Frontend.Receive()
	if err == nil {
		return errUnexpectedMessage
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrap(err, "after login")
	}
	return hijacked.Conn.SetReadDeadline(time.Time{})
}

func (d *dialer) config(group *bundle.Group, upstream *bundle.Upstream) (*pgconn.Config, error) {
	address, err := netip.ParseAddrPort(upstream.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "address of %s", upstream.ID)
	}
	config := d.base.Copy()
	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.User = group.User
	config.Password = group.Password
	config.Database = group.Database
	return config, nil
}

func (d *dialer) wrap(hijacked *pgconn.HijackedConn, upstream *bundle.Upstream) *conn {
	frontend := pgproto3.NewFrontend(hijacked.Conn, hijacked.Conn)
	frontend.SetMaxBodyLen(d.maxMessage)
	return &conn{
		net:        hijacked.Conn,
		frontend:   frontend,
		pid:        hijacked.PID,
		secret:     hijacked.SecretKey,
		address:    upstream.Address,
		probe:      lines.NewInputProbe(hijacked.Conn),
		statements: newStatements(d.statements),
	}
}

// sendCancel carries a cancel request and waits until the upstream has closed
// the connection, which it does after it has acted on the request.
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

func waitForClose(connection net.Conn) error {
	one := make([]byte, 1)
	_, err := connection.Read(one)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Wrap(err, "cancel")
	}
	return nil
}

// origin names what a connection was opened for.
type origin struct {
	group      *bundle.Group
	upstream   *bundle.Upstream
	generation model.Generation
}

// matches reports whether a connection opened for o serves other.
func (o origin) matches(other origin) bool {
	if o.generation < other.generation {
		return false
	}
	return o.group.Login(o.upstream) == other.group.Login(other.upstream)
}
