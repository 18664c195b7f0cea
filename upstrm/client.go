// Package upstrm is the client of upstream endpoints. It keeps separate
// connections for each class of requests.
package upstrm

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"filberthold/model"
)

const (
	// DeadlineHeader carries the time after which the upstream must not start.
	DeadlineHeader = "Filberthold-Deadline"
	// ZoneHeader carries the availability zone of the sending host.
	ZoneHeader = "Filberthold-Zone"
	// NotStartedHeader is set by an upstream that did not start a request.
	NotStartedHeader = "Upstream-Not-Started"
	// LeavingHeader is set by an upstream that takes no more work.
	LeavingHeader = "Upstream-Leaving"
)

// Load is the load report of an endpoint. It lags and may mislead.
type Load struct {
	BusySlots int `json:"busySlots"`
	Slots     int `json:"slots"`
}

// Call is one request to an endpoint.
type Call struct {
	Class    model.Class
	Address  string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// Reply is the response of an endpoint.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// NotStartedError reports that the upstream did not start the request, on the
// evidence that no byte was written or that the upstream said so.
type NotStartedError struct {
	reason  string
	leaving bool
}

// Error implements error.
func (e *NotStartedError) Error() string { return "request was not started: " + e.reason }

// Leaving reports whether the upstream said that it takes no more work.
func (e *NotStartedError) Leaving() bool { return e.leaving }

// Client sends requests to upstream endpoints.
type Client struct {
	zone       model.ZoneName
	transports map[model.Class]*http.Transport
}

// NewClient returns a client for a host in an availability zone.
func NewClient(zone model.ZoneName) *Client {
	client := &Client{zone: zone, transports: make(map[model.Class]*http.Transport)}
	for _, class := range model.Classes() {
		client.transports[class] = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,
			// net/http sends a replayable request again when a reused connection
			// breaks, and an Idempotency-Key header makes a POST replayable.
			// Without reuse a submit is written to one connection at most.
			DisableKeepAlives: class == model.Submit,
		}
	}
	return client
}

// Do sends a call and returns the reply; the caller must close its body. A
// NotStartedError proves that the request did not start. Any other error
// leaves that open.
func (c *Client) Do(ctx context.Context, call Call) (*Reply, error) {
	if !time.Now().Before(call.Deadline) {
		return nil, &NotStartedError{reason: "deadline passed before sending"}
	}
	var wrote atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	})
	request, err := c.request(traced, call)
	if err != nil {
		return nil, fmt.Errorf("make upstream request: %w", err)
	}
	response, err := c.transports[call.Class].RoundTrip(request)
	if err != nil && !wrote.Load() {
		return nil, &NotStartedError{reason: err.Error()}
	}
	if err != nil {
		return nil, fmt.Errorf("call upstream: %w", err)
	}
	if response.Header.Get(NotStartedHeader) == "true" {
		_ = response.Body.Close()
		return nil, &NotStartedError{
			reason:  "upstream said so",
			leaving: response.Header.Get(LeavingHeader) == "true",
		}
	}
	return &Reply{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(DeadlineHeader, call.Deadline.UTC().Format(time.RFC3339Nano))
	request.Header.Set(ZoneHeader, string(c.zone))
	request.GetBody = nil
	return request, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
}
