package proxy

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"filberthold/model"
	"filberthold/roster"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against requests that are not retried for two minutes because the body of one
// response took longer than its deadline. The head shows that the endpoint runs.
func TestEndpointWithSlowBodyIsRetried(t *testing.T) {
	ts := startTestServer(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	slow := &slowBodyEndpoint{listener: listener, started: make(chan struct{}), finish: make(chan struct{})}
	t.Cleanup(func() { close(slow.finish) })
	go slow.run()
	ts.core.ApplyEntry(roster.Entry{
		Endpoint: "i-0", Service: "s", Address: netip.MustParseAddrPort(listener.Addr().String()),
		Zone: "za", Slots: 3, State: roster.Ready, Sequence: 1, Incarnation: 1,
	})
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	assert.Equal(t, status, http.StatusGatewayTimeout)
	decision := ts.core.choose(steer.Query{
		Service: "s", Object: "7", AttemptID: "a2", Route: ts.route("/read/", model.Read), Tried: []model.EndpointName{"another"},
	})
	_, isSend := decision.(steer.Send)
	assert.Assert(t, isSend, "%+v", decision)
}
