package quota

import (
	"math"
	"time"

	"filberthold/hashes"
)

const (
	// admittedTime is the time constant with which the reported numbers of admitted
	// requests decay. It is long against the interval of reports, so that a lost report
	// loses little.
	admittedTime = 5 * time.Second
	// offeredTime is that of the numbers of offered requests. It is short, so that a rise
	// of demand is seen soon.
	offeredTime = time.Second
	// riseTime is how long demand that rises in a region is expected to rise in the others
	// too. Their reports show it after that.
	riseTime = 2 * time.Second
	// offeredChance is the part of the standard deviation of the offered requests by which
	// they are taken lower.
	offeredChance = 0.7
	// maxGrowth is how many times its rate a bucket that is full admits, so that not all
	// of the requests that are within the limit wait for others' reports.
	maxGrowth = 1.6
	// targetPart is the level at which a bucket admits its rate, as a part of its capacity.
	targetPart = 0.5
	// minGroup is the least part of the limit that a host may use, as a part of an equal share.
	minGroup = 0.2
	// hostWeight is the part of a share that follows the number of hosts instead of
	// their demand, for those whose callers come later.
	hostWeight = 0.3
	// sharesKept is how long the shares stay as they were when a first peer became silent.
	sharesKept = time.Minute
	// snapshotInterval is the time between the records of demand by which the limit is
	// divided. The last but one counts, because demand that rises while a partition is not
	// yet known counts on each side of it.
	snapshotInterval = 3 * time.Second
)

// peerRate is what a peer reported of an organisation.
type peerRate struct {
	// at is when admitted and offered were reported. Both decay since then.
	at                time.Duration
	admitted, offered float32
	// carried is the part of the admitted requests that earlier runs of the peer sent, for
	// the totals of the region. It decays with admitted.
	carried float32
	// older and newer are the offered requests at the last two snapshots.
	older, newer float32
	// share is the peer's part of the demand of all known hosts when a peer last became
	// silent. While the peer itself is silent, the share of the limit is kept for it, and
	// reserve of the level.
	share, reserve float32
}

// account is a host's model of the bucket of one organisation.
type account struct {
	id       ID
	limit    Limit
	capacity float64
	// margin is the debt below which nothing is admitted.
	margin float64
	// createdAt is when the account was made, updatedAt the time of its state.
	createdAt, updatedAt time.Duration
	// level is the number of requests that the bucket holds, as far as this host knows.
	level float64
	// admitted and offered are those of this host; regionOffered and remoteOffered are
	// the sums of the peers in contact.
	admitted, offered, regionOffered, remoteOffered float64
	// ownBefore and regionBefore follow the offered requests of this host and its region
	// within about riseTime.
	ownBefore, regionBefore float64
	// rates holds what the peers reported, by their index.
	rates []peerRate
	// credit is the part of the next admitted request that earlier ones have earned. It
	// starts with a fraction that differs between hosts.
	credit float64
	// older and newer are this host's offered requests at the last two snapshots.
	older, newer float64
	// share is that of this host, as those in rates. sharedAt is when they were computed.
	share        float64
	sharedAt     time.Duration
	nextSnapshot time.Duration
	// epoch is that of the limiter at which group was computed.
	epoch uint64
	// group is the part of the limit that the hosts in contact may use.
	group float64
	// returnAt is when the last caller that was refused was told to return.
	returnAt time.Duration
	// activeAt is when this host last got a request, regionActiveAt when a host of its
	// region had one.
	activeAt, regionActiveAt time.Duration
}

func newAccount(l *Limiter, limit Limit, now time.Duration) *account {
	a := &account{
		id: IDOf(limit.Organisation), createdAt: now, updatedAt: now, nextSnapshot: now + snapshotInterval,
		activeAt: never, regionActiveAt: never,
		credit: float64(hashes.Sum(string(l.host), string(limit.Organisation))>>11) / (1 << 53),
	}
	a.setLimit(l, limit)
	return a
}

