package soak

import (
	"net/http"

	"filberthold/platform/fake"
)

// sentRequest is a request of a caller that arrived at an endpoint.
type sentRequest struct {
	endedRequest
	exchange fake.Exchange
}

// checkNotices checks that no endpoint got a request from a host that it had told that
// it is leaving, or for a time in which it asked that host to spare it.
func (c *callers) checkNotices() {
	requests := make(map[string]endedRequest, len(c.ended))
	for _, request := range c.ended {
		requests[request.attempt] = request
	}
	for i, endpoint := range c.testbed.endpoints {
		byHost := make(map[*hostProcess][]sentRequest)
		for _, exchange := range endpoint.Exchanges() {
			if request, exists := requests[exchange.Attempt]; exists {
				byHost[request.host] = append(byHost[request.host], sentRequest{request, exchange})
			}
		}
		for host, sent := range byHost {
			c.checkHost(host, c.testbed.endpointProxies[i], sent)
		}
	}
}

// checkHost checks the requests of one host at one endpoint.
func (c *callers) checkHost(host *hostProcess, proxy *faultProxy, sent []sentRequest) {
	for _, told := range sent {
		if !told.exchange.IsLeaving && told.exchange.RetryAfter == "" {
			continue
		}
		for _, other := range sent {
			if other.exchange.Incarnation != told.exchange.Incarnation || host.wasInterrupted(told.exchange.ArrivedAt, other.exchange.ArrivedAt) {
				continue
			}
			switch {
			case told.isLeavingPassedOn() && other.sentAt.After(told.endedAt):
				c.testbed.recordViolation("%s: sent by %s to %s, which is leaving by the response to %s, passed on %s before",
					other.attempt, host.settings.Name, told.exchange.ID, told.attempt, other.sentAt.Sub(told.endedAt))
			case told.isSpareTime(other.exchange.ArrivedAt) && !proxy.hadFault(told.exchange.ArrivedAt, told.exchange.AnsweredAt.Add(noticeTime)):
				c.testbed.recordViolation("%s: sent by %s to %s, which asked in the response to %s to be spared for %s s, %s before",
					other.attempt, host.settings.Name, told.exchange.ID, told.attempt, told.exchange.RetryAfter, other.exchange.ArrivedAt.Sub(told.exchange.AnsweredAt))
			}
		}
	}
}

// isLeavingPassedOn reports whether the caller got a response of the endpoint which
// says that it is leaving.
func (r sentRequest) isLeavingPassedOn() bool {
	return r.exchange.IsLeaving && r.isServedBy(r.exchange.ID)
}

// isServedBy reports whether the caller got the success of an endpoint.
func (r endedRequest) isServedBy(id string) bool {
	return r.status == http.StatusOK && r.body == id
}
