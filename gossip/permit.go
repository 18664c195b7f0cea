package gossip

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"filberthold/model"
	"filberthold/steer"
)

// maxPermitWait is how long a host waits for the answer to a permit request. It
// covers a round trip between regions.
const maxPermitWait = 250 * time.Millisecond

// errUnknownHost is returned for a host that is not alive.
var errUnknownHost = errors.New("the host is not alive")

// permitRequest asks the receiver for a permit to send one request to a limited
// endpoint.
type permitRequest struct {
	// ID is repeated in the answer. It is 0 if the sender needs no permit and only
	// tells what it knows of the limit.
	ID   uint64          `cbor:"1,keyasint,omitempty"`
	News steer.LimitNews `cbor:"2,keyasint"`
}

// permitAnswer is the answer to the permitRequest with the same ID.
type permitAnswer struct {
	ID     uint64       `cbor:"1,keyasint"`
	Permit steer.Permit `cbor:"2,keyasint"`
}

// AskPermit asks the owner of an endpoint for a permit and waits for the answer, at
// most for maxPermitWait.
func (t *Transport) AskPermit(ctx context.Context, request steer.PermitRequest) (steer.Permit, error) {
	address, err := t.addressOf(request.Owner)
	if err != nil {
		return steer.Permit{}, fmt.Errorf("ask for permit: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, maxPermitWait)
	defer cancel()
	answer := make(chan steer.Permit, 1)
	id := t.addPending(answer)
	defer t.removePending(id)
	t.sendTo([]netip.Addr{address}, datagram{PermitRequest: &permitRequest{ID: id, News: request.News}})
	select {
	case permit := <-answer:
		return permit, nil
	case <-ctx.Done():
		return steer.Permit{}, fmt.Errorf("ask for permit: %w", ctx.Err())
	}
}

// SendLimitNews tells the owner of an endpoint what this host knows of its limit.
// The message may be lost.
func (t *Transport) SendLimitNews(owner model.HostName, news steer.LimitNews) {
	address, err := t.addressOf(owner)
	if err != nil {
		// Another host becomes the owner, which learns the limit from requests.
		return
	}
	t.sendTo([]netip.Addr{address}, datagram{PermitRequest: &permitRequest{News: news}})
}

func (t *Transport) addressOf(name model.HostName) (netip.Addr, error) {
	for _, host := range t.Alive() {
		if host.Host == name {
			return host.IP, nil
		}
	}
	return netip.Addr{}, fmt.Errorf("find %s: %w", name, errUnknownHost)
}

func (t *Transport) addPending(answer chan steer.Permit) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastPermitID++
	t.pendingPermits[t.lastPermitID] = answer
	return t.lastPermitID
}

func (t *Transport) removePending(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pendingPermits, id)
}

// answerPermit issues the permit that another host asked for.
func (t *Transport) answerPermit(request permitRequest, from netip.Addr) {
	if request.ID == 0 {
		t.callbacks.ApplyLimitNews(request.News)
		return
	}
	permit := t.callbacks.IssuePermit(steer.PermitRequest{News: request.News})
	t.sendTo([]netip.Addr{from}, datagram{PermitAnswer: &permitAnswer{ID: request.ID, Permit: permit}})
}

// deliverPermit passes an answer to the request that waits for it.
func (t *Transport) deliverPermit(answer permitAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if waiting, isPending := t.pendingPermits[answer.ID]; isPending {
		waiting <- answer.Permit
		delete(t.pendingPermits, answer.ID)
	}
}
