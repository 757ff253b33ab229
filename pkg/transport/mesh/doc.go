// Package mesh carries messages and forwarded units of work between instances
// over yamux sessions. A message is a protobuf Envelope; a forwarded unit is a
// stream of its own.
//
// Each instance dials every peer and sends its own messages on the session
// that it dialled; the answers to its calls come back on the same stream. A
// frame that is too large or malformed closes the session it came on and
// nothing else.
package mesh
