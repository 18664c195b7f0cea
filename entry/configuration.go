package entry

import (
	"context"
	"fmt"
	"time"

	"filberthold/config"
	"filberthold/place"
	"filberthold/revise"
)

const (
	// headPollInterval keeps 680 hosts at 227 reads a second of the store.
	headPollInterval = 3 * time.Second
	// firstPollInterval applies until a first revision has been adopted.
	firstPollInterval = 200 * time.Millisecond
)

// loopConfiguration polls the platform for a newer revision.
func (h *Host) loopConfiguration(ctx context.Context) error {
	for {
		if err := h.refresh(ctx); err != nil {
			h.base.Log().Warn("configuration not refreshed", "error", err)
		}
		interval := headPollInterval
		if h.directory.Deployment() == nil {
			interval = firstPollInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return fmt.Errorf("poll configuration: %w", ctx.Err())
		}
	}
}

func (h *Host) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, headPollInterval)
	defer cancel()
	row, err := h.platform.Get(ctx, revise.HeadKey)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	head, err := revise.ParseHead(row.Value)
	if err != nil {
		return fmt.Errorf("parse head: %w", err)
	}
	revision := head.Number()
	if current := h.directory.Deployment(); current != nil && current.Revision() >= revision {
		return nil
	}
	name := revise.ObjectName(revision)
	body, err := h.platform.Object(ctx, name)
	if err != nil {
		return fmt.Errorf("read revision %d: %w", revision, err)
	}
	if !head.Matches(body) {
		return fmt.Errorf("body of revision %s has digest %s", head, revise.DigestOf(body))
	}
	deployment, err := config.ParseDeployment(name, body, revision)
	if err != nil {
		return fmt.Errorf("parse revision %d: %w", revision, err)
	}
	h.directory.Adopt(deployment)
	h.base.Log().Info("adopted configuration", "revision", revision)
	if err := h.dispatcher.Report(ctx, place.Adopted{Deployment: deployment, Revision: revision}); err != nil {
		return fmt.Errorf("adopt revision %d: %w", revision, err)
	}
	return nil
}
