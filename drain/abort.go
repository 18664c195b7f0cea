package drain

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext is the function of that name of an http.Server: it lets Abort find the
// connection of a request.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, accepted)
}

// Abort ends a response that is not complete, by a panic that net/http expects. It closes the
// connection. The end of a response without a length is, for a caller of HTTP/1.0, the end of
// the connection, so that one is reset.
func Abort(request *http.Request) {
	accepted, isKnown := request.Context().Value(connKey{}).(net.Conn)
	if isKnown && !request.ProtoAtLeast(1, 1) {
		resetOnClose(accepted)
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose lets the close of a connection reset it.
func resetOnClose(accepted net.Conn) {
	for {
		switch inner := accepted.(type) {
		case *net.TCPConn:
			// An error means that the connection is closed or broken.
			_ = inner.SetLinger(0)
			return
		case interface{ NetConn() net.Conn }:
			accepted = inner.NetConn()
		default:
			return
		}
	}
}
