package cmds

import (
	"fmt"
	"os"

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
			settings, err := platform.ReadSettings(settingsFile)
			if err != nil {
				return fmt.Errorf("start host: %w", err)
			}
			return node.New(settings, command.OutOrStdout()).Run(command.Context())
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", os.Getenv(platform.SettingsVariable),
		"settings file of this host (TOML); the default is the value of "+platform.SettingsVariable)
	return command
}
