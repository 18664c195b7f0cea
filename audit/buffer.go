package audit

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"filberthold/model"
	"filberthold/place"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MemoryLimit bounds the memory for records that are not yet stored, in
	// bytes.
	MemoryLimit = 16 << 20
	// submitReservation is the memory for the records of one submit: admission,
	// one wait, three attempts and their ends, and the outcome, each of the
	// largest size.
	submitReservation = 9 * (maxRecordBytes + itemOverhead)
	// itemOverhead is the memory of an item besides its encoded record, and of
	// a gap that may follow it: two items of 40 bytes in a slice of twice the
	// length that is in use, and the 80 bytes of a gap, rounded up.
	itemOverhead = 256
	// evictionDivisor divides the limit: an eviction aims to free 1/64 of the
	// limit more than is needed, so that the scan for records to drop is rare.
	evictionDivisor = 64
)

// ErrFull is returned if there is no memory for the records of a submit.
var ErrFull = errors.New("no room for audit records")

// Buffer holds records until they are stored. When it is full, it drops
// records of reads, then of exports, and leaves gap records in their place.
// It is not safe for concurrent use.
type Buffer struct {
	codec *codec
	limit int
	// used is the sum of the sizes of all items, of the reservations and of
	// the segment that is being stored. It is at most limit.
	used int
	// items are in the order of their record numbers and cover all numbers.
	items []item
	// number is the number of the record that was added last.
	number uint64
	// reserved holds the unused bytes of the reservation of each admitted
	// submit.
	reserved map[place.RequestID]int
	// itemBytes is the part of used that belongs to items. bytesByPriority
	// contains the bytes of the items of each drop priority.
	itemBytes       int
	bytesByPriority [otherPriority + 1]int
	// dropped counts the records that were dropped.
	dropped uint64
	// storingBytes is the part of used that belongs to the segment being
	// stored.
	storingBytes int
}

// item is an encoded record, or a gap that represents dropped records.
type item struct {
	raw      cbor.RawMessage
	priority dropPriority
	// gap is set if the item represents dropped records.
	gap *gap
}

// gap represents consecutive records that were dropped.
type gap struct {
	// number and at belong to the last dropped record.
	number  uint64
	at      time.Time
	dropped Dropped
}

func (g gap) record() Record {
	return Record{Number: g.number, At: g.at, Kind: Gap, Reason: "memory for records is full", Dropped: &g.dropped}
}

// dropPriority orders records by importance; records of lower priority are
// dropped first.
type dropPriority int

const (
	readPriority dropPriority = iota
	exportPriority
	otherPriority
)

func dropPriorityOf(record Record) dropPriority {
	switch record.Class {
	case model.Read.String():
		return readPriority
	case model.Export.String():
		return exportPriority
	}
	return otherPriority
}

// size returns the memory of an item in bytes. It is 0 for a gap, whose memory
// is part of the overhead of the item before it.
func (i item) size() int {
	if i.gap != nil {
		return 0
	}
	return len(i.raw) + itemOverhead
}

// NewBuffer returns a buffer that uses at most limit bytes.
func NewBuffer(limit int) (*Buffer, error) {
	codec, err := newCodec()
	if err != nil {
		return nil, err
	}
	return &Buffer{codec: codec, limit: limit, reserved: make(map[place.RequestID]int)}, nil
}

// Reserve reserves memory for the records of a submit, or returns ErrFull. It
// does nothing if the submit already has a reservation.
func (b *Buffer) Reserve(request place.RequestID) error {
	if _, exists := b.reserved[request]; exists {
		return nil
	}
	if !b.makeRoom(submitReservation, otherPriority) {
		return fmt.Errorf("reserve room for request %s: %w", request, ErrFull)
	}
	b.used += submitReservation
	b.reserved[request] = submitReservation
	return nil
}

// Release frees the unused part of a reservation.
func (b *Buffer) Release(request place.RequestID) {
	b.used -= b.reserved[request]
	delete(b.reserved, request)
}

// Add assigns the next number to a record and keeps the record, or counts it as
// dropped if the buffer is full or the record cannot be encoded.
func (b *Buffer) Add(record Record) error {
	b.number++
	record.Number = b.number
	raw, err := b.codec.encodeRecord(record)
	if err != nil {
		b.addGap(record)
		return err
	}
	added := item{raw: raw, priority: dropPriorityOf(record)}
	if b.reserved[record.Request] >= added.size() {
		b.reserved[record.Request] -= added.size()
		b.used -= added.size()
	} else if !b.makeRoom(added.size(), added.priority) {
		b.addGap(record)
		return nil
	}
	b.used += added.size()
	b.itemBytes += added.size()
	b.bytesByPriority[added.priority] += added.size()
	b.items = append(b.items, added)
	return nil
}

