package cmds

import (
	"io"
	"time"

	"filberthold/demo"

	"github.com/spf13/cobra"
)

func newDemoCommand() *cobra.Command {
	options := demo.Options{Log: io.Discard}
	var showLog bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a deployment in one process, disturb it and report what happened",
		Long: "Starts a platform stand-in, the upstream stand-ins of a deployment and several entry hosts\n" +
			"on loopback, sends a mixed load, stops an upstream endpoint and an entry host on the way, and\n" +
			"prints what callers got and what upstreams executed. The exit code is 1 if anything was\n" +
			"doubled, lost, truncated or falsely refused as not run.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if showLog {
				options.Log = command.ErrOrStderr()
			}
			return demo.Run(command.Context(), options, command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Deployment, "deployment", "hlukodenik", "hlukodenik or guild")
	flags.DurationVar(&options.Duration, "duration", 12*time.Second, "how long requests arrive")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load")
	flags.BoolVar(&options.JSON, "json", false, "write the report as JSON")
	flags.BoolVar(&showLog, "log", false, "write the log of the entry hosts to standard error")
	return command
}
