package place

import (
	"time"

	"filberthold/model"
)

// ServiceStatus is the state of a service at this host, for operators.
type ServiceStatus struct {
	Service model.ServiceName `json:"service"`
	// Usable is the number of slots that the host may use, including borrowed ones.
	Usable int `json:"usable"`
	// Free is the number of usable slots without a request at endpoints that are
	// not leaving.
	Free int `json:"free"`
	// Held is the number of slots that are held for requests whose end is unknown.
	Held    int `json:"held"`
	Queued  int `json:"queued"`
	Leaving int `json:"leavingEndpoints"`
	// Requests and Moved are counters since the start of the process.
	Requests uint64 `json:"requests"`
	Moved    uint64 `json:"moved"`
	// HedgeAfter is the delay after which a read is hedged, or 0.
	HedgeAfter time.Duration `json:"hedgeAfterNanoseconds"`
}

// Status returns the state of all services, sorted by name. Like Apply, it is not
// safe for concurrent use.
func (c *Core) Status(now time.Time) []ServiceStatus {
	statuses := make([]ServiceStatus, 0, len(c.serviceNames))
	for _, name := range c.serviceNames {
		budget := c.shiftBudgets.Service(name)
		status := ServiceStatus{
			Service:  name,
			Queued:   c.services[name].queue.Len(),
			Requests: budget.Total(),
			Moved:    budget.Moved(),
		}
		status.HedgeAfter, _ = c.tracker.HedgeDelay(name)
		for _, endpoint := range c.deployment.EndpointsOf(name) {
			status.Usable += c.ledger.Usable(endpoint.Name())
			status.Held += c.ledger.Held(endpoint.Name())
			if c.leaving.has(endpoint.Name()) {
				status.Leaving++
				continue
			}
			status.Free += c.ledger.Free(endpoint.Name(), now, now)
		}
		statuses = append(statuses, status)
	}
	return statuses
}
