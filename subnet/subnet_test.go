package subnet

import (
	"errors"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two runs on one machine that use the same hosts: requests of one run
// then arrive at the endpoints of the other, and count as retries there.
func TestSubnetIsReservedOnce(t *testing.T) {
	first, err := ReserveAny()
	assert.NilError(t, err)
	_, err = Reserve(first.prefix)
	assert.Assert(t, errors.Is(err, syscall.EADDRINUSE), "got %v", err)
	assert.ErrorContains(t, err, first.prefix)
	assert.NilError(t, first.Release())
	again, err := Reserve(first.prefix)
	assert.NilError(t, err)
	assert.NilError(t, again.Release())
}

// Guards against a run whose hosts would listen on addresses that others can reach.
func TestOnlyLoopbackSubnetsAreReserved(t *testing.T) {
	for _, prefix := range []string{"", "10.0.0", "127.0", "127.0.0.1", "127.0.300", "::1"} {
		_, err := Reserve(prefix)
		assert.ErrorContains(t, err, "loopback", prefix)
	}
}
