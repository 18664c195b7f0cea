package proxy

import (
	"net/http"
	"time"
)

// outdatedRetryAfter is the Retry-After of a request that the configuration in force
// does not allow while a newer one may exist. A host gets a change, or its
// confirmation that there is none, several times in the time to apply one.
const outdatedRetryAfter = 500 * time.Millisecond

// Freshness tells how current the host's data from the store is. Its functions are
// safe for concurrent use.
type Freshness struct {
	// OperatorAge returns the time since the configuration and the evacuations were
	// last known to be complete.
	OperatorAge func() time.Duration
	// EndpointAge returns the time since the list of endpoints was last known to be
	// complete.
	EndpointAge func() time.Duration
	// NewestConfig returns the version of the newest configuration that another host
	// has in force, or 0.
	NewestConfig func() uint64
	// IsTrusted reports whether the keys of the configuration in force may be used. It is
	// nil where they always may.
	IsTrusted func() bool
	// ApplyTime is the time within which a change of the configuration or of the
	// evacuations must be in force.
	ApplyTime time.Duration
}

// mayBeOutdated reports whether callers may rely on a newer configuration than the
// given version: this host has missed its time to get one, or another host has it.
func (f Freshness) mayBeOutdated(version uint64) bool {
	return f.OperatorAge() > f.ApplyTime || f.NewestConfig() > version
}

// The reasons for which a request is refused before its organisation is known.
const (
	hostStops  = "the host is about to stop"
	hostStarts = "the host knows no configuration or no endpoint yet"
	noRoute    = "no route matches"
)

// denial is the answer to a request that the configuration in force does not allow.
type denial struct {
	status int
	reason string
	// retryAfter is 0 if the caller should not return.
	retryAfter time.Duration
}

// deny returns the answer to a request that a version of the configuration does not allow: a
// final status if the configuration is current, after which the caller does not try again,
// and otherwise the request to come back.
func (f Freshness) deny(version uint64, status int, reason string) denial {
	if f.mayBeOutdated(version) {
		return denial{http.StatusServiceUnavailable, reason + ", but the configuration may be outdated", outdatedRetryAfter}
	}
	return denial{status: status, reason: reason}
}

// denyByConfig ends a request that the configuration in force does not allow.
func (e *exchange) denyByConfig(status int, reason string) {
	denied := e.server.freshness.deny(e.config.Version(), status, reason)
	if denied.retryAfter > 0 {
		e.refuse(denied.reason, denied.retryAfter)
		return
	}
	e.fail(denied.status, denied.reason)
}
