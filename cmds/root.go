// Package cmds is the command line of filberthold.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
)

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintf(errOut, "error: %v\n", err)
		return exitFailed
	}
	return exitOK
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "filberthold",
		Short:         "Steer requests from callers to upstreams and account for every decision",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newEntryCommand(), newFakePlatformCommand(), newFakeUpstreamsCommand(), newDemoCommand(), newBenchCommand())
	return root
}
