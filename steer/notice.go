package steer

import (
	"time"

	"filberthold/model"
	"filberthold/roster"
)

// noticeRetention is how long a notice is kept after it was last heard. An endpoint
// that leaves has ended long before. If it has not, its next response repeats the
// notice.
const noticeRetention = time.Hour

const (
	// maxEntryDelay is the longest time from the start of an incarnation until this host
	// has read its entry, unless the store is away for longer.
	maxEntryDelay = 10 * time.Minute
	// clockMargin is how far the clocks of a host and an endpoint usually differ. An
	// endpoint that leaves takes longer from its last response to its next start.
	clockMargin = 500 * time.Millisecond
	// unclearRetention is how long a notice counts for an incarnation from which it came
	// only by the clocks. By then the entry shows what the endpoint does.
	unclearRetention = 30 * time.Second
)

// Notice is what an endpoint says of itself in a response. It is newer than any
// entry of the incarnation, whenever the entry is read.
type Notice struct {
	Endpoint model.EndpointName
	// Incarnation is the incarnation to which the request was sent. The response may come
	// from a later one, whose entry this host had not read.
	Incarnation int64
	// SentAt is when the request was sent, or zero if it is not known.
	SentAt time.Time
	// IsLeaving is true if the endpoint accepts no new requests.
	IsLeaving bool
	// RetryAfter is the time for which the endpoint wants no requests from this host,
	// or 0.
	RetryAfter time.Duration
}

// News is what a notice changed.
type News struct {
	// IsLeaving is true if the endpoint was not known to be leaving.
	IsLeaving bool
	// IsSpared is true if the endpoint asked to be spared and was not spared before.
	IsSpared bool
	// SparedUntil is the time until which the endpoint is spared, if it asked for that.
	SparedUntil time.Time
}

// notice is what is known from the notices of an endpoint. It does not depend on
// the entry of the endpoint, which may be removed and written again.
type notice struct {
	// incarnation is the newest incarnation that sent a notice.
	incarnation int64
	heardAt     time.Time
	// sentAt is when the request was sent to which the last notice was the response.
	sentAt    time.Time
	isLeaving bool
	// spare is the time for which the endpoint asked to be spared, without requests
	// since.
	spare spareState
}

// appliesTo reports whether the notice is about an incarnation. An incarnation
// earlier than the one that sent it has ended.
func (n *notice) appliesTo(incarnation int64, now time.Time) bool {
	if n == nil {
		return false
	}
	return incarnation <= n.incarnation || n.isUnclear(incarnation, now)
}

// isUnclear reports whether the notice may come from an incarnation later than the one
// to which the request was sent. A response does not name its incarnation.
func (n *notice) isUnclear(incarnation int64, now time.Time) bool {
	return now.Before(n.heardAt.Add(unclearRetention)) && wasRunningAt(incarnation, n.sentAt)
}

// wasRunningAt reports whether an incarnation had started, not long before, when a
// request was sent.
func wasRunningAt(incarnation int64, sentAt time.Time) bool {
	startedAt := time.UnixMilli(incarnation)
	return !sentAt.IsZero() && startedAt.After(sentAt.Add(-maxEntryDelay)) && startedAt.Before(sentAt.Add(clockMargin))
}

// Hear records a notice of an endpoint. If the endpoint asked to be spared, it is not
// chosen before that time has passed. If it is leaving, it is not chosen any more once
// Update was called.
func (s *Selector) Hear(heard Notice, now time.Time) News {
	if !heard.isSet() || s.isOutdated(heard) {
		return News{}
	}
	known := s.notices[heard.Endpoint]
	if known == nil || known.incarnation < heard.Incarnation {
		s.deleteOldNotices(now)
		known = &notice{incarnation: heard.Incarnation}
		s.notices[heard.Endpoint] = known
	}
	known.heardAt, known.sentAt = now, heard.SentAt
	if next := now.Add(unclearRetention); next.After(s.noticesUnclearUntil) {
		s.noticesUnclearUntil = next
	}
	news := News{IsLeaving: heard.IsLeaving && !known.isLeaving}
	known.isLeaving = known.isLeaving || heard.IsLeaving
	if heard.RetryAfter > 0 {
		news.IsSpared = !known.spare.isSpared(now)
		s.spare(heard, known, now)
		news.SparedUntil = known.spare.until
	}
	return news
}

func (n Notice) isSet() bool { return n.IsLeaving || n.RetryAfter > 0 }

// spare applies the time for which an endpoint asked to be spared. A shorter time does
// not end an earlier one.
func (s *Selector) spare(heard Notice, known *notice, now time.Time) {
	target := s.endpoints[heard.Endpoint]
	spare := s.newSpareState(target, heard.RetryAfter, now)
	if !spare.until.After(known.spare.until) {
		return
	}
	known.spare = spare
	if target != nil && known.appliesTo(target.incarnation, now) {
		target.spare = spare
	}
}

// isOutdated reports whether a notice comes from an incarnation that a newer one has
// replaced.
func (s *Selector) isOutdated(heard Notice) bool {
	if known := s.notices[heard.Endpoint]; known != nil && heard.Incarnation < known.incarnation {
		return true
	}
	current := s.endpoints[heard.Endpoint]
	return current != nil && heard.Incarnation < current.incarnation && !wasRunningAt(current.incarnation, heard.SentAt)
}

// HasClearedNotices reports whether notices have ceased since the last call to count for
// an incarnation to which the request was not sent. Update must then be called.
func (s *Selector) HasClearedNotices(now time.Time) bool {
	if s.noticesUnclearUntil.IsZero() || now.Before(s.noticesUnclearUntil) {
		return false
	}
	s.noticesUnclearUntil = time.Time{}
	return true
}

func (s *Selector) deleteOldNotices(now time.Time) {
	for name, known := range s.notices {
		if now.Sub(known.heardAt) > noticeRetention {
			delete(s.notices, name)
		}
	}
}

// knownSpare returns the time for which a registered endpoint asked to be spared.
func (s *Selector) knownSpare(registered roster.Endpoint, now time.Time) spareState {
	known := s.notices[registered.Name]
	if !known.appliesTo(registered.Incarnation, now) {
		return spareState{}
	}
	return known.spare
}

// isLeaving reports whether a registered endpoint has said that it is leaving.
func (s *Selector) isLeaving(registered roster.Endpoint, now time.Time) bool {
	known := s.notices[registered.Name]
	return known.appliesTo(registered.Incarnation, now) && known.isLeaving
}
