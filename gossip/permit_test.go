package gossip

import (
	"errors"
	"slices"
	"testing"
	"time"

	"filberthold/steer"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a permit request that the owner of an endpoint does not get or
// whose answer reaches another request, and against lost news of a limit.
func TestPermitRequestReachesOwner(t *testing.T) {
	asker, owner := startHost(t, "asker", 41), startHost(t, "owner", 42, 41)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(asker.transport.Alive()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the owner is not known yet")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	request := steer.PermitRequest{Owner: "owner", News: steer.LimitNews{Endpoint: 9, Limit: steer.RateLimit{IsSet: true, PerSecond: 2.5}, Age: time.Minute}}
	permit, err := asker.transport.AskPermit(t.Context(), request)
	assert.NilError(t, err)
	assert.DeepEqual(t, permit, steer.Permit{RetryAfter: time.Second, Limit: request.News.Limit, Age: request.News.Age})
	asker.transport.SendLimitNews(request.Owner, request.News)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		if slices.ContainsFunc(owner.news, func(news steer.LimitNews) bool { return news == request.News }) {
			return poll.Success()
		}
		return poll.Continue("no news yet")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a request that waits for the permit of a host that is gone.
func TestPermitOfUnknownHostIsNotGranted(t *testing.T) {
	asker := startHost(t, "asker", 43)
	permit, err := asker.transport.AskPermit(t.Context(), steer.PermitRequest{Owner: "gone"})
	assert.Assert(t, errors.Is(err, errUnknownHost), "got %v", err)
	assert.Assert(t, !permit.IsGranted)
}

// Guards against a host that learns of a limit only from its own requests: with
// many hosts each of them would send one to an endpoint in need.
func TestLoadReportsTellOfLimits(t *testing.T) {
	first, second := startHost(t, "first", 44), startHost(t, "second", 45, 44)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, h := range []*testHost{first, second} {
			h.mu.Lock()
			count := len(h.news)
			h.mu.Unlock()
			if count == 0 {
				return poll.Continue("%s has no news", h.heartbeat.Host)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	first.mu.Lock()
	defer first.mu.Unlock()
	assert.DeepEqual(t, first.news[0], steer.LimitNews{Endpoint: 8, Limit: steer.RateLimit{IsSet: true, PerSecond: 3}})
}
