package node

import (
	"time"

	"filberthold/platform"
)

// intervals determines how often the replica is updated.
type intervals struct {
	operator  tableIntervals
	endpoints tableIntervals
	// pollWait is how long a host waits for a change before it responds to the
	// poll of a follower.
	pollWait time.Duration
}

// tableIntervals determines how often one table of the replica is updated. All
// values are fractions of the time within which a change must take effect at
// every host.
type tableIntervals struct {
	// readInterval is the longest time between two confirmations of a store reader
	// that its rows are complete.
	readInterval time.Duration
	// answerTimeout is the time in which the store should answer a call. The next
	// call after it still gets the rows in time.
	answerTimeout time.Duration
	// maxAge is the age from which the rows are too old. It is longer than
	// readInterval and the wait of a follower's poll together, and leaves time for
	// activeCheckInterval and calls to the store that take a tenth of the time.
	maxAge time.Duration
}

// minProofWait bounds the number of calls and polls where RevokeTime is short.
const minProofWait = 50 * time.Millisecond

// defaultEffectTime is used where the settings contain no time.
const defaultEffectTime = 2 * time.Second

// newIntervals returns the intervals for the times within which hosts must apply
// a configuration, leave an evacuated availability zone, stop using a draining
// endpoint and refuse a withdrawn key.
func newIntervals(settings platform.Settings) intervals {
	operatorTime := operatorEffectTime(settings)
	endpointTime := shortest(settings.DrainTime)
	created := intervals{
		operator: newTableIntervals(operatorTime), endpoints: newTableIntervals(endpointTime),
		pollWait: min(operatorTime, endpointTime) / 8,
	}
	if settings.IsRevocationStrict {
		// A reader's proof is up to two calls old, a follower's a poll more.
		proofWait := max(minProofWait, settings.RevokeTime/10)
		created.operator.readInterval = min(created.operator.readInterval, proofWait)
		created.pollWait = min(created.pollWait, proofWait)
	}
	return created
}

// operatorEffectTime returns the time within which a change of the operator's rows
// must take effect.
func operatorEffectTime(settings platform.Settings) time.Duration {
	return shortest(settings.ConfigApplyTime, settings.EvacuationTime)
}

func newTableIntervals(effectTime time.Duration) tableIntervals {
	return tableIntervals{readInterval: effectTime / 4, answerTimeout: effectTime / 4, maxAge: effectTime * 6 / 10}
}

// shortest returns the shortest of the times that are set, or defaultEffectTime if
// none is.
func shortest(times ...time.Duration) time.Duration {
	result := time.Duration(0)
	for _, candidate := range times {
		if candidate > 0 && (result == 0 || candidate < result) {
			result = candidate
		}
	}
	if result == 0 {
		return defaultEffectTime
	}
	return result
}
