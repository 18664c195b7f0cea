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

// Notice is what an endpoint says of itself in a response. It is newer than any
// entry of the incarnation, whenever the entry is read.
type Notice struct {
	Endpoint model.EndpointName
	// Incarnation is the incarnation to which the request was sent.
	Incarnation int64
	// IsLeaving is true if the endpoint accepts no new requests.
	IsLeaving bool
}

// News is what a notice changed.
type News struct {
	// IsLeaving is true if the endpoint was not known to be leaving.
	IsLeaving bool
}

// notice is what is known from the notices of an endpoint. It does not depend on
// the entry of the endpoint, which may be removed and written again.
type notice struct {
	// incarnation is the newest incarnation that sent a notice.
	incarnation int64
	heardAt     time.Time
	isLeaving   bool
}

// appliesTo reports whether the notice is about an incarnation. An incarnation
// earlier than the one that sent it has ended.
func (n *notice) appliesTo(incarnation int64) bool { return n != nil && incarnation <= n.incarnation }

// Hear records a notice of an endpoint. After a notice that the endpoint is leaving,
// it is not chosen any more once Update was called.
func (s *Selector) Hear(heard Notice, now time.Time) News {
	if !heard.IsLeaving || s.isOutdated(heard) {
		return News{}
	}
	known := s.notices[heard.Endpoint]
	if known == nil || known.incarnation < heard.Incarnation {
		s.deleteOldNotices(now)
		known = &notice{incarnation: heard.Incarnation}
		s.notices[heard.Endpoint] = known
	}
	known.heardAt = now
	news := News{IsLeaving: !known.isLeaving}
	known.isLeaving = true
	return news
}

// isOutdated reports whether a notice comes from an incarnation that a newer one has
// replaced.
func (s *Selector) isOutdated(heard Notice) bool {
	if known := s.notices[heard.Endpoint]; known != nil && heard.Incarnation < known.incarnation {
		return true
	}
	current := s.endpoints[heard.Endpoint]
	return current != nil && heard.Incarnation < current.incarnation
}

func (s *Selector) deleteOldNotices(now time.Time) {
	for name, known := range s.notices {
		if now.Sub(known.heardAt) > noticeRetention {
			delete(s.notices, name)
		}
	}
}

// isLeaving reports whether a registered endpoint has said that it is leaving.
func (s *Selector) isLeaving(registered roster.Endpoint) bool {
	known := s.notices[registered.Name]
	return known.appliesTo(registered.Incarnation) && known.isLeaving
}
