package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see repeats beyond the retry limit, or sees them
// where they are allowed.
func TestSoakSeesRetriesBeyondLimit(t *testing.T) {
	for _, test := range []struct {
		requests, repeats int
		isBeyond          bool
	}{
		{100, 80, false}, {100, 81, true}, {1000, 260, false}, {1000, 261, true}, {0, 60, false}, {0, 61, true},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			end := time.Now()
			var sent, repeats []time.Time
			for i := range test.requests {
				sent = append(sent, end.Add(-retryWindow+time.Duration(i+1)*retryWindow/time.Duration(test.requests)))
			}
			for i := range test.repeats {
				repeats = append(repeats, end.Add(time.Duration(i-test.repeats+1)*time.Millisecond))
			}
			retries, _ := retriesBeyondLimit(sent, repeats)
			assert.Equal(t, retries > 0, test.isBeyond)
		})
	}
}
