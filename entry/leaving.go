package entry

import (
	"context"
	"fmt"

	"filberthold/model"
	"filberthold/place"
	"filberthold/ring"
)

// leavingCapacity bounds the leaving answers that wait to be spread. One that
// finds no room is dropped; the next answer of the endpoint repeats it.
const leavingCapacity = 64

// leavingAnswers finds the endpoints whose answers say that they are leaving.
// Events name only the attempt. It is used by the dispatcher's goroutine.
type leavingAnswers struct {
	sent  map[place.AttemptID]model.EndpointName
	found *ring.Ring[model.EndpointName]
}

func newLeavingAnswers() leavingAnswers {
	return leavingAnswers{sent: make(map[place.AttemptID]model.EndpointName), found: ring.New[model.EndpointName](leavingCapacity)}
}

// observe follows attempts from the decision to send to the end.
func (l *leavingAnswers) observe(event place.Event, decisions []place.Decision) {
	if finished, isFinished := event.(place.Finished); isFinished {
		if endpoint, exists := l.sent[finished.Attempt]; exists && finished.Leaving {
			l.found.TryPut(endpoint)
		}
		delete(l.sent, finished.Attempt)
	}
	for _, decision := range decisions {
		if send, isSend := decision.(place.Send); isSend {
			l.sent[send.Attempt] = send.Endpoint
		}
	}
}

// loopLeavingAnswers marks the endpoints that said that they are leaving.
func (h *Host) loopLeavingAnswers(ctx context.Context) error {
	for {
		endpoint, err := h.dispatcher.leaving.found.Get(ctx)
		if err != nil {
			return fmt.Errorf("wait for leaving answer: %w", err)
		}
		if err := h.membership.MarkLeaving(ctx, endpoint, "answer"); err != nil {
			return fmt.Errorf("mark endpoint %q: %w", endpoint, err)
		}
	}
}
