package orgs

import "time"

const (
	// rateMargin is the fraction by which the clocks of two hosts may differ in rate. NTP
	// changes the rate of a clock by up to 0.05%.
	rateMargin = 0.001
	// maxLead bounds the difference that another host may tell. Leases are shorter.
	maxLead = time.Hour
)

// Instant is a reading of a host's clock that also counts the time during which the host is
// suspended. Readings of different hosts cannot be compared.
type Instant time.Duration

// Add returns the instant after a duration.
func (i Instant) Add(duration time.Duration) Instant { return i + Instant(duration) }

// Sub returns the duration since another instant.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Proof states that no configuration newer than Config was acknowledged by the store before
// At.
type Proof struct {
	At     Instant
	Config uint64
}

// RelayedProof is the proof of another host in its answer to a poll. No synchronised clocks
// are needed, and delays only make the proof older.
type RelayedProof struct {
	Config uint64 `cbor:"config"`
	// Lead is how much later the proof is than the arrival of the poll at the other host.
	// It is negative if the proof is earlier.
	Lead time.Duration `cbor:"lead"`
}

// Relay returns the proof as it is told to a host whose poll has arrived.
func (p Proof) Relay(arrivedAt Instant) RelayedProof {
	return RelayedProof{Config: p.Config, Lead: p.At.Sub(arrivedAt)}
}

// Proof returns the proof by the clock of the host that sent the poll. It returns false if
// the lead is out of range.
func (r RelayedProof) Proof(sentAt Instant) (Proof, bool) {
	if r.Lead < -maxLead || r.Lead > maxLead {
		return Proof{}, false
	}
	// The other host's clock may be faster or slower than this one.
	margin := time.Duration(rateMargin * float64(r.Lead.Abs()))
	return Proof{At: sentAt.Add(r.Lead - margin - 1), Config: r.Config}, true
}

// Lease is the trust of a host in the keys of its configuration. It ends at a time after
// the last proof: a key that was withdrawn after the proof may be accepted until then. The
// zero value is a lease that has no proof and needs one. It is not safe for concurrent use.
type Lease struct {
	// duration is the time for which a proof counts.
	duration time.Duration
	proof    Proof
	hasProof bool
}

// NewLease returns a lease without a proof, of a host that must not accept a key later than
// revokeTime after its withdrawal.
func NewLease(revokeTime time.Duration) Lease {
	return Lease{duration: revokeTime - time.Duration(rateMargin*float64(revokeTime))}
}

// Prove renews the lease by a proof, if it is later than the last one and the configuration
// in force is at least as new as the one that it confirms. It reports whether it did. A
// proof later than now is an error of the clock or of the host that told it.
func (l *Lease) Prove(proof Proof, inForce uint64, now Instant) bool {
	if proof.At > now || inForce < proof.Config || l.hasProof && proof.At <= l.proof.At {
		return false
	}
	l.proof, l.hasProof = proof, true
	return true
}

// IsValid reports whether the keys of the configuration in force may be used. The
// configuration must be read after that.
func (l *Lease) IsValid(now Instant) bool {
	return l.hasProof && now < l.proof.At.Add(l.duration)
}

// Proof returns the last proof, or false if there is none.
func (l *Lease) Proof() (Proof, bool) { return l.proof, l.hasProof }

// Age returns the time since the last proof, or false if there is none.
func (l *Lease) Age(now Instant) (time.Duration, bool) {
	return now.Sub(l.proof.At), l.hasProof
}
