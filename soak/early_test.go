package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against callers and endpoints of the soak that wait for each other, or alter
// anything, while a long body and an early response are on their way.
func TestLongBodiesAndEarlyResponsesArriveWhole(t *testing.T) {
	endpoint, err := fake.StartEndpoint("i-0", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, endpoint.Close()) })
	go endpoint.Run()
	endpoint.SetEarly(true)
	endpoint.SetPadding(maxPadding)
	for _, isChunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", isChunked), func(t *testing.T) {
			caller := &client{address: endpoint.Address()}
			defer caller.close()
			request := callOf(fmt.Sprint("a-", isChunked))
			request.isChunked, request.patience = isChunked, maxPatience
			request.lengthen(rand.New(rand.NewPCG(1, 1)))
			assert.Assert(t, len(request.body) >= minLongBytes && len(request.body) <= maxLongBytes)
			result := caller.send(request)
			assert.NilError(t, result.err)
			assert.Equal(t, len(result.body), len("i-0")+maxPadding)
			assert.Assert(t, isWhole(result.body, request.attempt))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for _, exchange := range endpoint.Exchanges() {
					if exchange.Attempt == request.attempt && exchange.Digest == request.digest() {
						return poll.Success()
					}
				}
				return poll.Continue("the endpoint has not got the whole body")
			}, poll.WithTimeout(proxyTimeout))
		})
	}
}

// Guards against a soak that takes a changed response for the endpoint's, or the reverse.
func TestSoakSeesChangedResponses(t *testing.T) {
	padded := fake.Body("i-0", "a-1", 100)
	for body, isExpected := range map[string]bool{
		"i-0":                           true,
		"foreign":                       false,
		"":                              false,
		padded:                          true,
		fake.Body("i-0", "a-2", 100):    false,
		padded[:50] + padded[51:]:       false,
		padded[:99] + "x" + padded[99:]: false,
	} {
		assert.Check(t, isWhole(body, "a-1") == isExpected, "%q", body)
	}
}

// Guards against a soak that excuses a response which a host broke off, or blames a host for
// the deadline or for a fault of the endpoint.
func TestBrokenOffResponsesAreExcused(t *testing.T) {
	sentAt := time.Now()
	at := func(offset time.Duration) time.Time { return sentAt.Add(offset) }
	for name, test := range map[string]struct {
		endedAt   time.Time
		fault     faultTime
		isExcused bool
	}{
		"before the deadline":   {at(callerTimeout - time.Millisecond), faultTime{}, false},
		"at the deadline":       {at(callerTimeout), faultTime{}, true},
		"fault meanwhile":       {at(time.Second), faultTime{at(100 * time.Millisecond), at(200 * time.Millisecond)}, true},
		"fault that ended then": {at(time.Second), faultTime{at(-time.Second), at(time.Millisecond)}, true},
		"fault before":          {at(time.Second), faultTime{at(-time.Second), at(0)}, false},
		"fault behind":          {at(time.Second), faultTime{at(time.Second), at(2 * time.Second)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := fake.NewRecord("i-0")
			endpoint.Record(fake.Event{Number: 1, Exchange: fake.Exchange{ID: "i-0", Attempt: "a-1"}, IsRun: true})
			c := newCallers(&testbed{
				endpoints: []*fake.Endpoint{endpoint}, endpointProxies: []*faultProxy{{faults: []faultTime{test.fault}}},
			})
			request := endedRequest{attempt: "a-1", timeout: callerTimeout, sentAt: sentAt, endedAt: test.endedAt}
			assert.Equal(t, c.mayBreakOff(request), test.isExcused)
		})
	}
}
