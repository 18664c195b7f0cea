package steer

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against retries that pile up at endpoints which have stopped, over a longer time
// than a window of the retry limit, and all arrive when the endpoints continue.
func TestNoRetriesPileUpAtSilentEndpoints(t *testing.T) {
	const (
		endpoints, failing = 12, 4
		answerTime         = 20 * time.Millisecond
		timeout            = 1500 * time.Millisecond
		interval           = 50 * time.Millisecond
		stopTime           = time.Minute
	)
	f := newFixture(0)
	isFailing := make(map[model.EndpointName]bool)
	for i := range endpoints {
		name := fmt.Sprint("e-", i)
		f.add(name, "za", 0)
		isFailing[model.EndpointName(name)] = i < failing
	}
	selector := f.selector("h")
	// The requests that were sent to stopped endpoints.
	var sent []Send
	var sentAt []time.Time
	held := 0
	for at := start(); at.Before(start().Add(stopTime)); at = at.Add(interval) {
		for len(sentAt) > 0 && !at.Before(sentAt[0].Add(timeout)) {
			selector.Done(Outcome{Endpoint: sent[0].Endpoint.Name, Result: TimedOut, Elapsed: timeout}, at)
			sent, sentAt = sent[1:], sentAt[1:]
		}
		request := query(fmt.Sprint(at.UnixMilli() / interval.Milliseconds() % 40))
		for range 2 {
			send, isSend := selector.Choose(request, at).(Send)
			if !isSend {
				break
			}
			name := send.Endpoint.Name
			if !isFailing[name] {
				sent, sentAt = append(sent, send), append(sentAt, at)
				if len(request.Tried) > 0 && at.After(start().Add(2*timeout)) {
					held++
				}
				break
			}
			selector.Done(Outcome{Endpoint: name, Result: Failed, Elapsed: answerTime}, at)
			request.Tried = append(request.Tried, name)
		}
	}
	assert.Equal(t, held, 0, "retries sent to stopped endpoints")
	for _, send := range sent {
		selector.Done(Outcome{Endpoint: send.Endpoint.Name, Result: TimedOut, Elapsed: timeout}, start().Add(stopTime+timeout))
	}
	// An answer shows that the endpoint runs again.
	retry := query("1")
	retry.Route.HasAffinity = false
	retry.Tried = []model.EndpointName{"e-0", "e-1", "e-2", "e-3"}
	_, isReject := selector.Choose(retry, start().Add(stopTime+timeout)).(Reject)
	assert.Assert(t, isReject)
	for i := failing; i < endpoints; i++ {
		selector.Done(Outcome{Endpoint: model.EndpointName(fmt.Sprint("e-", i)), Result: Answered, Elapsed: answerTime}, start().Add(stopTime+timeout))
	}
	requireSend(t, selector.Choose(retry, start().Add(stopTime+timeout)))
}
