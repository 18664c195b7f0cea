// Package upstrm is the client for upstream endpoints. Each class of requests has
// its own connections.
package upstrm

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"filberthold/conns"
	"filberthold/model"
)

const (
	// DeadlineHeader carries the time after which the upstream must not start the
	// request.
	DeadlineHeader = "Filberthold-Deadline"
	// ZoneHeader carries the availability zone of the sending host.
	ZoneHeader = "Filberthold-Zone"
	// NotStartedHeader is set by an upstream that did not start a request.
	NotStartedHeader = "Upstream-Not-Started"
	// LeavingHeader is set by an upstream that is leaving: it accepts no new
	// requests.
	LeavingHeader = "Upstream-Leaving"
	// retryAfterHeader is set by an upstream that did not start a request, and wants no
	// further one from this host for a number of seconds.
	retryAfterHeader = "Retry-After"
)

// Request is one request to an endpoint.
type Request struct {
	Class   model.Class
	Address string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Deadline is the time after which the upstream must not start the request.
	Deadline time.Time
}

// Response is the response of an endpoint. Its body ends with io.EOF only if it
// is complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or -1 if it is sent in chunks.
	Length int64
	// Leaving is true if the upstream reported that it is leaving.
	Leaving bool
}

// NotStartedError reports that the upstream did not start the request: either no
// byte was written, or the upstream reported it.
type NotStartedError struct {
	reason  string
	leaving bool
	// spareFor is the time for which the upstream asked to get no request.
	spareFor time.Duration
}

// Error implements error.
func (e *NotStartedError) Error() string { return "request was not started: " + e.reason }

// Leaving reports whether the upstream reported that it is leaving.
func (e *NotStartedError) Leaving() bool { return e.leaving }

// SpareFor returns the time for which the upstream asked to get no further request, or 0.
func (e *NotStartedError) SpareFor() time.Duration { return e.spareFor }

// Client sends requests to upstream endpoints.
type Client struct {
	options    Options
	transports map[model.Class]*http.Transport
	pacer      *pacer
	probes     *http.Transport
}

// Options are the limits of a client. NewClient uses DefaultOptions.
type Options struct {
	Zone model.ZoneName
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ProgressTimeout is the time without a byte after which a body counts as
	// stalled. For a read it also bounds each write and the wait for the header. It
	// does not apply to submits, which only the context of Do bounds.
	ProgressTimeout time.Duration
	// IdleTimeout and MaxAge bound the idle time and the age of a connection. They
	// make it rare that a request gets a connection that stalled while it was idle.
	IdleTimeout time.Duration
	MaxAge      time.Duration
}

// DefaultOptions returns the options of a host in an availability zone.
func DefaultOptions(zone model.ZoneName) Options {
	return Options{
		Zone:            zone,
		Dial:            (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		ProgressTimeout: 2 * time.Second,
		IdleTimeout:     2 * time.Second,
		MaxAge:          30 * time.Second,
	}
}

// NewClient returns a client for a host in an availability zone.
func NewClient(zone model.ZoneName) *Client { return NewClientWithOptions(DefaultOptions(zone)) }

// NewClientWithOptions returns a client with the given options.
func NewClientWithOptions(options Options) *Client {
	client := &Client{options: options, transports: make(map[model.Class]*http.Transport), pacer: newPacer()}
	client.probes = &http.Transport{DialContext: options.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: conns.MaxHeadBytes}
	for _, class := range model.Classes() {
		client.transports[class] = &http.Transport{
			DialContext:           dialFunc(options.Dial).wrap(headerTimeout(class, options.ProgressTimeout)),
			MaxIdleConnsPerHost:   8,
			IdleConnTimeout:       options.IdleTimeout,
			ResponseHeaderTimeout: headerTimeout(class, options.ProgressTimeout),
			DisableCompression:    true,
			// Without a limit, net/http reads a head of up to 10 MB.
			MaxResponseHeaderBytes: conns.MaxHeadBytes,
			// net/http sends a replayable request again when a reused connection
			// fails, and an Idempotency-Key header makes a POST replayable.
			// Without reuse, a submit is written to at most one connection.
			DisableKeepAlives: class == model.Submit,
		}
	}
	return client
}

// headerTimeout returns the timeout for the header of a response, or 0 for none. A
// submit has no timeout before its deadline, because a timeout could only turn a
// late result into an unknown one. An export may take longer to prepare.
func headerTimeout(class model.Class, progress time.Duration) time.Duration {
	switch class {
	case model.Read:
		return progress
	case model.Export:
		return 5 * progress
	case model.Submit:
	}
	return 0
}

// Do sends a request and returns the response; the caller must close its body. A
// NotStartedError proves that the upstream did not start the request. After any
// other error, the upstream may have started it.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	if !time.Now().Before(request.Deadline) {
		return nil, &NotStartedError{reason: "deadline passed before sending"}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	response, err := c.send(ctx, cancel, request)
	if err != nil {
		cancel(nil)
	}
	return response, err
}

