package audit

import (
	"fmt"
	"strconv"
	"strings"

	"filberthold/model"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// compressionWindow is the size of the zstd window in bytes. The records of a
// segment repeat at short distances, so that a small window is enough.
const compressionWindow = 256 << 10

// SegmentPrefix is the prefix of the names of all segments.
const SegmentPrefix = "audit/"

// SegmentObject is an encoded segment and the name of its object in the store.
type SegmentObject struct {
	Name string
	Body []byte
}

// SegmentName returns the object name of a segment. The number has a fixed
// width, so that the order of names is the order of segments.
func SegmentName(host model.HostName, incarnation string, number uint64) string {
	return fmt.Sprintf("%s%s/%s/%010d", SegmentPrefix, host, incarnation, number)
}

// ParseSegmentName returns the parts of the object name of a segment.
func ParseSegmentName(name string) (host model.HostName, incarnation string, number uint64, err error) {
	parts := strings.Split(strings.TrimPrefix(name, SegmentPrefix), "/")
	if !strings.HasPrefix(name, SegmentPrefix) || len(parts) != 3 {
		return "", "", 0, fmt.Errorf("object %q is not named audit/HOST/INCARNATION/NUMBER", name)
	}
	number, err = strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return "", "", 0, fmt.Errorf("object %q: parse number: %w", name, err)
	}
	return model.HostName(parts[0]), parts[1], number, nil
}

// Chain builds the segments of one incarnation of a host. It is not safe for
// concurrent use.
type Chain struct {
	codec *codec
	// compressor is reused, because a new one allocates several megabytes.
	compressor  *zstd.Encoder
	host        model.HostName
	incarnation string
	// number and previous are the number and the hash of the last segment.
	number   uint64
	previous Hash
}

// NewChain returns an empty chain.
func NewChain(host model.HostName, incarnation string) (*Chain, error) {
	codec, err := newCodec()
	if err != nil {
		return nil, err
	}
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(compressionWindow))
	if err != nil {
		return nil, fmt.Errorf("make compressor: %w", err)
	}
	return &Chain{codec: codec, compressor: compressor, host: host, incarnation: incarnation}, nil
}

// Append builds the next segment of the chain. A final segment ends the chain.
func (c *Chain) Append(records []Record, final bool) (SegmentObject, error) {
	raw := make([]cbor.RawMessage, 0, len(records))
	for _, record := range records {
		encoded, err := c.codec.encodeRecord(record)
		if err != nil {
			return SegmentObject{}, err
		}
		raw = append(raw, encoded)
	}
	return c.appendEncoded(raw, final)
}

// AppendBatch builds the next segment of the chain from a batch.
func (c *Chain) AppendBatch(batch Batch, final bool) (SegmentObject, error) {
	return c.appendEncoded(batch.records, final)
}

func (c *Chain) appendEncoded(records []cbor.RawMessage, final bool) (SegmentObject, error) {
	segment := encodedSegment{
		Host: c.host, Incarnation: c.incarnation, Number: c.number + 1,
		Previous: c.previous[:], Final: final, Records: records,
	}
	body, err := c.codec.encodeSegment(c.compressor, segment)
	if err != nil {
		return SegmentObject{}, err
	}
	c.number++
	c.previous = HashOf(body)
	return SegmentObject{Name: SegmentName(c.host, c.incarnation, c.number), Body: body}, nil
}
