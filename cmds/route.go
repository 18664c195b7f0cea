package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"filberthold/platform"
	"filberthold/proxy"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

// defaultMetricsPort is the port of a host's metrics address.
const defaultMetricsPort = "9464"

func newRouteCommand() *cobra.Command {
	var address, keyFile string
	var question proxy.Question
	var asJSON bool
	command := &cobra.Command{
		Use:   "route",
		Short: "Ask a running host where a request would go now, and why, without sending it",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			target, err := metricsAddress(address)
			if err != nil {
				return err
			}
			if keyFile != "" {
				if question.Key, err = readKey(keyFile); err != nil {
					return err
				}
			}
			if problem := question.Check(); problem != "" {
				return usageError(problem)
			}
			explained, err := askHost(command.Context(), target, question)
			if err != nil {
				return err
			}
			if asJSON {
				return writeIndented(command.OutOrStdout(), explained)
			}
			return renderExplanation(command.OutOrStdout(), explained)
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "host", "", "metrics address of the host: an IP address, with a port if it is not "+defaultMetricsPort)
	flags.StringVar(&question.Method, "method", http.MethodGet, "method of the request")
	flags.StringVar(&question.Domain, "domain", "", "domain that the request is sent to")
	flags.StringVar(&question.Path, "path", "", "path of the request")
	flags.StringVar(&question.Object, "object", "", "object that the request concerns")
	flags.StringVar(&question.AttemptID, "attempt", "", "attempt id, by which requests without an object are distributed")
	flags.StringVar(&question.Key, "key", "", "key of the organisation; other users of the machine may see it, which --key-file avoids")
	flags.StringVar(&keyFile, "key-file", "", "file that contains the key")
	flags.BoolVar(&asJSON, "json", false, "write JSON")
	for _, name := range []string{"host", "domain", "path"} {
		_ = command.MarkFlagRequired(name)
	}
	command.MarkFlagsMutuallyExclusive("key", "key-file")
	return command
}

func usageError(problem string) error { return fmt.Errorf("%w: %s", errUsage, problem) }

// metricsAddress returns the address and port of a host's metrics.
func metricsAddress(address string) (string, error) {
	if ip, err := netip.ParseAddr(address); err == nil {
		return net.JoinHostPort(ip.String(), defaultMetricsPort), nil
	}
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		return parsed.String(), nil
	}
	return "", usageError("--host must be an IP address, with or without a port")
}

// maxKeyBytes bounds the size of a file with a key. It is that of a request's headers.
const maxKeyBytes = 16 << 10

func readKey(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxKeyBytes))
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	return strings.TrimSpace(string(content)), nil
}

// askHost asks the host with a metrics address for an explanation. The key must not reach
// anyone else, so no proxy is used and no redirect is followed.
func askHost(ctx context.Context, address string, question proxy.Question) (proxy.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	target := "http://" + address + proxy.ExplainPath + "?" + question.Parameters().Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return proxy.Explanation{}, fmt.Errorf("make request: %w", err)
	}
	if question.Key != "" {
		platform.SetKey(request.Header, question.Key)
	}
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return proxy.Explanation{}, oops.Code("unreachable").Hint("give the metrics address of a running host").
			Wrapf(withoutURL(err), "ask host %s", address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxInspectBytes))
	if err != nil {
		return proxy.Explanation{}, fmt.Errorf("read response of host %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return proxy.Explanation{}, fmt.Errorf("host %s responded with status %d: %s", address, response.StatusCode, firstLine(body))
	}
	var explained proxy.Explanation
	if err := json.Unmarshal(body, &explained); err != nil || explained.Outcome.Action == "" {
		return proxy.Explanation{}, fmt.Errorf("host %s did not respond with an explanation", address)
	}
	return explained, nil
}

// withoutURL returns the cause of an error of a request, which would repeat the question.
func withoutURL(err error) error {
	var withURL *url.Error
	if errors.As(err, &withURL) {
		return withURL.Err
	}
	return err
}

// firstLine returns the first line of a response, without control characters.
func firstLine(body []byte) string {
	const maxLength = 200
	line, _, _ := strings.Cut(string(body), "\n")
	return fmt.Sprintf("%.*q", maxLength, line)
}
