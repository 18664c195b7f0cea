package node

import (
	"context"
	"log/slog"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/relay"
)

const (
	// followPause is the pause after a host could not be followed.
	followPause = 100 * time.Millisecond
	// avoidTime is how long a host that did not answer is not asked.
	avoidTime = time.Second
)

// follower keeps a host up to date from another host.
type follower struct {
	log    *slog.Logger
	known  *knowledge
	pace   pace
	client *relay.Client
	// sources returns the hosts to follow, the preferred one first; none if
	// the host reads the store.
	sources func() []member.Heartbeat
	// avoided holds until when a host is not asked.
	avoided map[model.HostName]time.Time
	// followed is the last host that answered.
	followed model.HostName
}

func newFollower(log *slog.Logger, known *knowledge, pace pace, sources func() []member.Heartbeat) *follower {
	return &follower{log: log, known: known, pace: pace, client: relay.NewClient(pace.followWait), sources: sources, avoided: make(map[model.HostName]time.Time)}
}

// loop follows other hosts until ctx ends.
func (f *follower) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		source, exists := f.pick(time.Now())
		if !exists {
			wait(ctx, followPause)
			continue
		}
		f.follow(ctx, source)
	}
	return nil
}

func (f *follower) pick(now time.Time) (member.Heartbeat, bool) {
	for _, source := range f.sources() {
		if !now.Before(f.avoided[source.Host]) {
			return source, true
		}
	}
	return member.Heartbeat{}, false
}

func (f *follower) follow(ctx context.Context, source member.Heartbeat) {
	update, err := f.client.Poll(ctx, source.ControlAddress, f.known.operator.Version(), f.known.endpoints.Version())
	now := time.Now()
	if err != nil {
		f.avoided[source.Host] = now.Add(avoidTime)
		f.log.Warn("host not followed", "peer", source.Host, "error", err)
		return
	}
	if source.Host != f.followed {
		f.followed = source.Host
		f.log.Info("following a host", "peer", source.Host, "age", update.Endpoints.Age)
	}
	if update.Endpoints.Version == 0 {
		f.avoided[source.Host] = now.Add(avoidTime)
		return
	}
	f.known.takeUpdate(update, now)
	if update.Endpoints.Age > f.pace.maxAge {
		f.avoided[source.Host] = now.Add(avoidTime)
	}
}
