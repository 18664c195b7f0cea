package fakes

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"filberthold/model"
)

// Counters counts the requests that upstream endpoints executed and rejected.
// All endpoints of a deployment share one Counters.
type Counters struct {
	mu           sync.Mutex
	executions   map[string]int
	startedCount int
	// firstRequests describes the first requests that started, for the messages
	// of tests that count them.
	firstRequests []string
	rejected      int
	// shedCount counts the requests that were shed. cancelledCount counts the
	// executions that ended because the caller cancelled the request.
	shedCount      int
	cancelledCount int
}

// NewCounters returns counters that are all zero.
func NewCounters() *Counters {
	return &Counters{executions: make(map[string]int)}
}

// maxFirstRequests bounds the requests that FirstRequests describes.
const maxFirstRequests = 16

func (c *Counters) countStarted(endpoint model.EndpointName, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedCount++
	if len(c.firstRequests) < maxFirstRequests {
		c.firstRequests = append(c.firstRequests, fmt.Sprintf("%s: %s %s from %s, %v", endpoint, r.Method, r.URL.Path, r.RemoteAddr, r.Header))
	}
	key := r.Header.Get("Idempotency-Key")
	if key != "" {
		c.executions[key]++
	}
}

func (c *Counters) countRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected++
}

func (c *Counters) countShed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shedCount++
}

func (c *Counters) countCancelled() {
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

// FirstRequests describes the first requests that were executed.
func (c *Counters) FirstRequests() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.firstRequests)
}

// Rejected returns how many requests were rejected because no slot was free.
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
