package place_test

import (
	"fmt"
	"testing"
	"time"

	"filberthold/place"

	"gotest.tools/v3/assert"
)

// serve applies the arrival of a request and ends its only attempt as complete.
func serve(core *place.Core, id string, now time.Time) {
	for _, decision := range core.Apply(arrival(id, now), now) {
		if send, isSend := decision.(place.Send); isSend {
			core.Apply(place.Finished{Attempt: send.Attempt, Result: place.Succeeded}, now)
		}
	}
}

// retriesAfterQuietTime returns the retries of a host whose requests all fail at once,
// after a time in which it served requests.
func retriesAfterQuietTime(core *place.Core, adopted place.Adopted, requests int) int {
	const served = 150
	now := time.Unix(1_000_000, 0)
	core.Apply(adopted, now)
	for number := range served {
		now = now.Add(100 * time.Millisecond)
		serve(core, fmt.Sprint("served-", number), now)
	}
	now = now.Add(20 * time.Second)
	return failRequests(core, requests, now)
}

// Guards against hosts that together send more retries at once than the limit allows,
// because each of them has accumulated ten while no request failed. The users' platform
// allows 0.2 of the requests of ten seconds and 60 retries more.
func TestHostsShareTheEarnedRetries(t *testing.T) {
	const ratio, slack = 0.2, 60
	// All hosts do the same, and their assignments take long in a large fleet.
	const maxPlayed = 12
	for _, test := range []struct{ hosts, requests int }{{1, 50}, {7, 10}, {12, 6}, {60, 2}, {61, 1}, {200, 1}} {
		t.Run(fmt.Sprintf("%d hosts", test.hosts), func(t *testing.T) {
			deployment := deployFleet(t, test.hosts)
			played := deployment.Hosts()[:min(test.hosts, maxPlayed)]
			retries := 0
			for _, host := range played {
				retries += retriesAfterQuietTime(place.New(host.Name()), place.Adopted{Deployment: deployment}, test.requests)
			}
			total := float64(retries) * float64(test.hosts) / float64(len(played))
			limit := ratio*float64(test.hosts*test.requests) + slack
			assert.Assert(t, total <= limit, "%.1f retries, %.1f are allowed", total, limit)
		})
	}
}

// Guards against a limit that takes all retries: a host may make those that it has earned
// just before, in a fleet of any size.
func TestEarnedRetryCanBeMade(t *testing.T) {
	for _, hosts := range []int{1, 12, 680} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			core := place.New("host-0")
			core.Apply(place.Adopted{Deployment: deployFleet(t, hosts), IsRestart: true}, now)
			for number := range 10 {
				serve(core, fmt.Sprint("served-", number), now)
			}
			assert.Equal(t, failRequests(core, 1, now), 1)
		})
	}
}
