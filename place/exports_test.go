package place_test

import (
	"testing"
	"time"

	"filberthold/model"
	"filberthold/place"

	"gotest.tools/v3/assert"
)

// Guards against refusing a long export whose attempts make progress, and against
// endless attempts without progress. Of the attempts, 100 make progress; an export
// gets 8 more. The limit of a read does not depend on progress.
func TestExportWithProgressExceedsAttemptLimit(t *testing.T) {
	for class, want := range map[model.Class]int{model.Export: 108, model.Read: 3} {
		now := time.Unix(1_000_000, 0)
		deployment, err := model.NewDeployment(model.DeploymentSpec{
			Revision:  1,
			Zones:     []model.Zone{model.NewZone("a", "r")},
			Hosts:     []model.Host{model.NewHost(model.HostSpec{Name: "here", Zone: "a"})},
			Services:  []model.Service{model.NewService(model.ServiceSpec{Name: "yard", Class: class, QueueLimit: 1})},
			Endpoints: []model.Endpoint{model.NewEndpoint(model.EndpointSpec{Name: "yard-1", Service: "yard", Zone: "a", Slots: 1})},
		})
		assert.NilError(t, err)
		core := place.New("here")
		core.Apply(place.Adopted{Deployment: deployment, Revision: 1}, now)
		arrived := place.Arrived{Request: place.Request{ID: "x", Service: "yard", Home: "r", Deadline: now.Add(time.Hour)}}
		decisions, attempts := core.Apply(arrived, now), 0
		for send, isSend := decisions[0].(place.Send); isSend && attempts < 1000; send, isSend = decisions[0].(place.Send) {
			attempts++
			assert.Equal(t, send.Number, attempts)
			decisions = core.Apply(place.Finished{Attempt: send.Attempt, Result: place.Failed, Progress: attempts <= 100, Detail: "broken"}, now)
		}
		assert.Equal(t, attempts, want, "%v", decisions)
		assert.DeepEqual(t, decisions[0], place.Refuse{Request: "x", Outcome: model.Unknown, Reason: "all attempts used: broken"})
	}
}

// Guards against new requests to an endpoint that said in the header of a long export
// that it is leaving, until the export has ended.
func TestLeavingEndpointGetsNoRequestWhileItsExportRuns(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	deployment, err := model.NewDeployment(model.DeploymentSpec{
		Revision:  1,
		Zones:     []model.Zone{model.NewZone("a", "r")},
		Hosts:     []model.Host{model.NewHost(model.HostSpec{Name: "here", Zone: "a"})},
		Services:  []model.Service{model.NewService(model.ServiceSpec{Name: "yard", Class: model.Export, QueueLimit: 1})},
		Endpoints: []model.Endpoint{model.NewEndpoint(model.EndpointSpec{Name: "yard-1", Service: "yard", Zone: "a", Slots: 2})},
	})
	assert.NilError(t, err)
	core := place.New("here")
	core.Apply(place.Adopted{Deployment: deployment, Revision: 1}, now)
	arrived := place.Arrived{Request: place.Request{ID: "x", Service: "yard", Home: "r", Deadline: now.Add(time.Hour)}}
	send, isSend := core.Apply(arrived, now)[0].(place.Send)
	assert.Assert(t, isSend)
	core.Apply(place.Responded{Attempt: send.Attempt, Leaving: true}, now)
	arrived.Request.ID = "y"
	for _, decision := range core.Apply(arrived, now) {
		_, isSend := decision.(place.Send)
		assert.Assert(t, !isSend, "%v", decision)
	}
}
