package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/fakes"
	"filberthold/platform"

	"gotest.tools/v3/assert"
)

// smallLink is the bandwidth of a host's link in bytes per second.
const smallLink = 10_000_000 / 8

// serveOver serves polls over a link until the test ends.
func serveOver(t *testing.T, link *fakes.Link, handler http.Handler) {
	t.Helper()
	server := &http.Server{Handler: handler}
	done := make(chan error, 1)
	go func() { done <- server.Serve(link) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		assert.ErrorIs(t, <-done, http.ErrServerClosed)
	})
}

// incompressible returns pseudo-random bytes, the same on each call.
func incompressible(count int) []byte {
	random := rand.NewChaCha8([32]byte{})
	content := make([]byte, count)
	_, _ = random.Read(content)
	return content
}

// Guards against a poll that is ended while its response arrives, and sent again
// from its start: the host then never has the rows.
func TestPollEndsOnlyIfItsResponseStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		operator, endpoints := NewCache(), NewCache()
		// The response takes 1.6 s.
		value := incompressible(2_000_000)
		operator.Put(platform.Row{Key: "config", Value: value, Version: at(1)}, true)
		link := fakes.NewLink(smallLink)
		serveOver(t, link, NewHandler(slog.New(slog.DiscardHandler), operator, endpoints, noRemovals, 100*time.Millisecond))
		update, err := NewClientOver(100*time.Millisecond, link.DialContext).Poll(context.Background(), "reader:1", platform.Version{}, platform.Version{})
		assert.NilError(t, err)
		assert.Equal(t, len(update.Operator.Rows[0].Value), len(value))
		// The rows are as old as their transfer took.
		assert.Assert(t, time.Since(update.ReceivedAt) >= 1500*time.Millisecond)
	})
}
