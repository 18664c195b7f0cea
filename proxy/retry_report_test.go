package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/platform/fake"
	"filberthold/steer"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// readMetrics returns the values of counters and gauges. The key is the name, with the
// values of the labels.
func readMetrics(t *testing.T, register func(registry *prometheus.Registry)) map[string]float64 {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	register(registry)
	families, err := registry.Gather()
	assert.NilError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			key := family.GetName()
			for _, label := range metric.GetLabel() {
				key += " " + label.GetValue()
			}
			values[key] = metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return values
}

// readRetryMetrics returns the retry metrics of a core.
func readRetryMetrics(t *testing.T, core *Core) map[string]float64 {
	t.Helper()
	return readMetrics(t, func(registry *prometheus.Registry) { RegisterRetryMetrics(registry, core) })
}

// Guards against retries that cannot be compared with the limit over all hosts: what was
// earned, chosen and rejected is counted, and the credit is shown.
func TestRetryMetrics(t *testing.T) {
	ts := startTestServer(t, 2)
	ts.core.SetHosts(map[model.RegionName][]model.HostName{"north": make([]model.HostName, 10)})
	ts.setBehaviour(fake.Fail)
	for _, attempt := range []string{"a1", "a2", "a3"} {
		ts.send(http.MethodGet, "/read/1", attempt, "")
	}
	assert.DeepEqual(t, readRetryMetrics(t, ts.core), map[string]float64{
		"filberthold_retry_hosts": 10, "filberthold_retry_burst": 6, "filberthold_retry_credit s": 0.3, "filberthold_retries_outstanding s": 0, "filberthold_retries_outstanding_elsewhere s": 0,
		"filberthold_retry_requests_total s": 3, "filberthold_retries_total chosen s": 1,
		"filberthold_retries_total refunded s": 0, "filberthold_retries_total rejected s": 2,
		"filberthold_retries_total outstanding s": 0,
	})
}

// Guards against a retry that counts as rejected for lack of credit, although there is some:
// too many others may still arrive.
func TestRetryRejectedBecauseOfOutstandingOnesIsCountedApart(t *testing.T) {
	ts := startTestServer(t, 2)
	ts.core.mu.Lock()
	ts.core.setRetriesInFlight("s", 1)
	ts.core.mu.Unlock()
	ts.core.SetHosts(map[model.RegionName][]model.HostName{"north": make([]model.HostName, 680)})
	ts.core.mu.Lock()
	for !ts.core.budgets["s"].CanSpend() {
		ts.core.budgets["s"].Earn()
	}
	ts.core.mu.Unlock()
	ts.setBehaviour(fake.Fail)
	ts.send(http.MethodGet, "/read/1", "a1", "")
	values := readRetryMetrics(t, ts.core)
	assert.Equal(t, values["filberthold_retries_total outstanding s"], 1.0)
	assert.Equal(t, values["filberthold_retries_total rejected s"], 0.0)
}

// Guards against a retry that counts as sent although it got no permit.
func TestRetryWithoutPermitCountsAsRefunded(t *testing.T) {
	ts := startLimitedServer(t, 2, &fakePermits{})
	for _, name := range []model.EndpointName{"i-0", "i-1"} {
		ts.core.recordOutcome(steer.Outcome{Endpoint: name, Result: steer.Answered, Limit: steer.RateLimit{IsSet: true, PerSecond: 2.5}}, false)
	}
	query := steer.Query{Service: "s", AttemptID: "a1", Route: ts.route("/read/", model.Read), Tried: []model.EndpointName{"i-0"}}
	send, isSend := ts.core.choose(query).(steer.Send)
	assert.Assert(t, isSend)
	_, err := ts.core.obtainPermit(t.Context(), query, send)
	assert.NilError(t, err)
	values := readRetryMetrics(t, ts.core)
	assert.Equal(t, values["filberthold_retries_total chosen s"], 1.0)
	assert.Equal(t, values["filberthold_retries_total refunded s"], 1.0)
	assert.Equal(t, values["filberthold_retry_credit s"], 1.0)
}

