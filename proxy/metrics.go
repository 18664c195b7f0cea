package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters and histograms of requests.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	notices  *prometheus.CounterVec
	opened   prometheus.Gauge
	foreign  *prometheus.CounterVec
	// keyRefusals counts by missing, unknown, withdrawn and untrusted.
	keyRefusals *prometheus.CounterVec
}

// NewMetrics registers the metrics of requests.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	metrics := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filberthold_requests_total", Help: "Requests of callers by class and status.",
		}, []string{"class", "status"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filberthold_attempts_total", Help: "Attempts at endpoints by service and result.",
		}, []string{"service", "result"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "filberthold_request_seconds", Help: "Time from the arrival of a request to the end of its answer.",
			Buckets: []float64{.01, .025, .05, .1, .2, .3, .45, .6, .8, 1.2, 2, 4, 8},
		}, []string{"class"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filberthold_endpoint_notices_total", Help: "Endpoints that were first heard to be leaving or to ask to be spared, by service.",
		}, []string{"service", "notice"}),
		opened: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "filberthold_endpoint_connections_opened", Help: "Connections to endpoints opened since the start.",
		}),
		foreign: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filberthold_foreign_responses_total", Help: "Responses of endpoints that belong to another request, by service of the request that they reached.",
		}, []string{"service"}),
		keyRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filberthold_key_refusals_total", Help: "Requests refused for their key, by reason.",
		}, []string{"reason"}),
	}
	registry.MustRegister(metrics.requests, metrics.attempts, metrics.latency, metrics.notices, metrics.opened, metrics.foreign, metrics.keyRefusals)
	return metrics
}

func (m *Metrics) observeRequest(class, status string, elapsed time.Duration) {
	m.requests.WithLabelValues(class, status).Inc()
	m.latency.WithLabelValues(class).Observe(elapsed.Seconds())
}
