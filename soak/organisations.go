package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

// The organisations of the soak: keys of the first one are added and withdrawn, the second
// one has a quota, and the third one may use endpoints of farRegion only.
const (
	rotatingOrganisation = "alder"
	limitedOrganisation  = "birch"
	farOrganisation      = "cedar"
	// forgedName is the name of an organisation that callers send. No host may pass it on.
	forgedName = "forged"
)

const (
	nearZone, nearRegion = "za", "north"
	farZone, farRegion   = "zb", "south"
	// keyedEndpointCount is the number of endpoints for requests with keys in each region.
	keyedEndpointCount = 2
	// keyedCallers is the number of callers with keys. Their load is several times the quota.
	keyedCallers = 3
	// revokeTime is shorter than most faults, so that keys are withdrawn during a fault and
	// used behind the bound while it lasts.
	revokeTime = time.Second
	// minRotation and maxRotation bound the time between two changes of the keys.
	minRotation, maxRotation = 700 * time.Millisecond, 1500 * time.Millisecond
	// usedKeys is the number of withdrawn keys that callers still use.
	usedKeys = 4
)

// Quota of limitedOrganisation, and the bounds that the settings of the hosts add to it.
const (
	quotaPerSecond = 20.0
	quotaBurst     = 10.0
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 20.0
)

// organisations hold the endpoints and the keys of the organisations.
type organisations struct {
	// endpoints are undisturbed, so that all that hosts send to them is recorded. The first
	// keyedEndpointCount are in nearRegion, the others in farRegion.
	endpoints []*fake.Endpoint
	mu        sync.Mutex
	// configs is the number of versions that were written.
	configs int
	// keys holds the keys of rotatingOrganisation, the newest one last.
	keys []rotatingKey
}

// rotatingKey is a key that a version adds and a later one withdraws.
type rotatingKey struct {
	key string
	// addedAt is the time before the version with the key was written.
	addedAt time.Time
	// withdrawnAt is when the version without the key was acknowledged, or zero.
	withdrawnAt time.Time
}

func newOrganisations() *organisations { return &organisations{} }

// keyOf returns the key of an organisation that is never withdrawn.
func keyOf(organisation string) string { return fake.KeyPrefix + organisation }

// rotatingKeyOf returns the key that the change of keys with a number adds.
func rotatingKeyOf(number int) string {
	return fmt.Sprintf("%s%s-%d", fake.KeyPrefix, rotatingOrganisation, number)
}

// steadyKey returns the key that callers send on routes that need none.
func (b *testbed) steadyKey() string {
	if b.organisations == nil {
		return ""
	}
	return keyOf(rotatingOrganisation)
}

// organisationBounds returns the settings of the hosts for organisations, or nil.
func (b *testbed) organisationBounds() *fake.OrganisationBounds {
	if b.organisations == nil {
		return nil
	}
	return &fake.OrganisationBounds{
		Zone: farZone, Region: farRegion, RevokeMs: int(revokeTime.Milliseconds()),
		QuotaWindowS: quotaWindow.Seconds(), QuotaOverage: quotaOverage, QuotaSlack: quotaSlack,
	}
}

func (b *testbed) startKeyedEndpoints() error {
	if b.organisations == nil {
		return nil
	}
	for i := range 2 * keyedEndpointCount {
		endpoint, err := fake.StartEndpoint(fmt.Sprint("u-", i), b.subnet.Address(endpointNumber)+":0")
		if err != nil {
			return fmt.Errorf("add endpoint for requests with keys: %w", err)
		}
		go endpoint.Run()
		b.organisations.endpoints = append(b.organisations.endpoints, endpoint)
		endpoint.SetLatency(endpointLatency / 4)
		zone := nearZone
		if i >= keyedEndpointCount {
			zone = farZone
		}
		b.store.Put(platform.EndpointTable, endpoint.ID(), endpoint.Entry(fake.KeyedService, zone, "ready", 1))
	}
	return nil
}

func (b *testbed) closeKeyedEndpoints() {
	if b.organisations == nil {
		return
	}
	for _, endpoint := range b.organisations.endpoints {
		_ = endpoint.Close()
	}
}

// nextConfig returns the next version of the configuration, with the routes of a version.
// b.configMu is held.
func (b *testbed) nextConfig(routeVersion int) string {
	o := b.organisations
	if o == nil {
		return fake.Config(routeVersion)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configs++
	keys := []string{keyOf(rotatingOrganisation)}
	if len(o.keys) > 0 {
		keys = append(keys, o.keys[len(o.keys)-1].key)
	}
	return fake.ConfigWithOrganisations(o.configs, routeVersion,
		fake.Organisation{Name: rotatingOrganisation, Keys: keys, Priority: 1},
		fake.Organisation{Name: limitedOrganisation, Keys: []string{keyOf(limitedOrganisation)}, Priority: 2, PerSecond: quotaPerSecond, Burst: quotaBurst},
		fake.Organisation{Name: farOrganisation, Keys: []string{keyOf(farOrganisation)}, HomeRegions: []string{farRegion}},
	)
}

// rotateKeys adds and withdraws keys by new versions.
func (b *testbed) rotateKeys(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		b.rotateKey()
		b.sleep(randomBetween(random, minRotation, maxRotation))
	}
}

