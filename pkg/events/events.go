// Package events is the catalogue of the events that an instance logs. Each event
// has a number whose meaning never changes. A test keeps docs/EVENTS.md equal to
// the catalogue.
package events

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"gypsumdock/pkg/telemetry"
)

// Number identifies an event. The ranges are 100 for callers and upstreams,
// 200 for the mesh, 300 for failover and permits, 400 for consistency,
// admission and grants, 500 for configuration and the platform, 600 for
// membership and stopping, and 900 for the checks that an instance makes of
// its own counters.
type Number int

// Event is an entry of the catalogue.
type Event struct {
	Number Number
	// Name is the log message.
	Name  string
	Level slog.Level
	// Meaning says what happened.
	Meaning string
	// Action says what an operator should do; empty if nothing needs to be done.
	Action string

	logged *metrics.Counter
}

// NumberKey is the key of the log attribute with the event's number.
const NumberKey = "event"

// catalogue holds the defined events.
var catalogue []Event

// define adds an event to the catalogue. It panics if the number is taken; since
// events are package variables, that happens when the program starts.
func define(event Event) Event {
	taken := slices.ContainsFunc(catalogue, func(other Event) bool { return other.Number == event.Number })
	if taken {
		panic(fmt.Sprintf("event number %d is taken", event.Number))
	}
	event.logged = telemetry.EventsLogged.With(strconv.Itoa(int(event.Number)))
	catalogue = append(catalogue, event)
	return event
}

// All returns all events, ordered by number.
func All() []Event {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Log writes the event with attrs to logger and counts it. attrs must not
// contain secrets.
func Log(ctx context.Context, logger *slog.Logger, event Event, attrs ...slog.Attr) {
	event.logged.Inc()
	if !logger.Enabled(ctx, event.Level) {
		return
	}
	numbered := make([]slog.Attr, 0, len(attrs)+1)
	numbered = append(numbered, slog.Int(NumberKey, int(event.Number)))
	numbered = append(numbered, attrs...)
	logger.LogAttrs(ctx, event.Level, event.Name, numbered...)
}
