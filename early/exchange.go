package early

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"reflect"
	"sync"

	"filberthold/memory"
)

// maxBuffered bounds the body of a response that waits for its turn, in bytes. The
// handler of a longer one waits.
const maxBuffered = 1 << 20

// exchange is a request that was started early, with its response. It is the
// http.ResponseWriter of its handler.
type exchange struct {
	handler http.Handler
	request *http.Request
	header  http.Header
	// done is closed when the handler has returned.
	done chan struct{}
	// panicked is what the handler panicked with. It is set before done is closed.
	panicked any

	mu     sync.Mutex
	status int
	body   *memory.Buffer
	// target is the writer of the connection once it is the turn of the request.
	target http.ResponseWriter
	// isAbandoned is true if the turn of the request will not come. Nothing is kept then.
	isAbandoned bool
	// attached is closed when target is set.
	attached chan struct{}
}

func newExchange(handler http.Handler, request *http.Request, limit *memory.Limit) *exchange {
	return &exchange{
		handler: handler, request: request, header: make(http.Header), body: memory.NewBuffer(limit),
		done: make(chan struct{}), attached: make(chan struct{}),
	}
}

// isFor reports whether the request that was started is the one that net/http has read.
func (e *exchange) isFor(request *http.Request) bool {
	return e.request.Method == request.Method && e.request.RequestURI == request.RequestURI &&
		e.request.Host == request.Host && reflect.DeepEqual(e.request.Header, request.Header)
}

func (e *exchange) run() {
	defer close(e.done)
	defer func() { e.panicked = recover() }()
	e.handler.ServeHTTP(e, e.request)
}

// finish writes the response to the connection as soon as it is there. It panics if the
// handler did.
func (e *exchange) finish(target http.ResponseWriter) {
	e.attach(target)
	<-e.done
	if e.panicked != nil {
		panic(e.panicked)
	}
}

func (e *exchange) attach(target http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A handler that waits goes on only when what was kept has been written.
	defer close(e.attached)
	e.target = target
	if e.status == 0 {
		return
	}
	e.writeHead()
	// An error means that the caller has left. The handler gets it with its next write, and
	// the context of the request ends.
	_, _ = target.Write(e.body.Bytes())
	e.body.Release()
}

// abandon releases what is kept of a response whose turn will not come. Its handler gets
// an error, because the context of the request has ended.
func (e *exchange) abandon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isAbandoned = true
	e.body.Release()
}

// writeHead writes the status and headers to the connection. e.mu is held.
func (e *exchange) writeHead() {
	maps.Copy(e.target.Header(), e.header)
	e.target.WriteHeader(e.status)
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status != 0 {
		return
	}
	e.status = status
	if e.target != nil {
		e.writeHead()
	}
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(content []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if !e.buffer(content) {
		select {
		case <-e.attached:
		case <-e.request.Context().Done():
			return 0, fmt.Errorf("wait for the turn of a response: %w", context.Cause(e.request.Context()))
		}
		written, err := e.target.Write(content)
		if err != nil {
			return written, fmt.Errorf("write response: %w", err)
		}
	}
	return len(content), nil
}

// buffer keeps content until the turn of the request. It returns false if the turn has
// come or will not come, or if too much is kept.
func (e *exchange) buffer(content []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.target == nil && !e.isAbandoned && e.body.Append(content, maxBuffered)
}
