package events

import "log/slog"

// Events of failover and permits.
var (
	// PrimaryLost is event 301.
	PrimaryLost = define(Event{
		Number:  301,
		Name:    "primary lost",
		Level:   slog.LevelError,
		Meaning: "Instances of several data centres get no answer from a group's primary.",
		Action:  "A replica is promoted automatically; repair the lost upstream.",
	})
	// GroupSealed is event 302.
	GroupSealed = define(Event{
		Number:  302,
		Name:    "group sealed",
		Level:   slog.LevelWarn,
		Meaning: "Writes to the group stop until the next generation starts.",
	})
	// HoldersStopped is event 303.
	HoldersStopped = define(Event{
		Number:  303,
		Name:    "permit holders stopped",
		Level:   slog.LevelInfo,
		Meaning: "No instance holds a permit of the sealed generation any more.",
	})
	// UpstreamPromoted is event 304.
	UpstreamPromoted = define(Event{
		Number:  304,
		Name:    "upstream promoted",
		Level:   slog.LevelWarn,
		Meaning: "A replica became primary.",
	})
	// GenerationStarted is event 305.
	GenerationStarted = define(Event{
		Number:  305,
		Name:    "generation started",
		Level:   slog.LevelWarn,
		Meaning: "The group accepts writes on its new primary.",
		Action:  "Repair the former primary and make it replicate from the new one.",
	})
	// PermitsLost is event 306.
	PermitsLost = define(Event{
		Number:  306,
		Name:    "write permits lost",
		Level:   slog.LevelError,
		Meaning: "This instance cannot renew its permits; it refuses writes as not run.",
		Action:  "Check the platform, then the mesh.",
	})
	// PermitsRegained is event 307.
	PermitsRegained = define(Event{
		Number:  307,
		Name:    "write permits regained",
		Level:   slog.LevelInfo,
		Meaning: "This instance accepts writes again.",
	})
	// DeposedReturned is event 308.
	DeposedReturned = define(Event{
		Number:  308,
		Name:    "deposed primary returned",
		Level:   slog.LevelWarn,
		Meaning: "A former primary answers again on an older timeline; it receives no work.",
		Action:  "Make it replicate from the new primary.",
	})
	// SwitchStarted is event 309.
	SwitchStarted = define(Event{
		Number:  309,
		Name:    "switch started",
		Level:   slog.LevelInfo,
		Meaning: "An operator's change of primary began.",
	})
	// SwitchRefused is event 310.
	SwitchRefused = define(Event{
		Number:  310,
		Name:    "switch refused",
		Level:   slog.LevelWarn,
		Meaning: "An operator's change of primary cannot be made.",
		Action:  "See the reason in the log line; choose another target or wait.",
	})
	// MemberJoined is event 311.
	MemberJoined = define(Event{
		Number:  311,
		Name:    "member joined",
		Level:   slog.LevelInfo,
		Meaning: "An instance was registered.",
	})
	// MemberRemoved is event 312.
	MemberRemoved = define(Event{
		Number:  312,
		Name:    "member removed",
		Level:   slog.LevelInfo,
		Meaning: "An instance's registration was removed.",
	})
	// PromotionFailed is event 313.
	PromotionFailed = define(Event{
		Number:  313,
		Name:    "promotion failed",
		Level:   slog.LevelError,
		Meaning: "A replica did not become primary in time; another attempt follows.",
		Action:  "If it repeats: check the replicas of the group.",
	})
)
