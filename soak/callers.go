package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// callerCount is the number of callers. Each has one request in flight.
	callerCount = 16
	// callerTimeout is the timeout that a caller sends with a request.
	callerTimeout = 1500 * time.Millisecond
	// maxLateness is how much later than its timeout a caller may get the
	// response of a host without a fault.
	maxLateness = 2 * time.Second
	// maxPatience is how long a caller waits for a response.
	maxPatience = callerTimeout + 2*maxLateness
	// minBodyBytes and maxBodyBytes bound the bodies of submits.
	minBodyBytes, maxBodyBytes = 4 << 10, 24 << 10
	// leavingRatio is the share of requests whose callers leave early, within maxStay.
	leavingRatio = 0.02
	maxStay      = 200 * time.Millisecond
	// lateRunTime is how long after the end of all hosts a request may still run that was
	// on its way to an endpoint.
	lateRunTime = 2 * time.Second
)

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
	clients := make([]*client, len(c.testbed.hosts))
	for i, host := range c.testbed.hosts {
		clients[i] = &client{host: host}
		defer clients[i].close()
	}
	for count := 0; ctx.Err() == nil; count++ {
		to := clients[random.IntN(len(clients))]
		class := []string{"read", "submit", "export"}[random.IntN(3)]
		request := drawCall(random, class, fmt.Sprintf("a-%d-%d", number, count))
		startedAt := time.Now()
		result := to.send(request)
		c.check(to.host, request.attempt, class, startedAt, result)
		time.Sleep(randomBetween(random, time.Millisecond, 40*time.Millisecond))
	}
}

// drawCall draws a request of a class: submits have a body, sent with a length or in chunks.
func drawCall(random *rand.Rand, class, attempt string) call {
	request := call{method: http.MethodGet, path: fmt.Sprintf("/%s/%d", class, random.IntN(20)), attempt: attempt, patience: maxPatience}
	if class == "submit" {
		request.method, request.isChunked = http.MethodPost, random.IntN(2) == 0
		request.body = bodyOf(attempt, minBodyBytes+random.IntN(maxBodyBytes-minBodyBytes+1))
	}
	if random.Float64() < leavingRatio {
		request.isLeaving, request.patience = true, randomBetween(random, time.Millisecond, maxStay)
	}
	return request
}

// bodyOf returns the body of a request, in which each line names the attempt and its place.
func bodyOf(attempt string, size int) string {
	var body strings.Builder
	for body.Len() < size {
		fmt.Fprintf(&body, "%s %d\n", attempt, body.Len())
	}
	return body.String()[:size]
}

// check records a violation if a response violates a guarantee.
func (c *callers) check(host *hostProcess, attempt, class string, startedAt time.Time, result callResult) {
	b := c.testbed
	outcome := fmt.Sprintf("%s %d", class, result.status)
	if result.err != nil {
		outcome = class + " no whole answer"
	}
	if errors.Is(result.err, errLeft) {
		outcome = class + " left"
	}
	b.count(b.report.Outcomes, outcome)
	c.mu.Lock()
	c.ended = append(c.ended, endedRequest{attempt: attempt, isSubmit: class == "submit", status: result.status, body: result.body, host: host, sentAt: startedAt, endedAt: startedAt.Add(result.elapsed)})
	c.mu.Unlock()
	if result.elapsed > callerTimeout+maxLateness && !host.wasDisturbed(startedAt.Add(-maxLateness)) {
		b.recordViolation("%s: %s after %s from %s, which was not disturbed", attempt, outcome, result.elapsed, host.settings.Name)
	}
	if errors.Is(result.err, errLeft) {
		return
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
	case result.hasExtraBytes:
		b.recordViolation("%s: more bytes than the answer (%d)", attempt, result.status)
	case result.status == http.StatusServiceUnavailable && !result.hasRetryAfter:
		b.recordViolation("%s: refused without Retry-After", attempt)
	}
}

// isRefusal reports whether a status promises that the request did not run and never will.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkExecutions checks the guarantees that can be checked only when no request
// is on its way: a submit runs at most once, and a refused request never runs. Faults have
// ended and hosts have stopped before, so that nothing is held any more.
func (c *callers) checkExecutions() {
	time.Sleep(lateRunTime)
	for _, request := range c.ended {
		if violation := request.executionViolation(c.testbed.runs(request.attempt)); violation != "" {
			c.testbed.recordViolation("%s: %s", request.attempt, violation)
		}
	}
}

// executionViolation returns what is wrong with the number of times that a request ran, or
// nothing.
func (r endedRequest) executionViolation(runs int) string {
	switch {
	case r.isSubmit && runs > 1:
		return fmt.Sprintf("a submit ran %d times", runs)
	case isRefusal(r.status) && runs > 0:
		return fmt.Sprintf("refused as not run (%d), but ran", r.status)
	}
	return ""
}
