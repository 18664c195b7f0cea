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

const refusal = "HTTP/1.1 503 Service Unavailable\r\nUpstream-Not-Started: true\r\nContent-Length: 0\r\n\r\n"

// extraResponses are what an upstream sends besides the responses to the requests that it
// runs.
type extraResponses struct {
	// first are the responses to the first request on a connection, which is not run.
	first string
	// late comes before each later response.
	late string
}

// answeringTwice is an upstream on TCP sockets. It sends extra responses, each in one write
// with what follows. It runs the requests but for the first one on each connection.
type answeringTwice struct {
	net.Listener
	extra       extraResponses
	connections sync.WaitGroup
	mu          sync.Mutex
	// ran holds the paths of the requests that were run.
	ran map[string]bool
}

func (u *answeringTwice) run() {
	for {
		conn, err := u.Accept()
		if err != nil {
			return
		}
		u.connections.Go(func() { u.serve(conn) })
	}
}

func (u *answeringTwice) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	response := u.extra.first
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if response == "" {
			u.mu.Lock()
			u.ran[request.URL.Path] = true
			u.mu.Unlock()
			response = u.extra.late + fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		}
		_, _ = io.WriteString(conn, response)
		response = ""
	}
}

// Guards against a second response on a connection that another request reads, because it
// got the connection before the first one had been examined: the request runs and is
// reported as not started, or it gets a response that is not its own.
func TestSecondResponseIsNotReadByNextRequest(t *testing.T) {
	const (
		empty   = "HTTP/1.1 204 No Content\r\n\r\n"
		content = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	)
	for name, extra := range map[string]extraResponses{
		"refused twice":            {first: refusal + refusal},
		"refused, then answered":   {first: refusal + content},
		"answered, then refused":   {first: content + refusal},
		"answered twice":           {first: content + content},
		"empty, then refused":      {first: empty + refusal},
		"empty, then answered":     {first: empty + content},
		"empty, then a part of it": {first: empty + content[:20]},
		"refused, and again late":  {first: refusal, late: refusal},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			upstream := &answeringTwice{Listener: listener, extra: extra, ran: make(map[string]bool)}
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
		})
	}
}
