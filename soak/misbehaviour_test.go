package soak

import (
	"math/rand/v2"
	"testing"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against endpoints of the soak that run a request and answer 421, which states that
// they did not: hosts that rely on it then seem to refuse what has run (seeds 379, 382).
func TestNoEndpointMisdirectsWhatItRuns(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	statuses := make(map[string]bool)
	for range 1000 {
		drawn := drawMisbehaviour(random)
		if drawn.behaviours[0] == fake.RunAndRefuse {
			statuses[drawn.refusal.Status] = true
		}
	}
	assert.Equal(t, len(statuses), 3, "%v", statuses)
	assert.Assert(t, !statuses[misdirected])
}
