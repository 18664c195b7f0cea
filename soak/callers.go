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
	// callerTimeout is the timeout that a caller sends with most requests.
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
	// impatientRatio is the share of requests whose callers leave if they have no response
	// after minImpatience to maxImpatience.
	impatientRatio               = 0.2
	minImpatience, maxImpatience = 150 * time.Millisecond, 400 * time.Millisecond
	// lateRunTime is how long after the end of all hosts a request may still run that was
	// on its way to an endpoint.
	lateRunTime = 2 * time.Second
)

// endedRequest is a request that has ended.
type endedRequest struct {
	attempt  string
	isSubmit bool
	status   int
	// body is the first line of the response's body: the name of the endpoint, if it served the
	// request.
	body string
	host *hostProcess
	// digest is the digest of the request.
	digest string
	// hasLeft is true if the caller closed its connection without a response.
	hasLeft bool
	// isLost is true if a host that was not disturbed gave no whole response.
	isLost bool
	// isBrokenOff is true if the response began and did not end.
	isBrokenOff bool
	// version is the version of the configuration that alone has the route, or 0.
	version int
	// timeout is the timeout that the caller sent.
	timeout time.Duration
	// sentAt and endedAt are the times of the request and of its response.
	sentAt, endedAt time.Time
}

// callers send requests in a loop and check every response.
type callers struct {
	testbed *testbed
	mu      sync.Mutex
	ended   []endedRequest
	// keyed holds the requests with keys that have ended. They are not in ended.
	keyed []keyedRequest
}

func newCallers(b *testbed) *callers { return &callers{testbed: b} }

func (c *callers) run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { c.sendLoop(ctx, rand.New(rand.NewPCG(c.testbed.options.Seed, uint64(i)+100)), i) })
	}
	for i := range aheadCount {
		group.Go(func() { c.sendAheadLoop(ctx, rand.New(rand.NewPCG(c.testbed.options.Seed, uint64(i)+200)), i) })
	}
	for i := range versionCallers {
		group.Go(func() { c.sendToVersions(ctx, rand.New(rand.NewPCG(c.testbed.options.Seed, uint64(i)+300)), i) })
	}
	if c.testbed.organisations != nil {
		for i := range keyedCallers {
			group.Go(func() { c.sendKeyed(ctx, rand.New(rand.NewPCG(c.testbed.options.Seed, uint64(i)+400)), i) })
		}
		group.Go(func() { c.testbed.rotateKeys(ctx, rand.New(rand.NewPCG(c.testbed.options.Seed, 500))) })
	}
	group.Wait()
}

// newClients returns a client of each host.
func (b *testbed) newClients() (clients []*client, closeAll func()) {
	for _, host := range b.hosts {
		clients = append(clients, &client{address: host.settings.CallerAddress()})
	}
	return clients, func() {
		for _, each := range clients {
			each.close()
		}
	}
}

func (c *callers) sendLoop(ctx context.Context, random *rand.Rand, number int) {
	clients, closeClients := c.testbed.newClients()
	defer closeClients()
	for count := 0; ctx.Err() == nil; count++ {
		to := random.IntN(len(clients))
		class := []string{"read", "submit", "export"}[random.IntN(3)]
		request := drawCall(random, class, fmt.Sprintf("a-%d-%d", number, count))
		startedAt := time.Now()
		result := clients[to].send(request)
		c.check(c.testbed.hosts[to], request, class, startedAt, result)
		time.Sleep(randomBetween(random, time.Millisecond, 40*time.Millisecond))
	}
}

