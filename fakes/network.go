package fakes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Network is an in-memory network of named addresses. Its connections block
// on channels only, so it also works under testing/synctest.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	dials     int
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*memoryListener)}
}

// Listen returns a listener for an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	opened := &memoryListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = opened
	return opened
}

// Serve serves an address until the returned function is called.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	opened := n.Listen(address)
	if upstream, isUpstream := handler.(*Upstream); isUpstream {
		opened = upstream.Listener(opened)
	}
	serving := &networkServer{server: server, listener: opened}
	go serving.run()
	return func() { _ = server.Close() }
}

type networkServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *networkServer) run() { _ = s.server.Serve(s.listener) }

// Response is a response that was read to its end.
type Response struct {
	Status int
	Header http.Header
	Body   string
}

// Fetch sends a request on a new connection and reads the response. If reading
// the body fails, it returns an error and the part of the response that
// arrived.
func (n *Network) Fetch(ctx context.Context, method, url string, header http.Header) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return Response{}, fmt.Errorf("make request: %w", err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	transport := &http.Transport{DialContext: n.Dial, DisableCompression: true, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Response{}, fmt.Errorf("fetch: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		err = fmt.Errorf("fetch body: %w", err)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(body)}, err
}

// Dials returns how many connections were opened.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Dial opens a connection; its signature is that of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	target, exists := n.listeners[address]
	n.mu.Unlock()
	if !exists {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case target.accepted <- serverEnd:
		n.mu.Lock()
		n.dials++
		n.mu.Unlock()
		return clientEnd, nil
	case <-target.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
}

type memoryListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }
