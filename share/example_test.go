package share_test

import (
	"fmt"
	"time"

	"filberthold/share"
)

// A host takes a slot and does not observe the end of the request. The slot is free
// again once the upstream can no longer be executing the request.
func ExampleLedger() {
	deployment := deploy(1, 1, 1, 1, 1, func(int) bool { return false })
	ledger := share.NewLedger("host-000")
	ledger.Adopt(share.Assign(deployment))

	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	deadline := now.Add(2 * time.Second)
	ticket, _ := ledger.Take("view-0000", deadline, now)
	fmt.Println("held until", ledger.Hold(ticket).Format(time.TimeOnly))
	fmt.Println("free at the deadline:", ledger.Free("view-0000", deadline.Add(time.Minute), deadline))
	fmt.Println("free later:", ledger.Free("view-0000", deadline.Add(time.Minute), deadline.Add(time.Second)))
	// Output:
	// held until 12:00:03
	// free at the deadline: 0
	// free later: 1
}
