package upstrm_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// Guards against a response to a submit that is dropped because a part of it arrives after
// the deadline. Its key would stay without an outcome, although the submit has run.
func TestLateResponseIsReadToItsEnd(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			content := strings.Repeat("x", 64<<10)
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				time.Sleep(delay)
				_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content[:40<<10])
				time.Sleep(3 * time.Second)
				_, _ = io.WriteString(far, content[40<<10:])
				_ = far.Close()
			}()
			options := upstrm.DefaultOptions("a")
			options.Dial = func(context.Context, string, string) (net.Conn, error) { return near, nil }
			client := upstrm.NewClientWithOptions(options)
			defer client.Close()
			response, err := client.Do(t.Context(), upstrm.Request{
				Class: model.Submit, Address: "e:1", Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(2 * time.Second),
			})
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err, "%d of %d bytes were read", len(body), len(content))
			assert.Equal(t, string(body), content)
		})
	}
}
