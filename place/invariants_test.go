package place_test

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/place"

	"pgregory.net/rapid"
)

// checker applies events to a core and fails the test if a decision violates an
// invariant.
type checker struct {
	t    *rapid.T
	core *place.Core
	now  time.Time
	// inFlight holds the attempts whose end has not been reported; running holds
	// the attempts that the upstream executes.
	inFlight, running map[place.AttemptID]place.Send
	requests          map[place.RequestID]*trackedRequest
	leaving           map[model.EndpointName]bool
	// sparedUntil holds the ends of the times for which endpoints asked to get no request.
	sparedUntil map[model.EndpointName]time.Time
	// These count requests and attempts by service.
	arrivals, hedges, retries, moved map[model.ServiceName]int
}

// trackedRequest is the state of a request as the checker sees it. sends counts
// its attempts, notStarted those that the upstream did not start.
type trackedRequest struct {
	service                        model.ServiceName
	sends, notStarted              int
	isMoved, isAbandoned, hasEnded bool
}

func newChecker(t *rapid.T, core *place.Core, now time.Time) *checker {
	count := func() map[model.ServiceName]int { return make(map[model.ServiceName]int) }
	return &checker{
		t: t, core: core, now: now,
		inFlight: make(map[place.AttemptID]place.Send), running: make(map[place.AttemptID]place.Send),
		requests: make(map[place.RequestID]*trackedRequest), leaving: make(map[model.EndpointName]bool),
		sparedUntil: make(map[model.EndpointName]time.Time),
		arrivals:    count(), hedges: count(), retries: count(), moved: count(),
	}
}

func (c *checker) apply(event place.Event) {
	for _, decision := range c.core.Apply(event, c.now) {
		request := c.requests[decision.RequestID()]
		if _, isCancel := decision.(place.Cancel); request.hasEnded && !isCancel {
			c.t.Fatalf("%#v after the end of the request", decision)
		}
		switch decision := decision.(type) {
		case place.Send:
			c.checkSend(decision, request)
		case place.Deliver:
			request.hasEnded = true
		case place.Refuse:
			request.hasEnded = true
			if isProvenNotRun := request.sends == request.notStarted; isProvenNotRun != (decision.Outcome != model.Unknown) {
				c.t.Fatalf("outcome %s with %d of %d attempts not started", decision.Outcome, request.notStarted, request.sends)
			}
			if decision.Outcome == model.NotRun && request.service != "desk" {
				c.t.Fatalf("notRun for a request without a row")
			}
		}
	}
	if _, isTick := event.(place.Ticked); isTick {
		if next := c.core.NextTick(); !next.IsZero() && !next.After(c.now) {
			c.t.Fatalf("next tick %v is not after %v", next, c.now)
		}
	}
}

// checkSend checks an attempt against the leaving endpoints, the slots, the
// deadline, the budgets, the shift cap and, for a submit, the earlier attempts.
func (c *checker) checkSend(send place.Send, request *trackedRequest) {
	service := request.service
	if c.leaving[send.Endpoint] {
		c.t.Fatalf("leaving endpoint %s got attempt %d", send.Endpoint, send.Attempt)
	}
	if c.now.Before(c.sparedUntil[send.Endpoint]) {
		c.t.Fatalf("spared endpoint %s got attempt %d", send.Endpoint, send.Attempt)
	}
	if !c.now.Before(send.Deadline) {
		c.t.Fatalf("attempt %d was sent at its deadline", send.Attempt)
	}
	for _, other := range c.running {
		if other.Endpoint == send.Endpoint {
			c.t.Fatalf("two requests on the slot of %s", send.Endpoint)
		}
	}
	if service == "desk" && (send.Hedge || request.sends != request.notStarted) {
		c.t.Fatalf("submit %s was sent again after an attempt that may have run", send.Request)
	}
	if send.Hedge {
		c.hedges[service]++
	} else if request.sends > 0 {
		c.retries[service]++
	}
	if 100*c.hedges[service] > 5*c.arrivals[service] || 100*(c.retries[service]-10) > 10*c.arrivals[service] {
		c.t.Fatalf("%d hedges and %d retries for %d requests", c.hedges[service], c.retries[service], c.arrivals[service])
	}
	if send.Endpoint >= model.EndpointName(service+"-3") && !request.isMoved {
		request.isMoved = true
		if c.moved[service]++; 100*c.moved[service] > shiftCapPercent*c.arrivals[service] {
			c.t.Fatalf("%d of %d requests of %s moved", c.moved[service], c.arrivals[service], service)
		}
	}
	request.sends++
	c.inFlight[send.Attempt], c.running[send.Attempt] = send, send
}

// reportEnd reports the end of an attempt. After Lost the upstream executes the
// request until the deadline by its own clock, which may be 1 s behind that of the
// host.
func (c *checker) reportEnd(send place.Send, result place.Result, isLeaving bool, spareFor time.Duration) {
	delete(c.inFlight, send.Attempt)
	if result != place.Lost {
		delete(c.running, send.Attempt)
	}
	if result == place.NotStarted {
		c.requests[send.Request].notStarted++
	}
	if isLeaving {
		c.leaving[send.Endpoint] = true
	}
	if until := c.now.Add(spareFor); until.After(c.sparedUntil[send.Endpoint]) {
		c.sparedUntil[send.Endpoint] = until
	}
	c.apply(place.Finished{Attempt: send.Attempt, Result: result, Leaving: isLeaving, SpareFor: spareFor})
}

