package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"filberthold/platform/fake"
)

const (
	// wideRatio is the share of submits with a body of minWideBytes to maxWideBytes, which hosts
	// write at once, but the buffers of a clogged link do not hold.
	wideRatio                  = 0.3
	minWideBytes, maxWideBytes = 56 << 10, 63 << 10
	// cloggedBytes is how much a clogged link takes of a connection: the head of a request and
	// little more, because the buffers grow with what was taken.
	cloggedBytes = 2 << 10
	// cloggedSegment and cloggedBuffer are the segment size and the receive buffer of a clogged
	// link, in bytes, with which the system of a host takes about 30 KiB of a write. The others
	// are those of a link that was clogged before.
	cloggedSegment, cloggedBuffer = 536, 2 << 10
	openSegment, openBuffer       = 32<<10 - 1, 128 << 10
	// minClogged and maxClogged bound the time for which a link is clogged. Most requests are
	// then broken off before their deadline.
	minClogged, maxClogged = 300 * time.Millisecond, 1200 * time.Millisecond
)

// clogLink lets a link take only the beginning of what a host writes, while its endpoint runs
// requests before it has read their bodies, and resets the connections then. So hosts write
// requests in part that have run.
func (b *testbed) clogLink(index int, random *rand.Rand) {
	proxy := b.endpointProxies[index]
	defer proxy.recordFault(time.Now())
	b.setEndpoint(index, misbehaviour{behaviours: []fake.Behaviour{fake.Serve}, isEarly: true}.apply)
	proxy.setCondition(condition{mode: clogged, bytes: cloggedBytes})
	if err := proxy.limitBuffers(cloggedSegment, cloggedBuffer); err != nil {
		b.recordViolation("%v", err)
	}
	proxy.abortLinks()
	b.sleep(randomBetween(random, minClogged, maxClogged))
	if err := proxy.limitBuffers(openSegment, openBuffer); err != nil {
		b.recordViolation("%v", err)
	}
	proxy.setMode(pass)
	proxy.abortLinks()
	b.setEndpoint(index, misbehaviour{behaviours: []fake.Behaviour{fake.Serve}}.apply)
}

// limitBuffers sets the segment size and the receive buffer of the next connections, in bytes.
// They bound what the system of the other side takes of a write.
func (p *faultProxy) limitBuffers(segment, buffer int) error {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("limit buffers: %w", err)
	}
	var setErr error
	err = raw.Control(func(descriptor uintptr) {
		setErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		if setErr == nil {
			setErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
		}
	})
	if err == nil {
		err = setErr
	}
	if err != nil {
		return fmt.Errorf("limit buffers: %w", err)
	}
	return nil
}
