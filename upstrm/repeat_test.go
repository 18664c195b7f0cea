package upstrm_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// repeatingUpstream refuses the first request on each connection and repeats that
// refusal to the second one, which it runs. Each later request gets the response to
// the one before it.
type repeatingUpstream struct {
	conn net.Conn
	// ran receives the path of each request that was run.
	ran chan<- string
}

func (u *repeatingUpstream) run() {
	reader := bufio.NewReader(u.conn)
	previous := ""
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if number > 1 {
			u.ran <- request.URL.Path
		}
		response := "HTTP/1.1 503 Service Unavailable\r\nUpstream-Not-Started: true\r\nContent-Length: 0\r\n\r\n"
		if number > 2 {
			response = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(previous), previous)
		}
		previous = request.URL.Path
		_, _ = io.WriteString(u.conn, response)
	}
}

// Guards against a repeated refusal that is taken as the response to the next
// request on its connection: that request is reported as not started although it
// runs, and later ones get the responses to others.
func TestRepeatedRefusalEndsItsConnection(t *testing.T) {
	for _, class := range model.Classes() {
		t.Run(class.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ran := make(chan string, 3)
				options := upstrm.DefaultOptions("a")
				options.Dial = func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go (&repeatingUpstream{conn: far, ran: ran}).run()
					return near, nil
				}
				client := upstrm.NewClientWithOptions(options)
				defer client.Close()
				for _, path := range []string{"/1", "/2", "/3"} {
					response, err := client.Do(t.Context(), upstrm.Request{Class: class, Address: "e:1", Method: http.MethodGet, Path: path, Deadline: time.Now().Add(time.Minute)})
					if err == nil {
						content, readErr := io.ReadAll(response.Body)
						assert.NilError(t, errors.Join(readErr, response.Body.Close()))
						assert.Equal(t, string(content), path)
						continue
					}
					var notStarted *upstrm.NotStartedError
					assert.Assert(t, errors.As(err, &notStarted), "%v", err)
					assert.Equal(t, len(ran), 0, "%s is reported as not started", path)
					synctest.Wait()
				}
			})
		})
	}
}
