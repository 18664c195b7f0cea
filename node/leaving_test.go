package node

import (
	"net/http"
	"testing"

	"filberthold/platform"

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

// setStoreAway sets whether the store refuses all hosts.
func (c *cluster) setStoreAway(isAway bool) {
	for _, host := range c.hosts {
		c.store.SetRefused(host.node.settings.IP.String(), isAway)
	}
}
