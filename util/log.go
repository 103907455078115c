package util

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a structured logger that writes to w, with the given lowest
// level ("debug", "info", "warn" or "error"; "info" for any other text).
func NewLogger(w io.Writer, level string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	lvl, err := zerolog.ParseLevel(level)
	if err != nil || lvl == zerolog.NoLevel {
		lvl = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(lvl).With().Timestamp().Logger()
}

// A componentHook adds the name of a component to each line.
type componentHook struct {
	component string
}

// Run adds the component as a field, so that lines can be filtered by it.
func (h componentHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("part", h.component)
}

// ForComponent returns a logger whose lines have the component in the field
// "part".
func ForComponent(l zerolog.Logger, component string) zerolog.Logger {
	return l.Hook(componentHook{
		component: component,
	})
}
