package instance

import (
	"io"
	"log/slog"

	"gypsumdock/pkg/settings"
)

// NewLogger returns a logger by the settings that writes to w.
func NewLogger(log settings.Log, w io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: levelOf(log.Level)}
	if log.Format == settings.LogText {
		return slog.New(slog.NewTextHandler(w, options))
	}
	return slog.New(slog.NewJSONHandler(w, options))
}

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
