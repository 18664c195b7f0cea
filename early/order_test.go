package early

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowWriter records the first letter of each write, at the end of the write.
type slowWriter struct {
	header http.Header
	order  chan string
}

func (w *slowWriter) Header() http.Header { return w.header }
func (w *slowWriter) WriteHeader(int)     {}
func (w *slowWriter) Write(content []byte) (int, error) {
	if content[0] == 'a' {
		<-time.After(30 * time.Millisecond)
	}
	w.order <- string(content[:1])
	return len(content), nil
}

// Guards against a long response whose rest is written before the part that was kept.
func TestLongResponseKeepsItsOrder(t *testing.T) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	assert.NilError(t, err)
	kept := make(chan struct{})
	e := newExchange(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(strings.Repeat("a", maxBuffered)))
		close(kept)
		_, _ = writer.Write([]byte("b"))
	}), request, nil)
	go e.run()
	<-kept
	target := &slowWriter{header: make(http.Header), order: make(chan string, 2)}
	e.finish(target)
	assert.Equal(t, <-target.order+<-target.order, "ab")
}

type failingListener struct {
	net.Listener
	err error
}

func (l failingListener) Accept() (net.Conn, error) { return nil, l.err }

// Guards against a process that ends when it has no descriptors left for a moment:
// net/http goes on only if it recognises the error by its type.
func TestAcceptReturnsErrorOfListener(t *testing.T) {
	cause := &net.OpError{Op: "accept", Err: errors.New("too many open files")}
	_, err := NewListener(failingListener{err: cause}, nil).Accept()
	assert.Equal(t, err, error(cause))
}
