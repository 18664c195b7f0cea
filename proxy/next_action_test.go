package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"filberthold/conns"
	"filberthold/model"
	"filberthold/platform"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a retry of a request that is not idempotent and may have run.
// The golden file holds the next action for each request class after each
// result of an attempt.
func TestNextActionForEachClassAndResult(t *testing.T) {
	signed := platform.ResponseHeader{AttemptID: "a", IsSigned: true}
	results := []struct {
		name     string
		response *conns.Response
		header   platform.ResponseHeader
		err      error
	}{
		{"whole answer", response(200), signed, nil},
		{"answer without signature", response(200), platform.ResponseHeader{AttemptID: "a"}, nil},
		{"answer with an encoding", encodedResponse(), signed, nil},
		{"failure of the endpoint", response(500), signed, nil},
		{"timeout of the endpoint", response(504), signed, nil},
		{"not found at the endpoint", response(404), signed, nil},
		{"endpoint is full", response(503), platform.ResponseHeader{AttemptID: "a", NotStarted: true, IsOverloaded: true}, nil},
		{"refusal without the statement", response(503), signed, nil},
		{"too many, without the statement", response(429), signed, nil},
		{"too late, without the statement", response(408), signed, nil},
		{"another endpoint has the address", response(421), platform.ResponseHeader{NotStarted: true, IsMisdirected: true}, nil},
		{"nothing was sent", nil, platform.ResponseHeader{}, &conns.NotSentError{}},
		{"the connection broke", nil, platform.ResponseHeader{}, &conns.IncompleteError{}},
	}
	var lines strings.Builder
	for _, result := range results {
		for _, class := range model.Classes() {
			outcome := classify(result.response, result.header, result.err, false)
			fmt.Fprintf(&lines, "%-34s %-7s %-12s %s\n", result.name, class, outcome.result, describe(decideNextAction(class, outcome)))
		}
	}
	golden.Assert(t, lines.String(), "verdicts.golden")
}

func response(status int) *conns.Response {
	return &conns.Response{Status: status, Header: http.Header{}}
}

func encodedResponse() *conns.Response {
	encoded := response(200)
	encoded.Header.Set("Content-Encoding", "gzip")
	return encoded
}

func describe(action nextAction) string {
	switch action := action.(type) {
	case deliver:
		return "deliver"
	case retry:
		return fmt.Sprintf("try again, may have run: %t", action.mayHaveRun)
	case fail:
		return fmt.Sprintf("give up with %d", action.status)
	}
	return "nothing"
}

// Guards against an endpoint's status that promises callers that a request did not
// run, although the endpoint did not state it and may have run the request.
func TestStatusWithoutStatementIsNotDelivered(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		outcome := classify(response(status), platform.ResponseHeader{AttemptID: "a", IsSigned: true}, nil, false)
		assert.Assert(t, !outcome.isDeliverable(), "status %d", status)
		assert.Equal(t, decideNextAction(model.Submit, outcome), nextAction(fail{status: http.StatusBadGateway, reason: "the response is spoiled"}), "status %d", status)
		assert.Equal(t, decideNextAction(model.Read, outcome), nextAction(retry{mayHaveRun: true, reason: "the response is spoiled"}), "status %d", status)
	}
}

// Guards against a host that keeps sending requests to an address after another
// endpoint has taken it over.
func TestMisdirectedResponseMarksEndpointGone(t *testing.T) {
	outcome := classify(response(421), platform.ResponseHeader{NotStarted: true, IsMisdirected: true}, nil, false)
	assert.Assert(t, outcome.isEndpointGone)
}
