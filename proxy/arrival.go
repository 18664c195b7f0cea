package proxy

import (
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/steer"
)

// recordArrival records that the latest attempt has arrived, once the head of its response
// shows that. The body may take long or break off.
func (e *exchange) recordArrival(header platform.ResponseHeader) {
	if header.IsMisdirected {
		e.recordEnd(attemptEnd{result: steer.Undelivered, isSent: true, isEndpointGone: true})
		return
	}
	e.server.core.recordAnswer(e.lastSend.Endpoint.Name)
	e.recordEnd(attemptEnd{result: steer.Answered, isSent: true})
}

// recordAnswer records that an endpoint sent the head of a response, so that it does not
// count as silent if the body takes too long.
func (c *Core) recordAnswer(endpoint model.EndpointName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.RecordAnswer(endpoint, time.Now())
}

// recordEnd records which attempts of the request may still arrive after the latest one has
// arrived or has ended. It is called once for each attempt.
func (e *exchange) recordEnd(attempt attemptEnd) {
	attempt.endpoint, attempt.incarnation = e.lastSend.Endpoint.Name, e.lastSend.Endpoint.Incarnation
	attempt.isRetry, attempt.sentAt, attempt.brokenFirst = e.hasSent, e.sentAt, e.brokenFirst
	e.server.core.recordRetries(e.service, attempt)
	switch {
	case !attempt.isRetry && attempt.mayArrive():
		e.brokenFirst = &attempt
	case attempt.outstanding() == e.brokenFirst:
		e.brokenFirst = nil
	}
}
