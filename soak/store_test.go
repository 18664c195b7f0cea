package soak

import (
	"testing"
	"time"

	"filberthold/platform"

	"gotest.tools/v3/assert"
)

// Guards against a soak whose store does not tell its hosts apart, so that it refuses none
// of them.
func TestStoreSeesHostsByTheirAddresses(t *testing.T) {
	b := startTestbed(t, 2, 2)
	reader := b.store.LastReader(platform.EndpointTable)
	assert.Assert(t, reader == b.hosts[0].settings.IP || reader == b.hosts[1].settings.IP, reader)
	b.store.SetRefused(reader, true)
	time.Sleep(2 * time.Second)
	assert.Assert(t, b.store.LastReader(platform.EndpointTable) != reader, "the reader is not refused")
}
