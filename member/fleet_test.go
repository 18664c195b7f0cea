package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"filberthold/model"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// fleet simulates the detectors of many hosts, with a network between them. Hosts can be
// killed, frozen, slow or cut off. Time is simulated.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	events eventQueue
	hosts  []*simHost
	byIP   map[netip.Addr]*simHost
	// lossRate is the fraction of datagrams that are lost.
	lossRate float64
	// isCut reports whether datagrams between two hosts are lost.
	isCut func(from, to *simHost) bool
}

type simHost struct {
	index     int
	heartbeat Heartbeat
	detector  *Detector
	startsAt  time.Time
	isDead    bool
	// knowsAll is true if the host knows all others when it starts.
	knowsAll bool
	// busyUntil is the time until which the host processes earlier events.
	busyUntil time.Time
	// cost is the time for which the host processes one event.
	cost time.Duration
	// frozenUntil is the time until which the host does not run.
	frozenUntil time.Time
	sentBytes   int
	received    int
}

// event is a datagram or a tick. It is a tick if message is nil.
type event struct {
	at      time.Time
	order   int
	host    *simHost
	from    netip.Addr
	message Message
	// run is the incarnation of the host to which a tick belongs.
	run int64
}

type eventQueue struct {
	events []event
	count  int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at.Equal(q.events[j].at) {
		return q.events[i].order < q.events[j].order
	}
	return q.events[i].at.Before(q.events[j].at)
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(added any) {
	q.events = append(q.events, added.(event))
}
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

const (
	// udpHeaderBytes is the size of the headers of a datagram.
	udpHeaderBytes = 28
	regionCount    = 4
	zonesPerRegion = 3
)

// newFleet returns a fleet whose hosts all start within 0.3 s and know each other's
// addresses from the store.
func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	f := &fleet{t: t, random: rand.New(rand.NewPCG(1, uint64(count))), now: start(), byIP: make(map[netip.Addr]*simHost)}
	for i := range count {
		f.add(i, f.now.Add(time.Duration(f.random.Int64N(int64(TickInterval)))))
	}
	return f
}

func (f *fleet) add(index int, startsAt time.Time) *simHost {
	region := index % regionCount
	ip := netip.AddrFrom4([4]byte{10, byte(region), byte(index / 250), byte(index%250 + 1)})
	host := &simHost{
		index: index, startsAt: startsAt, cost: 20 * time.Microsecond,
		heartbeat: Heartbeat{
			Host: model.HostName(fmt.Sprint("front-", index)), Zone: model.ZoneName(fmt.Sprint("z", index%(regionCount*zonesPerRegion))),
			Region: model.RegionName(fmt.Sprint("r", region)), Incarnation: startsAt.UnixMilli(), IP: ip,
			CallerAddress: ip.String() + ":8548", ControlAddress: ip.String() + ":8544", IsReady: true, IsStoreReachable: true, ConfigVersion: 12, LinkMbps: 20,
		},
	}
	f.hosts = append(f.hosts, host)
	f.byIP[ip] = host
	f.start(host)
	return host
}

// start starts a run of a host, which knows the addresses of all hosts.
func (f *fleet) start(host *simHost) {
	host.knowsAll = false
	host.detector = NewDetector(NewTable(host.heartbeat.Host))
	f.push(event{at: host.startsAt, host: host, run: host.heartbeat.Incarnation})
}

func (f *fleet) push(added event) {
	f.events.count++
	added.order = f.events.count
	heap.Push(&f.events, added)
}

// run advances the simulation by a duration.
func (f *fleet) run(duration time.Duration) {
	end := f.now.Add(duration)
	for f.events.Len() > 0 && !f.events.events[0].at.After(end) {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		f.handle(next)
	}
	f.now = end
}