// setLimit changes the limit. What the bucket holds beyond the new capacity is lost.
func (a *account) setLimit(l *Limiter, limit Limit) {
	a.limit, a.capacity = limit, l.bounds.capacity(limit)
	a.margin = l.bounds.overage(limit) / 2
	a.level = min(a.level, a.capacity)
	a.epoch = 0
}

func decay(elapsed, constant time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(constant))
}

// advance brings the account to the time now.
func (a *account) advance(l *Limiter, now time.Duration) {
	if elapsed := now - a.updatedAt; elapsed > 0 {
		a.level += a.rate() * elapsed.Seconds()
		a.admitted *= decay(elapsed, admittedTime)
		factor := decay(elapsed, offeredTime)
		a.offered *= factor
		a.regionOffered *= factor
		a.remoteOffered *= factor
		region, _ := a.knownOffered(l)
		follow := 1 - decay(elapsed, riseTime)
		a.ownBefore += (a.offered - a.ownBefore) * follow
		a.regionBefore += (region - a.regionBefore) * follow
		a.updatedAt = now
	}
	if now >= a.nextSnapshot {
		a.takeSnapshot(l, now)
	}
	if a.epoch != l.epoch {
		a.divide(l, now)
	}
	a.level = min(a.level, a.capacity*a.group)
}

// rate returns the part of the rate that the hosts in contact may use.
func (a *account) rate() float64 { return a.limit.PerSecond * a.group }

// admittedAt returns the number of admitted requests of a peer. Those of a silent peer
// follow its share of the limit.
func (a *account) admittedAt(p *peer, now time.Duration) float64 {
	rate := a.rates[p.index]
	if !p.isSilent {
		return float64(rate.admitted) * decay(now-rate.at, admittedTime)
	}
	before := float64(rate.admitted) * decay(p.silentAt-rate.at, admittedTime)
	settled := float64(rate.share) * a.limit.PerSecond * admittedTime.Seconds()
	return settled + (before-settled)*decay(now-max(p.silentAt, rate.at), admittedTime)
}

// reportedAt returns the number of admitted requests of a peer and its earlier runs that
// are known from reports.
func (a *account) reportedAt(p *peer, now time.Duration) float64 {
	rate := a.rates[p.index]
	return float64(rate.admitted+rate.carried) * decay(now-rate.at, admittedTime)
}

func (a *account) offeredAt(p *peer, now time.Duration) float64 {
	rate := a.rates[p.index]
	return float64(rate.offered) * decay(now-rate.at, offeredTime)
}

// apply applies what a peer reported. The numbers only rise above what is known: an
// older report, or one of a host that has not heard of all requests, changes nothing.
// gap is the time since the report before.
func (a *account) apply(l *Limiter, p *peer, entry Entry, gap, now time.Duration) {
	a.growRates(l)
	known := a.admittedAt(p, now)
	offeredBefore := a.offeredAt(p, now)
	// A wrong report must not block an organisation for long.
	admitted := min(max(known, entry.Admitted), known+a.capacity*maxGrowth)
	offered := max(offeredBefore, entry.Offered)
	a.level = max(a.level-(admitted-known)*undecayed(gap, admittedTime), -a.maxDebt(l))
	if p.isRegion() {
		a.remoteOffered += offered - offeredBefore
	} else {
		a.regionOffered += offered - offeredBefore
		a.regionActiveAt = now
	}
	rate := &a.rates[p.index]
	rate.carried *= float32(decay(now-rate.at, admittedTime))
	rate.at, rate.admitted, rate.offered = now, float32(admitted), float32(offered)
}

// undecayed returns the number of requests for each that is left of them after they came
// evenly within a time.
func undecayed(elapsed, constant time.Duration) float64 {
	part := min(1, float64(elapsed)/float64(constant))
	if part < 1e-3 {
		return 1
	}
	return part / (1 - math.Exp(-part))
}

// maxDebt bounds the debt that reports can cause.
func (a *account) maxDebt(l *Limiter) float64 {
	return a.capacity + a.limit.PerSecond*l.bounds.Window.Seconds()
}

func (a *account) growRates(l *Limiter) {
	for len(a.rates) < len(l.peerList) {
		a.rates = append(a.rates, peerRate{at: a.updatedAt})
	}
}

