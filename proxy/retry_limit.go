package proxy

import (
	"time"

	"filberthold/steer"
)

// RetryLimit bounds the retries that all hosts together send to a service: at
// most Ratio times the number of requests plus Slack.
type RetryLimit struct {
	// Ratio is a fraction of the service's requests.
	Ratio float64
	// Slack is the number of retries that are allowed in addition to Ratio.
	Slack float64
}

// DefaultRetryLimit returns the limit that applies if the settings contain none.
func DefaultRetryLimit() RetryLimit { return RetryLimit{Ratio: 0.2, Slack: 60} }

// ownFraction is the fraction of the ratio that a host applies to the requests
// that it received itself. The rest leaves room for requests that move between
// hosts and for unused budget that the hosts have accumulated.
const ownFraction = 0.5

// percent returns the percentage of its requests that a host may retry.
func (l RetryLimit) percent() int { return max(1, int(l.Ratio*ownFraction*100)) }

// burst returns the number of retries that each of a number of hosts may
// accumulate. It is 0 for no hosts, and for more hosts than Slack.
func (l RetryLimit) burst(hosts int) int {
	if hosts == 0 {
		return 0
	}
	return int(l.Slack) / hosts
}

const (
	// hostPeakTime is how long a host counts the others that it no longer hears. They may
	// only be cut off from it, and go on to spend their part of the retry limit.
	hostPeakTime = 10 * time.Minute
	// earlierRetryTime is how long after a host's start retries may still arrive that it sent
	// before. It has forgotten them, and may have used its whole part of the slack.
	earlierRetryTime = steer.MaxHoldTime
	// creditTime is how long a host may keep the credit of retries if there are too many
	// hosts for a burst. The retries in such a time are then those earned in it and in the
	// time before, which is within the limit without its slack.
	creditTime = 10 * time.Second
)

// sharingHosts are the hosts that share the retry limit.
type sharingHosts struct {
	// count is the largest number of hosts that were alive within hostPeakTime, or that
	// the store named before namedUntil.
	count int
	// knownAt is the time from which count is taken to be complete. A host that starts
	// may not hear all others, which are cut off from it or have not heard of it.
	knownAt time.Time
	// namedUntil is the time until which the hosts that the store names are counted. The
	// store also names those that are gone for good.
	namedUntil time.Time
	// earlierRetriesUntil is the time until which the slack is left to retries of before the
	// start of this host. mayHaveEarlierRetries is true until the first count after it.
	earlierRetriesUntil   time.Time
	mayHaveEarlierRetries bool
	// until is when a smaller number counts.
	until time.Time
	// expiresAt is when the credit that was accumulated without a burst is lost.
	expiresAt time.Time
}

// newSharingHosts returns the state of a host that has just started and knows no other.
func newSharingHosts(now time.Time) sharingHosts {
	return sharingHosts{
		knownAt: now.Add(hostPeakTime), namedUntil: now.Add(hostPeakTime),
		earlierRetriesUntil: now.Add(earlierRetryTime), mayHaveEarlierRetries: true,
	}
}

// number returns the number of hosts that divide the slack, or 0 while this host takes no
// part of it.
func (s *sharingHosts) number(now time.Time) int {
	if now.Before(s.knownAt) || s.mayHaveEarlierRetries {
		return 0
	}
	return s.count
}

// observeNamed records the number of hosts that the store names, including this one. It
// reports whether the bursts must be limited anew.
func (s *sharingHosts) observeNamed(count int, now time.Time) bool {
	if !now.Before(s.namedUntil) {
		return false
	}
	wasKnown := !now.Before(s.knownAt)
	if !wasKnown {
		s.knownAt = now
	}
	return s.observe(max(count, s.count), now) || !wasKnown
}

// observe records the number of hosts that are alive, including this one. It reports
// whether the bursts must be limited anew: the count has changed, or credit expires.
func (s *sharingHosts) observe(count int, now time.Time) bool {
	before, mayHaveEarlierRetries := s.count, s.mayHaveEarlierRetries
	s.mayHaveEarlierRetries = now.Before(s.earlierRetriesUntil)
	if count >= s.count || !now.Before(s.until) {
		s.count, s.until = count, now.Add(hostPeakTime)
	}
	if s.count == before && s.mayHaveEarlierRetries == mayHaveEarlierRetries && now.Before(s.expiresAt) {
		return false
	}
	s.expiresAt = now.Add(creditTime)
	return true
}
