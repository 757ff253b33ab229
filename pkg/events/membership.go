package events

import "log/slog"

// Events of membership and stopping.
var (
	// InstanceStarted is event 601.
	InstanceStarted = define(Event{
		Number:  601,
		Name:    "instance started",
		Level:   slog.LevelInfo,
		Meaning: "The process started.",
	})
	// InstanceReady is event 602.
	InstanceReady = define(Event{
		Number:  602,
		Name:    "instance ready",
		Level:   slog.LevelInfo,
		Meaning: "The instance has a configuration and accepts callers.",
	})
	// InstanceRegistered is event 603.
	InstanceRegistered = define(Event{
		Number:  603,
		Name:    "instance registered",
		Level:   slog.LevelInfo,
		Meaning: "The instance is registered as a member.",
	})
	// RegistrationLost is event 604.
	RegistrationLost = define(Event{
		Number:  604,
		Name:    "registration lost",
		Level:   slog.LevelWarn,
		Meaning: "The instance was removed from the members while it ran; it registers again and accepts no writes until then.",
		Action:  "Check the network around the instance.",
	})
	// StopStarted is event 610.
	StopStarted = define(Event{
		Number:  610,
		Name:    "stop started",
		Level:   slog.LevelInfo,
		Meaning: "A planned stop began; no new session is accepted.",
	})
	// StopDrained is event 611.
	StopDrained = define(Event{
		Number:  611,
		Name:    "stop drained",
		Level:   slog.LevelInfo,
		Meaning: "All units of work in flight have been answered.",
	})
	// StopTimedOut is event 612.
	StopTimedOut = define(Event{
		Number:  612,
		Name:    "stop timed out",
		Level:   slog.LevelError,
		Meaning: "Work was still in flight at the end of stop.drain_timeout.",
		Action:  "Raise stop.drain_timeout, or find the long transaction.",
	})
	// InstanceStopped is event 613.
	InstanceStopped = define(Event{
		Number:  613,
		Name:    "instance stopped",
		Level:   slog.LevelInfo,
		Meaning: "The process ends.",
	})
	// UpstreamLeaving is event 620.
	UpstreamLeaving = define(Event{
		Number:  620,
		Name:    "upstream leaving",
		Level:   slog.LevelInfo,
		Meaning: "An upstream is marked as leaving and receives no new work.",
	})
	// UpstreamDrained is event 621.
	UpstreamDrained = define(Event{
		Number:  621,
		Name:    "upstream drained",
		Level:   slog.LevelInfo,
		Meaning: "No unit of work runs on a leaving upstream any more.",
	})
)
