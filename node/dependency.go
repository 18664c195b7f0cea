package node

import (
	"log/slog"
	"time"
)

// dependency logs when something that a host depends on is lost and regained.
// It is used by one goroutine.
type dependency struct {
	log    *slog.Logger
	name   string
	isLost bool
	lostAt time.Time
}

func (d *dependency) lost(err error) {
	if d.isLost {
		return
	}
	d.isLost = true
	d.lostAt = time.Now()
	d.log.Warn("dependency lost", "dependency", d.name, "error", err)
}

// regained reports for how long the dependency was lost.
func (d *dependency) regained() time.Duration {
	if !d.isLost {
		return 0
	}
	d.isLost = false
	away := time.Since(d.lostAt)
	d.log.Info("dependency regained", "dependency", d.name, "away", away)
	return away
}
