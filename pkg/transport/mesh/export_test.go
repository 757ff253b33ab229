package mesh

import (
	"bytes"

	"gypsumdock/pkg/protocol/meshpb"
)

// DecodeEnvelope reads one frame from data and discards the result.
func DecodeEnvelope(data []byte) {
	var message meshpb.Envelope
	_ = readFrame(bytes.NewReader(data), DefaultMaxFrameBytes, &message)
}
