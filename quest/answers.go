// Package quest turns the answers to the questionnaire into the configuration
// of a deployment. Teams answer questions about their services and callers;
// nobody writes the configuration by hand.
package quest

import (
	"time"

	"filberthold/config"
)

// Version is the version of the questionnaire.
const Version = 1

// Answers are the answers of one deployment. Each field is a question.
type Answers struct {
	// Questionnaire is the version of the questionnaire that was answered.
	Questionnaire int `toml:"questionnaire"`
	// Name: what is the deployment called?
	Name string `toml:"name"`
	// Delays: how long does a message take one way?
	Delays config.DelaysDocument `toml:"delays"`
	// Regions: where are the data centres?
	Regions []Region `toml:"regions"`
	// Links: what can the network between regions carry?
	Links []config.LinkDocument `toml:"links"`
	// Services: what do callers use?
	Services []Service `toml:"services"`
	// HostRange and Hosts: where do the entry hosts run? One of them is given.
	HostRange HostRange             `toml:"hostRange"`
	Hosts     []config.HostDocument `toml:"hosts"`
	// Callers: from which addresses do requests come, and which site is
	// nearest to them?
	Callers []config.BlockDocument `toml:"callers"`
	// Drains: which regions will be emptied?
	Drains []Shift `toml:"drains"`
	// Moves: which traffic will be served elsewhere?
	Moves []Shift `toml:"moves"`
}

// Region is a region and its availability zones.
type Region struct {
	Name              string   `toml:"name"`
	AvailabilityZones []string `toml:"availabilityZones"`
}

// Service holds what a team says about its service.
type Service struct {
	Name string `toml:"name"`
	// Team: who answers for the service?
	Team string `toml:"team"`
	// MustNeverRepeat: does it do harm if a request runs twice? The answer is
	// required, because either guess could be wrong.
	MustNeverRepeat *bool `toml:"mustNeverRepeat"`
	// TakesMinutes: may a response take minutes, and can it be resumed?
	TakesMinutes bool `toml:"takesMinutes"`
	// AnswerWithin: after what time is a response of no use to the caller?
	AnswerWithin config.Duration `toml:"answerWithin"`
	// TypicalTime and PeakRequestsPerSecond: how much work is there at worst?
	TypicalTime           config.Duration `toml:"typicalTime"`
	PeakRequestsPerSecond float64         `toml:"peakRequestsPerSecond"`
	// LargestRequestBytes and LargestResponseBytes: how large do they get?
	LargestRequestBytes  int64 `toml:"largestRequestBytes"`
	LargestResponseBytes int64 `toml:"largestResponseBytes"`
	// MayWait: how many requests may wait at one entry host?
	MayWait int `toml:"mayWait"`
	// MayMovePercent: how much of the traffic may leave its home region, given
	// what cold caches can take?
	MayMovePercent int `toml:"mayMovePercent"`
	// WarmUp: how long does a new endpoint need to become fast?
	WarmUp config.Duration `toml:"warmUp"`
	// Slots and Connections: how many requests does an endpoint execute, and
	// how many connections does it accept, at the same time?
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
	// EndpointRange and Endpoints: where does the service run? One of them is
	// given.
	EndpointRange EndpointRange `toml:"endpointRange"`
	Endpoints     []Endpoint    `toml:"endpoints"`
}

// EndpointRange places endpoints on ports that follow each other, in the
// availability zones by turns. It is meant for trials on one machine.
type EndpointRange struct {
	Count        int    `toml:"count"`
	FirstAddress string `toml:"firstAddress"`
}

// Endpoint is one endpoint of a service.
type Endpoint struct {
	AvailabilityZone string `toml:"availabilityZone"`
	Address          string `toml:"address"`
}

// HostRange places entry hosts on ports that follow each other. It is meant
// for trials on one machine.
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
	// To may be empty for a drain; the traffic then goes where there is room.
	To               string    `toml:"to,omitempty"`
	Start            time.Time `toml:"start"`
	PercentPerMinute float64   `toml:"percentPerMinute"`
	AtMostPercent    int       `toml:"atMostPercent"`
}
