package soak

import "fmt"

// withdrawnKeyViolation returns what is wrong with a request that was sent too long after
// its key was withdrawn, or nothing. No fault excuses a host.
func (o *organisations) withdrawnKeyViolation(arrived keyedArrival) string {
	if o.isBeyondWithdrawal(arrived.keyedRequest) {
		return fmt.Sprintf("ran with the key %s, withdrawn more than %s before it was sent", arrived.key, revokeTime)
	}
	return ""
}

// isBeyondWithdrawal reports whether a request was sent later than revokeTime after the
// version without its key was acknowledged.
func (o *organisations) isBeyondWithdrawal(request keyedRequest) bool {
	for _, rotating := range o.keys {
		if rotating.key == request.key && !rotating.withdrawnAt.IsZero() {
			return request.sentAt.After(rotating.withdrawnAt.Add(revokeTime))
		}
	}
	return false
}
