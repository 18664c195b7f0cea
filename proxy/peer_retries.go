package proxy

import (
	"maps"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/steer"
)

// peerNewsTime is how long after the last load report of a host its requests count as
// continuing. Load reports are at most 2 s apart.
const peerNewsTime = 5 * time.Second

// maxRetryNews bounds the services in a load report, which must fit into a datagram.
const maxRetryNews = 32

// peerRetries are the retries that other hosts have sent beyond their parts of the slack and
// that may still arrive, by the runs of these hosts. A run that has ended is kept until its
// retries can no longer arrive.
type peerRetries struct {
	runs map[member.Run]peerReport
}

// peerReport is the last report of a run of another host.
type peerReport struct {
	// news holds what the run told of each service. None has an excess of 0.
	news map[model.ServiceName]steer.RetryNews
	// heardAt is when the report arrived.
	heardAt time.Time
}

func newPeerRetries() peerRetries { return peerRetries{runs: make(map[member.Run]peerReport)} }

// apply replaces the report of a run.
func (p *peerRetries) apply(run member.Run, news []steer.RetryNews, now time.Time) {
	report := peerReport{news: make(map[model.ServiceName]steer.RetryNews, len(news)), heardAt: now}
	for _, item := range news {
		if item.Excess > 0 {
			report.news[item.Service] = item
		}
	}
	if len(report.news) == 0 {
		delete(p.runs, run)
		return
	}
	p.runs[run] = report
}

// expire drops the reports whose retries can no longer arrive.
func (p *peerRetries) expire(now time.Time) {
	maps.DeleteFunc(p.runs, func(_ member.Run, report peerReport) bool {
		return now.Sub(report.heardAt) >= steer.MaxHoldTime
	})
}

// uncovered returns the number of retries to a service beyond the slack that no recent request
// at their hosts has earned. If they arrive now, they take the place of others.
func (p *peerRetries) uncovered(service model.ServiceName, now time.Time) int {
	count := 0
	for _, report := range p.runs {
		news := report.news[service]
		count += news.Excess
		if now.Sub(report.heardAt) < peerNewsTime {
			count -= news.Earned
		}
	}
	return count
}

// RetryNews returns what the other hosts should learn of the retries of this host: those that
// ended without an answer, and those in flight as soon as they exceed what the host may have.
func (c *Core) RetryNews() []steer.RetryNews {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var news []steer.RetryNews
	for _, service := range c.services {
		if len(news) == maxRetryNews {
			break
		}
		excess := c.outstandingRetries(service) - c.retryBurst(now)
		earned := c.earnedRetries(service, now)
		if excess > 0 && (len(c.unanswered[service]) > 0 || excess > earned) {
			news = append(news, steer.RetryNews{Service: service, Excess: excess, Earned: min(excess, earned)})
		}
	}
	return news
}

// ApplyRetryNews applies what another host tells of its retries.
func (c *Core) ApplyRetryNews(run member.Run, news []steer.RetryNews) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerRetries.apply(run, news, time.Now())
}
