package proxy

import (
	"fmt"
	"testing"

	"filberthold/model"
	"filberthold/route"
	"filberthold/score"

	"gotest.tools/v3/assert"
)

// Guards against hosts that together send more often than the bound, because
// each has saved up retries for itself.
func TestHostsShareTheRetryLimit(t *testing.T) {
	limit := RetryLimit{Ratio: 0.2, Slack: 60}
	for _, hosts := range []int{1, 10, 60, 680} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			const quiet, busy = 200, 20
			spent := 0
			for range hosts {
				budget := score.NewBudget(limit.percent(), 1)
				budget.LimitBurst(limit.savings(hosts))
				for range quiet {
					budget.Earn()
				}
				for range busy {
					budget.Earn()
					for budget.Spend() {
						spent++
					}
				}
			}
			assert.Assert(t, float64(spent) <= limit.Ratio*float64(hosts*busy)+limit.Slack, "%d hosts spent %d", hosts, spent)
		})
	}
}

// Guards against a bound of the platform that the program knows but ignores.
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
