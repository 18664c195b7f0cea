package upstrm

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countingConn counts the bytes that reach the network.
type countingConn struct {
	net.Conn
	bytes int
}

func (c *countingConn) Write(data []byte) (int, error) {
	c.bytes += len(data)
	return len(data), nil
}

// Guards against the report that nothing was written while a goroutine of net/http
// may still write: after an error, and after a response that was on the connection before
// the request.
func TestNothingIsWrittenAfterWroteNothing(t *testing.T) {
	for name, check := range map[string]func(*attempt) bool{"error": (*attempt).wroteNothing, "response": (*attempt).isUnwritten} {
		t.Run(name, func(t *testing.T) {
			for range 2000 {
				inner := &countingConn{}
				owner := newAttempt(time.Now().Add(time.Hour), time.Hour)
				chosen := &connection{Conn: inner}
				owner.use(chosen)
				var writer sync.WaitGroup
				writer.Go(func() { _, _ = chosen.Write([]byte("request")) })
				nothing := check(owner)
				writer.Wait()
				assert.Equal(t, nothing, inner.bytes == 0)
			}
		})
	}
}
