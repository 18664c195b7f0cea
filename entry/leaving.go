package entry

import (
	"context"
	"fmt"

	"filberthold/model"
	"filberthold/place"
	"filberthold/ring"
)

// leavingResponseCapacity bounds the leaving endpoints that wait to be marked.
// When the queue is full, an endpoint is dropped; its next response repeats the
// report.
const leavingResponseCapacity = 64

// leavingResponses finds the endpoints whose responses report that they are
// leaving. It is used by the dispatcher's goroutine.
type leavingResponses struct {
	// endpoints holds the endpoint of each attempt in flight, because events
	// have only the attempt.
	endpoints map[place.AttemptID]model.EndpointName
	found     *ring.Ring[model.EndpointName]
}

func newLeavingResponses() leavingResponses {
	return leavingResponses{endpoints: make(map[place.AttemptID]model.EndpointName), found: ring.New[model.EndpointName](leavingResponseCapacity)}
}

// observe records the endpoint of each attempt that is sent, and queues it if
// the end of the attempt reports that the endpoint is leaving.
func (l *leavingResponses) observe(event place.Event, decisions []place.Decision) {
	if finished, isFinished := event.(place.Finished); isFinished {
		if endpoint, exists := l.endpoints[finished.Attempt]; exists && finished.Leaving {
			l.found.TryPut(endpoint)
		}
		delete(l.endpoints, finished.Attempt)
	}
	for _, decision := range decisions {
		if send, isSend := decision.(place.Send); isSend {
			l.endpoints[send.Attempt] = send.Endpoint
		}
	}
}

// loopLeavingResponses marks the endpoints whose responses reported that they
// are leaving.
func (h *Host) loopLeavingResponses(ctx context.Context) error {
	for {
		endpoint, err := h.dispatcher.leavingResponses.found.Get(ctx)
		if err != nil {
			return fmt.Errorf("wait for leaving response: %w", err)
		}
		if err := h.membership.MarkLeaving(ctx, endpoint, "answer"); err != nil {
			return fmt.Errorf("mark endpoint %q: %w", endpoint, err)
		}
	}
}
