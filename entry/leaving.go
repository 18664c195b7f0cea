package entry

import (
	"context"
	"fmt"

	"filberthold/model"
	"filberthold/place"
	"filberthold/ring"
)

// leavingResponseCapacity bounds the reports of leaving endpoints that wait to be
// handled. When the queue is full, a report is dropped; the next response of the
// endpoint repeats it.
const leavingResponseCapacity = 64

// leavingResponses finds the endpoints whose responses report that they are
// leaving. It is used by the dispatcher's goroutine.
type leavingResponses struct {
	// endpoints holds the endpoint of each attempt in flight, because a Finished
	// event identifies only the attempt.
	endpoints map[place.AttemptID]model.EndpointName
	queue     *ring.Ring[model.EndpointName]
}

func newLeavingResponses() leavingResponses {
	return leavingResponses{endpoints: make(map[place.AttemptID]model.EndpointName), queue: ring.New[model.EndpointName](leavingResponseCapacity)}
}

// observe records the endpoint of each attempt that is sent. It queues the
// endpoint if the attempt's Responded or Finished event reports that it is leaving.
func (l *leavingResponses) observe(event place.Event, decisions []place.Decision) {
	switch event := event.(type) {
	case place.Responded:
		l.report(event.Attempt, event.Leaving)
	case place.Finished:
		l.report(event.Attempt, event.Leaving)
		delete(l.endpoints, event.Attempt)
	}
	for _, decision := range decisions {
		if send, isSend := decision.(place.Send); isSend {
			l.endpoints[send.Attempt] = send.Endpoint
		}
	}
}

// report queues the endpoint of an attempt if it is leaving.
func (l *leavingResponses) report(attempt place.AttemptID, isLeaving bool) {
	if endpoint, exists := l.endpoints[attempt]; exists && isLeaving {
		l.queue.TryPut(endpoint)
	}
}

// leavingResponseLoop marks the endpoints whose responses reported that they
// are leaving.
func (h *Host) leavingResponseLoop(ctx context.Context) error {
	for {
		endpoint, err := h.dispatcher.leavingResponses.queue.Get(ctx)
		if err != nil {
			return fmt.Errorf("wait for leaving response: %w", err)
		}
		if err := h.membership.MarkLeaving(ctx, endpoint, "answer"); err != nil {
			return fmt.Errorf("mark endpoint %q: %w", endpoint, err)
		}
	}
}
