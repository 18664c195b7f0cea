package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

const (
	// refusedCallers is the number of callers. Each has one connection and one request in
	// flight.
	refusedCallers = 8
	// refusedPlay is how long they send requests. On the code before 4b2f9a6 and 5849fec, a
	// second is enough for a hundred cases.
	refusedPlay = time.Second
)

// refusedPlayer counts the answers to the requests of some callers.
type refusedPlayer struct {
	testbed *testbed
	name    string
	mu      sync.Mutex
	// statuses holds the status of each attempt, or 0 without a response.
	statuses map[string]int
}

// play lets callers send submits with bodies of 4 to 24 KB for a time.
func (p *refusedPlayer) play(duration time.Duration) {
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for number := range refusedCallers {
		caller := &client{address: p.testbed.hosts[number%len(p.testbed.hosts)].settings.CallerAddress()}
		group.Go(func() {
			defer caller.close()
			for count := 0; time.Now().Before(end); count++ {
				request := call{
					method: http.MethodPost, path: fmt.Sprint("/submit/", (number*31+count)%40), attempt: fmt.Sprintf("%s-%d-%d", p.name, number, count),
					body: strings.Repeat("x", minBodyBytes+count*977%(maxBodyBytes-minBodyBytes)), isChunked: count%5 == 4, timeout: callerTimeout, patience: maxPatience,
				}
				result := caller.send(request)
				p.mu.Lock()
				p.statuses[request.attempt] = result.status
				p.mu.Unlock()
				if result.err != nil {
					// The host may be about to start.
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
}

// isPromise reports whether a status promises that the request did not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refusedAndRun returns the attempts that were refused and ran, the number of refused ones
// and the number of those that ran.
func (p *refusedPlayer) refusedAndRun() (both []string, refused, run int) {
	for attempt, status := range p.statuses {
		runs := p.testbed.runs(attempt)
		if runs > 0 {
			run++
		}
		if isPromise(status) {
			refused++
		}
		if isPromise(status) && runs > 0 {
			both = append(both, attempt)
		}
	}
	return both, refused, run
}

// Guards against a promise that a request did not run and will not run, by an answer that
// is not the endpoint's own to this request or does not state it, although it has run.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	const unavailable, tooMany, timeout = "503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"
	plays := []struct {
		name       string
		refusal    fake.Refusal
		behaviours []fake.Behaviour
	}{
		{"refusal once", fake.Refusal{Status: unavailable}, []fake.Behaviour{fake.Refuse, fake.Serve}},
		{"copy with id at once", fake.Refusal{Status: unavailable, Copy: fake.CopyAtOnce}, []fake.Behaviour{fake.Refuse, fake.Serve}},
		{"copy with id late", fake.Refusal{Status: unavailable, Copy: fake.CopyLate}, []fake.Behaviour{fake.Refuse, fake.Serve}},
		{"copy without id at once", fake.Refusal{Status: unavailable, Copy: fake.CopyAtOnce, CopyHasNoID: true}, []fake.Behaviour{fake.Refuse, fake.Serve}},
		{"copy without id late", fake.Refusal{Status: unavailable, Copy: fake.CopyLate, CopyHasNoID: true}, []fake.Behaviour{fake.Refuse, fake.Serve}},
		{"copy of 429 without id late", fake.Refusal{Status: tooMany, Copy: fake.CopyLate, CopyHasNoID: true}, []fake.Behaviour{fake.Refuse, fake.Serve, fake.Serve}},
		{"run and 503 without a statement", fake.Refusal{Status: unavailable}, []fake.Behaviour{fake.RunAndRefuse, fake.Serve}},
		{"run and 429 without a statement", fake.Refusal{Status: tooMany}, []fake.Behaviour{fake.RunAndRefuse, fake.Serve}},
		{"run and 408 without a statement", fake.Refusal{Status: timeout}, []fake.Behaviour{fake.RunAndRefuse, fake.Serve}},
		{"run and reset", fake.Refusal{Status: unavailable, Copy: fake.CopyLate}, []fake.Behaviour{fake.Reset, fake.Refuse, fake.Serve}},
		{"run and lose the answer", fake.Refusal{Status: unavailable, Copy: fake.CopyLate}, []fake.Behaviour{fake.Serve, fake.Refuse, fake.Serve, fake.LoseAnswer, fake.Serve}},
	}
	b := startTestbed(t, 2, 6)
	for _, play := range plays {
		t.Run(play.name, func(t *testing.T) {
			for _, endpoint := range b.endpoints {
				endpoint.SetLatency(3 * time.Millisecond)
				endpoint.SetRefusal(play.refusal)
				endpoint.SetBehaviours(play.behaviours...)
			}
			player := &refusedPlayer{testbed: b, name: strings.ReplaceAll(play.name, " ", "-"), statuses: make(map[string]int)}
			player.play(refusedPlay)
			both, refused, run := player.refusedAndRun()
			t.Logf("%d requests, %d refused, %d run, %d refused and run", len(player.statuses), refused, run, len(both))
			assert.Assert(t, run > 0, "nothing has run")
			assert.Equal(t, len(both), 0, "refused and run: %.200q", both)
		})
	}
}
