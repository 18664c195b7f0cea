package conns_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/conns"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// silence is how long a request waits for an endpoint that does not answer. It is longer
// than an acknowledgement takes.
const silence = 500 * time.Millisecond

// trace sends a request and returns what it recorded.
func trace(pool *conns.Pool, target netip.AddrPort, request conns.Request) (*conns.Trace, error) {
	request.Trace = new(conns.Trace)
	_, err := pool.Exchange(context.Background(), target, request)
	return request.Trace, err
}

// Guards against a trace that takes a used connection for a new one or the reverse, so
// that a response left over from an earlier request cannot be told from a request's own.
func TestTraceTellsUsedConnectionFromNewOne(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	first, err := trace(pool, address(endpoint), newRequest("a"))
	assert.NilError(t, err)
	assert.Assert(t, first.HasConnection() && !first.IsUsed() && first.Idle() == 0)
	assert.Assert(t, first.HasHead() && first.IsFirstResponse())
	assert.Assert(t, first.ConnectTime() > 0 && first.WriteTime() > 0)
	const pause = 20 * time.Millisecond
	<-time.After(pause)
	second, err := trace(pool, address(endpoint), newRequest("b"))
	assert.NilError(t, err)
	assert.Assert(t, second.IsUsed() && second.Idle() >= pause)
	assert.Assert(t, second.HasHead() && !second.IsFirstResponse())
	assert.Equal(t, second.Local(), first.Local())
	request := newRequest("c")
	request.MaxIdle = conns.NoReuse
	third, err := trace(pool, address(endpoint), request)
	assert.NilError(t, err)
	assert.Assert(t, !third.IsUsed() && third.Local() != first.Local())
}

// Guards against a trace whose address is not the one that the endpoint sees.
func TestTraceHasAddressThatEndpointSees(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	remote := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		remote <- conn.RemoteAddr().String()
		_ = conn.Close()
	}()
	recorded, err := trace(conns.NewPool(nil), netip.MustParseAddrPort(listener.Addr().String()), newRequest("a"))
	assert.Assert(t, err != nil)
	assert.Equal(t, recorded.Local().String(), <-remote)
	assert.Assert(t, !recorded.HasHead())
}

// Guards against a refusal that rests on a request which was sent in part: the trace of
// an exchange that sent nothing shows no byte, with and without a connection.
func TestTraceOfRequestThatWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	recorded, err := trace(conns.NewPool(nil), target, newRequest("a"))
	var notSent *conns.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "got %v", err)
	assert.Assert(t, !recorded.HasConnection() && !recorded.HasHead())
	assert.Equal(t, recorded.Written(), int64(0))
}

// Guards against a trace that counts the bytes of a request as written which the
// operating system did not take, in memory and streamed, and against bytes that lie in the
// send queue and are taken as delivered. The endpoint accepts and reads nothing.
func TestTraceOfPartialWrite(t *testing.T) {
	// A write of a streamed body, of at most writeBytes, may still be under way.
	const bodyBytes, writeBytes = 16 << 20, 33 << 10
	body := strings.Repeat("x", bodyBytes)
	for name, setBody := range map[string]func(request *conns.Request){
		"in memory": func(request *conns.Request) { request.Body = []byte(body) },
		"streamed": func(request *conns.Request) {
			request.Stream, request.Length = io.LimitReader(strings.NewReader(body), bodyBytes), bodyBytes
		},
		"in chunks": func(request *conns.Request) {
			request.Stream, request.Length = io.LimitReader(strings.NewReader(body), bodyBytes), -1
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, listener.Close()) })
			request := newRequest("a")
			request.Method = http.MethodPost
			setBody(&request)
			request.Deadline = time.Now().Add(silence)
			recorded, err := trace(conns.NewPool(nil), netip.MustParseAddrPort(listener.Addr().String()), request)
			var incomplete *conns.IncompleteError
			assert.Assert(t, errors.As(err, &incomplete), "got %v", err)
			assert.Assert(t, recorded.Written() > 0 && recorded.Written() < bodyBytes, "%d bytes", recorded.Written())
			if request.Length == -1 {
				assert.Equal(t, recorded.Size(), int64(-1))
			} else {
				assert.Assert(t, recorded.Size() > bodyBytes && recorded.Size() < bodyBytes+1000, "%d bytes", recorded.Size())
			}
			assert.Assert(t, recorded.Unacknowledged() == -1 || recorded.Unacknowledged() <= recorded.Written()+writeBytes)
			assert.Assert(t, !recorded.HasHead())
		})
	}
}

// Guards against bytes that an endpoint has acknowledged and that count as held back, or
// the reverse.
func TestTraceTellsHeldBytesFromAcknowledgedOnes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	target := netip.MustParseAddrPort(listener.Addr().String())
	for _, bodyBytes := range []int{10, 16 << 20} {
		request := newRequest("a")
		request.Method, request.Body = http.MethodPost, make([]byte, bodyBytes)
		request.Deadline = time.Now().Add(silence)
		recorded, err := trace(conns.NewPool(nil), target, request)
		assert.Assert(t, err != nil)
		isHeld := recorded.Unacknowledged() > 0
		assert.Equal(t, isHeld, bodyBytes > 1<<20, "%d of %d bytes are not acknowledged", recorded.Unacknowledged(), recorded.Written())
	}
}

// Guards against a whole request that is not counted as written.
func TestTraceOfWholeRequest(t *testing.T) {
	var received atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	go countBytes(listener, &received)
	request := newRequest("a")
	request.Method, request.Body = http.MethodPost, []byte("content")
	request.Deadline = time.Now().Add(silence)
	recorded, err := trace(conns.NewPool(nil), netip.MustParseAddrPort(listener.Addr().String()), request)
	assert.Assert(t, err != nil)
	assert.Equal(t, recorded.Written(), received.Load())
	assert.Equal(t, recorded.Written(), recorded.Size())
}

// countBytes counts what is received on a connection, and does not answer.
func countBytes(listener net.Listener, received *atomic.Int64) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	buffer := make([]byte, 4096)
	for {
		count, err := conn.Read(buffer)
		received.Add(int64(count))
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
	}
}

// Guards against responses to other requests that are skipped and not counted.
func TestTraceCountsForeignResponses(t *testing.T) {
	endpoint, pool := startEndpoint(t), conns.NewPool(nil)
	endpoint.SetBehaviour(fake.WrongResponseFirst)
	recorded, err := trace(pool, address(endpoint), newRequest("a"))
	assert.NilError(t, err)
	assert.Equal(t, recorded.ForeignResponses(), 1)
	assert.Assert(t, recorded.HasHead() && !recorded.IsFirstResponse() && !recorded.IsUsed())
	endpoint.SetBehaviour(fake.Truncate)
	recorded, err = trace(pool, address(endpoint), newRequest("b"))
	assert.Assert(t, err != nil)
	assert.Assert(t, recorded.HasHead(), "the head was read, the body broke off")
	assert.Equal(t, recorded.ForeignResponses(), 0)
}
