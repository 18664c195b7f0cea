package proxy

import (
	"maps"
	"slices"
	"time"

	"filberthold/model"

	"github.com/prometheus/client_golang/prometheus"
)

// retryUse counts what a host did with the credit of a service's retries.
type retryUse struct {
	// earned counts the requests that earned credit.
	earned uint64
	// chosen counts the retries that spent credit, refunded those of them that were not
	// sent and got it back, rejected those for which there was none, and outstanding those
	// that were rejected because too many others may still arrive.
	chosen, refunded, rejected, outstanding uint64
}

// countRejected counts a retry that was rejected for a reason.
func (u *retryUse) countRejected(reason string) {
	if reason == tooManyOutstanding {
		u.outstanding++
		return
	}
	u.rejected++
}

// retryUse returns the counts of a service.
func (c *Core) retryUse(service model.ServiceName) *retryUse {
	use := c.retryUses[service]
	if use == nil {
		use = new(retryUse)
		c.retryUses[service] = use
	}
	return use
}

// RetryLimit returns the retry limit of the host.
func (c *Core) RetryLimit() RetryLimit { return c.retryLimit }

// retryCredit returns the credit that a service has now, in retries.
func (c *Core) retryCredit(service model.ServiceName) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if budget := c.budgets[service]; budget != nil {
		return budget.Credit()
	}
	return 0
}

// retryState is this host's part of the retry limit.
type retryState struct {
	// hosts is the number of hosts that share the limit.
	hosts int
	// burst is this host's part of the slack, in retries to a service. A budget may hold
	// fewer.
	burst int
	// credit is the credit of all services together, in retries.
	credit float64
	// mayHaveEarlierRetries is true while retries may arrive that were sent before the start.
	mayHaveEarlierRetries bool
}

// retryState returns this host's part of the retry limit.
func (c *Core) retryState(now time.Time) retryState {
	state := retryState{hosts: c.retryHosts.count, burst: c.retryBurst(now), mayHaveEarlierRetries: c.retryHosts.mayHaveEarlierRetries}
	for _, budget := range c.budgets {
		state.credit += budget.Credit()
	}
	return state
}

// RetryLimitChange is what a change of the hosts that are alive, or that the store names,
// does to the retry limit.
type RetryLimitChange struct {
	before, after retryState
	// isNamed is true if the store named the hosts.
	isNamed bool
}

// IsChange reports whether the number of hosts that share the limit changed, or the
// burst. Credit that only expires is no change.
func (c RetryLimitChange) IsChange() bool {
	return c.before.hosts != c.after.hosts || c.before.burst != c.after.burst
}

// reason returns why the limit changed.
func (c RetryLimitChange) reason() string {
	switch {
	case c.before.hosts == 0:
		return "first count of the hosts"
	case c.after.hosts > c.before.hosts && c.isNamed:
		return "the store names more hosts than are alive"
	case c.after.hosts > c.before.hosts:
		return "more hosts are alive"
	case c.before.mayHaveEarlierRetries && !c.after.mayHaveEarlierRetries:
		return "no retry from before the start can arrive any more"
	case c.after.hosts == c.before.hosts:
		return "all hosts are known"
	}
	return "fewer hosts were alive for " + hostPeakTime.String()
}

// LogFields returns names and values for a log line.
func (c RetryLimitChange) LogFields() []any {
	return []any{"reason", c.reason(), "hosts", c.after.hosts, "hostsBefore", c.before.hosts,
		"burst", c.after.burst, "burstBefore", c.before.burst, "credit", c.after.credit, "creditBefore", c.before.credit}
}

// retryCollector reads the metrics of retries from a core.
type retryCollector struct {
	core                                                        *Core
	hosts, burst, credit, outstanding, others, earned, decision *prometheus.Desc
}

// RegisterRetryMetrics registers the metrics of a core's retry limit.
func RegisterRetryMetrics(registry *prometheus.Registry, core *Core) {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	registry.MustRegister(&retryCollector{
		core:        core,
		hosts:       describe("filberthold_retry_hosts", "Hosts that share the retry limit, including this one."),
		burst:       describe("filberthold_retry_burst", "This host's part of the slack of the retry limit, in retries to a service."),
		credit:      describe("filberthold_retry_credit", "Credit of a service for retries. Too many outstanding retries may prevent its use.", "service"),
		outstanding: describe("filberthold_retries_outstanding", "Retries to a service that were sent and may still arrive: in flight, or without an answer.", "service"),
		others:      describe("filberthold_retries_outstanding_elsewhere", "Retries to a service that other hosts have sent beyond their parts of the slack and their recent requests, and that may still arrive.", "service"),
		earned:      describe("filberthold_retry_requests_total", "Requests that earned credit for retries.", "service"),
		decision:    describe("filberthold_retries_total", "Retries by decision: chosen, chosen and refunded because they were not sent, rejected for lack of credit, or rejected because of outstanding ones.", "service", "decision"),
	})
}

// Describe implements prometheus.Collector.
func (r *retryCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{r.hosts, r.burst, r.credit, r.outstanding, r.others, r.earned, r.decision} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (r *retryCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, metric := range r.read() {
		metrics <- metric
	}
}

// read returns the metrics. It sends none, because a slow receiver would then delay the
// requests that need the core.
func (r *retryCollector) read() []prometheus.Metric {
	r.core.mu.Lock()
	defer r.core.mu.Unlock()
	var metrics []prometheus.Metric
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics = append(metrics, prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...))
	}
	counter := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics = append(metrics, prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...))
	}
	now := time.Now()
	state := r.core.retryState(now)
	gauge(r.hosts, float64(state.hosts))
	gauge(r.burst, float64(state.burst))
	for _, service := range slices.Sorted(maps.Keys(r.core.budgets)) {
		use := r.core.retryUse(service)
		gauge(r.credit, r.core.budgets[service].Credit(), string(service))
		gauge(r.outstanding, float64(r.core.outstandingRetries(service)), string(service))
		gauge(r.others, float64(r.core.peerRetries.uncovered(service, now)), string(service))
		counter(r.earned, use.earned, string(service))
		counter(r.decision, use.chosen, string(service), "chosen")
		counter(r.decision, use.refunded, string(service), "refunded")
		counter(r.decision, use.rejected, string(service), "rejected")
		counter(r.decision, use.outstanding, string(service), "outstanding")
	}
	return metrics
}
