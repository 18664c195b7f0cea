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

// checker applies events to a core and fails if a decision breaks a rule.
type checker struct {
	t        *rapid.T
	core     *place.Core
	now      time.Time
	services map[place.RequestID]model.ServiceName
	// flying holds the attempts whose end has not been reported, running those
	// that the upstream executes.
	flying   map[place.AttemptID]place.Send
	running  map[place.AttemptID]place.Send
	ended    map[place.RequestID]place.Decision
	clean    map[place.RequestID]int
	sends    map[place.RequestID]int
	moved    map[place.RequestID]bool
	leaving  map[model.EndpointName]bool
	arrivals map[model.ServiceName]int
	hedges   int
	retries  map[model.ServiceName]int
}

func newChecker(t *rapid.T, core *place.Core, now time.Time) *checker {
	return &checker{
		t: t, core: core, now: now,
		services: make(map[place.RequestID]model.ServiceName),
		flying:   make(map[place.AttemptID]place.Send),
		running:  make(map[place.AttemptID]place.Send),
		ended:    make(map[place.RequestID]place.Decision),
		clean:    make(map[place.RequestID]int),
		sends:    make(map[place.RequestID]int),
		moved:    make(map[place.RequestID]bool),
		leaving:  make(map[model.EndpointName]bool),
		arrivals: make(map[model.ServiceName]int),
		retries:  make(map[model.ServiceName]int),
	}
}

func (c *checker) apply(event place.Event) {
	for _, decision := range c.core.Apply(event, c.now) {
		if end, exists := c.ended[decision.For()]; exists {
			if _, isCancel := decision.(place.Cancel); !isCancel {
				c.t.Fatalf("%#v after the end %#v", decision, end)
			}
		}
		switch decision := decision.(type) {
		case place.Send:
			c.checkSend(decision)
		case place.Deliver:
			c.ended[decision.Request] = decision
		case place.Refuse:
			c.ended[decision.Request] = decision
			isProved := c.sends[decision.Request] == c.clean[decision.Request]
			if isProved != (decision.Outcome != model.Unknown) {
				c.t.Fatalf("outcome %s with %d of %d attempts not started", decision.Outcome, c.clean[decision.Request], c.sends[decision.Request])
			}
			if decision.Outcome == model.NotRun && c.services[decision.Request] != "desk" {
				c.t.Fatalf("notRun for a request without a row")
			}
		}
	}
	if _, isTick := event.(place.Ticked); isTick {
		if next := c.core.NextWake(); !next.IsZero() && !next.After(c.now) {
			c.t.Fatalf("next wake %v at %v", next, c.now)
		}
	}
}

func (c *checker) checkSend(send place.Send) {
	service := c.services[send.Request]
	if c.leaving[send.Endpoint] {
		c.t.Fatalf("%s is leaving and got attempt %d", send.Endpoint, send.Attempt)
	}
	if !c.now.Before(send.Deadline) {
		c.t.Fatalf("attempt %d was sent at its deadline", send.Attempt)
	}
	for _, other := range c.running {
		if other.Endpoint == send.Endpoint {
			c.t.Fatalf("two requests on the slot of %s", send.Endpoint)
		}
	}
	if service == "desk" && c.sends[send.Request] != c.clean[send.Request] {
		c.t.Fatalf("submit %s was sent again after an attempt that may have run", send.Request)
	}
	if send.Hedge {
		c.hedges++
	} else if c.sends[send.Request] > 0 {
		c.retries[service]++
	}
	if 100*c.hedges > 5*c.arrivals["view"] || 100*(c.retries[service]-10) > 10*c.arrivals[service] {
		c.t.Fatalf("%d hedges and %d retries for %d requests", c.hedges, c.retries[service], c.arrivals[service])
	}
	if send.Endpoint >= model.EndpointName(service+"-3") {
		c.moved[send.Request] = true
		count := 0
		for request := range c.moved {
			if c.services[request] == service {
				count++
			}
		}
		if 100*count > shiftCap*c.arrivals[service] {
			c.t.Fatalf("%d of %d requests of %s moved", count, c.arrivals[service], service)
		}
	}
	c.sends[send.Request]++
	c.flying[send.Attempt], c.running[send.Attempt] = send, send
}

// report ends an attempt. After Lost the upstream goes on until the deadline
// by its own clock, which may be 1 s behind that of the host.
func (c *checker) report(send place.Send, result place.Result, isLeaving bool) {
	delete(c.flying, send.Attempt)
	if result != place.Lost {
		delete(c.running, send.Attempt)
	}
	if result == place.NotStarted {
		c.clean[send.Request]++
	}
	if isLeaving {
		c.leaving[send.Endpoint] = true
	}
	c.apply(place.Finished{Attempt: send.Attempt, Result: result, Leaving: isLeaving})
}

