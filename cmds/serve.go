package cmds

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"filberthold/node"
	"filberthold/platform"

	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	var settingsFile string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry host on the users' platform until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			// A signal that comes before the handler ends the process.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			defer signal.Stop(hangups)
			settings, err := platform.ReadSettings(settingsFile)
			if err != nil {
				return fmt.Errorf("start host: %w", err)
			}
			return node.New(settings, command.OutOrStdout(), hangups).Run(command.Context())
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", os.Getenv(platform.SettingsVariable),
		"settings file of this host (TOML); the default is the value of "+platform.SettingsVariable)
	return command
}
