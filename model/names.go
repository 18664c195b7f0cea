// Package model holds the domain types that the decision packages share:
// deployments with their regions, availability zones, services, endpoints,
// entry hosts, client blocks, links and shift plans.
package model

// RegionName identifies a region within a deployment.
type RegionName string

// ZoneName identifies an availability zone within a deployment.
type ZoneName string

// ServiceName identifies an upstream service.
type ServiceName string

// EndpointName identifies one endpoint of an upstream service.
type EndpointName string

// HostName identifies an entry host.
type HostName string

// SiteName identifies a group of entry hosts at one location.
type SiteName string

// CustomerName identifies the customer for whom a caller sends a request.
type CustomerName string

// OrganisationName identifies an organisation whose callers have keys.
type OrganisationName string

// PlanName identifies a shift plan.
type PlanName string
