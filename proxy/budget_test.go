package proxy

import (
	"fmt"
	"testing"

	"filberthold/model"
	"filberthold/route"
	"filberthold/score"

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

// Guards against a retry limit in the settings that is read but not applied.
func TestRetryLimitFollowsSettings(t *testing.T) {
	core := NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, RetryLimit{Ratio: 0.02, Slack: 1})
	core.SetConfig(route.NewConfig(1, []route.Route{{Name: "r", Shares: []route.Share{{Service: "s", Weight: 1}}}},
		[]route.Service{{Name: "s"}}, route.Limits{}))
	core.SetHosts(map[model.RegionName][]model.HostName{"north": {"h", "i"}})
	budget := core.budgets["s"]
	assert.Assert(t, budget.Spend())
	for range 99 {
		budget.Earn()
	}
	assert.Assert(t, !budget.CanSpend())
}
