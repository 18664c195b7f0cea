package entry

import (
	"context"
	"errors"
	"time"
)

// runStop waits for the end of ctx and then stops the host gracefully. The host
// is removed from lookup responses, and serves until every response that contains
// it has expired. Then it closes the listener and waits for all requests in
// flight, without a time limit.
func (h *Host) runStop(ctx, workCtx context.Context, stopWork context.CancelFunc) error {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return h.closeServers()
	}
	h.mesh.Leave()
	servesUntil := h.callers.Leave()
	h.base.Log().Info("leaving", "servesUntil", servesUntil)
	select {
	case <-time.After(time.Until(servesUntil)):
	case <-workCtx.Done():
		return h.closeServers()
	}
	h.base.Log().Info("waiting for requests in flight")
	if err := h.callers.Shutdown(workCtx); err != nil {
		return errors.Join(err, h.closeServers())
	}
	stopWork()
	h.upstreams.Close()
	return h.operators.Shutdown()
}

// runAbort ends the work of the host when Abort is called.
func (h *Host) runAbort(workCtx context.Context, archive *Archive, stopWork context.CancelFunc) error {
	select {
	case <-h.aborted:
		archive.Discard()
		stopWork()
	case <-workCtx.Done():
	}
	return nil
}

// Abort ends the host at once and aborts the requests in flight. Tests use it to
// simulate a crash.
func (h *Host) Abort() { h.abortOnce.Do(func() { close(h.aborted) }) }

// closeServers aborts the requests in flight. They cannot end by themselves,
// because placement has stopped.
func (h *Host) closeServers() error {
	h.upstreams.Close()
	return errors.Join(h.callers.Close(), h.operators.Shutdown())
}
