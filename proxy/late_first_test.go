package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// stoppedEndpoint accepts connections of a link and reads nothing until it continues.
type stoppedEndpoint struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func (s *stoppedEndpoint) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
	}
}

// arrivals lets the endpoint continue and returns the whole requests that it reads.
func (s *stoppedEndpoint) arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, conn := range s.conns {
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		content, _ := io.ReadAll(conn)
		if bytes.Contains(content, []byte("\r\n\r\n")) {
			count++
		}
	}
	return count
}

// runLink carries the connections to address and resets both ends of each after 50 ms.
func runLink(listener net.Listener, address string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			target, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(target, conn) }()
			time.Sleep(50 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = target.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			_ = target.Close()
		}()
	}
}

// Guards against extra arrivals that no host counts: a stopped endpoint holds the first
// attempt of a request whose connection was reset, and whose retry has been answered.
func TestFirstAttemptArrivesLongAfterItsRetry(t *testing.T) {
	endpointListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer endpointListener.Close()
	stopped := &stoppedEndpoint{listener: endpointListener}
	go stopped.run()
	link, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer link.Close()
	go runLink(link, endpointListener.Addr().String())
	// The name decides which of the endpoints the object prefers.
	for number := range 20 {
		ts := startTestServer(t, 1)
		ts.applyReady(model.EndpointName(fmt.Sprint("stopped-", number)), link.Addr().String())
		status, _, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
		assert.Equal(t, status, http.StatusOK)
		ts.core.mu.Lock()
		retried, outstanding := ts.core.retryUse("s").chosen, ts.core.outstandingRetries("s")
		ts.core.mu.Unlock()
		if retried > 0 {
			late := stopped.arrivals()
			assert.Assert(t, outstanding >= late, "%d request arrives after its retry was answered, %d are counted", late, outstanding)
			return
		}
	}
	t.Fatal("no request went to the stopped endpoint")
}
