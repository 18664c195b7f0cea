// Package subnet reserves loopback subnets, so that processes which run side by side on
// one machine do not reach each other's hosts.
package subnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

const (
	// lockHost and lockPort are where the owner of a subnet listens. The port is none of a
	// host's and outside the range from which the system selects ports.
	lockHost = 254
	lockPort = 18699
	// firstNet and lastNet bound the second part of the subnets that ReserveAny selects from.
	firstNet, lastNet = 230, 253
	// maxTries bounds the subnets that ReserveAny tries.
	maxTries = 100
)

// Subnet is a reserved loopback subnet with 253 addresses.
type Subnet struct {
	// prefix is the first three parts of the addresses, as in "127.0.9".
	prefix string
	// lock is held by the owner. The system releases it if the process ends.
	lock net.Listener
}

// Reserve reserves the subnet with a prefix, as in "127.0.9". It returns an error if
// the prefix is no loopback subnet, or if the subnet is reserved already.
func Reserve(prefix string) (*Subnet, error) {
	address, err := netip.ParseAddr(fmt.Sprintf("%s.%d", prefix, lockHost))
	if err != nil || !address.Is4() || !address.IsLoopback() {
		return nil, fmt.Errorf("reserve subnet: %q is not the first three parts of a loopback address", prefix)
	}
	lock, err := net.Listen("tcp", netip.AddrPortFrom(address, lockPort).String())
	if err != nil {
		return nil, fmt.Errorf("reserve subnet %s: %w", prefix, err)
	}
	return &Subnet{prefix: prefix, lock: lock}, nil
}

// ReserveAny reserves a subnet that is free.
func ReserveAny() (*Subnet, error) {
	var errs []error
	for range maxTries {
		subnet, err := Reserve(fmt.Sprintf("127.%d.%d", firstNet+rand.IntN(lastNet-firstNet+1), rand.IntN(256)))
		if err == nil {
			return subnet, nil
		}
		errs = append(errs, err)
	}
	return nil, fmt.Errorf("no free subnet: %w", errors.Join(errs...))
}

// Address returns an address of the subnet. The number is its last part: 1 to 253.
func (s *Subnet) Address(number int) string { return fmt.Sprintf("%s.%d", s.prefix, number) }

// Release lets others reserve the subnet.
func (s *Subnet) Release() error {
	if err := s.lock.Close(); err != nil {
		return fmt.Errorf("release subnet %s: %w", s.prefix, err)
	}
	return nil
}
