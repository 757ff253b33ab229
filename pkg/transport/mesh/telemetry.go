package mesh

import (
	"context"
	"log/slog"
	"net"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/telemetry"
)

var (
	bytesIn       = telemetry.MeshBytes.With("in")
	bytesOut      = telemetry.MeshBytes.With("out")
	callsOK       = telemetry.MeshCalls.With("ok")
	callsTimedOut = telemetry.MeshCalls.With("timeout")
	callsFailed   = telemetry.MeshCalls.With("failed")
	lateBytes     = telemetry.MeshLateBytes.With()
	forwards      = telemetry.MeshForwards.With()
)

// countedConn adds the bytes read and written to the metrics of the mesh.
type countedConn struct{ net.Conn }

// Read reads from the connection and counts the bytes.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesIn.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesOut.Add(n)
	return n, err
}

// callCounter returns the counter for calls that ended with err.
func callCounter(err error) *metrics.Counter {
	switch {
	case err == nil:
		return callsOK
	case errors.Is(err, context.DeadlineExceeded):
		return callsTimedOut
	default:
		return callsFailed
	}
}

// logRefused logs a peer whose handshake failed.
func (n *Node) logRefused(conn net.Conn, err error) {
	n.logBadPeer(conn, events.PeerRefused, err)
}

// logBadFrame logs a session that was closed because of a malformed frame.
func (n *Node) logBadFrame(conn net.Conn, err error) {
	n.logBadPeer(conn, events.FrameMalformed, err)
}

// logBadPeer logs event, or FrameTooLarge if err says so. The ordinary end of a
// session is not logged.
func (n *Node) logBadPeer(conn net.Conn, event events.Event, err error) {
	if ignoreStreamEnd(err) == nil || n.ctx.Err() != nil {
		return
	}
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		event = events.FrameTooLarge
	}
	events.Log(n.ctx, n.config.Logger, event,
		slog.String("remote", conn.RemoteAddr().String()), slog.Any("error", err))
}

// isProtocolViolation reports whether a yamux session ended because its peer
// violated the protocol.
func isProtocolViolation(err error) bool {
	violations := []error{yamux.ErrInvalidVersion, yamux.ErrInvalidMsgType, yamux.ErrRecvWindowExceeded, yamux.ErrDuplicateStream}
	return slices.ContainsFunc(violations, func(known error) bool { return errors.Is(err, known) })
}

// logEvent logs an event about the link to the peer.
func (l *link) logEvent(event events.Event, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("peer", string(l.peer.ID)), slog.String("address", l.peer.Address))
	events.Log(l.ctx, l.config.Logger, event, attrs...)
}

// logSessionEnd logs the end of a session. served is false if none could be
// opened.
func (l *link) logSessionEnd(served bool, err error) {
	event := events.PeerUnreachable
	if served {
		event = events.PeerLost
	}
	l.logEvent(event, slog.Any("error", err))
}