// takeSnapshot records the demand by which the limit is divided.
func (a *account) takeSnapshot(l *Limiter, now time.Duration) {
	a.older, a.newer = a.newer, a.offered
	for _, p := range l.peerList {
		if p.index < len(a.rates) && !p.isSilent {
			rate := &a.rates[p.index]
			rate.older, rate.newer = rate.newer, float32(a.offeredAt(p, p.heardAt))
		}
	}
	if now-a.nextSnapshot > snapshotInterval {
		// Nothing was offered or reported since the snapshot before.
		a.older = a.newer
	}
	a.nextSnapshot = now + snapshotInterval
	a.epoch = 0
}

// weight returns the demand of a peer, or of this host if p is nil, as a part of the sum
// over all that are known. hosts is the number of known hosts, sum their demand.
func (a *account) weight(p *peer, hosts int, sum float64) float64 {
	own, count := a.older, 1
	if p != nil {
		own, count = 0, p.hosts
		if p.index < len(a.rates) {
			own = float64(a.rates[p.index].older)
		}
	}
	byHosts := float64(count) / float64(hosts)
	if sum <= 0 {
		return byHosts
	}
	return (1-hostWeight)*own/sum + hostWeight*byHosts
}

// known returns the number of hosts that are not forgotten, and their demand.
func (a *account) known(l *Limiter) (int, float64) {
	hosts, sum := 1, a.older
	for _, p := range l.peerList {
		if p.isForgotten {
			continue
		}
		hosts += p.hosts
		if p.index < len(a.rates) {
			sum += float64(a.rates[p.index].older)
		}
	}
	return hosts, sum
}

// freeze keeps the part of the limit and of the level of a peer that becomes silent.
func (a *account) freeze(l *Limiter, p *peer, now time.Duration) {
	a.growRates(l)
	if l.silent == 0 || now-a.sharedAt >= sharesKept {
		a.computeShares(l, now)
	}
	rate := &a.rates[p.index]
	admitted, offered := a.admittedAt(p, now), a.offeredAt(p, now)
	share := float64(rate.share)
	// The peer has admitted requests since its last report, and this host does not know
	// how many.
	demand := a.offeredRate(l)
	level := a.expectedLevel(l, demand, now)
	missed := share * min(demand, a.growth(level)*a.rate()) * (now - p.heardAt).Seconds()
	a.level = max(a.level-missed, -a.maxDebt(l))
	rate.reserve = float32(a.level * share / max(share, a.inContact(l)))
	a.level -= float64(rate.reserve)
	rate.carried *= float32(decay(now-rate.at, admittedTime))
	rate.at, rate.admitted, rate.offered = now, float32(admitted+missed), float32(offered)
}

// computeShares computes the shares of all known hosts.
func (a *account) computeShares(l *Limiter, now time.Duration) {
	hosts, sum := a.known(l)
	a.share, a.sharedAt = a.weight(nil, hosts, sum), now
	for _, p := range l.peerList {
		if !p.isSilent && !p.isForgotten {
			a.rates[p.index].share = float32(a.weight(p, hosts, sum))
		}
	}
}

// inContact returns the part of the limit that is not kept for silent peers.
func (a *account) inContact(l *Limiter) float64 {
	if l.silent == 0 {
		return 1
	}
	contact, silent := a.share, 0.0
	for _, p := range l.peerList {
		switch {
		case p.isForgotten:
		case p.isSilent:
			silent += float64(a.rates[p.index].share)
		default:
			contact += float64(a.rates[p.index].share)
		}
	}
	return contact / (contact + silent)
}

// divide computes what depends on the peers in contact.
func (a *account) divide(l *Limiter, now time.Duration) {
	a.growRates(l)
	a.epoch = l.epoch
	a.regionOffered, a.remoteOffered = 0, 0
	for _, p := range l.peerList {
		switch {
		case p.isForgotten || p.isSilent:
		case p.isRegion():
			a.remoteOffered += a.offeredAt(p, now)
		default:
			a.regionOffered += a.offeredAt(p, now)
		}
	}
	a.group = max(minGroup/float64(l.hosts), (1-l.unheardPart())*a.inContact(l))
}
