package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/route"
	"filberthold/score"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against hosts that together exceed the retry limit after a quiet
// period, because each of them has accumulated the whole burst.
func TestHostsShareTheRetryLimit(t *testing.T) {
	limit := RetryLimit{Ratio: 0.2, Slack: 60}
	for _, hosts := range []int{1, 10, 60, 680} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			const quietRequests, busyRequests = 200, 20
			retries := 0
			for range hosts {
				budget := score.NewBudget(limit.percent(), 1)
				budget.LimitBurst(limit.burst(hosts))
				for range quietRequests {
					budget.Earn()
				}
				for range busyRequests {
					budget.Earn()
					for budget.Spend() {
						retries++
					}
				}
			}
			assert.Assert(t, float64(retries) <= limit.Ratio*float64(hosts*busyRequests)+limit.Slack, "%d hosts sent %d retries", hosts, retries)
		})
	}
}

// newRetryCores returns the cores of hosts that share a retry limit, with the service s.
// The store names none of the others to them. They take their part of the slack at once.
func newRetryCores(hosts int, limit RetryLimit) []*Core {
	cores := startRetryCores(hosts, limit)
	for _, core := range cores {
		skipEarlierRetryTime(core)
	}
	return cores
}

// skipEarlierRetryTime gives a core its part of the slack at once, as if it had sent no retry
// before its start.
func skipEarlierRetryTime(core *Core) {
	core.retryHosts.earlierRetriesUntil, core.retryHosts.mayHaveEarlierRetries = time.Time{}, false
	core.retriesFrom = time.Time{}
	core.limitBursts(time.Now())
}

// startRetryCores returns the cores of hosts that have just been started and do not know
// whether they ran before.
func startRetryCores(hosts int, limit RetryLimit) []*Core {
	var cores []*Core
	for range hosts {
		core := NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, limit)
		core.SetConfig(route.NewConfig(1, []route.Route{{Name: "r", Shares: []route.Share{{Service: "s", Weight: 1}}}},
			[]route.Service{{Name: "s"}}, route.Limits{}))
		core.SetNamedHosts(1)
		cores = append(cores, core)
	}
	return cores
}

// setAlive tells cores that a number of hosts are alive, repeatedly for some time.
func setAlive(cores []*Core, hosts int, duration time.Duration) {
	alive := map[model.RegionName][]model.HostName{"north": make([]model.HostName, hosts)}
	for range duration / time.Second {
		for _, core := range cores {
			core.SetHosts(alive)
		}
		time.Sleep(time.Second)
	}
}

// retries returns the number of retries that cores allow together if all of a number of
// requests at each of them need retries.
func retries(cores []*Core, requests int) int {
	count := 0
	for _, core := range cores {
		for range requests {
			core.budgets["s"].Earn()
			for core.budgets["s"].Spend() {
				count++
			}
		}
	}
	return count
}

// fillBudgets counts as many requests without retries as fill the budgets of cores.
func fillBudgets(cores []*Core) {
	for _, core := range cores {
		for range 200 {
			core.budgets["s"].Earn()
		}
	}
}

// Guards against hosts that together exceed the retry limit after they were cut off from
// each other: each of them took itself for the only one and accumulated a larger burst.
func TestHostsThatWereCutOffShareTheRetryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, busyRequests = 10, 10
		limit := RetryLimit{Ratio: 0.2, Slack: 60}
		cores := newRetryCores(hosts, limit)
		setAlive(cores, hosts, time.Minute)
		setAlive(cores, 1, time.Minute)
		fillBudgets(cores)
		count := retries(cores, busyRequests)
		assert.Assert(t, float64(count) <= limit.Ratio*hosts*busyRequests+limit.Slack, "%d retries", count)
		setAlive(cores, 1, hostPeakTime)
		fillBudgets(cores[:1])
		assert.Assert(t, retries(cores[:1], 1) == 10, "the hosts that are gone for good are counted still")
	})
}

