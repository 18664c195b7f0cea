// Package upstrm is the client of upstream endpoints. It keeps separate
// connections for each class of requests.
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

// Response is the response of an endpoint. Its body ends with io.EOF only if it
// is whole.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or -1 if it is sent in chunks.
	Length int64
	// Leaving is true if the upstream said that it takes no more work.
	Leaving bool
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
	// silent. For a read it also bounds each write and the wait for the header.
	ProgressTimeout time.Duration
	// IdleTimeout and MaxAge bound the use of a connection, so that few
	// requests meet one that went silent while it was idle.
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

// NewClientWithOptions returns a client with options of its own.
func NewClientWithOptions(options Options) *Client {
	client := &Client{options: options, transports: make(map[model.Class]*http.Transport), pacer: newPacer()}
	client.probes = &http.Transport{DialContext: options.Dial, DisableKeepAlives: true}
	for _, class := range model.Classes() {
		client.transports[class] = &http.Transport{
			DialContext:           dialFunc(options.Dial).wrap(headerTimeout(class, options.ProgressTimeout)),
			MaxIdleConnsPerHost:   8,
			IdleConnTimeout:       options.IdleTimeout,
			ResponseHeaderTimeout: headerTimeout(class, options.ProgressTimeout),
			DisableCompression:    true,
			// net/http sends a replayable request again when a reused connection
			// breaks, and an Idempotency-Key header makes a POST replayable.
			// Without reuse a submit is written to one connection at most.
			DisableKeepAlives: class == model.Submit,
		}
	}
	return client
}

// headerTimeout returns how long to wait for the header of a reply. A submit
// is not given up before its deadline, because that could only turn a late
// result into an unknown one. An export may take longer to prepare.
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

// Do sends a call and returns the reply; the caller must close its body. A
// NotStartedError proves that the request did not start. Any other error
// leaves that open.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	if !time.Now().Before(call.Deadline) {
		return nil, &NotStartedError{reason: "deadline passed before sending"}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	reply, err := c.send(ctx, cancel, call)
	if err != nil {
		cancel(nil)
	}
	return reply, err
}

// send leaves cancel to the body of the reply unless it fails.
func (c *Client) send(ctx context.Context, cancel context.CancelCauseFunc, call Call) (*Response, error) {
	attempt := &attempt{deadline: call.Deadline, maxAge: c.options.MaxAge}
	request, err := c.request(httptrace.WithClientTrace(ctx, attempt.trace()), call)
	if err != nil {
		return nil, fmt.Errorf("make upstream request: %w", err)
	}
	response, err := c.transports[call.Class].RoundTrip(request)
	if err != nil {
		return nil, c.failure(ctx, attempt, call.Class, err)
	}
	leaving := response.Header.Get(LeavingHeader) == "true"
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(NotStartedHeader) == "true" {
		_ = response.Body.Close()
		return nil, &NotStartedError{reason: "upstream said so", leaving: leaving}
	}
	if !isFramed(call.Method, response) {
		_ = response.Body.Close()
		return nil, errors.New("call upstream: the end of the reply cannot be told from a break")
	}
	return &Response{
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    c.body(ctx, cancel, response.Body, call),
		Length:  response.ContentLength,
		Leaving: leaving,
	}, nil
}

// body returns the body of a reply with its progress deadline. A submit gets
// all the time until its deadline; see headerTimeout.
func (c *Client) body(ctx context.Context, cancel context.CancelCauseFunc, inner io.ReadCloser, call Call) io.ReadCloser {
	timeout := c.options.ProgressTimeout
	if call.Class == model.Submit {
		timeout = time.Until(call.Deadline)
	}
	made := newBody(ctx, inner, timeout, func(cause error) {
		cancel(cause)
		if cause != nil {
			// Other idle connections may have gone silent at the same time.
			c.transports[call.Class].CloseIdleConnections()
		}
	})
	if call.Class == model.Export {
		return &pacedBody{ReadCloser: made, ctx: ctx, pacer: c.pacer}
	}
	return made
}

// failure turns an error of net/http into one that carries the evidence.
func (c *Client) failure(ctx context.Context, attempt *attempt, class model.Class, err error) error {
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

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	// The reader's type hides the length from net/http, which therefore offers
	// no GetBody and does not take an empty body for a replayable one. A replay
	// inside net/http would be an attempt that placement does not count.
	content := io.NopCloser(bytes.NewReader(call.Body))
	if call.Class == model.Submit && len(call.Body) == 0 {
		// A submit has a connection of its own and is never replayed; an empty
		// one is sent with a length rather than in chunks.
		content = http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, content)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(DeadlineHeader, call.Deadline.UTC().Format(time.RFC3339Nano))
	request.Header.Set(ZoneHeader, string(c.options.Zone))
	request.ContentLength = int64(len(call.Body))
	return request, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
}
