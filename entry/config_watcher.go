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
	// headPollInterval is the mean time between two reads of the head row, which
	// holds the ID of the accepted revision. 680 hosts make 227 reads a second.
	headPollInterval = 3 * time.Second
	// headPollSpread is the width of the range from which the time to the next
	// poll is drawn. Without it, hosts that start at the same time poll at the
	// same time: they load the store in bursts, and a revision waits up to 3 s
	// for a poll.
	headPollSpread = time.Second
	// firstPollInterval is the time between two polls until the first revision
	// is adopted.
	firstPollInterval = 200 * time.Millisecond
	// candidateCapacity bounds the revisions that wait for adoption.
	candidateCapacity = 4
)

// configStore is the part of the platform that holds the configuration.
type configStore interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Object(ctx context.Context, name string) ([]byte, error)
}

// candidate is a revision from the store or from a peer that may be newer than
// the one in force.
type candidate struct {
	id   revise.RevisionID
	body []byte
	// seenAt is a time at which this was the highest revision of its source.
	seenAt time.Time
}

// ConfigWatcher polls the store for revisions, receives those of peers, and
// adopts each valid one that is newer than the revision in force.
type ConfigWatcher struct {
	log        *slog.Logger
	store      configStore
	state      *peers.State
	candidates *ring.Ring[candidate]
	// tracker is used by candidateLoop only.
	tracker revise.Tracker
	// adopt puts a deployment into force. The revision numbers of its calls
	// ascend.
	adopt func(ctx context.Context, deployment *model.Deployment, id revise.RevisionID, body []byte) error
	// onConfirmed is called after each adoption, when the revision is confirmed.
	onConfirmed func(deployment *model.Deployment)
}

// pollLoop polls the store for a newer revision until ctx ends.
func (c *ConfigWatcher) pollLoop(ctx context.Context) error {
	isFirst := true
	for {
		if err := c.poll(ctx, time.Now()); err != nil {
			c.log.Warn("configuration not refreshed", "error", err)
		}
		interval := headPollInterval - headPollSpread/2 + rand.N(headPollSpread)
		if id, _ := c.state.Current(); id.Number() == 0 {
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

// poll reads the head row once. It confirms the revision in force, or queues a
// newer one for adoption.
func (c *ConfigWatcher) poll(ctx context.Context, now time.Time) error {
	row, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	id, err := revise.ParseRevisionID(row.Value)
	if err != nil {
		return fmt.Errorf("parse head: %w", err)
	}
	current, _ := c.state.Current()
	if id.Number() == current.Number() && id != current {
		return fmt.Errorf("store has revision %s, and %s is in force", id, current)
	}
	if id.Number() <= current.Number() {
		c.state.Confirm(id.Number(), now)
		return nil
	}
	// The body has no deadline: it is large, and the link may be small.
	body, err := c.store.Object(ctx, revise.ObjectName(id.Number()))
	if err != nil {
		return fmt.Errorf("read revision %s: %w", id, err)
	}
	if err := c.candidates.Put(ctx, candidate{id: id, body: body, seenAt: now}); err != nil {
		return fmt.Errorf("queue revision %s: %w", id, err)
	}
	return nil
}

func (c *ConfigWatcher) readHead(ctx context.Context) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, headPollInterval)
	defer cancel()
	row, err := c.store.Get(ctx, revise.HeadKey)
	if err != nil {
		return store.Row{}, fmt.Errorf("read head: %w", err)
	}
	return row, nil
}

// candidateLoop handles queued revisions in order. It is separate from
// pollLoop, which would delay revisions from peers while the store does not
// respond.
func (c *ConfigWatcher) candidateLoop(ctx context.Context) error {
	for {
		received, err := c.candidates.Get(ctx)
		if err != nil {
			return fmt.Errorf("wait for revision: %w", err)
		}
		if err := c.adoptIfNewer(ctx, received); err != nil {
			c.log.Error("revision not adopted", "revision", received.id.String(), "error", err)
		}
	}
}

// adoptIfNewer adopts a revision if it is newer than the one in force and can
// be parsed. If it is not newer, it confirms the revision in force.
func (c *ConfigWatcher) adoptIfNewer(ctx context.Context, received candidate) error {
	switch result := c.tracker.Check(received.id, received.body); result {
	case revise.Stale:
		c.state.Confirm(received.id.Number(), received.seenAt)
		return nil
	case revise.Corrupt, revise.Conflicting:
		return fmt.Errorf("%s; revision %s is in force", result, c.tracker.Current())
	case revise.Adopted:
	}
	deployment, err := config.ParseDeployment(revise.ObjectName(received.id.Number()), received.body, received.id.Number())
	if err != nil {
		return fmt.Errorf("parse revision: %w", err)
	}
	c.tracker.Adopt(received.id, received.body)
	if err := c.adopt(ctx, deployment, received.id, received.body); err != nil {
		return fmt.Errorf("adopt revision: %w", err)
	}
	c.state.Confirm(received.id.Number(), received.seenAt)
	c.onConfirmed(deployment)
	c.log.Info("adopted configuration", "revision", received.id.String())
	return nil
}
