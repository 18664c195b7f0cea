package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"filberthold/config"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/revise"
	"filberthold/store"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

func newFakePlatformCommand() *cobra.Command {
	var address, deploymentFile string
	command := &cobra.Command{
		Use:   "fake-platform",
		Short: "Run a fake platform, for trials",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			text, err := os.ReadFile(deploymentFile)
			if err != nil {
				return fmt.Errorf("read deployment: %w", err)
			}
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return fmt.Errorf("listen: %w", err)
			}
			group, ctx := errgroup.WithContext(command.Context())
			group.Go(func() error { return serve(ctx, listener, fakes.NewPlatform()) })
			client := store.NewClient(listener.Addr().String())
			if _, err := revise.Accept(ctx, client, 0, text); err != nil {
				return fmt.Errorf("accept first revision: %w", err)
			}
			return group.Wait()
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:7000", "IP address and TCP port")
	command.Flags().StringVar(&deploymentFile, "deployment", "", "configuration to publish as revision 1")
	return command
}

func newFakeUpstreamsCommand() *cobra.Command {
	var deploymentFile string
	command := &cobra.Command{
		Use:   "fake-upstreams",
		Short: "Run fakes of all upstream endpoints of a deployment, for trials",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			text, err := os.ReadFile(deploymentFile)
			if err != nil {
				return fmt.Errorf("read deployment: %w", err)
			}
			deployment, err := config.ParseDeployment(deploymentFile, text, 1)
			if err != nil {
				return fmt.Errorf("load deployment: %w", err)
			}
			return serveUpstreams(command.Context(), deployment)
		},
	}
	command.Flags().StringVar(&deploymentFile, "deployment", "", "configuration with the endpoints to run")
	return command
}

func serveUpstreams(ctx context.Context, deployment *model.Deployment) error {
	counters := fakes.NewCounters()
	group, ctx := errgroup.WithContext(ctx)
	for _, endpoint := range deployment.Endpoints() {
		listener, err := net.Listen("tcp", endpoint.Address())
		if err != nil {
			return fmt.Errorf("listen for endpoint %q: %w", endpoint.Name(), err)
		}
		service, _ := deployment.Service(endpoint.Service())
		upstream := fakes.NewUpstream(endpoint, service.Class(), counters, 5*time.Millisecond)
		group.Go(func() error { return serve(ctx, listener, upstream) })
	}
	return group.Wait()
}

// serve serves requests on the listener until ctx ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
