package drain

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthold/early"
	"filberthold/memory"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// gate holds up calls while it is closed.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	open := make(chan struct{})
	close(open)
	return &gate{open: open}
}

func (g *gate) hold() { g.mu.Lock(); defer g.mu.Unlock(); g.open = make(chan struct{}) }

func (g *gate) release() { g.mu.Lock(); defer g.mu.Unlock(); close(g.open) }

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// heldListener is a listener of a process that gets no processor time to accept or read.
type heldListener struct {
	*net.TCPListener
	accepts, reads *gate
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.accepts.wait()
	accepted, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: accepted, reads: l.reads}, nil
}

// heldConn holds up reads before the system call, or behind it if that was waiting.
type heldConn struct {
	*net.TCPConn
	reads *gate
}

func (c *heldConn) Read(buffer []byte) (int, error) {
	c.reads.wait()
	count, err := c.TCPConn.Read(buffer)
	c.reads.wait()
	return count, err
}

// server answers each request with its path. Once it is leaving, it refuses requests and
// closes their connections, as entry hosts do.
type server struct {
	t              *testing.T
	address        string
	accepts, reads *gate
	listener       *Listener
	http           *http.Server
	served         chan error
	// running receives the path of each request with the prefix /slow/ when it starts, and
	// answers receives a value for each that may end.
	running, answers chan string
	isLeaving        func() bool
}

// startServer starts a server, with requests that are started early or without.
func startServer(t *testing.T, isEarly bool) *server {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{
		t: t, address: inner.Addr().String(), accepts: newGate(), reads: newGate(), served: make(chan error, 1),
		running: make(chan string, 8), answers: make(chan string),
	}
	var held net.Listener = &heldListener{TCPListener: inner.(*net.TCPListener), accepts: s.accepts, reads: s.reads}
	var handler http.Handler = http.HandlerFunc(s.handle)
	s.isLeaving = func() bool { return s.listener.hasDrained() }
	if isEarly {
		limit := memory.NewLimit(1 << 20)
		held = early.NewListener(held, limit)
		handler = early.NewHandler(handler, func(*http.Request) bool { return true }, s.isLeaving, limit)
	}
	s.listener = NewListener(held)
	s.http = &http.Server{Handler: handler, ConnContext: early.ConnContext, ConnState: s.listener.TrackState, ReadHeaderTimeout: time.Minute}
	go func() { s.served <- s.http.Serve(s.listener) }()
	return s
}

func (s *server) handle(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if strings.HasPrefix(request.URL.Path, "/slow/") {
		s.running <- request.URL.Path
		<-s.answers
	}
	if s.isLeaving() {
		writer.Header().Set("Connection", "close")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprint(writer, request.URL.Path)
}

// stop starts a stop. Its result is sent when the server has ended.
func (s *server) stop() chan error {
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
		defer cancel()
		if err := s.listener.Drain(ctx); err != nil {
			stopped <- err
			return
		}
		stopped <- s.http.Shutdown(ctx)
	}()
	return stopped
}

// assertStopped waits for the end of a stop.
func (s *server) assertStopped(stopped chan error) {
	s.t.Helper()
	assert.NilError(s.t, <-stopped)
	assert.ErrorIs(s.t, <-s.served, http.ErrServerClosed)
}

func (s *server) waitForDrain() {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.isLeaving() {
			return poll.Success()
		}
		return poll.Continue("not draining")
	}, poll.WithDelay(time.Millisecond))
}

type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(s.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

const request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"

func (c *client) send(content string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, content)
	assert.NilError(c.t, err)
}

// status returns the status of the next response, or the error of a connection that ends.
func (c *client) status() string {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err.Error()
	}
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(c.t, errors.Join(err, response.Body.Close()))
	return response.Status
}

// serverKinds are the servers with requests that start early and without.
var serverKinds = map[string]bool{"with early requests": true, "without": false}

const refused = "503 Service Unavailable"

