package node

import (
	"log/slog"
	"time"
)

// dependency logs when a system that the host depends on, such as the store,
// becomes unreachable and when it is reachable again. It is not safe for
// concurrent use.
type dependency struct {
	log    *slog.Logger
	name   string
	isLost bool
	lostAt time.Time
}

func (d *dependency) markLost(err error) {
	if d.isLost {
		return
	}
	d.isLost = true
	d.lostAt = time.Now()
	d.log.Warn("dependency lost", "dependency", d.name, "error", err)
}

func (d *dependency) markRegained() {
	if !d.isLost {
		return
	}
	d.isLost = false
	d.log.Info("dependency regained", "dependency", d.name, "away", time.Since(d.lostAt))
}
