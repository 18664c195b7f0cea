package cmds

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"filberthold/proxy"
)

// renderExplanation writes an explanation for people.
func renderExplanation(out io.Writer, explained proxy.Explanation) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, arguments ...any) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, arguments...))
	}
	row("at", "%s", explained.At.Format(time.RFC3339Nano))
	if explained.Configuration != "" {
		row("configuration", "%s", explained.Configuration)
	}
	if route := explained.Route; route != nil {
		row("route", "%s", describeRoute(*route))
	}
	if explained.Organisation != "" {
		row("organisation", "%s", explained.Organisation)
	}
	if quota := explained.Quota; quota != nil {
		row("quota", "%.4g requests/s, burst %.4g; %.1f of %.4g left for the hosts in contact, which have %.0f%% of the limit; offered %.3g/s here and %.3g/s at others",
			quota.PerSecond, quota.Burst, quota.Level, quota.Capacity, 100*quota.Group, quota.OwnRate, quota.OthersRate)
	}
	if len(explained.Shares) > 0 {
		row("split", "%s", describeShares(explained.Shares))
	}
	if explained.Service != "" {
		row("service", "%s", explained.Service)
	}
	if region := explained.Region; region != nil {
		row("region", "%s (this host is in %s): %s", orNone(string(region.Planned)), region.Own, region.Reason)
	}
	row("outcome", "%s", describeOutcome(explained.Outcome))
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	return renderCandidates(out, explained)
}

func renderCandidates(out io.Writer, explained proxy.Explanation) error {
	if len(explained.Candidates) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nendpoint\tzone\tregion\tdistance\tload\texpected\trank\t")
	for _, each := range explained.Candidates {
		verdict := each.PassedOver
		if each.IsChosen {
			verdict = "chosen"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.0f ms\t%.1f/%d\t%.0f ms\t%d\t%s\n",
			each.Endpoint, each.Zone, each.Region, each.DistanceMs, each.Load, each.Slots, each.ExpectedMs, each.Rank, verdict)
	}
	for _, reason := range slices.Sorted(maps.Keys(explained.Others)) {
		_, _ = fmt.Fprintf(table, "%d others\t\t\t\t\t\t\t%s\n", explained.Others[reason], reason)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write candidates: %w", err)
	}
	return nil
}

func describeRoute(route proxy.ExplainedRoute) string {
	description := fmt.Sprintf("%s: %s%s, class %s", route.Name, route.Domain, route.Prefix, route.Class)
	if !route.HasAffinity {
		description += ", without affinity"
	}
	if route.IsExempt {
		description += ", needs no key"
	}
	for i, region := range route.Regions {
		separator := " and "
		if i == 0 {
			separator = ", only in "
		}
		description += separator + string(region)
	}
	return description
}

func describeShares(shares []proxy.ExplainedShare) string {
	total := 0.0
	for _, share := range shares {
		total += share.Weight
	}
	var parts []string
	for _, share := range shares {
		parts = append(parts, fmt.Sprintf("%s %.3g%%", share.Service, 100*share.Weight/max(total, 1e-9)))
	}
	return strings.Join(parts, ", ")
}

func describeOutcome(outcome proxy.ExplainedOutcome) string {
	switch outcome.Action {
	case proxy.ActionSend:
		description := "sent to " + string(outcome.Endpoint)
		if outcome.PermitOwner != "" {
			description += fmt.Sprintf(", if host %s grants a permit for this limited endpoint", outcome.PermitOwner)
		}
		return description
	case proxy.ActionWait:
		description := fmt.Sprintf("waits for a slot for up to %.0f ms with %d requests ahead", outcome.MaxWaitMs, outcome.Ahead)
		if outcome.ExpectedWaitMs > 0 {
			description += fmt.Sprintf(", expected %.0f ms", outcome.ExpectedWaitMs)
		}
		return description + ": " + outcome.Reason
	}
	description := fmt.Sprintf("refused with %d %s", outcome.Status, http.StatusText(outcome.Status))
	if outcome.RetryAfter > 0 {
		description += fmt.Sprintf(", Retry-After %.3f s", outcome.RetryAfter)
	}
	description += ": " + outcome.Reason
	if outcome.MaxWaitMs > 0 {
		description += fmt.Sprintf(" (%d requests ahead, expected wait %.0f ms, at most %.0f ms)", outcome.Ahead, outcome.ExpectedWaitMs, outcome.MaxWaitMs)
	}
	return description
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
