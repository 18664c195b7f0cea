package soak

import (
	"math/rand/v2"
	"slices"

	"filberthold/platform/fake"
)

// misbehaviour is how an endpoint responds while it has a fault.
type misbehaviour struct {
	// behaviours apply to the requests in turn.
	behaviours []fake.Behaviour
	refusal    fake.Refusal
	isEarly    bool
}

// earlyRatio is the share of faulty endpoints that respond before they read the body.
const earlyRatio = 0.25

// misdirected is the status which by itself states that the request did not run, so that
// no endpoint sends it after it has run one.
const misdirected = "421 Misdirected Request"

// drawMisbehaviour draws a behaviour for all requests or for each second one: a response that
// is repeated late comes before one that is valid.
func drawMisbehaviour(random *rand.Rand) misbehaviour {
	kinds := []fake.Behaviour{
		fake.Shed, fake.Reset, fake.Truncate, fake.WrongResponseFirst, fake.Unsigned, fake.Fail, fake.UnsignedEndless,
		fake.Refuse, fake.Refuse, fake.Refuse, fake.RunAndRefuse, fake.LoseAnswer,
	}
	statuses := []string{"503 Service Unavailable", "503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", misdirected}
	copies := []fake.CopyTime{fake.NoCopy, fake.CopyAtOnce, fake.CopyLate, fake.CopyLate}
	kind := kinds[random.IntN(len(kinds))]
	if kind == fake.RunAndRefuse {
		statuses = slices.DeleteFunc(statuses, func(status string) bool { return status == misdirected })
	}
	next := misbehaviour{
		behaviours: []fake.Behaviour{kind},
		refusal: fake.Refusal{
			Status:      statuses[random.IntN(len(statuses))],
			Copy:        copies[random.IntN(len(copies))],
			CopyHasNoID: random.IntN(2) == 0,
		},
		isEarly: random.Float64() < earlyRatio,
	}
	if random.IntN(2) == 0 {
		next.behaviours = append(next.behaviours, fake.Serve)
	}
	return next
}

// apply sets the responses of an endpoint.
func (m misbehaviour) apply(endpoint *fake.Endpoint) {
	endpoint.SetRefusal(m.refusal)
	endpoint.SetBehaviours(m.behaviours...)
	endpoint.SetEarly(m.isEarly)
}
