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

// maxTraceMemory limits the decompression window that a trace may request, in bytes.
const maxTraceMemory = 64 << 20

// Difference is a decision that differs between the recording and the replay.
// Recorded or Replayed is empty if that side has no decision at the position.
type Difference struct {
	// Event counts the events of the trace from 1.
	Event    int
	At       time.Time
	Kind     string
	Recorded string
	Replayed string
}

// Result is the result of a replay.
type Result struct {
	Events      int
	Decisions   int
	Differences []Difference
	// Outcomes holds the outcome of each request that ended, as replayed.
	Outcomes map[place.RequestID]model.Outcome
}

// replayer applies the events of a trace to a new core.
type replayer struct {
	core    *place.Core
	encMode cbor.EncMode
	decMode cbor.DecMode
	result  Result
}

// Run replays a trace: it applies the recorded events to a new core and compares the
// decisions with the recorded ones.
func Run(trace io.Reader) (Result, error) {
	encMode, err := newEncMode()
	if err != nil {
		return Result{}, err
	}
	decompressor, err := zstd.NewReader(trace, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxTraceMemory))
	if err != nil {
		return Result{}, fmt.Errorf("make decompressor: %w", err)
	}
	defer decompressor.Close()
	decMode, err := newDecMode()
	if err != nil {
		return Result{}, err
	}
	decoder := decMode.NewDecoder(decompressor)
	var head header
	if err := decoder.Decode(&head); err != nil {
		return Result{}, fmt.Errorf("read trace header: %w", err)
	}
	if head.Format != Format {
		return Result{}, fmt.Errorf("trace has format %q, want %q", head.Format, Format)
	}
	replayer := replayer{core: place.New(head.Host, place.WithMode(head.Mode)), encMode: encMode, decMode: decMode}
	replayer.result.Outcomes = make(map[place.RequestID]model.Outcome)
	for {
		var entry traceEntry
		err := decoder.Decode(&entry)
		if errors.Is(err, io.EOF) {
			return replayer.result, nil
		}
		if err != nil {
			return replayer.result, fmt.Errorf("read event %d: %w", replayer.result.Events+1, err)
		}
		if err := replayer.apply(entry); err != nil {
			return replayer.result, fmt.Errorf("apply event %d: %w", replayer.result.Events, err)
		}
	}
}

// apply applies one event and adds the result to r.result.
func (r *replayer) apply(entry traceEntry) error {
	r.result.Events++
	event, err := r.decodeEvent(entry)
	if err != nil {
		return err
	}
	decisions := r.core.Apply(event, entry.At)
	replayed, err := formatDecisions(r.encMode, decisions)
	if err != nil {
		return err
	}
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case place.Deliver:
			r.result.Outcomes[decision.Request] = model.Served
		case place.Refuse:
			r.result.Outcomes[decision.Request] = decision.Outcome
		case place.Send, place.Wait, place.Cancel:
		}
	}
	r.result.Decisions += len(replayed)
	for i := range max(len(replayed), len(entry.Decisions)) {
		difference := Difference{Event: r.result.Events, At: entry.At, Kind: entry.Kind}
		if i < len(entry.Decisions) {
			difference.Recorded = entry.Decisions[i]
		}
		if i < len(replayed) {
			difference.Replayed = replayed[i]
		}
		if difference.Recorded != difference.Replayed {
			r.result.Differences = append(r.result.Differences, difference)
		}
	}
	return nil
}

func (r *replayer) decodeEvent(entry traceEntry) (place.Event, error) {
	switch entry.Kind {
	case eventKind(place.Arrived{}):
		return decodeAs[place.Arrived](r.decMode, entry.Event)
	case eventKind(place.Abandoned{}):
		return decodeAs[place.Abandoned](r.decMode, entry.Event)
	case eventKind(place.Finished{}):
		return decodeAs[place.Finished](r.decMode, entry.Event)
	case eventKind(place.Responded{}):
		return decodeAs[place.Responded](r.decMode, entry.Event)
	case eventKind(place.Ticked{}):
		return place.Ticked{}, nil
	case eventKind(place.Marked{}):
		return decodeAs[place.Marked](r.decMode, entry.Event)
	case eventKind(place.Answered{}):
		return decodeAs[place.Answered](r.decMode, entry.Event)
	case eventKind(place.Unmarked{}):
		return decodeAs[place.Unmarked](r.decMode, entry.Event)
	case eventKind(place.LoadReported{}):
		return decodeAs[place.LoadReported](r.decMode, entry.Event)
	case eventKind(place.ReleaseHeard{}):
		return decodeAs[place.ReleaseHeard](r.decMode, entry.Event)
	case eventKind(place.LoanAsked{}):
		return decodeAs[place.LoanAsked](r.decMode, entry.Event)
	case eventKind(place.LoanGranted{}):
		return decodeAs[place.LoanGranted](r.decMode, entry.Event)
	case eventKind(place.LoanReturned{}):
		return decodeAs[place.LoanReturned](r.decMode, entry.Event)
	case eventKind(place.Adopted{}):
		return r.decodeAdopted(entry)
	}
	return nil, fmt.Errorf("unknown kind of event %q", entry.Kind)
}

func decodeAs[E place.Event](decMode cbor.DecMode, raw cbor.RawMessage) (place.Event, error) {
	var event E
	if err := decMode.Unmarshal(raw, &event); err != nil {
		return nil, fmt.Errorf("decode event: %w", err)
	}
	return event, nil
}

// decodeAdopted decodes an Adopted event and the configuration that is stored with
// it.
func (r *replayer) decodeAdopted(entry traceEntry) (place.Event, error) {
	var event place.Adopted
	if err := r.decMode.Unmarshal(entry.Event, &event); err != nil {
		return nil, fmt.Errorf("decode event: %w", err)
	}
	if entry.Document == "" {
		return nil, errors.New("adopted configuration is not in the trace")
	}
	deployment, err := config.ParseDeployment("trace", []byte(entry.Document), event.Revision)
	if err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	event.Deployment = deployment
	return event, nil
}
