package early

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"filberthold/memory"

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

// readRequest reads the head of the next request as net/http does.
func readRequest(t *testing.T, connection *conn, path string) *http.Request {
	t.Helper()
	count, err := connection.Read(make([]byte, readBytes))
	assert.NilError(t, err)
	assert.Equal(t, count, len(get(path)))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, path, http.NoBody)
	assert.NilError(t, err)
	request.RequestURI, request.Host = path, "a"
	return request
}

// Guards against requests that are started on a connection whose early requests were given
// up: they are cancelled at once, and answered as if their caller had left.
func TestNothingStartsEarlyBehindRequestsOutOfStep(t *testing.T) {
	limit := memory.NewLimit(16 << 20)
	handler := NewHandler(http.NotFoundHandler(), func(*http.Request) bool { return true }, func() bool { return false }, limit)
	sender, receiver := net.Pipe()
	connection := newConn(receiver, limit)
	t.Cleanup(func() { assert.Check(t, connection.Close()) })
	sent := make(chan error, 1)
	go func() {
		_, err := sender.Write([]byte(get("/1") + get("/2") + get("/3") + get("/4") + get("/5") + get("/6")))
		sent <- err
	}()
	request := readRequest(t, connection, "/1")
	assert.NilError(t, <-sent)
	current, _ := connection.begin(handler, request)
	assert.Assert(t, current == nil && handler.Started() == maxStarted)
	request = readRequest(t, connection, "/2")
	request.RequestURI = "/other"
	current, _ = connection.begin(handler, request)
	assert.Assert(t, current == nil)
	current, _ = connection.begin(handler, readRequest(t, connection, "/3"))
	assert.Assert(t, current == nil)
	assert.Equal(t, handler.Started(), uint64(maxStarted))
}
