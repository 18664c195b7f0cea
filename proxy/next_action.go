package proxy

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"filberthold/conns"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/steer"
)

// nextAction is what the host does with a request after an attempt.
type nextAction interface{ isNextAction() }

// deliver means that the endpoint's response is sent to the caller.
type deliver struct{}

// retry means that the request may be sent to another endpoint: it is
// idempotent or is known not to have run.
type retry struct {
	// mayHaveRun is true if the request may have run.
	mayHaveRun bool
	reason     string
}

// fail means that the request ends with an error response of this host.
type fail struct {
	status int
	reason string
}

func (deliver) isNextAction() {}
func (retry) isNextAction()   {}
func (fail) isNextAction()    {}

// attemptOutcome is how one attempt ended. Either err or response is set.
type attemptOutcome struct {
	response       *conns.Response
	responseHeader platform.ResponseHeader
	err            error
	// isEndpointGone is true if the endpoint is known to have stopped, because
	// another endpoint responded at its address.
	isEndpointGone bool
	result         steer.Result
}

// isSent reports whether a part of the request may have been sent.
func (o attemptOutcome) isSent() bool {
	var notSent *conns.NotSentError
	return !errors.As(o.err, &notSent)
}

// isConnectionRefused reports whether nobody accepts connections at the endpoint's address.
// An endpoint that is stopped still has its listener.
func (o attemptOutcome) isConnectionRefused() bool {
	return !o.isSent() && errors.Is(o.err, syscall.ECONNREFUSED)
}

// isDeliverable reports whether there is a valid response of the endpoint,
// other than a refusal, that may be sent to the caller.
func (o attemptOutcome) isDeliverable() bool {
	return o.response != nil && o.err == nil && !o.responseHeader.NotStarted && !isInvalid(o.response, o.responseHeader)
}

// discard closes a response that is not delivered.
func (o attemptOutcome) discard() {
	if o.response != nil {
		// The response is not used, so an error has no effect.
		_ = o.response.Close()
	}
}

// classify determines the result of an attempt that is reported to the
// selector.
func classify(response *conns.Response, header platform.ResponseHeader, err error, isCancelled bool) attemptOutcome {
	outcome := attemptOutcome{response: response, responseHeader: header, err: err}
	var incomplete *conns.IncompleteError
	var notSent *conns.NotSentError
	switch {
	case isCancelled && errors.As(err, &notSent):
		outcome.result = steer.Undelivered
	case isCancelled && err != nil:
		outcome.result = steer.Abandoned
	case errors.As(err, &incomplete) && incomplete.IsTimeout():
		outcome.result = steer.TimedOut
	case errors.As(err, &incomplete) && incomplete.IsSourceBroken():
		outcome.result = steer.Abandoned
	case err != nil:
		outcome.result = steer.Unreachable
	case header.IsMisdirected:
		outcome.result, outcome.isEndpointGone = steer.Undelivered, true
	case header.IsOverloaded:
		outcome.result = steer.Overloaded
	case response.Status >= http.StatusInternalServerError, isInvalid(response, header):
		outcome.result = steer.Failed
	default:
		outcome.result = steer.Answered
	}
	return outcome
}

// isInvalid reports whether a response must not reach the caller: an endpoint
// signs every success, bodies are requested without an encoding, and a refusal
// states that the request did not run.
func isInvalid(response *conns.Response, header platform.ResponseHeader) bool {
	isSuccess := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	isUnprovenRefusal := isRefusal(response.Status) && !header.NotStarted
	return (isSuccess && !header.IsSigned) || response.Header.Get("Content-Encoding") != "" || isUnprovenRefusal
}

// isRefusal reports whether callers take a status as a promise that the request
// did not run and will not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// decideNextAction decides how a request continues after an attempt. A request
// that is not idempotent is retried only if it is proven not to have run.
func decideNextAction(class model.Class, outcome attemptOutcome) nextAction {
	var notSent *conns.NotSentError
	var incomplete *conns.IncompleteError
	switch {
	case errors.As(outcome.err, &notSent):
		return retry{reason: "not sent: " + notSent.Error()}
	case errors.As(outcome.err, &incomplete) && incomplete.IsTimeout():
		return fail{status: http.StatusGatewayTimeout, reason: incomplete.Error()}
	case outcome.err != nil && class.Idempotent():
		return retry{mayHaveRun: true, reason: outcome.err.Error()}
	case outcome.err != nil:
		return fail{status: http.StatusBadGateway, reason: outcome.err.Error()}
	case outcome.responseHeader.NotStarted:
		return retry{reason: "the endpoint did not run it"}
	case isInvalid(outcome.response, outcome.responseHeader) && class.Idempotent():
		return retry{mayHaveRun: true, reason: "the response is spoiled"}
	case isInvalid(outcome.response, outcome.responseHeader):
		return fail{status: http.StatusBadGateway, reason: "the response is spoiled"}
	case outcome.result == steer.Failed && class.Idempotent() && outcome.response.Status != http.StatusGatewayTimeout:
		return retry{mayHaveRun: true, reason: "the endpoint failed"}
	}
	return deliver{}
}

// minRetryTime is the least time before the deadline at which a retry is sent.
const minRetryTime = 100 * time.Millisecond
