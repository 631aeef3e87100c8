package route

import (
	"math"
	"time"

	"sloepick/decide"
)

// state is what a route has seen since it was loaded.
type state struct {
	route   *Route
	open    int
	budgets map[int]*tokens    // by node group
	times   []*LatencyQuantile // by class; nil where no quantile is asked for
	bounds  []*decide.RetryPolicy
}

const (
	groupsMost  = 1024 // node groups with a budget of their own; the others share one
	sharedGroup = math.MinInt
	delayStep   = time.Millisecond
)

func newState(r *Route, classes int) *state {
	s := &state{route: r, budgets: map[int]*tokens{}}
	for range classes {
		var t *LatencyQuantile
		if r.Hedge.Enabled && r.Hedge.Quantile > 0 {
			t = NewLatencyQuantile(r.Hedge.Quantile)
		}
		s.times = append(s.times, t)
		s.bounds = append(s.bounds, s.make(0))
	}
	return s
}

// make is the route in the module's words, with a delay of second copies.
func (s *state) make(after time.Duration) *decide.RetryPolicy {
	r := s.route
	b := &decide.RetryPolicy{MaxAttempts: r.MaxAttempts, AttemptTimeout: r.AttemptTimeout, TotalTimeout: r.TotalTimeout, RetryOn: r.RetryOn, InitialBackoff: r.InitialBackoff, MaxBackoff: r.MaxBackoff,
		BackoffFactor: r.BackoffFactor, Jitter: r.Jitter, HedgeMinTimeLeft: r.Hedge.MinTimeLeft, RetryAfter: r.RetryAfter, Budget: s}
	if b.HedgeDelay = r.Hedge.Delay; after > 0 {
		b.HedgeDelay = after
	}
	b.Hedge = r.Hedge.Enabled && b.HedgeDelay > 0
	return b
}

// tokens are a node group's: a first attempt brings the share, a second brings the floor, a further attempt takes one.
type tokens struct {
	v  float64
	at time.Duration
}

// burstSeconds is how much of the floor is kept for a moment in which it is needed, and there at the start.
const burstSeconds = 1.0

// fill lets time bring the floor's part. What it brings is capped apart from what first attempts brought.
func (k *tokens) fill(now time.Duration, floor float64) {
	if k.at == 0 {
		k.v, k.at = floor*burstSeconds, now
		return
	}
	if room := max(0, floor*burstSeconds-k.v); now > k.at {
		k.v += min(room, floor*(now-k.at).Seconds())
		k.at = now
	}
}

// keptMost is how many unspent further attempts a group keeps from its first attempts.
const keptMost = 10.0

func (s *state) group(cell int) *tokens {
	k := s.budgets[cell]
	if k == nil {
		if len(s.budgets) >= groupsMost {
			cell = sharedGroup
			if k = s.budgets[cell]; k != nil {
				return k
			}
		}
		k = &tokens{}
		s.budgets[cell] = k
	}
	return k
}

// RecordFirstAttempt counts a first attempt at a server's group.
func (s *state) RecordFirstAttempt(now time.Duration, to *decide.Server) {
	k := s.group(to.Cell)
	k.fill(now, s.route.MinRetriesPerSecond)
	if most := max(keptMost, s.route.MinRetriesPerSecond*burstSeconds); k.v < most {
		k.v = min(most, k.v+s.route.RetryRatio)
	}
}

// TakeRetry takes a further attempt from the budget of a server's group, if it holds one. With F first attempts in t
// seconds a group gets at most F x Budget + (t + burstSeconds) x BudgetFloor further ones.
func (s *state) TakeRetry(now time.Duration, to *decide.Server) bool {
	k := s.group(to.Cell)
	k.fill(now, s.route.MinRetriesPerSecond)
	if k.v < 1 {
		return false
	}
	k.v--
	return true
}

// Acquire takes a request into its route, or reports that the route has no room for it. Every request that it takes
// must be given back by End.
func (t *Table) Acquire(n int) bool {
	s := t.state[n]
	if s.route.MaxOpen > 0 && s.open >= s.route.MaxOpen {
		return false
	}
	s.open++
	return true
}

// Release gives a request back.
func (t *Table) Release(n int) { t.state[n].open-- }

// RetryPolicy is what holds for a request of a class on a route now. It is shared and must not be changed.
func (t *Table) RetryPolicy(n int, class string, now time.Duration) *decide.RetryPolicy {
	s, i := t.state[n], t.classes[class]
	times := s.times[i]
	if times == nil {
		return s.bounds[i]
	}
	if after := times.Quantile(now); after > 0 {
		if d := after - s.bounds[i].HedgeDelay; d > delayStep || d < -delayStep {
			s.bounds[i] = s.make(after) // requests that are open keep what they began with
		}
	}
	return s.bounds[i]
}

// RecordLatency notes how long an answer took.
func (t *Table) RecordLatency(n int, class string, took, now time.Duration) {
	if times := t.state[n].times[t.classes[class]]; times != nil {
		times.Add(took, now)
	}
}
