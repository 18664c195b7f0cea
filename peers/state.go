package peers

import (
	"sync"
	"time"

	"filberthold/model"
	"filberthold/revise"
)

const (
	// confirmationLifetime is how long a host accepts new requests after the
	// last contact with the store or with a peer that has no newer revision.
	confirmationLifetime = 4 * time.Second
	// bodyRequestInterval is how long a host waits for a body before it
	// requests it again, from the next peer whose digest has a higher revision.
	bodyRequestInterval = 2 * time.Second
)

// State is the state that a host exchanges with its peers: its revision,
// leaving marks and the state of other hosts. It does no I/O and is safe for
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
	// confirmedAt is the time of the last contact with the store or with a peer
	// that had no revision higher than the current one.
	confirmedAt time.Time
	// requestedRevision is the revision whose body was requested last, at
	// requestedAt.
	requestedRevision uint64
	requestedAt       time.Time
	hosts             hostStates
}

// NewState returns the state of a host that has no revision.
func NewState(host model.HostName, incarnation string) *State {
	return &State{host: host, incarnation: incarnation, marks: newMarkSet(), hosts: newHostStates()}
}

// Publish sets the revision that is announced to peers. It reports false if the
// revision is not higher than the current one.
func (s *State) Publish(id revise.RevisionID, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id.Number() <= s.current.Number() {
		return false
	}
	s.current, s.body = id, body
	return true
}

// Confirm records that the store returned a revision as its newest one.
// requestedAt is the time at which the request was sent, so that a slow
// response does not extend the confirmation.
func (s *State) Confirm(revision uint64, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(revision, requestedAt)
}

func (s *State) confirm(revision uint64, at time.Time) {
	if s.current.Number() > 0 && revision <= s.current.Number() && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Confirmed reports whether the store or a peer has confirmed the current
// revision within the last 4 s. A host without confirmation accepts no new
// requests.
func (s *State) Confirmed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Number() > 0 && now.Sub(s.confirmedAt) < confirmationLifetime
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

// RetainMarks removes the marks of endpoints that are no longer configured.
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
		Notices: s.hosts.notices(now),
	}
}

// SetSubset sets the hosts that should send digests to this host.
func (s *State) SetSubset(hosts []model.Host, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.setSubset(hosts, now)
}

// HostState returns the state of an entry host as its peers report it.
func (s *State) HostState(host model.HostName, now time.Time) HostState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if host == s.host {
		return HostState{Alive: true, Leaving: s.leaving}
	}
	return s.hosts.state(host, now)
}

// ReceiveDigest updates the state from a digest and returns the frames to send
// back. It reports true if this host should send a digest to all peers at once,
// because it is the first report that some host is leaving.
func (s *State) ReceiveDigest(digest Digest, now time.Time) (responses []Frame, isFirstReport bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest.Host == s.host {
		return nil, false
	}
	isFirstReport = s.hosts.receive(s.host, digest, now)
	s.confirm(digest.Revision, now)
	if digest.MarksHash != s.marks.hash && s.marks.count > 0 {
		responses = append(responses, LeavingMarks{Marks: s.marks.all()})
	}
	current := s.current.Number()
	switch {
	case digest.Revision < current && digest.RequestsBody:
		responses = append(responses, Revision{Number: current, Digest: s.current.Digest(), Body: s.body})
	case digest.Revision < current:
		responses = append(responses, s.digest(now))
	case digest.Revision > current && (digest.Revision > s.requestedRevision || now.Sub(s.requestedAt) >= bodyRequestInterval):
		s.requestedRevision, s.requestedAt = digest.Revision, now
		request := s.digest(now)
		request.RequestsBody = true
		responses = append(responses, request)
	}
	return responses, isFirstReport
}

// ReceiveMarks adds marks from a peer. It returns those that are new, and the
// frames to send back if the peer lacks some marks.
func (s *State) ReceiveMarks(marks LeavingMarks) (added []LeavingMark, responses []Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added = s.mark(marks.Marks)
	sent := newMarkSet()
	for _, mark := range marks.Marks {
		sent.add(mark)
	}
	if sent.hash != s.marks.hash && s.marks.count > len(added) {
		responses = append(responses, LeavingMarks{Marks: s.marks.all()})
	}
	return added, responses
}
