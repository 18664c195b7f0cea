package member

import (
	"net/netip"
	"time"

	"filberthold/model"
)

// Message is a message of failure detection between hosts: an Announcement, a Beat or a
// Suspicion.
type Message interface{ isMessage() }

// Announcement tells the state of the sender.
type Announcement struct {
	Heartbeat Heartbeat
	// RequestsAnswer is true if the receiver should announce itself to the sender.
	RequestsAnswer bool
}

// Beat shows a monitor that the sender is alive. The monitor knows its state from an
// Announcement.
type Beat struct {
	Host        model.HostName `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint"`
	// Interval is the time until the next Beat. It is 0 in the last one: the receiver is
	// no monitor any more.
	Interval time.Duration `cbor:"3,keyasint,omitempty"`
	// IsMonitored is that of the sender's Heartbeat.
	IsMonitored bool `cbor:"4,keyasint,omitempty"`
}

// Suspicion tells that hosts are silent which the sender monitors.
type Suspicion struct {
	From  model.HostName `cbor:"1,keyasint"`
	Hosts []Run          `cbor:"2,keyasint"`
}

// Run is one incarnation of a host.
type Run struct {
	Host        model.HostName `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint"`
}

func (Announcement) isMessage() {}
func (Beat) isMessage()         {}
func (Suspicion) isMessage()    {}

// Send is a message with the addresses to which it must be sent.
type Send struct {
	To      []netip.Addr
	Message Message
}

// Changes are the hosts of which a Detector changed its belief.
type Changes struct {
	// Silent are the hosts from which no message came in time.
	Silent []model.HostName
	// Reported are the hosts that their monitors reported gone.
	Reported []model.HostName
	// Returned are the hosts that were gone and sent a message.
	Returned []model.HostName
}

// IsEmpty reports whether no belief changed.
func (c Changes) IsEmpty() bool {
	return len(c.Silent) == 0 && len(c.Reported) == 0 && len(c.Returned) == 0
}
