package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldRequests is the number of requests whose bytes a link holds.
const heldRequests = 12

// maxResetTime bounds the wait for the links to be reset. Idle ones stay open.
const maxResetTime = time.Second

// openLinks returns the number of open links to endpoints.
func (b *testbed) openLinks() int {
	total := 0
	for _, proxy := range b.endpointProxies {
		proxy.mu.Lock()
		total += len(proxy.links)
		proxy.mu.Unlock()
	}
	return total
}

// sendHeld sends requests while all links to endpoints hold them, and returns the status of
// each attempt, or 0 without a response. whileHeld is called when the links have the bytes.
func (b *testbed) sendHeld(class string, whileHeld func()) map[string]int {
	for _, proxy := range b.endpointProxies {
		proxy.setMode(holdRequests)
	}
	var mu sync.Mutex
	statuses := make(map[string]int)
	var group sync.WaitGroup
	for number := range heldRequests {
		attempt := fmt.Sprintf("held-%s-%d", class, number)
		group.Go(func() {
			caller := &client{address: b.hosts[0].settings.CallerAddress()}
			defer caller.close()
			result := caller.send(call{
				method: http.MethodPost, path: fmt.Sprintf("/%s/%d", class, number), attempt: attempt,
				body: strings.Repeat("x", minBodyBytes+number*1000), timeout: callerTimeout, patience: maxPatience,
			})
			mu.Lock()
			defer mu.Unlock()
			statuses[attempt] = result.status
		})
	}
	time.Sleep(300 * time.Millisecond)
	whileHeld()
	group.Wait()
	// Bytes on the wire are not taken back: the resets must reach the links before these
	// deliver.
	for end := time.Now().Add(maxResetTime); b.openLinks() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	for _, proxy := range b.endpointProxies {
		proxy.setMode(pass)
	}
	time.Sleep(500 * time.Millisecond)
	return statuses
}

// Guards against a request that an endpoint gets and runs seconds after it was given up,
// when a link that held its bytes delivers them: at its deadline, or at the end of the
// host's process.
func TestGivenUpRequestsDoNotRunAfterHold(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(t *testing.T, b *testbed)
		status int
	}{
		"deadline": {func(*testing.T, *testbed) {}, http.StatusGatewayTimeout},
		"kill":     {func(t *testing.T, b *testbed) { assert.NilError(t, b.hosts[0].kill()) }, 0},
	} {
		for _, class := range []string{"read", "submit"} {
			t.Run(name+" "+class, func(t *testing.T) {
				b := startTestbed(t, 1, 6)
				runs := 0
				for attempt, status := range b.sendHeld(class, func() { test.end(t, b) }) {
					assert.Check(t, status == test.status, "%s: %d", attempt, status)
					runs += b.runs(attempt)
				}
				assert.Equal(t, runs, 0, "runs of requests that were given up")
			})
		}
	}
}
