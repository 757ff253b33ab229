package mesh

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/go-faster/errors"
)

// dial connects to the peer, with TLS if configured, within the handshake
// timeout.
func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.config.HandshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", l.peer.Address)
	if err != nil {
		return nil, err
	}
	return l.secure(ctx, countedConn{conn})
}

// secure runs the TLS handshake if TLS is configured. It closes conn on failure.
func (l *link) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if l.config.ClientTLS == nil {
		return conn, nil
	}
	config := l.config.ClientTLS.Clone()
	if host, _, err := net.SplitHostPort(l.peer.Address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return secured, nil
}
