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

// maxTraceMemory bounds the window that a trace may ask for.
const maxTraceMemory = 64 << 20

// Difference is a decision that is not decided as it was recorded. A text is
// empty if there is no decision at that place.
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
	// Outcomes holds the decided outcome of each request that ended.
	Outcomes map[place.RequestID]model.Outcome
}

// player applies a trace to a new core.
type player struct {
	core     *place.Core
	encoding cbor.EncMode
	decoding cbor.DecMode
	result   Result
}

// Run decides a trace again.
func Run(trace io.Reader) (Result, error) {
	encoding, err := newEncoding()
	if err != nil {
		return Result{}, err
	}
	decompressor, err := zstd.NewReader(trace, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxTraceMemory))
	if err != nil {
		return Result{}, fmt.Errorf("make decompressor: %w", err)
	}
	defer decompressor.Close()
	decoding, err := newDecoding()
	if err != nil {
		return Result{}, err
	}
	decoder := decoding.NewDecoder(decompressor)
	var head header
	if err := decoder.Decode(&head); err != nil {
		return Result{}, fmt.Errorf("read trace header: %w", err)
	}
	if head.Format != Format {
		return Result{}, fmt.Errorf("trace has format %q, want %q", head.Format, Format)
	}
	player := player{core: place.New(head.Host, place.WithMode(head.Mode)), encoding: encoding, decoding: decoding}
	player.result.Outcomes = make(map[place.RequestID]model.Outcome)
	for {
		var next step
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return player.result, nil
		}
		if err != nil {
			return player.result, fmt.Errorf("read event %d: %w", player.result.Events+1, err)
		}
		if err := player.apply(next); err != nil {
			return player.result, fmt.Errorf("apply event %d: %w", player.result.Events, err)
		}
	}
}

func (p *player) apply(next step) error {
	p.result.Events++
	event, err := p.decodeEvent(next)
	if err != nil {
		return err
	}
	decisions := p.core.Apply(event, next.At)
	decided, err := lines(p.encoding, decisions)
	if err != nil {
		return err
	}
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case place.Deliver:
			p.result.Outcomes[decision.Request] = model.Served
		case place.Refuse:
			p.result.Outcomes[decision.Request] = decision.Outcome
		case place.Send, place.Wait, place.Cancel:
		}
	}
	p.result.Decisions += len(decided)
	for i := range max(len(decided), len(next.Decisions)) {
		difference := Difference{Event: p.result.Events, At: next.At, Kind: next.Kind}
		if i < len(next.Decisions) {
			difference.Recorded = next.Decisions[i]
		}
		if i < len(decided) {
			difference.Replayed = decided[i]
		}
		if difference.Recorded != difference.Replayed {
			p.result.Differences = append(p.result.Differences, difference)
		}
	}
	return nil
}

func (p *player) decodeEvent(next step) (place.Event, error) {
	switch next.Kind {
	case kindOf(place.Arrived{}):
		return decode[place.Arrived](p.decoding, next.Event)
	case kindOf(place.Abandoned{}):
		return decode[place.Abandoned](p.decoding, next.Event)
	case kindOf(place.Finished{}):
		return decode[place.Finished](p.decoding, next.Event)
	case kindOf(place.Responded{}):
		return decode[place.Responded](p.decoding, next.Event)
	case kindOf(place.Ticked{}):
		return place.Ticked{}, nil
	case kindOf(place.Marked{}):
		return decode[place.Marked](p.decoding, next.Event)
	case kindOf(place.Answered{}):
		return decode[place.Answered](p.decoding, next.Event)
	case kindOf(place.Unmarked{}):
		return decode[place.Unmarked](p.decoding, next.Event)
	case kindOf(place.LoadReported{}):
		return decode[place.LoadReported](p.decoding, next.Event)
	case kindOf(place.ReleaseHeard{}):
		return decode[place.ReleaseHeard](p.decoding, next.Event)
	case kindOf(place.LoanAsked{}):
		return decode[place.LoanAsked](p.decoding, next.Event)
	case kindOf(place.LoanGranted{}):
		return decode[place.LoanGranted](p.decoding, next.Event)
	case kindOf(place.LoanReturned{}):
		return decode[place.LoanReturned](p.decoding, next.Event)
	case kindOf(place.Adopted{}):
		return p.decodeAdopted(next)
	}
	return nil, fmt.Errorf("unknown kind of event %q", next.Kind)
}

func decode[E place.Event](decoding cbor.DecMode, raw cbor.RawMessage) (place.Event, error) {
	var event E
	if err := decoding.Unmarshal(raw, &event); err != nil {
		return nil, fmt.Errorf("decode event: %w", err)
	}
	return event, nil
}

func (p *player) decodeAdopted(next step) (place.Event, error) {
	var event place.Adopted
	if err := p.decoding.Unmarshal(next.Event, &event); err != nil {
		return nil, fmt.Errorf("decode event: %w", err)
	}
	if next.Document == "" {
		return nil, errors.New("adopted configuration is not in the trace")
	}
	deployment, err := config.ParseDeployment("trace", []byte(next.Document), event.Revision)
	if err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	event.Deployment = deployment
	return event, nil
}
