package soak

import "time"

// maxLateArrival is the time after which a request that was given up must not arrive at an
// endpoint any more.
const maxLateArrival = 500 * time.Millisecond

// checkGivenUp checks that no request arrived at an endpoint after it had been given up, at
// its deadline or with its response.
func (c *callers) checkGivenUp() {
	requests := make(map[string]endedRequest, len(c.ended))
	for _, request := range c.ended {
		requests[request.attempt] = request
	}
	for i, endpoint := range c.testbed.endpoints {
		for _, exchange := range endpoint.Exchanges() {
			request, exists := requests[exchange.Attempt]
			if exists && request.isGivenUp(exchange.ArrivedAt) && !c.testbed.wasPaused(request, i, exchange.ArrivedAt) {
				c.testbed.recordViolation("%s: arrived at %s %s after it was sent, and %s after it ended",
					request.attempt, exchange.ID, exchange.ArrivedAt.Sub(request.sentAt), exchange.ArrivedAt.Sub(request.endedAt))
			}
		}
	}
}

// isGivenUp reports whether a request must not arrive at a time any more. The caller of a
// submit may leave before its deadline, and the host goes on.
func (r endedRequest) isGivenUp(at time.Time) bool {
	end := r.deadline()
	if r.endedAt.After(end) {
		end = r.endedAt
	}
	return at.After(end.Add(maxLateArrival))
}

// wasPaused reports whether the host of a request or an endpoint was paused until a time. A
// host that is paused gives nothing up, and an endpoint keeps what its system has received.
func (b *testbed) wasPaused(request endedRequest, endpoint int, until time.Time) bool {
	return request.host.wasPaused(request.sentAt, until) || b.processes[endpoint].wasPaused(request.sentAt, until)
}

// wasPaused reports whether a pause of the process began or ended between two times.
func (p *endpointProcess) wasPaused(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return hasInterruption(p.interruptions, from, to, interruption.isPause)
}
