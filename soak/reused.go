package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

// mainPrefix and otherPrefix begin the ids of the endpoints of MainService and of OtherService.
const (
	mainPrefix  = "i-"
	otherPrefix = "t-"
)

// maxStaleTime bounds how long the entry of an endpoint stays after its address has passed to
// another one.
const maxStaleTime = 1500 * time.Millisecond

// reuseAddress lets the address of an endpoint pass to one of OtherService, while the entry of
// the first one stays for a while, and back to one of MainService. A success of the other
// endpoint is not one that a caller may get.
func (b *testbed) reuseAddress(index int, random *rand.Rand, duration time.Duration) error {
	defer b.endpointProxies[index].recordFault(time.Now())
	for _, prefix := range []string{otherPrefix, mainPrefix} {
		oldID := b.endpoints[index].ID()
		if err := b.replaceEndpoint(index, fmt.Sprintf("%s%d-%d", prefix, index, random.IntN(1_000_000))); err != nil {
			return err
		}
		b.sleep(randomBetween(random, 0, maxStaleTime))
		b.store.Remove(platform.EndpointTable, oldID)
		b.sleep(duration)
	}
	return nil
}

// replaceEndpoint kills the process of an endpoint and starts another one at its address.
func (b *testbed) replaceEndpoint(index int, id string) error {
	if err := b.processes[index].kill(); err != nil {
		return err
	}
	b.endpoints[index].Rename(id)
	if err := b.processes[index].start(); err != nil {
		return err
	}
	b.writeEntry(index, "ready")
	return nil
}

// serviceOf returns the service of an endpoint.
func serviceOf(id string) string {
	if strings.HasPrefix(id, otherPrefix) {
		return fake.OtherService
	}
	return fake.MainService
}
