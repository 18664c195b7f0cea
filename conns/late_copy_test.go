package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"filberthold/conns"

	"gotest.tools/v3/assert"
)

// copyingEndpoint answers the first request on its first connection, and sends a copy of
// the answer later: while the connection is idle, or before the answer to the next
// request. It answers all others once.
type copyingEndpoint struct {
	listener net.Listener
	// copied is the copy, with %s for the attempt id of the first request.
	copied string
	// sendsWhileIdle is true if the copy, or a part of it, is sent before the next request
	// arrives. The rest comes with the next answer.
	sendsWhileIdle int
	// idleSent is closed after the idle part was sent.
	idleSent chan struct{}
}

func (e *copyingEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *copyingEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := request.Header.Get("Attempt-Id")
		if _, err := fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 1\r\n\r\n%s", late, attempt, attempt); err != nil {
			return
		}
		if late = ""; attempt != "a" {
			continue
		}
		late = strings.ReplaceAll(e.copied, "%s", attempt)
		if _, err := conn.Write([]byte(late[:e.sendsWhileIdle])); err != nil {
			return
		}
		late = late[e.sendsWhileIdle:]
		close(e.idleSent)
	}
}

// Guards against a second copy of an answer, late, on a connection that is in use again:
// the next caller would get an answer that is not its own. The copy comes whole, split
// between the idle time and the next answer, without a body, or without a length.
func TestLateCopyOfAnswerReachesNoOtherCaller(t *testing.T) {
	copies := map[string]string{
		"with a body":    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 1\r\n\r\n%s",
		"no content":     "HTTP/1.1 204 No Content\r\nAttempt-Id: %s\r\n\r\n",
		"not modified":   "HTTP/1.1 304 Not Modified\r\nAttempt-Id: %s\r\nContent-Length: 5\r\n\r\n",
		"in chunks":      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n%s\r\n0\r\n\r\n",
		"a refusal":      "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"without a head": "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\n%s",
	}
	for name, copied := range copies {
		for sent := 0; sent <= len(copied)-len("%s"); sent += 7 {
			t.Run(fmt.Sprint(name, sent), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				t.Cleanup(func() { assert.NilError(t, listener.Close()) })
				endpoint := &copyingEndpoint{listener: listener, copied: copied, sendsWhileIdle: sent, idleSent: make(chan struct{})}
				go endpoint.run()
				pool := conns.NewPool(nil)
				target := netip.MustParseAddrPort(listener.Addr().String())
				response, err := pool.Exchange(context.Background(), target, newRequest("a"))
				assert.NilError(t, err)
				assert.Equal(t, string(response.Body), "a")
				<-endpoint.idleSent
				for _, attempt := range []string{"b", "c"} {
					request := newRequest(attempt)
					request.Deadline = time.Now().Add(time.Second)
					response, err = pool.Exchange(context.Background(), target, request)
					var incomplete *conns.IncompleteError
					if errors.As(err, &incomplete) {
						continue
					}
					assert.NilError(t, err)
					assert.Equal(t, string(response.Body), attempt)
				}
			})
		}
	}
}
