package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"filberthold/platform"

	"github.com/fxamacker/cbor/v2"
)

const (
	// Path is where a host answers what it knows.
	Path = "/changes"
	// followTimeout bounds a call beyond the wait for a change, for the way
	// between regions.
	followTimeout = 500 * time.Millisecond
	// maxChangesBytes bounds an answer.
	maxChangesBytes = 8 << 20
)

// Changes are rows of a table that changed.
type Changes struct {
	Rows []platform.Row `cbor:"rows"`
	// Version is the version of the store up to which they are complete.
	Version uint64 `cbor:"version"`
	// Age is how long ago they were known to be complete, when they were sent.
	Age time.Duration `cbor:"age"`
}

// Update is what a host answers about both tables.
type Update struct {
	Operator  Changes `cbor:"operator"`
	Endpoints Changes `cbor:"endpoints"`
}

// Handler answers other hosts from the caches.
type Handler struct {
	log                 *slog.Logger
	operator, endpoints *Cache
	// wait is how long a call waits for a change. It bounds how old the age is
	// that the asking host knows.
	wait time.Duration
}

// NewHandler returns a handler for two caches that waits for a change.
func NewHandler(log *slog.Logger, operator, endpoints *Cache, wait time.Duration) *Handler {
	return &Handler{log: log, operator: operator, endpoints: endpoints, wait: wait}
}

// ServeHTTP implements http.Handler. It answers at the next change, or after
// the wait.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	operatorAfter, errOperator := strconv.ParseUint(query.Get("operator"), 10, 64)
	endpointsAfter, errEndpoints := strconv.ParseUint(query.Get("endpoints"), 10, 64)
	if errOperator != nil || errEndpoints != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	update, operatorChanged, endpointsChanged := h.update(operatorAfter, endpointsAfter)
	if len(update.Operator.Rows) == 0 && len(update.Endpoints.Rows) == 0 {
		timer := time.NewTimer(h.wait)
		defer timer.Stop()
		select {
		case <-operatorChanged:
		case <-endpointsChanged:
		case <-timer.C:
		case <-request.Context().Done():
			return
		}
		update, _, _ = h.update(operatorAfter, endpointsAfter)
	}
	content, err := cbor.Marshal(update)
	if err != nil {
		h.log.Error("changes not encoded", "error", err)
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := writer.Write(content); err != nil {
		h.log.Debug("changes not written", "error", err)
	}
}

func (h *Handler) update(operatorAfter, endpointsAfter uint64) (update Update, operatorChanged, endpointsChanged <-chan struct{}) {
	update.Operator, operatorChanged = h.operator.Since(operatorAfter)
	update.Endpoints, endpointsChanged = h.endpoints.Since(endpointsAfter)
	now := time.Now()
	update.Operator.Age = h.operator.Age(now)
	update.Endpoints.Age = h.endpoints.Age(now)
	return update, operatorChanged, endpointsChanged
}

// Client asks other hosts. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// wait is how long the other host waits for a change.
	wait time.Duration
}

// NewClient returns a client for hosts that wait for a change.
func NewClient(wait time.Duration) *Client {
	dialer := &net.Dialer{Timeout: followTimeout}
	return &Client{wait: wait, http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}}
}

// Poll asks a host for the rows that changed after the given versions. It
// waits for the next change, but not for long.
func (c *Client) Poll(ctx context.Context, address string, operatorAfter, endpointsAfter uint64) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait+followTimeout)
	defer cancel()
	query := url.Values{
		"operator":  {strconv.FormatUint(operatorAfter, 10)},
		"endpoints": {strconv.FormatUint(endpointsAfter, 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return Update{}, fmt.Errorf("make request for changes: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Update{}, fmt.Errorf("ask for changes: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxChangesBytes))
	if err != nil {
		return Update{}, fmt.Errorf("read changes: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return Update{}, fmt.Errorf("ask for changes: status %d", response.StatusCode)
	}
	return DecodeUpdate(content)
}

// DecodeUpdate decodes the answer of a host.
func DecodeUpdate(content []byte) (Update, error) {
	var update Update
	if err := cbor.Unmarshal(content, &update); err != nil {
		return Update{}, fmt.Errorf("decode changes: %w", err)
	}
	return update, nil
}
