package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"filberthold/soak"

	"github.com/spf13/cobra"
)

// errGuaranteeViolated is returned when a soak run violated a guarantee to
// callers.
var errGuaranteeViolated = errors.New("a promise was broken")

func newSoakCommand() *cobra.Command {
	options := soak.Options{Log: io.Discard}
	var showLog bool
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run hosts as processes, inject faults at random and check the guarantees to callers",
		Long: "Runs this program as several hosts on loopback addresses with a fake store and fake endpoints,\n" +
			"injects faults such as kills, pauses and stops at random, and writes a report as JSON: outcomes\n" +
			"and faults by name, and each violated guarantee. The exit code is 1 if there is one.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var err error
			if options.EndpointProgram, err = os.Executable(); err != nil {
				return fmt.Errorf("find own program: %w", err)
			}
			if options.Program == "" {
				options.Program = options.EndpointProgram
			}
			if options.Directory, err = os.MkdirTemp("", "soak"); err != nil {
				return fmt.Errorf("make directory for settings: %w", err)
			}
			defer func() { _ = os.RemoveAll(options.Directory) }()
			if showLog {
				options.Log = command.ErrOrStderr()
			}
			report, err := soak.Run(command.Context(), options)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(command.OutOrStdout())
			encoder.SetIndent("", "  ")
			if err := encoder.Encode(report); err != nil {
				return fmt.Errorf("write report: %w", err)
			}
			if len(report.Violations) > 0 {
				return errGuaranteeViolated
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the faults and of the load")
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "duration of the fault injection")
	flags.IntVar(&options.Hosts, "hosts", 4, "number of hosts")
	flags.StringVar(&options.Subnet, "subnet", "", "first three numbers of the loopback addresses, as in 127.0.9 (default: a free subnet)")
	flags.StringVar(&options.Program, "program", "", "program under test (default: this one)")
	flags.BoolVar(&showLog, "log", false, "write the log of the hosts to standard error")
	return command
}
