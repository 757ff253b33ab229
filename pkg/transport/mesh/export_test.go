package mesh

import (
	"bytes"
	"net"

	"gypsumdock/pkg/protocol/meshpb"
)

// DecodeEnvelope reads one frame from data and discards the result.
func DecodeEnvelope(data []byte) {
	var message meshpb.Envelope
	_ = readFrame(bytes.NewReader(data), DefaultMaxFrameBytes, &message)
}

// MuxSession is muxSession.
type MuxSession = muxSession

// NewMuxClient starts a session on conn with the default configuration.
func NewMuxClient(conn net.Conn) (*MuxSession, error) {
	return newMuxClient(conn, Config{}.withDefaults())
}
