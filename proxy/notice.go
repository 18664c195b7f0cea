package proxy

import (
	"errors"
	"time"

	"filberthold/platform"
	"filberthold/steer"
)

// errNotUsable is the reason for which a permit is not used.
var errNotUsable = errors.New("the endpoint accepts no new requests any more")

// hear applies the notice of an endpoint. If it is leaving, the requests that wait
// for it get another endpoint or are rejected.
func (c *Core) hear(notice steer.Notice) steer.News {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.updateSelector()
	news := c.selector.Hear(notice, now)
	if news.IsLeaving {
		c.isSelectorOutdated = true
		c.updateSelector()
		c.admitWaiting(now)
	}
	return news
}

// minRetryAfter returns the least Retry-After of a request that is rejected after an
// attempt.
func (c *Core) minRetryAfter(query steer.Query) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSelector()
	return c.selector.MinRetryAfter(query)
}

// hear applies what the endpoint says of itself once the head of its response has
// arrived: the body may take long or break off. A misdirected request was answered by
// another endpoint.
func (e *exchange) hear(header platform.ResponseHeader) {
	if header.IsMisdirected || !header.IsLeaving {
		return
	}
	endpoint := e.lastSend.Endpoint
	news := e.server.core.hear(steer.Notice{Endpoint: endpoint.Name, Incarnation: endpoint.Incarnation, IsLeaving: header.IsLeaving})
	if !news.IsLeaving {
		return
	}
	e.server.pool.CloseIdle(endpoint.Address)
	e.server.metrics.notices.WithLabelValues(string(e.service), "leaving").Inc()
	e.server.log.Info("endpoint is leaving", "endpoint", endpoint.Name, "service", e.service, "born", endpoint.Incarnation,
		"source", "response", "request", e.header.AttemptID, "requestAge", time.Since(e.arrivedAt), "knowledgeAge", e.server.freshness.EndpointAge())
}
