// Package peers connects entry hosts with each other over QUIC. It spreads
// revisions of the configuration and the marks of leaving endpoints, and tells
// a host whether anyone confirms the revision that it has in force.
package peers

import (
	"errors"
	"fmt"

	"filberthold/model"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxDigestBytes bounds a frame that arrives in a datagram.
	maxDigestBytes = 1024
	// maxFrameBytes bounds a frame that arrives on a stream. A configuration
	// with 130,000 client blocks takes about 7 MB of TOML.
	maxFrameBytes = 16 << 20
	// maxMarks bounds the leaving marks of a host and of a frame.
	maxMarks = 4096
	// maxNameBytes bounds names and incarnations.
	maxNameBytes = 64
	// maxNotices bounds the notices of a digest.
	maxNotices = 64
)

// ErrUnknownKind is returned for a frame of a kind that this version does not
// know. Such frames are ignored, so that hosts of two versions can run
// together.
var ErrUnknownKind = errors.New("unknown kind of frame")

// Frame is a message between entry hosts. It is one of the frame types of this
// package.
type Frame interface{ kind() string }

// Digest tells what a host has. It is sent every second and as an answer.
type Digest struct {
	Host        model.HostName `cbor:"host"`
	Incarnation string         `cbor:"incarnation"`
	Revision    uint64         `cbor:"revision"`
	// Marks is the number of leaving marks; MarksHash is the sum of their
	// hashes, because equal counts can stand for different marks.
	Marks     int    `cbor:"marks"`
	MarksHash uint64 `cbor:"marksHash"`
	Leaving   bool   `cbor:"leaving,omitempty"`
	// RequestsBody asks the receiver for the body of its revision. It is set towards
	// one peer at a time, so that a body does not arrive from all of them.
	RequestsBody bool `cbor:"wants,omitempty"`
	// Notices tell of hosts that are not peers of the receiver.
	Notices []Notice `cbor:"notices,omitempty"`
}

// Notice says that some peer of a host finds it leaving or silent. Its age
// grows while it travels, so that it ends by itself when it is not renewed.
// It is an array in CBOR, because many have to fit into one datagram.
type Notice struct {
	_               struct{} `cbor:",toarray"`
	Host            model.HostName
	Leaving         bool
	AgeMilliseconds uint32
}

// size returns a bound of the size in CBOR.
func (n Notice) size() int { return len(n.Host) + 9 }

// Revision carries the body of a revision.
type Revision struct {
	Number uint64   `cbor:"number"`
	Digest [32]byte `cbor:"digest"`
	Body   []byte   `cbor:"body"`
}

// LeavingMark says that one incarnation of an endpoint is leaving.
type LeavingMark struct {
	Endpoint    model.EndpointName `cbor:"endpoint"`
	Incarnation string             `cbor:"incarnation"`
}

// LeavingMarks carries leaving marks.
type LeavingMarks struct {
	Marks []LeavingMark `cbor:"marks"`
}

func (Digest) kind() string       { return "digest" }
func (Revision) kind() string     { return "revision" }
func (LeavingMarks) kind() string { return "marks" }

type envelope struct {
	Kind string          `cbor:"kind"`
	Body cbor.RawMessage `cbor:"body"`
}

// encodeFrame returns the CBOR form of a frame.
func encodeFrame(frame Frame) ([]byte, error) {
	body, err := cbor.Marshal(frame)
	if err != nil {
		return nil, fmt.Errorf("encode %s frame: %w", frame.kind(), err)
	}
	data, err := cbor.Marshal(envelope{Kind: frame.kind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode envelope of %s frame: %w", frame.kind(), err)
	}
	return data, nil
}

// decoder decodes frames from outside within bounds.
type decoder struct{ mode cbor.DecMode }

func newDecoder() (decoder, error) {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  6,
		MaxArrayElements: maxMarks,
		MaxMapPairs:      32,
	}.DecMode()
	if err != nil {
		return decoder{}, fmt.Errorf("set up frame decoder: %w", err)
	}
	return decoder{mode: mode}, nil
}

// decode returns the frame that the data holds.
func (d decoder) decode(data []byte) (Frame, error) {
	var outer envelope
	if err := d.mode.Unmarshal(data, &outer); err != nil {
		return nil, fmt.Errorf("decode envelope: %w", err)
	}
	switch outer.Kind {
	case Digest{}.kind():
		return decodeInto[Digest](d, outer.Body, checkDigest)
	case Revision{}.kind():
		return decodeInto[Revision](d, outer.Body, checkRevision)
	case LeavingMarks{}.kind():
		return decodeInto[LeavingMarks](d, outer.Body, checkMarks)
	case LoanRequest{}.kind():
		return decodeInto[LoanRequest](d, outer.Body, checkLoanRequest)
	case LoanGrant{}.kind():
		return decodeInto[LoanGrant](d, outer.Body, checkLoanGrant)
	case LoanReturn{}.kind():
		return decodeInto[LoanReturn](d, outer.Body, checkLoanReturn)
	case Releases{}.kind():
		return decodeInto[Releases](d, outer.Body, checkReleases)
	default:
		return nil, ErrUnknownKind
	}
}

func decodeInto[T Frame](d decoder, data []byte, check func(T) error) (Frame, error) {
	var frame T
	if err := d.mode.Unmarshal(data, &frame); err != nil {
		return nil, fmt.Errorf("decode %s frame: %w", frame.kind(), err)
	}
	if err := check(frame); err != nil {
		return nil, fmt.Errorf("check %s frame: %w", frame.kind(), err)
	}
	return frame, nil
}

func checkDigest(digest Digest) error {
	if digest.Host == "" || len(digest.Host) > maxNameBytes || len(digest.Incarnation) > maxNameBytes {
		return fmt.Errorf("host of %d bytes, incarnation of %d bytes", len(digest.Host), len(digest.Incarnation))
	}
	if digest.Marks < 0 || digest.Marks > maxMarks {
		return fmt.Errorf("%d marks", digest.Marks)
	}
	if len(digest.Notices) > maxNotices {
		return fmt.Errorf("%d notices", len(digest.Notices))
	}
	for _, notice := range digest.Notices {
		if notice.Host == "" || len(notice.Host) > maxNameBytes {
			return fmt.Errorf("notice for a host of %d bytes", len(notice.Host))
		}
	}
	return nil
}

func checkRevision(revision Revision) error {
	if revision.Number == 0 {
		return errors.New("revision 0 has no body")
	}
	return nil
}

func checkMarks(marks LeavingMarks) error {
	for _, mark := range marks.Marks {
		if mark.Endpoint == "" || len(mark.Endpoint) > maxNameBytes || len(mark.Incarnation) > maxNameBytes {
			return fmt.Errorf("endpoint of %d bytes, incarnation of %d bytes", len(mark.Endpoint), len(mark.Incarnation))
		}
	}
	return nil
}
