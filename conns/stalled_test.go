package conns

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"filberthold/memory"

	"gotest.tools/v3/assert"
)

// Guards against a request that ends at its deadline and is taken for one whose connection
// broke: its endpoint, which does not read, then counts as unreachable instead of silent.
func TestDeadlineWhileSendingIsATimeout(t *testing.T) {
	const rounds = 20
	body := make([]byte, 8<<20)
	for name, prepare := range map[string]func(request *Request){
		"body in memory": func(request *Request) {
			request.Header = http.Header{"X": {strings.Repeat("x", 48<<10)}}
			request.Body = make([]byte, 64<<10)
		},
		"streamed body": func(request *Request) {
			request.Body, request.Stream, request.Length = nil, bytes.NewReader(body), int64(len(body))
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := netip.MustParseAddrPort(listenSlowly(t).Addr().String())
			broken, unsent := 0, 0
			for round := 0; round < rounds; round++ {
				request := slowRequest(20 * time.Millisecond)
				prepare(&request)
				_, err := NewPool(memory.NewLimit(16<<20)).Exchange(context.Background(), target, request)
				// On a busy machine the deadline may pass before the first byte is written.
				var notSent *NotSentError
				if errors.As(err, &notSent) && unsent < rounds {
					unsent++
					round--
					continue
				}
				var incomplete *IncompleteError
				assert.Assert(t, errors.As(err, &incomplete), "%v", err)
				if !incomplete.IsTimeout() {
					broken++
					t.Log(err)
				}
			}
			assert.Equal(t, broken, 0, "requests of %d count as broken connections", rounds)
		})
	}
}
