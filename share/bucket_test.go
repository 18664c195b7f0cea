package share_test

import (
	"testing"
	"time"

	"filberthold/model"
	"filberthold/share"

	"gotest.tools/v3/assert"
)

// Guards against exports that use the reserve of reads and submits, reads that wait
// behind exports, and a link share that is exceeded or used far below its rate.
func TestExportsLeaveTheReserve(t *testing.T) {
	const rate, chunkSize = 8_000_000, 4096
	now := time.Unix(0, 0)
	bucket := share.NewBucket(rate, now)
	sent := make(map[model.Class]int)
	delayedReads := 0
	for millisecond := range 10_000 {
		now = now.Add(time.Millisecond)
		for {
			if _, ok := bucket.Take(model.Export, chunkSize, now); !ok {
				break
			}
			sent[model.Export] += chunkSize
		}
		// Reads use a tenth of the rate, and in the second half more than the
		// reserve.
		if millisecond%20 != 0 || (millisecond < 5000 && millisecond%40 != 0) {
			continue
		}
		for range 1 + millisecond/5000 {
			if _, ok := bucket.Take(model.Read, chunkSize, now); !ok {
				delayedReads++
				continue
			}
			sent[model.Read] += chunkSize
		}
	}
	assert.Equal(t, delayedReads, 0)
	total := sent[model.Export] + sent[model.Read]
	assert.Assert(t, total <= rate/8*10+rate/8/10+2*chunkSize && total >= rate/8*17/2, "sent %d", total)
	assert.Assert(t, sent[model.Export] <= rate/8*10*71/100, "exports sent %d", sent[model.Export])
}
