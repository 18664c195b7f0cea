package share

import (
	"time"

	"filberthold/model"
)

const (
	// reservedPercent of a link share is left to short work.
	reservedPercent = 30
	// bucketTime is the time in which a bucket fills. It bounds the burst that
	// delays short work behind an export to 100 ms of the share.
	bucketTime = 100 * time.Millisecond
)

// Bucket paces one host's part of a link, in one direction. Exports use up to
// 70% of it; reads and submits use all of it. It is not safe for concurrent
// use.
type Bucket struct {
	bytesPerSecond float64
	// all holds the bytes that any work may send, exports those that exports
	// may send. Either may fall below zero by one piece, so that a piece larger
	// than the bucket passes.
	all       float64
	exports   float64
	updatedAt time.Time
}

// NewBucket returns a full bucket for a part of a link.
func NewBucket(bitsPerSecond int64, now time.Time) *Bucket {
	bucket := &Bucket{bytesPerSecond: float64(bitsPerSecond) / 8, updatedAt: now}
	bucket.all, bucket.exports = bucket.capacity(), bucket.exportPart(bucket.capacity())
	return bucket
}

// SetRate changes the part of the link, for example with a revision.
func (b *Bucket) SetRate(bitsPerSecond int64, now time.Time) {
	b.fill(now)
	b.bytesPerSecond = float64(bitsPerSecond) / 8
}

// Take takes the bytes of one piece of a body. If there is no room it takes
// nothing and returns how long to wait before the next try.
func (b *Bucket) Take(class model.Class, bytes int, now time.Time) (time.Duration, bool) {
	b.fill(now)
	if class != model.Export {
		if b.all <= 0 {
			return b.timeFor(-b.all, b.bytesPerSecond), false
		}
		b.all -= float64(bytes)
		return 0, true
	}
	// While short work uses its reserve, exports leave the rest of the bucket.
	reserve := b.capacity() - b.exportPart(b.capacity())
	if b.exports <= 0 || b.all <= reserve {
		return max(b.timeFor(-b.exports, b.exportPart(b.bytesPerSecond)), b.timeFor(reserve-b.all, b.bytesPerSecond)), false
	}
	b.all -= float64(bytes)
	b.exports -= float64(bytes)
	return 0, true
}

func (b *Bucket) fill(now time.Time) {
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.all = min(b.all+elapsed*b.bytesPerSecond, b.capacity())
	b.exports = min(b.exports+elapsed*b.exportPart(b.bytesPerSecond), b.exportPart(b.capacity()))
}

func (b *Bucket) capacity() float64 { return b.bytesPerSecond * bucketTime.Seconds() }

func (b *Bucket) exportPart(total float64) float64 { return total * (100 - reservedPercent) / 100 }

// timeFor returns the time for missing bytes, and a little more, so that the
// next try does not fail by rounding.
func (b *Bucket) timeFor(missing, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return bucketTime
	}
	return time.Duration(max(0, missing)/bytesPerSecond*float64(time.Second)) + time.Millisecond
}
