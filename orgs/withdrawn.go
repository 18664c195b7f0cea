package orgs

import (
	"crypto/sha256"

	"filberthold/model"
	"filberthold/route"
)

// maxWithdrawn bounds the withdrawn keys that a host remembers for its log.
const maxWithdrawn = 1024

// Withdrawal tells which version of the configuration withdrew a key.
type Withdrawal struct {
	Organisation model.OrganisationName
	Version      uint64
}

// KeyHash is the hash of a key, which is remembered in its place.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Withdrawals remembers the latest withdrawn keys, by their hashes. It is not safe for
// concurrent use.
type Withdrawals struct {
	byKey map[KeyHash]Withdrawal
	// order holds the hashes, the oldest first.
	order []KeyHash
}

// Record records the keys that a newer configuration withdraws. before may be nil.
func (w *Withdrawals) Record(before, after *route.Config) {
	if before == nil {
		return
	}
	for _, organisation := range before.Organisations() {
		for _, key := range organisation.Keys {
			if _, isKept := after.OrganisationOfKey(key); !isKept {
				w.add(HashKey(key), Withdrawal{Organisation: organisation.Name, Version: after.Version()})
			}
		}
	}
}

func (w *Withdrawals) add(hash KeyHash, withdrawal Withdrawal) {
	if w.byKey == nil {
		w.byKey = make(map[KeyHash]Withdrawal)
	}
	if _, exists := w.byKey[hash]; !exists {
		w.order = append(w.order, hash)
	}
	w.byKey[hash] = withdrawal
	if len(w.order) > maxWithdrawn {
		delete(w.byKey, w.order[0])
		w.order = w.order[1:]
	}
}

// Find returns the withdrawal of a key that the configuration in force does not have.
func (w *Withdrawals) Find(hash KeyHash) (Withdrawal, bool) {
	withdrawal, exists := w.byKey[hash]
	return withdrawal, exists
}
