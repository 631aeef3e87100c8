package route

import (
	"math"
	"time"

	"sloepick/decide"
)

// routeState is what a route has seen since it was loaded.
type routeState struct {
	route     *Route
	open      int
	budgets   map[int]*tokenBucket // by node group
	latencies []*LatencyQuantile   // by class; nil where no quantile is asked for
	policies  []*decide.RetryPolicy
}

const (
	maxGroups      = 1024 // node groups with a budget of their own; the others share one
	sharedGroup    = math.MinInt
	hedgeDelayStep = time.Millisecond
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

// newPolicy is the route in the module's words, with a delay of second copies.
func (s *routeState) newPolicy(after time.Duration) *decide.RetryPolicy {
	r := s.route
	p := &decide.RetryPolicy{MaxAttempts: r.MaxAttempts, AttemptTimeout: r.AttemptTimeout, TotalTimeout: r.TotalTimeout, RetryOn: r.RetryOn, InitialBackoff: r.InitialBackoff, MaxBackoff: r.MaxBackoff,
		BackoffFactor: r.BackoffFactor, Jitter: r.Jitter, HedgeMinTimeLeft: r.Hedge.MinTimeLeft, RetryAfter: r.RetryAfter, Budget: s}
	if p.HedgeDelay = r.Hedge.Delay; after > 0 {
		p.HedgeDelay = after
	}
	p.Hedge = r.Hedge.Enabled && p.HedgeDelay > 0
	return p
}

// tokenBucket are a node group's: a first attempt brings the share, a second brings the floor, a further attempt takes one.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// burstSeconds is how much of the floor is kept for a moment in which it is needed, and there at the start.
const burstSeconds = 1.0

// refill lets time bring the floor's part. What it brings is capped apart from what first attempts brought.
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

// maxSavedRetries is how many unspent further attempts a group keeps from its first attempts.
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

// RecordFirstAttempt counts a first attempt at a server's group.
func (s *routeState) RecordFirstAttempt(now time.Duration, to *decide.Server) {
	b := s.bucket(to.Cell)
	b.refill(now, s.route.MinRetriesPerSecond)
	if limit := max(maxSavedRetries, s.route.MinRetriesPerSecond*burstSeconds); b.tokens < limit {
		b.tokens = min(limit, b.tokens+s.route.RetryRatio)
	}
}

// TakeRetry takes a further attempt from the budget of a server's group, if it holds one. With F first attempts in t
// seconds a group gets at most F x Budget + (t + burstSeconds) x BudgetFloor further ones.
func (s *routeState) TakeRetry(now time.Duration, to *decide.Server) bool {
	b := s.bucket(to.Cell)
	b.refill(now, s.route.MinRetriesPerSecond)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Acquire takes a request into its route, or reports that the route has no room for it. Every request that it takes
// must be given back by End.
func (t *Table) Acquire(n int) bool {
	s := t.states[n]
	if s.route.MaxOpen > 0 && s.open >= s.route.MaxOpen {
		return false
	}
	s.open++
	return true
}

// Release gives a request back.
func (t *Table) Release(n int) { t.states[n].open-- }

// RetryPolicy is what holds for a request of a class on a route now. It is shared and must not be changed.
func (t *Table) RetryPolicy(n int, class string, now time.Duration) *decide.RetryPolicy {
	s, i := t.states[n], t.classes[class]
	times := s.latencies[i]
	if times == nil {
		return s.policies[i]
	}
	if after := times.Quantile(now); after > 0 {
		if d := after - s.policies[i].HedgeDelay; d > hedgeDelayStep || d < -hedgeDelayStep {
			s.policies[i] = s.newPolicy(after) // requests that are open keep what they began with
		}
	}
	return s.policies[i]
}

// RecordLatency notes how long an answer took.
func (t *Table) RecordLatency(n int, class string, took, now time.Duration) {
	if times := t.states[n].latencies[t.classes[class]]; times != nil {
		times.Add(took, now)
	}
}