func (f *fleet) handle(next event) {
	host := next.host
	if host.isDead || next.message == nil && next.run != host.heartbeat.Incarnation {
		return
	}
	if waitUntil := later(host.busyUntil, host.frozenUntil); waitUntil.After(f.now) {
		next.at = waitUntil
		f.push(next)
		return
	}
	host.busyUntil = f.now.Add(host.cost)
	if next.message != nil {
		host.received++
		sends, _ := host.detector.Receive(next.message, next.from, host.heartbeat, f.now)
		f.send(host, sends)
		return
	}
	if f.now.Equal(host.startsAt) && !host.knowsAll {
		var addresses []netip.Addr
		for _, other := range f.hosts {
			if other != host {
				addresses = append(addresses, other.heartbeat.IP)
			}
		}
		host.detector.Table().AddAddresses(addresses, f.now)
	}
	f.send(host, host.detector.Tick(host.heartbeat, f.now))
	f.push(event{at: f.now.Add(TickInterval), host: host, run: host.heartbeat.Incarnation})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *fleet) send(from *simHost, sends []Send) {
	for _, send := range sends {
		encoded, err := cbor.Marshal(send.Message)
		assert.NilError(f.t, err)
		for _, address := range send.To {
			from.sentBytes += len(encoded) + udpHeaderBytes
			to := f.byIP[address]
			if to == nil || to.isDead || f.random.Float64() < f.lossRate || f.isCut != nil && f.isCut(from, to) {
				continue
			}
			delay := 4 * time.Millisecond
			if to.heartbeat.Region != from.heartbeat.Region {
				delay = 55 * time.Millisecond
			}
			f.push(event{at: f.now.Add(delay + time.Duration(f.random.Int64N(int64(2*time.Millisecond)))), host: to, from: from.heartbeat.IP, message: send.Message})
		}
	}
}

// observers are the hosts that run.
func (f *fleet) observers() []*simHost {
	var running []*simHost
	for _, host := range f.hosts {
		if !host.isDead && !f.now.Before(host.startsAt) {
			running = append(running, host)
		}
	}
	return running
}

// believes reports whether an observer believes that a host is alive.
func (f *fleet) believes(observer, host *simHost) bool {
	known := observer.detector.table.hosts[host.heartbeat.Host]
	return known != nil && known.isAlive(f.now) && !known.heartbeat.IsLeaving
}

// wrongShare returns the fraction of the pairs of an observer and one of the hosts whose
// belief differs from the given one.
func (f *fleet) wrongShare(hosts []*simHost, isAlive bool) float64 {
	wrong, pairs := 0, 0
	for _, observer := range f.observers() {
		for _, host := range hosts {
			if observer == host {
				continue
			}
			pairs++
			if f.believes(observer, host) != isAlive {
				wrong++
			}
		}
	}
	return float64(wrong) / float64(pairs)
}

// eachFleet runs a test with fleets of several sizes whose hosts know each other.
func eachFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	for _, count := range []int{12, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newFleet(t, count)
			f.introduceAll()
			f.run(settleTime)
			test(t, f)
		})
	}
}

// settleTime is the time in which the hosts of a new fleet choose their monitors.
const settleTime = 3 * time.Second

// introduceAll lets all hosts know each other, as after a start that is long past.
func (f *fleet) introduceAll() {
	for _, host := range f.hosts {
		host.knowsAll = true
		for _, other := range f.hosts {
			known := other.heartbeat
			known.IsMonitored = len(f.hosts) > maxDirectHosts+1
			if host != other {
				host.detector.table.Observe(known, f.now)
			}
		}
		host.detector.announced = host.heartbeat
		host.detector.announced.IsMonitored = len(f.hosts) > maxDirectHosts+1
	}
}

// kill kills the hosts that a condition holds for, and returns them.
func (f *fleet) kill(condition func(host *simHost) bool) []*simHost {
	var killed []*simHost
	for _, host := range f.hosts {
		if condition(host) {
			host.isDead = true
			killed = append(killed, host)
		}
	}
	return killed
}
