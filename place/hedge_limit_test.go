package place_test

import (
	"fmt"
	"testing"
	"time"

	"filberthold/place"

	"gotest.tools/v3/assert"
)

// serveIn applies the arrival of a request and ends its only attempt as complete after a
// time.
func serveIn(core *place.Core, id string, elapsed time.Duration, now time.Time) time.Time {
	for _, decision := range core.Apply(arrival(id, now), now) {
		if send, isSend := decision.(place.Send); isSend {
			core.Apply(place.Finished{Attempt: send.Attempt, Result: place.Succeeded}, now.Add(elapsed))
		}
	}
	return now.Add(elapsed)
}

// hedge lets a request arrive whose endpoint is slow. It returns the number of hedges that
// are sent for it and the end of the request.
func hedge(core *place.Core, id string, now time.Time) (int, time.Time) {
	const slowTime = 50 * time.Millisecond
	decisions := core.Apply(arrival(id, now), now)
	ended := now.Add(slowTime)
	for next := core.NextTick(); !next.IsZero() && next.Before(ended); next = core.NextTick() {
		decisions = append(decisions, core.Apply(place.Ticked{}, next)...)
	}
	hedges := 0
	for _, decision := range decisions {
		if send, isSend := decision.(place.Send); isSend {
			hedges += min(1, send.Number-1)
			core.Apply(place.Finished{Attempt: send.Attempt, Result: place.Succeeded}, ended)
		}
	}
	return hedges, ended
}

// hedgesAfterQuietTime returns the hedges of a host all of whose endpoints become slow after
// a time in which it served requests.
func hedgesAfterQuietTime(core *place.Core, adopted place.Adopted, requests int) int {
	const served = 300
	now := time.Unix(1_000_000, 0)
	core.Apply(adopted, now)
	for number := range served {
		now = serveIn(core, fmt.Sprint("served-", number), 10*time.Millisecond, now.Add(100*time.Millisecond))
	}
	now = now.Add(20 * time.Second)
	total := 0
	for number := range requests {
		// A straggler is not avoided any more after a while.
		hedges, ended := hedge(core, fmt.Sprint(number), now.Add(500*time.Millisecond))
		total += hedges
		now = ended
	}
	return total
}

// Guards against hosts that together send many more hedges at once than the limit allows,
// because each of them has accumulated ten while no endpoint was slow. Hedges and retries
// are both repeats: the users' platform allows 60 of them beyond 0.2 of the requests of ten
// seconds, and place may accumulate 48 retries.
func TestHostsShareTheEarnedHedges(t *testing.T) {
	const percent, slack = 5, 12
	const maxPlayed = 12
	for _, test := range []struct{ hosts, requests int }{{1, 20}, {7, 12}, {12, 12}, {13, 12}, {60, 4}, {200, 2}} {
		t.Run(fmt.Sprintf("%d hosts", test.hosts), func(t *testing.T) {
			deployment := deployFleet(t, test.hosts)
			played := deployment.Hosts()[:min(test.hosts, maxPlayed)]
			hedges := 0
			for _, host := range played {
				hedges += hedgesAfterQuietTime(place.New(host.Name()), place.Adopted{Deployment: deployment}, test.requests)
			}
			total := float64(hedges) * float64(test.hosts) / float64(len(played))
			limit := percent*float64(test.hosts*test.requests)/100 + slack
			assert.Assert(t, total <= limit, "%.1f hedges, %.1f are allowed", total, limit)
		})
	}
}

// Guards against a limit that takes all hedges: a host may send one that it has earned just
// before, in a fleet of any size.
func TestEarnedHedgeCanBeSent(t *testing.T) {
	for _, hosts := range []int{1, 12, 680} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			core := place.New("host-0")
			core.Apply(place.Adopted{Deployment: deployFleet(t, hosts)}, now)
			for number := range 45 {
				now = serveIn(core, fmt.Sprint("served-", number), 10*time.Millisecond, now)
			}
			hedges, _ := hedge(core, "slow", now)
			assert.Equal(t, hedges, 1)
		})
	}
}
