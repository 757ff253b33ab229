// Package mesh carries messages and forwarded units of work between instances
// over yamux sessions. A message is a protobuf Envelope; a forwarded unit is a
// stream of its own.
//
// Each instance dials every peer, so two instances share two sessions. An
// instance sends its messages and opens forwarded streams only on the session
// that it dialled; the answers to its calls come back on the stream of its
// messages. A frame that is too large or malformed closes only the session on
// which it arrived.
package mesh
