package upstrm

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"filberthold/conns"
)

const (
	// probeTimeout bounds one probe. A probe of a healthy endpoint takes 6 ms in the
	// guild deployment, and an endpoint may be 10 times slower for a while.
	probeTimeout = time.Second
	// maxProbeBytes bounds the response to a probe.
	maxProbeBytes = 4 << 10
)

// LoadReport is the load that an endpoint reports. It may be outdated or wrong.
type LoadReport struct {
	BusySlots int `json:"busySlots"`
	Slots     int `json:"slots"`
}

// ProbeHealth checks whether an endpoint is up. An endpoint that is leaving may
// still report that it is up; NotStartedError.Leaving and Response.Leaving report
// that it is leaving.
func (c *Client) ProbeHealth(ctx context.Context, address string) error {
	if _, err := c.probe(ctx, address, "/healthz"); err != nil {
		return fmt.Errorf("probe health of %s: %w", address, err)
	}
	return nil
}

// ProbeLoad returns the load report of an endpoint.
func (c *Client) ProbeLoad(ctx context.Context, address string) (LoadReport, error) {
	text, err := c.probe(ctx, address, "/load")
	if err != nil {
		return LoadReport{}, fmt.Errorf("probe load of %s: %w", address, err)
	}
	var load LoadReport
	if err := json.Unmarshal(text, &load); err != nil {
		return LoadReport{}, fmt.Errorf("parse load of %s: %w", address, err)
	}
	if load.BusySlots < 0 || load.Slots < 1 {
		return LoadReport{}, fmt.Errorf("load of %s is impossible: %d of %d slots", address, load.BusySlots, load.Slots)
	}
	return load, nil
}

// probe sends a GET request on a new connection and returns the body. A reused
// connection could have stalled, and the probe would fail although the endpoint
// is up.
func (c *Client) probe(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set(ZoneHeader, string(c.options.Zone))
	response, err := c.probes.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("send probe: %w", err)
	}
	defer response.Body.Close()
	if err := conns.CheckHead(response); err != nil {
		return nil, fmt.Errorf("send probe: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("probe has status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	if err != nil {
		return nil, fmt.Errorf("read response to probe: %w", err)
	}
	return text, nil
}
