package fakes

import (
	"math/rand/v2"
	"time"

	"filberthold/model"
)

// Behaviour describes how a fake upstream executes requests and responds to
// them.
type Behaviour struct {
	ServiceTime time.Duration
	// Jitter is the largest relative deviation of a service time, in 0..1.
	Jitter float64
	Seed   uint64
	// ShedProbability is the fraction of the requests that are shed before they
	// start, in 0..1, besides those of Shed.
	ShedProbability float64
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// ColdFactor multiplies the service time of the first request; it falls to
	// 1 during ColdPeriod. A factor of at most 1 means no cold start.
	ColdFactor float64
	ColdPeriod time.Duration
	// Delay returns the one-way delay between two availability zones.
	Delay func(from, to model.ZoneName) time.Duration

	ExportBytes int
	// ExportBytesPerSecond is the rate of each export; 0 means unlimited.
	ExportBytesPerSecond int
	// ExportTag replaces the entity tag of exports.
	ExportTag string
	// IgnoreRange sends every export from its first byte.
	IgnoreRange bool
	// AbortAfterBytes aborts the connection after this many bytes of each
	// export; 0 means never. StallAfterBytes stops sending instead, until the
	// caller disconnects.
	AbortAfterBytes int
	StallAfterBytes int
}

// Configure replaces the behaviour and restarts its random source and the cold
// period.
func (u *Upstream) Configure(behaviour Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = behaviour
	u.random = rand.New(rand.NewPCG(behaviour.Seed, 0))
	u.firstRequest = time.Time{}
}

// Behaviour returns the current behaviour.
func (u *Upstream) Behaviour() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// Leave makes the endpoint refuse new requests. Those in execution continue.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Shed makes the endpoint refuse the next requests before they start.
func (u *Upstream) Shed(requests int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shedNext = requests
}

// AbortAfterExecution makes the endpoint execute the next requests and abort
// their connections instead of responding.
func (u *Upstream) AbortAfterExecution(requests int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abortNext = requests
}

// SlowDown multiplies all service times by a factor for a period.
func (u *Upstream) SlowDown(factor float64, period time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowFactor = factor
	u.slowUntil = time.Now().Add(period)
}

// Busy returns the number of requests in execution.
func (u *Upstream) Busy() int { return len(u.slots) }

func (u *Upstream) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

func (u *Upstream) takeShed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if takeOne(&u.shedNext) {
		return true
	}
	return u.behaviour.ShedProbability > 0 && u.random.Float64() < u.behaviour.ShedProbability
}

func (u *Upstream) takeAbort() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return takeOne(&u.abortNext)
}

func takeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (u *Upstream) delayFrom(zone model.ZoneName) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.behaviour.Delay == nil {
		return 0
	}
	return u.behaviour.Delay(zone, u.endpoint.Zone())
}

func (u *Upstream) nextServiceTime(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.firstRequest.IsZero() {
		u.firstRequest = now
	}
	factor := 1 + u.behaviour.Jitter*(2*u.random.Float64()-1)
	sinceFirst := now.Sub(u.firstRequest)
	if u.behaviour.ColdFactor > 1 && sinceFirst < u.behaviour.ColdPeriod {
		factor *= u.behaviour.ColdFactor - (u.behaviour.ColdFactor-1)*sinceFirst.Seconds()/u.behaviour.ColdPeriod.Seconds()
	}
	return time.Duration(factor * u.slowFactorAt(now) * float64(u.behaviour.ServiceTime))
}

// slowFactorAt returns the factor of SlowDown, or 1 after its period. The caller
// holds u.mu.
func (u *Upstream) slowFactorAt(now time.Time) float64 {
	if now.Before(u.slowUntil) {
		return u.slowFactor
	}
	return 1
}

// loadHistory holds the changes of the load, oldest first.
type loadHistory []loadSample

type loadSample struct {
	at   time.Time
	busy int
}

func (u *Upstream) recordLoad() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load = append(u.load, loadSample{at: time.Now(), busy: len(u.slots)})
	u.trimLoad()
}

// reportedLoad returns the number of busy slots as it was LoadLag ago.
func (u *Upstream) reportedLoad() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trimLoad()
	if len(u.load) == 0 || u.load[0].at.After(time.Now().Add(-u.behaviour.LoadLag)) {
		return 0
	}
	return u.load[0].busy
}

// trimLoad removes the samples that are too old to be reported. The first
// remaining one is the one to report.
func (u *Upstream) trimLoad() {
	limit := time.Now().Add(-u.behaviour.LoadLag)
	for len(u.load) > 1 && !u.load[1].at.After(limit) {
		u.load = u.load[1:]
	}
}
