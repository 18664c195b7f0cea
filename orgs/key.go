// Package orgs decides whether the key of a request identifies an organisation, and how
// long a host may trust the keys that it knows. The package is pure: it has no clock,
// goroutines or I/O.
package orgs

import "filberthold/route"

// Decision is the result of Authenticate: an Accepted, Exempt, NotNeeded, UnknownKey or
// Untrusted.
type Decision interface{ isDecision() }

// Accepted means that the key belongs to an organisation.
type Accepted struct {
	// Organisation is that of the key, without its keys.
	Organisation route.Organisation
}

// Exempt means that the route needs no key although the configuration has organisations.
type Exempt struct{}

// NotNeeded means that the configuration has no organisations.
type NotNeeded struct{}

// UnknownKey means that no organisation of the configuration has the key.
type UnknownKey struct {
	// IsMissing is true if the request has no key.
	IsMissing bool
}

// Untrusted means that the host does not know whether the keys of its configuration are
// still in use.
type Untrusted struct {
	// Organisation is that of the key in the configuration in force, without its keys. It
	// is the zero value if there is none.
	Organisation route.Organisation
}

func (Accepted) isDecision()   {}
func (Exempt) isDecision()     {}
func (NotNeeded) isDecision()  {}
func (UnknownKey) isDecision() {}
func (Untrusted) isDecision()  {}

// Authenticate decides by the configuration in force whether a request with a key may use
// a route. isTrusted must have been read before the configuration: a newer configuration
// with a newer proof must not vouch for the keys of an older one.
func Authenticate(config *route.Config, matchedRoute route.Route, key string, isTrusted bool) Decision {
	if !config.HasOrganisations() {
		return NotNeeded{}
	}
	if matchedRoute.IsAuthExempt {
		return Exempt{}
	}
	organisation, exists := config.OrganisationOfKey(key)
	// Decisions are kept with their requests, whose fields may be logged.
	organisation.Keys = nil
	switch {
	case !isTrusted:
		return Untrusted{Organisation: organisation}
	case !exists:
		return UnknownKey{IsMissing: key == ""}
	}
	return Accepted{Organisation: organisation}
}

// IsAllowed reports whether a request with a decision may go to an endpoint.
func IsAllowed(decision Decision) bool {
	switch decision.(type) {
	case Accepted, Exempt, NotNeeded:
		return true
	}
	return false
}
