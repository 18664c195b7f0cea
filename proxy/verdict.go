package proxy

import (
	"errors"
	"net/http"
	"time"

	"filberthold/conns"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/steer"
)

// verdict is what becomes of a request after it was at an endpoint.
type verdict interface{ isVerdict() }

// deliver means that the endpoint's response goes to the caller.
type deliver struct{}

// tryAgain means that the request may go to another endpoint: it is idempotent
// or is known not to have run.
type tryAgain struct {
	// hasRun is true if the request may have run.
	hasRun bool
	reason string
}

// giveUp means that the request ends without a response of an endpoint.
type giveUp struct {
	status int
	reason string
}

func (deliver) isVerdict()  {}
func (tryAgain) isVerdict() {}
func (giveUp) isVerdict()   {}

// attempted is the result of one attempt.
type attempted struct {
	reply  *conns.Response
	answer platform.ResponseHeader
	err    error
	// isGone is true if the endpoint is known to have ended.
	isGone bool
	result steer.Result
}

// isWhole reports whether there is a response of the endpoint's own that may
// be passed on.
func (m attempted) isWhole() bool {
	return m.reply != nil && m.err == nil && !m.answer.NotStarted && !isSpoiled(m.reply, m.answer)
}

// close gives up the rest of a long response that is not passed on.
func (m attempted) close() {
	if m.reply != nil && m.reply.Rest != nil {
		// Nothing of the response is used any more.
		_ = m.reply.Rest.Close()
	}
}

// classify names the result of an attempt for the steering.
func classify(reply *conns.Response, answer platform.ResponseHeader, err error, hasCallerLeft bool) attempted {
	made := attempted{reply: reply, answer: answer, err: err}
	var broken *conns.IncompleteError
	switch {
	case hasCallerLeft:
		made.result = steer.Abandoned
	case errors.As(err, &broken) && broken.IsTimeout():
		made.result = steer.Silent
	case err != nil:
		made.result = steer.Unreachable
	case answer.IsMisdirected:
		made.result, made.isGone = steer.Abandoned, true
	case answer.IsOverloaded:
		made.result = steer.Overloaded
	case reply.Status >= http.StatusInternalServerError, isSpoiled(reply, answer):
		made.result = steer.Failed
	default:
		made.result = steer.Answered
	}
	return made
}

// isSpoiled reports whether a response cannot be the endpoint's own: success
// is always signed, and bodies are asked for without an encoding.
func isSpoiled(reply *conns.Response, answer platform.ResponseHeader) bool {
	isSuccess := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	return (isSuccess && !answer.IsSigned) || reply.Header.Get("Content-Encoding") != ""
}

// judge decides what becomes of a request after an attempt. A request that is
// not idempotent goes out again only on proof that it did not run.
func judge(class model.Class, made attempted) verdict {
	var notSent *conns.NotSentError
	var broken *conns.IncompleteError
	switch {
	case errors.As(made.err, &notSent):
		return tryAgain{reason: "not sent: " + notSent.Error()}
	case errors.As(made.err, &broken) && broken.IsTimeout():
		return giveUp{status: http.StatusGatewayTimeout, reason: broken.Error()}
	case made.err != nil && class.Idempotent():
		return tryAgain{hasRun: true, reason: made.err.Error()}
	case made.err != nil:
		return giveUp{status: http.StatusBadGateway, reason: made.err.Error()}
	case made.answer.NotStarted:
		return tryAgain{reason: "the endpoint did not run it"}
	case isSpoiled(made.reply, made.answer) && class.Idempotent():
		return tryAgain{hasRun: true, reason: "the response is spoiled"}
	case isSpoiled(made.reply, made.answer):
		return giveUp{status: http.StatusBadGateway, reason: "the response is spoiled"}
	case made.result == steer.Failed && class.Idempotent() && made.reply.Status != http.StatusGatewayTimeout:
		return tryAgain{hasRun: true, reason: "the endpoint failed"}
	}
	return deliver{}
}

// leastRetryTime is the time that must be left for a retry to be worth it.
const leastRetryTime = 100 * time.Millisecond
