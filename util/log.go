package util

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a structured logger on w at the given level ("debug",
// "info", "warn" or "error"; anything else means "info").
func NewLogger(w io.Writer, level string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	lvl, err := zerolog.ParseLevel(level)
	if err != nil || lvl == zerolog.NoLevel {
		lvl = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(lvl).With().Timestamp().Logger()
}

// A componentHook puts the part's prefix before each message.
type componentHook struct {
	prefix string
}

// Run adds the prefix as a field of its own, so that a reader can filter on it.
func (h componentHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("part", h.prefix)
}

// ForComponent returns a logger whose lines carry the part's fixed prefix.
func ForComponent(l zerolog.Logger, prefix string) zerolog.Logger {
	return l.Hook(componentHook{
		prefix: prefix,
	})
}
