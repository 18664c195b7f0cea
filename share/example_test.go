package share_test

import (
	"fmt"
	"time"

	"filberthold/model"
	"filberthold/share"
)

// A host takes a slot, loses track of the request and gets the slot back when
// the upstream can no longer be working on it.
func ExampleLedger() {
	deployment, err := model.NewDeployment(model.DeploymentParts{
		Revision:  1,
		Zones:     []model.Zone{model.NewZone("north-a", "north")},
		Services:  []model.Service{model.NewService(model.ServiceParts{Name: "specbook", Class: model.Read})},
		Hosts:     []model.Host{model.NewHost(model.HostParts{Name: "north-a-1", Zone: "north-a"})},
		Endpoints: []model.Endpoint{model.NewEndpoint(model.EndpointParts{Name: "specbook-01", Service: "specbook", Zone: "north-a", Slots: 1})},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ledger := share.NewLedger("north-a-1")
	ledger.Adopt(share.Assign(deployment))

	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	deadline := now.Add(2 * time.Second)
	ticket, _ := ledger.Take("specbook-01", deadline, now)
	fmt.Println("held until", ledger.Hold(ticket).Format(time.TimeOnly))
	fmt.Println("free at the deadline:", ledger.Free("specbook-01", deadline.Add(time.Minute), deadline))
	fmt.Println("free later:", ledger.Free("specbook-01", deadline.Add(time.Minute), deadline.Add(time.Second)))
	// Output:
	// held until 12:00:03
	// free at the deadline: 0
	// free later: 1
}
