package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"

	"filberthold/conns"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/steer"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// logLine is a line of a log, by name of the field.
type logLine map[string]any

// logRecorder keeps the lines of a log. It is safe for concurrent use.
type logRecorder struct {
	mu    sync.Mutex
	lines []logLine
}

// Write implements io.Writer.
func (r *logRecorder) Write(text []byte) (int, error) {
	var line logLine
	if err := json.Unmarshal(text, &line); err != nil {
		return 0, fmt.Errorf("read log line: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
	return len(text), nil
}

// find returns the lines with a message that concern a request.
func (r *logRecorder) find(message, request string) []logLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []logLine
	for _, line := range r.lines {
		if line["msg"] == message && line["request"] == request {
			found = append(found, line)
		}
	}
	return found
}

// recordLog returns the recorder of the server's log.
func (s *testServer) recordLog() *logRecorder {
	recorder := &logRecorder{}
	s.server.log = slog.New(slog.NewJSONHandler(recorder, nil))
	return recorder
}

// ended returns the line of the end of a request, and those of its attempts. The line
// comes after the response.
func (r *logRecorder) ended(t *testing.T, request string) (logLine, []logLine) {
	t.Helper()
	waitFor(t, func() bool { return len(r.find("request ended", request)) == 1 })
	return r.find("request ended", request)[0], r.find("attempt failed", request)
}

// assertFields compares some fields of a line.
func assertFields(t *testing.T, line, expected logLine) {
	t.Helper()
	for name, value := range expected {
		assert.Equal(t, line[name], value, "field %s of %v", name, line)
	}
}

// Guards against lines from which one cannot tell on what a refusal rests: on a request
// that was not sent, or on which response of the endpoint on which connection.
func TestLinesTellProofOfRefusal(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	tests := map[string]struct {
		prepare func(ts *testServer)
		status  int
		attempt logLine
	}{
		"the endpoint says so on a new connection": {
			func(ts *testServer) { ts.addEndpoint(0); ts.setBehaviour(fake.Shed) }, http.StatusServiceUnavailable,
			logLine{"proof": "stated with id", "connection": "new", "firstResponse": true, "headRead": true, "status": 503.0, "result": "overloaded"},
		},
		"the endpoint says so on a used connection": {
			func(ts *testServer) {
				ts.addEndpoint(0)
				status, _, _ := ts.send(http.MethodPost, "/submit/1", "earlier", "content")
				assert.Equal(ts.t, status, http.StatusOK)
				ts.setBehaviour(fake.Shed)
			}, http.StatusServiceUnavailable,
			logLine{"proof": "stated with id", "connection": "used", "firstResponse": false, "headRead": true, "status": 503.0},
		},
		"a response without an id": {
			func(ts *testServer) {
				ts.addRepeatingEndpoint("HTTP/1.1 421 Misdirected Request\r\nOther-Id: %s\r\nContent-Length: 0\r\n\r\n", "")
			}, http.StatusServiceUnavailable,
			logLine{"proof": "stated without id", "connection": "new", "firstResponse": true, "headRead": true, "status": 421.0},
		},
		"nothing is sent": {
			func(ts *testServer) { ts.applyReady("i-0", closed.Addr().String()) }, http.StatusServiceUnavailable,
			logLine{"proof": "not sent", "connection": "none", "local": "", "written": 0.0, "headRead": false, "status": 0.0, "result": "unreachable"},
		},
		"it may have run": {
			func(ts *testServer) { ts.addEndpoint(0); ts.setBehaviour(fake.Reset) }, http.StatusBadGateway,
			logLine{"proof": "", "connection": "new", "headRead": false, "status": 0.0, "result": "unreachable"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, 0)
			recorder := ts.recordLog()
			test.prepare(ts)
			status, _, _ := ts.send(http.MethodPost, "/submit/1", "a1", "content")
			assert.Equal(t, status, test.status)
			ended, attempts := recorder.ended(t, "a1")
			assert.Equal(t, len(attempts), 1)
			assertFields(t, attempts[0], test.attempt)
			assert.Equal(t, attempts[0]["written"], attempts[0]["size"])
			assert.Assert(t, attempts[0]["timeLeft"].(float64) > 1e9)
			if test.status == http.StatusServiceUnavailable {
				assert.Equal(t, ended["proof"], test.attempt["proof"])
			} else {
				assert.Equal(t, ended["proof"], nil)
			}
			if test.attempt["connection"] == "used" {
				assert.Assert(t, attempts[0]["idle"].(float64) > 0)
			}
		})
	}
}

