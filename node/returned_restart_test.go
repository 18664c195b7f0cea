package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// restoreAt lets the store return from a copy. The hosts other than the last one hear of
// it before the last one starts again, or only later.
func (c *cluster) restoreAt(older fake.Copy, isHeard bool) {
	c.t.Helper()
	for _, host := range c.hosts[:len(c.hosts)-1] {
		c.store.SetRefused(host.node.settings.IP.String(), !isHeard)
	}
	c.store.Restore(older)
	if !isHeard {
		return
	}
	era := c.hosts[0].node.replica.operator.Version().Era + 1
	for _, host := range c.hosts {
		c.waitFor("store's return is heard", func() bool {
			return host.node.replica.operator.Version().Era == era && host.node.replica.endpoints.Version().Era == era
		})
	}
}

// forEachReturn runs a test with two hosts, of which the first hears of the return of the
// store before or after the second one starts again.
func forEachReturn(t *testing.T, firstNumber int, test func(c *cluster, isHeard bool)) {
	for i, isHeard := range []bool{true, false} {
		t.Run(fmt.Sprint("heard ", isHeard), func(t *testing.T) {
			c := startCluster(t)
			c.stopGrace = time.Second
			c.start(firstNumber+2*i, firstNumber+2*i+1)
			test(c, isHeard)
		})
	}
}

// Guards against an endpoint that had left and is in use again at a host that starts anew
// after the store returned from a copy in which the endpoint had not left, also if the
// other hosts have not heard of the return yet.
func TestRestartedHostKeepsRemovalThatReturnedStoreLost(t *testing.T) {
	forEachReturn(t, 101, func(c *cluster, isHeard bool) {
		older := c.store.Copy()
		c.removeEndpoint()
		c.restoreAt(older, isHeard)
		c.checkRestarted("store returned from an older copy")
		// The host knows the return itself, and the removal after it.
		last := c.hosts[len(c.hosts)-1]
		c.waitFor("store's return is heard", func() bool { return last.node.replica.endpoints.Version().Era == 2 })
		assert.Equal(c.t, c.status(last, "/v1/x"), http.StatusServiceUnavailable)
		c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "ready", 2))
		c.waitFor("endpoint that is renewed is used", func() bool { return c.status(last, "/v1/x") == http.StatusOK })
	})
}

// Guards against a draining endpoint that is in use at a host that starts anew after the
// store returned from a copy in which the endpoint was ready.
func TestRestartedHostUsesNoDrainingEndpointThatReturnedStoreRevives(t *testing.T) {
	forEachReturn(t, 105, func(c *cluster, isHeard bool) {
		older := c.store.Copy()
		c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "draining", 2))
		for _, host := range c.hosts {
			c.waitFor("endpoint is draining", func() bool { return c.status(host, "/v1/x") == http.StatusServiceUnavailable })
		}
		c.restoreAt(older, isHeard)
		c.checkRestarted("store returned from an older copy")
	})
}

// Guards against an evacuated availability zone that is in use at a host that starts anew
// after the store returned from a copy without the evacuation, while the other hosts keep
// it for the operator to write it again.
func TestRestartedHostKeepsEvacuationThatReturnedStoreLost(t *testing.T) {
	forEachReturn(t, 109, func(c *cluster, isHeard bool) {
		older := c.store.Copy()
		c.store.Put(platform.OperatorTable, "evacuate/za", "{}")
		for _, host := range c.hosts {
			c.waitFor("zone is not used", func() bool { return c.status(host, "/v1/x") == http.StatusServiceUnavailable })
		}
		c.restoreAt(older, isHeard)
		c.checkRestarted("store returned from an older copy")
	})
}

// Guards against an older configuration in force at a host that starts anew after the
// store returned from a copy, while the other hosts have the newer one.
func TestRestartedHostKeepsConfigurationThatReturnedStoreLost(t *testing.T) {
	forEachReturn(t, 113, func(c *cluster, isHeard bool) {
		older := c.store.Copy()
		c.store.Put(platform.OperatorTable, platform.ConfigKey, fake.VersionedConfig(5))
		for _, host := range c.hosts {
			c.waitFor("configuration is in force", func() bool { return c.status(host, "/v5/x") == http.StatusOK })
		}
		c.restoreAt(older, isHeard)
		last := len(c.hosts) - 1
		c.restart(last)
		c.waitFor("host is ready", c.hosts[last].node.isReady)
		assert.Equal(c.t, c.hosts[last].node.core.Config().Version(), uint64(5))
	})
}

// Guards against a removal that is forgotten in a rollout, in which each host starts anew
// and only has what the previous one told it.
func TestRemovalIsHandedOnThroughRollout(t *testing.T) {
	c := startCluster(t)
	c.start(117, 118)
	older := c.store.Copy()
	c.removeEndpoint()
	c.store.Restore(older)
	for i := range c.hosts {
		c.restart(i)
		c.waitFor("host is ready", c.hosts[i].node.isReady)
		assert.Equal(t, c.status(c.hosts[i], "/v1/x"), http.StatusServiceUnavailable)
	}
}
