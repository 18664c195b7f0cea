package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"filberthold/conns"
	"filberthold/fetch"
)

const (
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 64 << 20
	// headTimeout bounds the wait for the beginning of a response if the context of
	// the call has no deadline.
	headTimeout = 10 * time.Second
)

// Client calls the platform. After an error other than ErrAbsent, ErrExists and
// ConflictError it is unknown whether a write took effect. ErrExists may also
// be returned for an object that the same call has stored, because net/http
// sends a PUT again when a reused connection breaks.
type Client struct {
	base string
	// caller is the name of this process in CallerHeader; it may be empty.
	caller string
	http   *http.Client
}

// NewClient returns a client for the platform at an IP address and port.
func NewClient(address string) *Client {
	return NewClientWithDial(address, (&net.Dialer{}).DialContext)
}

// NewClientWithDial returns a client that opens its connections with dial.
func NewClientWithDial(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: conns.MaxHeadBytes}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// NewNamedClient returns a client that sends the name of its process in
// CallerHeader.
func NewNamedClient(address, caller string) *Client {
	client := NewClient(address)
	client.caller = caller
	return client
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns a row, or ErrAbsent.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	if err := c.call(ctx, http.MethodGet, "/table/"+url.PathEscape(key), nil, &row); err != nil {
		return Row{}, fmt.Errorf("get row %q: %w", key, err)
	}
	if row.Key != key {
		return Row{}, fmt.Errorf("get row %q: response has row %q", key, row.Key)
	}
	return row, nil
}

// List returns the rows whose keys have a prefix, in order of key.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var list RowList
	if err := c.call(ctx, http.MethodGet, "/table?prefix="+url.QueryEscape(prefix), nil, &list); err != nil {
		return nil, fmt.Errorf("list rows %q: %w", prefix, err)
	}
	return list.Rows, nil
}

// Commit applies a transaction and returns the new versions of its rows. It
// returns a ConflictError if a row has changed.
func (c *Client) Commit(ctx context.Context, writes ...Write) ([]uint64, error) {
	body, err := json.Marshal(Transaction{Writes: writes})
	if err != nil {
		return nil, fmt.Errorf("encode transaction: %w", err)
	}
	var result TransactionResult
	if err := c.call(ctx, http.MethodPost, "/transactions", body, &result); err != nil {
		return nil, fmt.Errorf("commit %d writes: %w", len(writes), err)
	}
	if !confirms(result.Versions, writes) {
		return nil, fmt.Errorf("commit %d writes: response has the versions %v", len(writes), result.Versions)
	}
	return result.Versions, nil
}

// confirms reports whether the versions of a response are those that the writes make. The
// response to another call has none.
func confirms(versions []uint64, writes []Write) bool {
	return slices.EqualFunc(versions, writes, func(version uint64, write Write) bool { return version == write.IfVersion+1 })
}

// PutObject stores an object under a new name, or returns ErrExists.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	if err := c.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), body, nil); err != nil {
		return fmt.Errorf("put object %q: %w", name, err)
	}
	return nil
}

// Object returns the contents of an object, or ErrAbsent. Without a deadline of ctx, a
// large object may take as long as it makes progress.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	if err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &body); err != nil {
		return nil, fmt.Errorf("get object %q: %w", name, err)
	}
	return body, nil
}

// ObjectNames returns the names of the objects with a prefix, sorted.
func (c *Client) ObjectNames(ctx context.Context, prefix string) ([]string, error) {
	var list ObjectList
	if err := c.call(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, &list); err != nil {
		return nil, fmt.Errorf("list objects %q: %w", prefix, err)
	}
	return list.Names, nil
}

// Members returns the platform's host list.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	var list MemberList
	if err := c.call(ctx, http.MethodGet, "/hosts", nil, &list); err != nil {
		return MemberList{}, fmt.Errorf("get host list: %w", err)
	}
	return list, nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make platform request: %w", err)
	}
	if c.caller != "" {
		request.Header.Set(CallerHeader, c.caller)
	}
	response, err := fetch.Do(c.http, request, headDeadline(ctx), maxResponseBytes)
	if err != nil {
		return fmt.Errorf("call platform: %w", err)
	}
	if _, isRaw := into.(*[]byte); isRaw && response.IsUnframed {
		// A part of a document cannot be decoded; a part of an object looks like the object.
		return errors.New("call platform: the end of the object cannot be told from a break")
	}
	return decodeResponse(response.Status, response.Body, into)
}

// headDeadline returns the time until which the response to a call must begin.
func headDeadline(ctx context.Context) time.Time {
	if deadline, exists := ctx.Deadline(); exists {
		return deadline
	}
	return time.Now().Add(headTimeout)
}

func decodeResponse(status int, body []byte, into any) error {
	switch status {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound:
		return ErrAbsent
	case http.StatusPreconditionFailed:
		return ErrExists
	case http.StatusConflict:
		var result TransactionResult
		if err := json.Unmarshal(body, &result); err != nil {
			return fmt.Errorf("decode conflict: %w", err)
		}
		return NewConflictError(result.Conflicts)
	case http.StatusTooManyRequests:
		return ErrLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return fmt.Errorf("platform returned status %s", strconv.Itoa(status))
	}
	if raw, isRaw := into.(*[]byte); isRaw {
		*raw = body
		return nil
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode platform response: %w", err)
	}
	return nil
}
