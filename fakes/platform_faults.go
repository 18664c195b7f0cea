package fakes

import (
	"net/http"
	"sync"
	"time"

	"filberthold/store"

	"golang.org/x/time/rate"
)

// platformFaults holds the faults that a Platform injects. The zero value
// injects none.
type platformFaults struct {
	mu      sync.Mutex
	latency time.Duration
	reads   *rate.Limiter
	writes  *rate.Limiter
	down    bool
	// downFor holds the callers for which the platform is down, by the value of
	// store.CallerHeader.
	downFor map[string]bool
	// droppedResponses is the number of next writes whose responses are
	// dropped.
	droppedResponses int
	memberLag        time.Duration
}

// SetLatency delays every request.
func (p *Platform) SetLatency(latency time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.latency = latency
}

// SetLimits bounds reads and writes a second; 0 means no limit. Requests
// above the limit are refused with status 429.
func (p *Platform) SetLimits(readsPerSecond, writesPerSecond int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.reads = newLimiter(readsPerSecond)
	p.faults.writes = newLimiter(writesPerSecond)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetDown starts or ends an outage for all callers.
func (p *Platform) SetDown(down bool) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.down = down
}

// SetDownFor starts or ends an outage for one caller.
func (p *Platform) SetDownFor(caller string, down bool) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	if p.faults.downFor == nil {
		p.faults.downFor = make(map[string]bool)
	}
	p.faults.downFor[caller] = down
}

// DropResponses drops the responses to the next writes: the writes take effect
// and the connection is closed.
func (p *Platform) DropResponses(count int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.droppedResponses = count
}

// SetMemberLag sets the age of the state that the host list shows.
func (p *Platform) SetMemberLag(lag time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.memberLag = lag
}

// admit delays a request and reports whether to execute it. If it reports
// false, the response has been written or the caller has cancelled the request.
func (f *platformFaults) admit(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	latency := f.latency
	isDown := f.down || f.downFor[r.Header.Get(store.CallerHeader)]
	limiter := f.reads
	if r.Method != http.MethodGet {
		limiter = f.writes
	}
	f.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-r.Context().Done():
			return false
		}
	}
	if isDown {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	if limiter != nil && !limiter.Allow() {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

// dropResponse closes the connection if the response to a write is to be
// dropped.
func (f *platformFaults) dropResponse() {
	f.mu.Lock()
	isDropped := f.droppedResponses > 0
	if isDropped {
		f.droppedResponses--
	}
	f.mu.Unlock()
	if isDropped {
		panic(http.ErrAbortHandler)
	}
}

// memberChange is an entry of the history of the host list.
type memberChange struct {
	at     time.Time
	member store.Member
}

// membersAsOf returns the newest state of each member at a time.
func (p *Platform) membersAsOf(asOf time.Time) map[string]store.Member {
	members := make(map[string]store.Member)
	for _, change := range p.memberChanges {
		if !change.at.After(asOf) {
			members[change.member.Name] = change.member
		}
	}
	return members
}
