package audit

import (
	"crypto/sha256"
	"fmt"
	"time"

	"filberthold/model"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// maxSegmentBytes bounds the memory that decoding a segment may take.
const maxSegmentBytes = 64 << 20

// Hash is the SHA-256 of a stored segment.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal digits.
func (h Hash) String() string { return fmt.Sprintf("%x", h[:]) }

// Segment is a part of the chain of one incarnation of a host.
type Segment struct {
	Host        model.HostName
	Incarnation string
	// Number counts the segments of the incarnation from 1.
	Number uint64
	// Previous is the hash of the preceding segment, zero for the first one.
	Previous Hash
	// Final is true for the last segment of a graceful shutdown.
	Final   bool
	Records []Record
}

// encodedSegment is the CBOR form of a segment.
type encodedSegment struct {
	Host        model.HostName    `cbor:"host"`
	Incarnation string            `cbor:"incarnation"`
	Number      uint64            `cbor:"number"`
	Previous    []byte            `cbor:"previous"`
	Final       bool              `cbor:"final"`
	Records     []cbor.RawMessage `cbor:"records"`
}

// HashOf returns the hash of a stored segment.
func HashOf(body []byte) Hash { return sha256.Sum256(body) }

// codec encodes and decodes records and segments.
type codec struct {
	encoding cbor.EncMode
	decoding cbor.DecMode
}

func newCodec() (*codec, error) {
	encodeOptions := cbor.CoreDetEncOptions()
	encodeOptions.Time = cbor.TimeRFC3339NanoUTC
	encoding, err := encodeOptions.EncMode()
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	decoding, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 20,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	return &codec{encoding: encoding, decoding: decoding}, nil
}

func (c *codec) encodeRecord(record Record) (cbor.RawMessage, error) {
	raw, err := c.encoding.Marshal(record.clipped())
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return raw, nil
}

func (c *codec) encodeSegment(compressor *zstd.Encoder, segment encodedSegment) ([]byte, error) {
	plain, err := c.encoding.Marshal(segment)
	if err != nil {
		return nil, fmt.Errorf("encode segment: %w", err)
	}
	return compressor.EncodeAll(plain, nil), nil
}

// DecodeSegment decodes a stored segment.
func DecodeSegment(body []byte) (Segment, error) {
	codec, err := newCodec()
	if err != nil {
		return Segment{}, err
	}
	return codec.decodeSegment(body)
}

func (c *codec) decodeSegment(body []byte) (Segment, error) {
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSegmentBytes))
	if err != nil {
		return Segment{}, fmt.Errorf("make decompressor: %w", err)
	}
	defer decompressor.Close()
	plain, err := decompressor.DecodeAll(body, nil)
	if err != nil {
		return Segment{}, fmt.Errorf("decompress segment: %w", err)
	}
	var stored encodedSegment
	if err := c.decoding.Unmarshal(plain, &stored); err != nil {
		return Segment{}, fmt.Errorf("decode segment: %w", err)
	}
	if len(stored.Previous) != sha256.Size {
		return Segment{}, fmt.Errorf("decode segment: hash of %d bytes", len(stored.Previous))
	}
	segment := Segment{
		Host: stored.Host, Incarnation: stored.Incarnation, Number: stored.Number,
		Previous: Hash(stored.Previous), Final: stored.Final,
	}
	for i, raw := range stored.Records {
		var record Record
		if err := c.decoding.Unmarshal(raw, &record); err != nil {
			return Segment{}, fmt.Errorf("decode record %d of segment: %w", i+1, err)
		}
		if record.Dropped != nil && record.Dropped.Total() > record.Number {
			return Segment{}, fmt.Errorf("decode record %d of segment: more dropped records than numbers", i+1)
		}
		record.At, record.Deadline = inUTC(record.At), inUTC(record.Deadline)
		record.Host, record.Incarnation = stored.Host, stored.Incarnation
		segment.Records = append(segment.Records, record)
	}
	return segment, nil
}

func inUTC(at time.Time) time.Time {
	if at.IsZero() {
		return time.Time{}
	}
	return at.UTC()
}
