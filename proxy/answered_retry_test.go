package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform/fake"
	"filberthold/roster"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a retry that its endpoint has answered and that is taken for one that may
// still arrive: it takes the place of credit for two minutes, and with it retries of others.
func TestMisdirectedRetryHasArrived(t *testing.T) {
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodPost, "/submit/1", "a1", "content")
	for _, endpoint := range ts.endpoints {
		endpoint.SetRefusal(fake.Refusal{Status: "421 Misdirected Request"})
		endpoint.SetBehaviour(fake.Refuse)
	}
	if first == "i-0" {
		ts.endpoints[0].SetBehaviour(fake.Shed)
	} else {
		ts.endpoints[1].SetBehaviour(fake.Shed)
	}
	status, _, _ := ts.send(http.MethodPost, "/submit/1", "a2", "content")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	ts.core.mu.Lock()
	defer ts.core.mu.Unlock()
	assert.Equal(t, ts.core.outstandingRetries("s"), 0, "an answered retry is taken for one that may still arrive")
}

// Guards against a retry whose answer broke off being counted as one that may still arrive:
// the head of the answer shows that it has arrived.
func TestRetryWithBrokenAnswerHasArrived(t *testing.T) {
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	for i, endpoint := range ts.endpoints {
		endpoint.SetBehaviour(fake.Truncate)
		if first == fmt.Sprint("i-", i) {
			endpoint.SetBehaviour(fake.Shed)
		}
	}
	ts.send(http.MethodGet, "/read/1", "a2", "")
	ts.core.mu.Lock()
	defer ts.core.mu.Unlock()
	assert.Equal(t, ts.core.retryUse("s").chosen, uint64(1))
	assert.Equal(t, ts.core.outstandingRetries("s"), 0)
}

// slowBodyEndpoint answers a request with the head of a response, and sends the body once
// finish is closed.
type slowBodyEndpoint struct {
	listener net.Listener
	// started is closed when the head of the first response was sent.
	started, finish chan struct{}
}

func (e *slowBodyEndpoint) run() {
	conn, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\n", request.Header.Get("Attempt-Id"))
	close(e.started)
	<-e.finish
	_, _ = fmt.Fprint(conn, "x")
}

// Guards against retries that fall below their ratio because each of them counts as one
// that may still arrive until the end of a long body. The head shows that it has arrived.
func TestRetryWithHeadOfAnswerHasArrived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	slow := &slowBodyEndpoint{listener: listener, started: make(chan struct{}), finish: make(chan struct{})}
	go slow.run()
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	for i, endpoint := range ts.endpoints {
		name := fmt.Sprint("i-", i)
		if first == name {
			endpoint.SetBehaviour(fake.Shed)
			continue
		}
		ts.core.ApplyEntry(roster.Entry{
			Endpoint: model.EndpointName(name), Service: "s", Address: netip.MustParseAddrPort(listener.Addr().String()),
			Zone: "za", Slots: 3, State: roster.Ready, Sequence: 2, Incarnation: 1,
		})
	}
	conn := ts.dialRaw("GET /read/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a2\r\nAffinity-Key: 7\r\nDeadline-Ms: 1500\r\n\r\n")
	<-slow.started
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if count := ts.core.outstandingNow(); count > 0 {
			return poll.Continue("%d retries may still arrive", count)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
	close(slow.finish)
	assert.Equal(t, readStatus(t, conn), http.StatusOK)
}
