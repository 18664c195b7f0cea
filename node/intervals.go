package node

import "time"

// intervals determines how often the replica is updated. All values are
// fractions of the time within which a host must stop using a draining
// endpoint.
type intervals struct {
	// entryInterval is how often a store reader reads the changed entries.
	entryInterval time.Duration
	// pollWait is how long a host waits for a change before it responds to the
	// poll of a follower.
	pollWait time.Duration
	// maxAge is the age from which a follower's replica is too old. It is longer
	// than the two others together and leaves time to read the store.
	maxAge time.Duration
}

// defaultDrainTime is used if the settings contain no drain time.
const defaultDrainTime = 2 * time.Second

func newIntervals(drainTime time.Duration) intervals {
	if drainTime <= 0 {
		drainTime = defaultDrainTime
	}
	return intervals{entryInterval: drainTime / 4, pollWait: drainTime / 8, maxAge: drainTime * 6 / 10}
}
