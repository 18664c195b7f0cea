package route

import (
	"maps"
	"slices"

	"filberthold/model"
)

// Organisation is a customer whose callers identify themselves with keys.
type Organisation struct {
	Name model.OrganisationName
	// Keys are the keys of the organisation's callers. No other organisation of the
	// configuration has any of them.
	Keys []string
	// Priority goes before that of the route in the order of waiting requests; 0 is the
	// highest.
	Priority int
	// Quota bounds the organisation's requests over all hosts.
	Quota Quota
	// ResidencyRegions are the only regions that may handle the organisation's requests;
	// if there are none, every region may. Those of the route bind too.
	ResidencyRegions []model.RegionName
}

// Quota is a limit on the requests of an organisation: a token bucket.
type Quota struct {
	// PerSecond is the rate in requests a second, or 0 without a limit.
	PerSecond float64
	// Burst is the number of requests that may exceed the rate.
	Burst float64
}

// IsLimited reports whether there is a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// AllowsRegion reports whether a region may handle requests of the organisation.
func (o Organisation) AllowsRegion(region model.RegionName) bool {
	return len(o.ResidencyRegions) == 0 || slices.Contains(o.ResidencyRegions, region)
}

// WithOrganisations returns a copy of the configuration with organisations. It must be
// called before the configuration is used.
func (c *Config) WithOrganisations(organisations []Organisation) *Config {
	withOrganisations := *c
	withOrganisations.organisations = make(map[model.OrganisationName]Organisation, len(organisations))
	withOrganisations.keys = make(map[string]model.OrganisationName)
	for _, organisation := range organisations {
		withOrganisations.organisations[organisation.Name] = organisation
		for _, key := range organisation.Keys {
			withOrganisations.keys[key] = organisation.Name
		}
	}
	return &withOrganisations
}

// HasOrganisations reports whether callers need keys, except on exempt routes.
func (c *Config) HasOrganisations() bool { return len(c.organisations) > 0 }

// Organisations returns the organisations in alphabetical order.
func (c *Config) Organisations() []Organisation {
	organisations := make([]Organisation, 0, len(c.organisations))
	for _, name := range slices.Sorted(maps.Keys(c.organisations)) {
		organisations = append(organisations, c.organisations[name])
	}
	return organisations
}

// HasSameKeys reports whether another configuration has the same keys of the same
// organisations.
func (c *Config) HasSameKeys(other *Config) bool { return maps.Equal(c.keys, other.keys) }

// OrganisationOfKey returns the organisation that holds a key.
func (c *Config) OrganisationOfKey(key string) (Organisation, bool) {
	name, exists := c.keys[key]
	return c.organisations[name], exists && key != ""
}
