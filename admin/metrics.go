package admin

import (
	"time"

	"filberthold/model"
	"filberthold/place"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the decisions and the ended requests of an entry host.
type Metrics struct {
	decisions *prometheus.CounterVec
	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

// NewMetrics returns the metrics of an entry host, and registers them.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	metrics := &Metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filberthold_decisions_total", Help: "Decisions of placement by kind.",
		}, []string{"kind"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filberthold_requests_total", Help: "Requests that have ended, by service and outcome.",
		}, []string{"service", "outcome"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "filberthold_request_duration_seconds",
			Help:    "Time from arrival to the end of a request, by class.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"class"}),
	}
	registry.MustRegister(metrics.decisions, metrics.requests, metrics.durations)
	return metrics
}

// ObserveDecision counts a decision. A nil Metrics counts nothing.
func (m *Metrics) ObserveDecision(decision place.Decision) {
	if m == nil {
		return
	}
	m.decisions.WithLabelValues(place.KindOf(decision)).Inc()
}

// ObserveRequest counts a request that has ended, and records the time since its
// arrival.
func (m *Metrics) ObserveRequest(service model.Service, outcome model.Outcome, elapsed time.Duration) {
	m.requests.WithLabelValues(string(service.Name()), string(outcome)).Inc()
	m.durations.WithLabelValues(service.Class().String()).Observe(elapsed.Seconds())
}
