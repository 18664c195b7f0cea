package node

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"filberthold/member"
	"filberthold/platform"

	"github.com/prometheus/client_golang/prometheus"
)

// lagWatch logs when this host lacks, for longer than changes may take, a version that
// another host or the store has. It is safe for concurrent use.
type lagWatch struct {
	log    *slog.Logger
	mu     sync.Mutex
	tables []*tableLag
}

// tableLag is the lag of the configuration or of a table.
type tableLag struct {
	name string
	lag  *member.Lag
	// own and announced return the version of this host, and the newest one of the given
	// hosts and the store.
	own       func() platform.Version
	announced func(hosts []member.Heartbeat) member.Announced
	// maxAge is how long the table may lack a version before another host is polled for it,
	// or 0: a configuration may be one that the store lost, and that no other host polled
	// has.
	maxAge time.Duration
	// format returns a version as it is written in log lines.
	format func(version platform.Version) any
}

// newLagWatch returns the watch of a host. The versions may take the times of the settings
// to arrive.
func newLagWatch(log *slog.Logger, settings platform.Settings, limits intervals, replica *storeReplica, store *platform.Store) *lagWatch {
	operatorTime, endpointTime := operatorEffectTime(settings), shortest(settings.DrainTime)
	withStore := func(newest member.Announced) member.Announced {
		return newest.Later(member.Announced{By: storeSource, Version: store.Newest()})
	}
	return &lagWatch{log: log, tables: []*tableLag{
		{
			name: "config", lag: member.NewLag(operatorTime), own: replica.configVersion,
			announced: func(hosts []member.Heartbeat) member.Announced { return member.Newest(hosts, announcedConfig) },
			format:    func(version platform.Version) any { return version.Number },
		},
		{
			name: "operator", lag: member.NewLag(operatorTime), own: replica.operator.Version,
			announced: func(hosts []member.Heartbeat) member.Announced {
				return withStore(member.Newest(hosts, func(host member.Heartbeat) platform.Version { return host.OperatorVersion }))
			},
			maxAge: limits.operator.maxAge, format: formatPair,
		},
		{
			name: "endpoints", lag: member.NewLag(endpointTime), own: replica.endpoints.Version,
			announced: func(hosts []member.Heartbeat) member.Announced {
				return withStore(member.Newest(hosts, func(host member.Heartbeat) platform.Version { return host.EndpointsVersion }))
			},
			maxAge: limits.endpoints.maxAge, format: formatPair,
		},
	}}
}

// formatPair returns a version of the store with its era.
func formatPair(version platform.Version) any { return version }

// announcedConfig returns the version of the configuration that a host has in force. It
// has no era: the operator numbers configurations.
func announcedConfig(host member.Heartbeat) platform.Version {
	return platform.Version{Number: host.ConfigVersion}
}

// configVersion returns the version of the configuration in force, or the zero Version.
func (r *storeReplica) configVersion() platform.Version {
	config := r.core.Config()
	if config == nil {
		return platform.Version{}
	}
	return platform.Version{Number: config.Version()}
}

// observe compares the versions of this host with those of the other hosts and the store.
func (w *lagWatch) observe(hosts []member.Heartbeat, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, table := range w.tables {
		switch report := table.lag.Observe(table.own(), table.announced(hosts), now).(type) {
		case member.Behind:
			w.log.Warn("host is behind", "table", table.name, "version", table.format(report.Own),
				"missing", table.format(report.Missing.Version), "by", report.Missing.By,
				"newest", table.format(report.Newest.Version), "newestBy", report.Newest.By, "behind", now.Sub(report.Since))
		case member.CaughtUp:
			w.log.Info("host has caught up", "table", table.name, "version", table.format(report.Own), "behind", now.Sub(report.Since))
		}
	}
}

// isBehind reports whether this host has lacked a version of a table for so long that it
// should poll another host.
func (w *lagWatch) isBehind(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.tables, func(table *tableLag) bool {
		return table.maxAge > 0 && table.lag.IsBehind(table.own(), table.maxAge, now)
	})
}

// register registers the metric of each table.
func (w *lagWatch) register(registry *prometheus.Registry) {
	for _, table := range w.tables {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "filberthold_behind_seconds", Help: "Time for which the host has lacked a version that another host or the store has; 0 if it lacks none.",
			ConstLabels: prometheus.Labels{"table": table.name},
		}, func() float64 {
			w.mu.Lock()
			defer w.mu.Unlock()
			return table.lag.Behind(time.Now()).Seconds()
		}))
	}
}
