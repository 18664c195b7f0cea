package node

import "filberthold/steer"

// takeConditions returns the conditions of endpoints that this host must tell others, and
// logs those that changed.
func (n *Node) takeConditions(limit int) []steer.EndpointCondition {
	conditions := n.core.TakeConditions(limit)
	for _, told := range conditions {
		if !told.IsConfirmation {
			n.log.Info("endpoint condition changed", "endpoint", told.Name,
				"full", told.Condition&steer.IsFull != 0, "slow", told.Condition&steer.IsSlow != 0)
		}
	}
	return conditions
}
