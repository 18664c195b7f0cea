// Package lookup answers which entry hosts a client should use and where its
// home is.
package lookup

import (
	"cmp"
	"net/netip"
	"slices"

	"filberthold/model"

	"github.com/gaissmai/bart"
)

// Bits of the prefixes that stand for the block of a client that no configured
// block covers.
const (
	defaultBits4 = 24
	defaultBits6 = 48
)

// Table maps client addresses to sites and entry hosts. It is immutable and
// safe for concurrent use; a new revision gets a new table.
type Table struct {
	blocks bart.Table[block]
	hosts  []model.Host
	// sites holds each site once; blocks refer to them by index.
	sites []site
	// fallback is the index of the site for clients without a block.
	fallback uint16
}

type block struct {
	hash uint64
	site uint16
}

// site holds the hosts as seen from one site.
type site struct {
	region model.RegionName
	// order holds the indexes of all hosts, nearest first.
	order []uint16
	// tiers holds the ends of the groups of equally near hosts in order: same
	// site, same availability zone, same region, other regions. It ascends.
	tiers [tierCount]int
}

const tierCount = 4

// Location is where a client belongs.
type Location struct {
	region    model.RegionName
	blockHash uint64
}

// Region returns the home region of the client.
func (l Location) Region() model.RegionName { return l.region }

// BlockHash returns a hash of the client block, which is the same at all hosts
// and evenly spread over all values.
func (l Location) BlockHash() uint64 { return l.blockHash }

// New builds the table of a deployment. Clients that no block covers are
// treated like those of the site of the given host.
func New(deployment *model.Deployment, self model.HostName) *Table {
	table := &Table{}
	for _, host := range deployment.Hosts() {
		if !host.Stopped() {
			table.hosts = append(table.hosts, host)
		}
	}
	indexes := table.addSites(deployment)
	own, _ := deployment.Host(self)
	table.fallback = indexes[own.Site()]
	for _, configured := range deployment.Blocks() {
		index, exists := indexes[configured.Site()]
		if !exists {
			index = table.fallback
		}
		table.blocks.Insert(configured.Prefix(), block{hash: hashOf(configured.Prefix()), site: index})
	}
	return table
}

// addSites adds the sites of all hosts, also of stopped ones, so that the home
// region of their clients does not change.
func (t *Table) addSites(deployment *model.Deployment) map[model.SiteName]uint16 {
	indexes := make(map[model.SiteName]uint16)
	for _, host := range deployment.Hosts() {
		if _, exists := indexes[host.Site()]; exists {
			continue
		}
		indexes[host.Site()] = uint16(len(t.sites))
		t.sites = append(t.sites, t.seenFrom(deployment, host))
	}
	return indexes
}

// seenFrom orders the hosts by their distance from the site of a host.
func (t *Table) seenFrom(deployment *model.Deployment, from model.Host) site {
	region := deployment.RegionOf(from.Zone())
	tierOf := func(index uint16) int {
		host := t.hosts[index]
		switch {
		case host.Site() == from.Site():
			return 0
		case host.Zone() == from.Zone():
			return 1
		case deployment.RegionOf(host.Zone()) == region:
			return 2
		default:
			return 3
		}
	}
	seen := site{region: region, order: make([]uint16, len(t.hosts))}
	for index := range t.hosts {
		seen.order[index] = uint16(index)
		for tier := tierOf(uint16(index)); tier < tierCount; tier++ {
			seen.tiers[tier]++
		}
	}
	slices.SortStableFunc(seen.order, func(a, b uint16) int { return cmp.Compare(tierOf(a), tierOf(b)) })
	return seen
}

// Locate returns where a client belongs.
func (t *Table) Locate(client netip.Addr) Location {
	if len(t.sites) == 0 {
		return Location{}
	}
	found, exists := t.blocks.Lookup(client.Unmap())
	if !exists {
		return Location{region: t.sites[t.fallback].region, blockHash: hashOf(defaultBlock(client.Unmap()))}
	}
	return Location{region: t.sites[found.site].region, blockHash: found.hash}
}

func defaultBlock(client netip.Addr) netip.Prefix {
	bits := defaultBits6
	if client.Is4() {
		bits = defaultBits4
	}
	prefix, err := client.Prefix(bits)
	if err != nil {
		return netip.Prefix{} // The zero address has no prefix.
	}
	return prefix
}
