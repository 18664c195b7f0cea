// Package replay records the events and decisions of an entry host as a trace
// and decides a recorded trace again.
package replay

import (
	"errors"
	"fmt"
	"io"
	"time"

	"filberthold/config"
	"filberthold/model"
	"filberthold/place"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Format names the form of a trace. A trace is a zstd stream of CBOR items: a
// header, then one item for each event.
const Format = "filberthold-trace-1"

// flushInterval bounds what a trace lacks when the process is killed.
const flushInterval = time.Second

type header struct {
	Format string         `cbor:"format"`
	Host   model.HostName `cbor:"host"`
	// Mode is the placement policy; empty stands for the default.
	Mode config.PlacementMode `cbor:"mode,omitempty"`
}

// step is one event and the lines of the decisions that it led to.
type step struct {
	At    time.Time       `cbor:"at"`
	Kind  string          `cbor:"kind"`
	Event cbor.RawMessage `cbor:"event"`
	// Document is the adopted configuration in TOML form.
	Document  string   `cbor:"document,omitempty"`
	Decisions []string `cbor:"decisions"`
}

func newEncoding() (cbor.EncMode, error) {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	encoding, err := options.EncMode()
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	return encoding, nil
}

// newDecoding accepts text that is not UTF-8, since callers choose the bytes of
// some texts and a replay has to see the same.
func newDecoding() (cbor.DecMode, error) {
	decoding, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	return decoding, nil
}

// Recorder writes a trace. A nil recorder records nothing. It is not safe for
// concurrent use.
type Recorder struct {
	encoding   cbor.EncMode
	compressor *zstd.Encoder
	encoder    *cbor.Encoder
	flushed    time.Time
	// err is the first error; nothing is written after it.
	err error
}

// NewRecorder starts a trace of a host that places with a policy.
func NewRecorder(out io.Writer, host model.HostName, mode config.PlacementMode) (*Recorder, error) {
	encoding, err := newEncoding()
	if err != nil {
		return nil, err
	}
	compressor, err := zstd.NewWriter(out, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("make compressor: %w", err)
	}
	recorder := &Recorder{encoding: encoding, compressor: compressor, encoder: encoding.NewEncoder(compressor)}
	if err := recorder.encoder.Encode(header{Format: Format, Host: host, Mode: mode}); err != nil {
		return nil, fmt.Errorf("write trace header: %w", err)
	}
	return recorder, nil
}

// Record adds an event that was applied at a time, and its decisions.
func (r *Recorder) Record(event place.Event, decisions []place.Decision, now time.Time) {
	if r == nil || r.err != nil {
		return
	}
	if err := r.record(event, decisions, now); err != nil {
		r.err = fmt.Errorf("record event: %w", err)
	}
}

func (r *Recorder) record(event place.Event, decisions []place.Decision, now time.Time) error {
	raw, err := r.encoding.Marshal(event)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	recorded := step{At: now.Round(0), Kind: kindOf(event), Event: raw}
	if adopted, isAdopted := event.(place.Adopted); isAdopted && adopted.Deployment != nil {
		document, err := config.Encode(config.Describe(adopted.Deployment))
		if err != nil {
			return fmt.Errorf("encode configuration: %w", err)
		}
		recorded.Document = string(document)
	}
	if recorded.Decisions, err = lines(r.encoding, decisions); err != nil {
		return err
	}
	if err := r.encoder.Encode(recorded); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if now.Sub(r.flushed) < flushInterval {
		return nil
	}
	r.flushed = now
	if err := r.compressor.Flush(); err != nil {
		return fmt.Errorf("flush trace: %w", err)
	}
	return nil
}

// Close ends the trace and returns the first error of the recorder.
func (r *Recorder) Close() error {
	if err := errors.Join(r.err, r.compressor.Close()); err != nil {
		return fmt.Errorf("close trace: %w", err)
	}
	return nil
}

// lines returns the text form of decisions, in CBOR diagnostic notation.
func lines(encoding cbor.EncMode, decisions []place.Decision) ([]string, error) {
	texts := make([]string, 0, len(decisions))
	for _, decision := range decisions {
		raw, err := encoding.Marshal(decision)
		if err != nil {
			return nil, fmt.Errorf("encode decision: %w", err)
		}
		text, err := cbor.Diagnose(raw)
		if err != nil {
			// Diagnostic notation has no form for text that is not UTF-8.
			text = fmt.Sprintf("%x", raw)
		}
		texts = append(texts, fmt.Sprintf("%T %s", decision, text))
	}
	return texts, nil
}

func kindOf(event place.Event) string { return fmt.Sprintf("%T", event) }