// drawCall draws a request of a class: submits have a body, sent with a length or in chunks.
func drawCall(random *rand.Rand, class, attempt string) call {
	request := call{method: http.MethodGet, path: fmt.Sprintf("/%s/%d", class, random.IntN(20)), attempt: attempt, timeout: callerTimeout, patience: maxPatience}
	if class == "submit" {
		request.method, request.isChunked = http.MethodPost, random.IntN(2) == 0
		request.body = bodyOf(attempt, minBodyBytes+random.IntN(maxBodyBytes-minBodyBytes+1))
		switch length := random.Float64(); {
		case length < longBodyRatio:
			request.lengthen(random)
		case length < longBodyRatio+wideRatio:
			request.body = bodyOf(attempt, minWideBytes+random.IntN(maxWideBytes-minWideBytes+1))
		}
	}
	if random.Float64() < longTimeoutRatio {
		request.timeout = longTimeout
	}
	switch leaving := random.Float64(); {
	case leaving < leavingRatio:
		request.isLeaving, request.patience = true, randomBetween(random, time.Millisecond, maxStay)
	case leaving < leavingRatio+impatientRatio && !request.isPaced:
		request.isLeaving, request.patience = true, randomBetween(random, minImpatience, maxImpatience)
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
func (c *callers) check(host *hostProcess, request call, class string, startedAt time.Time, result callResult) {
	b := c.testbed
	isUndisturbed := !host.wasDisturbed(startedAt.Add(-maxLateness))
	hasLeft := errors.Is(result.err, errLeft)
	outcome := fmt.Sprintf("%s %d", class, result.status)
	switch {
	case hasLeft:
		outcome = class + " left"
	case result.err != nil:
		outcome = class + " no whole answer"
	}
	b.count(b.report.Outcomes, outcome)
	body, _, _ := strings.Cut(result.body, "\n")
	c.mu.Lock()
	c.ended = append(c.ended, endedRequest{
		attempt: request.attempt, isSubmit: class == "submit", status: result.status, body: body, host: host, digest: request.digest(),
		isLost:      result.err != nil && !hasLeft && isUndisturbed && !result.isBehindBroken,
		hasLeft:     result.isGivenUp(),
		isBrokenOff: result.isBrokenOff(), version: request.version, timeout: request.timeout, sentAt: startedAt, endedAt: startedAt.Add(result.elapsed),
	})
	c.mu.Unlock()
	if result.elapsed-result.behind > min(request.timeout, routeTimeout)+maxLateness && isUndisturbed {
		b.recordViolation("%s: %s after %s from %s, which was not disturbed", request.attempt, outcome, result.elapsed, host.settings.Name)
	}
	if result.err != nil {
		return
	}
	switch {
	case result.attempt != request.attempt:
		b.recordViolation("%s: got the answer to %q (%d)", request.attempt, result.attempt, result.status)
	case result.status == http.StatusOK && !isWhole(result.body, request.attempt):
		b.recordViolation("%s: success with the body %.20q", request.attempt, result.body)
	case result.status == http.StatusOK && !result.isSigned:
		b.recordViolation("%s: success without an endpoint's signature", request.attempt)
	case result.hasExtraBytes:
		b.recordViolation("%s: more bytes than the answer (%d)", request.attempt, result.status)
	case result.status == http.StatusServiceUnavailable && !result.hasRetryAfter:
		b.recordViolation("%s: refused without Retry-After", request.attempt)
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
// is on its way: a submit runs at most once, a refused request never runs, a success has
// run, and a request arrives as its caller sent it.
// Faults have ended and hosts have stopped before, so that nothing is held any more.
func (c *callers) checkExecutions() {
	time.Sleep(lateRunTime)
	digests := make(map[string]string, len(c.ended))
	for _, request := range c.ended {
		digests[request.attempt] = request.digest
		request.isLost = request.isLost && (!request.isBrokenOff || !c.mayBreakOff(request))
		if violation := request.executionViolation(c.testbed.runs(request.attempt)); violation != "" {
			c.testbed.recordViolation("%s: %s, host %s, sent %s, ended %s", request.attempt, violation,
				request.host.settings.Name, request.sentAt.Format(logTime), request.endedAt.Format(logTime))
		}
	}
	for _, endpoint := range c.testbed.endpoints {
		for _, exchange := range endpoint.Exchanges() {
			if digest, isSent := digests[exchange.Attempt]; isSent && exchange.Digest != "" && digest != exchange.Digest {
				c.testbed.recordViolation("%s: arrived at %s with another method, target or body", exchange.Attempt, exchange.ID)
			}
		}
	}
}

// logTime is the format of times in violations. It is that of the hosts' logs.
const logTime = time.RFC3339Nano

// executionViolation returns what is wrong with the number of times that a request ran, or
// nothing.
func (r endedRequest) executionViolation(runs int) string {
	switch {
	case r.isSubmit && runs > 1:
		return fmt.Sprintf("a submit ran %d times", runs)
	case isRefusal(r.status) && runs > 0:
		return fmt.Sprintf("refused as not run (%d), but ran", r.status)
	case r.status == http.StatusOK && runs == 0:
		return "success, but no endpoint ran it"
	case r.isLost && runs > 0:
		return "the answer was lost, though the host was not disturbed"
	}
	return ""
}
