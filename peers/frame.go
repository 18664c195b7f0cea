// Package peers connects the entry hosts with each other over QUIC. It
// distributes revisions of the configuration, leaving marks of endpoints and
// loans and releases of slots. It also tracks which hosts are alive, and
// whether the store or a peer confirms the revision that a host has in force.
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
// support. Such frames are ignored, so that hosts of two versions can run
// together.
var ErrUnknownKind = errors.New("unknown kind of frame")

// Frame is a message between entry hosts. It is one of the frame types of this
// package.
type Frame interface{ kind() string }

// Digest is the heartbeat of a host. It reports the host's revision, its
// leaving marks and the state of other hosts. It is sent every second, and at
// once when the host publishes a revision or when it or another host starts to
// leave. It is also sent when a link opens and in response to a digest with
// another revision.
type Digest struct {
	Host        model.HostName `cbor:"host"`
	Incarnation string         `cbor:"incarnation"`
	Revision    uint64         `cbor:"revision"`
	// Marks is the number of leaving marks. MarksHash is the sum of their
	// hashes, because two different sets can have the same size.
	Marks     int    `cbor:"marks"`
	MarksHash uint64 `cbor:"marksHash"`
	Leaving   bool   `cbor:"leaving,omitempty"`
	// RequestsBody requests the body of the receiver's revision. It is set for
	// one peer at a time, so that not all peers send the body.
	RequestsBody bool `cbor:"wants,omitempty"`
	// Notices report leaving and unreachable hosts to receivers that are not
	// peers of these hosts.
	Notices []Notice `cbor:"notices,omitempty"`
}

// Notice reports that a host is leaving, or that one of its peers receives no
// digests from it. Its age grows while hosts forward it, so that it expires if
// the peers of the host do not renew it. It is encoded as a CBOR array, because
// many notices have to fit into one datagram.
type Notice struct {
	_    struct{} `cbor:",toarray"`
	Host model.HostName
	// Leaving is true for a leaving host and false for an unreachable one.
	Leaving bool
	// AgeMilliseconds is the time since a peer of the host observed this state.
	AgeMilliseconds uint32
}

// size returns an upper bound of the encoded size in bytes.
func (n Notice) size() int { return len(n.Host) + 9 }

// Revision carries the body of a revision.
type Revision struct {
	Number uint64   `cbor:"number"`
	Digest [32]byte `cbor:"digest"`
	Body   []byte   `cbor:"body"`
}

// LeavingMark reports that one incarnation of an endpoint is leaving: it gets
// no new requests.
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

// decoder decodes frames of peers and limits their nesting and their size.
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

// decode returns the frame in data.
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
