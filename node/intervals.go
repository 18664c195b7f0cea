package node

import "time"

// pace is how often knowledge of the endpoints is renewed. All of it follows
// from the time within which a host must have left a draining endpoint.
type pace struct {
	// entryInterval is how often a reader reads the changes of the entries.
	entryInterval time.Duration
	// followWait is how long a host that is followed waits for a change before
	// it answers.
	followWait time.Duration
	// maxAge is the age from which what a host knows from others is too old. It
	// is longer than both together and leaves time to read the store.
	maxAge time.Duration
}

// defaultDrainTime is used if the settings do not say how long endpoints drain.
const defaultDrainTime = 2 * time.Second

func newPace(drainTime time.Duration) pace {
	if drainTime <= 0 {
		drainTime = defaultDrainTime
	}
	return pace{entryInterval: drainTime / 4, followWait: drainTime / 8, maxAge: drainTime * 6 / 10}
}
