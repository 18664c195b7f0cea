package soak

import (
	"fmt"
	"testing"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that takes the success of an endpoint of another service for one that
// a caller may get.
func TestSoakSeesEndpointsOfOtherServices(t *testing.T) {
	for id, service := range map[string]string{mainPrefix + "1": fake.MainService, otherPrefix + "1": fake.OtherService} {
		assert.Equal(t, serviceOf(id), service)
		assert.Equal(t, isWhole(id, "a-1"), service == fake.MainService, id)
		assert.Equal(t, isWhole(fake.Body(id, "a-1", 100), "a-1"), service == fake.MainService, id)
	}
	assert.Assert(t, isWhole(fmt.Sprint(mainPrefix, 1), "a-1"))
}
