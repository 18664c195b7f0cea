package steer

import (
	"errors"
	"math"

	"filberthold/model"
)

// RetryNews tells other hosts how many retries to a service this host has sent that may still
// arrive, if they exceed its part of the slack of the retry limit.
type RetryNews struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	// Excess is the number of these retries beyond the host's part of the slack.
	Excess int `cbor:"2,keyasint"`
	// Earned is the number of them that the host's recent requests allow, at most Excess.
	Earned int `cbor:"3,keyasint,omitempty"`
}

// Check returns an error if the fields are out of range.
func (n RetryNews) Check() error {
	switch {
	case n.Service == "":
		return errors.New("service is missing")
	case n.Excess < 0 || n.Excess > math.MaxInt32:
		return errors.New("excess is out of range")
	case n.Earned < 0 || n.Earned > n.Excess:
		return errors.New("earned retries are out of range")
	}
	return nil
}
