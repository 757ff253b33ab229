package settings

import "log/slog"

// mask stands in place of a secret wherever settings are shown.
const mask = "********"

// Secret is a text that is never printed, logged or encoded.
type Secret string

// String returns a mask, or nothing for an empty secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return mask
}

// GoString returns what String does.
func (s Secret) GoString() string { return s.String() }

// MarshalText returns what String does.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// LogValue returns what String does.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Reveal returns the text.
func (s Secret) Reveal() string { return string(s) }
