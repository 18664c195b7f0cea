package steer

import (
	"fmt"
	"math"
	"time"

	"filberthold/model"
)

const (
	// permitBurst is the number of requests that a limited endpoint may get at once
	// after a pause. Requests do not arrive evenly, so with less the endpoint would
	// get fewer than it accepts.
	permitBurst = 2
	// minLimit is the least rate at which a limited endpoint gets requests, in
	// requests a second. Only a response shows that a limit has ended.
	minLimit = 0.1
	// maxPermitDelay bounds the time until the next permit in a message. It exceeds
	// the time between two permits at minLimit.
	maxPermitDelay = 20 * time.Second
	// permitRetryDelay is how long a host does not ask for a permit again after it
	// got no answer, or one from a host that does not issue them.
	permitRetryDelay = 300 * time.Millisecond
	// limitNewsTime is how long the owner of an endpoint repeats a change of its
	// limit in its load reports, because messages may be lost.
	limitNewsTime = 3 * time.Second
	// maxLimitNews bounds the changes in one load report, which must fit a datagram.
	maxLimitNews = 64
)

// RateLimit is the limit that an endpoint names in a response. It applies from then
// on until a response names none.
type RateLimit struct {
	IsSet bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the number of requests a second that the endpoint accepts from
	// all hosts together. It is not negative.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// LimitNews is what a host knows of an endpoint's limit, from a response that
// arrived Age ago, there or at another host.
type LimitNews struct {
	Endpoint EndpointID    `cbor:"1,keyasint"`
	Limit    RateLimit     `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"`
}

// Check returns an error if the fields are out of range.
func (n LimitNews) Check() error { return checkLimit(n.Limit, n.Age) }

// PermitRequest asks the owner of a limited endpoint for a permit to send one
// request to it. One host issues the permits of an endpoint, so the limit holds
// over all hosts whichever of them have requests for it.
type PermitRequest struct {
	// Owner is the host that issues the permits, or empty if none is needed.
	Owner model.HostName
	News  LimitNews
}

// IsNeeded reports whether a request may be sent only with a permit.
func (r PermitRequest) IsNeeded() bool { return r.Owner != "" }

// Refusal returns the answer without a permit, for a host that got none from the
// owner or asked a host that is not the owner. It tells nothing new of the limit.
func (r PermitRequest) Refusal() Permit {
	return Permit{RetryAfter: permitRetryDelay, Limit: r.News.Limit, Age: r.News.Age}
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	IsGranted bool `cbor:"1,keyasint,omitempty"`
	// RetryAfter is the time until the next permit if this one is not granted.
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// Limit is what the owner knows of the limit, from a response that arrived Age
	// ago.
	Limit RateLimit     `cbor:"3,keyasint"`
	Age   time.Duration `cbor:"4,keyasint"`
}

// Check returns an error if the fields are out of range.
func (p Permit) Check() error {
	if p.RetryAfter < 0 || p.RetryAfter > maxPermitDelay {
		return fmt.Errorf("the time until the next permit, %s, is out of range", p.RetryAfter)
	}
	return checkLimit(p.Limit, p.Age)
}

func checkLimit(limit RateLimit, age time.Duration) error {
	if math.IsNaN(limit.PerSecond) || math.IsInf(limit.PerSecond, 0) || limit.PerSecond < 0 || age < 0 {
		return fmt.Errorf("limit %v or its age %s is out of range", limit.PerSecond, age)
	}
	return nil
}

// rateState is what a host knows of an endpoint's limit.
type rateState struct {
	limit RateLimit
	// seenAt is when the response arrived, here or at another host, from which the
	// limit is known.
	seenAt time.Time
	// changedAt is when this host learnt that the limit changed.
	changedAt time.Time
	// deferredUntil is the time until which this host sends no request, because the
	// next permit is not due before.
	deferredUntil time.Time
	// nextAt is the time at which the next request would be due if all came evenly.
	// Only the owner uses it.
	nextAt time.Time
}

// apply records a limit from a response that arrived some time ago. It ignores older
// knowledge and reports whether the limit changed.
func (r *rateState) apply(limit RateLimit, age time.Duration, now time.Time) bool {
	seenAt := now.Add(-age)
	if seenAt.Before(r.seenAt) {
		return false
	}
	hasChanged := r.limit != limit
	r.limit, r.seenAt = limit, seenAt
	if !hasChanged {
		return false
	}
	r.changedAt = now
	if !limit.IsSet {
		r.deferredUntil, r.nextAt = time.Time{}, time.Time{}
		return true
	}
	// By a higher limit, the next permit is due sooner.
	r.deferredUntil = earlier(r.deferredUntil, now.Add(r.interval()))
	r.nextAt = earlier(r.nextAt, now.Add(permitBurst*r.interval()))
	return true
}

// interval returns the time between two permits.
func (r *rateState) interval() time.Duration {
	return time.Duration(float64(time.Second) / max(r.limit.PerSecond, minLimit))
}

// isDeferred reports whether this host must not send a request now.
func (r *rateState) isDeferred(now time.Time) bool { return now.Before(r.deferredUntil) }

// take uses a permit if one is due, and sets when the next one is: after an interval if
// all are used.
func (r *rateState) take(interval time.Duration, now time.Time) bool {
	burst := (permitBurst - 1) * interval
	if r.nextAt.IsZero() {
		// The limit, or this owner, is new: permits start one at a time.
		r.nextAt = now.Add(burst)
	}
	isDue := !now.Before(r.nextAt.Add(-burst))
	if isDue {
		r.nextAt = later(r.nextAt, now).Add(interval)
	}
	r.deferredUntil = r.nextAt.Add(-burst)
	return isDue
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// applyLimit records the limit that a response names and reports whether it
// changed. Only a success shows that there is no limit any more: refusals of an
// endpoint may leave it out.
func (e *endpoint) applyLimit(outcome Outcome, now time.Time) bool {
	if !outcome.Limit.IsSet && outcome.Result != Answered {
		return false
	}
	return e.rate.apply(outcome.Limit, 0, now)
}

// takePermit counts a request to a limited endpoint if this host is the owner.
// Otherwise it returns the request for a permit.
func (s *Selector) takePermit(chosen *endpoint, now time.Time) PermitRequest {
	if !chosen.rate.limit.IsSet {
		return PermitRequest{}
	}
	owner := s.owner(chosen)
	if owner == s.host {
		s.takeOwned(chosen, now)
		return PermitRequest{}
	}
	return PermitRequest{Owner: owner, News: chosen.limitNews(now)}
}

// ApplyLimitNews applies what another host knows of an endpoint's limit.
func (s *Selector) ApplyLimitNews(news LimitNews, now time.Time) {
	if target := s.byID[news.Endpoint]; target != nil {
		target.rate.apply(news.Limit, news.Age, now)
	}
}

// IssuePermit answers another host's request for a permit.
func (s *Selector) IssuePermit(request PermitRequest, now time.Time) Permit {
	target := s.byID[request.News.Endpoint]
	if target == nil || !target.isUsable || s.owner(target) != s.host {
		return request.Refusal()
	}
	target.rate.apply(request.News.Limit, request.News.Age, now)
	permit := Permit{IsGranted: true, Limit: target.rate.limit, Age: now.Sub(target.rate.seenAt)}
	if permit.Limit.IsSet && !s.takeOwned(target, now) {
		permit.IsGranted, permit.RetryAfter = false, target.rate.deferredUntil.Sub(now)
	}
	return permit
}

// ApplyPermit applies the answer to the permit request of a Send. It reports whether
// the request is sent: the permit is granted, and the endpoint can still be chosen. A
// request that is not sent no longer counts as in flight.
func (s *Selector) ApplyPermit(send Send, permit Permit, now time.Time) bool {
	target := s.endpoints[send.Endpoint.Name]
	if target == nil || target.incarnation != send.Endpoint.Incarnation {
		return false
	}
	target.rate.apply(permit.Limit, permit.Age, now)
	if permit.IsGranted && target.isUsable && !target.spare.isSpared(now) {
		return true
	}
	target.inFlight = max(0, target.inFlight-1)
	target.end(send.Work)
	if target.rate.limit.IsSet && !permit.IsGranted {
		target.rate.deferredUntil = now.Add(permit.RetryAfter)
	}
	return false
}

// NewsForOwner returns what to tell the owner of an endpoint whose limit changed. It
// returns false if this host is the owner. The owner may send no request itself, and
// tells the other hosts.
func (s *Selector) NewsForOwner(name model.EndpointName, now time.Time) (owner model.HostName, news LimitNews, isNews bool) {
	target := s.endpoints[name]
	if target == nil {
		return "", LimitNews{}, false
	}
	owner = s.owner(target)
	return owner, target.limitNews(now), owner != s.host
}

// OwnedLimitNews returns the limits that changed within limitNewsTime at the
// endpoints that this host owns, for its load reports. Hosts thus learn of a limit
// before they send to the endpoint.
func (s *Selector) OwnedLimitNews(now time.Time) []LimitNews {
	var news []LimitNews
	for _, target := range s.endpoints {
		if len(news) < maxLimitNews && now.Sub(target.rate.changedAt) < limitNewsTime && s.owner(target) == s.host {
			news = append(news, target.limitNews(now))
		}
	}
	return news
}

func (e *endpoint) limitNews(now time.Time) LimitNews {
	return LimitNews{Endpoint: e.id(), Limit: e.rate.limit, Age: now.Sub(e.rate.seenAt)}
}

// deferredFor returns the time until the first endpoint that a request may use is neither
// spared nor waits for its next permit, or 0 if one is not.
func (s *serviceState) deferredFor(query Query, now time.Time) time.Duration {
	earliest := time.Time{}
	for _, candidate := range s.endpoints {
		if !query.AllowsRegion(candidate.region) {
			continue
		}
		if !candidate.rate.isDeferred(now) && !candidate.spare.isSpared(now) {
			return 0
		}
		freeAt := later(candidate.rate.deferredUntil, candidate.spare.until)
		if earliest.IsZero() || freeAt.Before(earliest) {
			earliest = freeAt
		}
	}
	return max(0, earliest.Sub(now))
}