// inFlightInOrder returns the attempts whose end has not been reported, in order.
func (c *checker) inFlightInOrder() []place.Send {
	return slices.SortedFunc(maps.Values(c.inFlight), func(a, b place.Send) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

// advance moves the time forward and applies each Ticked that the core needs.
func (c *checker) advance(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); {
		next := c.core.NextTick()
		if next.IsZero() || next.After(until) {
			next = until
		}
		c.now = next
		isOver := func(_ place.AttemptID, send place.Send) bool { return c.now.Sub(send.Deadline) >= time.Second }
		maps.DeleteFunc(c.running, isOver)
		maps.DeleteFunc(c.inFlight, isOver)
		c.apply(place.Ticked{})
	}
}

func (c *checker) arrive(service model.ServiceName, customer model.CustomerName, hash uint64, timeout time.Duration) {
	id := place.RequestID(fmt.Sprintf("%05d", len(c.requests)))
	c.requests[id] = &trackedRequest{service: service}
	c.arrivals[service]++
	c.apply(place.Arrived{Request: place.Request{
		ID: id, Service: service, Customer: customer, BlockHash: hash, Home: "north", Deadline: c.now.Add(timeout),
	}})
}

// Guards against a new attempt at a leaving or spared endpoint, two requests on one slot,
// a submit that runs twice, notRun without proof, hedges and retries above
// their budgets, shifts above the cap, a request that ends twice or never, a
// NextTick in the past, and an idle core that still needs a tick.
func TestRulesOfPlacement(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	deployment := deploy(t, 1, start, "here")
	rapid.Check(t, func(t *rapid.T) {
		c := newChecker(t, place.New("here"), start)
		c.apply(place.Adopted{Deployment: deployment})
		for range 60 {
			c.arrive("view", "a", 1<<63, time.Second)
			c.advance(10 * time.Millisecond)
			for _, send := range c.inFlightInOrder() {
				c.reportEnd(send, place.Succeeded, false, 0)
			}
		}
		drawAttempt := func() (place.Send, bool) {
			sends := c.inFlightInOrder()
			if len(sends) == 0 {
				return place.Send{}, false
			}
			return sends[rapid.IntRange(0, len(sends)-1).Draw(t, "attempt")], true
		}
		incarnations := 0
		nextIncarnation := func() int { incarnations++; return incarnations }
		endpoint := rapid.SampledFrom(deployment.Endpoints())
		arrive := func(t *rapid.T) {
			hash := rapid.SampledFrom([]uint64{0, 1 << 63}).Draw(t, "block")
			customer := rapid.SampledFrom([]model.CustomerName{"a", "b"}).Draw(t, "customer")
			timeout := time.Duration(rapid.IntRange(0, 20).Draw(t, "timeout")) * 100 * time.Millisecond
			c.arrive(rapid.SampledFrom([]model.ServiceName{"view", "desk"}).Draw(t, "service"), customer, hash, timeout)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive too": arrive, "arrive as well": arrive,
			"report": func(t *rapid.T) {
				if send, exists := drawAttempt(); exists {
					result := rapid.SampledFrom([]place.Result{place.Succeeded, place.NotStarted, place.Failed, place.Lost}).Draw(t, "result")
					isRefused := result == place.NotStarted
					spareFor := time.Duration(rapid.IntRange(0, 30).Draw(t, "spareFor")) * 100 * time.Millisecond
					if !isRefused || rapid.Bool().Draw(t, "isPlain") {
						spareFor = 0
					}
					c.reportEnd(send, result, isRefused && rapid.Bool().Draw(t, "leaving"), spareFor)
				}
			},
			"storm": func(*rapid.T) {
				for range 10 {
					c.arrive("desk", "a", 1<<63, time.Second)
					for _, send := range c.inFlightInOrder() {
						c.reportEnd(send, place.NotStarted, false, 0)
					}
				}
			},
			"abandon": func(t *rapid.T) {
				id := place.RequestID(fmt.Sprintf("%05d", rapid.IntRange(60, 120).Draw(t, "request")))
				if request, exists := c.requests[id]; exists {
					request.isAbandoned = request.service == "view"
				}
				c.apply(place.Abandoned{Request: id})
			},
			"mark": func(t *rapid.T) {
				name := endpoint.Draw(t, "endpoint").Name()
				c.leaving[name] = true
				c.apply(place.Marked{Endpoint: name, Incarnation: fmt.Sprint("mark", nextIncarnation())})
			},
			"unmark": func(t *rapid.T) {
				name := endpoint.Draw(t, "endpoint").Name()
				delete(c.leaving, name)
				delete(c.sparedUntil, name)
				c.apply(place.Unmarked{Endpoint: name, Incarnation: fmt.Sprint("new", nextIncarnation())})
			},
			"pass": func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
		})
		c.advance(time.Minute)
		for id, request := range c.requests {
			if !request.hasEnded && !request.isAbandoned {
				t.Fatalf("request %s has not ended", id)
			}
		}
		if !c.core.NextTick().IsZero() {
			t.Fatalf("idle core needs a tick at %v", c.core.NextTick())
		}
	})
}

// TestMain raises the number of random sessions. Command-line flags override it.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.checks", "400"), flag.Set("rapid.steps", "120")); err != nil {
		panic(err)
	}
	m.Run()
}
