package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"
	"filberthold/steer"
)

// fleet holds the transports of many hosts in one process, with a network between them
// that delays datagrams. It runs in the simulated time of testing/synctest.
type fleet struct {
	t     *testing.T
	hosts []*fleetHost
	byIP  map[netip.Addr]*fleetHost
	// lossRate is the fraction of datagrams that are lost. It is constant while hosts run.
	lossRate float64
	// stop ends all hosts, and done waits for their end.
	stop context.CancelFunc
	done sync.WaitGroup
}

// fleetHost is one host. It is the packetConn of its transport.
type fleetHost struct {
	fleet     *fleet
	heartbeat member.Heartbeat
	transport *Transport
	// isStopped is true if the host was killed or does not run for the rest of the test.
	isStopped bool
	incoming  chan packet
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	selector *steer.Selector
	// told holds the conditions of endpoints that other hosts told.
	told map[steer.EndpointID]steer.Condition
	// noise returns the conditions that the host tells in place of those that it observes,
	// or is nil.
	noise  func(limit int) []steer.EndpointCondition
	random *rand.Rand
	// frozenUntil is the time until which the host neither sends nor receives.
	frozenUntil time.Time
	sentBytes   int
}

type packet struct {
	content []byte
	from    netip.AddrPort
}

const (
	// udpHeaderBytes is the size of the headers of a datagram.
	udpHeaderBytes = 28
	fleetPort      = 17541
	fleetRegions   = 4
	// fleetZones is the number of availability zones of all regions.
	fleetZones = 12
	// fleetEndpoints is the number of endpoints. Each is the only one of its service.
	fleetEndpoints = 40
	endpointSlots  = 4
	// endpointUsers is the number of hosts that fill an endpoint. Each has a request there: as
	// many wait as are too many, besides one that is answered.
	endpointUsers = endpointSlots + 3
	// maxDirectHosts is the number of hosts up to which all send beats to each other.
	maxDirectHosts = 33
	// settleTime is the time in which the hosts of a new fleet find each other.
	settleTime = 2 * time.Second
)

func fleetRegionOf() map[model.ZoneName]model.RegionName {
	regions := make(map[model.ZoneName]model.RegionName)
	for zone := range fleetZones {
		regions[model.ZoneName(fmt.Sprint("z", zone))] = model.RegionName(fmt.Sprint("r", zone%fleetRegions))
	}
	return regions
}

func endpointName(index int) model.EndpointName {
	return model.EndpointName(fmt.Sprint("e-", index))
}

func serviceName(index int) model.ServiceName { return model.ServiceName(fmt.Sprint("s-", index)) }

// startFleet starts hosts that know each other and waits until they have settled. It must
// be called in a synctest bubble.
func startFleet(t *testing.T, count int, lossRate float64) *fleet {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{t: t, byIP: make(map[netip.Addr]*fleetHost), stop: stop, lossRate: lossRate}
	t.Cleanup(func() {
		stop()
		f.done.Wait()
	})
	endpoints, config, services := fleetServices()
	for i := range count {
		f.add(i, config, endpoints, services)
	}
	for _, host := range f.hosts {
		table := host.transport.detector.Table()
		for _, other := range f.hosts {
			known := other.heartbeat
			known.IsMonitored = count > maxDirectHosts
			table.Observe(known, time.Now())
		}
		host.skipAnnouncements()
		host.run(ctx)
	}
	time.Sleep(settleTime)
	return f
}

func fleetServices() (*roster.Roster, *route.Config, []model.ServiceName) {
	endpoints := roster.New(fleetRegionOf())
	var configured []route.Service
	var names []model.ServiceName
	for i := range fleetEndpoints {
		configured = append(configured, route.Service{Name: serviceName(i), ColdRate: 2})
		names = append(names, serviceName(i))
		endpoints.Apply(roster.Entry{
			Endpoint: endpointName(i), Service: serviceName(i), Zone: model.ZoneName(fmt.Sprint("z", i%fleetZones)), Slots: endpointSlots,
			Address: netip.MustParseAddrPort("10.0.0.1:80"), State: roster.Ready, Sequence: 1, Incarnation: 1,
		}, time.Now())
	}
	return endpoints, route.NewConfig(1, nil, configured, route.Limits{}), names
}

