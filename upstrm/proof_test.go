package upstrm_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// tcpUpstream is an upstream on TCP sockets with small buffers.
type tcpUpstream struct {
	net.Listener
	serve       func(conn *net.TCPConn)
	connections sync.WaitGroup
}

func startTCPUpstream(t *testing.T, serve func(conn *net.TCPConn)) *tcpUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	upstream := &tcpUpstream{Listener: listener, serve: serve}
	upstream.connections.Go(upstream.run)
	return upstream
}

func (u *tcpUpstream) run() {
	for {
		conn, err := u.Accept()
		if err != nil {
			return
		}
		accepted := conn.(*net.TCPConn)
		_ = accepted.SetReadBuffer(64 << 10)
		u.connections.Go(func() {
			u.serve(accepted)
			_ = accepted.Close()
		})
	}
}

// stop waits for the end of all connections.
func (u *tcpUpstream) stop() {
	_ = u.Close()
	u.connections.Wait()
}

// readRequest reports whether a whole request arrives on a connection, now or later.
func readRequest(conn net.Conn) bool {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// Guards against a request that is reported as not started although it runs, or runs
// later from bytes that the sockets held when the attempt ended. Each case ends an attempt
// of a submit in another step.
func TestNotStartedRequestNeverArrives(t *testing.T) {
	const long = 4 << 20
	type step struct {
		bodyBytes int
		// deadline is the time until the upstream must have started the request.
		deadline time.Duration
		// afterDial is called between the dial and the first write.
		afterDial func(cancel context.CancelFunc)
		// serve returns true if the upstream runs the request.
		serve      func(conn *net.TCPConn, cancel context.CancelFunc) bool
		notStarted bool
		runs       bool
	}
	neverReached := func(conn *net.TCPConn, _ context.CancelFunc) bool { return readRequest(conn) }
	for name, step := range map[string]step{
		"cancelled between dial and write": {0, time.Minute, func(cancel context.CancelFunc) { cancel() }, neverReached, true, false},
		"paused between dial and write until after the deadline": {0, 50 * time.Millisecond, func(context.CancelFunc) {
			time.Sleep(60 * time.Millisecond)
		}, neverReached, true, false},
		"cancelled while the sockets hold the request": {0, time.Minute, nil, func(conn *net.TCPConn, cancel context.CancelFunc) bool {
			time.Sleep(20 * time.Millisecond)
			cancel()
			time.Sleep(20 * time.Millisecond)
			return readRequest(conn)
		}, false, true},
		"cancelled while a long body is written": {long, time.Minute, nil, func(conn *net.TCPConn, cancel context.CancelFunc) bool {
			time.Sleep(20 * time.Millisecond)
			cancel()
			time.Sleep(20 * time.Millisecond)
			return readRequest(conn)
		}, false, false},
		"closed by the upstream before it reads": {0, time.Minute, nil, func(*net.TCPConn, context.CancelFunc) bool {
			time.Sleep(20 * time.Millisecond)
			return false
		}, false, false},
		"reset by the upstream within a long body": {long, time.Minute, nil, func(conn *net.TCPConn, _ context.CancelFunc) bool {
			_, _ = io.CopyN(io.Discard, conn, 1000)
			_ = conn.SetLinger(0)
			return false
		}, false, false},
		"answer is lost by a reset": {0, time.Minute, nil, func(conn *net.TCPConn, _ context.CancelFunc) bool {
			runs := readRequest(conn)
			_ = conn.SetLinger(0)
			return runs
		}, false, true},
		"refused": {0, time.Minute, nil, func(conn *net.TCPConn, _ context.CancelFunc) bool {
			_ = readRequest(conn)
			_, _ = io.WriteString(conn, refusal)
			return false
		}, true, false},
		"refused before a long body is read": {long, time.Minute, nil, func(conn *net.TCPConn, _ context.CancelFunc) bool {
			_, _ = io.CopyN(io.Discard, conn, 1000)
			_, _ = io.WriteString(conn, refusal)
			_, _ = io.Copy(io.Discard, conn)
			return false
		}, true, false},
		"refused without the statement": {0, time.Minute, nil, func(conn *net.TCPConn, _ context.CancelFunc) bool {
			runs := readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			return runs
		}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			ran := false
			upstream := startTCPUpstream(t, func(conn *net.TCPConn) { ran = step.serve(conn, cancel) })
			options := upstrm.DefaultOptions("a")
			options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				if step.afterDial != nil {
					step.afterDial(cancel)
				}
				return conn, nil
			}
			client := upstrm.NewClientWithOptions(options)
			defer client.Close()
			response, err := client.Do(ctx, upstrm.Request{
				Class: model.Submit, Address: upstream.Addr().String(), Method: http.MethodPost, Path: "/x",
				Header: http.Header{"Idempotency-Key": {"k"}}, Body: bytes.Repeat([]byte("x"), step.bodyBytes),
				Deadline: time.Now().Add(step.deadline),
			})
			if err == nil {
				_ = response.Body.Close()
			}
			upstream.stop()
			var notStarted *upstrm.NotStartedError
			assert.Equal(t, errors.As(err, &notStarted), step.notStarted, "%v", err)
			assert.Equal(t, ran, step.runs)
		})
	}
}

// Guards against the same, with attempts that are cancelled at any time: during the dial,
// the first write, a later write and the wait for the response.
func TestNotStartedRequestNeverArrivesIfCancelledAtAnyTime(t *testing.T) {
	seed := rand.Uint64()
	random := rand.New(rand.NewPCG(seed, 0))
	for _, class := range model.Classes() {
		t.Run(class.String(), func(t *testing.T) {
			var arrived sync.Map
			upstream := startTCPUpstream(t, func(conn *net.TCPConn) {
				// The sockets hold the request until it has been given up.
				time.Sleep(2 * time.Millisecond)
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					arrived.Store(request.URL.Path, true)
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
				}
			})
			client := upstrm.NewClient("a")
			unsent := make(map[string]bool)
			for number := range 300 {
				path := fmt.Sprintf("/%d", number)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(600))*time.Microsecond)
				response, err := client.Do(ctx, upstrm.Request{
					Class: class, Address: upstream.Addr().String(), Method: http.MethodPost, Path: path,
					Body: make([]byte, random.IntN(2)*random.IntN(64<<10)), Deadline: time.Now().Add(time.Minute),
				})
				if err == nil {
					_ = response.Body.Close()
				}
				cancel()
				var notStarted *upstrm.NotStartedError
				unsent[path] = errors.As(err, &notStarted)
			}
			client.Close()
			upstream.stop()
			unsentCount, arrivedCount := 0, 0
			for path, isUnsent := range unsent {
				_, hasArrived := arrived.Load(path)
				assert.Check(t, !isUnsent || !hasArrived, "%s arrived and is reported as not started (seed %d)", path, seed)
				if isUnsent {
					unsentCount++
				}
				if hasArrived {
					arrivedCount++
				}
			}
			t.Logf("%d not started, %d arrived (seed %d)", unsentCount, arrivedCount, seed)
			assert.Check(t, unsentCount > 0 && arrivedCount > 0)
		})
	}
}
