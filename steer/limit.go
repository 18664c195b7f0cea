package steer

// RateLimit is the limit that an endpoint names in a response. It applies from then
// on until a response names none.
type RateLimit struct {
	IsSet bool
	// PerSecond is the number of requests a second that the endpoint accepts from
	// all hosts together. It is not negative.
	PerSecond float64
}

// applyLimit records the limit that a response names and reports whether it
// changed. Only a success shows that there is no limit any more: refusals of an
// endpoint may leave it out.
func (e *endpoint) applyLimit(outcome Outcome) bool {
	if !outcome.Limit.IsSet && outcome.Result != Answered {
		return false
	}
	hasChanged := e.limit != outcome.Limit
	e.limit = outcome.Limit
	return hasChanged
}
