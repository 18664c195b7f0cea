package node

import (
	"math"
	"time"

	"filberthold/proxy"

	"github.com/prometheus/client_golang/prometheus"
)

// registerMetrics registers the metrics of the replica, the peers, the store and
// the log.
func (n *Node) registerMetrics() {
	gauge := func(name, help string, read func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	gauge("filberthold_config_version", "Version of the configuration in force; 0 before the first one.", func() float64 {
		config := n.core.Config()
		if config == nil {
			return 0
		}
		return float64(config.Version())
	})
	gauge("filberthold_operator_age_seconds", "Time since configuration and evacuations were known to be complete.", func() float64 {
		return n.replica.operator.Age(time.Now()).Seconds()
	})
	gauge("filberthold_endpoints_age_seconds", "Time since the endpoints were known to be complete.", func() float64 {
		return n.replica.endpoints.Age(time.Now()).Seconds()
	})
	gauge("filberthold_entries_rejected_total", "Entries of endpoints that were rejected, each one once while it stays.", func() float64 { return float64(n.replica.rejectedCount.Load()) })
	if n.replica.trust != nil {
		gauge("filberthold_key_proof_age_seconds", "Time since the keys of the configuration were proven; infinite before the first proof.", func() float64 {
			age, hasProof := n.replica.trust.age()
			if !hasProof {
				return math.Inf(1)
			}
			return age.Seconds()
		})
	}
	n.lags.register(n.registry)
	proxy.RegisterRetryMetrics(n.registry, n.core)
	proxy.RegisterWaitMetrics(n.registry, n.core)
	if n.settings.HasContract(quotaContract) {
		proxy.RegisterQuotaMetrics(n.registry, n.core)
	}
	gauge("filberthold_hosts_alive", "Other entry hosts that are alive.", func() float64 { return float64(len(n.transport.Alive())) })
	gauge("filberthold_store_calls_total", "Calls to the store since the start.", func() float64 { return float64(n.store.Calls()) })
	gauge("filberthold_relay_sent_bytes_total", "Bytes of the store's rows sent to other hosts since the start.", func() float64 { return float64(n.relay.SentBytes()) })
	gauge("filberthold_requests_started_early_total", "Requests that were started before the earlier ones of their connections were answered.", func() float64 { return float64(n.server.StartedEarly()) })
	gauge("filberthold_buffered_bytes", "Bytes reserved for requests and responses that are kept in memory.", func() float64 { return float64(n.buffers.Used()) })
	gauge("filberthold_buffers_refused_total", "Reservations for which there was no memory: bodies that were streamed, and connections with long heads that were closed.", func() float64 { return float64(n.buffers.Refused()) })
	gauge("filberthold_log_lines_dropped_total", "Log lines that found no room.", func() float64 { return float64(n.logWriter.Dropped()) })
}
