package place_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"filberthold/config"
	"filberthold/model"
	"filberthold/place"
	"filberthold/share"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const shiftCapPercent = 10

// deploy returns a deployment with endpoints of a read and a submit service in two
// regions. All hosts are in a third region, so each gets a part of all slots.
func deploy(t testing.TB, revision uint64, start time.Time, hosts ...model.HostName) *model.Deployment {
	spec := model.DeploymentSpec{
		Revision: revision,
		Zones:    []model.Zone{model.NewZone("north-a", "north"), model.NewZone("south-a", "south"), model.NewZone("west-a", "west")},
		Services: []model.Service{
			model.NewService(model.ServiceSpec{Name: "view", Class: model.Read, QueueLimit: 3, ShiftCapPercent: shiftCapPercent}),
			model.NewService(model.ServiceSpec{Name: "desk", Class: model.Submit, QueueLimit: 3, ShiftCapPercent: shiftCapPercent}),
		},
		Plans: []model.Plan{model.NewPlan(model.PlanSpec{
			Name: "to-south", Kind: model.Move, Service: "view", From: "north", To: "south",
			Start: start, RatePercentPerMinute: 600, CapPercent: 8,
		})},
	}
	for _, host := range hosts {
		spec.Hosts = append(spec.Hosts, model.NewHost(model.HostSpec{Name: host, Zone: "west-a"}))
	}
	for i, zone := range []model.ZoneName{"north-a", "north-a", "south-a", "south-a"} {
		for _, service := range spec.Services {
			spec.Endpoints = append(spec.Endpoints, model.NewEndpoint(model.EndpointSpec{
				Name:    model.EndpointName(fmt.Sprintf("%s-%d", service.Name(), i+1)),
				Service: service.Name(), Zone: zone, Address: fmt.Sprintf("127.0.0.1:%d", 8001+i), Slots: 1, Connections: 10,
			}))
		}
	}
	deployment, err := model.NewDeployment(spec)
	assert.NilError(t, err)
	return deployment
}

