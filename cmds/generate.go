package cmds

import (
	"fmt"
	"os"
	"time"

	"filberthold/model"
	"filberthold/quest"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

func newGenerateCommand() *cobra.Command {
	var outFile string
	command := &cobra.Command{
		Use:   "generate ANSWERS",
		Short: "Generate the configuration of a deployment from the answers to the questionnaire",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			text, err := os.ReadFile(arguments[0])
			if err != nil {
				return fmt.Errorf("read answers: %w", err)
			}
			answers, err := quest.Parse(arguments[0], text)
			if err != nil {
				return wrapInvalid(err)
			}
			generated, err := quest.Generate(answers)
			if err != nil {
				return wrapInvalid(err)
			}
			return writeDocument(command, outFile, generated)
		},
	}
	command.Flags().StringVar(&outFile, "out", "", "file for the configuration; the default is standard output")
	return command
}

// writeDocument writes a configuration to a file, or to standard output if file
// is empty.
func writeDocument(command *cobra.Command, file string, text []byte) error {
	if file == "" {
		if _, err := command.OutOrStdout().Write(text); err != nil {
			return fmt.Errorf("write configuration: %w", err)
		}
		return nil
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}

// planFlags holds the flags of the plan command.
type planFlags struct {
	answersFile, outFile, start string
	shift                       quest.Shift
}

func newPlanCommand() *cobra.Command {
	var plan planFlags
	command := &cobra.Command{
		Use:       "plan drain|move",
		Short:     "Add a drain or a move to the answers and generate the configuration",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{string(model.Drain), string(model.Move)},
		RunE: func(command *cobra.Command, arguments []string) error {
			return plan.run(command, model.PlanKind(arguments[0]))
		},
	}
	flags := command.Flags()
	flags.StringVar(&plan.answersFile, "answers", "", "answers to the questionnaire; the plan is added to this file")
	flags.StringVar(&plan.outFile, "out", "", "file for the configuration; the default is standard output")
	flags.StringVar(&plan.shift.Name, "name", "", "name of the plan")
	flags.StringVar(&plan.shift.Service, "service", "", "service whose traffic moves")
	flags.StringVar(&plan.shift.From, "from", "", "region that the traffic leaves")
	flags.StringVar(&plan.shift.To, "to", "", "region that receives the traffic; optional for a drain")
	flags.StringVar(&plan.start, "start", "", "time at which the shift begins (RFC 3339)")
	flags.Float64Var(&plan.shift.PercentPerMinute, "rate", 5, "percentage of the traffic that moves each minute")
	flags.IntVar(&plan.shift.AtMostPercent, "cap", 100, "maximum percentage of the traffic that moves")
	for _, name := range []string{"answers", "name", "service", "from", "start"} {
		_ = command.MarkFlagRequired(name)
	}
	return command
}

func (f *planFlags) run(command *cobra.Command, kind model.PlanKind) error {
	start, err := time.Parse(time.RFC3339, f.start)
	if err != nil {
		return oops.Code("invalidStart").Hint("give a time with a zone, as in 2026-03-01T22:00:00Z").Wrapf(err, "parse start")
	}
	f.shift.Start = start.UTC()
	text, err := os.ReadFile(f.answersFile)
	if err != nil {
		return fmt.Errorf("read answers: %w", err)
	}
	extended, answers, err := quest.AddShift(f.answersFile, text, kind, f.shift)
	if err != nil {
		return wrapInvalid(err)
	}
	generated, err := quest.Generate(answers)
	if err != nil {
		return wrapInvalid(err)
	}
	// The answers are written only after a configuration was generated from them.
	if err := os.WriteFile(f.answersFile, extended, 0o644); err != nil {
		return fmt.Errorf("write answers: %w", err)
	}
	return writeDocument(command, f.outFile, generated)
}
