package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"filberthold/hashes"
)

// contact is an address at which there may be a host.
type contact struct {
	expiresAt time.Time
	// contactedAt is when an announcement was last sent to it, or zero.
	contactedAt time.Time
}

// AddAddresses adds addresses at which there may be hosts. An address that is
// already in the table keeps its expiry.
func (t *Table) AddAddresses(addresses []netip.Addr, now time.Time) {
	for _, address := range addresses {
		if _, exists := t.addresses[address]; !exists {
			t.addresses[address] = &contact{expiresAt: now.Add(addressExpiry)}
		}
	}
}

func (t *Table) extendAddress(address netip.Addr, until time.Time) {
	known := t.addresses[address]
	if known == nil {
		known = &contact{}
		t.addresses[address] = known
	}
	if until.After(known.expiresAt) {
		known.expiresAt = until
	}
}

// Addresses returns the addresses of the hosts that are alive and of those that may be,
// and removes the expired ones.
func (t *Table) Addresses(now time.Time) []netip.Addr {
	addresses := slices.Collect(maps.Keys(t.unexpired(now)))
	for _, host := range t.sorted {
		if host.isAlive(now) && t.addresses[host.heartbeat.IP] == nil {
			addresses = append(addresses, host.heartbeat.IP)
		}
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses
}

func (t *Table) unexpired(now time.Time) map[netip.Addr]*contact {
	maps.DeleteFunc(t.addresses, func(_ netip.Addr, known *contact) bool { return now.After(known.expiresAt) })
	return t.addresses
}

// addContact adds an address that must be contacted, also if it was before.
func (t *Table) addContact(address netip.Addr, now time.Time) {
	t.extendAddress(address, now.Add(addressExpiry))
	t.addresses[address].contactedAt = time.Time{}
}

// contacts returns the addresses from which no host that is alive was heard.
func (t *Table) contacts(now time.Time) map[netip.Addr]*contact {
	unheard := maps.Clone(t.unexpired(now))
	for _, host := range t.sorted {
		if host.isAlive(now) && host.askedUntil.IsZero() {
			delete(unheard, host.heartbeat.IP)
		}
	}
	return unheard
}

// newContacts returns the addresses to which no announcement was sent yet.
func (t *Table) newContacts(now time.Time) []netip.Addr {
	var addresses []netip.Addr
	for address, known := range t.contacts(now) {
		if known.contactedAt.IsZero() {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses
}

// oldestContacts returns the addresses that were contacted the longest time ago, up to
// a number.
func (t *Table) oldestContacts(now time.Time, limit int) []netip.Addr {
	contacts := t.contacts(now)
	addresses := slices.SortedFunc(maps.Keys(contacts), func(a, b netip.Addr) int {
		if order := contacts[a].contactedAt.Compare(contacts[b].contactedAt); order != 0 {
			return order
		}
		return a.Compare(b)
	})
	return addresses[:min(limit, len(addresses))]
}

// unexpected returns a host that is alive and from which no message is expected, or nil.
// The choice is different in each turn and at each host.
func (t *Table) unexpected(turn uint64, now time.Time) *record {
	var chosen *record
	lowest := uint64(0)
	seed := hashes.Mix(hashes.Sum(string(t.self)) ^ hashes.Mix(turn+1))
	for _, host := range t.sorted {
		if !host.silentAt.IsZero() || !host.askedUntil.IsZero() || !host.isAlive(now) {
			continue
		}
		if weight := hashes.Mix(seed ^ host.hash); chosen == nil || weight < lowest {
			chosen, lowest = host, weight
		}
	}
	return chosen
}
