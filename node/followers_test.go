package node

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/relay"
	"filberthold/roster"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fleetModel is a few hosts that read one store and follow each other, and what the store
// has.
type fleetModel struct {
	hosts []*replicaTest
	// store is the host through which the test writes to the store.
	store *replicaTest
	// version is the version of the store at the last read.
	version platform.Version
	// config is the version of the configuration.
	config int
	// zones are the evacuated availability zones.
	zones map[model.ZoneName]bool
	// states are the states of the endpoints by key.
	states   map[string]string
	sequence int
}

func newFleetModel(t *testing.T) *fleetModel {
	t.Helper()
	first := newReplicaTest(t)
	m := &fleetModel{store: first, config: 1, zones: make(map[model.ZoneName]bool), states: map[string]string{"i-1": "ready"}, sequence: 1}
	m.hosts = []*replicaTest{first, first.beside(), first.beside(), first.beside()}
	for _, host := range m.hosts {
		// No host has a grace period: the store is never away.
		host.replica.heartbeatInterval = time.Hour
		// A read waits for no change.
		host.intervals.operator.readInterval = 0
		m.read(host)
	}
	return m
}

// read reads both tables from the store.
func (m *fleetModel) read(host *replicaTest) {
	host.readOperator()
	host.readEndpoints()
	m.version = host.replica.operator.Version()
}

// follow applies what a host gets from another one to both tables.
func (m *fleetModel) follow(host, source *replicaTest) {
	operator, _ := source.replica.operator.Since(host.replica.operator.Version())
	endpoints, _ := source.replica.endpoints.Since(host.replica.endpoints.Version())
	host.replica.applyUpdate(relay.Update{Operator: operator, Endpoints: endpoints, ReceivedAt: time.Now()}, "source")
}

// draw returns a random host.
func (m *fleetModel) draw(r *rapid.T, label string) *replicaTest {
	return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(r, label)]
}

// write makes a random write.
func (m *fleetModel) write(r *rapid.T) {
	key := rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(r, "endpoint")
	zone := rapid.SampledFrom([]model.ZoneName{"za", "zb"}).Draw(r, "zone")
	switch rapid.IntRange(0, 4).Draw(r, "write") {
	case 0:
		m.config++
		m.store.putConfigs(m.config, m.config)
	case 1:
		m.zones[zone] = true
		m.store.store.Put(platform.OperatorTable, "evacuate/"+string(zone), "{}")
	case 2:
		delete(m.zones, zone)
		m.store.store.Remove(platform.OperatorTable, "evacuate/"+string(zone))
	case 3:
		m.sequence++
		m.states[key] = rapid.SampledFrom([]string{"ready", "draining"}).Draw(r, "state")
		m.store.store.Put(platform.EndpointTable, key, entryOf(m.states[key], fmt.Sprint(m.sequence)))
	case 4:
		delete(m.states, key)
		m.store.store.Remove(platform.EndpointTable, key)
	}
}

// statesOf returns the states of the endpoints that a host has.
func statesOf(r *rapid.T, host *replicaTest) map[string]string {
	changes, _ := host.replica.endpoints.Since(platform.Version{})
	states := make(map[string]string)
	for _, row := range changes.Rows {
		if row.IsRemoved {
			continue
		}
		entry, err := platform.DecodeEntry(row)
		assert.NilError(r, err)
		states[row.Key] = entry.State.String()
		assert.Equal(r, host.core.ApplyEntry(entry), roster.Unchanged)
	}
	return states
}

// check requires each host that has the version of the store to have its rows.
func (m *fleetModel) check(r *rapid.T) {
	for _, host := range m.hosts {
		if host.replica.operator.Version() == m.version {
			assert.Equal(r, host.configVersion(), uint64(m.config))
			assert.DeepEqual(r, host.evacuatedZones(), m.zones)
		}
		if host.replica.endpoints.Version() == m.version {
			assert.DeepEqual(r, statesOf(r, host), m.states)
		}
	}
}

// Guards against a host that has a version of the store and lacks a change before it,
// whichever hosts it followed, with any of them reading several changes at once.
func TestHostHasAllChangesBeforeItsVersion(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newFleetModel(t)
		for range rapid.IntRange(1, 20).Draw(r, "rounds") {
			for range rapid.IntRange(1, 3).Draw(r, "writes") {
				m.write(r)
			}
			if rapid.IntRange(0, 9).Draw(r, "history") == 0 {
				m.store.store.DropHistory()
			}
			m.read(m.draw(r, "reader"))
			for range rapid.IntRange(0, 4).Draw(r, "polls") {
				m.follow(m.draw(r, "follower"), m.draw(r, "source"))
			}
			m.check(r)
		}
	})
}
