package proxy

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"filberthold/model"
	"filberthold/orgs"
	"filberthold/quota"
	"filberthold/route"
	"filberthold/steer"
)

// maxCandidates bounds the endpoints that an explanation describes one by one.
const maxCandidates = 20

// Question is a request of which a host is asked how it would handle it.
type Question struct {
	Method, Domain, Path string
	// Object and AttemptID may be empty. Requests without affinity are distributed by their
	// attempt ids.
	Object, AttemptID string
	// Key must not be part of an explanation or of a log line.
	Key string
}

// Explain returns how the server would handle a request that arrives now. It changes no state:
// nothing is sent or counted, and no later decision depends on it.
func (s *Server) Explain(question Question) Explanation {
	now := time.Now()
	explained := Explanation{At: now.UTC().Truncate(time.Millisecond)}
	isTrusted := s.isTrusted()
	config := s.core.Config()
	switch {
	case s.isRefusing.Load():
		return explained.refuse(http.StatusServiceUnavailable, hostStops, unavailableRetryAfter)
	case config == nil || !s.core.IsReady():
		return explained.refuse(http.StatusServiceUnavailable, hostStarts, unavailableRetryAfter)
	}
	explained.Configuration = fmt.Sprintf("%08x", config.Version())
	path, _, _ := strings.Cut(question.Path, "?")
	matched, exists := config.Match(question.Domain, path)
	if !exists {
		return explained.deny(s.freshness.deny(config.Version(), http.StatusNotFound, noRoute))
	}
	explained.Route = &ExplainedRoute{
		Name: matched.Name, Domain: matched.Domain, Prefix: matched.Prefix, Class: matched.Class.String(),
		HasAffinity: matched.HasAffinity, IsExempt: matched.IsAuthExempt, Regions: matched.ResidencyRegions,
	}
	var organisation route.Organisation
	switch decision := orgs.Authenticate(config, matched, question.Key, isTrusted).(type) {
	case orgs.Accepted:
		organisation = decision.Organisation
		explained.Organisation = organisation.Name
	case orgs.UnknownKey:
		return explained.deny(s.freshness.deny(config.Version(), http.StatusUnauthorized, s.core.keyReason(decision, question.Key)))
	case orgs.Untrusted:
		return explained.refuse(http.StatusServiceUnavailable, keyUntrusted, outdatedRetryAfter)
	case orgs.Exempt, orgs.NotNeeded:
	}
	if look, isLimited := s.core.quotas.look(organisation.Name); isLimited {
		explained.Quota = &ExplainedQuota{
			PerSecond: look.PerSecond, Burst: look.Burst, Level: rounded(look.Level), Capacity: rounded(look.Capacity),
			OwnRate: rounded(look.OwnRate), OthersRate: rounded(look.OthersRate), Group: rounded(look.Group),
		}
		if refused, isRefused := look.Decision.(quota.Refused); isRefused {
			return explained.refuse(http.StatusTooManyRequests, overQuota, refused.RetryAfter)
		}
	}
	deadline, fits := s.deadlineWithinStop(matched, now.Add(matched.Timeout), now)
	if !fits {
		return explained.refuse(http.StatusServiceUnavailable, endsAfterStop, unavailableRetryAfter)
	}
	query := steer.Query{Object: question.Object, AttemptID: question.AttemptID, Route: matched, Organisation: organisation}
	s.core.explain(&explained, config.Version(), query, waitDeadline(matched, now, deadline))
	return explained
}

// keyReason tells why a key is not accepted.
func (c *Core) keyReason(decision orgs.UnknownKey, key string) string {
	if decision.IsMissing {
		return keyMissing
	}
	if withdrawal := c.withdrawal(key); withdrawal.Version > 0 {
		return fmt.Sprintf("%s: configuration %08x withdrew it", keyUnknown, withdrawal.Version)
	}
	return keyUnknown
}

