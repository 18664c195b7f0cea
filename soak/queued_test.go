package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stopping host that resets connections which the kernel has accepted
// and the process has not, and ends those without a response whose requests it reads
// afterwards. The host gets SIGTERM twice between signals to read its settings again, and
// is paused while it closes its listener.
func TestStopAnswersQueuedConnections(t *testing.T) {
	const (
		rounds = 4
		queued = 40
		pause  = 100 * time.Millisecond
	)
	b := startTestbed(t, 1, 1)
	host := b.hosts[0]
	for round := range rounds {
		signalAll(t, host, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
		time.Sleep(stopGrace/2 - pause/2)
		signalAll(t, host, syscall.SIGSTOP)
		var conns []net.Conn
		for i := range queued {
			conns = append(conns, sendUnread(t, host, fmt.Sprint("queued-", round, "-", i)))
		}
		time.Sleep(pause)
		signalAll(t, host, syscall.SIGCONT)
		for i, conn := range conns {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if assert.Check(t, err, "round %d, connection %d", round, i) {
				isRefused := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
				assert.Check(t, isRefused || response.StatusCode == http.StatusOK, response.Status)
				assert.Check(t, response.Body.Close())
			}
			assert.Check(t, conn.Close())
		}
		<-host.exited
		assert.NilError(t, host.exitErr)
		assert.NilError(t, host.start())
		assert.Assert(t, b.waitUntilServing(t.Context()))
	}
}

func signalAll(t *testing.T, host *hostProcess, signals ...syscall.Signal) {
	t.Helper()
	for _, signal := range signals {
		assert.NilError(t, host.signal(signal))
	}
}

// sendUnread sends a request over a new connection and does not wait for its response.
func sendUnread(t *testing.T, host *hostProcess, attempt string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", host.settings.CallerAddress())
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(stopGrace)))
	_, err = fmt.Fprintf(conn, "POST /submit/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nContent-Length: 4\r\n\r\nbody", attempt)
	assert.NilError(t, err)
	return conn
}
