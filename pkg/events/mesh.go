package events

import "log/slog"

// Events of the mesh.
var (
	// MeshListening is event 201.
	MeshListening = define(Event{
		Number:  201,
		Name:    "listening for peers",
		Level:   slog.LevelInfo,
		Meaning: "The mesh listener is open.",
	})
	// PeerConnected is event 202.
	PeerConnected = define(Event{
		Number:  202,
		Name:    "peer connected",
		Level:   slog.LevelInfo,
		Meaning: "A mesh session with a peer is open.",
	})
	// PeerLost is event 203.
	PeerLost = define(Event{
		Number:  203,
		Name:    "peer lost",
		Level:   slog.LevelWarn,
		Meaning: "A mesh session ended.",
		Action:  "If the peer is not being stopped or replaced: check the instance and the network.",
	})
	// PeerRefused is event 204.
	PeerRefused = define(Event{
		Number:  204,
		Name:    "peer refused",
		Level:   slog.LevelWarn,
		Meaning: "The handshake with a peer failed: it belongs to another region, has an unknown version, or TLS failed.",
		Action:  "Check the settings of both instances.",
	})
	// FrameMalformed is event 205.
	FrameMalformed = define(Event{
		Number:  205,
		Name:    "malformed frame",
		Level:   slog.LevelWarn,
		Meaning: "A peer sent an invalid frame; the session was closed.",
		Action:  "Check what connects to the mesh port, and the versions in use.",
	})
	// FrameTooLarge is event 206.
	FrameTooLarge = define(Event{
		Number:  206,
		Name:    "frame too large",
		Level:   slog.LevelWarn,
		Meaning: "A peer sent a frame above mesh.max_frame_bytes; the session was closed.",
		Action:  "Set mesh.max_frame_bytes to the same value on all instances.",
	})
	// PeerCallTimedOut is event 207.
	PeerCallTimedOut = define(Event{
		Number:  207,
		Name:    "peer call timed out",
		Level:   slog.LevelInfo,
		Meaning: "A peer did not answer within mesh.call_timeout.",
		Action:  "If there are many: check the peer's load.",
	})
	// PeerUnreachable is event 208.
	PeerUnreachable = define(Event{
		Number:  208,
		Name:    "peer unreachable",
		Level:   slog.LevelDebug,
		Meaning: "An attempt to open a mesh session with a peer failed; it is retried.",
	})
	// PeerAnswerLate is event 209.
	PeerAnswerLate = define(Event{
		Number:  209,
		Name:    "late answer of a peer",
		Level:   slog.LevelInfo,
		Meaning: "An answer arrived after its call had been given up: its size in bytes. At most one line a second for each peer.",
		Action:  "If there are many large ones: the link is too narrow for what is sent over it, see OPERATIONS.md.",
	})
)
