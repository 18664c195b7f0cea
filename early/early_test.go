package early

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/memory"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testServer is an HTTP server whose requests run until they are released by their path.
type testServer struct {
	t       *testing.T
	address string
	handler *Handler
	server  *http.Server
	limit   *memory.Limit
	// isClosing is true once the server closes connections.
	isClosing atomic.Bool

	mu      sync.Mutex
	order   []string
	release map[string]chan struct{}
	left    map[string]bool
	closes  map[string]bool
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	return startServerWithin(t, memory.NewLimit(16<<20))
}

// startServerWithin starts a server whose memory is limited.
func startServerWithin(t *testing.T, limit *memory.Limit) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{t: t, limit: limit, address: listener.Addr().String(), release: make(map[string]chan struct{}), left: make(map[string]bool), closes: make(map[string]bool)}
	s.handler = NewHandler(http.HandlerFunc(s.handle), func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, "/safe") }, s.isClosing.Load, limit)
	s.server = &http.Server{Handler: s.handler, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute}
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(NewListener(listener, limit)) }()
	t.Cleanup(func() {
		assert.NilError(t, s.server.Close())
		assert.ErrorIs(t, <-done, http.ErrServerClosed)
	})
	return s
}

func (s *testServer) handle(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	s.order = append(s.order, request.URL.Path)
	release := s.released(request.URL.Path)
	closes := s.closes[request.URL.Path]
	s.mu.Unlock()
	body, _ := io.ReadAll(request.Body)
	select {
	case <-release:
	case <-request.Context().Done():
		s.mu.Lock()
		s.left[request.URL.Path] = true
		s.mu.Unlock()
		return
	}
	if closes {
		writer.Header().Set("Connection", "close")
	}
	fmt.Fprint(writer, request.URL.Path, string(body))
}

func (s *testServer) released(path string) chan struct{} {
	if s.release[path] == nil {
		s.release[path] = make(chan struct{})
	}
	return s.release[path]
}

func (s *testServer) end(paths ...string) {
	for _, path := range paths {
		s.mu.Lock()
		close(s.released(path))
		s.mu.Unlock()
	}
}

// started returns the requests whose handler was called, in that order.
func (s *testServer) started() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.order...)
}

func (s *testServer) waitFor(condition string, holds func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s: not yet, started are %q", condition, s.started())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// settle returns after a request of another connection was served, so that the bytes
// that were sent before have been read.
func (s *testServer) settle() {
	s.t.Helper()
	path := fmt.Sprint("/other", len(s.started()))
	c := s.dial()
	c.send(get(path))
	s.end(path)
	assert.Equal(s.t, c.receive(), path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = slices.DeleteFunc(s.order, func(started string) bool { return started == path })
}

// client is a connection that sends requests without waiting for responses.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(s.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func (c *client) send(requests ...string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, strings.Join(requests, ""))
	assert.NilError(c.t, err)
}

// receive returns the body of the next response, or its status if that is not 200.
func (c *client) receive() string {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "closed"
	}
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, errors.Join(err, response.Body.Close()))
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	return string(body)
}

// Guards against a request that begins only after the response to the one before it, and
// against responses in another order than the requests.
func TestRequestsStartEarlyAndAreAnsweredInOrder(t *testing.T) {
	for name, isSplit := range map[string]bool{"in one packet": false, "one after the other": true} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			c := s.dial()
			c.send(get("/safe1"))
			if isSplit {
				s.waitFor("the first runs", func() bool { return len(s.started()) == 1 })
			}
			c.send(get("/safe2"), get("/safe3"))
			s.waitFor("all run", func() bool { return len(s.started()) == 3 })
			s.end("/safe3", "/safe2")
			s.end("/safe1")
			for _, path := range []string{"/safe1", "/safe2", "/safe3"} {
				assert.Equal(t, c.receive(), path)
			}
			assert.Equal(t, s.handler.Started(), uint64(2))
			c.send(get("/safe4"))
			s.end("/safe4")
			assert.Equal(t, c.receive(), "/safe4")
		})
	}
}

// Guards against a request that may run once only and begins before its turn, and
// against one with a body that is taken for two.
func TestOnlyAllowedRequestsStartEarly(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	c.send(get("/safe1"), post("/unsafe2", get("/safe9")), get("/safe3"))
	s.waitFor("the first runs", func() bool { return len(s.started()) == 1 })
	s.settle()
	assert.DeepEqual(t, s.started(), []string{"/safe1"})
	s.end("/safe1")
	assert.Equal(t, c.receive(), "/safe1")
	s.end("/unsafe2", "/safe3")
	assert.Equal(t, c.receive(), "/unsafe2"+get("/safe9"))
	assert.Equal(t, c.receive(), "/safe3")
}

// Guards against a response behind one that closes the connection, and against work that
// goes on for requests that count as not read.
func TestNothingIsAnsweredBehindAClose(t *testing.T) {
	s := startServer(t)
	s.closes["/safe1"] = true
	c := s.dial()
	c.send(get("/safe1"), get("/safe2"))
	s.waitFor("both run", func() bool { return len(s.started()) == 2 })
	s.end("/safe1")
	assert.Equal(t, c.receive(), "/safe1")
	s.waitFor("the second is given up", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.left["/safe2"] })
	assert.Equal(t, c.receive(), "closed")
}

