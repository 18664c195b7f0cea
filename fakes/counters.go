package fakes

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"filberthold/model"
)

// Counters counts what upstream endpoints really executed. All endpoints of a
// deployment share one ledger.
type Counters struct {
	mu           sync.Mutex
	executions   map[string]int
	startedCount int
	// first holds the first requests that started, for the message of a test
	// that counts them.
	first    []string
	rejected int
	// shedCount and cancelledCount count requests that were refused by choice
	// and executions that the caller's cancellation ended.
	shedCount      int
	cancelledCount int
}

// NewCounters returns an empty ledger.
func NewCounters() *Counters {
	return &Counters{executions: make(map[string]int)}
}

// maxFirst bounds the requests that a ledger describes.
const maxFirst = 16

func (c *Counters) started(endpoint model.EndpointName, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedCount++
	if len(c.first) < maxFirst {
		c.first = append(c.first, fmt.Sprintf("%s: %s %s from %s, %v", endpoint, r.Method, r.URL.Path, r.RemoteAddr, r.Header))
	}
	key := r.Header.Get("Idempotency-Key")
	if key != "" {
		c.executions[key]++
	}
}

func (c *Counters) overcommitted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected++
}

func (c *Counters) shed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shedCount++
}

func (c *Counters) cancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledCount++
}

// Shed returns how many requests were shed before they started.
func (c *Counters) Shed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shedCount
}

// Cancelled returns how many executions ended by cancellation.
func (c *Counters) Cancelled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelledCount
}

// Executions returns how often the request with an idempotency key ran.
func (c *Counters) Executions(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[key]
}

// Started returns how many requests were executed.
func (c *Counters) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startedCount
}

// FirstRequests returns what the first executed requests were.
func (c *Counters) FirstRequests() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.first)
}

// Rejected returns how many requests met an endpoint without a free slot.
func (c *Counters) Rejected() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// RepeatedKeys returns the idempotency keys that ran more than once.
func (c *Counters) RepeatedKeys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var keys []string
	for key, count := range c.executions {
		if count > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}
