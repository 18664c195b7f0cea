package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"

	"filberthold/common"
	"filberthold/config"
	"filberthold/entry"
	"filberthold/model"
	"filberthold/replay"

	"github.com/spf13/cobra"
)

func newEntryCommand() *cobra.Command {
	var settingsFile, traceFile string
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry host until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			text, err := os.ReadFile(settingsFile)
			if err != nil {
				return fmt.Errorf("read settings: %w", err)
			}
			settings, err := config.ParseSettings(settingsFile, text)
			if err != nil {
				return wrapInvalid(err)
			}
			base, err := common.NewBase(settings, command.ErrOrStderr())
			if err != nil {
				return fmt.Errorf("set up logging: %w", err)
			}
			host := entry.NewHost(base)
			if traceFile == "" {
				return host.Run(command.Context())
			}
			return runTraced(command.Context(), host, settings, traceFile)
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "entry.toml", "settings file of this host (TOML)")
	command.Flags().StringVar(&traceFile, "trace", "", "file for a trace of all decisions, for filberthold replay")
	return command
}

// runTraced runs a host and writes a trace of its decisions.
func runTraced(ctx context.Context, host *entry.Host, settings config.Settings, traceFile string) error {
	file, err := os.Create(traceFile)
	if err != nil {
		return fmt.Errorf("create trace: %w", err)
	}
	recorder, err := replay.NewRecorder(file, model.HostName(settings.Host), settings.Placement)
	if err != nil {
		return errors.Join(fmt.Errorf("start trace: %w", err), file.Close())
	}
	host.SetTrace(recorder)
	return errors.Join(host.Run(ctx), recorder.Close(), file.Close())
}
