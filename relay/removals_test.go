package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/roster"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// maxRemovalBytes is the most that a removal may add to the rows that a host gets when it
// starts. An entry takes about four times as much.
const maxRemovalBytes = 64

// Guards against removals that hosts do not get when they start, and against ones that are
// sent with each poll: at several hundred hosts they would be most of what is sent.
func TestRemovalsAreSentToHostsThatStart(t *testing.T) {
	const endpoints, count = 720, 200
	var removals []roster.Removal
	for i := range count {
		removals = append(removals, roster.Removal{
			Endpoint: model.EndpointName(fmt.Sprintf("i-%010x", i)), Incarnation: 1_790_000_000_000, Sequence: 100_000, Age: time.Minute,
		})
	}
	cache := NewCache()
	for i := range endpoints {
		cache.Put(platform.Row{Key: fmt.Sprintf("i-%010x", count+i), Value: make([]byte, 200), Version: at(1)}, true)
	}
	cache.Confirm(at(1), time.Now())
	handler := NewHandler(slog.New(slog.DiscardHandler), NewCache(), cache, func() []roster.Removal { return removals }, time.Millisecond)
	server := httptest.NewServer(handler)
	defer server.Close()
	poll := func(after platform.Version) Update {
		update, err := NewClient(time.Millisecond).Poll(context.Background(), strings.TrimPrefix(server.URL, "http://"), after, after)
		assert.NilError(t, err)
		return update
	}
	assert.DeepEqual(t, poll(platform.Version{}).Removals, removals)
	content, err := cbor.Marshal(removals)
	assert.NilError(t, err)
	t.Log("bytes of rows and removals:", handler.SentBytes(), "of removals:", len(content))
	assert.Equal(t, len(poll(at(1)).Removals), 0)
	assert.Assert(t, len(content) <= count*maxRemovalBytes, "%d bytes", len(content))
}
