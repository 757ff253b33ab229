// Package events is the catalogue of what an instance logs. Each event has a
// number that never changes its meaning; docs/EVENTS.md is the printed
// catalogue.
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
// membership and stopping, and 900 for the checks that an instance makes on
// itself.
type Number int

// Event is an entry of the catalogue.
type Event struct {
	Number Number
	// Name is the log message.
	Name  string
	Level slog.Level
	// Meaning says what happened.
	Meaning string
	// Action says what an operator does about it; empty where nothing is to
	// be done.
	Action string

	logged *metrics.Counter
}

// NumberKey is the attribute that carries an event's number.
const NumberKey = "event"

var catalogue []Event

// define adds an event to the catalogue. Events are package variables, so a
// number that is taken stops the program before it starts.
func define(event Event) Event {
	taken := slices.ContainsFunc(catalogue, func(other Event) bool { return other.Number == event.Number })
	if taken {
		panic(fmt.Sprintf("event number %d is taken", event.Number))
	}
	event.logged = telemetry.EventsLogged.With(strconv.Itoa(int(event.Number)))
	catalogue = append(catalogue, event)
	return event
}

// All returns the catalogue, ordered by number.
func All() []Event {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Log writes the event with attrs to logger and counts it. attrs must hold no
// secret.
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
