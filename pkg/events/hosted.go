package events

import "log/slog"

// Events of an instance on the users' platform, which provides the configuration
// and the list of upstreams. Names that contain "doubted", "holder" or "away"
// are fixed; the code says suspected, lender and cut off.
var (
	// TableFeedLost is event 520.
	TableFeedLost = define(Event{
		Number:  520,
		Name:    "table feed lost",
		Level:   slog.LevelWarn,
		Meaning: "A table of the platform's store can no longer be followed. The contents read last stay active.",
		Action:  "If it lasts: check the platform. Until then, changes of configuration and new upstreams are not seen.",
	})
	// TableFeedRegained is event 521.
	TableFeedRegained = define(Event{
		Number:  521,
		Name:    "table feed regained",
		Level:   slog.LevelInfo,
		Meaning: "A table of the platform's store is followed again.",
	})
	// TableHistoryGone is event 522.
	TableHistoryGone = define(Event{
		Number:  522,
		Name:    "table history gone",
		Level:   slog.LevelInfo,
		Meaning: "The store no longer keeps the changes since the version read last. The whole table is read again.",
	})
	// TableRowRefused is event 523.
	TableRowRefused = define(Event{
		Number:  523,
		Name:    "table row refused",
		Level:   slog.LevelWarn,
		Meaning: "A row of the platform's store is invalid and is ignored. The other rows are used.",
		Action:  "Find out who writes the row that the log line names.",
	})
	// CatalogAdopted is event 524.
	CatalogAdopted = define(Event{
		Number:  524,
		Name:    "configuration version in force",
		Level:   slog.LevelInfo,
		Meaning: "A newer version of the operator's configuration is active.",
	})
	// UpstreamChanged is event 525.
	UpstreamChanged = define(Event{
		Number:  525,
		Name:    "upstream changed",
		Level:   slog.LevelInfo,
		Meaning: "An upstream was added, changed its state or was removed.",
	})
	// PromotionOrdered is event 526.
	PromotionOrdered = define(Event{
		Number:  526,
		Name:    "promotion ordered",
		Level:   slog.LevelInfo,
		Meaning: "This instance requests the platform to promote an upstream. The fence is the fencing token of the request.",
	})
	// UpstreamSuspected is event 527.
	UpstreamSuspected = define(Event{
		Number:  527,
		Name:    "upstream doubted",
		Level:   slog.LevelInfo,
		Meaning: "An upstream does not answer and is suspected of having failed, so it is probed.",
	})
	// UpstreamSuspicionEnded is event 528.
	UpstreamSuspicionEnded = define(Event{
		Number:  528,
		Name:    "upstream well again",
		Level:   slog.LevelInfo,
		Meaning: "An upstream that was suspected of having failed answers again.",
	})
	// SettingsReloaded is event 529.
	SettingsReloaded = define(Event{
		Number:  529,
		Name:    "settings read again",
		Level:   slog.LevelInfo,
		Meaning: "The settings file was read again on a signal.",
	})
	// InstanceAway is event 530.
	InstanceAway = define(Event{
		Number:  530,
		Name:    "instance away",
		Level:   slog.LevelWarn,
		Meaning: "This instance is cut off, that is, holds no permit and cannot confirm the head row, or no longer is. While it is, callers are moved to other instances.",
		Action:  "If it lasts: check the machine's network.",
	})
	// ReaderFailed is event 531.
	ReaderFailed = define(Event{
		Number:  531,
		Name:    "reader failed",
		Level:   slog.LevelInfo,
		Meaning: "An instance that reads the store for others, or that was queried for the state of the region, did not answer. Another one is asked for a while.",
	})
	// RequestServed is event 140.
	RequestServed = define(Event{
		Number:  140,
		Name:    "request served",
		Level:   slog.LevelInfo,
		Meaning: "A statement was executed: on which upstream, under which permit, at which position and after how many attempts. Sampled.",
	})
	// RequestFailed is event 141.
	RequestFailed = define(Event{
		Number:  141,
		Name:    "request failed",
		Level:   slog.LevelInfo,
		Meaning: "A statement was refused or failed: the cause, the verdict, and what was known when it was decided.",
		Action:  "See OPERATIONS.md for the way from a request's id to its cause.",
	})
	// RequestRetried is event 142.
	RequestRetried = define(Event{
		Number:  142,
		Name:    "request tried again",
		Level:   slog.LevelInfo,
		Meaning: "An attempt at a statement failed. It is retried, as the statement did not run or only reads.",
	})
	// LinesLeftOut is event 143.
	LinesLeftOut = define(Event{
		Number:  143,
		Name:    "log lines left out",
		Level:   slog.LevelInfo,
		Meaning: "Log lines beyond the limit per second were counted but not written.",
	})
	// RequestForwarded is event 145.
	RequestForwarded = define(Event{
		Number:  145,
		Name:    "request forwarded",
		Level:   slog.LevelInfo,
		Meaning: "A statement was answered by the instance named in via, which serves the group. Its log has the upstream and the verdict. Sampled.",
	})
	// ServerFailed is event 534.
	ServerFailed = define(Event{
		Number:  534,
		Name:    "server failed",
		Level:   slog.LevelWarn,
		Meaning: "An instance that serves groups did not answer, or refused a unit of work. For a while, units are forwarded to others.",
		Action:  "If it lasts: look at the log of that instance and at the network between the two.",
	})
	// ServerRetried is event 535.
	ServerRetried = define(Event{
		Number:  535,
		Name:    "server used again",
		Level:   slog.LevelInfo,
		Meaning: "Units of work are again forwarded to an instance that had failed.",
	})
	// MembersReported is event 536.
	MembersReported = define(Event{
		Number:  536,
		Name:    "members able to serve",
		Level:   slog.LevelInfo,
		Meaning: "How many members this instance, which is none, finds able to serve groups, how many are cut off from the store, and how many the head row lists. If too few are able, it becomes a member.",
		Action:  "If none is: check the machine's network, and whether the members in the head row run.",
	})
	// UnitRefused is event 537.
	UnitRefused = define(Event{
		Number:  537,
		Name:    "unit of a peer refused",
		Level:   slog.LevelWarn,
		Meaning: "A unit of work that a peer forwarded was not taken, and has not run: the group is not served here, this instance is stopping, the request cannot be carried out, or its access key is not valid or cannot be confirmed.",
	})
	// CallerKeysChanged is event 538.
	CallerKeysChanged = define(Event{
		Number:  538,
		Name:    "caller keys changed",
		Level:   slog.LevelInfo,
		Meaning: "With the configuration of this version, accounts have gained or lost access keys, or were removed. Keys are never logged.",
	})
	// ConfirmationTooOld is event 539.
	ConfirmationTooOld = define(Event{
		Number:  539,
		Name:    "configuration unconfirmed",
		Level:   slog.LevelWarn,
		Meaning: "This instance does not know whether its configuration is the newest, or does so again. While it does not, it runs no unit of work of a client account, and is not ready.",
		Action:  "If it lasts: check the network to the store and to the members, and whether the line of event 523 names the row of the configuration.",
	})
	// ServerSlow is event 550.
	ServerSlow = define(Event{
		Number:  550,
		Name:    "server avoided",
		Level:   slog.LevelWarn,
		Meaning: "A server answers clearly later than others, or has been silent for clearly longer than an answer takes. It gets single units as a trial. slowness is the ratio of its answer times to the average.",
		Action:  "If it lasts: look at the processor use of that instance, and at the network to it.",
	})
	// ServerSlowEnded is event 551.
	ServerSlowEnded = define(Event{
		Number:  551,
		Name:    "server no longer avoided",
		Level:   slog.LevelInfo,
		Meaning: "A server that was avoided has answered all its trials in time.",
	})
	// UpstreamFailing is event 552.
	UpstreamFailing = define(Event{
		Number:  552,
		Name:    "upstream avoided",
		Level:   slog.LevelWarn,
		Meaning: "An upstream fails clearly more statements than the others of its group, whatever its probe says. It gets no reads that others can take, except single ones as a trial. ratio is the part that fails, others that of the best of the others.",
		Action:  "Look at the log of that upstream. A primary stays in use for what needs it: consider a switch.",
	})
	// UpstreamFailingEnded is event 553.
	UpstreamFailingEnded = define(Event{
		Number:  553,
		Name:    "upstream no longer avoided",
		Level:   slog.LevelInfo,
		Meaning: "An upstream that was avoided has answered all its trials, or was removed.",
	})
	// LoadRefused is event 554.
	LoadRefused = define(Event{
		Number:  554,
		Name:    "load of a peer refused",
		Level:   slog.LevelWarn,
		Meaning: "A load that a peer reported cannot be: an unknown group or upstream, or an impossible count. It is ignored. At most one line a second.",
		Action:  "If it lasts: look at whether the instances run the same version.",
	})
	// ServerRefused is event 555.
	ServerRefused = define(Event{
		Number:  555,
		Name:    "server refuses a group",
		Level:   slog.LevelInfo,
		Meaning: "A server did not take a unit of the group, which has not run: the reason. Until it takes one again, units go to it only as trials, one at a time.",
		Action:  "Look for the cause in the log of the server: events 306, 510 or 537.",
	})
	// ServerAccepted is event 556.
	ServerAccepted = define(Event{
		Number:  556,
		Name:    "server takes a group again",
		Level:   slog.LevelInfo,
		Meaning: "A server that had refused the units of the group has taken one.",
	})
	// AcceptFailed is event 144.
	AcceptFailed = define(Event{
		Number:  144,
		Name:    "accept failed",
		Level:   slog.LevelWarn,
		Meaning: "A connection of a caller could not be accepted, for example because no file descriptor is free.",
	})
	// StoreAnswerCut is event 557.
	StoreAnswerCut = define(Event{
		Number:  557,
		Name:    "answer of the store cut short",
		Level:   slog.LevelInfo,
		Meaning: "A body that the store was sending did not arrive to its end: the call, the bytes that had arrived and the time that they took. At most one line a second.",
		Action:  "If the bytes are many: the link is too narrow for the answer within the time limit.",
	})
	// TableFetched is event 558.
	TableFetched = define(Event{
		Number:  558,
		Name:    "table fetched from a peer",
		Level:   slog.LevelInfo,
		Meaning: "All parts of a table that a peer had offered have arrived: the table, its version, the bytes sent and the time since the first part was asked for.",
	})
	// TableFetchInterrupted is event 559.
	TableFetchInterrupted = define(Event{
		Number:  559,
		Name:    "fetch of a table interrupted",
		Level:   slog.LevelInfo,
		Meaning: "A peer did not deliver a part of a table: the bytes that have arrived so far. The fetch goes on with the next peer that offers the same data.",
		Action:  "If it lasts on one instance: check the machine's link.",
	})
)
