package proxy

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/platform/fake"
	"filberthold/roster"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// outstandingNow returns the number of retries to the service s that may still arrive.
func (c *Core) outstandingNow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstandingRetries("s")
}

// Guards against retries that are refused for two minutes after one retry at an endpoint
// that crashed. While endpoints are only silent, or have no entry, they may be stopped.
func TestRetryAtEndpointThatCrashedDoesNotBlockOthers(t *testing.T) {
	entry := roster.Entry{
		Endpoint: "crashed", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1000"), Zone: "za", Slots: 3, State: roster.Ready, Sequence: 1, Incarnation: 1,
	}
	for name, test := range map[string]struct {
		show      func(core *Core)
		isBlocked bool
	}{
		"silence":         {func(*Core) {}, true},
		"renewed entry":   {func(core *Core) { entry := entry; entry.Sequence = 2; core.ApplyEntry(entry) }, true},
		"removed entry":   {func(core *Core) { core.RemoveEntry("crashed", time.Time{}) }, true},
		"new incarnation": {func(core *Core) { entry := entry; entry.Incarnation = 2; core.ApplyEntry(entry) }, false},
		"ended endpoint": {func(core *Core) {
			core.recordRetries("s", attemptEnd{endpoint: "crashed", result: steer.Unreachable, isEndpointGone: true, sentAt: time.Now()})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := startRetryCores(1, RetryLimit{Ratio: 0.2, Slack: 60})[0]
				core.SetFirstRun()
				core.ApplyEntry(entry)
				for !core.request() {
				}
				core.recordRetries("s", attemptEnd{endpoint: "crashed", incarnation: 1, result: steer.Unreachable, isRetry: true, isSent: true, sentAt: time.Now()})
				time.Sleep(time.Second)
				test.show(core)
				sent := 0
				for range 100 {
					if core.request() {
						sent++
						core.recordRetries("s", attemptEnd{endpoint: "i", result: steer.Answered, isRetry: true, isSent: true, sentAt: time.Now()})
					}
					time.Sleep(time.Second / 2)
				}
				assert.Equal(t, sent == 0, test.isBlocked, "%d retries sent", sent)
			})
		})
	}
}

// Guards against an endpoint that has ended and is not taken for that: nobody accepts
// connections at its address, or another endpoint answers there.
func TestEndedEndpointHoldsNoRetries(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, endpoint *fake.Endpoint){
		"refused connection": func(t *testing.T, endpoint *fake.Endpoint) { assert.NilError(t, endpoint.Close()) },
		"another endpoint": func(_ *testing.T, endpoint *fake.Endpoint) {
			endpoint.SetRefusal(fake.Refusal{Status: "421 Misdirected Request"})
			endpoint.SetBehaviour(fake.Refuse)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, 2)
			_, first, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
			held := ts.endpoints[0]
			if first == "i-0" {
				held = ts.endpoints[1]
			}
			ts.setBehaviour(fake.Shed)
			held.SetBehaviour(fake.Reset)
			ts.send(http.MethodGet, "/read/1", "a2", "")
			assert.Equal(t, ts.core.outstandingNow(), 1)
			end(t, held)
			// The next requests go to the only endpoint that is left, once it is not avoided.
			ts.core.RemoveEntry(model.EndpointName(first), time.Time{})
			for deadline := time.Now().Add(5 * time.Second); ts.core.outstandingNow() > 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				ts.send(http.MethodGet, "/read/1", "a3", "")
			}
			assert.Equal(t, ts.core.outstandingNow(), 0)
		})
	}
}
