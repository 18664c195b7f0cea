// Package config decodes and validates the TOML documents of filberthold: the
// settings of one process and the configuration of a deployment.
package config

import (
	"strings"
	"time"
)

// Settings is the settings document of one entry host process. Each address is
// an IP address with a port: a UDP port for peers, otherwise a TCP port.
type Settings struct {
	Host             string `toml:"host"`
	AvailabilityZone string `toml:"availabilityZone"`
	CallerAddress    string `toml:"callerAddress"`
	PeerAddress      string `toml:"peerAddress"`
	OperatorAddress  string `toml:"operatorAddress"`
	PlatformAddress  string `toml:"platformAddress"`
	// PeerSeeds holds the peer addresses of hosts that are dialled while no peer
	// is connected.
	PeerSeeds []string `toml:"peerSeeds"`
	// PeerSecret is shared by all hosts of the deployment. If it is empty, any
	// process that reaches the peer address can act as a peer.
	PeerSecret string        `toml:"peerSecret"`
	Log        LogSettings   `toml:"log"`
	Placement  PlacementMode `toml:"placement"`
}

// PlacementMode selects the placement policy. RoundRobin and Random are
// baselines for measurements.
type PlacementMode string

const (
	// Steered is the default policy.
	Steered PlacementMode = "steered"
	// RoundRobin sends to each endpoint in turn, with a timeout and one retry.
	RoundRobin PlacementMode = "roundRobin"
	// Random sends to a random endpoint, with a timeout and one retry.
	Random PlacementMode = "random"
)

// LogSettings selects the format and level of the log.
type LogSettings struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// Document is the configuration of a deployment as it is stored and exchanged.
type Document struct {
	Name              string             `toml:"name"`
	Delays            DelaysDocument     `toml:"delays"`
	AvailabilityZones []ZoneDocument     `toml:"availabilityZones"`
	Services          []ServiceDocument  `toml:"services"`
	Endpoints         []EndpointDocument `toml:"endpoints"`
	Hosts             []HostDocument     `toml:"hosts"`
	Links             []LinkDocument     `toml:"links"`
	Blocks            []BlockDocument    `toml:"blocks"`
	Plans             []PlanDocument     `toml:"plans,omitempty"`
}

// Duration is a time.Duration whose text form is that of time.ParseDuration.
type Duration time.Duration

// MarshalText returns the text form without trailing units that are 0: 10m
// instead of 10m0s.
func (d Duration) MarshalText() ([]byte, error) {
	text := time.Duration(d).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return []byte(text), nil
}

// UnmarshalText parses the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// DelaysDocument holds the expected one-way delays.
type DelaysDocument struct {
	BetweenZones   Duration `toml:"betweenZones"`
	BetweenRegions Duration `toml:"betweenRegions"`
	ToClients      Duration `toml:"toClients"`
}

// ZoneDocument defines an availability zone.
type ZoneDocument struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// ServiceDocument defines a service.
type ServiceDocument struct {
	Name            string   `toml:"name"`
	Class           string   `toml:"class"`
	DefaultTimeout  Duration `toml:"defaultTimeout"`
	QueueLimit      int      `toml:"queueLimit"`
	ShiftCapPercent int      `toml:"shiftCapPercent"`
	SlowStart       Duration `toml:"slowStart"`
}

// EndpointDocument defines an endpoint of a service.
type EndpointDocument struct {
	Name             string `toml:"name"`
	Service          string `toml:"service"`
	AvailabilityZone string `toml:"availabilityZone"`
	Address          string `toml:"address"`
	Slots            int    `toml:"slots"`
	Connections      int    `toml:"connections"`
}

// HostDocument defines an entry host.
type HostDocument struct {
	Name             string `toml:"name"`
	AvailabilityZone string `toml:"availabilityZone"`
	Site             string `toml:"site"`
	CallerAddress    string `toml:"callerAddress"`
	PeerAddress      string `toml:"peerAddress"`
	OperatorAddress  string `toml:"operatorAddress"`
	Stopped          bool   `toml:"stopped,omitempty"`
}

// LinkDocument defines the capacity of the link between two regions, in each
// direction.
type LinkDocument struct {
	Between       [2]string `toml:"between"`
	BitsPerSecond int64     `toml:"bitsPerSecond"`
}

// BlockDocument assigns a prefix of client addresses to a site.
type BlockDocument struct {
	Prefix string `toml:"prefix"`
	Site   string `toml:"site"`
}

// PlanDocument defines a shift plan.
type PlanDocument struct {
	Name                 string    `toml:"name"`
	Kind                 string    `toml:"kind"`
	Service              string    `toml:"service"`
	From                 string    `toml:"from"`
	To                   string    `toml:"to,omitempty"`
	Start                time.Time `toml:"start"`
	RatePercentPerMinute float64   `toml:"ratePercentPerMinute"`
	CapPercent           int       `toml:"capPercent"`
}
