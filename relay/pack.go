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

// packedValue is the compressed value of a row of Changes.
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
	// packed holds compressed values, the oldest first.
	packed []*packing
}

// packing is the compression of one value. Rows share the value's memory, so that its
// address and length identify it.
type packing struct {
	value   []byte
	once    sync.Once
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
	packing := p.find(row.Value)
	packing.once.Do(packing.compress)
	return packing.content, packing.err
}

func (p *packer) find(value []byte) *packing {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.packed {
		if len(known.value) == len(value) && &known.value[0] == &value[0] {
			return known
		}
	}
	if len(p.packed) == maxPackedValues {
		p.packed = p.packed[1:]
	}
	added := &packing{value: value}
	p.packed = append(p.packed, added)
	return added
}

func (p *packing) compress() {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		p.err = fmt.Errorf("make encoder: %w", err)
		return
	}
	p.content = encoder.EncodeAll(p.value, nil)
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
