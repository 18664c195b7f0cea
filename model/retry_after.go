package model

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfterSeconds bounds a parsed Retry-After. A longer one is of no use.
const maxRetryAfterSeconds = 1e9

// MaxRetryAfter is the longest time that ParseRetryAfter returns.
const MaxRetryAfter = maxRetryAfterSeconds * time.Second

// ParseRetryAfter parses the Retry-After of an endpoint, a number of seconds that is
// written with digits and at most one point. It returns 0 for other text, such as a date:
// the clocks of endpoints differ.
func ParseRetryAfter(text string) time.Duration {
	text = strings.TrimSpace(text)
	if strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second))
}