func (f *fleet) add(index int, config *route.Config, endpoints *roster.Roster, services []model.ServiceName) {
	zone := model.ZoneName(fmt.Sprint("z", index%fleetZones))
	region := fleetRegionOf()[zone]
	ip := netip.AddrFrom4([4]byte{10, 1, byte(index / 250), byte(index%250 + 1)})
	host := &fleetHost{
		fleet: f, incoming: make(chan packet, 4096), closed: make(chan struct{}), random: rand.New(rand.NewPCG(1, uint64(index))), told: make(map[steer.EndpointID]steer.Condition),
		heartbeat: member.Heartbeat{
			Host: model.HostName(fmt.Sprint("front-", index)), Zone: zone, Region: region, Incarnation: 1_780_000_000_000, IP: ip,
			CallerAddress: ip.String() + ":8548", ControlAddress: ip.String() + ":8544", IsReady: true, IsStoreReachable: true, ConfigVersion: 12, LinkMbps: 20,
		},
	}
	host.selector = steer.New(host.heartbeat.Host, zone, fleetRegionOf())
	host.selector.Update(config, endpoints, services, time.Now())
	host.transport = newTransport(slog.New(slog.DiscardHandler), netip.AddrPortFrom(ip, fleetPort), host, member.NewTable(host.heartbeat.Host), host.callbacks())
	f.hosts = append(f.hosts, host)
	f.byIP[ip] = host
}

func (h *fleetHost) callbacks() Callbacks {
	return Callbacks{
		Heartbeat:    func() member.Heartbeat { return h.heartbeat },
		HostsChanged: func() {},
		Loads: func(isFull bool) []steer.Load {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.selector.Loads(isFull)
		},
		ApplyLoads: func(host model.HostName, loads []steer.Load, isFull bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.selector.ApplyLoads(host, loads, isFull, time.Now())
		},
		TakeConditions: func(limit int) []steer.EndpointCondition {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.noise != nil {
				return h.noise(limit)
			}
			return h.selector.TakeConditions(limit, time.Now())
		},
		ApplyConditions: func(conditions []steer.EndpointCondition) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.selector.ApplyConditions(conditions, time.Now())
			for _, told := range conditions {
				h.told[told.Endpoint] = told.Condition
			}
		},
		LimitNews:      func() []steer.LimitNews { return nil },
		RetryNews:      func() []steer.RetryNews { return nil },
		ApplyRetryNews: func(member.Run, []steer.RetryNews) {},
	}
}

// skipAnnouncements drops the announcements to all hosts with which a host starts, as if it
// had run for long.
func (h *fleetHost) skipAnnouncements() {
	const repeats = 3
	for range repeats {
		h.transport.detector.Announce(h.heartbeat, time.Now())
	}
}

// run runs the host until ctx ends. The hosts of a fleet do not tick at the
// same moments.
func (h *fleetHost) run(ctx context.Context) {
	offset := time.Duration(h.random.Int64N(int64(member.TickInterval)))
	h.fleet.done.Go(func() {
		time.Sleep(offset)
		if err := h.transport.Run(ctx); err != nil {
			h.fleet.t.Errorf("%s: %s", h.heartbeat.Host, err)
		}
	})
}

// ReadFromUDPAddrPort implements packetConn.
func (h *fleetHost) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	select {
	case received := <-h.incoming:
		h.mu.Lock()
		pause := time.Until(h.frozenUntil)
		h.mu.Unlock()
		time.Sleep(pause)
		return copy(buffer, received.content), received.from, nil
	case <-h.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort implements packetConn.
func (h *fleetHost) WriteToUDPAddrPort(content []byte, address netip.AddrPort) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.frozenUntil) {
		return len(content), nil
	}
	h.sentBytes += len(content) + udpHeaderBytes
	to := h.fleet.byIP[address.Addr()]
	if to == nil || h.random.Float64() < h.fleet.lossRate {
		return len(content), nil
	}
	delay := 4 * time.Millisecond
	if to.heartbeat.Region != h.heartbeat.Region {
		delay = 55 * time.Millisecond
	}
	delay += time.Duration(h.random.Int64N(int64(2 * time.Millisecond)))
	sent := packet{content, netip.AddrPortFrom(h.heartbeat.IP, fleetPort)}
	time.AfterFunc(delay, func() {
		select {
		case to.incoming <- sent:
		default:
		}
	})
	return len(content), nil
}

