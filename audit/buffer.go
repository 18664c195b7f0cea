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
	// MemoryLimit bounds the memory for records that are not yet stored.
	MemoryLimit = 16 << 20
	// submitReservation is room for the records of one submit: admission, one
	// wait, three attempts and their ends, and the outcome, at their largest.
	submitReservation = 9 * (maxRecordBytes + itemOverhead)
	// itemOverhead is the memory of an item besides its encoded record, and of
	// a gap that may follow it: two items of 40 bytes in a slice that has grown
	// to twice its use, and the 80 bytes of a gap, rounded up.
	itemOverhead = 256
	// evictionShare is the part of the limit that is freed at once, so that
	// the scan for records to drop is rare.
	evictionShare = 64
)

// ErrFull is returned when there is no room for the records of a submit.
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
	// items are in the order of their record numbers, without holes.
	items  []item
	number uint64
	// reserved holds the room that is left for each admitted submit.
	reserved map[place.RequestID]int
	// held is the part of used that belongs to items; heldOf divides it by
	// rank.
	held   int
	heldOf [otherRank + 1]int
	// dropped counts the records that were dropped.
	dropped uint64
	// storing is the part of used that belongs to the segment being stored.
	storing int
}

// item is an encoded record or stands for dropped ones.
type item struct {
	raw  cbor.RawMessage
	rank rank
	// gap is set if the item stands for dropped records.
	gap *gap
}

// gap stands for neighbouring records that were dropped.
type gap struct {
	// number and at belong to the last dropped record.
	number  uint64
	at      time.Time
	dropped Dropped
}

func (g gap) record() Record {
	return Record{Number: g.number, At: g.at, Kind: Gap, Reason: "memory for records is full", Dropped: &g.dropped}
}

// rank orders records by their importance; lower ranks are dropped first.
type rank int

const (
	readRank rank = iota
	exportRank
	otherRank
)

func rankOf(record Record) rank {
	switch record.Class {
	case model.Read.String():
		return readRank
	case model.Export.String():
		return exportRank
	}
	return otherRank
}

// size returns the memory that is counted for an item. A gap counts nothing,
// because the item before it has counted it.
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

// Reserve keeps room for the records of a submit, or returns ErrFull. It does
// nothing if there is a reservation.
func (b *Buffer) Reserve(request place.RequestID) error {
	if _, exists := b.reserved[request]; exists {
		return nil
	}
	if !b.makeRoom(submitReservation, otherRank) {
		return fmt.Errorf("reserve room for request %s: %w", request, ErrFull)
	}
	b.used += submitReservation
	b.reserved[request] = submitReservation
	return nil
}

// Release gives back what is left of a reservation.
func (b *Buffer) Release(request place.RequestID) {
	b.used -= b.reserved[request]
	delete(b.reserved, request)
}

// Add numbers a record and keeps it, or counts it as dropped.
func (b *Buffer) Add(record Record) error {
	b.number++
	record.Number = b.number
	raw, err := b.codec.encodeRecord(record)
	if err != nil {
		b.addGap(record)
		return err
	}
	added := item{raw: raw, rank: rankOf(record)}
	if b.reserved[record.Request] >= added.size() {
		b.reserved[record.Request] -= added.size()
		b.used -= added.size()
	} else if !b.makeRoom(added.size(), added.rank) {
		b.addGap(record)
		return nil
	}
	b.used += added.size()
	b.held += added.size()
	b.heldOf[added.rank] += added.size()
	b.items = append(b.items, added)
	return nil
}

// UnstoredBytes returns the number of bytes of the records that wait for a segment.
func (b *Buffer) UnstoredBytes() int { return b.held }

// Dropped returns how many records were dropped since the start.
func (b *Buffer) Dropped() uint64 { return b.dropped }

// UsedBytes returns the memory in use, with all reservations.
func (b *Buffer) UsedBytes() int { return b.used }

// makeRoom drops records of lower ranks until size bytes are free, and
// reports whether there is that much room. It drops nothing, and does not scan
// the records, if that would not be enough.
func (b *Buffer) makeRoom(size int, below rank) bool {
	free := b.limit - b.used
	for dropped := readRank; dropped < below; dropped++ {
		free += b.heldOf[dropped]
	}
	if free < size {
		return false
	}
	for dropped := readRank; dropped < below && b.used+size > b.limit; dropped++ {
		b.evict(dropped, b.used+size-b.limit+b.limit/evictionShare)
	}
	return b.used+size <= b.limit
}

// evict drops the oldest records of a rank until it has freed size bytes.
func (b *Buffer) evict(dropped rank, size int) {
	freed := 0
	kept := make([]item, 0, len(b.items))
	for _, held := range b.items {
		if held.gap == nil && held.rank == dropped && freed < size {
			var record Record
			if err := b.codec.decoding.Unmarshal(held.raw, &record); err == nil {
				freed += held.size()
				b.dropped++
				kept = withGap(kept, gapOf(record))
				continue
			}
		}
		if held.gap != nil {
			kept = withGap(kept, *held.gap)
			continue
		}
		kept = append(kept, held)
	}
	b.items = kept
	b.used -= freed
	b.held -= freed
	b.heldOf[dropped] -= freed
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
	switch rankOf(record) {
	case readRank:
		dropped.Reads = 1
	case exportRank:
		dropped.Exports = 1
	case otherRank:
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

// TakeBatch removes up to size bytes of the oldest records, at least one. Their
// room stays in use until FreeStored is called.
func (b *Buffer) TakeBatch(size int) (Batch, error) {
	count, taken := 0, 0
	for count < len(b.items) && (count == 0 || taken+b.items[count].size() <= size) {
		taken += b.items[count].size()
		count++
	}
	records := make([]cbor.RawMessage, 0, count)
	for _, held := range b.items[:count] {
		b.heldOf[held.rank] -= held.size()
		if held.gap == nil {
			records = append(records, held.raw)
			continue
		}
		encoded, err := b.codec.encodeRecord(held.gap.record())
		if err != nil {
			return Batch{}, err
		}
		records = append(records, encoded)
	}
	b.items = slices.Delete(b.items, 0, count)
	b.held -= taken
	b.storing += taken
	return Batch{records: records, IsLast: len(b.items) == 0}, nil
}

// FreeStored frees the room of the sealed records.
func (b *Buffer) FreeStored() {
	b.used -= b.storing
	b.storing = 0
}

// ItemCount returns how many records are held or counted as dropped.
func (b *Buffer) ItemCount() int { return len(b.items) }
