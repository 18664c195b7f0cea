package quota

import (
	"math"
	"time"

	"filberthold/model"
)

const (
	// minRetryAfter bounds what callers are told from below.
	minRetryAfter = 100 * time.Millisecond
	// minRate avoids a division by a rate of 0.
	minRate = 1e-6
	// maxPeers bounds the peers that a host keeps. Any process can send reports.
	maxPeers = 4096
	// maxTotals bounds the organisations in the totals of a region.
	maxTotals = 8 * MaxEntries
	// totalsTime is how long after its last request an organisation is in the totals of a
	// region. They have random receivers, and each should get one of them.
	totalsTime = 2500 * time.Millisecond
	// totalsInterval is the mean time between the totals of a region that a host gets.
	totalsInterval = 500 * time.Millisecond
	// remoteDelay is about the time that a datagram to another region takes.
	remoteDelay = 60 * time.Millisecond
	// never is a time before all others.
	never = time.Duration(math.MinInt64 / 2)
)

// Limiter is one host's view of the quotas of all organisations. It is not safe for
// concurrent use. Times before that of New are taken as that time.
type Limiter struct {
	host      model.HostName
	region    model.RegionName
	bounds    Bounds
	startedAt time.Time
	accounts  map[model.OrganisationName]*account
	byID      map[ID]*account
	// ordered holds the accounts in the order of the limits.
	ordered []*account
	// hosts is the number of hosts of which this one knows, including itself.
	hosts    int
	peers    map[Source]*peer
	peerList []*peer
	// regions are the peers that are regions, silent the number of silent peers.
	regions []*peer
	silent  int
	// epoch rises with each change of the peers in contact.
	epoch     uint64
	nextCheck time.Duration
	// heardAt is when the last report arrived, or never.
	heardAt time.Duration
	// reportedAt is the time of the last report of this host.
	reportedAt time.Duration
	// nextTotal is the index in ordered at which the next totals begin.
	nextTotal int
	// innerInterval is the time between the reports of a host of the own region.
	innerInterval time.Duration
}

// New returns the limiter of a host that has just started and knows no other one.
func New(host model.HostName, region model.RegionName, bounds Bounds, now time.Time) *Limiter {
	if bounds.Window <= 0 {
		bounds.Window = defaultWindow
	}
	return &Limiter{
		host: host, region: region, bounds: bounds, startedAt: now, hosts: 1, epoch: 1, heardAt: never, reportedAt: never, innerInterval: 300 * time.Millisecond,
		accounts: make(map[model.OrganisationName]*account), byID: make(map[ID]*account), peers: make(map[Source]*peer),
	}
}

// since returns a time as the duration since the start.
func (l *Limiter) since(now time.Time) time.Duration { return max(0, now.Sub(l.startedAt)) }

// SetLimits replaces the limits. Organisations that keep a limit keep their level.
func (l *Limiter) SetLimits(limits []Limit, now time.Time) {
	at := l.since(now)
	kept := make(map[model.OrganisationName]*account, len(limits))
	clear(l.byID)
	l.ordered = l.ordered[:0]
	for _, limit := range limits {
		if !(limit.PerSecond > 0) || math.IsInf(limit.PerSecond, 0) {
			continue
		}
		a := l.accounts[limit.Organisation]
		switch {
		case a == nil:
			a = newAccount(l, limit, at)
		case a.limit != limit:
			a.advance(l, at)
			a.setLimit(l, limit)
		}
		kept[limit.Organisation], l.byID[a.id] = a, a
		l.ordered = append(l.ordered, a)
	}
	l.accounts = kept
}

// lag returns the mean age of what this host knows of the others' admitted requests.
func (l *Limiter) lag(now time.Duration) time.Duration {
	hosts, sum := float64(l.hosts), 0.0
	for _, p := range l.regions {
		if !p.isSilent && !p.isForgotten {
			hosts -= float64(p.hosts)
			sum += float64(p.hosts) * float64(now-p.heardAt+remoteDelay+l.innerInterval/2)
		}
	}
	sum += max(0, hosts) * float64(l.innerInterval) / 2
	return time.Duration(sum / float64(l.hosts))
}

// SetHosts sets the number of hosts that share the limits, including this one: those
// that were alive lately, also if this host does not hear them.
func (l *Limiter) SetHosts(count int, now time.Time) {
	if count = max(1, count); count != l.hosts {
		l.advanceAll(l.since(now))
		l.hosts = count
		l.epoch++
	}
}

func (l *Limiter) advanceAll(now time.Duration) {
	for _, a := range l.ordered {
		a.advance(l, now)
	}
}

// Admit decides on a request of an organisation. Without a limit it is admitted.
func (l *Limiter) Admit(organisation model.OrganisationName, now time.Time) Decision {
	a := l.accounts[organisation]
	if a == nil {
		return Admitted{}
	}
	at := l.since(now)
	l.checkPeers(at)
	return a.admit(l, max(at, a.updatedAt))
}

// Refund takes back an admitted request that no endpoint can have run.
func (l *Limiter) Refund(organisation model.OrganisationName, now time.Time) {
	if a := l.accounts[organisation]; a != nil {
		a.refund(l, max(l.since(now), a.updatedAt))
	}
}

// reportAge returns the age of the newest report, or 0 without one.
func (l *Limiter) reportAge(now time.Duration) time.Duration {
	if l.heardAt == never {
		return 0
	}
	return now - l.heardAt
}

// Status is what the metrics show of a limiter.
type Status struct {
	// Hosts is the number of hosts that share the limits, Heard how many of them are in
	// contact with this one, and Silent how many were and are not.
	Hosts, Heard, Silent int
	// Limited is the number of organisations for which not all requests are admitted now.
	Limited int
}

// Status returns the state at a time.
func (l *Limiter) Status(now time.Time) Status {
	at := l.since(now)
	l.checkPeers(at)
	status := Status{Hosts: l.hosts, Heard: 1}
	for _, p := range l.peerList {
		switch {
		case p.isForgotten:
		case p.isSilent:
			status.Silent += p.hosts
		default:
			status.Heard += p.hosts
		}
	}
	for _, a := range l.ordered {
		if at-a.regionActiveAt > totalsTime {
			continue
		}
		a.advance(l, max(at, a.updatedAt))
		if offered := a.offeredRate(l); a.growth(a.expectedLevel(l, offered, at))*a.rate() < offered {
			status.Limited++
		}
	}
	return status
}
