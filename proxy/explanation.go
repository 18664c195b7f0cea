package proxy

import (
	"time"

	"filberthold/model"
)

// Explanation tells how a host would handle a request now, and why. It is the response to
// GET ExplainPath. Parts that do not apply or are not reached are missing.
type Explanation struct {
	At time.Time `json:"at"`
	// Configuration is the version of the configuration in force, in the base of its document.
	Configuration string                 `json:"configuration,omitempty"`
	Route         *ExplainedRoute        `json:"route,omitempty"`
	Organisation  model.OrganisationName `json:"organisation,omitempty"`
	Quota         *ExplainedQuota        `json:"quota,omitempty"`
	Shares        []ExplainedShare       `json:"shares,omitempty"`
	Service       model.ServiceName      `json:"service,omitempty"`
	Region        *ExplainedRegion       `json:"region,omitempty"`
	Candidates    []ExplainedCandidate   `json:"candidates,omitempty"`
	// Others counts the endpoints that are not among the candidates by the reason for which
	// they were passed over.
	Others  map[string]int   `json:"others,omitempty"`
	Outcome ExplainedOutcome `json:"outcome"`
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name        string             `json:"name"`
	Domain      string             `json:"domain"`
	Prefix      string             `json:"prefix"`
	Class       string             `json:"class"`
	HasAffinity bool               `json:"hasAffinity"`
	IsExempt    bool               `json:"isAuthExempt,omitempty"`
	Regions     []model.RegionName `json:"residencyRegions,omitempty"`
}

// ExplainedQuota is the quota of an organisation as the host sees it. The bucket of the hosts in
// contact holds Level of Capacity requests; below 0 it is a debt.
type ExplainedQuota struct {
	PerSecond  float64 `json:"perSecond"`
	Burst      float64 `json:"burst"`
	Level      float64 `json:"level"`
	Capacity   float64 `json:"capacity"`
	OwnRate    float64 `json:"ownRate"`
	OthersRate float64 `json:"othersRate"`
	Group      float64 `json:"limitPart"`
}

// ExplainedShare is the part of a route's requests that a service gets.
type ExplainedShare struct {
	Service model.ServiceName `json:"service"`
	Weight  float64           `json:"weight"`
}

// ExplainedRegion is the region in which the request is planned to run.
type ExplainedRegion struct {
	Own     model.RegionName `json:"own"`
	Planned model.RegionName `json:"planned,omitempty"`
	Reason  string           `json:"reason"`
}

// ExplainedCandidate is an endpoint of the service.
type ExplainedCandidate struct {
	Endpoint   model.EndpointName `json:"endpoint"`
	Zone       model.ZoneName     `json:"zone"`
	Region     model.RegionName   `json:"region"`
	DistanceMs float64            `json:"distanceMilliseconds"`
	Slots      int                `json:"slots"`
	Load       float64            `json:"load"`
	ExpectedMs float64            `json:"expectedMilliseconds"`
	Rank       int                `json:"rank"`
	IsChosen   bool               `json:"isChosen"`
	PassedOver string             `json:"passedOver,omitempty"`
}

// The actions of an ExplainedOutcome.
const (
	ActionSend   = "send"
	ActionWait   = "wait"
	ActionRefuse = "refuse"
)

// ExplainedOutcome is what would become of the request.
type ExplainedOutcome struct {
	Action string `json:"action"`
	// Endpoint is the chosen endpoint, PermitOwner the host that must permit the request, if
	// the endpoint is limited.
	Endpoint    model.EndpointName `json:"endpoint,omitempty"`
	PermitOwner model.HostName     `json:"permitOwner,omitempty"`
	// Status and RetryAfter, in seconds, are those of a refusal.
	Status     int     `json:"status,omitempty"`
	RetryAfter float64 `json:"retryAfterSeconds,omitempty"`
	Reason     string  `json:"reason,omitempty"`
	// Ahead is the number of waiting requests before this one. ExpectedWaitMs is known where
	// requests are queued by what is measured.
	Ahead          int     `json:"ahead,omitempty"`
	ExpectedWaitMs float64 `json:"expectedWaitMilliseconds,omitempty"`
	MaxWaitMs      float64 `json:"maxWaitMilliseconds,omitempty"`
}
