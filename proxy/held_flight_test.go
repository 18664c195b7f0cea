package proxy

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/roster"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against hosts that together exceed the retry limit when stopped endpoints continue
// before the deadlines of the retries that they hold: these arrive together with those that
// the hosts have earned meanwhile.
func TestRetriesInFlightShareTheRetryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, rate, window, holdTime = 10, 3, 10, 20
		limit := RetryLimit{Ratio: 0.2, Slack: 60}
		cores := newRetryCores(hosts, limit)
		setAlive(cores, hosts, time.Second)
		for _, core := range cores {
			for i := range 16 {
				core.ApplyEntry(roster.Entry{
					Endpoint: model.EndpointName(fmt.Sprint("i-", i)), Service: "s", Zone: "za", Slots: 100,
					Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)), State: roster.Ready, Sequence: 1, Incarnation: 1,
				})
			}
			core.MarkEndpointsLoaded()
		}
		// second plays the requests of one second and returns the retries that were sent.
		second := func(isFailing bool) (sent int) {
			for _, core := range cores {
				for number := range rate {
					core.budgets["s"].Earn()
					query := steer.Query{Service: "s", AttemptID: fmt.Sprint(number), Route: core.config.Routes()[0], Tried: []model.EndpointName{"other"}}
					for isFailing {
						if _, isSend := core.choose(query).(steer.Send); !isSend {
							break
						}
						sent++
					}
				}
			}
			setAlive(cores, hosts, time.Second)
			return sent
		}
		fillBudgets(cores)
		// These retries are still in flight when the endpoints continue.
		held := second(true)
		for range holdTime {
			second(false)
		}
		count := held
		for range window {
			count += second(true)
		}
		allowed := limit.Ratio*hosts*rate*window + limit.Slack
		assert.Assert(t, float64(count) <= allowed, "%d retries arrive, %d of which were held, %.0f are allowed", count, held, allowed)
	})
}
