package entry

import (
	"context"
	"errors"
	"time"
)

// runStop waits for the end of ctx and then stops gracefully: the host leaves
// the lookups, serves on until no valid lookup response names it, closes the
// listener and waits for all requests in flight, however long they take.
func (h *Host) runStop(ctx, working context.Context, stopWorking context.CancelFunc) error {
	select {
	case <-ctx.Done():
	case <-working.Done():
		return h.closeServers()
	}
	h.mesh.Leave()
	named := h.callers.Leave()
	h.base.Log().Info("leaving", "servesUntil", named)
	select {
	case <-time.After(time.Until(named)):
	case <-working.Done():
		return h.closeServers()
	}
	h.base.Log().Info("waiting for requests in flight")
	if err := h.callers.Shutdown(working); err != nil {
		return errors.Join(err, h.closeServers())
	}
	stopWorking()
	h.upstreams.Close()
	return h.operators.Shutdown()
}

// runAbort ends the work of the host when Abort is called.
func (h *Host) runAbort(working context.Context, archive *Archive, stopWorking context.CancelFunc) error {
	select {
	case <-h.aborted:
		archive.Discard()
		stopWorking()
	case <-working.Done():
	}
	return nil
}

// Abort ends the host at once and breaks the requests in flight. It stands for
// the loss of a process in tests.
func (h *Host) Abort() { h.abortOnce.Do(func() { close(h.aborted) }) }

// closeServers breaks what is in flight. Placement has stopped, so the
// requests could not end by themselves.
func (h *Host) closeServers() error {
	h.upstreams.Close()
	return errors.Join(h.callers.Close(), h.operators.Shutdown())
}
