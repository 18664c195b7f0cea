package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"filberthold/config"
	"filberthold/model"
	"filberthold/peers"
	"filberthold/revise"
	"filberthold/ring"
	"filberthold/store"
)

const (
	// headPollInterval keeps 680 hosts at 227 reads a second of the store.
	headPollInterval = 3 * time.Second
	// headPollSpread is the width of the interval from which the time to the
	// next poll is drawn. Without it, hosts that start together poll together:
	// they load the store in bursts, and a revision waits up to 3 s for a poll.
	headPollSpread = time.Second
	// firstPollInterval applies until a first revision has been adopted.
	firstPollInterval = 200 * time.Millisecond
	// offerCapacity bounds the bodies that wait to be parsed.
	offerCapacity = 4
)

// configurationStore is the part of the platform that holds the configuration.
type configurationStore interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Object(ctx context.Context, name string) ([]byte, error)
}

// offer is a revision from the store or from a peer.
type offer struct {
	head revise.RevisionID
	body []byte
	// at is a time at which the source had the revision as its highest one.
	at time.Time
}

// ConfigWatcher decides which revision this host has in force.
type ConfigWatcher struct {
	log    *slog.Logger
	store  configurationStore
	state  *peers.State
	offers *ring.Ring[offer]
	// holder is used by loopOffers only.
	holder revise.Tracker
	// adopt puts a deployment into force, and is called with ascending
	// numbers only.
	adopt func(ctx context.Context, deployment *model.Deployment, head revise.RevisionID, body []byte) error
	// confirmed is called with each deployment in force once it is confirmed.
	confirmed func(deployment *model.Deployment)
}

// loopPoll asks the store for a newer revision.
func (c *ConfigWatcher) loopPoll(ctx context.Context) error {
	isFirst := true
	for {
		if err := c.poll(ctx, time.Now()); err != nil {
			c.log.Warn("configuration not refreshed", "error", err)
		}
		interval := headPollInterval - headPollSpread/2 + rand.N(headPollSpread)
		if head, _ := c.state.Current(); head.Number() == 0 {
			interval = firstPollInterval
		} else if isFirst {
			interval = rand.N(headPollInterval)
			isFirst = false
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return fmt.Errorf("poll configuration: %w", ctx.Err())
		}
	}
}

// poll reads the head once and offers its body if it is newer.
func (c *ConfigWatcher) poll(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, headPollInterval)
	defer cancel()
	row, err := c.store.Get(ctx, revise.HeadKey)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	head, err := revise.ParseRevisionID(row.Value)
	if err != nil {
		return fmt.Errorf("parse head: %w", err)
	}
	current, _ := c.state.Current()
	if head.Number() == current.Number() && head != current {
		return fmt.Errorf("store has revision %s, and %s is in force", head, current)
	}
	if head.Number() <= current.Number() {
		c.state.Confirm(head.Number(), now)
		return nil
	}
	body, err := c.store.Object(ctx, revise.ObjectName(head.Number()))
	if err != nil {
		return fmt.Errorf("read revision %s: %w", head, err)
	}
	if err := c.offers.Put(ctx, offer{head: head, body: body, at: now}); err != nil {
		return fmt.Errorf("offer revision %s: %w", head, err)
	}
	return nil
}

// loopOffers takes offered revisions in turn. It is separate from loopPoll, so
// that peers are heard while the store does not answer.
func (c *ConfigWatcher) loopOffers(ctx context.Context) error {
	for {
		offered, err := c.offers.Get(ctx)
		if err != nil {
			return fmt.Errorf("wait for revision: %w", err)
		}
		if err := c.consider(ctx, offered); err != nil {
			c.log.Error("revision not adopted", "revision", offered.head.String(), "error", err)
		}
	}
}

// consider adopts an offered revision if it is newer than the one in force and
// can be parsed.
func (c *ConfigWatcher) consider(ctx context.Context, offered offer) error {
	switch verdict := c.holder.Check(offered.head, offered.body); verdict {
	case revise.Stale:
		c.state.Confirm(offered.head.Number(), offered.at)
		return nil
	case revise.Corrupt, revise.Conflicting:
		return fmt.Errorf("%s; revision %s is in force", verdict, c.holder.Current())
	case revise.Adopted:
	}
	deployment, err := config.ParseDeployment(revise.ObjectName(offered.head.Number()), offered.body, offered.head.Number())
	if err != nil {
		return fmt.Errorf("parse revision: %w", err)
	}
	c.holder.Adopt(offered.head, offered.body)
	if err := c.adopt(ctx, deployment, offered.head, offered.body); err != nil {
		return fmt.Errorf("adopt revision: %w", err)
	}
	c.state.Confirm(offered.head.Number(), offered.at)
	c.confirmed(deployment)
	c.log.Info("adopted configuration", "revision", offered.head.String())
	return nil
}
