// Package quest generates the configuration of a deployment from the answers to
// a questionnaire. Teams answer questions about their services and callers
// instead of writing the configuration by hand.
package quest

import (
	"time"

	"filberthold/config"
)

// Version is the version of the questionnaire.
const Version = 1

// Answers holds the answers for one deployment. Each field is the answer to one
// question.
type Answers struct {
	// Questionnaire is the version of the questionnaire that was answered.
	Questionnaire int `toml:"questionnaire"`
	// Name is the name of the deployment.
	Name string `toml:"name"`
	// Delays holds the one-way network delays.
	Delays config.DelaysDocument `toml:"delays"`
	// Regions holds the locations of the data centres.
	Regions []Region `toml:"regions"`
	// Links holds the network capacity between regions.
	Links []config.LinkDocument `toml:"links"`
	// Services holds the services that callers use.
	Services []Service `toml:"services"`
	// HostRange or Hosts defines where the entry hosts run; one of them is set.
	HostRange HostRange             `toml:"hostRange"`
	Hosts     []config.HostDocument `toml:"hosts"`
	// Callers holds the address ranges of callers, each with its nearest site.
	Callers []config.BlockDocument `toml:"callers"`
	// Drains holds the regions that will be drained.
	Drains []Shift `toml:"drains"`
	// Moves holds the traffic that will be moved to another region.
	Moves []Shift `toml:"moves"`
}

// Region is a region and its availability zones.
type Region struct {
	Name              string   `toml:"name"`
	AvailabilityZones []string `toml:"availabilityZones"`
}

// Service holds the answers of a team for its service.
type Service struct {
	Name string `toml:"name"`
	// Team is the team that is responsible for the service.
	Team string `toml:"team"`
	// MustNeverRepeat is true if a request that is executed twice does harm. It
	// has no default, because either value could be wrong.
	MustNeverRepeat *bool `toml:"mustNeverRepeat"`
	// TakesMinutes is true if a response may take minutes and can be resumed.
	TakesMinutes bool `toml:"takesMinutes"`
	// AnswerWithin is the time after which a response is of no use to the caller.
	AnswerWithin config.Duration `toml:"answerWithin"`
	// TypicalTime is the usual execution time of a request. Its product with
	// PeakRequestsPerSecond is the number of slots that are needed at the peak.
	TypicalTime           config.Duration `toml:"typicalTime"`
	PeakRequestsPerSecond float64         `toml:"peakRequestsPerSecond"`
	// LargestRequestBytes and LargestResponseBytes are the largest body sizes.
	LargestRequestBytes  int64 `toml:"largestRequestBytes"`
	LargestResponseBytes int64 `toml:"largestResponseBytes"`
	// MayWait is how many requests may wait at one entry host.
	MayWait int `toml:"mayWait"`
	// MayMovePercent is the percentage of the traffic that may leave its home
	// region. It depends on the load that cold caches elsewhere can handle.
	MayMovePercent int `toml:"mayMovePercent"`
	// WarmUp is how long a new endpoint needs until it is fast.
	WarmUp config.Duration `toml:"warmUp"`
	// Slots and Connections are the number of requests that an endpoint executes
	// and of connections that it accepts at the same time.
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
	// EndpointRange or Endpoints defines where the service runs; one of them is
	// set.
	EndpointRange EndpointRange `toml:"endpointRange"`
	Endpoints     []Endpoint    `toml:"endpoints"`
}

// EndpointRange defines endpoints on consecutive ports of one address, in each
// availability zone in turn. It is meant for trials on one machine.
type EndpointRange struct {
	Count        int    `toml:"count"`
	FirstAddress string `toml:"firstAddress"`
}

// Endpoint is one endpoint of a service.
type Endpoint struct {
	AvailabilityZone string `toml:"availabilityZone"`
	Address          string `toml:"address"`
}

// HostRange defines entry hosts on consecutive ports. It is meant for trials on
// one machine.
type HostRange struct {
	PerZone              int    `toml:"perZone"`
	FirstCallerAddress   string `toml:"firstCallerAddress"`
	FirstPeerAddress     string `toml:"firstPeerAddress"`
	FirstOperatorAddress string `toml:"firstOperatorAddress"`
}

// Shift is a planned drain or move.
type Shift struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	From    string `toml:"from"`
	// To may be empty for a drain; the traffic then goes to any region with free
	// capacity.
	To               string    `toml:"to,omitempty"`
	Start            time.Time `toml:"start"`
	PercentPerMinute float64   `toml:"percentPerMinute"`
	AtMostPercent    int       `toml:"atMostPercent"`
}
