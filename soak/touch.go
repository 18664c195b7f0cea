package soak

import (
	"slices"
	"syscall"
	"time"
)

const (
	// stableWindow is the time without a disturbance after which a host is in touch.
	stableWindow = 3 * time.Second
	// drainTime is the time within which hosts act on a change of an endpoint's entry, as
	// their settings state it.
	drainTime = 2 * time.Second
	// heartbeat is the interval of heartbeats that the settings of the hosts state.
	heartbeat = time.Second
)

// wasInterrupted reports whether a process was started, killed, paused or continued
// between two times.
func (h *hostProcess) wasInterrupted(from, to time.Time) bool {
	return h.hadInterruption(from, to, interruption.isDisturbance)
}

// wasPaused reports whether a pause of a process began or ended between two times.
func (h *hostProcess) wasPaused(from, to time.Time) bool {
	return h.hadInterruption(from, to, interruption.isPause)
}

// isInTouch reports whether a host was in touch at a time: its process ran undisturbed for
// stableWindow, and it reached the store for that time and since another one before.
func (h *hostProcess) isInTouch(at, storeSince time.Time) bool {
	from := at.Add(-stableWindow)
	if storeSince.After(from) {
		storeSince = from
	}
	return h.ranThroughout(from, at) && !h.storeProxy.hadFault(storeSince, at)
}

// ranThroughout reports whether the same process ran, and was not told to stop, between two
// times.
func (h *hostProcess) ranThroughout(from, to time.Time) bool {
	return !h.wasStopped(from, to) && !h.isPausedAt(from)
}

// isPausedAt reports whether a process was paused at a time, by a pause that may have begun
// long before and ended long after.
func (h *hostProcess) isPausedAt(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isPaused := false
	for _, i := range h.interruptions {
		if i.isDisturbance() && !i.at.After(at) {
			isPaused = i.signal == syscall.SIGSTOP
		}
	}
	return isPaused
}

// wasStopped reports whether a process was started, killed, stopped, paused or continued
// between two times.
func (h *hostProcess) wasStopped(from, to time.Time) bool {
	return h.hadInterruption(from, to, func(i interruption) bool { return i.signal != syscall.SIGHUP })
}

func (h *hostProcess) hadInterruption(from, to time.Time, isMeant func(interruption) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return hasInterruption(h.interruptions, from, to, isMeant)
}

// hasInterruption reports whether some of the interruptions between two times are meant.
func hasInterruption(all []interruption, from, to time.Time, isMeant func(interruption) bool) bool {
	return slices.ContainsFunc(all, func(i interruption) bool {
		return isMeant(i) && i.at.After(from) && i.at.Before(to)
	})
}
