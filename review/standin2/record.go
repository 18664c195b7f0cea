package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"
)

// request is a request of a client with its answer.
type request struct {
	attempt, host, path string
	sentAt, answeredAt  time.Time
	// outcome is the status of the answer, or an error. limit is the limit that it names.
	outcome, limit string
}

// record is what was sent, answered and run, and what else happened.
type record struct {
	startedAt time.Time

	mu       sync.Mutex
	requests []request
	arrivals []arrival
	events   []event
}

type event struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{startedAt: time.Now()} }

func (r *record) addRequest(done request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, done)
}

func (r *record) addArrival(came arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, came)
}

func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{time.Now(), fmt.Sprintf(format, arguments...)})
}

// write writes the record in the order of time, and the events to standard output.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := slices.Clone(r.events)
	for _, each := range r.events {
		_, _ = fmt.Fprintf(os.Stdout, "%9.3f %s\n", each.at.Sub(r.startedAt).Seconds(), each.text)
	}
	for _, each := range r.requests {
		lines = append(lines, event{each.sentAt, fmt.Sprintf("sent %s to %s %s, answered after %.3f s: %s",
			each.attempt, each.host, each.path, each.answeredAt.Sub(each.sentAt).Seconds(), each.outcome)})
	}
	for _, each := range r.arrivals {
		lines = append(lines, event{each.at, fmt.Sprintf("endpoint %s gets %s, status %d", each.endpoint, each.attempt, each.status)})
	}
	slices.SortStableFunc(lines, func(a, b event) int { return a.at.Compare(b.at) })
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, each := range lines {
		if _, err := fmt.Fprintf(io.Writer(file), "%9.3f %s\n", each.at.Sub(r.startedAt).Seconds(), each.text); err != nil {
			return err
		}
	}
	return file.Close()
}

// sortedArrivals returns the arrivals in the order of time.
func (r *record) sortedArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := slices.Clone(r.arrivals)
	slices.SortFunc(sorted, func(a, b arrival) int { return a.at.Compare(b.at) })
	return sorted
}

// sortedRequests returns the answered requests in the order in which they were sent.
func (r *record) sortedRequests() []request {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := slices.Clone(r.requests)
	slices.SortStableFunc(sorted, func(a, b request) int { return a.sentAt.Compare(b.sentAt) })
	return sorted
}