// Guards against a host whose part of the retry limit grows or shrinks without a line, or
// with a line each time that the hosts are counted.
func TestRetryLimitChangeIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, RetryLimit{Ratio: 0.2, Slack: 60})
		core.SetConfig(retryConfig(1, "s"))
		setHosts := func(hosts int) RetryLimitChange {
			return core.SetHosts(map[model.RegionName][]model.HostName{"north": make([]model.HostName, hosts)})
		}
		assertChange := func(change RetryLimitChange, fields ...any) {
			t.Helper()
			assert.Assert(t, change.IsChange())
			assert.DeepEqual(t, change.LogFields(), fields)
		}
		assertChange(setHosts(1), "reason", "first count of the hosts", "hosts", 1, "hostsBefore", 0,
			"burst", 0, "burstBefore", 0, "credit", 0.0, "creditBefore", 0.0)
		skipEarlierRetryTime(core)
		assertChange(core.SetNamedHosts(1), "reason", "all hosts are known", "hosts", 1, "hostsBefore", 1,
			"burst", 60, "burstBefore", 0, "credit", 0.0, "creditBefore", 0.0)
		fillBudgets([]*Core{core})
		assertChange(setHosts(10), "reason", "more hosts are alive", "hosts", 10, "hostsBefore", 1,
			"burst", 6, "burstBefore", 60, "credit", 6.0, "creditBefore", 10.0)
		assertChange(core.SetNamedHosts(12), "reason", "the store names more hosts than are alive", "hosts", 12, "hostsBefore", 10,
			"burst", 5, "burstBefore", 6, "credit", 5.0, "creditBefore", 6.0)
		for range 3 {
			assert.Assert(t, !setHosts(10).IsChange())
			assert.Assert(t, !setHosts(2).IsChange(), "hosts that are silent for a short time share the limit still")
			time.Sleep(creditTime + time.Second)
		}
		time.Sleep(hostPeakTime)
		assertChange(setHosts(2), "reason", "fewer hosts were alive for 10m0s", "hosts", 2, "hostsBefore", 12,
			"burst", 30, "burstBefore", 5, "credit", 5.0, "creditBefore", 5.0)
	})
}

// Guards against a host that takes its part of the slack some time after its start without
// a line that says so.
func TestEndOfEarlierRetryTimeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := startRetryCores(1, RetryLimit{Ratio: 0.2, Slack: 60})[0]
		hosts := map[model.RegionName][]model.HostName{"north": make([]model.HostName, 2)}
		assert.Equal(t, core.SetHosts(hosts).after.burst, 0)
		time.Sleep(earlierRetryTime - time.Nanosecond)
		assert.Assert(t, !core.SetHosts(hosts).IsChange())
		time.Sleep(time.Nanosecond)
		change := core.SetHosts(hosts)
		assert.Assert(t, change.IsChange())
		assert.DeepEqual(t, change.LogFields(), []any{"reason", "no retry from before the start can arrive any more",
			"hosts", 2, "hostsBefore", 2, "burst", 30, "burstBefore", 0, "credit", 0.0, "creditBefore", 0.0})
		assert.Assert(t, !core.SetHosts(hosts).IsChange())
	})
}

// Guards against a gauge that shows retries that can no longer arrive, for as long as no
// request comes.
func TestOutstandingRetriesExpireWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newRetryCores(1, RetryLimit{Ratio: 0.2, Slack: 60})[0]
		fillBudgets([]*Core{core})
		assert.Assert(t, core.request())
		core.recordRetries("s", attemptEnd{endpoint: "i", result: steer.TimedOut, isRetry: true, isSent: true, sentAt: time.Now()})
		setAlive([]*Core{core}, 1, 10*time.Minute)
		assert.Equal(t, core.outstandingRetries("s"), 0)
	})
}
