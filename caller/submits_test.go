package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/caller"
	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// Guards against a second execution when several hosts receive a key at the same
// time, and against repeats that get another response than the first attempt.
func TestOneKeyAtSeveralHostsRunsOnce(t *testing.T) {
	c := startCluster(t, 3, 64, 0)
	bodies := make([]string, 60)
	var running sync.WaitGroup
	for i := range bodies {
		running.Go(func() {
			outcome, body := c.submit(t.Context(), i%3, fmt.Sprint("key-", i/6), time.Now().Add(20*time.Second))
			assert.Check(t, outcome == model.Served, "%s: %s", outcome, body)
			bodies[i] = body
		})
	}
	running.Wait()
	for i, body := range bodies {
		assert.Equal(t, body, bodies[i/6*6])
	}
	assert.Equal(t, c.counters.Started(), 10)
	assert.Equal(t, len(c.counters.RepeatedKeys()), 0)
}

// Each case guards against a second execution, and against a wrong outcome of the
// first attempt at host 0 or of a repeat at host 1 after the first deadline.
func TestFaultsNeverCauseWrongOutcome(t *testing.T) {
	const first, repeat = 0, 1
	cases := []struct {
		name         string
		inject       func(c *cluster, pastDeadline <-chan struct{})
		serviceTime  time.Duration
		outcome      model.Outcome
		repeated     model.Outcome
		wantExecuted int
	}{
		{"responses of the store are lost", func(c *cluster, _ <-chan struct{}) {
			c.stores[first].setFault(dropResponses(c.platform, 4))
		}, 0, model.Served, model.Served, 1},
		{"the store is down at the first host", func(c *cluster, _ <-chan struct{}) {
			c.stores[first].setFault(respondDown)
		}, 0, model.NotSent, model.Served, 1},
		{"the host permanently loses the store after its claim", func(c *cluster, _ <-chan struct{}) {
			c.stores[first].setFault(failAfterFirstWrite(c.platform))
		}, 0, model.NotSent, model.Unknown, 0},
		{"the host permanently loses the store after its send", func(c *cluster, _ <-chan struct{}) {
			c.upstream.setFault(func(w http.ResponseWriter, r *http.Request) {
				c.stores[first].setFault(respondDown)
				c.upstream.handler.ServeHTTP(w, r)
			})
		}, 0, model.Served, model.Unknown, 1},
		{"the host is paused after its claim until after the deadline", func(c *cluster, past <-chan struct{}) {
			c.stores[first].setFault(func(w http.ResponseWriter, r *http.Request) {
				c.platform.ServeHTTP(w, r)
				if r.Method == http.MethodPost {
					<-past
				}
			})
		}, 0, model.NotRun, model.NotRun, 0},
		{"the response of the upstream is lost", func(c *cluster, _ <-chan struct{}) {
			c.upstream.setFault(func(_ http.ResponseWriter, r *http.Request) {
				c.upstream.handler.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			})
		}, 0, model.Unknown, model.Unknown, 1},
		{"the upstream reports that it did not start", func(c *cluster, _ <-chan struct{}) {
			var calls atomic.Int64
			c.upstream.setFault(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) <= 3 {
					respondNotStarted(w)
					return
				}
				c.upstream.handler.ServeHTTP(w, r)
			})
		}, 0, model.NotRun, model.NotRun, 0},
		{"notRun cannot be written", func(c *cluster, _ <-chan struct{}) {
			c.upstream.setFault(func(w http.ResponseWriter, _ *http.Request) {
				c.stores[first].setFault(respondDown)
				respondNotStarted(w)
			})
		}, 0, model.NotSent, model.Unknown, 0},
		{"the response is late", func(*cluster, <-chan struct{}) {}, 1200 * time.Millisecond,
			model.Unknown, model.Served, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, 8, test.serviceTime)
			deadlineCtx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
			defer cancel()
			test.inject(c, deadlineCtx.Done())
			deadline, _ := deadlineCtx.Deadline()
			outcome, body := c.submit(t.Context(), first, "key", deadline)
			assert.Equal(t, outcome, test.outcome, "%s", body)
			<-deadlineCtx.Done()
			// A repeat gets the outcome unknown until the late response is stored.
			until := time.Now().Add(20 * time.Second)
			outcome, body = c.submit(t.Context(), repeat, "key", until)
			for outcome == model.Unknown && test.repeated != model.Unknown && time.Now().Before(until) {
				outcome, body = c.submit(t.Context(), repeat, "key", until)
			}
			assert.Equal(t, outcome, test.repeated, "%s", body)
			assert.Equal(t, c.counters.Executions("key"), test.wantExecuted)
			for _, store := range c.stores {
				store.fault.Store(nil)
			}
		})
	}
}

