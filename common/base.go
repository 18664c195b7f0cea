// Package common holds the logger and the settings, which the constructors of most
// components need.
package common

import (
	"fmt"
	"io"
	"log/slog"

	"filberthold/config"
)

// Base holds the logger and the settings of a process.
type Base struct {
	log      *slog.Logger
	settings config.Settings
}

// NewBase returns a Base whose logger writes to out, with the level and the format
// of the settings.
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
