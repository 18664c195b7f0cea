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

// TestJudge holds what becomes of a request of each class after each result.
// The golden file is the promise: only a result that proves that a request did
// not run lets one that is not idempotent go out again.
func TestJudge(t *testing.T) {
	sealed := platform.ResponseHeader{Attempt: "a", IsSigned: true}
	results := []struct {
		name   string
		reply  *conns.Response
		answer platform.ResponseHeader
		err    error
	}{
		{"whole answer", reply(200), sealed, nil},
		{"answer without signature", reply(200), platform.ResponseHeader{Attempt: "a"}, nil},
		{"answer with an encoding", encoded(), sealed, nil},
		{"failure of the endpoint", reply(500), sealed, nil},
		{"timeout of the endpoint", reply(504), sealed, nil},
		{"not found at the endpoint", reply(404), sealed, nil},
		{"endpoint is full", reply(503), platform.ResponseHeader{Attempt: "a", NotStarted: true, IsOverloaded: true}, nil},
		{"another endpoint has the address", reply(421), platform.ResponseHeader{NotStarted: true, IsMisdirected: true}, nil},
		{"nothing was sent", nil, platform.ResponseHeader{}, &conns.NotSentError{}},
		{"the connection broke", nil, platform.ResponseHeader{}, &conns.IncompleteError{}},
	}
	var lines strings.Builder
	for _, result := range results {
		for _, class := range model.Classes() {
			made := classify(result.reply, result.answer, result.err, false)
			fmt.Fprintf(&lines, "%-34s %-7s %-12s %s\n", result.name, class, made.result, describe(judge(class, made)))
		}
	}
	golden.Assert(t, lines.String(), "verdicts.golden")
}

func reply(status int) *conns.Response {
	return &conns.Response{Status: status, Header: http.Header{}}
}

func encoded() *conns.Response {
	made := reply(200)
	made.Header.Set("Content-Encoding", "gzip")
	return made
}

func describe(decided verdict) string {
	switch decided := decided.(type) {
	case deliver:
		return "deliver"
	case tryAgain:
		return fmt.Sprintf("try again, may have run: %t", decided.hasRun)
	case giveUp:
		return fmt.Sprintf("give up with %d", decided.status)
	}
	return "nothing"
}

func TestMisdirectedAnswerMarksTheEndpointGone(t *testing.T) {
	made := classify(reply(421), platform.ResponseHeader{NotStarted: true, IsMisdirected: true}, nil, false)
	assert.Assert(t, made.isGone)
}