// dropResponses executes all requests, but drops the responses to the first count
// table reads and transactions.
func dropResponses(platform http.Handler, count int64) func(http.ResponseWriter, *http.Request) {
	var dropped atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/t") && dropped.Add(1) <= count {
			platform.ServeHTTP(httptest.NewRecorder(), r)
			respondDown(w, r)
			return
		}
		platform.ServeHTTP(w, r)
	}
}

// failAfterFirstWrite executes the first transaction, and returns an error for
// every request.
func failAfterFirstWrite(platform http.Handler) func(http.ResponseWriter, *http.Request) {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			once.Do(func() { platform.ServeHTTP(httptest.NewRecorder(), r) })
		}
		respondDown(w, r)
	}
}

// Guards against a submit that is cancelled when its caller disconnects. Its
// response must be stored for a repeat at another host.
func TestResponseIsStoredAfterCallerDisconnects(t *testing.T) {
	c := startCluster(t, 2, 8, 0)
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan struct{})
	c.upstream.setFault(func(w http.ResponseWriter, r *http.Request) {
		disconnect()
		<-disconnected
		c.upstream.handler.ServeHTTP(w, r)
	})
	until := time.Now().Add(20 * time.Second)
	outcome, _ := c.submit(ctx, 0, "key", until)
	close(disconnected)
	assert.Equal(t, outcome, model.Outcome(""))
	outcome, body := c.submit(t.Context(), 1, "key", until)
	assert.Equal(t, outcome, model.Served, "%s", body)
	assert.Equal(t, c.counters.Executions("key"), 1)
}

// Guards against a second execution by a host that takes over a claim: the
// first host is paused between its check of the deadline and its send, a repeat
// arrives at another host after the deadline, and then the first host
// continues. The test holds the first submit at the upstream instead, before it
// is handled. The upstream does not check the deadline.
func TestPausedSendIsNotRepeatedByAnotherHost(t *testing.T) {
	c := startCluster(t, 2, 8, 0)
	paused, arrived := make(chan struct{}), make(chan struct{})
	resume := sync.OnceFunc(func() { close(paused) })
	// Without the cleanup, the pause would block the close of the upstream after a
	// failed test.
	t.Cleanup(resume)
	var calls atomic.Int64
	c.upstream.setFault(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			close(arrived)
			<-paused
		}
		r.Header.Del("Filberthold-Deadline")
		c.upstream.handler.ServeHTTP(w, r)
	})
	// A probe may arrive before the submit. It must not be counted as the submit.
	prober := upstrm.NewClient("a")
	t.Cleanup(prober.Close)
	assert.NilError(t, prober.ProbeHealth(t.Context(), c.upstreamAddress))
	deadline := time.Now().Add(800 * time.Millisecond)
	outcome, body := c.submit(t.Context(), 0, "key", deadline)
	assert.Equal(t, outcome, model.Unknown, "%s", body)
	<-arrived
	until := time.Now().Add(20 * time.Second)
	outcome, body = c.submit(t.Context(), 1, "key", until)
	assert.Check(t, outcome == model.Unknown, "%s: %s", outcome, body)
	resume()
	for outcome != model.Served && time.Now().Before(until) {
		outcome, body = c.submit(t.Context(), 1, "key", until)
	}
	assert.Equal(t, outcome, model.Served, "%s", body)
	assert.Equal(t, c.counters.Executions("key"), 1)
}

// Guards against a host that calls the store after its end. The submission
// continued, and its calls reached the next process that listened on the store's
// address.
func TestAbortedHostCallsNoStore(t *testing.T) {
	c := startCluster(t, 1, 8, 0)
	var isAborted atomic.Bool
	var lateCalls atomic.Int64
	c.stores[0].setFault(func(w http.ResponseWriter, r *http.Request) {
		if isAborted.Load() {
			lateCalls.Add(1)
		}
		respondDown(w, r)
	})
	outcome, body := c.submit(t.Context(), 0, "key", time.Now().Add(100*time.Millisecond))
	assert.Equal(t, outcome, model.NotSent, "%s", body)
	c.aborts[0]()
	isAborted.Store(true)
	// The longest pause of a submission between calls of the store is shorter.
	time.Sleep(1200 * time.Millisecond)
	assert.Equal(t, lateCalls.Load(), int64(0))
}

// Guards against memory for audit records that is never freed, until the host
// refuses all submits, and against an answer without a record: both happened if
// this host could not run the key.
func TestAnswerWithoutSubmissionFreesReservation(t *testing.T) {
	for name, key := range map[string]string{"key of another host": "bound:h2:1:1", "key of an earlier incarnation": "bound:h1:0:1"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, model.Submit, http.NotFoundHandler())
			got, err := h.call(t.Context(), http.MethodPost, "/s/desk/x", http.Header{caller.KeyHeader: {key}})
			assert.NilError(t, err)
			assert.Assert(t, got.Status >= http.StatusBadRequest, "%d: %s", got.Status, got.Body)
			h.mu.Lock()
			defer h.mu.Unlock()
			assert.Equal(t, len(h.reserved), 0)
		})
	}
}
