package soak

import (
	"fmt"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see requests to an endpoint that asked to be spared,
// or sees them where they are allowed.
func TestSoakSeesRequestsInSpareTime(t *testing.T) {
	for _, test := range []struct {
		retryAfter string
		after      time.Duration
		isSpared   bool
	}{
		{"2", noticeTime, false}, {"2", noticeTime + 1, true}, {"2", 2*time.Second - 1, true}, {"2", 2 * time.Second, false},
		{"0.4", 300 * time.Millisecond, false}, {"0.75", 600 * time.Millisecond, true}, {"", time.Second, false},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			told := sentRequest{exchange: fake.Exchange{AnsweredAt: time.Now(), RetryAfter: test.retryAfter}}
			assert.Equal(t, told.isSpareTime(told.exchange.AnsweredAt.Add(test.after)), test.isSpared)
		})
	}
}
