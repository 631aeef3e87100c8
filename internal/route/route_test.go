package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/testbed/seeds"
)

// matchLinearly finds a request's route without the index, by trying all routes from the most specific one.
func matchLinearly(t *Table, req Request) int {
	for i, r := range t.routes {
		if r.mismatch(req) == "" {
			return i
		}
	}
	return -1
}

// randomMatchingRoutes returns routes with random conditions of all kinds. Some have the same specificity and overlap.
func randomMatchingRoutes(r *rand.Rand, n int, cfg *decide.Config) (all []*Route) {
	classes, plans := classAndPlanNames(cfg)
	for i := range n {
		t := &Route{Name: fmt.Sprintf("r%d", i)}
		for _, c := range classes {
			if r.IntN(3) == 0 {
				t.Classes = append(t.Classes, c)
			}
		}
		for _, p := range plans {
			if r.IntN(3) == 0 {
				t.Plans = append(t.Plans, p)
			}
		}
		switch r.IntN(4) {
		case 0:
			for range 1 + r.IntN(3) {
				t.Customers = append(t.Customers, r.Uint64N(64)<<56)
			}
		case 1:
			t.CustomerPrefix = fmt.Sprintf("%016x", r.Uint64N(64)<<56)[:1+r.IntN(4)]
		}
		if r.IntN(3) == 0 {
			t.MinClientTimeout = time.Duration(r.IntN(1000)) * time.Millisecond
			t.MaxClientTimeout = t.MinClientTimeout + time.Duration(1+r.IntN(1000))*time.Millisecond
		}
		all = append(all, t)
	}
	return all
}

// TestMatchEqualsLinearSearch checks that the index finds the same route as a linear search.
func TestMatchEqualsLinearSearch(t *testing.T) {
	seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { matchEqualsLinearSearch(t, seeds.Rand(seed)) })
}

func matchEqualsLinearSearch(t *testing.T, r *rand.Rand) {
	cfg := platform()
	matches := 0
	for range 50 {
		table := NewTable(randomMatchingRoutes(r, 60, cfg), cfg)
		for range 200 {
			req := Request{Class: cfg.Classes[r.IntN(len(cfg.Classes))].Name, Plan: cfg.Plans[r.IntN(len(cfg.Plans))].Name,
				Customer: fmt.Sprintf("%016x", r.Uint64N(64)<<56), ClientTimeout: time.Duration(r.IntN(2000)) * time.Millisecond}
			got, want := table.Match(req), matchLinearly(table, req)
			if got != want {
				t.Fatalf("%+v: got %d, want %d", req, got, want)
			}
			if matches += boolToInt(got >= 0); got >= 0 && !strings.Contains(table.Explain(req), "route "+table.Route(got).Name+" ") {
				t.Fatalf("Explain does not name the route:\n%s", table.Explain(req))
			}
		}
	}
	if matches < 1000 {
		t.Errorf("only %d matches", matches)
	}
	table := NewTable([]*Route{{Name: "r", Classes: []string{"slot-book"}}}, cfg)
	for _, req := range []Request{{Class: "none", Plan: "plus"}, {Class: "slot-book", Plan: "none"}, {Class: "slot-lookup", Plan: "plus"}} {
		if n := table.Match(req); n != -1 {
			t.Errorf("%+v matches %d", req, n)
		}
	}
}

// TestSpecificityOrder checks the documented order: customers, longer prefixes, classes, plans, client timeouts.
func TestSpecificityOrder(t *testing.T) {
	cfg, r := platform(), seeds.Rand(1)
	byRank := []*Route{
		{Name: "customer", Customers: []uint64{0xab << 56}}, {Name: "prefix2", CustomerPrefix: "ab"}, {Name: "prefix1", CustomerPrefix: "a"},
		{Name: "class-plan", Classes: []string{"slot-book"}, Plans: []string{"plus"}}, {Name: "class", Classes: []string{"slot-book"}},
		{Name: "plan", Plans: []string{"plus"}}, {Name: "patience", MinClientTimeout: time.Second}, {Name: "all"}}
	for i := range byRank {
		left := slices.Clone(byRank[i:])
		r.Shuffle(len(left), func(a, b int) { left[a], left[b] = left[b], left[a] })
		table := NewTable(left, cfg)
		n := table.Match(Request{Class: "slot-book", Plan: "plus", Customer: "ab00000000000000", ClientTimeout: 2 * time.Second})
		if got := table.Route(n).Name; got != byRank[i].Name {
			t.Errorf("got %s, want %s", got, byRank[i].Name)
		}
	}
}

