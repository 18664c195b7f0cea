package conns_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"filberthold/conns"
	"filberthold/platform"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

func startEndpoint(t *testing.T) *fake.Endpoint {
	t.Helper()
	endpoint, err := fake.StartEndpoint("i-1", "127.0.0.1:0")
	assert.NilError(t, err)
	go endpoint.Run()
	t.Cleanup(func() { assert.NilError(t, endpoint.Close()) })
	return endpoint
}

func newRequest(attempt string) conns.Request {
	return conns.Request{
		Method: http.MethodGet, Target: "/x/1?q=2", Domain: "a.example",
		Header: http.Header{"Attempt-Id": {attempt}}, Deadline: time.Now().Add(5 * time.Second), MaxIdle: time.Minute,
		MatchesResponse: func(status int, header http.Header, _ bool) bool {
			return platform.ParseResponseHeader(status, header).AttemptID == attempt
		},
	}
}

func address(endpoint *fake.Endpoint) netip.AddrPort {
	return netip.MustParseAddrPort(endpoint.Address())
}

// Guards against a new connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	for range 5 {
		response, err := pool.Exchange(context.Background(), address(endpoint), newRequest("a"))
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "i-1")
	}
	assert.Equal(t, pool.Opened(), uint64(1))
}

// Guards against a connection that is not used again once the deadline of its last
// request has passed: the check for unread bytes failed by that deadline.
func TestConnectionIsReusedAfterDeadlineOfLastRequest(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	for range 3 {
		request := newRequest("a")
		request.Deadline = time.Now().Add(50 * time.Millisecond)
		_, err := pool.Exchange(context.Background(), address(endpoint), request)
		assert.NilError(t, err)
		<-time.After(time.Until(request.Deadline) + time.Millisecond)
	}
	assert.Equal(t, pool.Opened(), uint64(1))
}

// Guards against delivering the response to another request, which a faulty
// endpoint sends first.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	endpoint.SetBehaviour(fake.WrongResponseFirst)
	response, err := pool.Exchange(context.Background(), address(endpoint), newRequest("a"))
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "i-1")
}

// Guards against reusing a connection with unread bytes after a response: they
// would be taken as the response to the next request.
func TestExtraBytesCloseConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	go respondTwice(listener)
	pool := conns.NewPool(nil)
	target := netip.MustParseAddrPort(listener.Addr().String())
	for range 3 {
		response, err := pool.Exchange(context.Background(), target, newRequest("a"))
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "one")
	}
	assert.Equal(t, pool.Opened(), uint64(3))
}

// respondTwice sends two responses to each request.
func respondTwice(listener net.Listener) {
	const response = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 3\r\n\r\none"
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		_, _ = conn.Read(buffer)
		_, _ = conn.Write([]byte(response + response))
	}
}

// Guards against taking a truncated response as complete.
func TestTruncatedResponseIsIncomplete(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	endpoint.SetBehaviour(fake.Truncate)
	_, err := pool.Exchange(context.Background(), address(endpoint), newRequest("a"))
	var incomplete *conns.IncompleteError
	assert.Assert(t, errors.As(err, &incomplete), "got %v", err)
	assert.Assert(t, !incomplete.IsTimeout())
}

// Guards against a pool that retries a request itself when a reused connection
// breaks.
func TestResetConnectionIsNotRetried(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	_, err := pool.Exchange(context.Background(), address(endpoint), newRequest("a"))
	assert.NilError(t, err)
	endpoint.SetBehaviour(fake.Reset)
	_, err = pool.Exchange(context.Background(), address(endpoint), newRequest("b"))
	var incomplete *conns.IncompleteError
	assert.Assert(t, errors.As(err, &incomplete), "got %v", err)
	assert.Assert(t, incomplete.IsReused())
	assert.Equal(t, endpoint.Runs("b"), 1)
}

// Guards against a request that is sent after its deadline has passed.
func TestNothingIsSentAfterDeadline(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	lateRequest := newRequest("a")
	lateRequest.Deadline = time.Now().Add(-time.Millisecond)
	_, err := pool.Exchange(context.Background(), address(endpoint), lateRequest)
	var notSent *conns.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "got %v", err)
	assert.Equal(t, endpoint.RequestCount(), 0)
}

// Guards against a refused connection that is reported as a request that may
// have run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := netip.MustParseAddrPort(closedListener.Addr().String())
	assert.NilError(t, closedListener.Close())
	_, err = pool.Exchange(context.Background(), target, newRequest("a"))
	var notSent *conns.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "got %v", err)
	assert.Equal(t, endpoint.RequestCount(), 0)
}

// Guards against an unresponsive endpoint that is not reported as a timeout. The
// caller gets a different status for a timeout.
func TestUnresponsiveEndpointIsTimeout(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	endpoint.SetLatency(time.Second)
	shortRequest := newRequest("a")
	shortRequest.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := pool.Exchange(context.Background(), address(endpoint), shortRequest)
	var incomplete *conns.IncompleteError
	assert.Assert(t, errors.As(err, &incomplete), "got %v", err)
	assert.Assert(t, incomplete.IsTimeout())
}

// Guards against an exchange that continues after its caller has disconnected.
func TestCancelledRequestEnds(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	endpoint.SetLatency(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := pool.Exchange(ctx, address(endpoint), newRequest("a"))
	assert.Assert(t, errors.Is(err, context.Canceled), "got %v", err)
}

// Guards against a streamed body that ends before its Content-Length or without a
// last chunk, which the endpoint does not accept.
func TestStreamedBodyIsSentCompletely(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 200_000, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			endpoint, pool := startEndpoint(t), conns.NewPool(nil)
			longRequest := newRequest("a")
			longRequest.Method = http.MethodPost
			longRequest.Stream, longRequest.Length = strings.NewReader(strings.Repeat("x", 200_000)), length
			response, err := pool.Exchange(context.Background(), address(endpoint), longRequest)
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusOK)
		})
	}
}
