package cmds

import (
	"fmt"
	"os"

	"filberthold/common"
	"filberthold/config"
	"filberthold/entry"

	"github.com/spf13/cobra"
)

func newEntryCommand() *cobra.Command {
	var settingsFile string
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
				return fmt.Errorf("load settings: %w", err)
			}
			base, err := common.NewBase(settings, command.ErrOrStderr())
			if err != nil {
				return fmt.Errorf("set up logging: %w", err)
			}
			return entry.NewHost(base).Run(command.Context())
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "entry.toml", "settings file of this host (TOML)")
	return command
}
