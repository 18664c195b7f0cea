package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/quota"
)

const (
	// quotaPerRound bounds the hosts of its region to which a host reports the use of
	// quotas, per round on average, and minQuotaRounds is the least number of rounds
	// between its reports.
	quotaPerRound  = 20
	minQuotaRounds = 3
	// totalsRounds is the number of rounds between the totals of a region for the others.
	totalsRounds = 5
	// maxRegionName bounds the length of the name of a region in a message.
	maxRegionName = 128
	// maxRegionHosts bounds the number of hosts that a message counts.
	maxRegionHosts = 1 << 16
)

// quotaReport tells the recent requests of organisations with a quota: those of the
// sender, or of all hosts of its region.
type quotaReport struct {
	// Host is the sender. It is empty in the totals of a region, and where the datagram
	// has a load report of the sender.
	Host        model.HostName `cbor:"1,keyasint,omitempty"`
	Incarnation int64          `cbor:"2,keyasint,omitempty"`
	// Region and Hosts are the region of the totals, and the number of hosts in them.
	Region model.RegionName `cbor:"3,keyasint,omitempty"`
	Hosts  int              `cbor:"4,keyasint,omitempty"`
	// Entries are encoded by quota.Encode.
	Entries []byte `cbor:"5,keyasint,omitempty"`
}

// check returns an error if the report has a property that applyQuota does not handle.
func (r quotaReport) check(loads *loadReport) error {
	if r.Region == "" && r.Host == "" && (loads == nil || loads.Host == "") {
		return errors.New("sender is missing")
	}
	if len(r.Region) > maxRegionName || r.Hosts < 0 || r.Hosts > maxRegionHosts || (r.Region != "") != (r.Hosts > 0) {
		return errors.New("region is out of range")
	}
	if _, err := quota.Decode(r.Entries); err != nil {
		return fmt.Errorf("decode entries: %w", err)
	}
	return nil
}

// quotaRounds returns the number of rounds between the quota reports to a number of hosts.
func quotaRounds(hosts int) int {
	return max(minQuotaRounds, (hosts+quotaPerRound-1)/quotaPerRound)
}

// quotaReports returns the quota reports for the hosts of the region that are due in a
// round. The first one may be empty: it shows that this host is in contact.
func (t *Transport) quotaReports(round, hosts int) []quotaReport {
	rounds := quotaRounds(hosts)
	if t.callbacks.QuotaReport == nil || hosts == 0 || !isDue(round, rounds) {
		return nil
	}
	entries := t.callbacks.QuotaReport(time.Duration(rounds) * loadRoundInterval)
	if len(entries) == 0 && round/rounds%2 == 1 {
		// A host without requests is heard often enough with every other report.
		return nil
	}
	return divideEntries(quotaReport{}, entries)
}

// divideEntries returns reports with the entries, as many as their size requires.
func divideEntries(report quotaReport, entries []quota.Entry) []quotaReport {
	reports := []quotaReport{report}
	for part := range slices.Chunk(entries, quota.MaxEntries) {
		if last := &reports[len(reports)-1]; last.Entries == nil {
			last.Entries = quota.Encode(part)
			continue
		}
		report.Entries = quota.Encode(part)
		reports = append(reports, report)
	}
	return reports
}

// sendQuotaReports sends reports to hosts of the region that get no load report with them.
func (t *Transport) sendQuotaReports(heartbeat member.Heartbeat, addresses []netip.Addr, reports []quotaReport) {
	for _, report := range reports {
		report.Host, report.Incarnation = heartbeat.Host, heartbeat.Incarnation
		t.sendTo(addresses, datagram{Quota: &report})
	}
}

// sendQuotaTotals sends the totals of the own region to one host of each other region.
func (t *Transport) sendQuotaTotals(round int, region model.RegionName, alive []member.Heartbeat) {
	if t.callbacks.QuotaTotals == nil || !isDue(round, totalsRounds) {
		return
	}
	others := make(map[model.RegionName][]netip.Addr)
	for _, host := range alive {
		if host.Region != region {
			others[host.Region] = append(others[host.Region], host.IP)
		}
	}
	if len(others) == 0 {
		return
	}
	hosts, entries := t.callbacks.QuotaTotals()
	reports := divideEntries(quotaReport{Region: region, Hosts: hosts}, entries)
	for _, addresses := range others {
		to := []netip.Addr{addresses[rand.IntN(len(addresses))]}
		for _, report := range reports {
			t.sendTo(to, datagram{Quota: &report})
		}
	}
}

// applyQuota applies a report that came with a load report, or without.
func (t *Transport) applyQuota(report quotaReport, loads *loadReport) {
	if t.callbacks.ApplyQuota == nil {
		return
	}
	source := quota.Source{Host: report.Host, Incarnation: report.Incarnation, Region: report.Region, Hosts: report.Hosts}
	if report.Region == "" && report.Host == "" {
		source.Host, source.Incarnation = loads.Host, loads.Incarnation
	}
	if entries, err := quota.Decode(report.Entries); err == nil {
		t.callbacks.ApplyQuota(source, entries)
	}
}
