package gossip

import (
	"errors"
	"fmt"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/steer"

	"github.com/fxamacker/cbor/v2"
)

// datagram is one message between hosts. One of the pointers is set.
type datagram struct {
	Heartbeat *member.Heartbeat `cbor:"1,keyasint,omitempty"`
	Loads     *loadReport       `cbor:"2,keyasint,omitempty"`
	// RequestsHeartbeat is true if the receiver should send its heartbeat to the
	// sender.
	RequestsHeartbeat bool              `cbor:"3,keyasint,omitempty"`
	PermitRequest     *permitRequest    `cbor:"4,keyasint,omitempty"`
	PermitAnswer      *permitAnswer     `cbor:"5,keyasint,omitempty"`
	Beat              *member.Beat      `cbor:"6,keyasint,omitempty"`
	Suspicion         *member.Suspicion `cbor:"7,keyasint,omitempty"`
	Quota             *quotaReport      `cbor:"8,keyasint,omitempty"`
}

// loadReport holds the number of requests that a host has in flight at
// endpoints.
type loadReport struct {
	Host        model.HostName `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"6,keyasint,omitempty"`
	// IsFull is true if the host has no requests at endpoints that are missing in
	// the report. Otherwise their counts have not changed.
	IsFull bool `cbor:"2,keyasint,omitempty"`
	// Counts holds the number of requests at the endpoint with the same index in
	// Endpoints.
	Endpoints []steer.EndpointID `cbor:"3,keyasint,omitempty"`
	Counts    []byte             `cbor:"4,keyasint,omitempty"`
	// Limits holds recent changes of the limits of endpoints that the host owns.
	Limits []steer.LimitNews `cbor:"7,keyasint,omitempty"`
	// Retries holds all retries of the host that the others must take into account. A
	// report without them ends those of earlier reports.
	Retries []steer.RetryNews `cbor:"8,keyasint,omitempty"`
}

// check returns an error if the report has a property that applyLoads does not handle.
func (r loadReport) check() error {
	if len(r.Endpoints) != len(r.Counts) {
		return errors.New("endpoints and counts differ in number")
	}
	for _, news := range r.Limits {
		if err := news.Check(); err != nil {
			return fmt.Errorf("check limit: %w", err)
		}
	}
	for _, news := range r.Retries {
		if err := news.Check(); err != nil {
			return fmt.Errorf("check retries: %w", err)
		}
	}
	return nil
}

// newDatagram returns the datagram of a message of the failure detection.
func newDatagram(message member.Message) datagram {
	switch message := message.(type) {
	case member.Announcement:
		return datagram{Heartbeat: &message.Heartbeat, RequestsHeartbeat: message.RequestsAnswer}
	case member.Beat:
		return datagram{Beat: &message}
	case member.Suspicion:
		return datagram{Suspicion: &message}
	}
	return datagram{}
}

// memberMessages returns the messages of the failure detection in a datagram.
func (d datagram) memberMessages() []member.Message {
	var messages []member.Message
	if d.Heartbeat != nil {
		messages = append(messages, member.Announcement{Heartbeat: *d.Heartbeat, RequestsAnswer: d.RequestsHeartbeat})
	}
	if d.Beat != nil {
		messages = append(messages, *d.Beat)
	}
	if d.Suspicion != nil {
		messages = append(messages, *d.Suspicion)
	}
	return messages
}

func isInterval(interval time.Duration) bool { return interval >= 0 && interval <= maxInterval }

// decode decodes a message and checks the properties that handle relies on.
func decode(content []byte) (datagram, error) {
	var message datagram
	if err := cbor.Unmarshal(content, &message); err != nil {
		return datagram{}, fmt.Errorf("decode message: %w", err)
	}
	if message.Heartbeat != nil && (message.Heartbeat.Host == "" || !message.Heartbeat.IP.IsValid()) {
		return datagram{}, errors.New("decode heartbeat: host or address is missing")
	}
	if message.Heartbeat != nil && !isInterval(message.Heartbeat.Interval) {
		return datagram{}, errors.New("decode heartbeat: interval is out of range")
	}
	if message.Beat != nil && (message.Beat.Host == "" || !isInterval(message.Beat.Interval)) {
		return datagram{}, errors.New("decode beat: host is missing or interval is out of range")
	}
	if message.Suspicion != nil && message.Suspicion.From == "" {
		return datagram{}, errors.New("decode suspicion: sender is missing")
	}
	if message.Loads != nil {
		if err := message.Loads.check(); err != nil {
			return datagram{}, fmt.Errorf("decode load report: %w", err)
		}
	}
	if message.Quota != nil {
		if err := message.Quota.check(message.Loads); err != nil {
			return datagram{}, fmt.Errorf("decode quota report: %w", err)
		}
	}
	if message.PermitRequest != nil {
		if err := message.PermitRequest.News.Check(); err != nil {
			return datagram{}, fmt.Errorf("decode permit request: %w", err)
		}
	}
	if message.PermitAnswer != nil {
		if err := message.PermitAnswer.Permit.Check(); err != nil {
			return datagram{}, fmt.Errorf("decode permit: %w", err)
		}
	}
	return message, nil
}
