package caller_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/caller"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// Guards against an upstream that asks to be spared and is not heard, and against a value
// that is no time, or a response that refuses nothing, that takes it out of use.
func TestRefusalTellsPlacementToSpareEndpoint(t *testing.T) {
	for name, test := range map[string]struct {
		value      string
		notStarted bool
		want       time.Duration
	}{
		"whole":            {"3", true, 3 * time.Second},
		"fraction":         {"0.25", true, 250 * time.Millisecond},
		"an hour":          {"3600", true, time.Hour},
		"negative":         {"-3", true, 0},
		"no number":        {"NaN", true, 0},
		"words":            {"soon", true, 0},
		"a date":           {"Fri, 04 Dec 2099 20:00:00 GMT", true, 0},
		"missing":          {"", true, 0},
		"may have started": {"3", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for _, class := range []model.Class{model.Read, model.Submit, model.Export} {
				synctest.Test(t, func(t *testing.T) {
					refusing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						w.Header().Set("Retry-After", test.value)
						if test.notStarted {
							w.Header().Set(upstrm.NotStartedHeader, "true")
						}
						http.Error(w, "full", http.StatusServiceUnavailable)
					})
					serving := fakes.NewUpstream(model.NewEndpoint(model.EndpointSpec{Slots: 1}), class, fakes.NewCounters(), time.Millisecond)
					h := newHarness(t, class, refusing, serving)
					_, err := h.call(t.Context(), http.MethodPost, "/s/desk/x", http.Header{caller.KeyHeader: {"k"}})
					assert.NilError(t, err)
					assert.NilError(t, h.shutdown())
					h.mu.Lock()
					defer h.mu.Unlock()
					assert.Equal(t, h.spareTimes[0], test.want, "%s", class)
				})
			}
		})
	}
}
