package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"filberthold/caller"
	"filberthold/common"
	"filberthold/config"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// heldListener accepts connections once it is released, as in a process that gets no
// processor time.
type heldListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Guards against a planned stop that resets connections which the kernel has accepted and
// the process has not, and ends those without a response whose requests it reads later.
func TestShutdownAnswersQueuedConnections(t *testing.T) {
	const queued = 50
	h := newHarness(t, model.Read, fakes.NewUpstream(model.NewEndpoint(model.EndpointSpec{Slots: queued}), model.Read, fakes.NewCounters(), time.Millisecond))
	base, err := common.NewBase(config.Settings{Host: "h1", Log: config.LogSettings{Level: "error"}}, t.Output())
	assert.NilError(t, err)
	options := upstrm.DefaultOptions("a")
	options.Dial = h.network.Dial
	server := caller.NewServer(base, h, h, upstrm.NewClientWithOptions(options))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &heldListener{TCPListener: inner.(*net.TCPListener), released: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- server.Run(listener) }()
	var conns []net.Conn
	for range queued {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = fmt.Fprint(conn, "GET /s/view/x HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	server.Leave()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(listener.released)
	for i, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if assert.Check(t, err, "connection %d", i) {
			assert.Check(t, response.Body.Close())
			assert.Check(t, response.StatusCode == http.StatusOK, "connection %d: %s", i, response.Status)
		}
		assert.Check(t, conn.Close())
	}
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-served)
}
