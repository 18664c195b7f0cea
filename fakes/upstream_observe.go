package fakes

import "time"

// LastArrival returns the time at which the last request arrived, started or
// not, or the zero time.
func (u *Upstream) LastArrival() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastArrival
}

func (u *Upstream) recordArrival() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastArrival = time.Now()
}