// explain adds the service, the endpoints and the outcome of a first attempt.
func (c *Core) explain(explained *Explanation, version uint64, query steer.Query, waitUntil time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(query.Route.Shares) > 1 {
		for _, share := range query.Route.Shares {
			explained.Shares = append(explained.Shares, ExplainedShare{Service: share.Service, Weight: share.Weight})
		}
	}
	query.Service = c.splitter.Next(version, query.Route)
	explained.Service = query.Service
	snapshot := c.selector.Snapshot()
	if !c.isSelectorCurrent() || snapshot.HasClearedNotices(now) {
		snapshot.Update(c.config, c.roster, c.services, now)
	}
	query = c.waiting.underPressure(query, now)
	steered := snapshot.Explain(query, now)
	explained.Region = &ExplainedRegion{Own: steered.OwnRegion, Planned: steered.PlannedRegion, Reason: steered.RegionReason}
	explained.addCandidates(steered.Candidates)
	explained.Outcome = c.explainOutcome(steered.Decision, query, snapshot.HeldSlots(query.Service), waitUntil, now)
}

func (c *Core) explainOutcome(decision steer.Decision, query steer.Query, held steer.HeldSlots, waitUntil, now time.Time) ExplainedOutcome {
	switch decision := decision.(type) {
	case steer.Send:
		return ExplainedOutcome{Action: ActionSend, Endpoint: decision.Endpoint.Name, PermitOwner: decision.Permit.Owner}
	case steer.Reject:
		if !decision.IsFull || !now.Before(waitUntil) {
			return refusal(http.StatusServiceUnavailable, decision.Reason, decision.RetryAfter)
		}
		query.HasWaited = true
		backlog, rejected, isWaiting := c.waiting.look(query, decision, held, waitUntil, now)
		if !isWaiting {
			outcome := refusal(http.StatusServiceUnavailable, rejected.Reason, rejected.RetryAfter)
			outcome.Ahead, outcome.ExpectedWaitMs, outcome.MaxWaitMs = backlog.Ahead, inMilliseconds(backlog.ExpectedWait), inMilliseconds(backlog.MaxWait)
			return outcome
		}
		return ExplainedOutcome{
			Action: ActionWait, Reason: decision.Reason, Ahead: backlog.Ahead,
			ExpectedWaitMs: inMilliseconds(backlog.ExpectedWait), MaxWaitMs: inMilliseconds(backlog.MaxWait),
		}
	}
	return ExplainedOutcome{}
}

func (e *Explanation) addCandidates(candidates []steer.Candidate) {
	for i, each := range candidates {
		if i >= maxCandidates {
			if e.Others == nil {
				e.Others = make(map[string]int)
			}
			e.Others[each.Reason]++
			continue
		}
		e.Candidates = append(e.Candidates, ExplainedCandidate{
			Endpoint: each.Endpoint, Zone: each.Zone, Region: each.Region, DistanceMs: inMilliseconds(each.NetworkDelay), Slots: each.Slots,
			Load: rounded(each.Load), ExpectedMs: inMilliseconds(each.ExpectedTime), Rank: each.Rank, IsChosen: each.IsChosen, PassedOver: each.Reason,
		})
	}
}

func (e Explanation) refuse(status int, reason string, retryAfter time.Duration) Explanation {
	e.Outcome = refusal(status, reason, retryAfter)
	return e
}

func (e Explanation) deny(denied denial) Explanation {
	return e.refuse(denied.status, denied.reason, denied.retryAfter)
}

func refusal(status int, reason string, retryAfter time.Duration) ExplainedOutcome {
	return ExplainedOutcome{Action: ActionRefuse, Status: status, Reason: reason, RetryAfter: retryAfter.Seconds()}
}

// rounded returns a value with three decimal places.
func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }

func inMilliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// look returns what a request of an organisation would find, or false without a limit.
func (q *quotas) look(organisation model.OrganisationName) (quota.Look, bool) {
	if q == nil {
		return quota.Look{}, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Look(organisation, time.Now())
}