// UnstoredBytes returns the number of bytes of the records that wait for a
// segment.
func (b *Buffer) UnstoredBytes() int { return b.itemBytes }

// Dropped returns how many records were dropped since the start.
func (b *Buffer) Dropped() uint64 { return b.dropped }

// UsedBytes returns the memory in use, with all reservations.
func (b *Buffer) UsedBytes() int { return b.used }

// makeRoom drops records of lower priority until size bytes are free, and reports
// whether it succeeded. If all records of lower priority together are not enough,
// it drops nothing and does not scan the records.
func (b *Buffer) makeRoom(size int, below dropPriority) bool {
	free := b.limit - b.used
	for lower := readPriority; lower < below; lower++ {
		free += b.bytesByPriority[lower]
	}
	if free < size {
		return false
	}
	for lower := readPriority; lower < below && b.used+size > b.limit; lower++ {
		b.evict(lower, b.used+size-b.limit+b.limit/evictionDivisor)
	}
	return b.used+size <= b.limit
}

// evict drops the oldest records of a priority until it has freed size bytes.
func (b *Buffer) evict(evicted dropPriority, size int) {
	freed := 0
	kept := make([]item, 0, len(b.items))
	for _, current := range b.items {
		if current.gap == nil && current.priority == evicted && freed < size {
			var record Record
			if err := b.codec.decoding.Unmarshal(current.raw, &record); err == nil {
				freed += current.size()
				b.dropped++
				kept = withGap(kept, gapOf(record))
				continue
			}
		}
		if current.gap != nil {
			kept = withGap(kept, *current.gap)
			continue
		}
		kept = append(kept, current)
	}
	b.items = kept
	b.used -= freed
	b.itemBytes -= freed
	b.bytesByPriority[evicted] -= freed
}

func (b *Buffer) addGap(record Record) {
	b.dropped++
	b.items = withGap(b.items, gapOf(record))
}

// withGap appends a gap, or merges it with a gap at the end of items.
func withGap(items []item, added gap) []item {
	if len(items) == 0 || items[len(items)-1].gap == nil {
		return append(items, item{gap: &added})
	}
	last := items[len(items)-1].gap
	last.dropped.Reads += added.dropped.Reads
	last.dropped.Exports += added.dropped.Exports
	last.dropped.Others += added.dropped.Others
	last.number, last.at = added.number, added.at
	return items
}

func gapOf(record Record) gap {
	dropped := Dropped{Since: record.At.Round(0).UTC()}
	switch dropPriorityOf(record) {
	case readPriority:
		dropped.Reads = 1
	case exportPriority:
		dropped.Exports = 1
	case otherPriority:
		dropped.Others = 1
	}
	return gap{number: record.Number, at: record.At, dropped: dropped}
}

// Batch holds the records of one segment.
type Batch struct {
	records []cbor.RawMessage
	// IsLast is true if no records are left in the buffer.
	IsLast bool
}

// Len returns the number of records in the batch.
func (b Batch) Len() int { return len(b.records) }

// TakeBatch removes up to size bytes of the oldest records, but at least one
// record. Their memory counts as used until FreeStored is called.
func (b *Buffer) TakeBatch(size int) (Batch, error) {
	count, taken := 0, 0
	for count < len(b.items) && (count == 0 || taken+b.items[count].size() <= size) {
		taken += b.items[count].size()
		count++
	}
	records := make([]cbor.RawMessage, 0, count)
	for _, current := range b.items[:count] {
		b.bytesByPriority[current.priority] -= current.size()
		if current.gap == nil {
			records = append(records, current.raw)
			continue
		}
		encoded, err := b.codec.encodeRecord(current.gap.record())
		if err != nil {
			return Batch{}, err
		}
		records = append(records, encoded)
	}
	b.items = slices.Delete(b.items, 0, count)
	b.itemBytes -= taken
	b.storingBytes += taken
	return Batch{records: records, IsLast: len(b.items) == 0}, nil
}

// FreeStored frees the memory of the batches that were taken. It is called
// after they were stored.
func (b *Buffer) FreeStored() {
	b.used -= b.storingBytes
	b.storingBytes = 0
}

// ItemCount returns the number of records and gaps in the buffer.
func (b *Buffer) ItemCount() int { return len(b.items) }