// Guards against hosts that together exceed the retry limit because each of them started
// behind a cut, took itself for the only one and accumulated a larger burst.
func TestHostsThatStartAloneShareTheRetryLimit(t *testing.T) {
	for name, named := range map[string]int{"the store is away": 0, "the store names all hosts": 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts, busyRequests = 10, 10
				limit := RetryLimit{Ratio: 0.2, Slack: 60}
				var cores []*Core
				for range hosts {
					core := NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, limit)
					core.SetConfig(retryConfig(1, "s"))
					skipEarlierRetryTime(core)
					if named > 0 {
						core.SetNamedHosts(named)
					}
					cores = append(cores, core)
				}
				setAlive(cores, 1, hostPeakTime-time.Minute)
				fillBudgets(cores)
				count := retries(cores, busyRequests)
				assert.Assert(t, float64(count) <= limit.Ratio*hosts*busyRequests+limit.Slack, "%d retries", count)
				setAlive(cores, 1, hostPeakTime)
				fillBudgets(cores[:1])
				assert.Assert(t, retries(cores[:1], 1) == 10, "the hosts that it never heard are counted still")
			})
		})
	}
}

// Guards against hosts that together exceed the retry limit because they are restarted in
// series and may retry before they have earned it each time.
func TestHostsRestartedInSeriesShareTheRetryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, restarts, requests = 10, 4, 2
		limit := RetryLimit{Ratio: 0.2, Slack: 60}
		cores := newRetryCores(hosts, limit)
		setAlive(cores, hosts, time.Second)
		fillBudgets(cores)
		count := retries(cores, requests)
		for range restarts {
			count += retries(startRetryCores(hosts, limit), requests)
		}
		assert.Assert(t, float64(count) <= limit.Ratio*hosts*requests*(1+restarts)+limit.Slack, "%d retries", count)
	})
}

// Guards against hosts that together exceed the retry limit because there are more of them
// than its slack allows retries, and each of them has the credit of one.
func TestMoreHostsThanSlackShareTheRetryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, busyRequests = 680, 1
		limit := RetryLimit{Ratio: 0.2, Slack: 60}
		cores := newRetryCores(hosts, limit)
		setAlive(cores, hosts, time.Second)
		count := retries(cores, busyRequests)
		assert.Assert(t, float64(count) <= limit.Ratio*hosts*busyRequests+limit.Slack, "%d retries after the start", count)
		fillBudgets(cores)
		setAlive(cores, hosts, creditTime+time.Second)
		count = retries(cores, busyRequests)
		assert.Assert(t, float64(count) <= limit.Ratio*hosts*busyRequests+limit.Slack, "%d retries after a quiet time", count)
		assert.Assert(t, retries(cores, 10) > 0)
	})
}

// Guards against a retry limit in the settings that is read but not applied.
func TestRetryLimitFollowsSettings(t *testing.T) {
	core := NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, RetryLimit{Ratio: 0.02, Slack: 2})
	core.SetConfig(route.NewConfig(1, []route.Route{{Name: "r", Shares: []route.Share{{Service: "s", Weight: 1}}}},
		[]route.Service{{Name: "s"}}, route.Limits{}))
	skipEarlierRetryTime(core)
	core.SetHosts(map[model.RegionName][]model.HostName{"north": {"h", "i"}})
	core.SetNamedHosts(2)
	budget := core.budgets["s"]
	for range 200 {
		budget.Earn()
	}
	assert.Assert(t, budget.Spend())
	for range 99 {
		budget.Earn()
	}
	assert.Assert(t, !budget.CanSpend())
}

// Guards against several retries that are sent on the credit of one, because each of them
// waits for a permit while the others are chosen.
func TestRetriesThatWaitForPermitsSpendTheirCredit(t *testing.T) {
	permits := &fakePermits{}
	ts := startLimitedServer(t, 2, permits)
	for _, name := range []model.EndpointName{"i-0", "i-1"} {
		ts.core.recordOutcome(steer.Outcome{Endpoint: name, Result: steer.Answered, Limit: steer.RateLimit{IsSet: true, PerSecond: 2.5}}, false)
	}
	budget := ts.core.budgets["s"]
	for budget.Spend() {
	}
	for range 10 {
		budget.Earn()
	}
	query := steer.Query{Service: "s", AttemptID: "a1", Route: ts.route("/read/", model.Read), Tried: []model.EndpointName{"i-0"}}
	send, isSend := ts.core.choose(query).(steer.Send)
	assert.Assert(t, isSend && send.Permit.IsNeeded())
	for range 5 {
		_, isSend := ts.core.choose(query).(steer.Send)
		assert.Assert(t, !isSend, "a second retry was chosen")
	}
	_, err := ts.core.obtainPermit(t.Context(), query, send)
	assert.NilError(t, err)
	assert.Assert(t, budget.CanSpend(), "the credit of a retry that got no permit is lost")
}
