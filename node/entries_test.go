package node

import (
	"net/http"
	"strings"
	"testing"

	"filberthold/platform"
)

// Guards against odd entries of another program that stop a host from following the
// table of endpoints: under a name of their own, or under that of an endpoint, which
// must stay in use and be heard again.
func TestOddEntriesCostNoOtherEntry(t *testing.T) {
	c := startCluster(t)
	c.start(61, 62)
	valid := c.endpoint.Entry("s", "za", "ready", 2)
	odd := map[string]string{
		"nested":  strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"number":  strings.Replace(valid, `"slots":`, `"slots":1e400,"before":`, 1),
		"address": strings.Replace(valid, `"address":"`, `"address":"0.0.0.0:0","before":"`, 1),
		"born":    strings.Replace(valid, `"born":`, `"born":9007199254740991,"before":`, 1),
		"bytes":   "\xff\xfe",
	}
	for name, value := range odd {
		c.store.Put(platform.EndpointTable, name, value)
		c.store.Put(platform.EndpointTable, "i-1", value)
		c.store.Put(platform.HostTable, name, value)
	}
	c.store.DropHistory()
	c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "ready", 3))
	last := c.endpoint.Entry("s", "za", "draining", 4)
	for _, host := range c.hosts {
		c.waitFor("endpoint is used", func() bool { return c.status(host, "/v1/x") == http.StatusOK })
	}
	c.store.Put(platform.EndpointTable, "i-1", last)
	for _, host := range c.hosts {
		c.waitFor("endpoint drains", func() bool { return c.status(host, "/v1/x") == http.StatusServiceUnavailable })
	}
	// The table is applied row by row, so the last odd ones may come after the endpoint's.
	c.waitFor("odd entries are counted", func() bool {
		return c.hosts[0].node.replica.rejectedCount.Load()+c.hosts[1].node.replica.rejectedCount.Load() >= uint64(len(odd))
	})
}
