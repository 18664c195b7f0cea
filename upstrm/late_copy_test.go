package upstrm_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// refusingLate is an upstream on TCP sockets. It refuses the first request on each
// connection, runs the later ones, and sends a copy of the refusal before their response.
type refusingLate struct {
	net.Listener
	connections sync.WaitGroup
	mu          sync.Mutex
	// ran holds the paths of the requests that were run.
	ran map[string]bool
}

func (u *refusingLate) run() {
	for {
		conn, err := u.Accept()
		if err != nil {
			return
		}
		u.connections.Go(func() { u.serve(conn) })
	}
}

func (u *refusingLate) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	response := refusal
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if response == "" {
			u.mu.Lock()
			u.ran[request.URL.Path] = true
			u.mu.Unlock()
			response = refusal + fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		}
		_, _ = io.WriteString(conn, response)
		response = ""
	}
}

// Guards against a second response on a connection that another request reads, because it
// got the connection before the first one had been examined: the request runs and is
// reported as not started, or it gets a response that is not its own.
func TestLateCopyOfRefusalIsNotReadByNextRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	upstream := &refusingLate{Listener: listener, ran: make(map[string]bool)}
	go upstream.run()
	client := upstrm.NewClient("a")
	var refused, answered sync.Map
	var callers sync.WaitGroup
	for caller := range 32 {
		callers.Go(func() {
			for number := range 100 {
				path := fmt.Sprintf("/%d/%d", caller, number)
				response, err := client.Do(t.Context(), upstrm.Request{
					Class: model.Read, Address: listener.Addr().String(), Method: http.MethodGet, Path: path,
					Deadline: time.Now().Add(time.Minute),
				})
				var notStarted *upstrm.NotStartedError
				if errors.As(err, &notStarted) {
					refused.Store(path, true)
				}
				if err != nil {
					continue
				}
				content, err := io.ReadAll(response.Body)
				assert.Check(t, errors.Join(err, response.Body.Close()))
				answered.Store(path, string(content))
			}
		})
	}
	callers.Wait()
	client.Close()
	assert.NilError(t, listener.Close())
	upstream.connections.Wait()
	for path := range upstream.ran {
		_, isRefused := refused.Load(path)
		assert.Check(t, !isRefused, "%s ran and is reported as not started", path)
		content, isAnswered := answered.Load(path)
		assert.Check(t, !isAnswered || content == path, "%s got the response %q", path, content)
	}
}
