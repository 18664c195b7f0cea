package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"runtime/debug"
	"time"

	"filberthold/caller"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

const (
	inspectTimeout = 10 * time.Second
	// maxInspectBytes bounds the size of a host's response.
	maxInspectBytes = 16 << 20
)

// errNotReady is returned when a host does not accept requests.
var errNotReady = errors.New("host is not ready")

func newLookupCommand() *cobra.Command {
	var entryAddress string
	var asJSON bool
	command := &cobra.Command{
		Use:   "lookup ADDRESS",
		Short: "Look up at an entry host which entry hosts a caller should use",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := netip.ParseAddr(arguments[0])
			if err != nil {
				return oops.Code("invalidAddress").Hint("give the caller's IP address, without a port").Wrapf(err, "parse address")
			}
			status, body, err := fetch(command.Context(), entryAddress, "/v1/entries?client="+url.QueryEscape(client.String()))
			if err != nil {
				return fmt.Errorf("look up: %w", err)
			}
			var response caller.LookupResponse
			if err := json.Unmarshal(body, &response); err != nil || status != http.StatusOK {
				return fmt.Errorf("entry host responded with status %d: %s", status, bytes.TrimSpace(body))
			}
			if asJSON {
				return writeIndented(command.OutOrStdout(), response)
			}
			for _, host := range response.Hosts {
				command.Printf("%s  %s\n", host.Name, host.Address)
			}
			command.Printf("valid until %s\n", response.ValidUntil.Format(time.RFC3339Nano))
			return nil
		},
	}
	command.Flags().StringVar(&entryAddress, "entry", "", "caller address of any entry host (IP address and TCP port)")
	command.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	_ = command.MarkFlagRequired("entry")
	return command
}

func newStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status OPERATOR-ADDRESS",
		Short: "Show the status of an entry host",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			status, body, err := fetch(command.Context(), arguments[0], "/v1/status")
			if err == nil && status == http.StatusNotFound {
				status, body, err = fetch(command.Context(), arguments[0], "/readyz")
			}
			if err != nil {
				return oops.Code("unreachable").Hint("give the operatorAddress of the host's settings").Wrapf(err, "get status of host")
			}
			indented := &bytes.Buffer{}
			if json.Indent(indented, bytes.TrimSpace(body), "", "  ") == nil {
				body = indented.Bytes()
			}
			command.Printf("%s\n", bytes.TrimSpace(body))
			if status != http.StatusOK || isNotReady(body) {
				return fmt.Errorf("%w: status %d", errNotReady, status)
			}
			return nil
		},
	}
}

// isNotReady reports whether the body of a status response says that the host
// does not accept requests. The status code is 200 in that case too.
func isNotReady(body []byte) bool {
	var status struct {
		Ready *bool `json:"ready"`
	}
	return json.Unmarshal(body, &status) == nil && status.Ready != nil && !*status.Ready
}

// fetch sends a GET request for a path to a host and returns the status code and
// the body. The address is an IP address and port.
func fetch(ctx context.Context, address, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("make request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("call host: %w", err)
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxInspectBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read response: %w", err)
	}
	return response.StatusCode, body, nil
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the version of the program",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			version, revision, goVersion := "unknown", "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version, goVersion = info.Main.Version, info.GoVersion
				for _, setting := range info.Settings {
					if setting.Key == "vcs.revision" {
						revision = setting.Value
					}
				}
			}
			command.Printf("filberthold %s, revision %s, %s\n", version, revision, goVersion)
		},
	}
}