// Guards against work that goes on for a caller who has left while bytes of its next
// request wait, which hide the end of the connection from net/http.
func TestCallerThatLeavesEndsAllItsRequests(t *testing.T) {
	for name, next := range map[string]string{"a next request": get("/safe2"), "a part of one": "GET /safe2 HT", "one that waits": post("/unsafe2", "x")} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			c := s.dial()
			c.send(get("/safe1"), next)
			s.waitFor("the first runs", func() bool { return len(s.started()) > 0 })
			assert.NilError(t, c.conn.Close())
			s.waitFor("the first is given up", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.left["/safe1"] })
		})
	}
}

// Guards against a bad request that spoils the good one before it.
func TestBadRequestBehindGoodOne(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	c.send(get("/safe1"), "NONSENSE\r\n\r\n", get("/safe2"))
	s.waitFor("the first runs", func() bool { return len(s.started()) == 1 })
	s.end("/safe1")
	assert.Equal(t, c.receive(), "/safe1")
	assert.Equal(t, c.receive(), "400 Bad Request")
	assert.Equal(t, c.receive(), "closed")
	assert.DeepEqual(t, s.started(), []string{"/safe1"})
}

// Guards against a stop that cuts requests which were started early: all that were
// received get a response or a closed connection, and the responses that come are whole.
func TestStopEndsStartedRequests(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	c.send(get("/safe1"), get("/safe2"))
	s.waitFor("both run", func() bool { return len(s.started()) == 2 })
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Shutdown(t.Context()) }()
	s.waitFor("the listener is closed", func() bool {
		conn, err := net.Dial("tcp", s.address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	s.end("/safe1", "/safe2")
	assert.Equal(t, c.receive(), "/safe1")
	if second := c.receive(); second != "closed" {
		assert.Equal(t, second, "/safe2")
	}
	assert.NilError(t, <-stopped)
}

// Guards against a stop that closes a connection behind a request although later ones were
// started: endpoints have run them, and their callers get no answer.
func TestStopAnswersAllStartedRequests(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	var requests, answered, expected []string
	for i := range 3 + maxStarted {
		requests = append(requests, get(fmt.Sprint("/safe", i)))
	}
	for i := range 1 + maxStarted {
		expected = append(expected, fmt.Sprint("/safe", i))
	}
	c.send(requests...)
	s.waitFor("some run", func() bool { return len(s.started()) == 1+maxStarted })
	s.isClosing.Store(true)
	stopped := make(chan error, 1)
	go func() { stopped <- errors.Join(s.handler.Wait(t.Context()), s.server.Shutdown(t.Context())) }()
	for i := range requests {
		s.end(fmt.Sprint("/safe", i))
	}
	for response := c.receive(); response != "closed"; response = c.receive() {
		answered = append(answered, response)
	}
	assert.NilError(t, <-stopped)
	assert.DeepEqual(t, answered, expected)
	assert.Equal(t, len(s.started()), len(expected))
}

// Guards against a caller that makes a host keep any number of requests and bytes.
func TestRequestsOfOneConnectionAreBounded(t *testing.T) {
	s := startServer(t)
	c := s.dial()
	var requests []string
	for i := range 3 * maxStarted {
		requests = append(requests, get(fmt.Sprint("/safe", i)))
	}
	c.send(requests...)
	s.waitFor("some run", func() bool { return len(s.started()) == 1+maxStarted })
	s.settle()
	assert.Equal(t, len(s.started()), 1+maxStarted)
	for i := range requests {
		s.end(fmt.Sprint("/safe", i))
		assert.Equal(t, c.receive(), fmt.Sprint("/safe", i))
	}
}

// FuzzFraming guards against a request that is started early although net/http sees the
// bytes as part of another one.
func FuzzFraming(f *testing.F) {
	f.Add([]byte(get("/a") + post("/b", get("/c")) + get("/d")))
	f.Add([]byte("GET /a HTTP/1.1\nHost: a\n\nGET /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n Content-Length: 5\r\n\r\nabcde"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/b")))
	f.Fuzz(func(t *testing.T, content []byte) {
		boundaries := requestOffsets(content)
		var frame framing
		offset := 0
		for offset < len(content) {
			if frame.isAtHead() && headLength(content[offset:]) > 0 && !boundaries[offset] && !boundaries[-1] {
				t.Fatalf("a request begins at %d, net/http sees others: %v", offset, boundaries)
			}
			count := frame.next(content[offset:])
			if count == 0 {
				return
			}
			frame.advance(content[offset : offset+count])
			offset += count
		}
	})
}

// requestOffsets returns the offsets at which net/http reads a request, and -1 if it
// meets an error, after which it closes the connection.
func requestOffsets(content []byte) map[int]bool {
	offsets := make(map[int]bool)
	source := bytes.NewReader(content)
	reader := bufio.NewReader(source)
	for {
		offset := len(content) - source.Len() - reader.Buffered()
		request, err := http.ReadRequest(reader)
		if errors.Is(err, io.EOF) {
			return offsets
		}
		offsets[offset] = true
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			offsets[-1] = true
			return offsets
		}
	}
}