// TestExplainShowsTimeoutClamp checks that Explain shows where the client timeout shortens the route's timeouts.
func TestExplainShowsTimeoutClamp(t *testing.T) {
	table := NewTable([]*Route{{Name: "book", Classes: []string{"slot-book"}, TotalTimeout: 5 * time.Second, AttemptTimeout: 2 * time.Second, MaxAttempts: 2,
		RetryOnNames: []string{"never-ran"}, Hedge: HedgePolicy{Enabled: true, Delay: time.Second, Quantile: 0.95, MinTimeLeft: time.Millisecond}}}, platform())
	got := table.Explain(Request{Class: "slot-book", Plan: "plus", ClientTimeout: 1500 * time.Millisecond})
	for _, want := range []string{"whole: 5s, cut to the request's patience of 1.5s\n", "attempt: 2s, cut to", "after the 95% quantile of answer times (1s until 50 answers"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in\n%s", want, got)
		}
	}
	if got := table.Explain(Request{Class: "slot-lookup", Plan: "plus"}); !strings.Contains(got, "no route matches") || !strings.Contains(got, "class slot-lookup is not in its list") {
		t.Errorf("got\n%s", got)
	}
}

// TestHedgeDelayFollowsQuantile checks that the hedge delay follows the latencies, while policies returned earlier stay
// unchanged.
func TestHedgeDelayFollowsQuantile(t *testing.T) {
	cfg := platform()
	table := NewTable([]*Route{{Name: "r", MaxAttempts: 2, Hedge: HedgePolicy{Enabled: true, Quantile: 0.9}}}, cfg)
	first := table.RetryPolicy(0, "slot-lookup", time.Second)
	if first.Hedge {
		t.Error("hedging is enabled without latency samples")
	}
	for range 100 {
		table.RecordLatency(0, "slot-lookup", 50*time.Millisecond, time.Second)
	}
	second := table.RetryPolicy(0, "slot-lookup", time.Second)
	if first.Hedge || !second.Hedge || second.HedgeDelay < 50*time.Millisecond || second.HedgeDelay > 53*time.Millisecond {
		t.Errorf("first %+v, then %+v", first, second)
	}
	if other := table.RetryPolicy(0, "slot-book", time.Second); other.Hedge {
		t.Error("hedging is enabled for a class without latency samples")
	}
	if again := table.RetryPolicy(0, "slot-lookup", time.Second); again != second {
		t.Error("an unchanged policy was allocated again")
	}
}

// TestRetryBudgetAtTotalFailure checks that with every node failing each group gets at most the retries of its own
// budget.
func TestRetryBudgetAtTotalFailure(t *testing.T) {
	for _, o := range []decide.Outcome{decide.Error, decide.Rejected, decide.Reset} {
		cfg := platform()
		rt := &Route{Name: "r", MaxAttempts: 5, RetryOn: outcomesByName["error"] | outcomesByName["never-ran"] | outcomesByName["reset"], RetryRatio: 0.2}
		sim := newSimulation(t, cfg, []*Route{rt})
		sim.outcome = func(*simulation, *simRequest, *simAttempt) (decide.Outcome, time.Duration) {
			return o, time.Millisecond
		}
		for range 2000 {
			sim.submit("slot-lookup", "plus", time.Second)
			sim.runUntil(sim.now + 20*time.Millisecond)
		}
		firstAttempts, retries := 0, 0
		for cell := range 2 {
			firstAttempts, retries = firstAttempts+sim.firstAttempts[cell], retries+sim.retries[cell]
			if float64(sim.retries[cell]) > 0.2*float64(sim.firstAttempts[cell]) {
				t.Errorf("outcome %d: cell %d got %d retries for %d first attempts", o, cell, sim.retries[cell], sim.firstAttempts[cell])
			}
		}
		if retries < firstAttempts/10 {
			t.Errorf("outcome %d: only %d retries for %d first attempts", o, retries, firstAttempts)
		}
		if len(sim.violations) > 0 {
			t.Error(sim.violations)
		}
	}
}

