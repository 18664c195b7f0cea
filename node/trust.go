package node

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"filberthold/model"
	"filberthold/orgs"
	"filberthold/platform"
	"filberthold/relay"
)

const (
	// renewFraction is the fraction of the revoke time after which a proof is too old: the
	// host then polls others and reads the store itself. Proofs are 2 s old at most while
	// reader and store answer, and a host needs about 1 s to replace a source.
	renewFraction = 0.5
	// noInstant is the reading of a clock that cannot be read. No lease is valid then.
	noInstant = orgs.Instant(math.MaxInt64 / 2)
)

// keyTrust is the trust of a host in the keys of its configuration, where their withdrawal
// is strict. A nil keyTrust always trusts them. It keeps nothing over a restart. It is safe
// for concurrent use.
type keyTrust struct {
	log *slog.Logger
	// clock counts the time during which the host is suspended.
	clock func() orgs.Instant
	// renewAge is the age from which a proof is too old.
	renewAge time.Duration

	mu    sync.Mutex
	lease orgs.Lease
	// source is the origin of the last proof: the store or another host.
	source string
	// isLogged is the trust that was last logged.
	isLogged bool
}

// newKeyTrust returns a trust without a proof, or nil if the settings do not require proofs.
func newKeyTrust(log *slog.Logger, settings platform.Settings, clock func() orgs.Instant) *keyTrust {
	if !settings.IsRevocationStrict {
		return nil
	}
	return &keyTrust{
		log: log, clock: clock, lease: orgs.NewLease(settings.RevokeTime),
		renewAge: time.Duration(renewFraction * float64(settings.RevokeTime)),
	}
}

// Now implements relay.Prover. It returns 0 if no proofs are needed.
func (t *keyTrust) Now() orgs.Instant {
	if t == nil {
		return 0
	}
	return t.clock()
}

// isTrusted reports whether the keys of the configuration in force may be used.
func (t *keyTrust) isTrusted() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observe()
}

// observe logs a change of the trust and returns it. t.mu is held.
func (t *keyTrust) observe() bool {
	now := t.clock()
	isTrusted := t.lease.IsValid(now)
	if isTrusted == t.isLogged {
		return isTrusted
	}
	t.isLogged = isTrusted
	age, _ := t.lease.Age(now)
	if isTrusted {
		t.log.Info("trust in keys gained", "proofAge", age, "proofSource", t.source)
	} else {
		t.log.Warn("trust in keys lost", "proofAge", age, "proofSource", t.source)
	}
	return isTrusted
}

// prove renews the trust by a proof from a source. inForce is the version of the
// configuration in force.
func (t *keyTrust) prove(proof orgs.Proof, inForce uint64, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A loss before the proof is logged first.
	t.observe()
	if now := t.clock(); now != noInstant && t.lease.Prove(proof, inForce, now) {
		t.source = source
		t.observe()
	}
}

// proof returns the last proof, or false if there is none.
func (t *keyTrust) proof() (orgs.Proof, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Proof()
}

// age returns the time since the last proof, or false if there is none.
func (t *keyTrust) age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Age(t.clock())
}

// isOld reports whether the last proof is so old that another source is needed.
func (t *keyTrust) isOld() bool {
	if t == nil {
		return false
	}
	age, hasProof := t.age()
	return !hasProof || age > t.renewAge
}

// timed returns a poll that notes when it was sent.
func (t *keyTrust) timed(poll pollFunc) pollFunc {
	return func(ctx context.Context, address string, operatorAfter, endpointsAfter platform.Version, watched ...string) (relay.Update, error) {
		sentAt := t.Now()
		update, err := poll(ctx, address, operatorAfter, endpointsAfter, watched...)
		update.SentAt = sentAt
		return update, err
	}
}

// needsKeys reports whether the configuration in force has organisations.
func (r *storeReplica) needsKeys() bool {
	config := r.core.Config()
	return config != nil && config.HasOrganisations()
}

// lacksTrust reports whether the host refuses requests that need a key because it does not
// trust the keys that it knows.
func (r *storeReplica) lacksTrust() bool { return r.needsKeys() && !r.trust.isTrusted() }

// needsProof reports whether the last proof is so old that another source is needed, and
// one can help: a configuration that cannot be decoded is never proven.
func (r *storeReplica) needsProof() bool {
	if !r.trust.isOld() || !r.needsKeys() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configRow.IsProvable() || !r.configRow.IsGenuine()
}

// needsConfigRow reports whether the value of the configuration's row in the store is not
// known, so that an answer of the store without changes proves nothing.
func (r *storeReplica) needsConfigRow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trust != nil && (!r.configRow.IsGenuine() || r.configRow.IsMissed())
}

// missConfigRow records that rows which are applied next may lack the newest one of the
// configuration. Other hosts must not get the version of these rows without that.
func (r *storeReplica) missConfigRow(isMissed bool) {
	if !isMissed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configRow = r.configRow.Missed()
}

// noteConfigRow records a row of the configuration that was applied. isInForce tells whether
// the configuration in force is that of the row or a newer one. r.mu is held.
func (r *storeReplica) noteConfigRow(version platform.Version, isInForce bool, source string) {
	if source == storeSource {
		r.configRow = r.configRow.FromStore(version, isInForce)
		return
	}
	r.configRow = r.configRow.FromHost(version)
}

// proveByStore renews the trust after the rows of a call to the store were applied that
// began at a time. The store is linearizable: its answer contains all changes that were
// acknowledged before the call, but maybe none during the call. isWhole tells whether the
// rows are the whole table.
func (r *storeReplica) proveByStore(rows platform.Rows, calledAt orgs.Instant, isWhole bool) {
	if r.trust == nil || rows.IsPartial {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The next answer of the store has the changes after the version of the replica.
	if isWhole && rows.Version.Compare(r.operator.Version()) >= 0 {
		r.configRow = r.configRow.ReadWhole()
	}
	if config := r.core.Config(); config != nil && r.configRow.IsProvable() {
		r.trust.prove(orgs.Proof{At: calledAt, Config: config.Version()}, config.Version(), storeSource)
	}
}

// proveByHost renews the trust by the proof of another host after its rows were applied.
func (r *storeReplica) proveByHost(update relay.Update, source model.HostName) {
	if r.trust == nil || update.Proof == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	config := r.core.Config()
	proof, isInRange := update.Proof.Proof(update.SentAt)
	if config == nil || !isInRange || config.Version() < proof.Config {
		return
	}
	// The rows of a host that has missed none replace those that this one missed.
	if !update.IsConfigMissed && update.Operator.Version.Compare(r.operator.Version()) >= 0 {
		r.configRow = r.configRow.ReadWhole()
	}
	r.configRow = r.configRow.Vouched(update.Proof.Row)
	r.trust.prove(proof, config.Version(), string(source))
}

// Now implements relay.Prover.
func (r *storeReplica) Now() orgs.Instant { return r.trust.Now() }

// Relay implements relay.Prover.
func (r *storeReplica) Relay(arrivedAt orgs.Instant) (told *relay.ConfigProof, isRowMissed bool) {
	if r.trust == nil {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	isRowMissed = r.configRow.IsMissed()
	proof, hasProof := r.trust.proof()
	if !hasProof {
		return nil, isRowMissed
	}
	relayed := &relay.ConfigProof{RelayedProof: proof.Relay(arrivedAt)}
	if config := r.core.Config(); config.Version() == proof.Config && r.configRow.IsProvable() {
		relayed.Row = r.configRow.Version()
	}
	return relayed, isRowMissed
}
