package node

import (
	"fmt"
	"net/http"
	"testing"

	"filberthold/platform"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against requests to an endpoint that said that it is leaving while the store
// served no host, and against a table that makes it usable again once the store is
// back: an entry that is renewed, read as a whole, or removed and written again.
func TestLeavingEndpointStaysUnusedThroughStoreOutage(t *testing.T) {
	c := startCluster(t)
	c.start(31, 32)
	c.setStoreAway(true)
	for _, host := range c.hosts {
		c.waitFor("store is unreachable", func() bool {
			return !host.node.reader.isStoreReachable.Load() || !host.node.shouldReadStore(platform.EndpointTable)
		})
	}
	c.endpoint.SetLeaving(true)
	for _, host := range c.hosts {
		assert.Equal(t, c.status(host, "/v1/x"), http.StatusOK)
		assert.Equal(t, c.status(host, "/v1/x"), http.StatusServiceUnavailable)
	}
	c.setStoreAway(false)
	for _, change := range []struct {
		name  string
		apply func()
	}{
		{"renewed", func() { c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "ready", 2)) }},
		{"read as a whole", func() {
			c.store.Put(platform.EndpointTable, "i-9", "{")
			c.store.DropHistory()
		}},
		{"removed", func() { c.store.Remove(platform.EndpointTable, "i-1") }},
		{"written again", func() { c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "ready", 3)) }},
	} {
		before := c.hosts[0].node.replica.endpoints.Version()
		change.apply()
		for _, host := range c.hosts {
			c.waitFor(change.name, func() bool { return host.node.replica.endpoints.Version().Compare(before) > 0 })
			assert.Equal(t, c.status(host, "/v1/x"), http.StatusServiceUnavailable, change.name)
		}
	}
	assert.Equal(t, c.endpoint.RequestCount(), len(c.hosts))
	c.endpoint.Restart()
	c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "ready", 1))
	for _, host := range c.hosts {
		c.waitFor("endpoint is used", func() bool { return c.status(host, "/v1/x") == http.StatusOK })
	}
}

// Guards against requests of a host that is cut off from the store and from all other
// hosts to an endpoint which said that it is leaving, or asked to be spared, and against a
// table that makes it usable again once the host is in touch.
func TestCutHostHearsItsEndpoints(t *testing.T) {
	for name, tell := range map[string]func(endpoint *fake.Endpoint){
		"leaving": func(endpoint *fake.Endpoint) { endpoint.SetLeaving(true) },
		"spared": func(endpoint *fake.Endpoint) {
			endpoint.SetBehaviour(fake.Shed)
			endpoint.SetRetryAfter("60")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t)
			c.start(49)
			host := c.hosts[0]
			c.setStoreAway(true)
			c.waitFor("store is unreachable", func() bool { return !host.node.reader.isStoreReachable.Load() })
			tell(c.endpoint)
			c.status(host, "/v1/x")
			assert.Equal(t, c.endpoint.RequestCount(), 1)
			c.endpoint.SetBehaviour(fake.Serve)
			assert.Equal(t, c.status(host, "/v1/x"), http.StatusServiceUnavailable)
			c.setStoreAway(false)
			before := host.node.replica.endpoints.Version()
			c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "ready", 2))
			c.store.DropHistory()
			c.waitFor("table is read", func() bool { return host.node.replica.endpoints.Version().Compare(before) > 0 })
			assert.Equal(t, c.status(host, "/v1/x"), http.StatusServiceUnavailable)
			assert.Equal(t, c.endpoint.RequestCount(), 1)
			c.endpoint.Restart()
			c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "ready", 1))
			c.waitFor("endpoint is used", func() bool { return c.status(host, "/v1/x") == http.StatusOK })
		})
	}
}

// setStoreAway sets whether the store refuses all hosts.
func (c *cluster) setStoreAway(isAway bool) {
	for _, host := range c.hosts {
		c.store.SetRefused(host.node.settings.IP.String(), isAway)
	}
}

// Guards against an endpoint that had left and is in use again at a host that starts
// anew, while the store serves all or no host. In the second case the host gets the
// entries from another one.
func TestRestartedHostUsesNoEndpointThatLeft(t *testing.T) {
	c := startCluster(t)
	c.start(41, 42)
	c.removeEndpoint()
	for _, isAway := range []bool{false, true} {
		c.setStoreAway(isAway)
		c.checkRestarted(fmt.Sprint("store away: ", isAway))
	}
}

// Guards against the same after the store returned from a copy in which the endpoint had
// not left.
func TestRestartedHostUsesNoEndpointThatReturnedStoreRevives(t *testing.T) {
	c := startCluster(t)
	c.start(51, 52)
	older := c.store.Copy()
	c.removeEndpoint()
	c.store.Restore(older)
	c.checkRestarted("store returned from an older copy")
}

// removeEndpoint removes the entry of the endpoint and waits until all hosts know it.
func (c *cluster) removeEndpoint() {
	c.t.Helper()
	c.store.Remove(platform.EndpointTable, "i-1")
	for _, host := range c.hosts {
		c.waitFor("endpoint is gone", func() bool { return c.status(host, "/v1/x") == http.StatusServiceUnavailable })
	}
}

// checkRestarted starts the last host again and checks that it does not use the endpoint.
func (c *cluster) checkRestarted(condition string) {
	c.t.Helper()
	last := len(c.hosts) - 1
	c.restart(last)
	c.waitFor(condition, c.hosts[last].node.isReady)
	for range 5 {
		assert.Equal(c.t, c.status(c.hosts[last], "/v1/x"), http.StatusServiceUnavailable, condition)
	}
}

// restart stops a host and starts it again without waiting for it.
func (c *cluster) restart(index int) {
	c.t.Helper()
	before := c.hosts[index]
	before.stop()
	err := <-before.done
	before.done <- err
	assert.NilError(c.t, err)
	ip := before.node.settings.IP.As4()
	c.hosts[index] = c.run(int(ip[3]))
}
