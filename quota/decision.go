package quota

import "time"

// Decision is Admitted or Refused.
type Decision interface{ isDecision() }

// Admitted allows a request.
type Admitted struct{}

// Refused rejects a request, with what the host knows of its organisation.
type Refused struct {
	// RetryAfter is the time after which the host expects to admit the request.
	RetryAfter time.Duration
	// PerSecond and Burst are the limit.
	PerSecond, Burst float64
	// Level is the number of requests that the bucket holds, less those that the other
	// hosts have probably admitted and not yet reported. Below 0 it is a debt.
	Level float64
	// OwnRate and OthersRate are the requests a second that the callers of this host and
	// of the other hosts recently sent, admitted or not.
	OwnRate, OthersRate float64
	// Group is the part of the limit that the hosts in contact with this one may use.
	Group float64
	// ReportAge is the age of the newest report of another host, or 0 without one.
	ReportAge time.Duration
}

func (Admitted) isDecision() {}
func (Refused) isDecision()  {}
