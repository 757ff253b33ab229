package events

import "log/slog"

// Events of the checks that an instance makes on itself.
var (
	// AuditConnections is event 901.
	AuditConnections = define(Event{
		Number:  901,
		Name:    "connection counters differ",
		Level:   slog.LevelError,
		Meaning: "Connections opened differ from closed plus open.",
		Action:  "Keep the log and report it; replace the instance when convenient.",
	})
	// AuditRequests is event 902.
	AuditRequests = define(Event{
		Number:  902,
		Name:    "request counters differ",
		Level:   slog.LevelError,
		Meaning: "Units of work received differ from answered plus in flight.",
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
	// AuditMarks is event 904.
	AuditMarks = define(Event{
		Number:  904,
		Name:    "marks above bound",
		Level:   slog.LevelWarn,
		Meaning: "More marks are held than replicas' progress accounts for.",
		Action:  "Check for a replica that has stopped; keep the log.",
	})
	// AuditSlots is event 905.
	AuditSlots = define(Event{
		Number:  905,
		Name:    "slot counters differ",
		Level:   slog.LevelError,
		Meaning: "Slots taken differ from units of work in flight.",
		Action:  "Keep the log and report it; replace the instance when convenient.",
	})
	// AuditMemory is event 906.
	AuditMemory = define(Event{
		Number:  906,
		Name:    "memory above bound",
		Level:   slog.LevelWarn,
		Meaning: "The process uses more memory than its connections account for.",
		Action:  "Keep a heap profile and report it.",
	})
)
