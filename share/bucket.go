package share

import (
	"time"

	"filberthold/model"
)

const (
	// reservedPercent is the part of a link share that exports do not use. It is
	// reserved for reads and submits.
	reservedPercent = 30
	// fillTime is the time in which an empty bucket fills. It limits the burst of
	// an export, which delays reads and submits, to 100 ms of the share.
	fillTime = 100 * time.Millisecond
)

// Bucket is a token bucket that limits the use of one host's share of a link, in
// one direction. Exports may use up to 70% of the share, reads and submits all of
// it. It is not safe for concurrent use.
type Bucket struct {
	bytesPerSecond float64
	// allBytes is the number of bytes that may be sent, exportBytes the number that
	// exports may send. Either may fall below zero by one chunk, so a chunk that is
	// larger than the bucket can be sent.
	allBytes    float64
	exportBytes float64
	updatedAt   time.Time
}

// NewBucket returns a full bucket for a share of a link.
func NewBucket(bitsPerSecond int64, now time.Time) *Bucket {
	bucket := &Bucket{bytesPerSecond: float64(bitsPerSecond) / 8, updatedAt: now}
	bucket.allBytes, bucket.exportBytes = bucket.capacity(), bucket.exportPart(bucket.capacity())
	return bucket
}

// SetRate changes the share of the link, for example after a new revision.
func (b *Bucket) SetRate(bitsPerSecond int64, now time.Time) {
	b.refill(now)
	b.bytesPerSecond = float64(bitsPerSecond) / 8
}

// Take takes the bytes of one chunk of a body. If the bucket has too few bytes, it
// takes none, reports false and returns how long to wait before the next call.
func (b *Bucket) Take(class model.Class, size int, now time.Time) (time.Duration, bool) {
	b.refill(now)
	if class != model.Export {
		if b.allBytes <= 0 {
			return b.waitTime(-b.allBytes, b.bytesPerSecond), false
		}
		b.allBytes -= float64(size)
		return 0, true
	}
	// While reads and submits use their reserve, exports wait.
	reserve := b.capacity() - b.exportPart(b.capacity())
	if b.exportBytes <= 0 || b.allBytes <= reserve {
		return max(b.waitTime(-b.exportBytes, b.exportPart(b.bytesPerSecond)), b.waitTime(reserve-b.allBytes, b.bytesPerSecond)), false
	}
	b.allBytes -= float64(size)
	b.exportBytes -= float64(size)
	return 0, true
}

// refill adds the bytes for the time since the last call.
func (b *Bucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.allBytes = min(b.allBytes+elapsed*b.bytesPerSecond, b.capacity())
	b.exportBytes = min(b.exportBytes+elapsed*b.exportPart(b.bytesPerSecond), b.exportPart(b.capacity()))
}

// capacity returns the size of the bucket in bytes.
func (b *Bucket) capacity() float64 { return b.bytesPerSecond * fillTime.Seconds() }

// exportPart returns the part of total that exports may use.
func (b *Bucket) exportPart(total float64) float64 { return total * (100 - reservedPercent) / 100 }

// waitTime returns the time until missing bytes have been added to the bucket, plus
// 1 ms, so the next call does not fail because of rounding.
func (b *Bucket) waitTime(missing, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return fillTime
	}
	return time.Duration(max(0, missing)/bytesPerSecond*float64(time.Second)) + time.Millisecond
}