// Guards against connections that the kernel has accepted and resets when the listener
// closes, although their callers have sent requests.
func TestQueuedConnectionsAreAnswered(t *testing.T) {
	for name, isEarly := range serverKinds {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, isEarly)
			// The accept loop waits in a system call already, which returns one connection.
			assert.Equal(t, exchangeOnce(s), "200 OK")
			s.accepts.hold()
			clients := []*client{s.dial()}
			for range 100 {
				clients = append(clients, s.dial())
			}
			for _, c := range clients {
				c.send(request)
			}
			assert.Equal(t, clients[0].status(), "200 OK")
			stopped := s.stop()
			s.waitForDrain()
			s.accepts.release()
			for i, c := range clients[1:] {
				assert.Equal(t, c.status(), refused, "caller %d", i)
			}
			s.assertStopped(stopped)
		})
	}
}

func exchangeOnce(s *server) string {
	c := s.dial()
	c.send(request)
	return c.status()
}

// Guards against requests that are lost because their heads are read, in part or as a
// whole, after the stop has begun: on new connections, and on those that are used again.
func TestRequestsReadDuringStopAreAnswered(t *testing.T) {
	for name, isEarly := range serverKinds {
		for _, isUsed := range []bool{false, true} {
			for _, arrived := range []int{0, 1, 20, len(request)} {
				t.Run(fmt.Sprint(name, ", used ", isUsed, ", ", arrived, " bytes"), func(t *testing.T) {
					s := startServer(t, isEarly)
					c := s.dial()
					if isUsed {
						c.send(request)
						assert.Equal(t, c.status(), "200 OK")
					}
					s.reads.hold()
					c.send(request[:arrived])
					stopped := s.stop()
					s.waitForDrain()
					if isUsed && arrived == 0 {
						s.reads.release()
						s.assertStopped(stopped)
						assert.Equal(t, c.status(), "unexpected EOF")
						return
					}
					time.Sleep(2 * queueTime)
					s.reads.release()
					c.send(request[arrived:])
					assert.Equal(t, c.status(), refused)
					s.assertStopped(stopped)
				})
			}
		}
	}
}

// Guards against a stop that waits for callers who send nothing or a part of a head, and
// against one that does not wait for a request that is handled.
func TestStopWaitsForRunningRequestsOnly(t *testing.T) {
	for name, isEarly := range serverKinds {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, isEarly)
			running, empty, partial, idle := s.dial(), s.dial(), s.dial(), s.dial()
			idle.send(request)
			assert.Equal(t, idle.status(), "200 OK")
			partial.send("GET / HT")
			running.send("GET /slow/1 HTTP/1.1\r\nHost: a\r\n\r\n")
			<-s.running
			stopped := s.stop()
			assert.Equal(t, idle.status(), "unexpected EOF")
			for _, c := range []*client{empty, partial} {
				assert.Equal(t, c.status(), "unexpected EOF")
			}
			select {
			case err := <-stopped:
				t.Fatalf("stopped before the request has ended: %v", err)
			default:
			}
			s.answers <- "/slow/1"
			assert.Equal(t, running.status(), refused)
			s.assertStopped(stopped)
		})
	}
}

// Guards against requests that get no answer while callers open connections during the
// whole stop: each gets a response, or no connection.
func TestCallersThatConnectDuringStopAreAnswered(t *testing.T) {
	s := startServer(t, true)
	var callers sync.WaitGroup
	lost := make(chan string, 1000)
	for range 8 {
		callers.Go(func() {
			for {
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					return
				}
				c := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
				_, _ = io.WriteString(conn, request)
				if status := c.status(); !strings.HasPrefix(status, "200") && status != refused {
					lost <- status
				}
				_ = conn.Close()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.assertStopped(s.stop())
	callers.Wait()
	t.Logf("lost %d requests", len(lost))
	assert.Assert(t, len(lost) <= 8, "one of each caller can cross the close of the listener")
}

// Guards against a listener without deadlines that ends Serve before Shutdown is called,
// or that is never closed.
func TestListenerWithoutDeadlinesIsDrained(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := NewListener(struct{ net.Listener }{inner})
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: listener.TrackState, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	assert.NilError(t, listener.Drain(t.Context()))
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}
