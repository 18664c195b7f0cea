package node

import (
	"fmt"
	"net/http"
	"testing"

	"filberthold/platform"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against hosts that together exceed the retry limit because their settings still
// say at each later start that it is the first one, which gave each of them a retry for
// each service.
func TestHostStartedAgainWithItsFirstSettingsEarnsItsRetries(t *testing.T) {
	const firstHost = 81
	c := startCluster(t)
	c.isFirstStart = true
	other, err := fake.StartEndpoint("i-2", hostIP(t, endpointNumber)+":0")
	assert.NilError(t, err)
	go other.Run()
	t.Cleanup(func() { _ = other.Close() })
	c.store.Put(platform.EndpointTable, "i-2", other.Entry("s", "za", "ready", 1))
	for _, endpoint := range []*fake.Endpoint{c.endpoint, other} {
		endpoint.SetBehaviour(fake.Shed)
	}
	for start := range 3 {
		t.Run(fmt.Sprint("start ", start), func(t *testing.T) {
			before := c.endpoint.RequestCount() + other.RequestCount()
			host := c.run(firstHost)
			c.waitFor("host is ready", host.node.isReady)
			assert.Equal(t, c.status(host, "/v1/x"), http.StatusServiceUnavailable)
			assert.Equal(t, c.endpoint.RequestCount()+other.RequestCount()-before, 1)
			host.stop()
			assert.NilError(t, <-host.done)
			host.done <- nil
		})
	}
}
