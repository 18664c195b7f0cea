package soak

import (
	"fmt"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see a request at more endpoints than its route allows,
// or sees it where it is allowed.
func TestSoakSeesTooManyAttempts(t *testing.T) {
	for _, test := range []struct {
		// arrivals is the number of arrivals at each endpoint.
		arrivals []int
		isBeyond bool
	}{
		{[]int{1, 1, 0}, false}, {[]int{2, 0, 0}, false}, {[]int{1, 1, 1}, true}, {[]int{2, 1, 0}, true}, {[]int{3, 0, 0}, true},
	} {
		t.Run(fmt.Sprint(test.arrivals), func(t *testing.T) {
			b := new(testbed)
			for i, count := range test.arrivals {
				endpoint := fake.NewRecord(fmt.Sprint("i-", i))
				for number := range count {
					for _, attempt := range []string{"a", ""} {
						endpoint.Record(fake.Event{Number: number, Exchange: fake.Exchange{Attempt: attempt, ArrivedAt: time.Now()}})
					}
				}
				b.endpoints, b.endpointProxies = append(b.endpoints, endpoint), append(b.endpointProxies, new(faultProxy))
			}
			newCallers(b).checkAttempts()
			assert.Equal(t, len(b.report.Violations) > 0, test.isBeyond, "%q", b.report.Violations)
		})
	}
}
