package queue

import (
	"time"

	"filberthold/model"
	"filberthold/route"
)

// MixedServices returns the services that routes with different latency objectives use. Their
// requests may wait for different times, so arrival alone is no order for them.
func MixedServices(config *route.Config) map[model.ServiceName]bool {
	mixed := make(map[model.ServiceName]bool)
	objectives := make(map[model.ServiceName]time.Duration)
	for _, each := range config.Routes() {
		for _, share := range each.Shares {
			if share.Weight <= 0 {
				continue
			}
			if objective, exists := objectives[share.Service]; exists && objective != each.LatencyObjective {
				mixed[share.Service] = true
			}
			objectives[share.Service] = each.LatencyObjective
		}
	}
	return mixed
}
