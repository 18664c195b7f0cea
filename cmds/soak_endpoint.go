package cmds

import (
	"filberthold/soak"

	"github.com/spf13/cobra"
)

// newSoakEndpointCommand returns the command with which the soak runs an endpoint as a
// process. It is of no use by itself and not listed.
func newSoakEndpointCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:    soak.EndpointCommand,
		Short:  "Run an endpoint of a soak as a process",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return soak.RunEndpoint(address, command.InOrStdin(), command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:0", "IP address and TCP port")
	return command
}
