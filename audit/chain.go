package audit

import (
	"fmt"
	"strconv"
	"strings"

	"filberthold/model"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// compressionWindow is enough for the records of a segment, which repeat each
// other at short distances.
const compressionWindow = 256 << 10

// SegmentPrefix is the prefix of the names of all segments.
const SegmentPrefix = "audit/"

// SegmentObject is a segment as it lies in the object store.
type SegmentObject struct {
	Name string
	Body []byte
}

// SegmentName returns the object name of a segment. The number has a fixed width, so
// that the order of names is the order of segments.
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

// Chain makes the segments of one incarnation of a host. It is not safe for
// concurrent use.
type Chain struct {
	codec *codec
	// compressor is kept, because making one allocates several megabytes.
	compressor  *zstd.Encoder
	host        model.HostName
	incarnation string
	// number and previous belong to the last segment that was made.
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

// Append makes the next segment of the chain. A final segment ends it.
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

// AppendBatch makes the next segment of the chain from a batch.
func (c *Chain) AppendBatch(batch Batch, final bool) (SegmentObject, error) {
	return c.appendEncoded(batch.records, final)
}

func (c *Chain) appendEncoded(records []cbor.RawMessage, final bool) (SegmentObject, error) {
	segment := storedSegment{
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
