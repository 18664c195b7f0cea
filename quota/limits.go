// Package quota bounds the requests of organisations over all hosts. Each host keeps a
// model of every organisation's token bucket, from which it subtracts what it admits
// itself and what the other hosts report. The package is pure: all times are arguments.
package quota

import (
	"time"

	"filberthold/hashes"
	"filberthold/model"
)

// ID identifies an organisation in messages between hosts. It is a hash of the name,
// because traffic between availability zones is charged by the byte.
type ID uint32

// IDOf returns the ID of an organisation.
func IDOf(name model.OrganisationName) ID { return ID(hashes.Sum(string(name)) >> 32) }

// Bounds are the bounds of the settings. In any Window, all hosts together send at most
// (rate x Window + burst) x (1 + Overage) + Slack requests of an organisation.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// defaultWindow replaces a window that is not set.
const defaultWindow = 5 * time.Second

// Limit is the limit of one organisation.
type Limit struct {
	Organisation model.OrganisationName
	// PerSecond is the rate in requests a second, above 0.
	PerSecond float64
	// Burst is the number of requests that may exceed the rate.
	Burst float64
}

// overage returns the number of requests in a window that may exceed the limit.
func (b Bounds) overage(limit Limit) float64 {
	return (limit.PerSecond*b.Window.Seconds()+limit.Burst)*b.Overage + b.Slack
}

// keptOverage is the part of the overage by which a bucket is larger than the burst.
const keptOverage = 0.5

// capacity returns the size of the bucket of a limit. The rest of the overage is left for
// what a host does not know yet of the other hosts' requests.
func (b Bounds) capacity(limit Limit) float64 {
	return max(1, limit.Burst+b.overage(limit)*keptOverage)
}
