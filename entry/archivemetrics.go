package entry

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

// register adds the metrics of the archive. The buffer size shows operators a
// store outage before records are dropped.
func (a *Archive) register(registry prometheus.Registerer) error {
	used := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "filberthold_audit_buffer_bytes",
		Help: "Memory in use for audit records that are not stored, with reservations for submits.",
	}, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.buffer.UsedBytes())
	})
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "filberthold_audit_dropped_records_total",
		Help: "Audit records that were dropped because the memory for them was full.",
	}, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.buffer.Dropped())
	})
	for _, metric := range []prometheus.Collector{used, dropped} {
		if err := registry.Register(metric); err != nil {
			return fmt.Errorf("register metric: %w", err)
		}
	}
	return nil
}
