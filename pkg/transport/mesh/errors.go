package mesh

import (
	"io"
	"net"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
)

// ignoreStreamEnd returns nil for errors that mean that a stream or its session
// ended, and err otherwise.
func ignoreStreamEnd(err error) error {
	ended := []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, yamux.ErrSessionShutdown, yamux.ErrStreamClosed, yamux.ErrConnectionReset}
	for _, candidate := range ended {
		if errors.Is(err, candidate) {
			return nil
		}
	}
	return err
}
