package steer

// passReason is why an endpoint was passed over.
type passReason int

const (
	noObstacle passReason = iota
	wasTried
	mayHoldRequests
	isSuspect
	isLimited
	isSpared
	isColdElsewhere
	isColdPaced
	isFull
	hasNoFreeSlot
	tooBusyForObject
	slower
)

// String returns the reason in words.
func (r passReason) String() string {
	switch r {
	case wasTried:
		return "it was tried"
	case mayHoldRequests:
		return "it may hold requests for long"
	case isSuspect:
		return "suspect: it was not reachable"
	case isLimited:
		return "limited: the next permit is not due"
	case isSpared:
		return "spared: it asked for no requests"
	case isColdElsewhere:
		return "cold, and another host owns it"
	case isColdPaced:
		return "cold, and the next request to it is not due"
	case isFull:
		return "full"
	case hasNoFreeSlot:
		return "no free slot, so an export does not use it for its distance"
	case tooBusyForObject:
		return "affinity keeps the object elsewhere: it is busy"
	case slower:
		return "another endpoint is faster"
	case noObstacle:
	}
	return ""
}

// observations holds what a choice found of the endpoints that it looked at.
type observations struct {
	ranks   map[*endpoint]int
	reasons map[*endpoint]passReason
}

// pass records why an endpoint is not chosen unless it is the best one. The last reason of
// an endpoint counts. A nil receiver records nothing.
func (o *observations) pass(candidate *endpoint, rank int, reason passReason) {
	if o == nil {
		return
	}
	o.ranks[candidate], o.reasons[candidate] = rank, reason
}
