package soak

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"filberthold/member"
	"filberthold/platform/fake"

	"github.com/fxamacker/cbor/v2"
)

const (
	// firstPeerPort is the port of the first host for datagrams between hosts. It is outside
	// the range from which the system selects ports.
	firstPeerPort = 18700
	// maxDatagramBytes is the size of the receive buffer of a path. It is that of the hosts.
	maxDatagramBytes = 8 << 10
	// announcementKey is the key of the sender's state in a datagram.
	announcementKey = 1
)

// hostPair is an ordered pair of hosts, by their indexes.
type hostPair struct{ from, to int }

// hostPaths carry what hosts send to each other, so that it can be cut. A host sends
// datagrams to its own port at the addresses of the others, because in a deployment the port
// is the same for all. Here each host has a port of its own, and a path listens at the port of
// its sender and the address of its receiver.
type hostPaths struct {
	paths map[hostPair]*hostPath
}

// hostPath carries what one host sends to another one.
type hostPath struct {
	// datagrams receives those of the sender. Those of back are sent from it, because its
	// address is the one under which the sender knows the receiver.
	datagrams *net.UDPConn
	// receiver is where the receiver listens for datagrams.
	receiver netip.AddrPort
	// polls forwards the connections that the sender opens to the receiver.
	polls *faultProxy
	// back is the path from the receiver to the sender.
	back *hostPath
	// losesDatagrams is true while the path is cut.
	losesDatagrams atomic.Bool
}

// startPaths opens a path from each host to each other one. The proxies for polls listen on
// proxyIP.
func startPaths(hosts []fake.HostSettings, proxyIP string) (*hostPaths, error) {
	all := &hostPaths{paths: make(map[hostPair]*hostPath)}
	for from := range hosts {
		for to := range hosts {
			if from == to {
				continue
			}
			path, err := openPath(hosts[from], hosts[to], proxyIP)
			if err != nil {
				all.close()
				return nil, fmt.Errorf("open path from %s to %s: %w", hosts[from].Name, hosts[to].Name, err)
			}
			all.paths[hostPair{from, to}] = path
		}
	}
	for pair, path := range all.paths {
		path.back = all.paths[hostPair{pair.to, pair.from}]
	}
	for _, path := range all.paths {
		go path.run()
		go path.polls.run()
	}
	return all, nil
}

func openPath(from, to fake.HostSettings, proxyIP string) (*hostPath, error) {
	receiver, err := netip.ParseAddr(to.IP)
	if err != nil {
		return nil, fmt.Errorf("address of the receiver: %w", err)
	}
	datagrams, err := net.ListenUDP("udp", &net.UDPAddr{IP: receiver.AsSlice(), Port: from.PeerPort})
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	polls, err := startProxy(proxyIP, to.ControlAddress())
	if err != nil {
		_ = datagrams.Close()
		return nil, err
	}
	polls.source = from.IP
	return &hostPath{datagrams: datagrams, receiver: netip.AddrPortFrom(receiver, uint16(to.PeerPort)), polls: polls}, nil
}

// set cuts the paths that a cut contains and opens the others. The zero hostCut opens all.
func (p *hostPaths) set(cut hostCut) {
	for pair, path := range p.paths {
		path.set(cut.loses(pair), cut.loses(hostPair{pair.to, pair.from}))
	}
}

func (p *hostPaths) close() {
	for _, path := range p.paths {
		_ = path.datagrams.Close()
		path.polls.close()
	}
}

// set loses the datagrams of a path, and holds the requests of its polls, if the path is cut,
// and the responses if the path back is. A network that is whole again delivers the data of
// connections, but no datagrams.
func (p *hostPath) set(isCut, isBackCut bool) {
	p.losesDatagrams.Store(isCut)
	next := pass
	switch {
	case isCut && isBackCut:
		next = holdAll
	case isCut:
		next = holdRequests
	case isBackCut:
		next = holdResponses
	}
	p.polls.setMode(next)
}

// run forwards datagrams until the path is closed.
func (p *hostPath) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, err := p.datagrams.Read(buffer)
		if err != nil {
			return
		}
		if p.losesDatagrams.Load() {
			continue
		}
		// A datagram that cannot be sent is lost, as in a network.
		_, _ = p.back.datagrams.WriteToUDPAddrPort(withControlAddress(buffer[:count], p.back.polls.address()), p.receiver)
	}
}

// withControlAddress returns a datagram in which the sender announces another address for
// polls. Datagrams without an announcement are returned as they are.
func withControlAddress(datagram []byte, address string) []byte {
	var fields map[int]cbor.RawMessage
	if err := cbor.Unmarshal(datagram, &fields); err != nil || fields[announcementKey] == nil {
		return datagram
	}
	var announced member.Heartbeat
	if err := cbor.Unmarshal(fields[announcementKey], &announced); err != nil {
		return datagram
	}
	announced.ControlAddress = address
	var err error
	if fields[announcementKey], err = cbor.Marshal(announced); err != nil {
		return datagram
	}
	changed, err := cbor.Marshal(fields)
	if err != nil {
		return datagram
	}
	return changed
}
