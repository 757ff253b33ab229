package pgfront

import (
	"io"
	"net"

	"github.com/go-faster/errors"
)

func isEndOfStream(err error) bool {
	isEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return isEnd || errors.Is(err, net.ErrClosed)
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
