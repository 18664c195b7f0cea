package cmds

import (
	"errors"
	"fmt"
	"os"
	"time"

	"filberthold/replay"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

// errDecisionsDiffer is returned when a replayed decision differs from the
// recorded one.
var errDecisionsDiffer = errors.New("decisions differ from the trace")

func newReplayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay TRACE",
		Short: "Replay a recorded trace and report every decision that differs",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := os.Open(arguments[0])
			if err != nil {
				return fmt.Errorf("open trace: %w", err)
			}
			defer file.Close()
			result, err := replay.Run(file)
			for _, difference := range result.Differences {
				command.Printf("event %d at %s (%s)\n  recorded: %s\n  decided:  %s\n", difference.Event,
					difference.At.UTC().Format(time.RFC3339Nano), difference.Kind, difference.Recorded, difference.Replayed)
			}
			command.Printf("%d events, %d decisions, %d differences\n", result.Events, result.Decisions, len(result.Differences))
			if err != nil {
				return oops.Code("invalidTrace").Hint("a trace that was not closed lacks its last second").Wrapf(err, "replay %s", arguments[0])
			}
			if len(result.Differences) > 0 {
				return errDecisionsDiffer
			}
			return nil
		},
	}
}
