package upstrm_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/conns"
	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// endlessHead is an upstream that answers with a beginning and then repeats bytes
// until the connection is closed, but at most maxSent of them.
type endlessHead struct {
	conn             net.Conn
	beginning, bytes string
	sent             int
}

// maxSent bounds what an endlessHead sends, so that a reader without a bound fails
// the test and does not exhaust the memory.
const maxSent = 16 << 20

func (e *endlessHead) run() {
	go func() { _, _ = io.Copy(io.Discard, e.conn) }()
	part := []byte(e.beginning)
	for e.sent < maxSent {
		count, err := e.conn.Write(part)
		e.sent += count
		if err != nil {
			return
		}
		part = bytes.Repeat([]byte(e.bytes), 1+1024/len(e.bytes))
	}
}

// Guards against an upstream that sends a head without end to a request or to a
// probe: it took 10 MB for each.
func TestEndlessHeadEndsAttempt(t *testing.T) {
	heads := map[string]struct{ beginning, bytes string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"header field":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header fields":     {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: y\r\n\r\n"},
	}
	calls := map[string]func(context.Context, *upstrm.Client) error{
		"probe": func(ctx context.Context, client *upstrm.Client) error { return client.ProbeHealth(ctx, "e:1") },
	}
	for _, class := range model.Classes() {
		calls[class.String()] = func(ctx context.Context, client *upstrm.Client) error {
			response, err := client.Do(ctx, upstrm.Request{Class: class, Address: "e:1", Method: http.MethodGet, Path: "/x", Deadline: time.Now().Add(time.Minute)})
			if err == nil {
				_ = response.Body.Close()
			}
			return err
		}
	}
	for headName, head := range heads {
		for callName, call := range calls {
			t.Run(callName+" "+headName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					near, far := net.Pipe()
					upstream := &endlessHead{conn: far, beginning: head.beginning, bytes: head.bytes}
					go upstream.run()
					options := upstrm.DefaultOptions("a")
					options.Dial = func(context.Context, string, string) (net.Conn, error) { return near, nil }
					client := upstrm.NewClientWithOptions(options)
					assert.Assert(t, call(t.Context(), client) != nil)
					client.Close()
					assert.NilError(t, far.Close())
					synctest.Wait()
					assert.Assert(t, upstream.sent <= 2*conns.MaxHeadBytes, "%d bytes were read", upstream.sent)
				})
			})
		}
	}
}
