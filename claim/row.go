// Package claim is the state machine of the register that makes submits run at
// most once. The register holds a row for each idempotency key. An attempt to run
// the request of a key first has to claim its row. The package has no clock, no
// goroutines and no I/O: it takes events and the time, and returns actions.
package claim

import (
	"errors"
	"fmt"
	"time"

	"filberthold/model"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of a row. A row starts as Claimed and changes at most once.
type State string

const (
	// Claimed means that the holder of the token may send the request.
	Claimed State = "claimed"
	// Done means that the request ran and that its response is stored.
	Done State = "done"
	// NotRun means that the request did not run and never will.
	NotRun State = "notRun"
)

// Token identifies an attempt of a host to run the request of a key.
type Token string

// ErrMalformed is wrapped by the errors of Decode for a row that is not valid.
var ErrMalformed = errors.New("malformed register row")

// Response is the stored response of an upstream.
type Response struct {
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
	// Object is the name of the stored object that holds the body if it is too
	// large for the row. Body is empty then.
	Object string `cbor:"object,omitempty"`
}

// Row is the content of a register row.
type Row struct {
	State State `cbor:"state"`
	// Token and Host identify the attempt that created the row.
	Token Token          `cbor:"token"`
	Host  model.HostName `cbor:"host"`
	// Deadline is the time after which the holder does not send the request.
	Deadline time.Time `cbor:"deadline"`
	// Fingerprint is a digest of the request. It prevents the response to one
	// request from being returned for another request with the same key.
	Fingerprint []byte `cbor:"fingerprint"`
	// Response is present in state Done only.
	Response *Response `cbor:"response,omitempty"`
}

// Encode returns the deterministic CBOR form of a row: equal rows have equal bytes.
func Encode(row Row) ([]byte, error) {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		return nil, fmt.Errorf("make CBOR encoder: %w", err)
	}
	row.Deadline = row.Deadline.UTC().Round(0)
	value, err := mode.Marshal(row)
	if err != nil {
		return nil, fmt.Errorf("encode register row: %w", err)
	}
	return value, nil
}

// Decode returns the row with the given CBOR form, or an error that wraps
// ErrMalformed. It ignores unknown fields, so a host can read the rows of a newer
// version of the program.
func Decode(value []byte) (Row, error) {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		return Row{}, fmt.Errorf("make CBOR decoder: %w", err)
	}
	var row Row
	if err := mode.Unmarshal(value, &row); err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := row.check(); err != nil {
		return Row{}, err
	}
	row.Deadline = row.Deadline.UTC()
	return row, nil
}

// check returns an error that wraps ErrMalformed if the row is not valid.
func (r Row) check() error {
	switch {
	case r.Token == "":
		return fmt.Errorf("%w: no token", ErrMalformed)
	case r.State != Claimed && r.State != Done && r.State != NotRun:
		return fmt.Errorf("%w: unknown state %q", ErrMalformed, r.State)
	case (r.State == Done) != (r.Response != nil):
		return fmt.Errorf("%w: response in state %q: %t", ErrMalformed, r.State, r.Response != nil)
	case r.Response != nil && r.Response.Object != "" && len(r.Response.Body) > 0:
		return fmt.Errorf("%w: response has both a body and an object", ErrMalformed)
	case r.Deadline.IsZero():
		return fmt.Errorf("%w: no deadline", ErrMalformed)
	}
	return nil
}
