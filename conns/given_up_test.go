package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// givenUpBody is more than the receive buffer of a slow endpoint holds. Its send buffer
// keeps the rest.
const givenUpBody = 64 << 10

// listenSlowly listens with a small receive buffer, so that most bytes of a request stay
// with their sender until the receiver reads.
func listenSlowly(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(descriptor uintptr) {
			err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		return errors.Join(err, controlErr)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	return listener
}

func slowRequest(patience time.Duration) Request {
	return Request{
		Method: http.MethodPost, Target: "/x", Domain: "a.example", Header: http.Header{}, Body: make([]byte, givenUpBody),
		Deadline: time.Now().Add(patience), MaxIdle: time.Minute, MatchesResponse: func(int, http.Header, bool) bool { return true },
	}
}

// Guards against a request that reaches its endpoint after it was given up: the kernel
// delivered its bytes when the endpoint, or the link to it, went on.
func TestGivenUpRequestIsNotDelivered(t *testing.T) {
	for name, giveUp := range map[string]func(pool *Pool, target netip.AddrPort) error{
		"deadline": func(pool *Pool, target netip.AddrPort) error {
			_, err := pool.Exchange(context.Background(), target, slowRequest(50*time.Millisecond))
			return err
		},
		"caller left": func(pool *Pool, target netip.AddrPort) error {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := pool.Exchange(ctx, target, slowRequest(time.Minute))
			return err
		},
		"streamed body": func(pool *Pool, target netip.AddrPort) error {
			request := slowRequest(50 * time.Millisecond)
			request.Stream, request.Length, request.Body = io.LimitReader(zeroReader{}, givenUpBody), givenUpBody, nil
			_, err := pool.Exchange(context.Background(), target, request)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener := listenSlowly(t)
			err := giveUp(NewPool(nil), netip.MustParseAddrPort(listener.Addr().String()))
			var incomplete *IncompleteError
			assert.Assert(t, errors.As(err, &incomplete), "%v", err)
			conn, err := listener.Accept()
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			received, err := io.ReadAll(conn)
			assert.Assert(t, len(received) < givenUpBody, "the whole request arrived")
			assert.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// zeroReader is a body without an end.
type zeroReader struct{}

// Read implements io.Reader.
func (zeroReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

// earlyEndpoint answers one request before it reads its body.
type earlyEndpoint struct {
	listener net.Listener
	response string
	// closed is closed when the endpoint may read the body.
	closed chan struct{}
	// received gets the number of bytes of the body.
	received chan int64
}

func startEarlyEndpoint(t *testing.T, response string) *earlyEndpoint {
	t.Helper()
	endpoint := &earlyEndpoint{listener: listenSlowly(t), response: response, closed: make(chan struct{}), received: make(chan int64, 1)}
	go endpoint.run()
	return endpoint
}

func (e *earlyEndpoint) run() {
	conn, err := e.listener.Accept()
	if err != nil {
		return
	}
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, e.response)
	<-e.closed
	count, _ := io.Copy(io.Discard, request.Body)
	e.received <- count
}

func (e *earlyEndpoint) address() netip.AddrPort {
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

// readBody lets the endpoint read the body, and returns the number of its bytes.
func (e *earlyEndpoint) readBody() int64 {
	close(e.closed)
	return <-e.received
}

// Guards against a body that is cut by the reset of its connection although the endpoint
// has answered: it may answer early and read on later.
func TestBodyArrivesAfterEarlyResponse(t *testing.T) {
	for name, response := range map[string]string{
		"closed": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"kept":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEarlyEndpoint(t, response)
			pool := NewPool(nil)
			_, err := pool.Exchange(t.Context(), endpoint.address(), slowRequest(5*time.Second))
			assert.NilError(t, err)
			pool.CloseIdle(endpoint.address())
			assert.Equal(t, endpoint.readBody(), int64(givenUpBody))
		})
	}
}

// Guards against a body whose end is dropped when the connection of a long response is
// closed: the endpoint sent the whole response before it read the body.
func TestBodyArrivesAfterLongEarlyResponse(t *testing.T) {
	const responseBytes = 2 * maxBufferedBody
	endpoint := startEarlyEndpoint(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", responseBytes, make([]byte, responseBytes)))
	response, err := NewPool(nil).Exchange(t.Context(), endpoint.address(), slowRequest(5*time.Second))
	assert.NilError(t, err)
	assert.NilError(t, response.CopyTo(io.Discard))
	assert.NilError(t, response.Close())
	assert.Equal(t, endpoint.readBody(), int64(givenUpBody))
}
