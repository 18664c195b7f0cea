package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"filberthold/conns"
	"filberthold/fetch"
	"filberthold/orgs"
	"filberthold/platform"
	"filberthold/roster"

	"github.com/fxamacker/cbor/v2"
)

const (
	// ChangesPath is the HTTP path at which a host returns its cached rows.
	ChangesPath = "/changes"
	// pollTimeout is how much longer than the wait for a change a response may take to
	// begin. It covers the transit time between regions, and also bounds the wait for
	// a connection.
	pollTimeout = 500 * time.Millisecond
	// MaxWatched bounds the watched keys of a poll, whose head must not be too long.
	MaxWatched = 16
	// watchParameter is the name of the query parameter for a watched key.
	watchParameter = "watch"
	// maxChangesBytes bounds the size of a response.
	maxChangesBytes = 8 << 20
)

// Changes are the changed rows of a table.
type Changes struct {
	Rows []platform.Row `cbor:"rows"`
	// Version is the version of the store up to which the rows are complete.
	Version platform.Version `cbor:"version"`
	// IsWhole is true if Rows are all rows of the table. A row that is not among them
	// is not in the store.
	IsWhole bool `cbor:"isWhole,omitempty"`
	// Age is the time between the last confirmation that the rows were complete
	// and the send of the response.
	Age time.Duration `cbor:"age"`
	// Grace holds, for each removal in Rows whose grace period runs at the sender, how
	// much longer the sender keeps the row in use, by key. Other removals are final.
	Grace map[string]time.Duration `cbor:"grace,omitempty"`
	// Packed holds the values of rows with a large value. It is empty except in
	// transit.
	Packed []packedValue `cbor:"packed,omitempty"`
}

// SplitHeld returns the rows without the removals whose grace period runs at the sender,
// and these removals.
func (c *Changes) SplitHeld() (final, held []platform.Row) {
	for _, row := range c.Rows {
		if _, isHeld := c.Grace[row.Key]; isHeld && row.IsRemoved {
			held = append(held, row)
			continue
		}
		final = append(final, row)
	}
	return final, held
}

// addHeldRemoval adds the removal of a row whose grace period runs.
func (c *Changes) addHeldRemoval(cached cachedRow) {
	c.Rows = append(c.Rows, cached.removedRow())
	if c.Grace == nil {
		c.Grace = make(map[string]time.Duration)
	}
	c.Grace[cached.row.Key] = time.Until(cached.removal.until)
}

// Update is a host's response to a poll, with the changes of both tables.
type Update struct {
	Operator  Changes `cbor:"operator"`
	Endpoints Changes `cbor:"endpoints"`
	// Removals are what the host remembers of removed entries. They are sent only to a
	// host without endpoints: it has not seen the entries.
	Removals []roster.Removal `cbor:"removals,omitempty"`
	// Proof tells up to when the configuration of the sender is the newest one. It is nil
	// if the sender has no proof, or does not know the field: then nothing is proven.
	Proof *ConfigProof `cbor:"proof,omitempty"`
	// IsConfigMissed is true if the operator's rows may lack the newest one of the
	// configuration, because the sender or its source could not read it.
	IsConfigMissed bool `cbor:"configMissed,omitempty"`
	// SentAt is when this host sent the poll.
	SentAt orgs.Instant `cbor:"-"`
	// ReceivedAt is when the response began to arrive. The ages of the changes refer
	// to it.
	ReceivedAt time.Time `cbor:"-"`
}

// ConfigProof is a proof of the configuration that the sender has in force.
type ConfigProof struct {
	orgs.RelayedProof
	// Row is the version of the newest row of the configuration, if that configuration is its
	// value in the store or a newer one. It is zero if the sender does not know that.
	Row platform.Version `cbor:"row"`
}

// Prover tells what a host can prove of its configuration.
type Prover interface {
	// Now returns the time of the clock of the proofs.
	Now() orgs.Instant
	// Relay returns the proof for a poll that has arrived, or nil.
	// isRowMissed is true if the rows may lack the newest row of the configuration.
	Relay(arrivedAt orgs.Instant) (told *ConfigProof, isRowMissed bool)
}

// Handler serves polls of other hosts from the caches.
type Handler struct {
	log                 *slog.Logger
	operator, endpoints *Cache
	// removals returns what this host remembers of removed entries.
	removals func() []roster.Removal
	// wait is how long a poll waits for a change. It bounds how outdated the age
	// at the polling host is.
	wait time.Duration
	// prover is nil if the host proves nothing.
	prover Prover
	packer packer
	// sentBytes counts the bytes of the responses.
	sentBytes atomic.Uint64
}

// SentBytes returns the number of bytes sent to other hosts so far.
func (h *Handler) SentBytes() uint64 { return h.sentBytes.Load() }

