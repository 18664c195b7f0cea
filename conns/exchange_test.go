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

func request(attempt string) conns.Request {
	return conns.Request{
		Method: http.MethodGet, Target: "/x/1?q=2", Domain: "a.example",
		Header: http.Header{"Attempt-Id": {attempt}}, Deadline: time.Now().Add(5 * time.Second), MaxIdle: time.Minute,
		MatchesResponse: func(status int, header http.Header) bool {
			return platform.ParseResponseHeader(status, header).Attempt == attempt
		},
	}
}

func address(endpoint *fake.Endpoint) netip.AddrPort {
	return netip.MustParseAddrPort(endpoint.Address())
}

func TestConnectionsAreReused(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool()
	for range 5 {
		reply, err := pool.Exchange(context.Background(), address(endpoint), request("a"))
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Body), "i-1")
	}
	assert.Equal(t, pool.Opened(), uint64(1))
}

// A faulty endpoint sends an answer to another request first. The caller must
// get its own.
func TestForeignAnswerIsSkipped(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool()
	endpoint.SetBehaviour(fake.WrongResponseFirst)
	reply, err := pool.Exchange(context.Background(), address(endpoint), request("a"))
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Body), "i-1")
}

// Bytes that follow an answer belong to no request; the connection must not be
// used again.
func TestLeftoverBytesEndTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	go serveTwice(listener)
	pool := conns.NewPool()
	target := netip.MustParseAddrPort(listener.Addr().String())
	for range 3 {
		reply, err := pool.Exchange(context.Background(), target, request("a"))
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Body), "one")
	}
	assert.Equal(t, pool.Opened(), uint64(3))
}

// serveTwice answers each request two times.
func serveTwice(listener net.Listener) {
	const answer = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 3\r\n\r\none"
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		_, _ = conn.Read(buffer)
		_, _ = conn.Write([]byte(answer + answer))
	}
}

// An answer that ends early must not look complete.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool()
	endpoint.SetBehaviour(fake.Truncate)
	_, err := pool.Exchange(context.Background(), address(endpoint), request("a"))
	var broken *conns.IncompleteError
	assert.Assert(t, errors.As(err, &broken), "got %v", err)
	assert.Assert(t, !broken.IsTimeout())
}

// A request must never be sent again by the client itself.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool()
	_, err := pool.Exchange(context.Background(), address(endpoint), request("a"))
	assert.NilError(t, err)
	endpoint.SetBehaviour(fake.Reset)
	_, err = pool.Exchange(context.Background(), address(endpoint), request("b"))
	var broken *conns.IncompleteError
	assert.Assert(t, errors.As(err, &broken), "got %v", err)
	assert.Assert(t, broken.IsReused())
	assert.Equal(t, endpoint.Runs("b"), 1)
}

func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool()
	late := request("a")
	late.Deadline = time.Now().Add(-time.Millisecond)
	_, err := pool.Exchange(context.Background(), address(endpoint), late)
	var notSent *conns.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "got %v", err)
	assert.Equal(t, endpoint.RequestCount(), 0)
}

func TestNoListenerMeansNotSent(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := netip.MustParseAddrPort(free.Addr().String())
	assert.NilError(t, free.Close())
	_, err = pool.Exchange(context.Background(), target, request("a"))
	var notSent *conns.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "got %v", err)
	assert.Equal(t, endpoint.RequestCount(), 0)
}

// An endpoint that says nothing until the deadline has its own kind of error,
// because its request is answered as a timeout.
func TestSilentEndpoint(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool()
	endpoint.SetLatency(time.Second)
	asked := request("a")
	asked.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := pool.Exchange(context.Background(), address(endpoint), asked)
	var broken *conns.IncompleteError
	assert.Assert(t, errors.As(err, &broken), "got %v", err)
	assert.Assert(t, broken.IsTimeout())
}

// Work for a caller that has left must end.
func TestCallersLeavingClosesTheConnection(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool()
	endpoint.SetLatency(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := pool.Exchange(ctx, address(endpoint), request("a"))
	assert.Assert(t, errors.Is(err, context.Canceled), "got %v", err)
}

func TestLongBodyIsSentWhole(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 200_000, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			endpoint, pool := startEndpoint(t), conns.NewPool()
			long := request("a")
			long.Method = http.MethodPost
			long.Stream, long.Length = strings.NewReader(strings.Repeat("x", 200_000)), length
			reply, err := pool.Exchange(context.Background(), address(endpoint), long)
			assert.NilError(t, err)
			assert.Equal(t, reply.Status, http.StatusOK)
		})
	}
}
