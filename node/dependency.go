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

// markRegained returns how long the dependency was lost, or 0 if it was not.
func (d *dependency) markRegained() time.Duration {
	if !d.isLost {
		return 0
	}
	d.isLost = false
	outage := time.Since(d.lostAt)
	d.log.Info("dependency regained", "dependency", d.name, "away", outage)
	return outage
}
