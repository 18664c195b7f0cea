package entry

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkArchive records submits with one attempt each, stores their segments
// and reports the stored bytes for each request.
func BenchmarkArchive(b *testing.B) {
	store := &memoryStore{objects: make(map[string][]byte)}
	archive, err := NewArchive(slog.New(slog.NewTextHandler(io.Discard, nil)), store, "plzen-a-1", "run-1")
	assert.NilError(b, err)
	a := &runningArchive{Archive: archive, store: store}
	requests := 0
	for b.Loop() {
		requests++
		assert.NilError(b, a.recordRequest("filing-desk", fmt.Sprintf("01M8ZTV78Q3MST5G6W%08d", requests)))
		if requests%200 == 0 {
			archive.storeBuffered()
		}
	}
	archive.storeBuffered()
	stored := 0
	for _, body := range store.objects {
		stored += len(body)
	}
	b.ReportMetric(float64(stored)/float64(requests), "storedB/request")
}
