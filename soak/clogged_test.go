package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a clogged link that takes a whole request, so that no write breaks off, or
// none of the request, so that its endpoint does not run it; and against one that stays so.
func TestCloggedLinkBreaksWritesOff(t *testing.T) {
	endpoint, err := fake.StartEndpoint("i-0", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, endpoint.Close()) })
	go endpoint.Run()
	proxy, err := startProxy("127.0.0.1", endpoint.Address())
	assert.NilError(t, err)
	t.Cleanup(proxy.close)
	go proxy.run()
	b := &testbed{endpoints: []*fake.Endpoint{endpoint}, endpointProxies: []*faultProxy{proxy}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.clogLink(0, rand.New(rand.NewPCG(1, 1)))
	}()
	time.Sleep(minClogged / 4)
	request := fmt.Sprintf("POST /submit/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\nContent-Length: %d\r\n\r\n", minWideBytes) + strings.Repeat("x", minWideBytes)
	conn, err := net.Dial("tcp", proxy.address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	written, err := conn.Write([]byte(request))
	assert.Assert(t, err != nil && written > cloggedBytes && written < len(request), "%d of %d: %v", written, len(request), err)
	assert.Equal(t, endpoint.Runs("a-1"), 1)
	<-done
	caller := &client{address: proxy.address()}
	defer caller.close()
	result := caller.send(callOf("a-2"))
	assert.NilError(t, result.err)
	assert.Equal(t, result.body, "i-0")
	assert.Equal(t, len(b.report.Violations), 0, "%q", b.report.Violations)
}