// Close implements packetConn.
func (h *fleetHost) Close() error {
	h.closeOnce.Do(func() { close(h.closed) })
	return nil
}

func (h *fleetHost) freeze(duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozenUntil = time.Now().Add(duration)
}

// query returns a request to the only endpoint of a service.
func fleetQuery(endpoint int) steer.Query {
	return steer.Query{Service: serviceName(endpoint), AttemptID: fmt.Sprint("a-", endpoint)}
}

// startRequest lets the host send a request to an endpoint, unless it knows that it is full.
func (h *fleetHost) startRequest(endpoint int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.selector.Choose(fleetQuery(endpoint), time.Now())
}

// endRequest ends a request with an answer in which the endpoint reports how many others
// it has.
func (h *fleetHost) endRequest(endpoint, busy int, elapsed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.selector.Done(steer.Outcome{Endpoint: endpointName(endpoint), Result: steer.Answered, Elapsed: elapsed, HasLoad: true, Busy: busy}, time.Now())
}

// knowsFull reports whether the host expects all slots of an endpoint to be taken.
func (h *fleetHost) knowsFull(endpoint int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	chosen, isSent := h.selector.Choose(fleetQuery(endpoint), time.Now()).(steer.Send)
	if !isSent {
		return true
	}
	h.selector.Done(steer.Outcome{Endpoint: endpointName(endpoint), Result: steer.Undelivered}, time.Now())
	return chosen.Load >= endpointSlots
}

// fill lets hosts fill an endpoint and answers requests to it until the test ends, so that
// it stays full.
func (f *fleet) fill(ctx context.Context, endpoint int) {
	users := f.usersOf(endpoint)
	for _, host := range users {
		host.startRequest(endpoint)
	}
	f.done.Go(func() {
		for turn := 0; ctx.Err() == nil; turn++ {
			const serviceTime = 300 * time.Millisecond
			time.Sleep(serviceTime / endpointSlots)
			user := users[turn%len(users)]
			user.endRequest(endpoint, len(users)-1, serviceTime)
			user.startRequest(endpoint)
		}
	})
}

// usersOf returns the hosts of the endpoint's region that send to it.
func (f *fleet) usersOf(endpoint int) []*fleetHost {
	region := model.RegionName(fmt.Sprint("r", endpoint%fleetRegions))
	var users []*fleetHost
	for i := range f.hosts {
		host := f.hosts[(i+endpoint*7)%len(f.hosts)]
		if host.heartbeat.Region == region && len(users) < endpointUsers {
			users = append(users, host)
		}
	}
	return users
}

// unaware returns the number of hosts in a region, or outside it, that run and do not know
// that an endpoint is full.
func (f *fleet) unaware(endpoint int, isSameRegion bool) int {
	region := model.RegionName(fmt.Sprint("r", endpoint%fleetRegions))
	count := 0
	for _, host := range f.hosts {
		if (host.heartbeat.Region == region) == isSameRegion && !host.isStopped && !host.knowsFull(endpoint) {
			count++
		}
	}
	return count
}

// relays returns the relays of a region.
func (f *fleet) relays(region model.RegionName) []*fleetHost {
	var hosts []member.Heartbeat
	for _, host := range f.hosts {
		if host.heartbeat.Region == region {
			hosts = append(hosts, host.heartbeat)
		}
	}
	var relays []*fleetHost
	for _, order := range newTrees(hosts) {
		relays = append(relays, f.byIP[order.relay()])
	}
	return relays
}

// stop ends a host without any message, or freezes it for the rest of the test.
func (h *fleetHost) stop() {
	h.freeze(time.Hour)
	h.isStopped = true
}

// eachFleetSize runs a test in simulated time for fleets of several sizes.
func eachFleetSize(t *testing.T, test func(t *testing.T, hosts int)) {
	t.Helper()
	for _, count := range []int{200, 700} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, count) })
		})
	}
}
