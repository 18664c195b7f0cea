// Package lookup determines which entry hosts a client should use, and its home
// region.
package lookup

import (
	"cmp"
	"net/netip"
	"slices"

	"filberthold/model"

	"github.com/gaissmai/bart"
)

// Prefix lengths of the block of a client that no configured block contains.
const (
	defaultBitsIPv4 = 24
	defaultBitsIPv6 = 48
)

// Table maps client addresses to sites and entry hosts. It is immutable and safe
// for concurrent use. Each revision of the configuration gets a new table.
type Table struct {
	blocks bart.Table[block]
	hosts  []model.Host
	// sites holds each site once. Blocks refer to them by index.
	sites []site
	// fallback is the index of the site of clients that no block contains.
	fallback uint16
}

type block struct {
	hash uint64
	site uint16
}

// site holds the hosts ordered by their distance from one site.
type site struct {
	region model.RegionName
	// order holds the indexes of all hosts, nearest first.
	order []uint16
	// tiers holds the exclusive end indexes in order of the groups of equally
	// near hosts: same site, same availability zone, same region, other regions.
	tiers [tierCount]int
}

const tierCount = 4

// Location is the home region of a client and the hash of its block.
type Location struct {
	region    model.RegionName
	blockHash uint64
}

// Region returns the home region of the client.
func (l Location) Region() model.RegionName { return l.region }

// BlockHash returns a hash of the client block. It is the same at all hosts, and
// the hashes of all blocks are evenly distributed.
func (l Location) BlockHash() uint64 { return l.blockHash }

// New builds the table of a deployment. Clients that no block contains are
// treated as clients of the site of the given host.
func New(deployment *model.Deployment, self model.HostName) *Table {
	table := &Table{}
	for _, host := range deployment.Hosts() {
		if !host.Stopped() {
			table.hosts = append(table.hosts, host)
		}
	}
	indexes := table.addSites(deployment)
	selfHost, _ := deployment.Host(self)
	table.fallback = indexes[selfHost.Site()]
	for _, configured := range deployment.Blocks() {
		index, exists := indexes[configured.Site()]
		if !exists {
			index = table.fallback
		}
		table.blocks.Insert(configured.Prefix(), block{hash: hashPrefix(configured.Prefix()), site: index})
	}
	return table
}

// addSites adds the sites of all hosts and returns their indexes. It includes the
// sites of stopped hosts: the home region of their clients must not change.
func (t *Table) addSites(deployment *model.Deployment) map[model.SiteName]uint16 {
	indexes := make(map[model.SiteName]uint16)
	for _, host := range deployment.Hosts() {
		if _, exists := indexes[host.Site()]; exists {
			continue
		}
		indexes[host.Site()] = uint16(len(t.sites))
		t.sites = append(t.sites, t.orderByDistance(deployment, host))
	}
	return indexes
}

// orderByDistance returns the site of a host with all hosts ordered by their
// distance from it.
func (t *Table) orderByDistance(deployment *model.Deployment, from model.Host) site {
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
	ordered := site{region: region, order: make([]uint16, len(t.hosts))}
	for index := range t.hosts {
		ordered.order[index] = uint16(index)
		for tier := tierOf(uint16(index)); tier < tierCount; tier++ {
			ordered.tiers[tier]++
		}
	}
	slices.SortStableFunc(ordered.order, func(a, b uint16) int { return cmp.Compare(tierOf(a), tierOf(b)) })
	return ordered
}

// Locate returns the home region of a client and the hash of its block.
func (t *Table) Locate(client netip.Addr) Location {
	if len(t.sites) == 0 {
		return Location{}
	}
	found, exists := t.blocks.Lookup(client.Unmap())
	if !exists {
		return Location{region: t.sites[t.fallback].region, blockHash: hashPrefix(defaultBlock(client.Unmap()))}
	}
	return Location{region: t.sites[found.site].region, blockHash: found.hash}
}

func defaultBlock(client netip.Addr) netip.Prefix {
	bits := defaultBitsIPv6
	if client.Is4() {
		bits = defaultBitsIPv4
	}
	prefix, err := client.Prefix(bits)
	if err != nil {
		return netip.Prefix{} // The zero address has no prefix.
	}
	return prefix
}
