package early

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is started before the one in front of it is handled, when
// net/http watches the connection first: both were taken to be out of step, run a second
// time on their turn, and all later ones of the connection were answered as if their caller
// had left.
func TestRequestsStartBehindTheOneThatIsHandled(t *testing.T) {
	s := startServer(t)
	s.server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// net/http watches the connection meanwhile.
		time.Sleep(20 * time.Millisecond)
		s.handler.ServeHTTP(writer, request)
	})
	paths := []string{"/safe/0", "/safe/1", "/safe/2", "/safe/3"}
	s.end(paths...)
	c := s.dial()
	c.send(get(paths[0]))
	assert.Equal(t, c.receive(), paths[0])
	// net/http ends its watch for the first request, so that it reads the second one itself.
	time.Sleep(20 * time.Millisecond)
	c.send(get(paths[1]), get(paths[2]), get(paths[3]))
	for _, path := range paths[1:] {
		assert.Equal(t, c.receive(), path)
	}
	started := s.started()
	slices.Sort(started)
	assert.DeepEqual(t, started, paths)
	assert.Equal(t, len(s.left), 0, "%v", s.left)
	assert.Assert(t, s.handler.Started() >= 2)
}
