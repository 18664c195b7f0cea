package queue

import (
	"cmp"
	"time"

	"filberthold/steer"
)

const (
	// overloadedTime is how many of the latest seconds, decayed with rateDecay, requests must
	// have waited for a service to count as overloaded. It is half of what is possible.
	overloadedTime = 1.0
	// aboveShare is how many times as much as the others, relative to their quotas, an
	// organisation gets before it yields. A quota leaves 1.6 times the usual rate; below that,
	// differences are usual.
	aboveShare = 1.5
	// shareYield is the number of places in each endpoint's queue that an organisation above
	// its share leaves to the others. The other place keeps the slots busy.
	shareYield = 1
)

// underPressure returns a query with what changes while the service is overloaded. The list
// orders only what waits at this host, and most slots are taken at once by requests of any host.
//
// An organisation above its share leaves a place in the queue of each endpoint to the others: this
// is the answer to one organisation at many times its usual rate. Objects spread to fewer endpoints:
// this is the answer to bursts and long overloads, which would otherwise outlast their cause.
func (s *serviceLine) underPressure(query steer.Query, now time.Time) steer.Query {
	query.IsOverloaded = s.rate.waited >= overloadedTime
	query.Yield = 0
	if !query.IsOverloaded {
		return query
	}
	if s.isAboveShare(query, now) {
		query.Yield = shareYield
	}
	return query
}

// isAboveShare reports whether the organisation of a query got much more lately than the
// others, relative to their quotas.
func (s *serviceLine) isAboveShare(query steer.Query, now time.Time) bool {
	name := query.Organisation.Name
	if name == "" {
		return false
	}
	others, weights, largest := 0.0, 0.0, largestWeight(s.served)
	for other, count := range s.served {
		if other != name {
			others += count.at(now)
			weights += cmp.Or(count.weight, largest, 1)
		}
	}
	return weights > 0 && (s.served[name].at(now)-freeTurns)/cmp.Or(weight(query), largest, 1) > aboveShare*others/weights
}