// Guards against a request that leaves no trace of an attempt, because the endpoint
// refuses it with a status that does not count as a failure of the endpoint.
func TestRefusalThatIsNoFailureHasLine(t *testing.T) {
	ts := startTestServer(t, 0)
	recorder := ts.recordLog()
	e := &exchange{server: ts.server, header: platform.RequestHeader{AttemptID: "a1"}}
	e.reportAttempt(attemptOutcome{
		response: &conns.Response{Status: http.StatusRequestTimeout}, result: steer.Answered,
		responseHeader: platform.ResponseHeader{NotStarted: true, AttemptID: "a1"},
	}, new(conns.Trace))
	lines := recorder.find("attempt failed", "a1")
	assert.Equal(t, len(lines), 1)
	assertFields(t, lines[0], logLine{"status": 408.0, "proof": "stated with id", "result": "answered"})
}

// Guards against lines that do not tell when a request was sent, and by which caller's
// connection: without them arrivals of a time cannot be counted, and a caller that sends a
// request twice looks like a host that does. Successful requests have no second line.
func TestLineOfSuccessTellsCallerAndTime(t *testing.T) {
	ts := startTestServer(t, 1)
	recorder := ts.recordLog()
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	assert.Equal(t, status, http.StatusOK)
	ended, attempts := recorder.ended(t, "a1")
	assert.Equal(t, len(attempts), 0)
	_, err := netip.ParseAddrPort(ended["caller"].(string))
	assert.NilError(t, err)
	assert.Assert(t, ended["sentAfter"].(float64) > 0 && ended["sentAfter"].(float64) < ended["elapsed"].(float64))
	for _, name := range []string{"proof", "retryCredit", "foreignResponses"} {
		assert.Equal(t, ended[name], nil, name)
	}
}

// Guards against an endpoint that repeats responses and stays unnoticed, because the host
// skips them.
func TestForeignResponsesAreReported(t *testing.T) {
	ts := startTestServer(t, 1)
	recorder := ts.recordLog()
	ts.setBehaviour(fake.WrongResponseFirst)
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	assert.Equal(t, status, http.StatusOK)
	ended, attempts := recorder.ended(t, "a1")
	assert.Equal(t, len(attempts), 0)
	assert.Equal(t, ended["foreignResponses"], 1.0)
	metrics := readMetrics(t, func(registry *prometheus.Registry) { registry.MustRegister(ts.server.metrics.foreign) })
	assert.Equal(t, metrics["filberthold_foreign_responses_total s"], 1.0)
}

// Guards against retries whose credit cannot be followed: the lines show it after each
// choice, also when there was none.
func TestLinesTellCreditOfRetries(t *testing.T) {
	ts := startTestServer(t, 2)
	recorder := ts.recordLog()
	ts.setBehaviour(fake.Fail)
	for _, attempt := range []string{"a1", "a2"} {
		ts.send(http.MethodGet, "/read/1", attempt, "")
	}
	ended, attempts := recorder.ended(t, "a1")
	assert.Equal(t, len(attempts), 2)
	assertFields(t, attempts[0], logLine{"attempt": 1.0, "retryCredit": nil, "status": 500.0})
	assertFields(t, attempts[1], logLine{"attempt": 2.0, "retryCredit": 0.1})
	assertFields(t, ended, logLine{"retryCredit": 0.1, "attempts": 2.0})
	ended, attempts = recorder.ended(t, "a2")
	assert.Equal(t, len(attempts), 1)
	assertFields(t, ended, logLine{"retryCredit": 0.2, "attempts": 1.0, "outcome": "the retry budget is used up"})
}

