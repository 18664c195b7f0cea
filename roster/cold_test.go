package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// coldEntry returns an entry of the endpoint e that is cold for a time.
func coldEntry(sequence uint64, coldFor time.Duration) Entry {
	entry := newEntry("e", Ready, sequence, 1)
	entry.ColdFor = coldFor
	return entry
}

// Guards against requests at the full rate to an endpoint that is cold for a second time,
// by hosts that received only the entries which changed the roster of the store reader:
// the two entries state the same time.
func TestSecondColdTimeIsAnUpdateWithoutTheEntriesBetween(t *testing.T) {
	roster := newRoster()
	again := start().Add(6 * time.Second)
	assert.Equal(t, roster.Apply(coldEntry(1, 3*time.Second), start()), Added)
	before := roster.Revision()
	assert.Equal(t, roster.Apply(coldEntry(5, 3*time.Second), again), Updated)
	assert.Assert(t, roster.Revision() > before)
	assert.Equal(t, roster.Endpoints("s")[0].ColdUntil, again.Add(3*time.Second))
}

// Guards against a cold time that is extended before its end and that other hosts do not
// learn of, because the entry states less than the one before.
func TestColdTimeThatIsExtendedIsAnUpdate(t *testing.T) {
	roster := newRoster()
	roster.Apply(coldEntry(1, 3*time.Second), start())
	assert.Equal(t, roster.Apply(coldEntry(2, 1500*time.Millisecond), start().Add(1500*time.Millisecond)), Unchanged)
	assert.Equal(t, roster.Apply(coldEntry(3, 2*time.Second), start().Add(2*time.Second)), Updated)
	assert.Equal(t, roster.Endpoints("s")[0].ColdUntil, start().Add(4*time.Second))
}

// Guards against cold times that end earlier at a host which receives only the changes
// than the endpoint stated, for any times at which it becomes cold and its entries arrive.
func TestHostsThatReceiveOnlyChangesKnowColdTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := newRoster(), newRoster()
		now, coldUntil := start(), start()
		for sequence := uint64(1); sequence <= 40; sequence++ {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pauseMs")) * time.Millisecond)
			if rapid.Bool().Draw(t, "becomesCold") {
				coldUntil = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "coldMs")) * time.Millisecond)
			}
			entry := coldEntry(sequence, max(0, coldUntil.Sub(now)))
			readAt := now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "readMs")) * time.Millisecond)
			if reader.Apply(entry, readAt) != Unchanged {
				follower.Apply(entry, readAt.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "relayMs"))*time.Millisecond))
			}
			if now.Before(coldUntil) {
				known := follower.Endpoints("s")[0].ColdUntil
				assert.Assert(t, !known.Before(coldUntil), "cold until %s, known %s", coldUntil, known)
			}
		}
	})
}
