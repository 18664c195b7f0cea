// Package cmds implements the command line of filberthold.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"filberthold/config"
	"filberthold/platform"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

// Exit codes of the program. They are documented in
// docs/operators/exit-codes.md.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitInvalid = 3
)

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	// Errors before a command starts are errors of its flags and arguments.
	hasStarted := false
	root.PersistentPreRunE = func(command *cobra.Command, _ []string) error {
		if err := command.ValidateRequiredFlags(); err != nil {
			return fmt.Errorf("check flags: %w", err)
		}
		if err := command.ValidateFlagGroups(); err != nil {
			return fmt.Errorf("check flags: %w", err)
		}
		hasStarted = true
		return nil
	}
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.ExecuteContext(ctx); err != nil {
		printError(errOut, err)
		return exitCode(err, hasStarted)
	}
	return exitOK
}

// errUsage is returned for flags whose values cannot be used.
var errUsage = errors.New("usage")

func exitCode(err error, hasStarted bool) int {
	var invalid *config.InvalidError
	var invalidSettings *platform.SettingsError
	switch {
	case !hasStarted, errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &invalid), errors.As(err, &invalidSettings):
		return exitInvalid
	}
	return exitFailed
}

func printError(out io.Writer, err error) {
	_, _ = fmt.Fprintf(out, "error: %v\n", err)
	if withHint, ok := oops.AsOops(err); ok && withHint.Hint() != "" {
		_, _ = fmt.Fprintf(out, "hint: %s\n", withHint.Hint())
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "filberthold",
		Short:         "Distribute requests from callers over upstreams and record every decision",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newEntryCommand(), newServeCommand(), newFakePlatformCommand(), newFakeUpstreamsCommand(), newDemoCommand(), newBenchCommand(), newSoakCommand(), newSoakEndpointCommand(),
		newExplainCommand(), newRouteCommand(), newVerifyCommand(), newReplayCommand(), newCheckCommand(),
		newGenerateCommand(), newPlanCommand(), newLookupCommand(), newStatusCommand(),
		newPublishCommand(), newRevisionCommand(), newVersionCommand())
	return root
}
