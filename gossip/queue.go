package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filberthold/steer"
)

const (
	// maxWait is how long conditions may wait for a message. Later ones are outdated: a host
	// that still observes them confirms them.
	maxWait = 2 * time.Second
	// seenTime is how long the same condition of an endpoint is not queued again. Several
	// hosts may observe it before they are told, and each condition arrives repeatedly.
	seenTime = time.Second
	// repeatTime is how long a condition may be repeated after a host was lost. It exceeds
	// the time until the others know of the loss.
	repeatTime = 3 * time.Second
)

// conditionQueue holds conditions of endpoints that wait for a message: changes and their
// repeats first, and otherwise in the order in which they were added. Its zero value is
// empty.
type conditionQueue struct {
	waiting []waitingCondition
	// recent holds the conditions that were added within repeatTime.
	recent map[steer.EndpointID]recentCondition
}

type waitingCondition struct {
	steer.EndpointCondition
	until time.Time
	// isRepeat is true if the condition was sent before. Each is sent twice where there is
	// room, because messages may be lost.
	isRepeat bool
}

type recentCondition struct {
	condition steer.Condition
	addedAt   time.Time
}

// add queues a condition, unless the same one was added a short time ago.
func (q *conditionQueue) add(told steer.EndpointCondition, now time.Time) {
	known, exists := q.recent[told.Endpoint]
	if exists && known.condition == told.Condition && now.Sub(known.addedAt) < seenTime {
		return
	}
	if q.recent == nil {
		q.recent = make(map[steer.EndpointID]recentCondition)
	}
	q.recent[told.Endpoint] = recentCondition{told.Condition, now}
	q.remove(told.Endpoint)
	q.insert(waitingCondition{EndpointCondition: told, until: now.Add(maxWait)})
}

// repeat queues the recent conditions that do not wait.
func (q *conditionQueue) repeat(now time.Time) {
	q.dropRecent(now)
	for _, endpoint := range slices.SortedFunc(maps.Keys(q.recent), cmp.Compare) {
		isWaiting := slices.ContainsFunc(q.waiting, func(waiting waitingCondition) bool { return waiting.Endpoint == endpoint && !waiting.isRepeat })
		if isWaiting {
			continue
		}
		q.remove(endpoint)
		told := steer.EndpointCondition{Endpoint: endpoint, Condition: q.recent[endpoint].condition, IsConfirmation: true}
		q.insert(waitingCondition{EndpointCondition: told, until: now.Add(maxWait)})
	}
}

// take removes and returns the first conditions, up to a number, and drops outdated ones.
func (q *conditionQueue) take(limit int, now time.Time) []steer.EndpointCondition {
	q.dropRecent(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(waiting waitingCondition) bool { return !now.Before(waiting.until) })
	taken := slices.Clone(q.waiting[:min(len(q.waiting), limit)])
	q.waiting = slices.Delete(q.waiting, 0, len(taken))
	conditions := make([]steer.EndpointCondition, 0, len(taken))
	for _, waiting := range taken {
		conditions = append(conditions, waiting.EndpointCondition)
		if !waiting.isRepeat {
			waiting.isRepeat = true
			q.insert(waiting)
		}
	}
	return conditions
}

func (q *conditionQueue) insert(added waitingCondition) {
	index := len(q.waiting)
	if !added.IsConfirmation {
		index = q.changes()
	}
	q.waiting = slices.Insert(q.waiting, index, added)
}

// changes returns the number of changes in the queue.
func (q *conditionQueue) changes() int {
	index := slices.IndexFunc(q.waiting, func(waiting waitingCondition) bool { return waiting.IsConfirmation })
	if index < 0 {
		return len(q.waiting)
	}
	return index
}

func (q *conditionQueue) remove(endpoint steer.EndpointID) {
	q.waiting = slices.DeleteFunc(q.waiting, func(waiting waitingCondition) bool { return waiting.Endpoint == endpoint })
}

func (q *conditionQueue) dropRecent(now time.Time) {
	maps.DeleteFunc(q.recent, func(_ steer.EndpointID, known recentCondition) bool { return now.Sub(known.addedAt) >= repeatTime })
}
