// Package route selects the route of a request and the service that handles it.
// A configuration is immutable; a newer version replaces it completely.
package route

import (
	"maps"
	"slices"
	"strings"
	"time"

	"filberthold/model"
)

// Share is the share of a route's requests that a service handles.
type Share struct {
	Service model.ServiceName
	// Weight is relative to the other shares of the route. It is not negative.
	Weight float64
}

// Route defines how requests for a domain and path prefix are handled.
type Route struct {
	Name   string
	Domain string
	// Prefix begins and ends with a slash.
	Prefix string
	Class  model.Class
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response should arrive. A later
	// one is of less value to the caller.
	LatencyObjective time.Duration
	// Priority orders the waiting requests of different routes; 0 is the highest.
	Priority int
	// Shares holds at least one share.
	Shares []Share
	// MaxAttempts is at least 1.
	MaxAttempts int
	// HasAffinity is true if an endpoint is faster with objects that it has
	// handled recently.
	HasAffinity bool
	// ResidencyRegions are the only regions that may handle the request; if there
	// are none, every region may.
	ResidencyRegions []model.RegionName
	// IsAuthExempt is true if requests need no key although the configuration has
	// organisations.
	IsAuthExempt bool
}

// Service holds the properties of a service's endpoints.
type Service struct {
	Name       model.ServiceName
	HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts from
	// all callers together.
	MaxConnections int
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold endpoint can handle.
	ColdRate float64
}

// Limits bounds the size and duration of requests from callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a configuration: routes, services and limits of one version.
type Config struct {
	version  uint64
	domains  map[string][]Route
	services map[model.ServiceName]Service
	limits   Limits
	// organisations and keys are empty if callers need no keys. Every name in keys is
	// that of an organisation.
	organisations map[model.OrganisationName]Organisation
	keys          map[string]model.OrganisationName
}

// NewConfig returns a configuration. The routes must satisfy the invariants that
// the comments of their fields state.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) *Config {
	config := &Config{
		version:  version,
		domains:  make(map[string][]Route),
		services: make(map[model.ServiceName]Service, len(services)),
		limits:   limits,
	}
	for _, route := range routes {
		config.domains[route.Domain] = append(config.domains[route.Domain], route)
	}
	for _, domain := range config.domains {
		slices.SortFunc(domain, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, service := range services {
		config.services[service.Name] = service
	}
	return config
}

// Version returns the version; a higher one is newer.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits for callers.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by name.
func (c *Config) Service(name model.ServiceName) (Service, bool) {
	service, exists := c.services[name]
	return service, exists
}

// Services returns the names of the services in alphabetical order.
func (c *Config) Services() []model.ServiceName {
	return slices.Sorted(maps.Keys(c.services))
}

// Routes returns all routes, ordered by domain and then from the longest prefix to the
// shortest.
func (c *Config) Routes() []Route {
	var routes []Route
	for _, domain := range slices.Sorted(maps.Keys(c.domains)) {
		routes = append(routes, c.domains[domain]...)
	}
	return routes
}

// Match returns the route of a domain, with or without a port, whose prefix is
// the longest that matches the path.
func (c *Config) Match(domain, path string) (Route, bool) {
	for _, route := range c.domains[withoutPort(domain)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

func withoutPort(domain string) string {
	if colon := strings.LastIndexByte(domain, ':'); colon >= 0 {
		return domain[:colon]
	}
	return domain
}

// AllowsRegion reports whether a region may handle requests of the route.
func (r Route) AllowsRegion(region model.RegionName) bool {
	return len(r.ResidencyRegions) == 0 || slices.Contains(r.ResidencyRegions, region)
}
