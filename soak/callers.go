package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"filberthold/platform/fake"
)

const (
	// callerCount is the number of callers, each with one request at a time.
	callerCount = 16
	// patience is how long a caller waits.
	patience = 1500 * time.Millisecond
	// lateness is how much later than its patience a caller must have its answer
	// from a host that was not disturbed.
	lateness = 2 * time.Second
)

// answer is what a caller got.
type answer struct {
	status   int
	body     string
	attempt  string
	hasRetry bool
	elapsed  time.Duration
	err      error
}

// send sends a request on a connection of the shared pool.
func send(ctx context.Context, to *host, method, path, attempt string) answer {
	ctx, cancel := context.WithTimeout(ctx, patience+2*lateness)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.file.CallerAddress()+path, http.NoBody)
	if err != nil {
		return answer{err: fmt.Errorf("make request: %w", err)}
	}
	request.Host = fake.Domain
	fake.SetRequestHeader(request.Header, attempt, path, patience)
	started := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{err: fmt.Errorf("send request: %w", err), elapsed: time.Since(started)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, body: string(body), attempt: fake.AttemptOf(response),
		hasRetry: response.Header.Get("Retry-After") != "", elapsed: time.Since(started), err: err,
	}
}

// asked is a request that has ended.
type asked struct {
	attempt  string
	isSubmit bool
	status   int
}

// callers send requests all the time and check every answer.
type callers struct {
	world *world
	mu    sync.Mutex
	asked []asked
}

func newCallers(w *world) *callers { return &callers{world: w} }

func (c *callers) run(ctx context.Context) {
	var running sync.WaitGroup
	for i := range callerCount {
		running.Go(func() { c.call(ctx, rand.New(rand.NewPCG(c.world.options.Seed, uint64(i)+100)), i) })
	}
	running.Wait()
}

func (c *callers) call(ctx context.Context, random *rand.Rand, number int) {
	for count := 0; ctx.Err() == nil; count++ {
		to := c.world.hosts[random.IntN(len(c.world.hosts))]
		class := []string{"read", "submit", "export"}[random.IntN(3)]
		method := http.MethodGet
		if class == "submit" {
			method = http.MethodPost
		}
		attempt := fmt.Sprintf("a-%d-%d", number, count)
		started := time.Now()
		got := send(context.WithoutCancel(ctx), to, method, fmt.Sprintf("/%s/%d", class, random.IntN(20)), attempt)
		c.check(to, attempt, class, started, got)
		time.Sleep(randomBetween(random, time.Millisecond, 40*time.Millisecond))
	}
}

// check compares an answer with the promises.
func (c *callers) check(to *host, attempt, class string, started time.Time, got answer) {
	w := c.world
	outcome := fmt.Sprintf("%s %d", class, got.status)
	if got.err != nil {
		outcome = class + " no whole answer"
	}
	w.count(w.report.Outcomes, outcome)
	c.mu.Lock()
	c.asked = append(c.asked, asked{attempt: attempt, isSubmit: class == "submit", status: got.status})
	c.mu.Unlock()
	if got.elapsed > patience+lateness && !to.wasDisturbed(started.Add(-lateness)) {
		w.breaks("%s: %s after %s from %s, which was not disturbed", attempt, outcome, got.elapsed, to.file.Name)
	}
	if got.err != nil {
		if w.runs(attempt) > 0 && !to.wasDisturbed(started.Add(-lateness)) {
			w.breaks("%s: the answer was lost by %s, which was not disturbed: %v", attempt, to.file.Name, got.err)
		}
		return
	}
	switch {
	case got.attempt != attempt:
		w.breaks("%s: got the answer to %q (%d)", attempt, got.attempt, got.status)
	case got.status == http.StatusOK && !strings.HasPrefix(got.body, "i-"):
		w.breaks("%s: success with the body %.20q", attempt, got.body)
	case got.status == http.StatusOK && w.runs(attempt) == 0:
		w.breaks("%s: success, but no endpoint ran it", attempt)
	case got.status == http.StatusServiceUnavailable && !got.hasRetry:
		w.breaks("%s: refused without Retry-After", attempt)
	}
}

// settle checks what only holds once nothing is in flight any more: a submit
// runs once at most, and never if it was refused.
func (c *callers) settle() {
	time.Sleep(patience)
	for _, one := range c.asked {
		runs := c.world.runs(one.attempt)
		switch {
		case one.isSubmit && runs > 1:
			c.world.breaks("%s: a submit ran %d times", one.attempt, runs)
		case one.status == http.StatusServiceUnavailable && runs > 0:
			c.world.breaks("%s: refused as not run, but ran", one.attempt)
		}
	}
}
