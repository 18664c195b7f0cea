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
	// shiftCapPercent bounds the percentage of the requests that all shifts
	// together may move away from their home region. It is in 0..100.
	shiftCapPercent int
	// slowStart is the time until a new endpoint has its full weight.
	slowStart time.Duration
}

// ServiceSpec holds the arguments of NewService; see Service for their ranges.
type ServiceSpec struct {
	Name            ServiceName
	Class           Class
	DefaultTimeout  time.Duration
	QueueLimit      int
	ShiftCapPercent int
	SlowStart       time.Duration
}

// NewService returns a service.
func NewService(spec ServiceSpec) Service {
	return Service{
		name:            spec.Name,
		class:           spec.Class,
		defaultTimeout:  spec.DefaultTimeout,
		queueLimit:      spec.QueueLimit,
		shiftCapPercent: spec.ShiftCapPercent,
		slowStart:       spec.SlowStart,
	}
}

// Name returns the name of the service.
func (s Service) Name() ServiceName { return s.name }

// Class returns the class of all requests to the service.
func (s Service) Class() Class { return s.class }

// DefaultTimeout returns the timeout of requests without a deadline of their own.
func (s Service) DefaultTimeout() time.Duration { return s.defaultTimeout }

// QueueLimit returns how many requests may wait for a slot at one host.
func (s Service) QueueLimit() int { return s.queueLimit }

// ShiftCapPercent returns the largest percentage of the requests that all shifts
// of the service together may move.
func (s Service) ShiftCapPercent() int { return s.shiftCapPercent }

// SlowStart returns the time until a new endpoint has its full weight.
func (s Service) SlowStart() time.Duration { return s.slowStart }

// PlanKind is the reason for a shift plan.
type PlanKind string

const (
	// Drain moves traffic away from a region before the region is taken out of
	// service.
	Drain PlanKind = "drain"
	// Move moves traffic from one region to another.
	Move PlanKind = "move"
	// Failover moves traffic away from a region that has failed.
	Failover PlanKind = "failover"
)

// Plan is a shift plan: it moves a service's traffic from one region to others over
// time.
type Plan struct {
	name    PlanName
	kind    PlanKind
	service ServiceName
	from    RegionName
	// to is empty for a drain or failover without a fixed target. Placement then
	// selects the target.
	to    RegionName
	start time.Time
	// ratePercentPerMinute is the rate at which the moved part grows from start on.
	// It is positive.
	ratePercentPerMinute float64
	// capPercent bounds the percentage of the service's traffic from the source
	// region that the plan moves. It is in 1..100.
	capPercent int
}

// PlanSpec holds the arguments of NewPlan; see Plan for their ranges.
type PlanSpec struct {
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
func NewPlan(spec PlanSpec) Plan {
	return Plan{
		name:                 spec.Name,
		kind:                 spec.Kind,
		service:              spec.Service,
		from:                 spec.From,
		to:                   spec.To,
		start:                spec.Start,
		ratePercentPerMinute: spec.RatePercentPerMinute,
		capPercent:           spec.CapPercent,
	}
}

// Name returns the name of the plan.
func (p Plan) Name() PlanName { return p.name }

// Kind returns the reason for the plan.
func (p Plan) Kind() PlanKind { return p.kind }

// Service returns the service whose traffic moves.
func (p Plan) Service() ServiceName { return p.service }

// From returns the region that the traffic leaves.
func (p Plan) From() RegionName { return p.from }

// To returns the region that receives the traffic, or "" if any region may.
func (p Plan) To() RegionName { return p.to }

// Start returns the time at which the plan starts to move traffic.
func (p Plan) Start() time.Time { return p.start }

// RatePercentPerMinute returns the rate at which the moved part grows.
func (p Plan) RatePercentPerMinute() float64 { return p.ratePercentPerMinute }

// CapPercent returns the largest percentage of the traffic that the plan moves.
func (p Plan) CapPercent() int { return p.capPercent }
