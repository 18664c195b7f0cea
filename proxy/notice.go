package proxy

import (
	"errors"
	"time"

	"filberthold/platform"
	"filberthold/steer"
)

// errNotUsable is the reason for which a permit is not used.
var errNotUsable = errors.New("the endpoint accepts no new requests any more")

// hear applies the notice of an endpoint. The requests that wait for it get another
// endpoint or are rejected.
func (c *Core) hear(notice steer.Notice) steer.News {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.updateSelector()
	news := c.selector.Hear(notice, now)
	if news.IsLeaving {
		c.isSelectorOutdated = true
		c.updateSelector()
	}
	if news.IsLeaving || news.IsSpared {
		c.waiting.admit(now)
	}
	return news
}

// minRetryAfter returns the least Retry-After of a request that is rejected after an
// attempt.
func (c *Core) minRetryAfter(query steer.Query) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSelector()
	return c.selector.MinRetryAfter(query, time.Now())
}

// hear applies what the endpoint says of itself once the head of its response has
// arrived: the body may take long or break off. A misdirected request was answered by
// another endpoint.
func (e *exchange) hear(header platform.ResponseHeader) {
	if header.IsMisdirected || !header.IsLeaving && header.RetryAfter == 0 {
		return
	}
	endpoint := e.lastSend.Endpoint
	news := e.server.core.hear(steer.Notice{
		Endpoint: endpoint.Name, Incarnation: endpoint.Incarnation, SentAt: e.sentAt,
		IsLeaving: header.IsLeaving, RetryAfter: header.RetryAfter,
	})
	if news.IsLeaving {
		e.server.pool.CloseIdle(endpoint.Address)
		e.countNotice("leaving")
		e.logNotice("endpoint is leaving")
	}
	if news.IsSpared {
		e.countNotice("spared")
		e.logNotice("endpoint asked to be spared", "retryAfter", header.RetryAfter, "sparedFor", time.Until(news.SparedUntil))
	}
}

func (e *exchange) countNotice(kind string) {
	e.server.metrics.notices.WithLabelValues(string(e.service), kind).Inc()
}

// logNotice logs that a notice of the endpoint was first heard.
func (e *exchange) logNotice(message string, fields ...any) {
	endpoint := e.lastSend.Endpoint
	e.server.log.Info(message, append([]any{"endpoint", endpoint.Name, "service", e.service, "born", endpoint.Incarnation,
		"source", "response", "request", e.header.AttemptID, "requestAge", time.Since(e.arrivedAt),
		"knowledgeAge", e.server.freshness.EndpointAge()}, fields...)...)
}