// TestLoadAtTotalFailure compares the load on nodes that all fail with a retry budget and with one that is practically
// unlimited.
func TestLoadAtTotalFailure(t *testing.T) {
	load := func(budget, floor float64) float64 {
		sim := newSimulation(t, platform(), []*Route{{Name: "r", MaxAttempts: 5, RetryOn: outcomesByName["error"], RetryRatio: budget, MinRetriesPerSecond: floor}})
		sim.outcome = func(*simulation, *simRequest, *simAttempt) (decide.Outcome, time.Duration) {
			return decide.Error, time.Millisecond
		}
		sends := 0
		for range 2000 {
			sim.submit("slot-lookup", "plus", time.Second)
			sim.runUntil(sim.now + 20*time.Millisecond)
		}
		sim.runUntil(sim.now + time.Minute)
		for _, a := range sim.requests {
			sends += len(a.attempts)
		}
		return float64(sends) / float64(len(sim.requests))
	}
	with, without := load(0.2, 0), load(10, 10000)
	t.Logf("attempts per request: %.3f with a budget of 20%%, %.3f without a limit", with, without)
	if with > 1.2 || without < 3 {
		t.Error("the budget is exceeded, or requests are not retried without one")
	}
}

// TestHedgingStopsWhenServersAreFull checks that few requests are hedged under high load.
func TestHedgingStopsWhenServersAreFull(t *testing.T) {
	cfg := platform()
	rt := &Route{Name: "r", MaxAttempts: 2, RetryRatio: 10, MinRetriesPerSecond: 1000, Hedge: HedgePolicy{Enabled: true, Delay: 50 * time.Millisecond}}
	copies := func(every time.Duration) (n int) {
		sim := newSimulation(t, cfg, []*Route{rt})
		sim.outcome = func(sim *simulation, a *simRequest, s *simAttempt) (decide.Outcome, time.Duration) {
			return decide.OK, 200 * time.Millisecond
		}
		for range 400 {
			sim.submit("slot-lookup", "plus", time.Second)
			sim.runUntil(sim.now + every)
		}
		for _, a := range sim.requests {
			n += max(0, len(a.attempts)-1)
		}
		return n
	}
	few, many := copies(400*time.Millisecond), copies(2*time.Millisecond)
	if few < 300 || many > few/3 {
		t.Errorf("%d hedged attempts at low load, %d at high load", few, many)
	}
}

// TestBudgetGroupsAreBounded checks that the number of budgets is limited, whatever cells the servers name, and that the
// other cells share one.
func TestBudgetGroupsAreBounded(t *testing.T) {
	s := newRouteState(&Route{RetryRatio: 1}, 1)
	for cell := range 10 * maxGroups {
		s.RecordFirstAttempt(time.Second, &decide.Server{Cell: cell})
	}
	if len(s.budgets) != maxGroups+1 {
		t.Errorf("%d groups have budgets", len(s.budgets))
	}
	if !s.TakeRetry(time.Second, &decide.Server{Cell: 1 << 20}) {
		t.Error("a group without a budget of its own gets no retry from the shared one")
	}
}

func TestMaxOpen(t *testing.T) {
	table := NewTable([]*Route{{Name: "r", MaxOpen: 2}}, platform())
	for n, want := range []bool{true, true, false} {
		if table.Acquire(0) != want {
			t.Errorf("request %d: Acquire is not %v", n+1, want)
		}
	}
	if table.Release(0); !table.Acquire(0) {
		t.Error("Acquire fails after Release")
	}
}

func BenchmarkMatch1000Routes(b *testing.B) {
	cfg := platform()
	var routes []*Route
	for i := range 1000 {
		r := &Route{Name: fmt.Sprintf("r%d", i), Classes: []string{cfg.Classes[i%2].Name}}
		switch i % 3 {
		case 0:
			r.Customers = []uint64{uint64(i)}
		case 1:
			r.CustomerPrefix = fmt.Sprintf("%016x", uint64(i)<<40)[:4+i%4]
		default:
			r.MinClientTimeout = time.Duration(i) * time.Microsecond
			r.MaxClientTimeout = r.MinClientTimeout + time.Microsecond
		}
		routes = append(routes, r)
	}
	routes = append(routes, &Route{Name: "all"})
	table := NewTable(routes, cfg)
	requests := []Request{{"slot-lookup", "plus", "00000000000003c0", 500 * time.Microsecond}, {"slot-book", "plus", "0003010000000000", 250 * time.Microsecond},
		{"slot-lookup", "basic", "00000000b4d65521", 480 * time.Millisecond}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if table.Match(requests[i%len(requests)]) < 0 {
			b.Fatal("no match")
		}
	}
}
