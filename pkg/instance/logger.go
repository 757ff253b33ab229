package instance

import (
	"io"
	"log/slog"

	"gypsumdock/pkg/settings"
)

// NewLogger returns a logger that writes to w in the format and from the level
// that the settings give.
func NewLogger(log settings.Log, w io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: levelOf(log.Level)}
	if log.Format == settings.LogText {
		return slog.New(slog.NewTextHandler(w, options))
	}
	return slog.New(slog.NewJSONHandler(w, options))
}

// levelOf converts a level of the settings; an empty one is info.
func levelOf(level settings.LogLevel) slog.Level {
	switch level {
	case settings.LogDebug:
		return slog.LevelDebug
	case settings.LogWarn:
		return slog.LevelWarn
	case settings.LogError:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}
