package proxy

import "testing"

// Guards against hosts that outnumber the slack and exceed the retry limit after endpoints held
// retries for less than creditTime: each of them has a held retry, one that it earned meanwhile
// and one of the window.
func TestRetriesHeldShortlyAtMoreHostsThanSlack(t *testing.T) {
	for _, hosts := range []int{120, 195, 680} {
		for _, holdTime := range []int{4, 6, 8, 9, 10, 11} {
			playHeldFor(t, hosts, 12, holdTime)
		}
	}
}
