package model

import "time"

// Service is an upstream service that callers use through entry hosts.
type Service struct {
	name  ServiceName
	class Class
	// defaultTimeout applies to requests without a deadline of their own.
	// It is positive.
	defaultTimeout time.Duration
	// queueLimit bounds the requests that wait for a slot at one entry host.
	// It is at least 1.
	queueLimit int
	// shiftCapPercent bounds the part of the requests that all shifts together
	// may move away from their home region. It is in 0..100.
	shiftCapPercent int
	// slowStart is the time in which a new endpoint reaches its full weight.
	slowStart time.Duration
}

// ServiceParts are the properties of a service.
type ServiceParts struct {
	Name            ServiceName
	Class           Class
	DefaultTimeout  time.Duration
	QueueLimit      int
	ShiftCapPercent int
	SlowStart       time.Duration
}

// NewService returns a service.
func NewService(parts ServiceParts) Service {
	return Service{
		name:            parts.Name,
		class:           parts.Class,
		defaultTimeout:  parts.DefaultTimeout,
		queueLimit:      parts.QueueLimit,
		shiftCapPercent: parts.ShiftCapPercent,
		slowStart:       parts.SlowStart,
	}
}

// Name returns the name of the service.
func (s Service) Name() ServiceName { return s.name }

// Class returns the class of all requests to the service.
func (s Service) Class() Class { return s.class }

// DefaultTimeout returns the time that a request without a deadline gets.
func (s Service) DefaultTimeout() time.Duration { return s.defaultTimeout }

// QueueLimit returns how many requests may wait for a slot at one host.
func (s Service) QueueLimit() int { return s.queueLimit }

// ShiftCapPercent returns the cap for all shifts of the service together.
func (s Service) ShiftCapPercent() int { return s.shiftCapPercent }

// SlowStart returns the time in which a new endpoint reaches full weight.
func (s Service) SlowStart() time.Duration { return s.slowStart }

// PlanKind tells why a shift plan moves traffic.
type PlanKind string

const (
	// Drain takes traffic away from a place before it is taken out of use.
	Drain PlanKind = "drain"
	// Move transfers traffic from one place to another.
	Move PlanKind = "move"
	// Failover moves traffic away from a place that has failed.
	Failover PlanKind = "failover"
)

// Plan is a planned shift of a service's traffic between regions.
type Plan struct {
	name    PlanName
	kind    PlanKind
	service ServiceName
	from    RegionName
	// to is empty for a drain without a fixed target; placement then chooses.
	to    RegionName
	start time.Time
	// ratePercentPerMinute is the ramp of the shift. It is positive.
	ratePercentPerMinute float64
	// capPercent bounds the part of the service's traffic from the source
	// region that the plan moves. It is in 1..100.
	capPercent int
}

// PlanParts are the properties of a plan.
type PlanParts struct {
	Name                 PlanName
	Kind                 PlanKind
	Service              ServiceName
	From                 RegionName
	To                   RegionName
	Start                time.Time
	RatePercentPerMinute float64
	CapPercent           int
}

// NewPlan returns a shift plan.
func NewPlan(parts PlanParts) Plan {
	return Plan{
		name:                 parts.Name,
		kind:                 parts.Kind,
		service:              parts.Service,
		from:                 parts.From,
		to:                   parts.To,
		start:                parts.Start,
		ratePercentPerMinute: parts.RatePercentPerMinute,
		capPercent:           parts.CapPercent,
	}
}

// Name returns the name of the plan.
func (p Plan) Name() PlanName { return p.name }

// Kind returns why the plan moves traffic.
func (p Plan) Kind() PlanKind { return p.kind }

// Service returns the service whose traffic moves.
func (p Plan) Service() ServiceName { return p.service }

// From returns the region that the traffic leaves.
func (p Plan) From() RegionName { return p.from }

// To returns the region that receives the traffic, or "" if any may.
func (p Plan) To() RegionName { return p.to }

// Start returns the time at which the ramp begins.
func (p Plan) Start() time.Time { return p.start }

// RatePercentPerMinute returns the slope of the ramp.
func (p Plan) RatePercentPerMinute() float64 { return p.ratePercentPerMinute }

// CapPercent returns the largest part of the traffic that the plan moves.
func (p Plan) CapPercent() int { return p.capPercent }