// Guards against unintended changes of a decision, its order or its reason. It runs
// a scripted session in each placement mode and compares it with a golden file.
func TestSessionMatchesGoldenDecisions(t *testing.T) {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	request := func(id place.RequestID, service model.ServiceName, customer model.CustomerName, hash uint64) place.Event {
		return place.Arrived{Request: place.Request{
			ID: id, Service: service, Customer: customer, BlockHash: hash, Home: "north", Deadline: start.Add(2 * time.Second),
		}}
	}
	// finished stands for a place.Finished of the attempt of a request with the
	// given number.
	type finished struct {
		request place.RequestID
		number  int
		result  place.Result
		leaving bool
	}
	const unmovedHash = 1 << 63
	slot := share.Slot{Endpoint: "desk-1", Index: 0}
	script := []struct {
		at time.Duration
		// event is a place.Event or a finished value.
		event any
	}{
		{0, request("early", "view", "a", unmovedHash)},
		{0, place.Adopted{Deployment: deploy(t, 1, start.Add(-time.Minute), "here"), Revision: 1}},
		{1, request("r1", "view", "a", unmovedHash)},
		{11, place.Ticked{}},
		{12, finished{"r1", 2, place.Succeeded, false}},
		{13, request("r2", "view", "a", unmovedHash)},
		{14, request("r3-moved", "view", "b", 0)},
		{15, request("r4", "view", "b", unmovedHash)},
		{16, request("r5", "view", "a", unmovedHash)},
		{17, request("r6", "view", "a", unmovedHash)},
		{18, request("r7-full", "view", "b", unmovedHash)},
		{19, finished{"r1", 1, place.Failed, false}},
		{20, finished{"r2", 1, place.Lost, false}},
		{21, finished{"r3-moved", 1, place.Failed, false}},
		{22, place.Abandoned{Request: "r4"}},
		{23, finished{"r3-moved", 2, place.Succeeded, false}},
		{30, request("s1", "desk", "a", unmovedHash)},
		{31, request("s2", "desk", "a", unmovedHash)},
		{32, place.LoanAsked{Number: 7, Endpoint: "desk-3", Borrower: "there", Duration: time.Second}},
		{33, finished{"s1", 1, place.NotStarted, true}},
		{34, finished{"s2", 1, place.Lost, false}},
		{35, place.LoanReturned{Loan: share.LoanID{Owner: "here", Number: uint64(start.Add(32 * time.Millisecond).UnixNano())}}},
		{40, place.Marked{Endpoint: "view-1", Incarnation: "i1", Source: "host list"}},
		{41, finished{"r4", 1, place.Succeeded, false}},
		{42, place.Unmarked{Endpoint: "view-1", Incarnation: "i2"}},
		{50, place.Adopted{Deployment: deploy(t, 2, start.Add(-time.Minute), "here", "there"), Revision: 2}},
		{51, finished{"r5", 1, place.Succeeded, false}},
		{52, request("r8-moved", "view", "a", 0)},
		{53, request("r9-refused", "view", "a", unmovedHash)},
		{54, place.LoanGranted{Number: uint64(start.Add(53 * time.Millisecond).UnixNano()), Loan: share.Loan{
			ID: share.LoanID{Owner: "there", Number: 4}, Slot: share.Slot{Endpoint: "view-2"}, Borrower: "here", Duration: 10 * time.Second,
		}}},
		{55, finished{"r8-moved", 1, place.Succeeded, false}},
		{56, request("r10-borrows", "view", "a", unmovedHash)},
		{57, finished{"r10-borrows", 1, place.Succeeded, false}},
		{60, place.Adopted{Deployment: deploy(t, 3, start, "here"), Revision: 3}},
		{61, request("s3", "desk", "b", unmovedHash)},
		{62, place.ReleaseHeard{Release: share.Release{Host: "there", Slot: slot, Revision: 3}}},
		{1000, place.Ticked{}}, {2000, place.Ticked{}}, {3500, place.Ticked{}},
	}
	for _, mode := range []config.PlacementMode{config.Steered, config.RoundRobin, config.Random} {
		t.Run(string(mode), func(t *testing.T) {
			core := place.New("here", place.WithMode(mode), place.WithSeed(1))
			var lines strings.Builder
			sent := make(map[place.RequestID][]place.AttemptID)
			apply := func(event place.Event, now time.Time) {
				fmt.Fprintf(&lines, "%s %s\n", now.Format("05.000"), formatValue(event))
				for _, decision := range core.Apply(event, now) {
					fmt.Fprintf(&lines, "    %s\n", formatValue(decision))
					if send, ok := decision.(place.Send); ok {
						sent[send.Request] = append(sent[send.Request], send.Attempt)
					}
				}
				if next := core.NextTick(); !next.IsZero() {
					fmt.Fprintf(&lines, "    wake %s\n", next.Format("05.000"))
				}
			}
			for i, step := range script {
				now := start.Add(step.at * time.Millisecond)
				if end, ok := step.event.(finished); ok {
					if end.number <= len(sent[end.request]) {
						apply(place.Finished{
							Attempt: sent[end.request][end.number-1], Result: end.result, Leaving: end.leaving, Detail: "as scripted",
						}, now)
					}
					continue
				}
				apply(step.event.(place.Event), now)
				// Hedging starts after a number of response times has been observed,
				// which the warm requests provide.
				for n := 0; i == 1 && n < 40; n++ {
					id := place.RequestID(fmt.Sprint("warm", n))
					apply(request(id, "view", "a", unmovedHash), now.Add(-10*time.Millisecond))
					apply(place.Finished{Attempt: sent[id][0], Result: place.Succeeded}, now)
				}
			}
			golden.Assert(t, lines.String(), "session-"+string(mode)+".golden")
		})
	}
}

// formatValue returns the type and the JSON form of an event or a decision.
func formatValue(value any) string {
	if adopted, ok := value.(place.Adopted); ok {
		return fmt.Sprintf("Adopted revision %d", adopted.Revision)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return strings.TrimPrefix(fmt.Sprintf("%T ", value), "place.") + string(text)
}
