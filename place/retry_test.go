package place_test

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/place"

	"gotest.tools/v3/assert"
)

// failAll applies an event to a core and ends each attempt that follows from it as
// failed. It returns the number of retries.
func failAll(core *place.Core, event place.Event, now time.Time) int {
	retries := 0
	events := []place.Event{event}
	for len(events) > 0 {
		decisions := core.Apply(events[0], now)
		events = events[1:]
		for _, decision := range decisions {
			if send, isSend := decision.(place.Send); isSend {
				retries += min(1, send.Number-1)
				events = append(events, place.Finished{Attempt: send.Attempt, Result: place.Failed})
			}
		}
	}
	return retries
}

// arrival returns the arrival of a read that may take a second.
func arrival(id string, now time.Time) place.Arrived {
	return place.Arrived{Request: place.Request{
		ID: place.RequestID(id), Service: "view", Home: "north", Deadline: now.Add(time.Second),
	}}
}

// failRequests lets a number of requests arrive and all their attempts fail. It returns
// the number of retries.
func failRequests(core *place.Core, requests int, now time.Time) int {
	retries := 0
	for number := range requests {
		retries += failAll(core, arrival(fmt.Sprint(number), now), now)
	}
	return retries
}

// deployFleet returns a configuration with a read service, of which each host has a slot
// of each of four endpoints.
func deployFleet(t *testing.T, hosts int) *model.Deployment {
	spec := model.DeploymentSpec{
		Revision: 1,
		Zones:    []model.Zone{model.NewZone("north-a", "north")},
		Services: []model.Service{model.NewService(model.ServiceSpec{Name: "view", Class: model.Read, QueueLimit: 3})},
	}
	for host := range hosts {
		spec.Hosts = append(spec.Hosts, model.NewHost(model.HostSpec{Name: model.HostName(fmt.Sprint("host-", host)), Zone: "north-a"}))
	}
	for endpoint := range 4 {
		spec.Endpoints = append(spec.Endpoints, model.NewEndpoint(model.EndpointSpec{
			Name: model.EndpointName(fmt.Sprint("view-", endpoint)), Service: "view", Zone: "north-a", Slots: hosts, Connections: hosts,
		}))
	}
	deployment, err := model.NewDeployment(spec)
	assert.NilError(t, err)
	return deployment
}

// retriesAfterStart returns the retries of a new host whose requests all fail.
func retriesAfterStart(host model.HostName, adopted place.Adopted, requests int) int {
	now := time.Unix(1_000_000, 0)
	core := place.New(host)
	core.Apply(adopted, now)
	return failRequests(core, requests, now)
}

// Guards against hosts that together exceed the retry budget, because each of them may
// retry ten times before its requests have earned a retry.
func TestHostsShareTheRetryReserve(t *testing.T) {
	const requests = 4
	for _, hosts := range []int{1, 3, 10, 12, 40} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			deployment := deployFleet(t, hosts)
			retries := 0
			for _, host := range deployment.Hosts() {
				retries += retriesAfterStart(host.Name(), place.Adopted{Deployment: deployment}, requests)
			}
			limit := max(10, hosts) + hosts*requests/10
			assert.Assert(t, retries <= limit, "%d retries for %d requests", retries, hosts*requests)
		})
	}
}

// Guards against hosts that are restarted in series and have unearned retries again after
// each start.
func TestRestartedHostHasNoRetryReserve(t *testing.T) {
	const hosts, restarts, requests = 12, 4, 4
	deployment := deployFleet(t, hosts)
	retries := 0
	for _, host := range deployment.Hosts() {
		retries += retriesAfterStart(host.Name(), place.Adopted{Deployment: deployment}, requests)
		for range restarts {
			retries += retriesAfterStart(host.Name(), place.Adopted{Deployment: deployment, IsRestart: true}, requests)
		}
	}
	arrivals := hosts * (1 + restarts) * requests
	assert.Assert(t, retries <= hosts+arrivals/10, "%d retries for %d requests", retries, arrivals)
}

// Guards against retries that are refused although the budget allows them, because earlier
// ones spent it, waited for a slot and were never sent.
func TestUnsentRetryCostsNothing(t *testing.T) {
	for name, end := range map[string]func(core *place.Core, now time.Time){
		"deadline passes": func(core *place.Core, now time.Time) { core.Apply(place.Ticked{}, now.Add(time.Second)) },
		"caller leaves":   func(core *place.Core, now time.Time) { core.Apply(place.Abandoned{Request: "r"}, now) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			deployment := deployFleet(t, 1)
			core := place.New("host-0")
			core.Apply(place.Adopted{Deployment: deployment}, now)
			sendFirst := func() place.Finished {
				decisions := core.Apply(arrival("r", now), now)
				return place.Finished{Attempt: decisions[0].(place.Send).Attempt, Result: place.Failed}
			}
			for round := range 12 {
				failed := sendFirst()
				for _, endpoint := range deployment.Endpoints() {
					core.Apply(place.Marked{Endpoint: endpoint.Name(), Incarnation: fmt.Sprint(round)}, now)
				}
				_, isWait := core.Apply(failed, now)[0].(place.Wait)
				assert.Assert(t, isWait, "round %d", round)
				end(core, now)
				now = now.Add(time.Second)
				for _, endpoint := range deployment.Endpoints() {
					core.Apply(place.Unmarked{Endpoint: endpoint.Name(), Incarnation: fmt.Sprint(round + 1)}, now)
				}
			}
			decision := core.Apply(sendFirst(), now)[0]
			_, isSend := decision.(place.Send)
			assert.Assert(t, isSend, "%v", decision)
		})
	}
}
