package bundle

import (
	"fmt"
	"log/slog"
)

// The methods in this file keep passwords and verifiers out of logs.

// String returns the numbers of entries.
func (b *Bundle) String() string {
	return fmt.Sprintf("%d groups, %d routes, %d callers", len(b.Groups), len(b.Routes), len(b.Callers))
}

// LogValue returns the numbers of entries.
func (b *Bundle) LogValue() slog.Value { return slog.StringValue(b.String()) }

// String returns only the ID.
func (g Group) String() string { return string(g.ID) }

// LogValue returns only the ID.
func (g Group) LogValue() slog.Value { return slog.StringValue(string(g.ID)) }

// String returns only the name.
func (c Caller) String() string { return string(c.Name) }

// LogValue returns only the name.
func (c Caller) LogValue() slog.Value { return slog.StringValue(string(c.Name)) }
