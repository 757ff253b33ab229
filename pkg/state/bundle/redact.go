package bundle

import (
	"fmt"
	"log/slog"
)

// The methods below keep passwords and verifiers out of logs.

// String counts the entries.
func (b *Bundle) String() string {
	return fmt.Sprintf("%d groups, %d routes, %d callers", len(b.Groups), len(b.Routes), len(b.Callers))
}

// LogValue returns what String does.
func (b *Bundle) LogValue() slog.Value { return slog.StringValue(b.String()) }

// String returns the ID.
func (g Group) String() string { return string(g.ID) }

// LogValue returns the ID.
func (g Group) LogValue() slog.Value { return slog.StringValue(string(g.ID)) }

// String returns the name.
func (c Caller) String() string { return string(c.Name) }

// LogValue returns the name.
func (c Caller) LogValue() slog.Value { return slog.StringValue(string(c.Name)) }
