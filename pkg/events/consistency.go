package events

import "log/slog"

// Events of consistency, admission and grants.
var (
	// WriteLost is event 401.
	WriteLost = define(Event{
		Number:  401,
		Name:    "write lost",
		Level:   slog.LevelError,
		Meaning: "A session's acknowledged write did not survive a change of primary; the session was told.",
		Action:  "Tell the users of the caller; consider wait_replicas for the route.",
	})
	// MarkNotStored is event 402.
	MarkNotStored = define(Event{
		Number:  402,
		Name:    "mark not stored",
		Level:   slog.LevelWarn,
		Meaning: "The mark of a write could not be stored; the caller was told that the write may have run.",
		Action:  "Check the mesh.",
	})
	// ReplicaStale is event 403.
	ReplicaStale = define(Event{
		Number:  403,
		Name:    "replica too old for reads",
		Level:   slog.LevelInfo,
		Meaning: "A replica's lag is above what the group's routes accept.",
		Action:  "If it lasts: check replication.",
	})
	// ReplicaFresh is event 404.
	ReplicaFresh = define(Event{
		Number:  404,
		Name:    "replica usable again",
		Level:   slog.LevelInfo,
		Meaning: "A replica's lag is again below what the group's routes accept.",
	})
	// NoReplica is event 405.
	NoReplica = define(Event{
		Number:  405,
		Name:    "no replica for reads",
		Level:   slog.LevelWarn,
		Meaning: "All reads of the group go to its primary.",
		Action:  "Check the replicas of the group.",
	})
	// Overloaded is event 420.
	Overloaded = define(Event{
		Number:  420,
		Name:    "overloaded",
		Level:   slog.LevelWarn,
		Meaning: "Units of work are being refused because they would miss their deadline.",
		Action:  "Find the caller with the largest share, or add capacity.",
	})
	// OverloadEnded is event 421.
	OverloadEnded = define(Event{
		Number:  421,
		Name:    "overload ended",
		Level:   slog.LevelInfo,
		Meaning: "No unit of work was refused for some time.",
	})
	// GrantChanged is event 440.
	GrantChanged = define(Event{
		Number:  440,
		Name:    "connection grant changed",
		Level:   slog.LevelInfo,
		Meaning: "The number of connections that this instance may have open to an upstream changed.",
	})
)
