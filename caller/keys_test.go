package caller_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/caller"
	"filberthold/entry"
	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against host-bound keys that run at another host or at another
// incarnation, against results that are lost after the outage, and against
// callers' own keys that run without a register. Logs how many submits are served
// with each kind of key.
func TestStoreOutage(t *testing.T) {
	c := startCluster(t, 2, 64, 0)
	c.stores[0].setFault(respondDown)
	const count = 100
	until := time.Now().Add(20 * time.Second)
	boundKeys := make([]string, count)
	var ownKeysServed, boundKeysServed, repeatsServed atomic.Int64
	var running sync.WaitGroup
	submitKey := func(key string, served *atomic.Int64) {
		if outcome, _ := c.submit(t.Context(), 0, key, until); outcome == model.Served {
			served.Add(1)
		}
	}
	for i := range boundKeys {
		boundKeys[i] = c.issue(t)
		running.Go(func() { submitKey(fmt.Sprint("own-", i), &ownKeysServed) })
		submitKey(boundKeys[i], &boundKeysServed)
		submitKey(boundKeys[i], &repeatsServed)
		outcome, body := c.submit(t.Context(), 1, boundKeys[i], until)
		assert.Equal(t, outcome, model.NotSent, "%s", body)
	}
	running.Wait()
	t.Logf("served of %d submits in a store outage: own keys %d, host-bound keys %d", count, ownKeysServed.Load(), boundKeysServed.Load())
	assert.DeepEqual(t, []int64{ownKeysServed.Load(), boundKeysServed.Load(), repeatsServed.Load()}, []int64{0, count, count})
	assert.Equal(t, c.counters.Started(), count)

	// A second incarnation of host 0 starts. From here the test calls it in
	// place of host 1. Both earlier hosts run on.
	listeners := entry.Listeners{Callers: listen(t), Operators: listen(t)}
	c.startHost(t, "host-0", c.storeAddresses[1], listeners)
	c.addresses[1] = listeners.Callers.Addr().String()
	outcome, body := c.submit(t.Context(), 1, boundKeys[0], until)
	assert.Equal(t, outcome, model.Unknown, "%s", body)
	c.stores[0].fault.Store(nil)
	for _, key := range boundKeys {
		for outcome = model.Unknown; outcome == model.Unknown && time.Now().Before(until); {
			outcome, body = c.submit(t.Context(), 1, key, until)
		}
		assert.Equal(t, outcome, model.Served, "%s", body)
	}
	assert.Equal(t, c.counters.Started(), count)
}

// issue returns a key that is bound to host 0.
func (c *cluster) issue(t *testing.T) string {
	response, err := http.Post("http://"+c.addresses[0]+"/v1/keys", "", nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	var issued caller.IssuedKey
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&issued))
	return issued.Key
}
