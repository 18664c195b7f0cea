package lookup_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"filberthold/config"
	"filberthold/lookup"
	"filberthold/model"

	"gotest.tools/v3/assert"
)

// newDeployment returns a deployment with a number of blocks and sites, 7 hosts
// for each site and 13 availability zones in 4 regions.
func newDeployment(t testing.TB, blocks, sites int) *model.Deployment {
	spec := model.DeploymentSpec{Name: "test", Revision: 1}
	for i := range 13 {
		spec.Zones = append(spec.Zones, model.NewZone(zoneName(i), model.RegionName(fmt.Sprintf("region-%d", i%4))))
	}
	for i := range sites * 7 {
		spec.Hosts = append(spec.Hosts, model.NewHost(model.HostSpec{
			Name: model.HostName(fmt.Sprintf("host-%03d", i)), Zone: zoneName(i % sites % 13), Site: siteName(i % sites),
		}))
	}
	for i := range blocks {
		spec.Blocks = append(spec.Blocks, model.NewBlock(netip.PrefixFrom(addressOf(i), 24), siteName(i%sites)))
	}
	deployment, err := model.NewDeployment(spec)
	assert.NilError(t, err)
	return deployment
}

func zoneName(i int) model.ZoneName { return model.ZoneName(fmt.Sprintf("zone-%02d", i)) }
func siteName(i int) model.SiteName { return model.SiteName(fmt.Sprintf("site-%02d", i)) }

// addressOf returns the first address of block i.
func addressOf(i int) netip.Addr {
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], uint32(i+0x10000)<<8)
	return netip.AddrFrom4(bytes)
}

func usable(model.HostName) lookup.Status { return lookup.Usable }

// Guards against a far host that is listed before a nearer one, an unusable host
// that is listed, a suspect host that is listed before usable ones, and clients
// of a site that all get the same first host.
func TestNearestHostsAreOrderedByDistance(t *testing.T) {
	deployment := newDeployment(t, 96, 26)
	table := lookup.New(deployment, "host-000")
	statuses := map[model.HostName]lookup.Status{"host-001": lookup.Unusable, "host-027": lookup.Suspect}
	distance := func(a, b model.Host) int {
		switch {
		case a.Site() == b.Site():
			return 0
		case a.Zone() == b.Zone():
			return 1
		case deployment.RegionOf(a.Zone()) == deployment.RegionOf(b.Zone()):
			return 2
		default:
			return 3
		}
	}
	firstCounts := make(map[model.HostName]int)
	siteHost, _ := deployment.Host("host-001")
	for i := range 256 {
		client := addressOf(1).As4()
		client[3] = byte(i)
		hosts := table.NearestHosts(netip.AddrFrom4(client), 1000, func(name model.HostName) lookup.Status { return statuses[name] })
		assert.Equal(t, len(hosts), len(deployment.Hosts())-1)
		assert.Equal(t, hosts[len(hosts)-1].Name(), model.HostName("host-027"))
		assert.Assert(t, slices.IsSortedFunc(hosts[:len(hosts)-1], func(a, b model.Host) int { return distance(siteHost, a) - distance(siteHost, b) }))
		assert.Assert(t, !slices.ContainsFunc(hosts, func(host model.Host) bool { return host.Name() == "host-001" }))
		firstCounts[hosts[0].Name()]++
	}
	assert.Equal(t, len(firstCounts), 5)
	for name, count := range firstCounts {
		assert.Assert(t, count > 20, "%s is first for %d of 256 clients", name, count)
	}
	assert.Equal(t, len(table.NearestHosts(addressOf(1), 3, usable)), 3)
}

// Guards against a block hash that differs between clients of a block or is not
// evenly distributed: a shift plan would then move another fraction of the
// traffic than it states.
func TestLocateIsStableAndEvenlySpread(t *testing.T) {
	deployment := newDeployment(t, 4000, 26)
	table := lookup.New(deployment, "host-000")
	lowQuarter := 0
	for i := range 4000 {
		location := table.Locate(addressOf(i))
		host, _ := deployment.Host(model.HostName(fmt.Sprintf("host-%03d", i%26)))
		assert.Equal(t, location.Region(), deployment.RegionOf(host.Zone()))
		assert.Equal(t, location, table.Locate(addressOf(i).Next()))
		if location.BlockHash() < 1<<62 {
			lowQuarter++
		}
	}
	assert.Assert(t, lowQuarter > 900 && lowQuarter < 1100, "%d of 4000 hashes are in the lowest quarter", lowQuarter)
	assert.Equal(t, table.Locate(netip.MustParseAddr("::1")).Region(), model.RegionName("region-0"))
	assert.Equal(t, table.Locate(netip.Addr{}).Region(), model.RegionName("region-0"))
}

// encodeDocument returns the TOML document with the zones, hosts and blocks of a
// deployment.
func encodeDocument(t testing.TB, deployment *model.Deployment) []byte {
	document := config.Document{Name: deployment.Name()}
	for _, zone := range deployment.Zones() {
		document.AvailabilityZones = append(document.AvailabilityZones, config.ZoneDocument{Name: string(zone.Name()), Region: string(zone.Region())})
	}
	for _, host := range deployment.Hosts() {
		document.Hosts = append(document.Hosts, config.HostDocument{
			Name: string(host.Name()), AvailabilityZone: string(host.Zone()), Site: string(host.Site()),
		})
	}
	for _, block := range deployment.Blocks() {
		document.Blocks = append(document.Blocks, config.BlockDocument{Prefix: block.Prefix().String(), Site: string(block.Site())})
	}
	text, err := config.Encode(document)
	assert.NilError(t, err)
	return text
}

// BenchmarkLookup measures lookups, the building and parsing of a table and its
// memory for deployments of three sizes.
func BenchmarkLookup(b *testing.B) {
	for _, size := range []struct{ blocks, sites int }{{32500, 24}, {65000, 48}, {130000, 96}} {
		deployment := newDeployment(b, size.blocks, size.sites)
		table := lookup.New(deployment, "host-000")
		random := rand.New(rand.NewPCG(1, 2))
		clients := make([]netip.Addr, 1<<16)
		for i := range clients {
			clients[i] = addressOf(random.IntN(size.blocks))
		}
		name := fmt.Sprintf("blocks=%d/sites=%d/", size.blocks, size.sites)
		b.Run(name+"locate", func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Locate(clients[i&(len(clients)-1)])
			}
		})
		b.Run(name+"entries", func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.NearestHosts(clients[i&(len(clients)-1)], 8, usable)
			}
		})
		b.Run(name+"build", func(b *testing.B) {
			for b.Loop() {
				lookup.New(deployment, "host-000")
			}
		})
		text := encodeDocument(b, deployment)
		b.Run(name+"parse", func(b *testing.B) {
			for b.Loop() {
				_, err := config.ParseDeployment("test", text, 1)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(text)), "document-bytes")
		})
		b.Run(name+"memory", func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := lookup.New(deployment, "host-000")
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(kept)
			for b.Loop() {
				table.Locate(clients[0])
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "table-bytes")
		})
	}
}
