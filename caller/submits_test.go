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

	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// Guards against a second execution when a key reaches several hosts at once,
// and against repeats that get another response than the first.
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
	assert.Equal(t, c.ledger.Started(), 10)
	assert.Equal(t, len(c.ledger.RepeatedKeys()), 0)
}

// Each case guards against a second execution and against a false outcome for
// the first attempt at host 0 or for a repeat at host 1 past its deadline.
func TestOutcomesUnderFaults(t *testing.T) {
	const first, repeat = 0, 1
	cases := []struct {
		name         string
		inject       func(c *cluster, pastDeadline <-chan struct{})
		serviceTime  time.Duration
		outcome      model.Outcome
		repeated     model.Outcome
		wantExecuted int
	}{
		{"answers of the store are lost", func(c *cluster, _ <-chan struct{}) {
			c.stores[first].set(loseAnswers(c.platform, 4))
		}, 0, model.Served, model.Served, 1},
		{"the store is down at the first host", func(c *cluster, _ <-chan struct{}) {
			c.stores[first].set(down)
		}, 0, model.NotSent, model.Served, 1},
		{"the host is cut off for good after its claim", func(c *cluster, _ <-chan struct{}) {
			c.stores[first].set(dieAfterWrite(c.platform))
		}, 0, model.NotSent, model.Unknown, 0},
		{"the host is cut off for good after sending", func(c *cluster, _ <-chan struct{}) {
			c.upstream.set(func(w http.ResponseWriter, r *http.Request) {
				c.stores[first].set(down)
				c.upstream.handler.ServeHTTP(w, r)
			})
		}, 0, model.Served, model.Unknown, 1},
		{"the host is paused from its claim until past the deadline", func(c *cluster, past <-chan struct{}) {
			c.stores[first].set(func(w http.ResponseWriter, r *http.Request) {
				c.platform.ServeHTTP(w, r)
				if r.Method == http.MethodPost {
					<-past
				}
			})
		}, 0, model.NotRun, model.NotRun, 0},
		{"the answer of the upstream is lost", func(c *cluster, _ <-chan struct{}) {
			c.upstream.set(func(_ http.ResponseWriter, r *http.Request) {
				c.upstream.handler.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			})
		}, 0, model.Unknown, model.Unknown, 1},
		{"the upstream says that it did not start", func(c *cluster, _ <-chan struct{}) {
			var calls atomic.Int64
			c.upstream.set(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) <= 3 {
					notStarted(w)
					return
				}
				c.upstream.handler.ServeHTTP(w, r)
			})
		}, 0, model.NotRun, model.NotRun, 0},
		{"notRun cannot be written", func(c *cluster, _ <-chan struct{}) {
			c.upstream.set(func(w http.ResponseWriter, _ *http.Request) {
				c.stores[first].set(down)
				notStarted(w)
			})
		}, 0, model.NotSent, model.Unknown, 0},
		{"the response is late", func(*cluster, <-chan struct{}) {}, 1200 * time.Millisecond,
			model.Unknown, model.Served, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, 8, test.serviceTime)
			deadline, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
			defer cancel()
			test.inject(c, deadline.Done())
			at, _ := deadline.Deadline()
			outcome, body := c.submit(t.Context(), first, "key", at)
			assert.Equal(t, outcome, test.outcome, "%s", body)
			<-deadline.Done()
			// A repeat is told unknown until the late response is kept.
			until := time.Now().Add(20 * time.Second)
			outcome, body = c.submit(t.Context(), repeat, "key", until)
			for outcome == model.Unknown && test.repeated != model.Unknown && time.Now().Before(until) {
				outcome, body = c.submit(t.Context(), repeat, "key", until)
			}
			assert.Equal(t, outcome, test.repeated, "%s", body)
			assert.Equal(t, c.ledger.Executions("key"), test.wantExecuted)
			for _, store := range c.stores {
				store.fault.Store(nil)
			}
		})
	}
}

// loseAnswers lets transactions and reads take effect and loses the answers to
// the first ones.
func loseAnswers(platform http.Handler, count int64) func(http.ResponseWriter, *http.Request) {
	var lost atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/t") && lost.Add(1) <= count {
			platform.ServeHTTP(httptest.NewRecorder(), r)
			down(w, r)
			return
		}
		platform.ServeHTTP(w, r)
	}
}

// dieAfterWrite lets one transaction take effect and answers nothing.
func dieAfterWrite(platform http.Handler) func(http.ResponseWriter, *http.Request) {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			once.Do(func() { platform.ServeHTTP(httptest.NewRecorder(), r) })
		}
		down(w, r)
	}
}

// Guards against a submit that ends with its caller: its response is kept for
// a repeat at another host.
func TestCallerGivesUp(t *testing.T) {
	c := startCluster(t, 2, 8, 0)
	ctx, giveUp := context.WithCancel(t.Context())
	c.upstream.set(func(w http.ResponseWriter, r *http.Request) {
		giveUp()
		c.upstream.handler.ServeHTTP(w, r)
	})
	until := time.Now().Add(20 * time.Second)
	outcome, _ := c.submit(ctx, 0, "key", until)
	assert.Equal(t, outcome, model.Outcome(""))
	outcome, body := c.submit(t.Context(), 1, "key", until)
	assert.Equal(t, outcome, model.Served, "%s", body)
	assert.Equal(t, c.ledger.Executions("key"), 1)
}

// Guards against a takeover: the first host is paused between its check of the
// deadline and its send, a repeat arrives at another host past the deadline,
// and then the first host goes on. The upstream checks no deadline.
func TestPauseBetweenCheckAndSend(t *testing.T) {
	c := startCluster(t, 2, 8, 0)
	paused, arrived := make(chan struct{}), make(chan struct{})
	resume := sync.OnceFunc(func() { close(paused) })
	// A pause that outlives a failed test would keep the upstream from closing.
	t.Cleanup(resume)
	var calls atomic.Int64
	c.upstream.set(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			close(arrived)
			<-paused
		}
		r.Header.Del("Filberthold-Deadline")
		c.upstream.handler.ServeHTTP(w, r)
	})
	// A probe may come first. It must not be taken for the submit.
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
	assert.Equal(t, c.ledger.Executions("key"), 1)
}

// Guards against a host that calls the store after its end: its submission
// went on, and its calls reached whatever listened at the store's address next.
func TestAbortedHostCallsNoStore(t *testing.T) {
	c := startCluster(t, 1, 8, 0)
	var isAborted atomic.Bool
	var late atomic.Int64
	c.stores[0].set(func(w http.ResponseWriter, r *http.Request) {
		if isAborted.Load() {
			late.Add(1)
		}
		down(w, r)
	})
	outcome, body := c.submit(t.Context(), 0, "key", time.Now().Add(100*time.Millisecond))
	assert.Equal(t, outcome, model.NotSent, "%s", body)
	c.aborts[0]()
	isAborted.Store(true)
	// The pauses of a submission that settles its claim are shorter.
	time.Sleep(1200 * time.Millisecond)
	assert.Equal(t, late.Load(), int64(0))
}
