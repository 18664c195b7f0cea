package steer

import (
	"time"

	"filberthold/hashes"
)

const (
	// maxSpareTime bounds the time for which an endpoint is spared. An endpoint that
	// needs longer is replaced; a longer time is an error that must not take it out of
	// use until it starts again.
	maxSpareTime = 5 * time.Minute
	// maxResumeTime bounds how long the requests to an endpoint are paced after it was
	// spared. By then its responses show how many it can take.
	maxResumeTime = time.Second
	// retrySpread is the time over which the callers are spread that were told to
	// return when the first endpoint is free again.
	retrySpread = 500 * time.Millisecond
)

// spareState is what a host knows of the time for which an endpoint asked to be
// spared.
type spareState struct {
	// until is the end of that time. It is later at some hosts than at others, so that
	// they do not all send at once.
	until time.Time
	// pacedUntil is the end of the time after until in which the requests are paced.
	pacedUntil time.Time
	// pacer spaces the requests from until to pacedUntil.
	pacer pacer
}

// isSpared reports whether the endpoint gets no requests.
func (s *spareState) isSpared(now time.Time) bool { return now.Before(s.until) }

// isResuming reports whether the requests to the endpoint are paced.
func (s *spareState) isResuming(now time.Time) bool {
	return !s.isSpared(now) && now.Before(s.pacedUntil)
}

// isHeld reports whether this host must not send a request now.
func (s *spareState) isHeld(now time.Time) bool {
	return s.isSpared(now) || s.isResuming(now) && !s.pacer.canSend(now)
}

// newSpareState returns the state of an endpoint that asked to be spared for a time.
// It is paced for as long as it was spared, at most for maxResumeTime.
func (s *Selector) newSpareState(target *endpoint, retryAfter time.Duration, now time.Time) spareState {
	until := now.Add(min(retryAfter, maxSpareTime))
	resumeTime := min(retryAfter, maxResumeTime)
	if target != nil {
		fraction := toUnitInterval(hashes.Mix(hashes.Sum(string(s.host)) ^ target.hash))
		until = until.Add(time.Duration(fraction * float64(min(resumeTime, s.resumeInterval(target)))))
	}
	return spareState{until: until, pacedUntil: until.Add(resumeTime)}
}

// resumeInterval returns the time between two paced requests of a host: by it, all
// hosts together send about as many as the slots of the endpoint serve.
func (s *Selector) resumeInterval(target *endpoint) time.Duration {
	hosts := 0
	for _, names := range s.hosts {
		hosts += len(names)
	}
	median := defaultMedian
	if state := s.services[target.service]; state != nil {
		median = state.median()
	}
	return min(maxResumeTime, median*time.Duration(max(1, hosts))/time.Duration(max(1, target.slots)))
}

// recordResumed counts a request to an endpoint whose requests are paced.
func (s *Selector) recordResumed(target *endpoint, now time.Time) {
	if target.spare.isResuming(now) {
		target.spare.pacer.nextAt = now.Add(s.resumeInterval(target))
	}
}

// freeAt returns the time at which the first endpoint that a query may use is no longer
// spared. It returns false unless all of them are.
func (s *serviceState) freeAt(query Query, now time.Time) (time.Time, bool) {
	earliest := time.Time{}
	for region, endpoints := range s.byRegion {
		if !query.AllowsRegion(region) {
			continue
		}
		for _, candidate := range endpoints {
			if !candidate.spare.isSpared(now) {
				return time.Time{}, false
			}
			if earliest.IsZero() || candidate.spare.until.Before(earliest) {
				earliest = candidate.spare.until
			}
		}
	}
	return earliest, !earliest.IsZero()
}

// reject returns the rejection of a query that no endpoint can take now.
func (s *serviceState) reject(query Query, now time.Time) Reject {
	if retryAfter := s.sparedRetryAfter(query, now); retryAfter > 0 {
		return Reject{Reason: "every endpoint asked to be spared", RetryAfter: retryAfter}
	}
	deferredFor := s.deferredFor(query, now)
	return Reject{
		Reason: "every endpoint is full or not reachable", RetryAfter: max(minRetryAfter, deferredFor), IsFull: true, MinRetryAfter: deferredFor,
	}
}

// sparedRetryAfter returns the Retry-After of a query for which all endpoints asked to
// be spared, or 0 if not all did.
func (s *serviceState) sparedRetryAfter(query Query, now time.Time) time.Duration {
	freeAt, isSpared := s.freeAt(query, now)
	if !isSpared {
		return 0
	}
	return freeAt.Sub(now) + time.Duration(toUnitInterval(hashes.Sum(query.AttemptID, query.Object))*float64(retrySpread))
}

// MinRetryAfter returns the least Retry-After of a query that is rejected after it was
// sent to an endpoint.
func (s *Selector) MinRetryAfter(query Query, now time.Time) time.Duration {
	state := s.services[query.Service]
	if state == nil || len(state.endpoints) == 0 {
		return noEndpointRetryAfter
	}
	if !state.hasEndpoint(query) {
		return noEndpointRetryAfter
	}
	return state.sparedRetryAfter(query, now)
}
