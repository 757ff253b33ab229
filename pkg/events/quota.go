package events

import "log/slog"

// Events of the rate limits of callers.
var (
	// UsageReportInvalid is event 441.
	UsageReportInvalid = define(Event{
		Number:  441,
		Name:    "usage report invalid",
		Level:   slog.LevelWarn,
		Meaning: "Entries in a peer's report of use were dropped: a caller without a limit here, a use that falls, or a time in the future. At most one line per second.",
		Action:  "None for some seconds after a change of configuration. If it lasts: compare the versions of the configuration on the two instances.",
	})
	// RatesDivided is event 442.
	RatesDivided = define(Event{
		Number:  442,
		Name:    "rates divided",
		Level:   slog.LevelInfo,
		Meaning: "How this instance shares the rates of callers with the other members: by demand, or in equal parts because it is not in touch with them or they do not agree on who is. It divides in equal parts while no caller with a limit is active.",
		Action:  "If it stays at equal parts under load: look at the mesh sessions between the members.",
	})
)
