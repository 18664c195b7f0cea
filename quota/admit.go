package quota

import (
	"math"
	"time"
)

// offeredRate returns the requests a second that are offered to the hosts in contact. If
// the demand of this host or its region has risen by more than chance, so has probably
// that of the others, whose reports take longer. The sum is taken lower by a part of its
// standard deviation, so that chance does not refuse the requests of small organisations.
func (a *account) offeredRate(l *Limiter) float64 {
	region, all := a.knownOffered(l)
	// What is followed since the start has seen only a part of its time.
	followed := 1 - decay(a.updatedAt-a.createdAt, riseTime)
	rise := max(1, (region-3*math.Sqrt(region))*followed/max(1, a.regionBefore))
	expected := region + (all-region)*rise
	if rise = (a.offered - 3*math.Sqrt(a.offered)) * followed / max(1, a.ownBefore); rise > 1 {
		expected = max(expected, all*rise)
	}
	return max(1, expected-offeredChance*math.Sqrt(all)) / offeredTime.Seconds()
}

// knownOffered returns the offered requests of the region and of all hosts in contact. What
// was reported has decayed since; the mean of that is made up for.
func (a *account) knownOffered(l *Limiter) (region, all float64) {
	region = a.offered + a.regionOffered*undecayed(l.innerInterval, offeredTime)
	return region, region + a.remoteOffered*(1+float64(totalsInterval)/float64(offeredTime))
}

// expectedLevel returns the level less what the others have probably admitted and not
// yet reported: all that they are offered, or as much as the expected level allows.
func (a *account) expectedLevel(l *Limiter, offered float64, now time.Duration) float64 {
	if offered <= 0 {
		return a.level
	}
	lag := l.lag(now).Seconds()
	others := max(0, 1-a.offered/offeredTime.Seconds()/offered)
	unseen := others * a.rate() * lag
	target, above, below := a.growthLevels()
	// growth is 1 + (level - target) / above, or with below if that is negative.
	expected := a.level - target - unseen
	if expected >= 0 {
		expected /= 1 + unseen*(maxGrowth-1)/above
	} else {
		expected /= 1 + unseen/below
	}
	return max(expected+target, a.level-others*offered*lag)
}

// growthLevels returns the level at which the rate is admitted, and how far above and
// below it most and nothing is.
func (a *account) growthLevels() (target, above, below float64) {
	capacity := a.capacity * a.group
	target = targetPart * capacity
	return target, capacity - target, target + a.margin*a.group
}

// growth returns the multiple of the rate that is admitted at a level: 1 at the target,
// more if the bucket has more, less if it has less.
func (a *account) growth(level float64) float64 {
	target, above, below := a.growthLevels()
	if level >= target {
		return 1 + (maxGrowth-1)*min(1, (level-target)/above)
	}
	return max(0, 1+(level-target)/below)
}

// admit decides on one request.
func (a *account) admit(l *Limiter, now time.Duration) Decision {
	a.advance(l, now)
	a.offered++
	a.activeAt, a.regionActiveAt = now, now
	offered := a.offeredRate(l)
	level := a.expectedLevel(l, offered, now)
	part := min(1, a.growth(level)*a.rate()/offered)
	a.credit = min(2, a.credit+part)
	if a.credit >= 1 {
		a.credit--
		a.level--
		a.admitted++
		return Admitted{}
	}
	return Refused{
		RetryAfter: a.retryAfter(l, level, offered, now), PerSecond: a.limit.PerSecond, Burst: a.limit.Burst, Level: level,
		OwnRate: a.offered / offeredTime.Seconds(), OthersRate: (a.regionOffered + a.remoteOffered) / offeredTime.Seconds(),
		Group: a.group, ReportAge: l.reportAge(now),
	}
}

// retryAfter returns the time after which a caller should return: those that were
// refused get successive turns at the host's share of the rate.
func (a *account) retryAfter(l *Limiter, level, offered float64, now time.Duration) time.Duration {
	share := max(a.rate()*a.offered/offeredTime.Seconds()/offered, minRate)
	debt := time.Duration(max(0, -level) / a.rate() * float64(time.Second))
	turn := time.Duration(min(1/share, l.bounds.Window.Seconds()) * float64(time.Second))
	a.returnAt = min(max(a.returnAt, now+debt)+turn, now+l.bounds.Window)
	return max(minRetryAfter, a.returnAt-now)
}

// refund takes back an admitted request that no endpoint has run.
func (a *account) refund(l *Limiter, now time.Duration) {
	a.advance(l, now)
	a.level = min(a.level+1, a.capacity*a.group)
	a.admitted = max(0, a.admitted-1)
}
