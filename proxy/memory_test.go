package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/memory"
	"filberthold/model"
	"filberthold/platform"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// stallingEndpoint begins a signed response to each request, sends a part of its body and
// then nothing more.
type stallingEndpoint struct {
	listener net.Listener
	part     []byte
	// stalled counts the responses whose part was sent.
	stalled atomic.Int64
}

func (e *stallingEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.respond(conn)
	}
}

func (e *stallingEndpoint) respond(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n", platform.ParseRequestHeader(request.Header).AttemptID, 2*len(e.part))
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	if _, err := conn.Write(e.part); err != nil {
		return
	}
	e.stalled.Add(1)
	_, _ = io.Copy(io.Discard, reader)
}

// byteCount counts what callers receive.
type byteCount struct{ atomic.Int64 }

// readFrom reads a connection to its end, through a buffer that is small against what a
// request may need.
func (c *byteCount) readFrom(conn net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		count, err := conn.Read(buffer)
		c.Add(int64(count))
		if err != nil {
			return
		}
	}
}

// heapBytes returns the bytes of the heap that are in use. The second collection frees
// the copies that buffers left while the first one ran, when they grew.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// waitForRelease waits until no memory is reserved.
func waitForRelease(t *testing.T, limit *memory.Limit) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if limit.Used() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d bytes are reserved", limit.Used())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a host that runs out of memory because many endpoints send long bodies
// that do not end, each of them within the bound for one body.
func TestManyEndlessBodiesStayWithinMemory(t *testing.T) {
	const requests = 64
	// Besides the bodies, a request may need some small buffers.
	const maxPerRequest = 64 << 10
	// A response body of which more has arrived is passed on.
	const maxBody = 1 << 20
	limit := memory.NewLimit(testMemory)
	ts := startTestServerWithin(t, 0, limit)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	endpoint := &stallingEndpoint{listener: listener, part: make([]byte, 1_000_000)}
	go endpoint.run()
	var received byteCount
	for i := range requests {
		ts.applyReady(model.EndpointName(fmt.Sprintf("i-%d", i)), listener.Addr().String())
	}
	before := heapBytes()
	for i := range requests {
		conn := ts.dialRaw(fmt.Sprintf("GET /export/%d HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a%d\r\nDeadline-Ms: 2000\r\n\r\n", i, i))
		go received.readFrom(conn)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if endpoint.stalled.Load() == requests {
			return poll.Success()
		}
		return poll.Continue("%d responses have stalled", endpoint.stalled.Load())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	// Buffers that still grow leave copies. Once none grows, each body is in a buffer of full
	// size or has been passed on.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		buffered := limit.Used() / maxBody
		if received.Load() >= (requests-buffered)*int64(len(endpoint.part)) {
			return poll.Success()
		}
		return poll.Continue("%d bodies are buffered, %d bytes were passed on", buffered, received.Load())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	after := heapBytes()
	assert.Assert(t, after < before+testMemory+requests*maxPerRequest, "the heap grew by %d bytes", after-before)
	waitForRelease(t, limit)
}

// Guards against requests that fail because there is no memory to keep their bodies, and
// against memory that stays reserved for them.
func TestBodiesBeyondMemoryAreStreamed(t *testing.T) {
	limit := memory.NewLimit(256 << 10)
	ts := startTestServerWithin(t, 4, limit)
	for _, endpoint := range ts.endpoints {
		endpoint.SetLatency(100 * time.Millisecond)
	}
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			status, _, _ := ts.send(http.MethodPost, "/submit/1", fmt.Sprint("a", i), strings.Repeat("x", 60<<10))
			assert.Check(t, status == http.StatusOK, "status %d", status)
		})
	}
	callers.Wait()
	assert.Assert(t, limit.Refused() > 0)
	waitForRelease(t, limit)
}

// Guards against a host that runs out of memory because many callers send heads that do
// not end, and against memory that stays reserved after they left.
func TestManyEndlessHeadsStayWithinMemory(t *testing.T) {
	const maxLongHeads = 4
	limit := memory.NewLimit(maxLongHeads * maxHeaderBytes)
	ts := startTestServerWithin(t, 1, limit)
	head := "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX: " + strings.Repeat("x", 8<<10)
	var callers []net.Conn
	for range 3 * maxLongHeads {
		callers = append(callers, ts.dialRaw(head))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if limit.Refused() == 2*maxLongHeads {
			return poll.Success()
		}
		return poll.Continue("%d connections were closed", limit.Refused())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	assert.Equal(t, status, http.StatusOK)
	for _, conn := range callers {
		assert.NilError(t, conn.Close())
	}
	waitForRelease(t, limit)
}
