package place

import (
	"time"

	"filberthold/model"
)

// Core decides for one entry host. It is not safe for concurrent use.
type Core struct {
	host       model.HostName
	deployment *model.Deployment
	// requests holds the requests that have neither been delivered nor
	// refused.
	requests map[RequestID]*pending
	// attempts holds the attempts that have not finished.
	attempts    map[AttemptID]*attempt
	leaving     map[model.EndpointName]string
	nextAttempt AttemptID
	nextIndex   map[model.ServiceName]int
}

type pending struct {
	request  Request
	class    model.Class
	attempts int
	inFlight int
}

type attempt struct {
	id       AttemptID
	request  RequestID
	endpoint model.EndpointName
}

// maxAttempts bounds the attempts of one request, retries and hedges together.
const maxAttempts = 3

// New returns a core for a host without a configuration.
func New(host model.HostName) *Core {
	return &Core{
		host:      host,
		requests:  make(map[RequestID]*pending),
		attempts:  make(map[AttemptID]*attempt),
		leaving:   make(map[model.EndpointName]string),
		nextIndex: make(map[model.ServiceName]int),
	}
}

// Apply takes an event at a time and returns the decisions in order. Times
// must not decrease.
func (c *Core) Apply(event Event, now time.Time) []Decision {
	switch event := event.(type) {
	case Arrived:
		return c.arrive(event.Request, now)
	case Abandoned:
		return c.abandon(event.Request)
	case Finished:
		return c.finish(event, now)
	case Adopted:
		c.adopt(event.Deployment)
	case Marked:
		c.leaving[event.Endpoint] = event.Incarnation
	case Unmarked:
		delete(c.leaving, event.Endpoint)
	case Responded, Ticked:
	}
	return nil
}

// NextWake returns the time at which the core wants a Ticked event, or the
// zero time if it needs none.
func (c *Core) NextWake() time.Time { return time.Time{} }

func (c *Core) adopt(deployment *model.Deployment) {
	if c.deployment != nil && deployment.Revision() <= c.deployment.Revision() {
		return
	}
	c.deployment = deployment
}

func (c *Core) arrive(request Request, now time.Time) []Decision {
	if c.deployment == nil {
		return []Decision{Refuse{Request: request.ID, Outcome: model.NotSent, Reason: "no configuration"}}
	}
	service, exists := c.deployment.Service(request.Service)
	if !exists {
		return []Decision{Refuse{Request: request.ID, Outcome: model.NotSent, Reason: "unknown service"}}
	}
	waiting := &pending{request: request, class: service.Class()}
	c.requests[request.ID] = waiting
	return c.send(waiting, now)
}

func (c *Core) send(waiting *pending, now time.Time) []Decision {
	endpoint, found := c.choose(waiting.request.Service)
	if !found || !now.Before(waiting.request.Deadline) || waiting.attempts >= maxAttempts {
		delete(c.requests, waiting.request.ID)
		return []Decision{Refuse{Request: waiting.request.ID, Outcome: model.NotRun, Reason: "no endpoint took the request"}}
	}
	c.nextAttempt++
	waiting.attempts++
	waiting.inFlight++
	c.attempts[c.nextAttempt] = &attempt{id: c.nextAttempt, request: waiting.request.ID, endpoint: endpoint.Name()}
	return []Decision{Send{
		Request:  waiting.request.ID,
		Attempt:  c.nextAttempt,
		Endpoint: endpoint.Name(),
		Address:  endpoint.Address(),
		Number:   waiting.attempts,
		Deadline: waiting.request.Deadline,
		Reason:   "next in turn",
	}}
}

func (c *Core) choose(service model.ServiceName) (model.Endpoint, bool) {
	endpoints := c.deployment.EndpointsOf(service)
	for range endpoints {
		index := c.nextIndex[service] % len(endpoints)
		c.nextIndex[service]++
		if _, isLeaving := c.leaving[endpoints[index].Name()]; !isLeaving {
			return endpoints[index], true
		}
	}
	return model.Endpoint{}, false
}

func (c *Core) abandon(id RequestID) []Decision {
	waiting, exists := c.requests[id]
	if !exists || waiting.class == model.Submit {
		return nil
	}
	delete(c.requests, id)
	var decisions []Decision
	for _, sent := range c.attempts {
		if sent.request == id {
			decisions = append(decisions, Cancel{Request: id, Attempt: sent.id, Reason: "caller gave up"})
		}
	}
	return decisions
}

func (c *Core) finish(event Finished, now time.Time) []Decision {
	sent, exists := c.attempts[event.Attempt]
	if !exists {
		return nil
	}
	delete(c.attempts, event.Attempt)
	if event.Leaving {
		c.leaving[sent.endpoint] = ""
	}
	waiting, exists := c.requests[sent.request]
	if !exists {
		return nil
	}
	waiting.inFlight--
	if event.Result == Succeeded {
		delete(c.requests, sent.request)
		return []Decision{Deliver{Request: sent.request, Attempt: event.Attempt}}
	}
	if event.Result == NotStarted || waiting.class.Idempotent() {
		return c.send(waiting, now)
	}
	delete(c.requests, sent.request)
	return []Decision{Refuse{Request: sent.request, Outcome: model.Unknown, Reason: event.Detail}}
}