// send sends a request. Without an error, the body of the response calls cancel.
func (c *Client) send(ctx context.Context, cancel context.CancelCauseFunc, request Request) (*Response, error) {
	attempt := newAttempt(request.Deadline, c.options.MaxAge)
	defer close(attempt.judged)
	httpRequest, err := c.newHTTPRequest(httptrace.WithClientTrace(ctx, attempt.trace(ctx)), request)
	if err != nil {
		return nil, fmt.Errorf("make upstream request: %w", err)
	}
	response, err := c.transports[request.Class].RoundTrip(httpRequest)
	if err != nil {
		return nil, c.classifyError(ctx, attempt, request.Class, err)
	}
	if attempt.isUnwritten() {
		_ = response.Body.Close()
		attempt.closeConnections()
		return nil, &NotStartedError{reason: "the connection has a response to another request"}
	}
	if err := conns.CheckHead(response); err != nil {
		_ = response.Body.Close()
		attempt.closeConnections()
		return nil, fmt.Errorf("call upstream: %w", err)
	}
	leaving := response.Header.Get(LeavingHeader) == "true"
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(NotStartedHeader) == "true" {
		_ = response.Body.Close()
		// A faulty upstream may repeat a refusal, and responses have no id: the next
		// request on the connection would get it as its response.
		attempt.closeConnections()
		return nil, newRefusal(response.Header, leaving)
	}
	if !isFramed(request.Method, response) {
		_ = response.Body.Close()
		return nil, errors.New("call upstream: the end of the reply cannot be told from a break")
	}
	return &Response{
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    c.wrapBody(ctx, cancel, response.Body, request),
		Length:  response.ContentLength,
		Leaving: leaving,
	}, nil
}

// newRefusal returns the error for the refusal of an upstream that did not start the
// request.
func newRefusal(header http.Header, leaving bool) *NotStartedError {
	refusal := &NotStartedError{reason: "upstream said so", leaving: leaving, spareFor: model.ParseRetryAfter(header.Get(retryAfterHeader))}
	if refusal.spareFor > 0 {
		refusal.reason += fmt.Sprintf(", and asks to be spared for %s", refusal.spareFor)
	}
	return refusal
}

// wrapBody returns the body of a response with a progress timeout, and paces it if
// the request is an export. The body of a submit has no timeout but that of ctx: its
// response is stored even if it is late; see headerTimeout.
func (c *Client) wrapBody(ctx context.Context, cancel context.CancelCauseFunc, inner io.ReadCloser, request Request) io.ReadCloser {
	timeout := c.options.ProgressTimeout
	if request.Class == model.Submit {
		timeout = 0
	}
	wrapped := newProgressBody(ctx, inner, timeout, func(cause error) {
		cancel(cause)
		if cause != nil {
			// Other idle connections may have stalled at the same time.
			c.transports[request.Class].CloseIdleConnections()
		}
	})
	if request.Class == model.Export {
		return &pacedBody{ReadCloser: wrapped, ctx: ctx, pacer: c.pacer}
	}
	return wrapped
}

// classifyError returns a NotStartedError if no byte was written, a StallError if
// the header timed out, or else the error of net/http.
func (c *Client) classifyError(ctx context.Context, attempt *attempt, class model.Class, err error) error {
	if attempt.wroteNothing() {
		return &NotStartedError{reason: err.Error()}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && ctx.Err() == nil {
		c.transports[class].CloseIdleConnections()
		return fmt.Errorf("call upstream: %w", &StallError{after: headerTimeout(class, c.options.ProgressTimeout)})
	}
	return fmt.Errorf("call upstream: %w", err)
}

func (c *Client) newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	// The reader's type hides the length from net/http. Therefore net/http sets no
	// GetBody and does not treat an empty body as replayable. A replay inside
	// net/http would be an attempt that placement does not count.
	content := io.NopCloser(bytes.NewReader(request.Body))
	if request.Class == model.Submit && len(request.Body) == 0 {
		// A submit has its own connection and is never replayed. An empty one is
		// sent with a length instead of in chunks.
		content = http.NoBody
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Path, content)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	for name, values := range request.Header {
		httpRequest.Header[name] = values
	}
	httpRequest.Header.Set(DeadlineHeader, request.Deadline.UTC().Format(time.RFC3339Nano))
	httpRequest.Header.Set(ZoneHeader, string(c.options.Zone))
	httpRequest.ContentLength = int64(len(request.Body))
	return httpRequest, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
}
