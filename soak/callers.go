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
	// callerCount is the number of callers. Each has one request in flight.
	callerCount = 16
	// callerTimeout is the timeout that a caller sends with a request.
	callerTimeout = 1500 * time.Millisecond
	// maxLateness is how much later than its timeout a caller may get the
	// response of a host without a fault.
	maxLateness = 2 * time.Second
)

// callResult is the response to a request or the error instead of one.
type callResult struct {
	status        int
	body          string
	attempt       string
	hasRetryAfter bool
	elapsed       time.Duration
	err           error
}

// send sends a request over the shared connection pool and reads its response.
// The attempt is the ID that the caller gives the request. send waits for at
// most callerTimeout and twice maxLateness.
func send(ctx context.Context, host *hostProcess, method, path, attempt string) callResult {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout+2*maxLateness)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host.settings.CallerAddress()+path, http.NoBody)
	if err != nil {
		return callResult{err: fmt.Errorf("make request: %w", err)}
	}
	request.Host = fake.Domain
	fake.SetRequestHeader(request.Header, attempt, path, callerTimeout)
	startedAt := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return callResult{err: fmt.Errorf("send request: %w", err), elapsed: time.Since(startedAt)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, body: string(body), attempt: fake.AttemptOf(response),
		hasRetryAfter: response.Header.Get("Retry-After") != "", elapsed: time.Since(startedAt), err: err,
	}
}

// endedRequest is a request that has ended.
type endedRequest struct {
	attempt  string
	isSubmit bool
	status   int
	// body is the body of the response: the name of the endpoint, if it served the
	// request.
	body string
	host *hostProcess
	// sentAt and endedAt are the times of the request and of its response.
	sentAt, endedAt time.Time
}

// callers send requests in a loop and check every response.
type callers struct {
	testbed *testbed
	mu      sync.Mutex
	ended   []endedRequest
}

func newCallers(b *testbed) *callers { return &callers{testbed: b} }

func (c *callers) run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { c.sendLoop(ctx, rand.New(rand.NewPCG(c.testbed.options.Seed, uint64(i)+100)), i) })
	}
	group.Wait()
}

func (c *callers) sendLoop(ctx context.Context, random *rand.Rand, number int) {
	for count := 0; ctx.Err() == nil; count++ {
		host := c.testbed.hosts[random.IntN(len(c.testbed.hosts))]
		class := []string{"read", "submit", "export"}[random.IntN(3)]
		method := http.MethodGet
		if class == "submit" {
			method = http.MethodPost
		}
		attempt := fmt.Sprintf("a-%d-%d", number, count)
		startedAt := time.Now()
		result := send(context.WithoutCancel(ctx), host, method, fmt.Sprintf("/%s/%d", class, random.IntN(20)), attempt)
		c.check(host, attempt, class, startedAt, result)
		time.Sleep(randomBetween(random, time.Millisecond, 40*time.Millisecond))
	}
}

// check records a violation if a response violates a guarantee.
func (c *callers) check(host *hostProcess, attempt, class string, startedAt time.Time, result callResult) {
	b := c.testbed
	outcome := fmt.Sprintf("%s %d", class, result.status)
	if result.err != nil {
		outcome = class + " no whole answer"
	}
	b.count(b.report.Outcomes, outcome)
	c.mu.Lock()
	c.ended = append(c.ended, endedRequest{attempt: attempt, isSubmit: class == "submit", status: result.status, body: result.body, host: host, sentAt: startedAt, endedAt: startedAt.Add(result.elapsed)})
	c.mu.Unlock()
	if result.elapsed > callerTimeout+maxLateness && !host.wasDisturbed(startedAt.Add(-maxLateness)) {
		b.recordViolation("%s: %s after %s from %s, which was not disturbed", attempt, outcome, result.elapsed, host.settings.Name)
	}
	if result.err != nil {
		if b.runs(attempt) > 0 && !host.wasDisturbed(startedAt.Add(-maxLateness)) {
			b.recordViolation("%s: the answer was lost by %s, which was not disturbed: %v", attempt, host.settings.Name, result.err)
		}
		return
	}
	switch {
	case result.attempt != attempt:
		b.recordViolation("%s: got the answer to %q (%d)", attempt, result.attempt, result.status)
	case result.status == http.StatusOK && !strings.HasPrefix(result.body, "i-"):
		b.recordViolation("%s: success with the body %.20q", attempt, result.body)
	case result.status == http.StatusOK && b.runs(attempt) == 0:
		b.recordViolation("%s: success, but no endpoint ran it", attempt)
	case result.status == http.StatusServiceUnavailable && !result.hasRetryAfter:
		b.recordViolation("%s: refused without Retry-After", attempt)
	}
}

// checkExecutions checks the guarantees that can be checked only when no request
// is in flight: a submit runs at most once, and a refused request never runs.
func (c *callers) checkExecutions() {
	time.Sleep(callerTimeout)
	for _, request := range c.ended {
		runs := c.testbed.runs(request.attempt)
		switch {
		case request.isSubmit && runs > 1:
			c.testbed.recordViolation("%s: a submit ran %d times", request.attempt, runs)
		case request.status == http.StatusServiceUnavailable && runs > 0:
			c.testbed.recordViolation("%s: refused as not run, but ran", request.attempt)
		}
	}
}
