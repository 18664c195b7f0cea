package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// endpointFault is how an endpoint treats the next requests in TestPromisesHoldInEveryOrderOfFaults.
type endpointFault struct {
	name  string
	apply func(endpoint *fake.Endpoint)
	// mayRun is true if the endpoint runs the request.
	mayRun bool
	// isSlow is true if the attempt ends at its deadline only.
	isSlow bool
	// hasNoListener is true if nobody accepts connections at the endpoint's address.
	hasNoListener bool
}

// unusedAddress is an address on which nobody listens. The port is not one that the system
// assigns: that of an endpoint that was closed may be assigned to one of a parallel test.
const unusedAddress = "127.0.0.1:9"

func behaves(name string, behaviour fake.Behaviour, mayRun bool) endpointFault {
	return endpointFault{name: name, mayRun: mayRun, isSlow: behaviour == fake.LoseAnswer, apply: func(endpoint *fake.Endpoint) { endpoint.SetBehaviour(behaviour) }}
}

// refuses is an endpoint that refuses with a status, after it has run the request or not.
func refuses(status string, behaviour fake.Behaviour) endpointFault {
	return endpointFault{name: fmt.Sprint(status, " ", behaviour == fake.RunAndRefuse), mayRun: behaviour == fake.RunAndRefuse, apply: func(endpoint *fake.Endpoint) {
		endpoint.SetRefusal(fake.Refusal{Status: status})
		endpoint.SetBehaviour(behaviour)
	}}
}

// endpointFaults returns the faults with which an endpoint ends an attempt, and none.
func endpointFaults() []endpointFault {
	faults := []endpointFault{
		behaves("serve", fake.Serve, true), behaves("shed", fake.Shed, false), behaves("reset", fake.Reset, true),
		behaves("truncate", fake.Truncate, true), behaves("wrong response first", fake.WrongResponseFirst, true),
		behaves("unsigned", fake.Unsigned, true), behaves("fail", fake.Fail, true), behaves("lose the answer", fake.LoseAnswer, true),
		{name: "closed", hasNoListener: true, apply: func(*fake.Endpoint) {}},
		{name: "another endpoint", apply: func(endpoint *fake.Endpoint) { endpoint.Rename("other") }},
	}
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		faults = append(faults, refuses(status, fake.Refuse), refuses(status, fake.RunAndRefuse))
	}
	// By the protocol, status 421 states by itself that the endpoint has not run the request.
	return append(faults, refuses("421 Misdirected Request", fake.Refuse))
}

// Guards against an order of two faults in which a request that is not idempotent runs twice,
// a request is refused as not run although an endpoint has run it, a failure looks like a
// success, or a request fails although the next endpoint could serve it.
func TestPromisesHoldInEveryOrderOfFaults(t *testing.T) {
	for _, first := range endpointFaults() {
		for _, second := range endpointFaults() {
			for _, class := range []string{"read", "submit"} {
				t.Run(fmt.Sprintf("%s, %s, %s", class, first.name, second.name), func(t *testing.T) {
					t.Parallel()
					playFaults(t, class, first, second)
				})
			}
		}
	}
}

// playFaults sends a request to a server with two endpoints and checks what its caller hears
// against what the endpoints did.
func playFaults(t *testing.T, class string, first, second endpointFault) {
	ts := startTestServer(t, 2)
	for i, fault := range []endpointFault{first, second} {
		fault.apply(ts.endpoints[i])
		if fault.hasNoListener {
			ts.applyAddress(model.EndpointName(ts.endpoints[i].ID()), unusedAddress, 2)
		}
	}
	attempt := strings.ReplaceAll(fmt.Sprint(class, "-", first.name, "-", second.name), " ", "-")
	status, body, header := ts.sendWithin(500*time.Millisecond, http.MethodPost, "/"+class+"/1", attempt, "content")
	ts.waitForQuiet()
	runs, arrivals := ts.runs(attempt), 0
	for _, endpoint := range ts.endpoints {
		for _, exchange := range endpoint.Exchanges() {
			assert.Equal(t, exchange.Attempt, attempt)
			arrivals++
		}
	}
	assert.Assert(t, arrivals <= 2, "%d attempts", arrivals)
	if class == "submit" {
		assert.Assert(t, runs <= 1, "a submit ran %d times", runs)
	}
	assert.Assert(t, !isRefusal(status) || runs == 0, "refused with %d, but ran", status)
	if status == http.StatusOK {
		assert.Assert(t, header.Get("Server-Seal") != "")
		assert.Assert(t, strings.HasPrefix(body, "i-") && runs >= 1, "success %q after %d runs", body, runs)
	}
	if isSoundPair(class, first, second) {
		assert.Equal(t, status, http.StatusOK)
	}
}

// isSoundPair reports whether the request is served by the second endpoint if it meets the
// first one first: that has not run it, or may be repeated, and ends the attempt in time.
func isSoundPair(class string, first, second endpointFault) bool {
	allows := func(fault endpointFault) bool {
		return !fault.isSlow && (class == "read" || !fault.mayRun)
	}
	isServe := func(fault endpointFault) bool { return fault.name == "serve" }
	return isServe(first) && (isServe(second) || allows(second)) || isServe(second) && allows(first)
}
