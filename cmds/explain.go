package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"filberthold/audit"
	"filberthold/place"
	"filberthold/store"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

// addPlatformFlag adds the required flag for the platform's address.
func addPlatformFlag(command *cobra.Command, address *string) {
	command.Flags().StringVar(address, "platform", "", "IP address and TCP port of the platform")
	_ = command.MarkFlagRequired("platform")
}

func newExplainCommand() *cobra.Command {
	var address, host string
	var asJSON bool
	command := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Explain from the archive how a request was handled",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client := store.NewClient(address)
			defer client.Close()
			prefix := audit.SegmentPrefix
			if host != "" {
				prefix += host + "/"
			}
			request := place.RequestID(arguments[0])
			records, err := audit.Find(command.Context(), client, prefix, request)
			if err != nil {
				return wrapArchive(err)
			}
			explanation, err := audit.Explain(records, request)
			if err != nil {
				return fmt.Errorf("explain: %w", err)
			}
			if asJSON {
				return writeIndented(command.OutOrStdout(), explanation)
			}
			return explanation.Render(command.OutOrStdout())
		},
	}
	addPlatformFlag(command, &address)
	command.Flags().StringVar(&host, "host", "", "entry host that handled the request; only its part of the archive is read")
	command.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	return command
}

// wrapArchive adds a hint to an error of a command that reads the archive.
func wrapArchive(err error) error {
	if errors.Is(err, audit.ErrNoRecord) {
		return oops.Code("requestNotFound").
			Hint("the identifier is the Filberthold-Request header of the response; the host stores records within 10 s").
			Wrapf(err, "find request")
	}
	return oops.Code("archiveUnreadable").Hint("give the platformAddress of a host's settings; see docs/operators/platform-down.md").
		Wrapf(err, "read archive")
}

func writeIndented(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// errArchiveFaults is returned when the verification of a chain fails.
var errArchiveFaults = errors.New("the archive has faults")
