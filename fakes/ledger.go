package fakes

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"filberthold/model"
)

// Ledger counts what upstream endpoints really executed. All endpoints of a
// deployment share one ledger.
type Ledger struct {
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

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{executions: make(map[string]int)}
}

// maxFirst bounds the requests that a ledger describes.
const maxFirst = 16

func (l *Ledger) started(endpoint model.EndpointName, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedCount++
	if len(l.first) < maxFirst {
		l.first = append(l.first, fmt.Sprintf("%s: %s %s from %s, %v", endpoint, r.Method, r.URL.Path, r.RemoteAddr, r.Header))
	}
	key := r.Header.Get("Idempotency-Key")
	if key != "" {
		l.executions[key]++
	}
}

func (l *Ledger) overcommitted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected++
}

func (l *Ledger) shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shedCount++
}

func (l *Ledger) cancelled() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelledCount++
}

// Shed returns how many requests were shed before they started.
func (l *Ledger) Shed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shedCount
}

// Cancelled returns how many executions ended by cancellation.
func (l *Ledger) Cancelled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cancelledCount
}

// Executions returns how often the request with an idempotency key ran.
func (l *Ledger) Executions(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[key]
}

// Started returns how many requests were executed.
func (l *Ledger) Started() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startedCount
}

// First returns what the first executed requests were.
func (l *Ledger) First() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.first)
}

// Rejected returns how many requests met an endpoint without a free slot.
func (l *Ledger) Rejected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected
}

// Doubled returns the idempotency keys that ran more than once.
func (l *Ledger) Doubled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []string
	for key, count := range l.executions {
		if count > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}
