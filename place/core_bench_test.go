package place_test

import (
	"fmt"
	"testing"
	"time"

	embedded "filberthold/deployments"
	"filberthold/model"
	"filberthold/place"

	"gotest.tools/v3/assert"
)

// BenchmarkCore measures one read from arrival to end with 4, 8 and 16 requests in
// flight, for docs/CAPACITY.md.
func BenchmarkCore(b *testing.B) {
	document, err := embedded.Load("guild")
	assert.NilError(b, err)
	document.Hosts = document.Hosts[:1]
	for _, inFlight := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("inFlight=%d", inFlight), func(b *testing.B) {
			deployment, err := document.Build(1)
			assert.NilError(b, err)
			host := deployment.Hosts()[0]
			core := place.New(host.Name())
			now := time.Unix(1, 0)
			core.Apply(place.Adopted{Deployment: deployment, Revision: 1}, now)
			var inFlightAttempts []place.AttemptID
			number := 0
			arrive := func() {
				number++
				request := place.Request{
					ID: place.RequestID(fmt.Sprint(number)), Service: "specbook",
					Home: deployment.RegionOf(host.Zone()), Deadline: now.Add(time.Second),
				}
				for _, decision := range core.Apply(place.Arrived{Request: request}, now) {
					if send, isSend := decision.(place.Send); isSend {
						inFlightAttempts = append(inFlightAttempts, send.Attempt)
					}
				}
			}
			for range min(inFlight, slotCount(deployment, "specbook")) {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				core.Apply(place.Finished{Attempt: inFlightAttempts[0], Result: place.Succeeded}, now)
				inFlightAttempts = inFlightAttempts[1:]
				arrive()
				core.NextTick()
			}
		})
	}
}

func slotCount(deployment *model.Deployment, service model.ServiceName) int {
	slots := 0
	for _, endpoint := range deployment.EndpointsOf(service) {
		slots += endpoint.Slots()
	}
	return slots
}
