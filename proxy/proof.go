package proxy

import (
	"errors"

	"filberthold/conns"
)

// refusalProof is why an attempt is known not to have run, so that its request may be
// refused or sent to another endpoint.
type refusalProof string

const (
	// noProof belongs to an attempt that may have run.
	noProof refusalProof = ""
	// notSent means that no byte of the request was written.
	notSent refusalProof = "not sent"
	// statedWithID means that the endpoint said so in a response with the attempt id of
	// the request.
	statedWithID refusalProof = "stated with id"
	// statedWithoutID means that the endpoint said so in a response without an attempt id.
	statedWithoutID refusalProof = "stated without id"
)

// proof returns why the attempt is known not to have run.
func (o attemptOutcome) proof() refusalProof {
	var unsent *conns.NotSentError
	switch {
	case errors.As(o.err, &unsent):
		return notSent
	case o.err != nil || !o.responseHeader.NotStarted:
		return noProof
	case o.responseHeader.AttemptID == "":
		return statedWithoutID
	}
	return statedWithID
}
