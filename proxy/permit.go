package proxy

import (
	"context"
	"time"

	"filberthold/model"
	"filberthold/steer"
)

// Permits connects a host with the hosts that issue permits for limited endpoints.
type Permits interface {
	// AskPermit asks the owner of an endpoint for a permit.
	AskPermit(ctx context.Context, request steer.PermitRequest) (steer.Permit, error)
	// SendLimitNews tells the owner what this host knows of the endpoint's limit. It
	// does not wait.
	SendLimitNews(owner model.HostName, news steer.LimitNews)
}

// SetPermits sets the connection to the owners of limited endpoints. It must be
// called before the first request.
func (c *Core) SetPermits(permits Permits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permits = permits
}

// IssuePermit answers another host's request for a permit.
func (c *Core) IssuePermit(request steer.PermitRequest) steer.Permit {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSelector()
	return c.selector.IssuePermit(request, time.Now())
}

// LimitNews returns what the other hosts should learn of the endpoints that this
// host owns.
func (c *Core) LimitNews() []steer.LimitNews {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.OwnedLimitNews(time.Now())
}

// ApplyLimitNews applies what another host knows of an endpoint's limit.
func (c *Core) ApplyLimitNews(news steer.LimitNews) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSelector()
	c.selector.ApplyLimitNews(news, time.Now())
}

// tellOwner tells the owner of an endpoint that its limit changed.
func (c *Core) tellOwner(name model.EndpointName) {
	c.mu.Lock()
	owner, news, isNews := c.selector.NewsForOwner(name, time.Now())
	c.mu.Unlock()
	if isNews {
		c.permits.SendLimitNews(owner, news)
	}
}

// obtainPermit asks for the permit that a send needs. If it is not granted, the
// request must not be sent, and the endpoint is not chosen until the next permit is
// due. Without an answer the request does not go to the endpoint either: the owner
// may have issued all permits to others.
func (c *Core) obtainPermit(ctx context.Context, query steer.Query, send steer.Send) (steer.Permit, error) {
	permit, err := c.permits.AskPermit(ctx, send.Permit)
	if err != nil {
		permit = send.Permit.Refusal()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSelector()
	if c.selector.ApplyPermit(send, permit, time.Now()) {
		return permit, err
	}
	c.refundUnsentRetry(query)
	if permit.IsGranted {
		return send.Permit.Refusal(), errNotUsable
	}
	return permit, err
}