// rotateKey adds a key and withdraws the one before, and keeps the routes.
func (b *testbed) rotateKey() {
	b.configMu.Lock()
	defer b.configMu.Unlock()
	o := b.organisations
	o.mu.Lock()
	o.keys = append(o.keys, rotatingKey{key: rotatingKeyOf(len(o.keys)), addedAt: time.Now()})
	o.mu.Unlock()
	b.mu.Lock()
	routeVersion := len(b.versions)
	b.mu.Unlock()
	b.store.Put(platform.OperatorTable, platform.ConfigKey, b.nextConfig(routeVersion))
	acknowledgedAt := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if last := len(o.keys) - 1; last > 0 {
		o.keys[last-1].withdrawnAt = acknowledgedAt
	}
}

// keyedRequest is a request with a key that has ended.
type keyedRequest struct {
	attempt, key string
	status       int
	host         *hostProcess
	// sentAt is the time before the request was sent.
	sentAt time.Time
}

// sendKeyed sends requests with keys to all hosts.
func (c *callers) sendKeyed(ctx context.Context, random *rand.Rand, number int) {
	clients, closeClients := c.testbed.newClients()
	defer closeClients()
	for count := 0; ctx.Err() == nil; count++ {
		to := random.IntN(len(clients))
		request := call{
			method: http.MethodGet, path: fmt.Sprintf("/keyed/%d", random.IntN(20)), attempt: fmt.Sprintf("k-%d-%d", number, count),
			key: c.testbed.organisations.drawKey(random), timeout: callerTimeout, patience: maxPatience,
		}
		startedAt := time.Now()
		result := clients[to].send(request)
		c.testbed.count(c.testbed.report.Outcomes, fmt.Sprintf("keyed %d", result.status))
		c.mu.Lock()
		c.keyed = append(c.keyed, keyedRequest{request.attempt, request.key, result.status, c.testbed.hosts[to], startedAt})
		c.mu.Unlock()
		time.Sleep(randomBetween(random, time.Millisecond, 20*time.Millisecond))
	}
}

// drawKey draws a key: of each organisation, one that was withdrawn, one that is not yet
// added, one that no version holds, or none.
func (o *organisations) drawKey(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := len(o.keys) - 1
	switch draw := random.Float64(); {
	case draw < 0.45:
		return keyOf(limitedOrganisation)
	case draw < 0.55:
		return keyOf(farOrganisation)
	case draw < 0.6:
		return keyOf(rotatingOrganisation)
	case draw < 0.92:
		return rotatingKeyOf(max(0, newest-random.IntN(usedKeys+1)))
	case draw < 0.95:
		return rotatingKeyOf(newest + 1)
	case draw < 0.98:
		return keyOf("unknown")
	}
	return ""
}

// keyedArrival is the arrival of a request with a key at an endpoint.
type keyedArrival struct {
	keyedRequest
	fake.Exchange
	region string
}

// checkOrganisations checks what concerns organisations, when no request is on its way.
func (c *callers) checkOrganisations() {
	o := c.testbed.organisations
	arrivals := c.keyedArrivals()
	for _, arrived := range arrivals {
		for _, violation := range []string{
			nameViolation(arrived), o.unknownKeyViolation(arrived), o.withdrawnKeyViolation(arrived), homeViolation(arrived), arrived.refusalViolation(),
		} {
			if violation != "" {
				c.testbed.recordViolation("%s: %s, host %s, sent %s, arrived %s at %s", arrived.attempt, violation,
					arrived.host.settings.Name, arrived.sentAt.Format(logTime), arrived.ArrivedAt.Format(logTime), arrived.ID)
			}
		}
	}
	for _, request := range c.keyed {
		if violation := request.denialViolation(); violation != "" {
			c.testbed.recordViolation("%s: %s, host %s, sent %s", request.attempt, violation, request.host.settings.Name, request.sentAt.Format(logTime))
		}
	}
	c.checkExemptRoutes()
	c.checkQuota(arrivals)
	c.testbed.mu.Lock()
	defer c.testbed.mu.Unlock()
	checked := c.testbed.report.Checked
	checked["requests with keys that ran"] = len(arrivals)
	for _, request := range c.keyed {
		if o.isBeyondWithdrawal(request) {
			checked["requests with keys withdrawn before"]++
		}
	}
}

// keyedArrivals returns all arrivals of requests with keys.
func (c *callers) keyedArrivals() []keyedArrival {
	requests := make(map[string]keyedRequest, len(c.keyed))
	for _, request := range c.keyed {
		requests[request.attempt] = request
	}
	var arrivals []keyedArrival
	for i, endpoint := range c.testbed.organisations.endpoints {
		region := nearRegion
		if i >= keyedEndpointCount {
			region = farRegion
		}
		for _, exchange := range endpoint.Exchanges() {
			if request, exists := requests[exchange.Attempt]; exists {
				arrivals = append(arrivals, keyedArrival{request, exchange, region})
			}
		}
	}
	return arrivals
}

// refusalViolation returns what is wrong with a request that arrived and was refused as not
// run, or nothing.
func (a keyedArrival) refusalViolation() string {
	if isRefusal(a.status) || a.status == http.StatusUnauthorized {
		return fmt.Sprintf("refused as not run (%d), but ran", a.status)
	}
	return ""
}
