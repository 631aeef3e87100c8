package route

import (
	"math"
	"time"

	"sloepick/decide"
)

// routeState is the state of a route since it was loaded. It implements decide.RetryBudget.
type routeState struct {
	route     *Route
	open      int                   // requests open now
	budgets   map[int]*tokenBucket  // by node group (cell)
	latencies []*LatencyQuantile    // by class; nil without a hedge quantile
	policies  []*decide.RetryPolicy // by class
}

const (
	maxGroups      = 1024             // node groups with a budget of their own; all others share one, so that memory is bounded
	sharedGroup    = math.MinInt      // key of the budget that the other node groups share
	hedgeDelayStep = time.Millisecond // a smaller change of the quantile leaves the hedge delay as it is
)

func newRouteState(r *Route, classes int) *routeState {
	s := &routeState{route: r, budgets: map[int]*tokenBucket{}}
	for range classes {
		var t *LatencyQuantile
		if r.Hedge.Enabled && r.Hedge.Quantile > 0 {
			t = NewLatencyQuantile(r.Hedge.Quantile)
		}
		s.latencies = append(s.latencies, t)
		s.policies = append(s.policies, s.newPolicy(0))
	}
	return s
}

// newPolicy returns the route's retry policy with the given hedge delay, or with the configured one if that is 0.
func (s *routeState) newPolicy(hedgeDelay time.Duration) *decide.RetryPolicy {
	r := s.route
	p := &decide.RetryPolicy{MaxAttempts: r.MaxAttempts, AttemptTimeout: r.AttemptTimeout, TotalTimeout: r.TotalTimeout, RetryOn: r.RetryOn, InitialBackoff: r.InitialBackoff, MaxBackoff: r.MaxBackoff,
		BackoffFactor: r.BackoffFactor, Jitter: r.Jitter, HedgeMinTimeLeft: r.Hedge.MinTimeLeft, RetryAfter: r.RetryAfter, Budget: s}
	if p.HedgeDelay = r.Hedge.Delay; hedgeDelay > 0 {
		p.HedgeDelay = hedgeDelay
	}
	p.Hedge = r.Hedge.Enabled && p.HedgeDelay > 0
	return p
}

// tokenBucket is the retry budget of a node group: a first attempt adds RetryRatio tokens, each second adds
// MinRetriesPerSecond, and a retry or hedged attempt takes one.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// burstSeconds is for how many seconds of MinRetriesPerSecond a bucket saves tokens. A new bucket starts with as many.
const burstSeconds = 1.0

// refill adds the tokens for the time since the last call. The cap on these tokens is separate from the one on tokens
// from first attempts.
func (b *tokenBucket) refill(now time.Duration, floor float64) {
	if b.updatedAt == 0 {
		b.tokens, b.updatedAt = floor*burstSeconds, now
		return
	}
	if room := max(0, floor*burstSeconds-b.tokens); now > b.updatedAt {
		b.tokens += min(room, floor*(now-b.updatedAt).Seconds())
		b.updatedAt = now
	}
}

// maxSavedRetries is how many tokens from first attempts a bucket saves.
const maxSavedRetries = 10.0

func (s *routeState) bucket(cell int) *tokenBucket {
	b := s.budgets[cell]
	if b == nil {
		if len(s.budgets) >= maxGroups {
			cell = sharedGroup
			if b = s.budgets[cell]; b != nil {
				return b
			}
		}
		b = &tokenBucket{}
		s.budgets[cell] = b
	}
	return b
}

// RecordFirstAttempt adds to the retry budget of a server's group for a first attempt.
func (s *routeState) RecordFirstAttempt(now time.Duration, to *decide.Server) {
	b := s.bucket(to.Cell)
	b.refill(now, s.route.MinRetriesPerSecond)
	if limit := max(maxSavedRetries, s.route.MinRetriesPerSecond*burstSeconds); b.tokens < limit {
		b.tokens = min(limit, b.tokens+s.route.RetryRatio)
	}
}

// TakeRetry takes a retry from the budget of a server's group, or reports that the budget is used up. With F first
// attempts in t seconds a group gets at most F x RetryRatio + (t + burstSeconds) x MinRetriesPerSecond retries.
func (s *routeState) TakeRetry(now time.Duration, to *decide.Server) bool {
	b := s.bucket(to.Cell)
	b.refill(now, s.route.MinRetriesPerSecond)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Acquire counts a request as open on a route, or reports that the route has MaxOpen requests already. Each request
// that is counted must be released by Release.
func (t *Table) Acquire(n int) bool {
	s := t.states[n]
	if s.route.MaxOpen > 0 && s.open >= s.route.MaxOpen {
		return false
	}
	s.open++
	return true
}

// Release counts a request that Acquire accepted as closed.
func (t *Table) Release(n int) { t.states[n].open-- }

// RetryPolicy returns the current policy for a request of a class on a route. It is shared and must not be changed.
func (t *Table) RetryPolicy(n int, class string, now time.Duration) *decide.RetryPolicy {
	s, i := t.states[n], t.classes[class]
	quantile := s.latencies[i]
	if quantile == nil {
		return s.policies[i]
	}
	if hedgeDelay := quantile.Quantile(now); hedgeDelay > 0 {
		if d := hedgeDelay - s.policies[i].HedgeDelay; d > hedgeDelayStep || d < -hedgeDelayStep {
			s.policies[i] = s.newPolicy(hedgeDelay) // open requests keep the policy that they started with
		}
	}
	return s.policies[i]
}

// RecordLatency records the latency of a response, for the quantile that sets the hedge delay.
func (t *Table) RecordLatency(n int, class string, latency, now time.Duration) {
	if quantile := t.states[n].latencies[t.classes[class]]; quantile != nil {
		quantile.Add(latency, now)
	}
}
