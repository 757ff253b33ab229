package settings

import "log/slog"

// mask is shown in place of a secret.
const mask = "********"

// Secret is a string that is masked when it is printed, logged or encoded.
type Secret string

// String returns a mask, or an empty string for an empty secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return mask
}

// GoString returns the same as String.
func (s Secret) GoString() string { return s.String() }

// MarshalText returns the same as String.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// LogValue returns the same as String.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }
