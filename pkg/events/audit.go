package events

import "log/slog"

// Events of the checks that an instance makes of its own counters.
var (
	// AuditConnections is event 901.
	AuditConnections = define(Event{
		Number:  901,
		Name:    "connection counters differ",
		Level:   slog.LevelError,
		Meaning: "The number of connections opened differs from those closed plus those open.",
		Action:  "Keep the log and report it; replace the instance when convenient.",
	})
	// AuditRequests is event 902.
	AuditRequests = define(Event{
		Number:  902,
		Name:    "request counters differ",
		Level:   slog.LevelError,
		Meaning: "More units of work are counted as in flight than there are sessions, so the end of some was not recorded.",
		Action:  "Keep the log and report it; replace the instance when convenient.",
	})
	// AuditGrants is event 903.
	AuditGrants = define(Event{
		Number:  903,
		Name:    "grant exceeded",
		Level:   slog.LevelError,
		Meaning: "This instance holds more connections to an upstream than granted.",
		Action:  "Keep the log and report it; replace the instance at once.",
	})
)
