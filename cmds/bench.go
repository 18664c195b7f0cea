package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"filberthold/bench"
	"filberthold/config"

	"github.com/spf13/cobra"
)

func newBenchCommand() *cobra.Command {
	experiment := bench.Experiment{}
	var policies, scenarios []string
	var asJSON, showLog bool
	command := &cobra.Command{
		Use:   "bench",
		Short: "Measure placement policies with fake upstreams of a deployment, with one seed",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, name := range scenarios {
				scenario, err := bench.ParseScenario(name)
				if err != nil {
					return fmt.Errorf("parse scenarios: %w", err)
				}
				experiment.Scenarios = append(experiment.Scenarios, scenario)
			}
			for _, name := range policies {
				policy := config.PlacementMode(name)
				if !slices.Contains([]config.PlacementMode{config.Steered, config.RoundRobin, config.Random}, policy) {
					return fmt.Errorf("unknown policy %q: want steered, roundRobin or random", name)
				}
				experiment.Policies = append(experiment.Policies, policy)
			}
			experiment.Progress, experiment.Log = command.ErrOrStderr(), io.Discard
			if showLog {
				experiment.Log = command.ErrOrStderr()
			}
			runs, err := experiment.Run(command.Context())
			if err != nil {
				return fmt.Errorf("run experiment: %w", err)
			}
			if asJSON {
				encoder := json.NewEncoder(command.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(runs)
			}
			return bench.WriteTable(command.OutOrStdout(), runs)
		},
	}
	flags := command.Flags()
	flags.StringVar(&experiment.Deployment, "deployment", "hlukodenik", "hlukodenik or guild")
	flags.DurationVar(&experiment.Duration, "duration", 10*time.Second, "duration of the load in each run")
	flags.Uint64Var(&experiment.Seed, "seed", 1, "seed of the load and the service times")
	flags.StringSliceVar(&policies, "policy", []string{"steered", "roundRobin", "random"}, "placement policies")
	flags.StringSliceVar(&scenarios, "scenario", []string{"calm", "exports", "stragglers", "drain"}, "scenarios")
	flags.BoolVar(&asJSON, "json", false, "write the results as JSON")
	flags.BoolVar(&showLog, "log", false, "write the log of the entry hosts to standard error")
	return command
}
