// Package common holds what almost every component is given when it is made.
package common

import (
	"fmt"
	"io"
	"log/slog"

	"filberthold/config"
)

// Base carries the logger and the settings of a process.
type Base struct {
	log      *slog.Logger
	settings config.Settings
}

// NewBase returns a base that logs to out as the settings ask.
func NewBase(settings config.Settings, out io.Writer) (*Base, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.Log.Level)); err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(out, options)
	if settings.Log.Format == "json" {
		handler = slog.NewJSONHandler(out, options)
	}
	log := slog.New(handler).With("host", settings.Host)
	return &Base{log: log, settings: settings}, nil
}

// Log returns the logger of the process.
func (b *Base) Log() *slog.Logger { return b.log }

// Settings returns the settings of the process.
func (b *Base) Settings() config.Settings { return b.settings }
