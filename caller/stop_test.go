package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/caller"
	"filberthold/claim"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

// stepHandler calls onStep once, before or after the request with a given number at any of
// its handlers.
type stepHandler struct {
	http.Handler
	requests *atomic.Int64
	step     int64
	isAfter  bool
	onStep   func()
}

func (h *stepHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isStep := h.requests.Add(1) == h.step
	if isStep && !h.isAfter {
		h.onStep()
	}
	h.Handler.ServeHTTP(w, r)
	if isStep && h.isAfter {
		h.onStep()
	}
}

// Guards against a planned stop that refuses a submit that runs, drops its response, or leaves
// its key without an outcome: at each call of a submit whose first attempt is refused, with a
// caller that waits and one that leaves at the same time.
func TestStopAtAnyStepOfSubmitKeepsItsOutcome(t *testing.T) {
	for step, name := range []string{"claim", "refused attempt", "second attempt", "stored response"} {
		for _, isAfter := range []bool{false, true} {
			for _, leaves := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, after %t, caller leaves %t", name, isAfter, leaves), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, leave := context.WithCancel(t.Context())
						defer leave()
						var requests atomic.Int64
						var stop sync.WaitGroup
						var h *harness
						onStep := func() {
							stop.Go(func() { assert.Check(t, h.shutdown()) })
							if leaves {
								leave()
							}
							time.Sleep(100 * time.Millisecond)
						}
						handle := func(handler http.Handler) http.Handler {
							return &stepHandler{Handler: handler, requests: &requests, step: int64(step) + 1, isAfter: isAfter, onStep: onStep}
						}
						counters := fakes.NewCounters()
						refusing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respondNotStarted(w) })
						serving := fakes.NewUpstream(model.NewEndpoint(model.EndpointSpec{Slots: 1}), model.Submit, counters, time.Millisecond)
						h = newHarness(t, model.Submit, handle(refusing), handle(serving))
						platform := fakes.NewPlatform()
						t.Cleanup(h.network.Serve("platform:1", handle(platform)))
						got, err := h.call(ctx, http.MethodPost, "/s/desk/x", http.Header{caller.KeyHeader: {"k"}})
						// A response that arrives while the caller leaves may be read or not.
						if !leaves {
							assert.NilError(t, err)
							assert.Equal(t, got.Header.Get(caller.OutcomeHeader), string(model.Served), "%s", got.Body)
						}
						time.Sleep(time.Minute)
						stop.Wait()
						assert.Assert(t, requests.Load() > int64(step), "the stop has not begun")
						assert.Equal(t, counters.Executions("k"), 1)
						t.Cleanup(h.network.Serve("platform:2", platform))
						reader := store.NewClientWithDial("platform:2", h.network.Dial)
						defer reader.Close()
						row, err := reader.Get(t.Context(), "claims/desk/k")
						assert.NilError(t, err)
						stored, err := claim.Decode(row.Value)
						assert.NilError(t, err)
						assert.Equal(t, stored.State, claim.Done)
					})
				})
			}
		}
	}
}
