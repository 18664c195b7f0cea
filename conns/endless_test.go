package conns

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// maxSent bounds how much an endlessPeer sends, so that a reader without a bound
// fails the test and does not exhaust the memory.
const maxSent = 16 << 20

// endlessPeer is an endpoint that answers a request with a beginning and then
// repeats bytes until the other side closes the connection.
type endlessPeer struct {
	conn             net.Conn
	beginning, bytes string
	// sent is the number of bytes that the other side has read.
	sent int
}

func (p *endlessPeer) run() {
	go func() { _, _ = io.Copy(io.Discard, p.conn) }()
	part := []byte(p.beginning)
	for p.sent < maxSent {
		count, err := p.conn.Write(part)
		p.sent += count
		if err != nil {
			return
		}
		part = bytes.Repeat([]byte(p.bytes), 1+1024/len(p.bytes))
	}
}

// Guards against memory and time without a bound while an endpoint sends bytes
// that are no response, or belong to no request, until the connection closes.
func TestEndlessBytesEndAttempt(t *testing.T) {
	const bound = (maxMismatches+1)*(MaxHeadBytes+readerBytes) + maxMismatches*maxSkippedBody
	const header = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
	tests := map[string]struct{ beginning, bytes string }{
		"status line":                   {"", "x"},
		"header field":                  {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header fields":                 {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"folded header field":           {"HTTP/1.1 200 OK\r\nX: y\r\n", " y\r\n"},
		"interim responses":             {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim responses with fields": {"", "HTTP/1.1 103 Early Hints\r\nLink: y\r\n\r\n"},
		"responses to other requests":   {"", "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 1\r\n\r\nx"},
		"body for another request":      {"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"chunks for another request":    {"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":                    {header + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":               {header + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer field":                 {header + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"},
		"trailer fields":                {header + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				peer := &endlessPeer{conn: far, beginning: test.beginning, bytes: test.bytes}
				go peer.run()
				pool := NewPool(nil)
				pool.dial = func(context.Context, string, string) (net.Conn, error) { return near, nil }
				startedAt := time.Now()
				_, err := pool.Exchange(t.Context(), netip.AddrPort{}, Request{
					Method: http.MethodGet, Target: "/x", Domain: "a.example", Deadline: startedAt.Add(time.Minute), MaxIdle: time.Minute,
					MatchesResponse: func(_ int, header http.Header, _ bool) bool { return header.Get("Attempt-Id") == "a" },
				})
				assert.ErrorContains(t, err, "no whole response")
				assert.Equal(t, time.Since(startedAt), time.Duration(0))
				synctest.Wait()
				assert.Assert(t, peer.sent <= bound, "%d bytes were read", peer.sent)
				assert.NilError(t, far.Close())
			})
		})
	}
}