// Guards against attempts that are counted twice or not at all in a window: each one has
// either a line of its own or the time in the line of its request.
func TestEachAttemptHasOneTime(t *testing.T) {
	ts := startTestServer(t, 2)
	recorder := ts.recordLog()
	for i, behaviour := range []fake.Behaviour{fake.Serve, fake.Shed, fake.Fail, fake.Reset} {
		ts.setBehaviour(behaviour)
		for _, path := range []string{"/read/", "/submit/"} {
			id := fmt.Sprint(path, i)
			ts.send(http.MethodPost, path+"1", id, "content")
			ended, attempts := recorder.ended(t, id)
			times := len(attempts)
			if ended["sentAfter"] != nil {
				times++
			}
			assert.Equal(t, float64(times), ended["attempts"], "%s: %v %v", id, ended, attempts)
		}
	}
}

// Guards against a field that docs/OPERATIONS.md explains and that is renamed or dropped.
// The golden file lists the fields of a refused request's lines in their order.
func TestFieldsOfLines(t *testing.T) {
	ts := startTestServer(t, 1)
	recorder := &fieldNames{}
	ts.server.log = slog.New(slog.NewJSONHandler(recorder, nil))
	ts.setBehaviour(fake.Shed)
	ts.send(http.MethodPost, "/submit/1", "a1", "content")
	assert.NilError(t, ts.server.Stop(t.Context()))
	golden.Assert(t, strings.Join(recorder.names, "\n")+"\n", "fields.golden")
}

// fieldNames collects the names of the fields of lines, whose values are no objects.
type fieldNames struct{ names []string }

// Write implements io.Writer.
func (f *fieldNames) Write(line []byte) (int, error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	if _, err := decoder.Token(); err != nil {
		return 0, fmt.Errorf("read start of log line: %w", err)
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return 0, fmt.Errorf("read name of field: %w", err)
		}
		value, err := decoder.Token()
		if err != nil {
			return 0, fmt.Errorf("read value of field: %w", err)
		}
		switch name {
		case "time", "level":
		case "msg":
			f.names = append(f.names, fmt.Sprintf("line %q", value))
		default:
			f.names = append(f.names, fmt.Sprint("  ", name))
		}
	}
	return len(line), nil
}

// Guards against an attempt that may have run and is said not to have run, and against a
// statement without an id that passes for one with an id.
func TestProofOfAttempt(t *testing.T) {
	response := &conns.Response{Status: http.StatusServiceUnavailable}
	tests := map[string]struct {
		outcome attemptOutcome
		proof   refusalProof
	}{
		"not sent":          {attemptOutcome{err: &conns.NotSentError{}}, notSent},
		"broken":            {attemptOutcome{err: &conns.IncompleteError{}}, noProof},
		"body broke off":    {attemptOutcome{err: &conns.IncompleteError{}, responseHeader: platform.ResponseHeader{NotStarted: true}}, noProof},
		"stated with id":    {attemptOutcome{response: response, responseHeader: platform.ResponseHeader{NotStarted: true, AttemptID: "a1"}}, statedWithID},
		"stated without id": {attemptOutcome{response: response, responseHeader: platform.ResponseHeader{NotStarted: true}}, statedWithoutID},
		"not stated":        {attemptOutcome{response: response, responseHeader: platform.ResponseHeader{AttemptID: "a1"}}, noProof},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tests[name].outcome.proof(), tests[name].proof) })
	}
}

// Guards against two attempts of one request at one address that cannot be told from
// attempts at two endpoints: the endpoint has started again under another name.
func TestLineTellsAddressOfEndpoint(t *testing.T) {
	ts := startTestServer(t, 1)
	recorder := ts.recordLog()
	ts.applyReady(model.EndpointName("i-1"), ts.endpoints[0].Address())
	ts.setBehaviour(fake.Fail)
	ts.send(http.MethodGet, "/read/1", "a1", "")
	_, attempts := recorder.ended(t, "a1")
	assert.Equal(t, len(attempts), 2)
	assert.Assert(t, attempts[0]["endpoint"] != attempts[1]["endpoint"])
	for _, attempt := range attempts {
		assert.Equal(t, attempt["address"], ts.endpoints[0].Address())
	}
}
