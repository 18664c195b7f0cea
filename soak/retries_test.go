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
		requests, repeats, slack int
		isBeyond                 bool
	}{
		{100, 80, 60, false}, {100, 81, 60, true}, {1000, 260, 60, false}, {1000, 261, 60, true}, {0, 60, 60, false}, {0, 61, 60, true},
		{30, 12, 6, false}, {30, 13, 6, true}, {0, 6, 6, false}, {0, 7, 6, true},
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
			retries, _ := retriesBeyondLimit(sent, repeats, test.slack)
			assert.Equal(t, retries > 0, test.isBeyond)
		})
	}
}
