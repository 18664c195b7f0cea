package conns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// breakingEndpoint keeps all bytes that it receives. It breaks each connection after a
// random number of bytes or exchanges: by a close, a reset, or by reading no more.
type breakingEndpoint struct {
	listener net.Listener
	// connections are those that are served, and run.
	connections sync.WaitGroup
	mu          sync.Mutex
	random      *rand.Rand
	// received holds the bytes of each connection.
	received [][]byte
}

func (e *breakingEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.connections.Go(func() { e.serve(conn) })
	}
}

func (e *breakingEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	e.mu.Lock()
	remaining, isReset, stopsReading := e.random.IntN(600_000), e.random.IntN(2) == 0, e.random.IntN(4) == 0
	e.mu.Unlock()
	var received []byte
	defer func() { e.keep(received) }()
	buffer := make([]byte, 8<<10)
	for remaining > 0 {
		count, err := conn.Read(buffer[:min(len(buffer), remaining)])
		received = append(received, buffer[:count]...)
		remaining -= count
		if err != nil {
			return
		}
		if end := bytes.LastIndex(buffer[:count], []byte("END")); end >= 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
	if stopsReading {
		time.Sleep(100 * time.Millisecond)
		rest, _ := io.ReadAll(conn)
		received = append(received, rest...)
		return
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP && isReset {
		_ = tcp.SetLinger(0)
	}
}

func (e *breakingEndpoint) keep(received []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, received)
}

// Guards against the proof that no byte of a request was sent for one of which a byte has
// arrived: its connection breaks, its deadline passes or its caller leaves at any moment.
func TestNothingArrivesOfRequestThatWasNotSent(t *testing.T) {
	const seed = 37
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	endpoint := &breakingEndpoint{listener: listener, random: rand.New(rand.NewPCG(seed, 0))}
	endpoint.connections.Go(endpoint.run)
	target := netip.MustParseAddrPort(listener.Addr().String())
	pool := NewPool(nil)
	// A small buffer lets writes end in the middle of a request.
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	var mu sync.Mutex
	var notSent []string
	var group sync.WaitGroup
	for worker := range 8 {
		random := rand.New(rand.NewPCG(seed, uint64(worker)+1))
		group.Go(func() {
			for count := range 200 {
				id := fmt.Sprintf("<%d-%d>", worker, count)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(20_000))*time.Microsecond)
				body := make([]byte, random.IntN(200_000))
				_, err := pool.Exchange(ctx, target, Request{
					Method: http.MethodPost, Target: "/" + id, Domain: "a.example", Header: http.Header{"Attempt-Id": {id}},
					Body: append(body, "END"...), Deadline: time.Now().Add(time.Duration(random.IntN(20_000)) * time.Microsecond), MaxIdle: time.Minute,
					MatchesResponse: func(int, http.Header, bool) bool { return true },
				})
				cancel()
				var proof *NotSentError
				if errors.As(err, &proof) {
					mu.Lock()
					notSent = append(notSent, id)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	pool.CloseIdle(target)
	assert.NilError(t, listener.Close())
	endpoint.connections.Wait()
	t.Logf("seed %d: %d of 1600 requests were not sent, %d connections", seed, len(notSent), len(endpoint.received))
	assert.Assert(t, len(notSent) > 0, "all requests were sent")
	for _, received := range endpoint.received {
		for part := range bytes.SplitSeq(received, []byte("POST /<")) {
			id, _, _ := bytes.Cut(part, []byte(">"))
			assert.Assert(t, !slices.Contains(notSent, "<"+string(id)+">"), "<%s> was not sent and has arrived", id)
		}
	}
}
