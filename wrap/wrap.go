// Package wrap holds what wrappers of connections and listeners share: net/http looks for
// methods that the wrapped values may have or not.
package wrap

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// CloseWrite closes the sending side of a wrapped connection. net/http uses it, because
// closing a connection with unread bytes at once would take back the response.
func CloseWrite(conn net.Conn) error {
	closer, canClose := conn.(interface{ CloseWrite() error })
	if !canClose {
		return errors.ErrUnsupported
	}
	if err := closer.CloseWrite(); err != nil {
		return fmt.Errorf("close sending side: %w", err)
	}
	return nil
}

// SetAcceptDeadline sets the end of calls of Accept of a wrapped listener, if it has deadlines.
func SetAcceptDeadline(listener net.Listener, deadline time.Time) error {
	inner, hasDeadline := listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !hasDeadline {
		return errors.ErrUnsupported
	}
	if err := inner.SetDeadline(deadline); err != nil {
		return fmt.Errorf("set deadline of listener: %w", err)
	}
	return nil
}
