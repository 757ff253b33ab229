package events

import "log/slog"

// Events of callers and upstreams.
var (
	// CallerConnected is event 101.
	CallerConnected = define(Event{
		Number:  101,
		Name:    "caller connected",
		Level:   slog.LevelDebug,
		Meaning: "A caller authenticated.",
	})
	// CallerDisconnected is event 102.
	CallerDisconnected = define(Event{
		Number:  102,
		Name:    "caller disconnected",
		Level:   slog.LevelDebug,
		Meaning: "A caller's connection ended.",
	})
	// CallerAuthFailed is event 103.
	CallerAuthFailed = define(Event{
		Number:  103,
		Name:    "caller authentication failed",
		Level:   slog.LevelInfo,
		Meaning: "A caller gave a wrong password or an unknown name.",
		Action:  "If there are many from one address: check the client's password, or look for an attack.",
	})
	// CallerStartupRefused is event 104.
	CallerStartupRefused = define(Event{
		Number:  104,
		Name:    "caller startup refused",
		Level:   slog.LevelInfo,
		Meaning: "A connection did not send a valid startup message in time.",
		Action:  "If there are many: check what connects to the callers' port.",
	})
	// CallerLimitReached is event 105.
	CallerLimitReached = define(Event{
		Number:  105,
		Name:    "caller connection limit reached",
		Level:   slog.LevelWarn,
		Meaning: "A connection was refused because callers.max_connections or the caller's max_connections is reached.",
		Action:  "Find the client that leaks connections, or raise the limit.",
	})
	// CallerVanished is event 106.
	CallerVanished = define(Event{
		Number:  106,
		Name:    "caller vanished in a transaction",
		Level:   slog.LevelInfo,
		Meaning: "A caller's connection broke inside a transaction, which was rolled back.",
	})
	// CallerUnsupported is event 107.
	CallerUnsupported = define(Event{
		Number:  107,
		Name:    "unsupported request refused",
		Level:   slog.LevelInfo,
		Meaning: "A caller used a part of the protocol that is not served, such as COPY or replication.",
		Action:  "Tell the owner of the client.",
	})
	// StatementTooLarge is event 108.
	StatementTooLarge = define(Event{
		Number:  108,
		Name:    "statement too large",
		Level:   slog.LevelInfo,
		Meaning: "A message was larger than callers.max_message_bytes.",
		Action:  "If the statement is legitimate, raise the limit.",
	})
	// CallerProtocolError is event 109.
	CallerProtocolError = define(Event{
		Number:  109,
		Name:    "caller protocol error",
		Level:   slog.LevelWarn,
		Meaning: "A caller sent a message that is malformed or out of sequence; its connection was closed.",
		Action:  "Tell the owner of the client.",
	})
	// RequestMayHaveRun is event 110.
	RequestMayHaveRun = define(Event{
		Number:  110,
		Name:    "request may have run",
		Level:   slog.LevelWarn,
		Meaning: "A caller was told that its request may have run.",
		Action:  "Look for events of the upstream at the same time.",
	})
	// UpstreamConnected is event 120.
	UpstreamConnected = define(Event{
		Number:  120,
		Name:    "upstream connected",
		Level:   slog.LevelDebug,
		Meaning: "A connection to an upstream was opened.",
	})
	// UpstreamConnectFailed is event 121.
	UpstreamConnectFailed = define(Event{
		Number:  121,
		Name:    "upstream connect failed",
		Level:   slog.LevelWarn,
		Meaning: "A connection to an upstream could not be opened.",
		Action:  "Check the upstream and the network to it.",
	})
	// UpstreamLost is event 122.
	UpstreamLost = define(Event{
		Number:  122,
		Name:    "upstream connection lost",
		Level:   slog.LevelWarn,
		Meaning: "A connection broke while a statement ran on it.",
		Action:  "Check the upstream.",
	})
	// UpstreamAnswerCut is event 123.
	UpstreamAnswerCut = define(Event{
		Number:  123,
		Name:    "upstream answer cut",
		Level:   slog.LevelWarn,
		Meaning: "An upstream's answer ended before it was complete; the caller got an error.",
		Action:  "Check the upstream.",
	})
	// UpstreamDiscarded is event 124.
	UpstreamDiscarded = define(Event{
		Number:  124,
		Name:    "upstream connection discarded",
		Level:   slog.LevelDebug,
		Meaning: "A connection in an unknown state was closed instead of pooled.",
	})
	// UpstreamAuthFailed is event 125.
	UpstreamAuthFailed = define(Event{
		Number:  125,
		Name:    "upstream authentication failed",
		Level:   slog.LevelError,
		Meaning: "An upstream refused the user and password of its group.",
		Action:  "Correct user or password of the group in the folder, then apply.",
	})
)
