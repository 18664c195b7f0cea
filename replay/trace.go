// Package replay records the events and decisions of an entry host in a trace, and
// replays a trace to compare the decisions.
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

// Format identifies the format of a trace: a zstd stream of CBOR items, first a
// header, then one item for each event.
const Format = "filberthold-trace-1"

// flushInterval is the minimum time between two flushes of a trace. A flush only
// follows an event. After the process is killed, the trace lacks at most the events
// since the last flush.
const flushInterval = time.Second

// header is the first item of a trace.
type header struct {
	Format string         `cbor:"format"`
	Host   model.HostName `cbor:"host"`
	// Mode is the placement policy; empty means the default.
	Mode config.PlacementMode `cbor:"mode,omitempty"`
}

// traceEntry is one event of a trace and the text form of the resulting decisions.
type traceEntry struct {
	At    time.Time       `cbor:"at"`
	Kind  string          `cbor:"kind"`
	Event cbor.RawMessage `cbor:"event"`
	// Document is the configuration of an Adopted event, in TOML form.
	Document  string   `cbor:"document,omitempty"`
	Decisions []string `cbor:"decisions"`
}

// newEncMode returns the mode for deterministic CBOR with times in UTC.
func newEncMode() (cbor.EncMode, error) {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	return mode, nil
}

// newDecMode returns a mode that accepts text that is not UTF-8. Callers choose the
// bytes of some texts, and a replay has to use the same bytes.
func newDecMode() (cbor.DecMode, error) {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	return mode, nil
}

// Recorder writes a trace. A nil Recorder records nothing. Recorder is not safe for
// concurrent use.
type Recorder struct {
	encMode    cbor.EncMode
	compressor *zstd.Encoder
	encoder    *cbor.Encoder
	flushedAt  time.Time
	// err is the first error; nothing is written after it.
	err error
}

// NewRecorder returns a recorder for a host with a placement policy, and writes the
// header of the trace to out.
func NewRecorder(out io.Writer, host model.HostName, mode config.PlacementMode) (*Recorder, error) {
	encMode, err := newEncMode()
	if err != nil {
		return nil, err
	}
	compressor, err := zstd.NewWriter(out, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("make compressor: %w", err)
	}
	recorder := &Recorder{encMode: encMode, compressor: compressor, encoder: encMode.NewEncoder(compressor)}
	if err := recorder.encoder.Encode(header{Format: Format, Host: host, Mode: mode}); err != nil {
		return nil, fmt.Errorf("write trace header: %w", err)
	}
	return recorder, nil
}

// Record adds an event that was applied at the time now, and its decisions. Close
// reports errors.
func (r *Recorder) Record(event place.Event, decisions []place.Decision, now time.Time) {
	if r == nil || r.err != nil {
		return
	}
	if err := r.record(event, decisions, now); err != nil {
		r.err = fmt.Errorf("record event: %w", err)
	}
}

func (r *Recorder) record(event place.Event, decisions []place.Decision, now time.Time) error {
	raw, err := r.encMode.Marshal(event)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	entry := traceEntry{At: now.Round(0), Kind: eventKind(event), Event: raw}
	if adopted, isAdopted := event.(place.Adopted); isAdopted && adopted.Deployment != nil {
		document, err := config.Encode(config.Describe(adopted.Deployment))
		if err != nil {
			return fmt.Errorf("encode configuration: %w", err)
		}
		entry.Document = string(document)
	}
	if entry.Decisions, err = formatDecisions(r.encMode, decisions); err != nil {
		return err
	}
	if err := r.encoder.Encode(entry); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if now.Sub(r.flushedAt) < flushInterval {
		return nil
	}
	r.flushedAt = now
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

// formatDecisions returns each decision as its type and its fields in CBOR
// diagnostic notation.
func formatDecisions(encMode cbor.EncMode, decisions []place.Decision) ([]string, error) {
	texts := make([]string, 0, len(decisions))
	for _, decision := range decisions {
		raw, err := encMode.Marshal(decision)
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

// eventKind returns the type name of an event, which identifies it in a trace.
func eventKind(event place.Event) string { return fmt.Sprintf("%T", event) }
