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
