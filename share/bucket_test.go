package share_test

import (
	"testing"
	"time"

	"filberthold/model"
	"filberthold/share"

	"gotest.tools/v3/assert"
)

// Guards against exports that use the reserve of short work, short work that
// waits behind exports, and a link that is used beyond its rate or far below.
func TestExportsLeaveTheReserve(t *testing.T) {
	const rate, piece = 8_000_000, 4096
	now := time.Unix(0, 0)
	bucket := share.NewBucket(rate, now)
	sent := make(map[model.Class]int)
	waits := 0
	for millisecond := range 10_000 {
		now = now.Add(time.Millisecond)
		for {
			if _, ok := bucket.Take(model.Export, piece, now); !ok {
				break
			}
			sent[model.Export] += piece
		}
		// A tenth of the rate, and in the second half more than the reserve.
		if millisecond%20 != 0 || (millisecond < 5000 && millisecond%40 != 0) {
			continue
		}
		for range 1 + millisecond/5000 {
			if _, ok := bucket.Take(model.Read, piece, now); !ok {
				waits++
				continue
			}
			sent[model.Read] += piece
		}
	}
	assert.Equal(t, waits, 0)
	total := sent[model.Export] + sent[model.Read]
	assert.Assert(t, total <= rate/8*10+rate/8/10+2*piece && total >= rate/8*17/2, "sent %d", total)
	assert.Assert(t, sent[model.Export] <= rate/8*10*71/100, "exports sent %d", sent[model.Export])
}
