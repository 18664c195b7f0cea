package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/route"

	"gotest.tools/v3/assert"
)

// earlyEndpoint answers a request before it has read the body, and reads on.
type earlyEndpoint struct {
	listener net.Listener
	// answer is the body of the response.
	answer []byte
	// received gets each body that was read.
	received chan receivedBody
}

// receivedBody is a body as an endpoint got it. err is nil if it was complete.
type receivedBody struct {
	content []byte
	err     error
}

func startEarlyEndpoint(t *testing.T, answer []byte) *earlyEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &earlyEndpoint{listener: listener, answer: answer, received: make(chan receivedBody, 1)}
	go e.run()
	return e
}

func (e *earlyEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *earlyEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
		request.Header.Get("Attempt-Id"), len(e.answer), e.answer)
	content, err := io.ReadAll(request.Body)
	e.received <- receivedBody{content, err}
}

// longBody returns a body without repetitions.
func longBody(length int) []byte {
	var body bytes.Buffer
	for body.Len() < length {
		_, _ = fmt.Fprintf(&body, "%015d\n", body.Len())
	}
	return body.Bytes()[:length]
}

// writeBody writes a body in pieces, in chunks or plain.
func writeBody(conn net.Conn, body []byte, isChunked bool) error {
	const pieceBytes = 16 << 10
	for piece := range slices.Chunk(body, pieceBytes) {
		if isChunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return fmt.Errorf("write piece: %w", err)
		}
	}
	return nil
}

// setSubmitTimeout replaces the routes by one for submits with a timeout. The transfer of
// a long body may take longer than the usual one on a busy machine.
func (s *testServer) setSubmitTimeout(timeout time.Duration) {
	changed := s.route("/submit/", model.Submit)
	changed.Timeout = timeout
	s.core.SetConfig(route.NewConfig(2, []route.Route{changed}, []route.Service{{Name: "s", ColdRate: 2}}, route.Limits{MaxBodyBytes: 1 << 20}))
}

// Guards against a long body of which the endpoint gets a part only, although it looks
// complete and the caller gets the endpoint's success: net/http read the rest of the body
// before it wrote the response.
func TestEndpointThatAnswersEarlyGetsTheWholeBody(t *testing.T) {
	const bodyBytes = 700 << 10
	tests := map[string]struct {
		answerBytes int
		isChunked   bool
	}{
		"long response, chunks":  {maxSentAtOnce, true},
		"long response, length":  {maxSentAtOnce, false},
		"short response, chunks": {10, true},
		"short response, length": {10, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endpoint := startEarlyEndpoint(t, bytes.Repeat([]byte("a"), test.answerBytes))
			ts := startTestServer(t, 0)
			ts.applyReady("i-early", endpoint.listener.Addr().String())
			ts.setSubmitTimeout(time.Minute)
			framing := fmt.Sprintf("Content-Length: %d", bodyBytes)
			if test.isChunked {
				framing = "Transfer-Encoding: chunked"
			}
			conn := ts.dialRaw("POST /submit/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 60000\r\n" + framing + "\r\n\r\n")
			body := longBody(bodyBytes)
			// Half of the body is sent when the response is there.
			assert.NilError(t, writeBody(conn, body[:bodyBytes/2], test.isChunked))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			answer, err := io.ReadAll(response.Body)
			assert.NilError(t, errors.Join(err, response.Body.Close()))
			assert.Equal(t, len(answer), test.answerBytes)
			assert.NilError(t, writeBody(conn, body[bodyBytes/2:], test.isChunked))
			if test.isChunked {
				_, err := io.WriteString(conn, "0\r\n\r\n")
				assert.NilError(t, err)
			}
			received := <-endpoint.received
			assert.NilError(t, received.err)
			assert.Assert(t, bytes.Equal(received.content, body), "got %d of %d bytes", len(received.content), len(body))
			assert.Assert(t, response.Close, "the rest of the body could be taken for a request")
		})
	}
}

// maxSentAtOnce is longer than the response that a host buffers.
const maxSentAtOnce = 1<<20 + 1<<18

// Guards against a body that its caller breaks off, and that the endpoint takes for
// complete because it has answered already.
func TestEndpointThatAnswersEarlyNoticesABrokenBody(t *testing.T) {
	endpoint := startEarlyEndpoint(t, []byte("early"))
	ts := startTestServer(t, 0)
	ts.applyReady("i-early", endpoint.listener.Addr().String())
	conn := ts.dialRaw("POST /submit/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n")
	assert.NilError(t, writeBody(conn, longBody(300<<10), true))
	assert.Equal(t, readStatus(t, conn), http.StatusOK)
	assert.NilError(t, conn.Close())
	received := <-endpoint.received
	assert.ErrorIs(t, received.err, syscall.ECONNRESET)
}

// Guards against a host that waits without end for the rest of a body whose caller sends
// no more.
func TestBodyThatStallsEndsAtTheDeadline(t *testing.T) {
	endpoint := startEarlyEndpoint(t, []byte("early"))
	ts := startTestServer(t, 0)
	ts.applyReady("i-early", endpoint.listener.Addr().String())
	conn := ts.dialRaw("POST /submit/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 500\r\nTransfer-Encoding: chunked\r\n\r\n")
	assert.NilError(t, writeBody(conn, longBody(300<<10), true))
	content := make([]byte, 1<<10)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	var response strings.Builder
	for {
		count, err := conn.Read(content)
		response.Write(content[:count])
		if err != nil {
			assert.ErrorIs(t, err, io.EOF, "the host keeps the connection")
			break
		}
	}
	assert.Assert(t, strings.HasPrefix(response.String(), "HTTP/1.1 200 OK"))
	received := <-endpoint.received
	assert.ErrorIs(t, received.err, syscall.ECONNRESET)
}
