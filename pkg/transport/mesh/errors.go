package mesh

import (
	"io"
	"net"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
)

// ignoreClosed returns nil for the errors of a stream that simply ended.
func ignoreClosed(err error) error {
	ended := []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, yamux.ErrSessionShutdown, yamux.ErrStreamClosed, yamux.ErrConnectionReset}
	for _, candidate := range ended {
		if errors.Is(err, candidate) {
			return nil
		}
	}
	return err
}

// reportBadPeer logs a session that was closed for what its peer sent.
func (n *Node) reportBadPeer(conn net.Conn, err error) {
	if ignoreClosed(err) == nil || n.ctx.Err() != nil {
		return
	}
	n.config.Logger.Warn("mesh session refused", "remote", conn.RemoteAddr().String(), "error", err)
}
