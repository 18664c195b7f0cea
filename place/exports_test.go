package place_test

import (
	"testing"
	"time"

	"filberthold/model"
	"filberthold/place"

	"gotest.tools/v3/assert"
)

// Guards against a long export that is refused although each attempt carries it
// further, and against attempts without progress that go on for ever. The bound
// of a read does not depend on progress.
func TestProgressOfExports(t *testing.T) {
	for _, test := range []struct {
		class            model.Class
		progress, failed int
	}{
		{model.Export, 0, 8},
		{model.Export, 100, 8},
		{model.Read, 3, 0},
	} {
		now := time.Unix(1_000_000, 0)
		deployment, err := model.NewDeployment(model.DeploymentParts{
			Revision: 1,
			Zones:    []model.Zone{model.NewZone("a", "r")},
			Hosts:    []model.Host{model.NewHost(model.HostParts{Name: "here", Zone: "a"})},
			Services: []model.Service{model.NewService(model.ServiceParts{Name: "yard", Class: test.class, QueueLimit: 1})},
			Endpoints: []model.Endpoint{model.NewEndpoint(model.EndpointParts{
				Name: "yard-1", Service: "yard", Zone: "a", Address: "127.0.0.1:1", Slots: 1, Connections: 1,
			})},
		})
		assert.NilError(t, err)
		core := place.New("here")
		core.Apply(place.Adopted{Deployment: deployment, Revision: 1}, now)
		decisions := core.Apply(place.Arrived{Request: place.Request{
			ID: "x", Service: "yard", Home: "r", Deadline: now.Add(time.Hour),
		}}, now)
		attempts := 0
		for len(decisions) == 1 && attempts < 1000 {
			send, isSend := decisions[0].(place.Send)
			if !isSend {
				break
			}
			attempts++
			assert.Equal(t, send.Number, attempts)
			now = now.Add(time.Second)
			decisions = core.Apply(place.Finished{
				Attempt: send.Attempt, Result: place.Failed, Progress: attempts <= test.progress, Detail: "broken",
			}, now)
		}
		assert.Equal(t, attempts, test.progress+test.failed, "%v", decisions)
		refuse, isRefuse := decisions[0].(place.Refuse)
		assert.Assert(t, isRefuse && refuse.Reason == "all attempts used: broken", "%v", decisions)
	}
}
