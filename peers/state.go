package peers

import (
	"sync"
	"time"

	"filberthold/model"
	"filberthold/revise"
)

const (
	// confirmedFor bounds how long a host takes new work after the last
	// contact with the store or a peer that does not know a newer revision.
	confirmedFor = 4 * time.Second
	// askInterval bounds how long a host waits for a body before it asks
	// another peer.
	askInterval = 2 * time.Second
)

// State is what a host knows about its peers, without any I/O. It is safe for
// concurrent use. All times come from the caller.
type State struct {
	mu          sync.Mutex
	host        model.HostName
	incarnation string
	// current only changes to a higher number.
	current revise.RevisionID
	body    []byte
	marks   *markSet
	leaving bool
	// confirmedAt is the time of the last contact with the store or a peer
	// that knew no revision higher than the current one.
	confirmedAt time.Time
	// asked is the revision that a peer was asked for last, at askedAt.
	asked    uint64
	askedAt  time.Time
	presence presence
}

// NewState returns the state of a host that has no revision.
func NewState(host model.HostName, incarnation string) *State {
	return &State{host: host, incarnation: incarnation, marks: newMarkSet(), presence: newPresence()}
}

// Publish makes a revision the one that is told to peers. It reports false if
// it is not higher than the current one.
func (s *State) Publish(head revise.RevisionID, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.Number() <= s.current.Number() {
		return false
	}
	s.current, s.body = head, body
	return true
}

// Confirm notes that the store named a revision. The time is taken before the
// store was asked, so that a pause while waiting does not prolong the effect.
func (s *State) Confirm(revision uint64, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(revision, askedAt)
}

func (s *State) confirm(revision uint64, at time.Time) {
	if s.current.Number() > 0 && revision <= s.current.Number() && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Confirmed reports whether the store or a peer has confirmed the current
// revision within the last 4 s. A host that is not confirmed takes no new work.
func (s *State) Confirmed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Number() > 0 && now.Sub(s.confirmedAt) < confirmedFor
}

// Leave sets the leaving flag of this host. It is never cleared.
func (s *State) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Leaving reports whether this host is leaving.
func (s *State) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Mark adds leaving marks and returns those that are new.
func (s *State) Mark(marks ...LeavingMark) []LeavingMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mark(marks)
}

func (s *State) mark(marks []LeavingMark) []LeavingMark {
	var added []LeavingMark
	for _, mark := range marks {
		if s.marks.add(mark) {
			added = append(added, mark)
		}
	}
	return added
}

// Marks returns all leaving marks in a fixed order.
func (s *State) Marks() []LeavingMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marks.all()
}

// RetainMarks drops the marks of endpoints that are no longer configured.
func (s *State) RetainMarks(deployment *model.Deployment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks.retain(func(name model.EndpointName) bool {
		_, exists := deployment.Endpoint(name)
		return exists
	})
}

// Current returns the published revision and its body.
func (s *State) Current() (revise.RevisionID, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.body
}

// Digest returns the digest of this host.
func (s *State) Digest(now time.Time) Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest(now)
}

func (s *State) digest(now time.Time) Digest {
	return Digest{
		Host: s.host, Incarnation: s.incarnation, Revision: s.current.Number(),
		Marks: s.marks.count, MarksHash: s.marks.hash, Leaving: s.leaving,
		Notices: s.presence.notices(now),
	}
}

// SetSubset sets the hosts that should send digests to this host.
func (s *State) SetSubset(hosts []model.Host, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.presence.setSubset(hosts, now)
}

// HostState returns what peers say about an entry host.
func (s *State) HostState(host model.HostName, now time.Time) HostState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if host == s.host {
		return HostState{Alive: true, Leaving: s.leaving}
	}
	return s.presence.of(host, now)
}

// ReceiveDigest notes a digest and returns the frames to answer with. It
// reports true if other peers should get a digest at once, because a host has
// begun to leave.
func (s *State) ReceiveDigest(digest Digest, now time.Time) (answers []Frame, spreads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest.Host == s.host {
		return nil, false
	}
	spreads = s.presence.receive(s.host, digest, now)
	s.confirm(digest.Revision, now)
	if digest.MarksHash != s.marks.hash && s.marks.count > 0 {
		answers = append(answers, LeavingMarks{Marks: s.marks.all()})
	}
	current := s.current.Number()
	switch {
	case digest.Revision < current && digest.RequestsBody:
		answers = append(answers, Revision{Number: current, Digest: s.current.Digest(), Body: s.body})
	case digest.Revision < current:
		answers = append(answers, s.digest(now))
	case digest.Revision > current && (digest.Revision > s.asked || now.Sub(s.askedAt) >= askInterval):
		s.asked, s.askedAt = digest.Revision, now
		ask := s.digest(now)
		ask.RequestsBody = true
		answers = append(answers, ask)
	}
	return answers, spreads
}

// ReceiveMarks adds marks from a peer. It returns those that are new, and the
// frames to answer with if the peer lacks some.
func (s *State) ReceiveMarks(marks LeavingMarks) (added []LeavingMark, answers []Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added = s.mark(marks.Marks)
	sent := newMarkSet()
	for _, mark := range marks.Marks {
		sent.add(mark)
	}
	if sent.hash != s.marks.hash && s.marks.count > len(added) {
		answers = append(answers, LeavingMarks{Marks: s.marks.all()})
	}
	return added, answers
}
