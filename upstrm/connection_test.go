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
// may still write.
func TestNothingIsWrittenAfterWroteNothing(t *testing.T) {
	for range 2000 {
		inner := &countingConn{}
		owner := &attempt{deadline: time.Now().Add(time.Hour)}
		chosen := &connection{Conn: inner, attempt: owner}
		owner.connections = []*connection{chosen}
		var writer sync.WaitGroup
		writer.Go(func() { _, _ = chosen.Write([]byte("request")) })
		nothing := owner.wroteNothing()
		writer.Wait()
		assert.Equal(t, nothing, inner.bytes == 0)
	}
}
