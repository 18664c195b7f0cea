package quota

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

const (
	// entrySize is the size of an entry on the wire: the ID and two counts.
	entrySize = 8
	// MaxEntries is the number of entries of a datagram that no network divides.
	MaxEntries = 150
	// countUnit is the smallest count on the wire. A count is a mantissa of 12 bits with
	// an exponent of 4 bits, so its error is at most 1/4096.
	countUnit    = 1.0 / 64
	mantissaBits = 12
	maxExponent  = 15
)

var errEntries = errors.New("the size of the entries is out of range")

// Encode returns the entries in the format of datagrams. At most MaxEntries are encoded.
func Encode(entries []Entry) []byte {
	entries = entries[:min(len(entries), MaxEntries)]
	content := make([]byte, 0, len(entries)*entrySize)
	for _, entry := range entries {
		content = binary.LittleEndian.AppendUint32(content, uint32(entry.ID))
		content = binary.LittleEndian.AppendUint16(content, encodeCount(entry.Admitted))
		content = binary.LittleEndian.AppendUint16(content, encodeCount(entry.Offered))
	}
	return content
}

// Decode returns the entries of a datagram.
func Decode(content []byte) ([]Entry, error) {
	if len(content)%entrySize != 0 || len(content) > MaxEntries*entrySize {
		return nil, errEntries
	}
	entries := make([]Entry, 0, len(content)/entrySize)
	for ; len(content) > 0; content = content[entrySize:] {
		entry := Entry{
			ID:       ID(binary.LittleEndian.Uint32(content)),
			Admitted: decodeCount(binary.LittleEndian.Uint16(content[4:])),
			Offered:  decodeCount(binary.LittleEndian.Uint16(content[6:])),
		}
		if err := entry.Check(); err != nil {
			return nil, fmt.Errorf("check entry: %w", err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func encodeCount(count float64) uint16 {
	units := max(0, count) / countUnit
	for exponent := range maxExponent + 1 {
		if mantissa := math.Round(units); mantissa < 1<<mantissaBits {
			return uint16(exponent<<mantissaBits) | uint16(mantissa)
		}
		units /= 2
	}
	return math.MaxUint16
}

func decodeCount(encoded uint16) float64 {
	mantissa, exponent := encoded&(1<<mantissaBits-1), encoded>>mantissaBits
	return math.Ldexp(float64(mantissa), int(exponent)) * countUnit
}
