package relay

import (
	"fmt"
	"sync"

	"filberthold/platform"

	"github.com/klauspost/compress/zstd"
)

const (
	// minPackedBytes is the size from which values are compressed. Smaller ones gain
	// little.
	minPackedBytes = 4 << 10
	// maxPackedValues is the number of compressed values that a packer keeps. There
	// is seldom more than one large value in force.
	maxPackedValues = 4
	// maxValueBytes bounds the size of a decompressed value.
	maxValueBytes = 16 << 20
)

// packedValue is the compressed value of a row of Changes, in transit.
type packedValue struct {
	// Row is the index of the row, whose Value is empty.
	Row int `cbor:"row"`
	// Content is compressed with zstd.
	Content []byte `cbor:"content"`
}

// packer compresses large values once for all hosts that poll them. It is safe for
// concurrent use.
type packer struct {
	mu sync.Mutex
	// values holds the last values that were compressed, the oldest first.
	values []*compressedValue
}

// compressedValue is a value with its compressed content. Rows share the value's
// memory, so that its address and length identify it.
type compressedValue struct {
	value []byte
	once  sync.Once
	// content and err are set by compress.
	content []byte
	err     error
}

// pack replaces the large values of changes by compressed ones. The rows must not be
// shared with another goroutine; their values may be.
func (p *packer) pack(changes *Changes) error {
	for i, row := range changes.Rows {
		if len(row.Value) < minPackedBytes {
			continue
		}
		content, err := p.content(row)
		if err != nil {
			return fmt.Errorf("compress row %s: %w", row.Key, err)
		}
		changes.Packed = append(changes.Packed, packedValue{Row: i, Content: content})
		changes.Rows[i].Value = nil
	}
	return nil
}

// content returns the compressed value of a row.
func (p *packer) content(row platform.Row) ([]byte, error) {
	compressed := p.find(row.Value)
	compressed.once.Do(compressed.compress)
	return compressed.content, compressed.err
}

func (p *packer) find(value []byte) *compressedValue {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.values {
		if len(known.value) == len(value) && &known.value[0] == &value[0] {
			return known
		}
	}
	if len(p.values) == maxPackedValues {
		p.values = p.values[1:]
	}
	added := &compressedValue{value: value}
	p.values = append(p.values, added)
	return added
}

func (v *compressedValue) compress() {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		v.err = fmt.Errorf("make encoder: %w", err)
		return
	}
	v.content = encoder.EncodeAll(v.value, nil)
}

// unpack restores the values that pack compressed.
func (c *Changes) unpack() error {
	if len(c.Packed) == 0 {
		return nil
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxValueBytes))
	if err != nil {
		return fmt.Errorf("make decoder: %w", err)
	}
	defer decoder.Close()
	for _, packed := range c.Packed {
		if packed.Row < 0 || packed.Row >= len(c.Rows) {
			return fmt.Errorf("no row has the index %d of a compressed value", packed.Row)
		}
		value, err := decoder.DecodeAll(packed.Content, nil)
		if err != nil {
			return fmt.Errorf("decompress row %s: %w", c.Rows[packed.Row].Key, err)
		}
		c.Rows[packed.Row].Value = value
	}
	c.Packed = nil
	return nil
}