// sorted returns the attempts whose end has not been reported, in order.
func (c *checker) sorted() []place.Send {
	return slices.SortedFunc(maps.Values(c.flying), func(a, b place.Send) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

func (c *checker) pass(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); {
		next := c.core.NextWake()
		if next.IsZero() || next.After(until) {
			next = until
		}
		c.now = next
		isOver := func(_ place.AttemptID, send place.Send) bool { return c.now.Sub(send.Deadline) >= time.Second }
		maps.DeleteFunc(c.running, isOver)
		maps.DeleteFunc(c.flying, isOver)
		c.apply(place.Ticked{})
	}
}

func (c *checker) arrive(service model.ServiceName, customer model.CustomerName, hash uint64, timeout time.Duration) {
	id := place.RequestID(fmt.Sprintf("%05d", len(c.services)))
	c.services[id] = service
	c.arrivals[service]++
	c.apply(place.Arrived{Request: place.Request{
		ID: id, Service: service, Customer: customer, BlockHash: hash, Home: "north", Deadline: c.now.Add(timeout),
	}})
}

// Guards against: new work for an endpoint that leaves, two requests on a
// slot, a submit that runs twice, notRun without proof, hedges and retries
// beyond their budgets, shifts beyond the cap, a request that ends twice or
// never, and a core that asks to be woken in the past.
func TestRulesOfPlacement(t *testing.T) {
	outer := t
	start := time.Unix(1_000_000, 0)
	deployment := deploy(outer, 1, start, "here")
	rapid.Check(t, func(t *rapid.T) {
		c := newChecker(t, place.New("here"), start)
		c.apply(place.Adopted{Deployment: deployment})
		for range 60 {
			c.arrive("view", "a", 1<<63, time.Second)
			c.pass(10 * time.Millisecond)
			for _, send := range c.sorted() {
				c.report(send, place.Succeeded, false)
			}
		}
		abandoned := make(map[place.RequestID]bool)
		oldest := func() (place.Send, bool) {
			sends := c.sorted()
			if len(sends) == 0 {
				return place.Send{}, false
			}
			return sends[rapid.IntRange(0, len(sends)-1).Draw(t, "attempt")], true
		}
		marks := 0
		serial := func() int { marks++; return marks }
		endpoint := rapid.SampledFrom(deployment.Endpoints())
		services := []model.ServiceName{"view", "desk"}
		arrive := func(t *rapid.T) {
			hash := rapid.SampledFrom([]uint64{0, 1 << 63}).Draw(t, "block")
			customer := rapid.SampledFrom([]model.CustomerName{"a", "b"}).Draw(t, "customer")
			timeout := time.Duration(rapid.IntRange(0, 20).Draw(t, "timeout")) * 100 * time.Millisecond
			c.arrive(rapid.SampledFrom(services).Draw(t, "service"), customer, hash, timeout)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive too": arrive, "arrive as well": arrive,
			"report": func(t *rapid.T) {
				if send, exists := oldest(); exists {
					result := rapid.SampledFrom([]place.Result{place.Succeeded, place.NotStarted, place.Failed, place.Lost}).Draw(t, "result")
					c.report(send, result, result == place.NotStarted && rapid.Bool().Draw(t, "leaving"))
				}
			},
			"storm": func(*rapid.T) {
				for range 10 {
					c.arrive("desk", "a", 1<<63, time.Second)
					for _, send := range c.sorted() {
						c.report(send, place.NotStarted, false)
					}
				}
			},
			"abandon": func(t *rapid.T) {
				id := place.RequestID(fmt.Sprintf("%05d", rapid.IntRange(60, 120).Draw(t, "request")))
				abandoned[id] = c.services[id] == "view"
				c.apply(place.Abandoned{Request: id})
			},
			"mark": func(t *rapid.T) {
				name := endpoint.Draw(t, "endpoint").Name()
				c.leaving[name] = true
				c.apply(place.Marked{Endpoint: name, Incarnation: fmt.Sprint("mark", serial())})
			},
			"unmark": func(t *rapid.T) {
				name := endpoint.Draw(t, "endpoint").Name()
				delete(c.leaving, name)
				c.apply(place.Unmarked{Endpoint: name, Incarnation: fmt.Sprint("new", serial())})
			},
			"pass": func(t *rapid.T) { c.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
		})
		c.pass(time.Minute)
		for id := range c.services {
			if _, exists := c.ended[id]; !exists && !abandoned[id] {
				t.Fatalf("request %s has no end", id)
			}
		}
		if !c.core.NextWake().IsZero() {
			t.Fatalf("core wants to be woken without work at %v", c.core.NextWake())
		}
	})
}

// TestMain raises the number of random sessions; a flag still overrides it.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.checks", "400"), flag.Set("rapid.steps", "120")); err != nil {
		panic(err)
	}
	m.Run()
}
