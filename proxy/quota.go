package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"filberthold/model"
	"filberthold/quota"
	"filberthold/route"

	"github.com/prometheus/client_golang/prometheus"
)

// overQuota is the outcome of a request that is over the quota of its organisation.
const overQuota = "over the quota of its organisation"

// unknownHosts is the number of hosts that are taken to share the quotas while neither the
// store nor enough other hosts have shown how many there are. A host that starts alone
// would otherwise use all of each limit.
const unknownHosts = 32

// quotas applies the quotas of organisations to the requests of a host. It has a lock of
// its own, because requests would otherwise wait for reports. A nil value admits all.
type quotas struct {
	mu                          sync.Mutex
	limiter                     *quota.Limiter
	admitted, refused, refunded uint64
}

// EnableQuotas puts the quotas of organisations into force. It must be called before the
// core is used.
func (c *Core) EnableQuotas(host model.HostName, region model.RegionName, bounds quota.Bounds) {
	c.quotas = &quotas{limiter: quota.New(host, region, bounds, time.Now())}
	c.quotas.setHosts(0, false)
}

func (q *quotas) setLimits(config *route.Config) {
	if q == nil {
		return
	}
	var limits []quota.Limit
	for _, organisation := range config.Organisations() {
		if organisation.Quota.IsLimited() {
			limits = append(limits, quota.Limit{
				Organisation: organisation.Name, PerSecond: organisation.Quota.PerSecond, Burst: organisation.Quota.Burst,
			})
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetLimits(limits, time.Now())
}

// setHosts sets the number of hosts that share the limits. It may be larger if it is not
// known to be complete.
func (q *quotas) setHosts(count int, isComplete bool) {
	if q == nil {
		return
	}
	if !isComplete {
		count = max(count, unknownHosts)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetHosts(count, time.Now())
}

func (q *quotas) admit(organisation model.OrganisationName) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := q.limiter.Admit(organisation, time.Now())
	switch decision.(type) {
	case quota.Admitted:
		q.admitted++
	case quota.Refused:
		q.refused++
	}
	return decision
}

func (q *quotas) refund(organisation model.OrganisationName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Refund(organisation, time.Now())
	q.refunded++
}

// QuotaReport returns this host's report on quotas for the hosts of its region. The next
// one follows after interval.
func (c *Core) QuotaReport(interval time.Duration) []quota.Entry {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	return c.quotas.limiter.Report(interval, time.Now())
}

// QuotaTotals returns the report on quotas of this host's region, and the number of hosts
// in it.
func (c *Core) QuotaTotals() (int, []quota.Entry) {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	return c.quotas.limiter.Totals(time.Now())
}

// ApplyQuota applies the report on quotas of another host or region.
func (c *Core) ApplyQuota(source quota.Source, entries []quota.Entry) {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.quotas.limiter.Apply(source, entries, time.Now())
}

// countTowardsQuota counts the request towards the quota of its organisation. If it is
// over the quota, it is refused, and false is returned.
func (e *exchange) countTowardsQuota() bool {
	quotas := e.server.core.quotas
	if quotas == nil || !e.organisation.Quota.IsLimited() {
		return true
	}
	refused, isRefused := quotas.admit(e.organisation.Name).(quota.Refused)
	if !isRefused {
		e.hasQuotaCredit = true
		return true
	}
	e.quotaRefusal = &refused
	e.writer.Header().Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', 3, 64))
	e.fail(http.StatusTooManyRequests, overQuota)
	return false
}

// returnQuotaCredit takes a request back that ends without an endpoint that may have run
// it.
func (e *exchange) returnQuotaCredit() {
	if e.hasQuotaCredit && !e.mayHaveRun {
		e.hasQuotaCredit = false
		e.server.core.quotas.refund(e.organisation.Name)
	}
}

// appendQuota appends the log fields of a request over its quota.
func (e *exchange) appendQuota(fields []any) []any {
	refused := e.quotaRefusal
	return append(fields, "organisation", e.organisation.Name, "limit", refused.PerSecond, "burst", refused.Burst, "level", refused.Level,
		"ownRate", refused.OwnRate, "othersRate", refused.OthersRate, "limitPart", refused.Group, "reportAge", refused.ReportAge,
		"retryAfter", refused.RetryAfter)
}

// quotaCollector reads the metrics of quotas from a core.
type quotaCollector struct {
	quotas                    *quotas
	requests, limited, shared *prometheus.Desc
}

// RegisterQuotaMetrics registers the metrics of a core on which quotas are in force.
func RegisterQuotaMetrics(registry *prometheus.Registry, core *Core) {
	registry.MustRegister(&quotaCollector{
		quotas: core.quotas,
		requests: prometheus.NewDesc("filberthold_quota_requests_total",
			"Requests of organisations with a quota by decision: admitted, refused, or admitted and refunded because no endpoint may have run them.", []string{"decision"}, nil),
		limited: prometheus.NewDesc("filberthold_quota_limited_organisations", "Organisations of which not all requests are admitted now.", nil, nil),
		shared: prometheus.NewDesc("filberthold_quota_hosts",
			"Hosts that share the quotas, by state: heard (including this one), silent, or never heard.", []string{"state"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *quotaCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.requests, c.limited, c.shared} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *quotaCollector) Collect(metrics chan<- prometheus.Metric) {
	c.quotas.mu.Lock()
	status := c.quotas.limiter.Status(time.Now())
	admitted, refused, refunded := c.quotas.admitted, c.quotas.refused, c.quotas.refunded
	c.quotas.mu.Unlock()
	for decision, count := range map[string]uint64{"admitted": admitted, "refused": refused, "refunded": refunded} {
		metrics <- prometheus.MustNewConstMetric(c.requests, prometheus.CounterValue, float64(count), decision)
	}
	metrics <- prometheus.MustNewConstMetric(c.limited, prometheus.GaugeValue, float64(status.Limited))
	unheard := max(0, status.Hosts-status.Heard-status.Silent)
	for state, count := range map[string]int{"heard": status.Heard, "silent": status.Silent, "unheard": unheard} {
		metrics <- prometheus.MustNewConstMetric(c.shared, prometheus.GaugeValue, float64(count), state)
	}
}
