package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"filberthold/caller"
	"filberthold/model"
)

const (
	// callerAttempts bounds how often a caller sends one request.
	callerAttempts = 8
	// callerBackoff is the first pause of a caller after a refusal.
	callerBackoff = 20 * time.Millisecond
)

// Caller is a stand-in for a caller: it asks entry hosts which of them to use,
// caches the answer until it expires, and retries at another host.
type Caller struct {
	seeds  []string
	http   *http.Client
	lookup *http.Client
	mu     sync.Mutex
	random *rand.Rand
	cached caller.LookupResponse
	// avoid holds hosts that failed, until the time at which they are tried
	// again.
	avoid map[string]time.Time
}

// NewCaller returns a caller that knows some entry hosts by address and sends
// from a local IP address, which determines its client block.
func NewCaller(seeds []string, from net.IP, seed uint64) *Caller {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: from}}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Caller{
		seeds:  seeds,
		http:   &http.Client{Transport: transport},
		lookup: &http.Client{Transport: transport, Timeout: time.Second},
		random: rand.New(rand.NewPCG(seed, seed)),
		avoid:  make(map[string]time.Time),
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Job is one piece of work that a caller wants done.
type Job struct {
	Service  model.ServiceName
	Class    model.Class
	Customer model.CustomerName
	Path     string
	Body     []byte
	// Key is the idempotency key of a submit.
	Key string
	// Deadline is the time at which the caller gives up.
	Deadline time.Time
}

// JobResult is what a caller got for a job.
type JobResult struct {
	Outcome  model.Outcome
	Attempts int
	Body     []byte
	// Truncated is true if a body ended early without an error.
	Truncated bool
	Request   string
}

// Do sends a job until it has a final answer or gives up. A submit is sent
// again with the same key only.
func (c *Caller) Do(ctx context.Context, job Job) JobResult {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	result := JobResult{Outcome: model.Unknown}
	for result.Attempts < callerAttempts && ctx.Err() == nil {
		address, err := c.choose(ctx)
		if err != nil {
			result.Outcome = model.NotSent
			return result
		}
		result.Attempts++
		answer, err := c.send(ctx, address, job)
		if err != nil {
			c.markFailed(address)
			result.Outcome = model.Unknown
			continue
		}
		result.Outcome, result.Body, result.Request = answer.Outcome, answer.Body, answer.Request
		if result.Outcome == model.Served || result.Outcome == model.NotRun {
			return result
		}
		c.pause(ctx, result.Attempts)
	}
	return result
}

func (c *Caller) pause(ctx context.Context, attempts int) {
	timer := time.NewTimer(callerBackoff << (attempts - 1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Caller) send(ctx context.Context, address string, job Job) (JobResult, error) {
	method := http.MethodGet
	if job.Class == model.Submit {
		method = http.MethodPost
	}
	url := "http://" + address + "/s/" + string(job.Service) + job.Path
	// A bare reader keeps net/http from sending a submit again by itself.
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(job.Body)))
	if err != nil {
		return JobResult{}, fmt.Errorf("make request: %w", err)
	}
	request.ContentLength = int64(len(job.Body))
	request.Header.Set(caller.CustomerHeader, string(job.Customer))
	if job.Key != "" {
		request.Header.Set(caller.KeyHeader, job.Key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return JobResult{}, fmt.Errorf("send to %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return JobResult{}, fmt.Errorf("read response: %w", err)
	}
	return JobResult{
		Outcome: model.Outcome(response.Header.Get(caller.OutcomeHeader)),
		Body:    body,
		Request: response.Header.Get(caller.RequestHeader),
	}, nil
}

// choose returns the nearest entry host that has not failed lately.
func (c *Caller) choose(ctx context.Context) (string, error) {
	entries, err := c.entries(ctx)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, host := range entries.Hosts {
		if now.After(c.avoid[host.Address]) {
			return host.Address, nil
		}
	}
	if len(entries.Hosts) == 0 {
		return "", errors.New("lookup named no entry host")
	}
	return entries.Hosts[c.random.IntN(len(entries.Hosts))].Address, nil
}

func (c *Caller) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[address] = time.Now().Add(2 * time.Second)
}

// entries returns the cached lookup response, or asks for a new one.
func (c *Caller) entries(ctx context.Context) (caller.LookupResponse, error) {
	c.mu.Lock()
	cached := c.cached
	order := c.random.Perm(len(c.seeds))
	c.mu.Unlock()
	if time.Now().Before(cached.ValidUntil) {
		return cached, nil
	}
	var last error
	for _, index := range order {
		entries, err := c.ask(ctx, c.seeds[index])
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.cached = entries
		c.mu.Unlock()
		return entries, nil
	}
	return caller.LookupResponse{}, fmt.Errorf("look up entry hosts: %w", last)
}

func (c *Caller) ask(ctx context.Context, seed string) (caller.LookupResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/v1/entries", nil)
	if err != nil {
		return caller.LookupResponse{}, fmt.Errorf("make lookup: %w", err)
	}
	response, err := c.lookup.Do(request)
	if err != nil {
		return caller.LookupResponse{}, fmt.Errorf("ask %s: %w", seed, err)
	}
	defer response.Body.Close()
	var entries caller.LookupResponse
	if err := json.NewDecoder(response.Body).Decode(&entries); err != nil {
		return caller.LookupResponse{}, fmt.Errorf("decode lookup: %w", err)
	}
	return entries, nil
}
