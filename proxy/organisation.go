package proxy

import (
	"net/http"

	"filberthold/orgs"
	"filberthold/platform"
)

// The reasons for which a request is refused because of its key.
const (
	keyUnknown   = "the key is unknown"
	keyMissing   = "the request has no key"
	keyUntrusted = "the host does not know whether the key is still in use"
)

// authenticate decides whether the request has a key that the configuration in force
// allows for its route. Otherwise it ends the request and returns false.
func (e *exchange) authenticate() bool {
	switch decision := orgs.Authenticate(e.config, e.route, e.header.Key, e.isTrusted).(type) {
	case orgs.Accepted:
		e.organisation = decision.Organisation
	case orgs.UnknownKey:
		reason, label := keyUnknown, "unknown"
		e.withdrawal = e.server.core.withdrawal(e.header.Key)
		switch {
		case decision.IsMissing:
			reason, label = keyMissing, "missing"
		case e.withdrawal.Version > 0:
			label = "withdrawn"
		}
		e.server.metrics.keyRefusals.WithLabelValues(label).Inc()
		e.denyByConfig(http.StatusUnauthorized, reason)
		return false
	case orgs.Untrusted:
		e.organisation = decision.Organisation
		e.server.metrics.keyRefusals.WithLabelValues("untrusted").Inc()
		e.refuse(keyUntrusted, outdatedRetryAfter)
		return false
	case orgs.Exempt, orgs.NotNeeded:
	}
	return true
}

// setOrganisation replaces the caller's key by the name of its organisation in the
// headers of a request to an endpoint. Without organisations the headers stay as they are.
func (e *exchange) setOrganisation(header http.Header) {
	if e.config.HasOrganisations() {
		platform.SetOrganisation(header, e.organisation.Name)
	}
}

// isTrusted reports whether the keys of the configuration in force may be used now. It is
// read before the configuration.
func (s *Server) isTrusted() bool {
	return s.freshness.IsTrusted == nil || s.freshness.IsTrusted()
}

// withdrawal returns the version that withdrew a key, if this host has put it into force.
func (c *Core) withdrawal(key string) orgs.Withdrawal {
	hash := orgs.HashKey(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	withdrawal, _ := c.withdrawals.Find(hash)
	return withdrawal
}
