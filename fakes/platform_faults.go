package fakes

import (
	"net/http"
	"sync"
	"time"

	"filberthold/store"

	"golang.org/x/time/rate"
)

// platformFaults are the switches of the platform stand-in. The zero value
// has no fault.
type platformFaults struct {
	mu      sync.Mutex
	latency time.Duration
	reads   *rate.Limiter
	writes  *rate.Limiter
	down    bool
	// cutOff holds the callers that get no answer, by store.CallerHeader.
	cutOff map[string]bool
	// lostAnswers counts the next writes that take effect without an answer.
	lostAnswers int
	memberLag   time.Duration
}

// SetLatency delays every answer.
func (p *Platform) SetLatency(latency time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.latency = latency
}

// SetLimits bounds reads and writes a second; 0 stands for no limit. Requests
// above the limit are answered with status 429.
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
func (p *Platform) SetDownFor(caller string, cutOff bool) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	if p.faults.cutOff == nil {
		p.faults.cutOff = make(map[string]bool)
	}
	p.faults.cutOff[caller] = cutOff
}

// DropResponses makes the next writes take effect without an answer: the
// connection is closed after the write.
func (p *Platform) DropResponses(count int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.lostAnswers = count
}

// SetMemberLag makes the host list show the state of some time ago.
func (p *Platform) SetMemberLag(lag time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.memberLag = lag
}

// admit delays the request and reports whether it may be carried out. If it
// may not, it has been answered.
func (f *platformFaults) admit(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	latency := f.latency
	unavailable := f.down || f.cutOff[r.Header.Get(store.CallerHeader)]
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
	if unavailable {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	if limiter != nil && !limiter.Allow() {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

// loseAnswer closes the connection if the answer to a write is to be lost.
func (f *platformFaults) loseAnswer() {
	f.mu.Lock()
	lost := f.lostAnswers > 0
	if lost {
		f.lostAnswers--
	}
	f.mu.Unlock()
	if lost {
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
