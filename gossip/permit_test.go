package gossip

import (
	"errors"
	"testing"
	"time"

	"filberthold/steer"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a permit request that the owner of an endpoint does not get or
// whose answer reaches another request, and against lost news of a limit.
func TestPermitRequestReachesOwner(t *testing.T) {
	asker, owner := startHost(t, "asker", "127.0.7.41"), startHost(t, "owner", "127.0.7.42", "127.0.7.41")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(asker.transport.Alive()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the owner is not known yet")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	request := steer.PermitRequest{Owner: "owner", Endpoint: 9, Limit: steer.RateLimit{IsSet: true, PerSecond: 2.5}, Age: time.Minute}
	permit, err := asker.transport.AskPermit(t.Context(), request)
	assert.NilError(t, err)
	assert.DeepEqual(t, permit, steer.Permit{RetryAfter: time.Second, Limit: request.Limit, Age: request.Age})
	asker.transport.SendLimitNews(request)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		if len(owner.news) > 0 && owner.news[0].Endpoint == request.Endpoint && owner.news[0].Limit == request.Limit {
			return poll.Success()
		}
		return poll.Continue("no news yet")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a request that waits for the permit of a host that is gone.
func TestPermitOfUnknownHostIsNotGranted(t *testing.T) {
	asker := startHost(t, "asker", "127.0.7.43")
	permit, err := asker.transport.AskPermit(t.Context(), steer.PermitRequest{Owner: "gone", Endpoint: 9})
	assert.Assert(t, errors.Is(err, errUnknownHost), "got %v", err)
	assert.Assert(t, !permit.IsGranted)
}
