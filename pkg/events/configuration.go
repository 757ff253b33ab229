package events

import "log/slog"

// Events of configuration and the platform.
var (
	// ConfigurationAdopted is event 501.
	ConfigurationAdopted = define(Event{
		Number:  501,
		Name:    "configuration adopted",
		Level:   slog.LevelInfo,
		Meaning: "A higher revision is active.",
	})
	// ConfigurationRefused is event 502.
	ConfigurationRefused = define(Event{
		Number:  502,
		Name:    "configuration refused",
		Level:   slog.LevelError,
		Meaning: "A bundle could not be read or does not match its digest; the active revision stays.",
		Action:  "Apply the folder again; keep the log.",
	})
	// ConfigurationBehind is event 503.
	ConfigurationBehind = define(Event{
		Number:  503,
		Name:    "configuration behind",
		Level:   slog.LevelWarn,
		Meaning: "A higher revision is known, but its bundle cannot be fetched yet.",
		Action:  "Check the object store of the platform.",
	})
	// RouteDraining is event 504.
	RouteDraining = define(Event{
		Number:  504,
		Name:    "route draining",
		Level:   slog.LevelInfo,
		Meaning: "A removed route accepts no new work; work in flight is completed.",
	})
	// PlatformUnreachable is event 510.
	PlatformUnreachable = define(Event{
		Number:  510,
		Name:    "platform unreachable",
		Level:   slog.LevelError,
		Meaning: "The platform does not answer.",
		Action:  "Check the platform; work continues as long as permits can be renewed by peers.",
	})
	// PlatformRecovered is event 511.
	PlatformRecovered = define(Event{
		Number:  511,
		Name:    "platform recovered",
		Level:   slog.LevelInfo,
		Meaning: "The platform answers again.",
	})
	// PlatformSlow is event 512.
	PlatformSlow = define(Event{
		Number:  512,
		Name:    "platform slow",
		Level:   slog.LevelWarn,
		Meaning: "Calls to the platform take more than half of platform.timeout.",
		Action:  "Check the platform's load.",
	})
	// CommitUnknown is event 513.
	CommitUnknown = define(Event{
		Number:  513,
		Name:    "commit outcome unknown",
		Level:   slog.LevelWarn,
		Meaning: "The answer to a commit was lost; the instance reads the rows to find out the outcome.",
	})
	// PlatformAnswerMalformed is event 515.
	PlatformAnswerMalformed = define(Event{
		Number:  515,
		Name:    "platform answer malformed",
		Level:   slog.LevelError,
		Meaning: "An answer of the platform could not be decoded.",
		Action:  "Check platform.address and the platform's version.",
	})
)
