package gossip

import (
	"context"
	"net/netip"
	"time"

	"filberthold/member"
	"filberthold/steer"
)

// loadReportLoop sends load reports to the hosts that are alive until ctx ends.
func (t *Transport) loadReportLoop(ctx context.Context) error {
	ticker := time.NewTicker(loadRoundInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		t.sendLoadReports(round)
	}
}

func (t *Transport) sendLoadReports(round int) {
	heartbeat := t.callbacks.Heartbeat()
	var sameRegion, otherRegions []netip.Addr
	hosts := t.Alive()
	for _, alive := range hosts {
		if alive.Region == heartbeat.Region {
			sameRegion = append(sameRegion, alive.IP)
			continue
		}
		otherRegions = append(otherRegions, alive.IP)
	}
	quotas := t.quotaReports(round, len(sameRegion))
	if rounds := loadReportRounds(len(sameRegion), sameRegionPerRound, 1); isDue(round, rounds) {
		isFull := isFullReportDue(round, rounds)
		// One datagram with both is smaller than two.
		if t.sendLoadReport(heartbeat, sameRegion, t.callbacks.Loads(isFull), isFull, quotas) && len(quotas) > 0 {
			quotas = quotas[1:]
		}
	}
	t.sendQuotaReports(heartbeat, sameRegion, quotas)
	t.sendQuotaTotals(round, heartbeat.Region, hosts)
	if rounds := loadReportRounds(len(otherRegions), otherRegionsPerRound, minOtherRegionsRounds); isDue(round, rounds) {
		t.sendLoadReport(heartbeat, otherRegions, t.callbacks.Loads(true), true, nil)
	}
}

// sendLoadReport sends a report that has news, with the first of the quota reports, and
// reports whether it did.
func (t *Transport) sendLoadReport(heartbeat member.Heartbeat, addresses []netip.Addr, loads []steer.Load, isFull bool, quotas []quotaReport) bool {
	limits, retries := t.callbacks.LimitNews(), t.callbacks.RetryNews()
	if len(loads) == 0 && len(limits) == 0 && len(retries) == 0 && !isFull {
		return false
	}
	report := &loadReport{Host: heartbeat.Host, Incarnation: heartbeat.Incarnation, IsFull: isFull, Limits: limits, Retries: retries}
	for _, load := range loads {
		report.Endpoints = append(report.Endpoints, load.Endpoint)
		report.Counts = append(report.Counts, load.Count)
	}
	message := datagram{Loads: report}
	if len(quotas) > 0 {
		message.Quota = &quotas[0]
	}
	t.sendTo(addresses, message)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detector.RecordSent(addresses, time.Now())
	return true
}

func (t *Transport) applyLoads(report loadReport, from netip.Addr) {
	t.mu.Lock()
	run := member.Run{Host: report.Host, Incarnation: report.Incarnation}
	sends := t.detector.Touch(run, from, t.own, time.Now())
	t.mu.Unlock()
	t.send(sends)
	loads := make([]steer.Load, len(report.Endpoints))
	for i, endpoint := range report.Endpoints {
		loads[i] = steer.Load{Endpoint: endpoint, Count: report.Counts[i]}
	}
	t.callbacks.ApplyLoads(report.Host, loads, report.IsFull)
	for _, news := range report.Limits {
		t.callbacks.ApplyLimitNews(news)
	}
	t.callbacks.ApplyRetryNews(run, report.Retries)
}
