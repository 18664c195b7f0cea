package steer

import (
	"slices"
	"time"

	"filberthold/hashes"
	"filberthold/model"
)

// pick is the endpoint that is best for a query, and how it was found. Its endpoint is nil if
// the query must be rejected.
type pick struct {
	choice
	// plannedRegion is empty if no endpoint is in an allowed region.
	plannedRegion model.RegionName
	// isNearby is true if the endpoint was chosen for its distance, and isSpillover if the
	// planned region has none.
	isNearby, isSpillover bool
	// costsSpillCredit is true if the choice is paid for with spillover credit.
	costsSpillCredit bool
}

// pick finds the best endpoint for a query. It changes nothing that later choices depend on:
// estimates belong to one query.
// What it finds on the way is recorded in seen, which may be nil.
func (s *Selector) pick(state *serviceState, query Query, now time.Time, seen *observations) pick {
	object := s.objectHash(query)
	s.estimate(state, query, object)
	plannedRegion, exists := state.planRegion(s.region, toUnitInterval(hashes.Mix(object)), query)
	if !exists {
		return pick{}
	}
	picked := pick{plannedRegion: plannedRegion}
	if query.Route.Class == model.Export {
		picked.choice = s.bestNearby(state, object, query, now, seen)
		picked.isNearby = picked.endpoint != nil
	}
	if picked.endpoint == nil {
		picked.choice = s.best(state, state.byRegion[plannedRegion], object, query, now, seen)
	}
	if picked.endpoint == nil {
		picked.choice, picked.costsSpillCredit = s.bestSpillover(state, plannedRegion, object, query, now, seen)
		picked.isSpillover = picked.endpoint != nil
	}
	return picked
}

// take counts the request at the picked endpoint, or rejects it if there is none.
func (s *Selector) take(state *serviceState, picked pick, query Query, now time.Time) Decision {
	switch {
	case picked.plannedRegion == "":
		return Reject{Reason: "no endpoint in an allowed region", RetryAfter: noEndpointRetryAfter}
	case picked.endpoint == nil:
		return state.reject(query, now)
	}
	if picked.costsSpillCredit {
		s.spillCredit--
	}
	return s.send(state, picked.choice, now)
}

// obstacle returns why a query cannot use a candidate now, or noObstacle.
func (s *Selector) obstacle(candidate *endpoint, query Query, now time.Time) passReason {
	switch {
	case slices.Contains(query.Tried, candidate.name):
		return wasTried
	case candidate.mayHold(query, now):
		return mayHoldRequests
	case candidate.isSuspect(now):
		return isSuspect
	case candidate.rate.isDeferred(now):
		return isLimited
	case candidate.spare.isHeld(now):
		return isSpared
	case candidate.isCold(now):
		return s.coldObstacle(candidate, now)
	case candidate.load(now) >= float64(candidate.slots+maxEndpointQueue-query.Yield):
		return isFull
	}
	return noObstacle
}

func (s *Selector) coldObstacle(candidate *endpoint, now time.Time) passReason {
	if s.owner(candidate) != s.host {
		return isColdElsewhere
	}
	if !candidate.pacer.canSend(now) {
		return isColdPaced
	}
	return noObstacle
}
