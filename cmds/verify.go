package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"filberthold/audit"
	"filberthold/store"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

func newVerifyCommand() *cobra.Command {
	var address, headsFile string
	var asJSON bool
	command := &cobra.Command{
		Use:   "verify [HOST[/INCARNATION]]",
		Short: "Check the hash chains of the archive for changed, missing or reordered segments",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			prefix := audit.SegmentPrefix
			if len(arguments) == 1 {
				prefix += arguments[0] + "/"
			}
			earlierHeads, err := readHeads(headsFile)
			if err != nil {
				return err
			}
			client := store.NewClient(address)
			defer client.Close()
			reports, err := verifyChains(command.Context(), client, prefix, earlierHeads)
			if err != nil {
				return wrapArchive(err)
			}
			if asJSON {
				if err := writeIndented(command.OutOrStdout(), reports); err != nil {
					return err
				}
			} else {
				printReports(command, reports)
			}
			for _, report := range reports {
				if len(report.Findings) > 0 {
					return errArchiveFaults
				}
			}
			return nil
		},
	}
	addPlatformFlag(command, &address)
	command.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	command.Flags().StringVar(&headsFile, "heads", "", "JSON output of an earlier run, to detect chains whose end was removed")
	return command
}

// readHeads reads the chain heads in the output of an earlier run, by chain.
func readHeads(file string) (map[string]audit.ChainHead, error) {
	heads := make(map[string]audit.ChainHead)
	if file == "" {
		return heads, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read heads: %w", err)
	}
	var reports []audit.Report
	if err := json.Unmarshal(text, &reports); err != nil {
		return nil, oops.Code("invalidHeads").Hint("give the output of filberthold verify --json").Wrapf(err, "parse %s", file)
	}
	for _, report := range reports {
		heads[chainName(report.Head)] = report.Head
	}
	return heads, nil
}

// chainName returns the name of the chain of a head: the host and its
// incarnation.
func chainName(head audit.ChainHead) string { return string(head.Host) + "/" + head.Incarnation }

// verifyChains verifies the chains with a prefix against the heads of an earlier
// run and returns a report for each.
func verifyChains(ctx context.Context, source audit.ArchiveReader, prefix string, earlierHeads map[string]audit.ChainHead) ([]audit.Report, error) {
	chains, err := audit.ListChains(ctx, source, prefix)
	if err != nil {
		return nil, err
	}
	reports := []audit.Report{}
	for _, names := range chains {
		verifier := audit.NewVerifier()
		for _, name := range names {
			body, err := source.Object(ctx, name)
			if err != nil {
				return nil, fmt.Errorf("read segment: %w", err)
			}
			if err := verifier.AddSegment(audit.SegmentObject{Name: name, Body: body}); err != nil {
				return nil, err
			}
		}
		report, err := verifier.Report(takeHead(earlierHeads, names[0]))
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	if prefix != audit.SegmentPrefix {
		return reports, nil
	}
	return appendMissingChains(reports, earlierHeads)
}

// takeHead removes and returns the earlier head of a segment's chain, or nil.
func takeHead(earlierHeads map[string]audit.ChainHead, segment string) *audit.ChainHead {
	chain := strings.TrimPrefix(segment[:strings.LastIndex(segment, "/")], audit.SegmentPrefix)
	head, exists := earlierHeads[chain]
	if !exists {
		return nil
	}
	delete(earlierHeads, chain)
	return &head
}

// appendMissingChains adds reports for the chains of the earlier run that are
// no longer in the archive.
func appendMissingChains(reports []audit.Report, earlierHeads map[string]audit.ChainHead) ([]audit.Report, error) {
	for _, chain := range slices.Sorted(maps.Keys(earlierHeads)) {
		head := earlierHeads[chain]
		report, err := audit.Verify(nil, &head)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func printReports(command *cobra.Command, reports []audit.Report) {
	for _, report := range reports {
		end := "open: the host runs, has crashed, or the end was removed"
		if report.Closed {
			end = "closed"
		}
		command.Printf("%s  %d segments, %d records, %d dropped, %s\n", chainName(report.Head),
			report.Head.Segment, report.Records, report.Dropped, end)
		for _, finding := range report.Findings {
			command.Printf("  %s: %s: %s\n", finding.Segment, finding.Fault, finding.Detail)
		}
	}
}
