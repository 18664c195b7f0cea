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

// Caller is a fake caller. It looks up at an entry host which entry hosts to
// use, caches the response until it expires, and retries at another host.
type Caller struct {
	seeds      []string
	http       *http.Client
	lookupHTTP *http.Client
	mu         sync.Mutex
	random     *rand.Rand
	cached     caller.LookupResponse
	// avoidUntil holds, for each host that failed, the time from which it is
	// used again.
	avoidUntil map[string]time.Time
}

// NewCaller returns a caller that looks up entry hosts at the seeds, which are
// addresses of entry hosts. It sends from a local IP address, which determines
// its client block.
func NewCaller(seeds []string, from net.IP, seed uint64) *Caller {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: from}}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Caller{
		seeds:      seeds,
		http:       &http.Client{Transport: transport},
		lookupHTTP: &http.Client{Transport: transport, Timeout: time.Second},
		random:     rand.New(rand.NewPCG(seed, seed)),
		avoidUntil: make(map[string]time.Time),
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Job describes a request that a caller sends until it has a final outcome.
type Job struct {
	Service  model.ServiceName
	Class    model.Class
	Customer model.CustomerName
	Path     string
	Body     []byte
	// Key is the idempotency key of a submit.
	Key string
	// Deadline is the time at which the caller abandons the request.
	Deadline time.Time
}

// JobResult is the result of a job.
type JobResult struct {
	Outcome  model.Outcome
	Attempts int
	Body     []byte
	// Truncated is true if a body ended early without an error.
	Truncated bool
	// Request is the ID that the entry host gave the last attempt that got a
	// response.
	Request string
}

// Do sends a job until it has a final outcome, its deadline has passed or no
// attempts are left. All attempts of a submit have the same key.
func (c *Caller) Do(ctx context.Context, job Job) JobResult {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	result := JobResult{Outcome: model.Unknown}
	for result.Attempts < callerAttempts && ctx.Err() == nil {
		address, err := c.chooseHost(ctx)
		if err != nil {
			result.Outcome = model.NotSent
			return result
		}
		result.Attempts++
		attempt, err := c.send(ctx, address, job)
		if err != nil {
			c.markFailed(address)
			result.Outcome = model.Unknown
			continue
		}
		result.Outcome, result.Body, result.Request = attempt.Outcome, attempt.Body, attempt.Request
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
	// net/http cannot rewind this reader, so it does not send a submit again.
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

// chooseHost returns the nearest entry host that has not failed recently, or a
// random one if all of them have.
func (c *Caller) chooseHost(ctx context.Context) (string, error) {
	found, err := c.lookUp(ctx)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, host := range found.Hosts {
		if now.After(c.avoidUntil[host.Address]) {
			return host.Address, nil
		}
	}
	if len(found.Hosts) == 0 {
		return "", errors.New("lookup returned no entry host")
	}
	return found.Hosts[c.random.IntN(len(found.Hosts))].Address, nil
}

func (c *Caller) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(2 * time.Second)
}

// lookUp returns the cached lookup response, or a new one if it has expired.
func (c *Caller) lookUp(ctx context.Context) (caller.LookupResponse, error) {
	c.mu.Lock()
	cached := c.cached
	order := c.random.Perm(len(c.seeds))
	c.mu.Unlock()
	if time.Now().Before(cached.ValidUntil) {
		return cached, nil
	}
	var lastErr error
	for _, index := range order {
		found, err := c.requestLookup(ctx, c.seeds[index])
		if err != nil {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.cached = found
		c.mu.Unlock()
		return found, nil
	}
	return caller.LookupResponse{}, fmt.Errorf("look up entry hosts: %w", lastErr)
}

func (c *Caller) requestLookup(ctx context.Context, seed string) (caller.LookupResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/v1/entries", nil)
	if err != nil {
		return caller.LookupResponse{}, fmt.Errorf("make lookup: %w", err)
	}
	response, err := c.lookupHTTP.Do(request)
	if err != nil {
		return caller.LookupResponse{}, fmt.Errorf("look up at %s: %w", seed, err)
	}
	defer response.Body.Close()
	var found caller.LookupResponse
	if err := json.NewDecoder(response.Body).Decode(&found); err != nil {
		return caller.LookupResponse{}, fmt.Errorf("decode lookup: %w", err)
	}
	return found, nil
}
