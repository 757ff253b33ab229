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
	forwards      = telemetry.MeshForwards.With()
)

// countedConn counts the bytes of the mesh.
type countedConn struct{ net.Conn }

// Read counts and reads.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesIn.Add(n)
	return n, err
}

// Write counts and writes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesOut.Add(n)
	return n, err
}

// resultOf returns the counter for the end of a call.
func resultOf(err error) *metrics.Counter {
	switch {
	case err == nil:
		return callsOK
	case errors.Is(err, context.DeadlineExceeded):
		return callsTimedOut
	default:
		return callsFailed
	}
}

// reportRefused logs a peer whose handshake failed.
func (n *Node) reportRefused(conn net.Conn, err error) {
	n.reportBadPeer(conn, events.PeerRefused, err)
}

// reportBadFrame logs a session that was closed for what its peer sent.
func (n *Node) reportBadFrame(conn net.Conn, err error) {
	n.reportBadPeer(conn, events.FrameMalformed, err)
}

// reportBadPeer logs event, or that a frame was too large. A session that
// simply ended is not logged.
func (n *Node) reportBadPeer(conn net.Conn, event events.Event, err error) {
	if ignoreClosed(err) == nil || n.ctx.Err() != nil {
		return
	}
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		event = events.FrameTooLarge
	}
	events.Log(n.ctx, n.config.Logger, event,
		slog.String("remote", conn.RemoteAddr().String()), slog.Any("error", err))
}

// isViolation reports whether a yamux session ended for what its peer sent.
func isViolation(err error) bool {
	violations := []error{yamux.ErrInvalidVersion, yamux.ErrInvalidMsgType, yamux.ErrRecvWindowExceeded, yamux.ErrDuplicateStream}
	return slices.ContainsFunc(violations, func(known error) bool { return errors.Is(err, known) })
}

// report logs an event of the session with the peer.
func (l *link) report(event events.Event, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("peer", string(l.peer.ID)), slog.String("address", l.peer.Address))
	events.Log(l.ctx, l.config.Logger, event, attrs...)
}

// reportEnd logs the end of a session, or that none could be opened.
func (l *link) reportEnd(served bool, err error) {
	event := events.PeerUnreachable
	if served {
		event = events.PeerLost
	}
	l.report(event, slog.Any("error", err))
}
