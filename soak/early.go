package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"filberthold/platform/fake"
)

const (
	// longBodyRatio is the share of submits with a long body, which hosts stream.
	longBodyRatio = 0.1
	// minLongBytes and maxLongBytes bound long bodies. Hosts stream those over 64 KiB.
	minLongBytes, maxLongBytes = 96 << 10, 1 << 20
	// longPieces is the number of pieces in which a caller sends a long body, one in each
	// pieceInterval, so that a response can begin before the end of the body.
	longPieces    = 16
	pieceInterval = 10 * time.Millisecond
	// minPadding and maxPadding bound the length of early responses. Hosts pass on those over
	// 1 MiB before they have received the whole.
	minPadding, maxPadding = 1<<20 + 1, 3 << 20
)

// lengthen gives a submit a long body.
func (c *call) lengthen(random *rand.Rand) {
	c.isPaced = true
	c.body = bodyOf(c.attempt, minLongBytes+random.IntN(maxLongBytes-minLongBytes))
}

// pieces returns the parts of the body that the caller sends one after the other.
func (c call) pieces() []string {
	if !c.isPaced {
		return []string{c.body}
	}
	var pieces []string
	for i := range longPieces {
		pieces = append(pieces, c.body[i*len(c.body)/longPieces:(i+1)*len(c.body)/longPieces])
	}
	return pieces
}

// answerEarly lets an endpoint answer submits with long bodies before it reads them.
func (b *testbed) answerEarly(index int, random *rand.Rand, duration time.Duration) {
	padding := minPadding + random.IntN(maxPadding-minPadding)
	b.setEndpoint(index, func(endpoint *fake.Endpoint) {
		endpoint.SetEarly(true)
		endpoint.SetPadding(padding)
	})
	b.sleep(duration)
	b.setEndpoint(index, func(endpoint *fake.Endpoint) {
		endpoint.SetEarly(false)
		endpoint.SetPadding(0)
	})
}

// isWhole reports whether the body of a success is one that an endpoint sends.
func isWhole(body, attempt string) bool {
	id, _, isPadded := strings.Cut(body, "\n")
	return strings.HasPrefix(body, mainPrefix) && (!isPadded || body == fake.Body(id, attempt, len(body)-len(id)))
}

// mayBreakOff reports whether the response to a request may have ended early although its
// host was not disturbed: at the deadline, or because of a fault of the endpoint.
func (c *callers) mayBreakOff(request endedRequest) bool {
	if !request.endedAt.Before(request.deadline()) {
		return true
	}
	for i, endpoint := range c.testbed.endpoints {
		isRun := endpoint.Runs(request.attempt) > 0
		if isRun && c.testbed.endpointProxies[i].hadFault(request.sentAt, request.endedAt) {
			return true
		}
	}
	return false
}

// isBrokenOff reports whether a response began and did not end.
func (r callResult) isBrokenOff() bool { return r.status >= http.StatusOK && r.err != nil }