// NewHandler returns a handler for two caches and the removals that this host remembers.
// A poll waits for a change for the given time.
func NewHandler(log *slog.Logger, operator, endpoints *Cache, removals func() []roster.Removal, wait time.Duration) *Handler {
	return &Handler{log: log, operator: operator, endpoints: endpoints, removals: removals, wait: wait}
}

// SetProver makes the host tell its proofs. It must be called before the first poll.
func (h *Handler) SetProver(prover Prover) { h.prover = prover }

// ServeHTTP implements http.Handler. It responds immediately if there are
// changes, else at the next change or after the wait.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrivedAt := orgs.Instant(0)
	if h.prover != nil {
		arrivedAt = h.prover.Now()
	}
	query := request.URL.Query()
	operatorAfter, errOperator := platform.ParseVersion(query.Get("operator"))
	endpointsAfter, errEndpoints := platform.ParseVersion(query.Get("endpoints"))
	if errOperator != nil || errEndpoints != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	watched := query[watchParameter]
	if len(watched) > MaxWatched {
		watched = watched[:MaxWatched]
	}
	update, operatorChanged, endpointsChanged := h.changesSince(operatorAfter, endpointsAfter, watched)
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
		update, _, _ = h.changesSince(operatorAfter, endpointsAfter, watched)
	}
	if h.prover != nil {
		update.Proof, update.IsConfigMissed = h.prover.Relay(arrivedAt)
	}
	content, err := h.encode(update)
	if err != nil {
		h.log.Error("changes not encoded", "error", err)
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	written, err := writer.Write(content)
	h.sentBytes.Add(uint64(written))
	if err != nil {
		h.log.Debug("changes not written", "error", err)
	}
}

// encode encodes an update, with large values compressed.
func (h *Handler) encode(update Update) ([]byte, error) {
	for _, changes := range []*Changes{&update.Operator, &update.Endpoints} {
		if err := h.packer.pack(changes); err != nil {
			return nil, err
		}
	}
	content, err := cbor.Marshal(update)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	return content, nil
}

func (h *Handler) changesSince(operatorAfter, endpointsAfter platform.Version, watched []string) (update Update, operatorChanged, endpointsChanged <-chan struct{}) {
	update.Operator, operatorChanged = h.operator.Since(operatorAfter)
	update.Endpoints, endpointsChanged = h.endpoints.Since(endpointsAfter, watched...)
	if endpointsAfter.IsZero() {
		update.Removals = h.removals()
	}
	now := time.Now()
	update.Operator.Age = h.operator.Age(now)
	update.Endpoints.Age = h.endpoints.Age(now)
	return update, operatorChanged, endpointsChanged
}

// Client polls other hosts. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// wait is how long the polled host waits for a change.
	wait time.Duration
}

// DialFunc opens a connection to a host.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for hosts that wait for a change for the given
// time.
func NewClient(wait time.Duration) *Client {
	dialer := &net.Dialer{Timeout: pollTimeout}
	return NewClientOver(wait, dialer.DialContext)
}

// NewClientOver returns a client that opens its connections by dial.
func NewClientOver(wait time.Duration, dial DialFunc) *Client {
	return &Client{wait: wait, http: &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: conns.MaxHeadBytes}}}
}

// Poll requests the rows that changed after the given versions from a host. The
// host responds at the next change, or without one after its wait. Of the endpoints whose
// keys are watched, up to MaxWatched, the response contains renewals too.
func (c *Client) Poll(ctx context.Context, address string, operatorAfter, endpointsAfter platform.Version, watched ...string) (Update, error) {
	query := url.Values{
		"operator":     {operatorAfter.String()},
		"endpoints":    {endpointsAfter.String()},
		watchParameter: watched,
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ChangesPath+"?"+query.Encode(), nil)
	if err != nil {
		return Update{}, fmt.Errorf("make request for changes: %w", err)
	}
	response, err := fetch.Do(c.http, request, time.Now().Add(c.wait+pollTimeout), maxChangesBytes)
	if err != nil {
		return Update{}, fmt.Errorf("poll changes: %w", err)
	}
	if response.Status != http.StatusOK {
		return Update{}, fmt.Errorf("poll changes: status %d", response.Status)
	}
	update, err := DecodeUpdate(response.Body)
	update.ReceivedAt = response.HeadAt
	return update, err
}

// DecodeUpdate decodes the response to a poll.
func DecodeUpdate(content []byte) (Update, error) {
	var update Update
	if err := cbor.Unmarshal(content, &update); err != nil {
		return Update{}, fmt.Errorf("decode changes: %w", err)
	}
	for _, changes := range []*Changes{&update.Operator, &update.Endpoints} {
		if err := changes.unpack(); err != nil {
			return Update{}, fmt.Errorf("decode changes: %w", err)
		}
	}
	return update, nil
}
