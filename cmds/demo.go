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
		Short: "Run a deployment in one process, stop parts of it and report the outcome",
		Long: "Starts a fake platform, the fake upstreams of a deployment and several entry hosts on\n" +
			"loopback, sends a mixed load, stops an upstream endpoint and an entry host under load, and\n" +
			"prints what callers received and what upstreams executed. The exit code is 1 if a request was\n" +
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
	flags.DurationVar(&options.Duration, "duration", 12*time.Second, "duration of the load")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load")
	flags.BoolVar(&options.JSON, "json", false, "write the report as JSON")
	flags.BoolVar(&showLog, "log", false, "write the log of the entry hosts to standard error")
	return command
}
